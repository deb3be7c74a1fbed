#!/usr/bin/env bash
# Measures what callers' requests cost one entry instance, for docs/CAPACITY.md:
# the processor time that the kernel accounts to the process per request, and
# memory, for several request rates. The keyed runs show the cost of a claim.
source "$(dirname "$0")/lib.sh"
tick=$(getconf CLK_TCK)
"$bin/pointport" standin -listen=127.0.0.1:7700 -instances=48 -service-time=20ms 2>/dev/null &
pids+=($!)
sleep 1
"$bin/pointportd" serve -platform=http://127.0.0.1:7700 -name=entry -log-level=error -connections-own=48 \
	-callers=127.0.0.1:7710 -operators=127.0.0.1:7711 -metrics=127.0.0.1:7712 2>/dev/null &
entry=$!
pids+=("$entry")
sleep 2
"$bin/pointport" apply -server=http://127.0.0.1:7711 -f experiments/tips.yaml >/dev/null
sleep 4
echo "| requests | rate | answered | ms of processor a request | resident MB | p50 ms | p99 ms |"
echo "| --- | --- | --- | --- | --- | --- | --- |"

# measure LABEL RATE FLAGS... sends load and prints a table row.
measure() {
	local label=$1 rate=$2 c0 c1 row
	shift 2
	c0=$(awk '{ print $14 + $15 }' "/proc/$entry/stat")
	row=$("$bin/pointport" load -targets=http://127.0.0.1:7710 -rate="$rate" -for=8s -o=json "$@")
	c1=$(awk '{ print $14 + $15 }' "/proc/$entry/stat")
	python3 -c '
import json, sys
label, rate, cpu, tick, rss, row = sys.argv[1], sys.argv[2], float(sys.argv[3]), float(sys.argv[4]), float(sys.argv[5]), json.loads(sys.argv[6])
ok, sent, p50, p99 = row["counts"].get("ok", 0), row["sent"], row["p50"], row["p99"]
print(f"| {label} | {rate}/s | {ok} of {sent} | {1000 * cpu / tick / max(1, ok):.3f} | {rss / 1024:.1f} | {p50:.1f} | {p99:.1f} |")
' "$label" "$rate" $((c1 - c0)) "$tick" "$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$entry/status")" "$row"
}

for rate in 250 500 1000 2000; do measure "repeatable" $rate -path=/tips; done
for rate in 100 300; do measure "keyed" $rate -path=/payout -method=POST -keyed; done
