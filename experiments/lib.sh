# Functions that the experiments share; source it, don't run it. It builds both
# programs into $bin, and kills every process whose ID is in $pids when the script
# ends.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=$(mktemp -d)
pids=()
stop_processes() {
	for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
}
cleanup() {
	stop_processes
	rm -rf "$bin"
}
trap cleanup EXIT
go build -o "$bin" ./cmd/...
