# What the experiments share: it builds both programs into $bin, and ends every
# process whose id is in $pids when the script ends. Sourced, not run.
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
