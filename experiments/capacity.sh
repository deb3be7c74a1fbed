#!/usr/bin/env bash
# Measures what control costs an entry instance that serves no requests, for
# docs/CAPACITY.md: the processor time that the kernel accounts to the process,
# memory, and calls and bytes to the platform, for several numbers of instances in
# its availability zone. Prints a table row for each number and role.
#
# Environment variables: SIZES lists the numbers of instances, and REST is how long
# each measurement lasts, in seconds.
source "$(dirname "$0")/lib.sh"
rest=${REST:-30}
tick=$(getconf CLK_TCK)

metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v m="$2" 'index($0, m) == 1 { s += $2 } END { printf "%d", s }'; }
cpu() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory() { awk -v k="$2:" '$1 == k { print $2 }' "/proc/$1/status"; }

# measure SIZE ROLE PID METRICS_PORT measures for $rest seconds and prints a table row.
measure() {
	local c0 b0 k0 c1 b1 k1
	c0=$(cpu "$3") b0=$(metric "$4" pointport_platform_bytes_total) k0=$(metric "$4" pointport_platform_calls_total)
	sleep "$rest"
	c1=$(cpu "$3") b1=$(metric "$4" pointport_platform_bytes_total) k1=$(metric "$4" pointport_platform_calls_total)
	awk -v s="$1" -v r="$2" -v c=$((c1 - c0)) -v t="$tick" -v e="$rest" -v b=$((b1 - b0)) -v k=$((k1 - k0)) \
		-v rss="$(memory "$3" VmRSS)" -v anon="$(memory "$3" RssAnon)" \
		'BEGIN { printf "| %d | %s | %.2f%% | %.0f | %.2f | %.1f | %.1f |\n", s, r, 100 * c / t / e, b / e, k / e, rss / 1024, anon / 1024 }'
}

echo "| instances in the zone | role | of a core | bytes/s | calls/s | resident MB | of it anonymous MB |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
for size in ${SIZES:-50 200 500}; do
	"$bin/pointport" standin -listen=127.0.0.1:7400 -instances="$size" -list-lag=5s 2>/dev/null &
	pids+=($!)
	sleep 2
	"$bin/pointportd" serve -platform=http://127.0.0.1:7400 -name=planner -log-level=error \
		-callers=127.0.0.1:7410 -operators=127.0.0.1:7411 -metrics=127.0.0.1:7412 2>/dev/null &
	planner=$!
	pids+=("$planner")
	"$bin/pointportd" serve -platform=http://127.0.0.1:7400 -name=entry -control=false -log-level=error \
		-callers=127.0.0.1:7420 -operators=127.0.0.1:7421 -metrics=127.0.0.1:7422 2>/dev/null &
	entry=$!
	pids+=("$entry")
	sleep 2
	for pool in 0 1 2 3 4; do
		printf 'kind: Template\nname: pool-%d\nroutes: [{pathPrefix: /pool-%d, repeatable: true}]\npool: {size: %d}\n---\n' "$pool" "$pool" $((size / 5))
	done | "$bin/pointport" apply -server=http://127.0.0.1:7411 -f - >/dev/null
	sleep 10
	measure "$size" "entry instance that plans" "$planner" 7412 &
	planner_row=$!
	measure "$size" "entry instance" "$entry" 7422
	wait "$planner_row"
	stop_processes
	wait 2>/dev/null || true
	pids=()
done
