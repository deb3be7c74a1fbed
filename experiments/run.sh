#!/usr/bin/env bash
# Runs the experiments of docs/MEASUREMENTS.md on loopback, with a stand-in platform
# of 48 instances of 8 slots in four availability zones, and nine entry instances
# as separate processes. Prints rows for the tables of that page.
#
#   experiments/run.sh NAME...
#
# NAME is one of steady, burst, zone-loss, drain, claims, config, faults and
# wave-burst.
#
# Environment variables: CHOOSER sets the entry instances' chooser, OWN and OTHER
# their fixed shares of connections, SERVICE_TIME how long an instance runs a
# request, and SECONDS_EACH how long each load lasts, in seconds.
source "$(dirname "$0")/lib.sh"

platform_port=7300
service_time=${SERVICE_TIME:-100ms}
seconds=${SECONDS_EACH:-10}
chooser=${CHOOSER:-forecast}
zones=zone-a,zone-b,zone-c,zone-d
entry_zones=(zone-a zone-a zone-a zone-b zone-b zone-c zone-c zone-d zone-d)
declare -A entry_pid
targets=

# start_cluster starts the stand-in and the entry instances, and applies the template.
start_cluster() {
	"$bin/pointport" standin -listen=127.0.0.1:$platform_port -zones=$zones -instances=12 \
		-service-time="$service_time" -reboot-time=2s 2>"$bin/standin.log" &
	pids+=($!)
	sleep 1
	targets=
	for n in "${!entry_zones[@]}"; do
		local base=$((8300 + 10 * n))
		"$bin/pointportd" serve -platform=http://127.0.0.1:$platform_port -name=entry-$n \
			-zone="${entry_zones[$n]}" -zones=$zones -chooser="$chooser" \
			-callers=127.0.0.1:$base -operators=127.0.0.1:$((base + 1)) -metrics=127.0.0.1:$((base + 2)) \
			-connections-own="${OWN:-16}" -connections-other="${OTHER:-0}" -log-level=warn 2>"$bin/entry-$n.log" &
		pids+=($!)
		entry_pid[$n]=$!
		targets=$targets${targets:+,}http://127.0.0.1:$base
	done
	sleep 2
	"$bin/pointport" apply -server=http://127.0.0.1:8301 -f experiments/tips.yaml >/dev/null
	sleep 6
}

stop_cluster() {
	stop_processes
	wait 2>/dev/null || true
	pids=()
}

# send LABEL RATE [FLAGS...] sends load to the entry instances.
send() {
	local label=$1 rate=$2
	shift 2
	"$bin/pointport" load -targets="$targets" -path=/tips -rate="$rate" -for="${seconds}s" -o=row -label="$label" "$@"
}

# send_direct LABEL RATE sends load to the upstreams directly, in turn.
send_direct() {
	"$bin/pointport" load -direct=http://127.0.0.1:$platform_port -path=/tips -rate="$2" -for="${seconds}s" -o=row -label="$1"
}

runs() { curl -s http://127.0.0.1:$platform_port/standin/runs; }
counts() { curl -s http://127.0.0.1:$platform_port/standin/counts; }

header() {
	echo "| run ($chooser) | sent | answers/s | refused | unknown or failed | broken | p50 ms | p99 ms | p99.9 ms | refusal p50 ms | refusal p99 ms |"
	echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

steady() {
	start_cluster
	header
	send_direct "direct, 1000/s" 1000
	send "pointport, 1000/s" 1000
	send_direct "direct, 2500/s" 2500
	send "pointport, 2500/s" 2500
	runs
	stop_cluster
}

burst() {
	start_cluster
	header
	send "before, 2500/s" 2500
	send "burst, 11500/s" 11500
	send "after, 2500/s" 2500
	runs
	stop_cluster
}

zone_loss() {
	start_cluster
	header
	send "before, 2000/s" 2000
	(
		sleep 2
		for n in 00 01 02 03 04 05 06 07 08 09 10 11; do
			curl -s -X POST "http://127.0.0.1:$platform_port/standin/instances/zone-d-$n/kill" >/dev/null
		done
		kill -9 "${entry_pid[7]}" "${entry_pid[8]}"
	) &
	send "zone-d lost after 2 s, 2000/s" 2000
	send "without zone-d, 2000/s" 2000
	stop_cluster
}

drain() {
	start_cluster
	header
	"$bin/pointport" wave -server=http://127.0.0.1:8301 -template=tips start rolling >/dev/null
	SECONDS=0
	local previous=$seconds
	seconds=60
	send "wave over all 48 instances, 1500/s" 1500
	seconds=$previous
	"$bin/pointport" status -server=http://127.0.0.1:8301 | grep -E 'WAVE|rolling'
	runs
	stop_cluster
}

claims() {
	echo "| keyed requests/s | claimed and answered | store writes | writes per request | conflicts | p50 ms | p99 ms | ran twice |"
	echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
	for rate in 20 100 400 1000; do
		start_cluster
		local before after row
		before=$(counts)
		row=$("$bin/pointport" load -targets="$targets" -path=/payout -method=POST -keyed -repeat=0.2 \
			-rate=$rate -for="${seconds}s" -o=json)
		after=$(counts)
		python3 experiments/claims.py "$rate" "$before" "$after" "$row" "$(runs)"
		stop_cluster
	done
}

wave_burst() {
	start_cluster
	header
	"$bin/pointport" wave -server=http://127.0.0.1:8301 -template=tips start peak >/dev/null
	send "burst in a wave, 11500/s" 11500
	send "after, 2500/s" 2500
	"$bin/pointport" status -server=http://127.0.0.1:8301 | grep -E 'WAVE|peak'
	runs
	stop_cluster
}

faults() {
	start_cluster
	seconds=60
	"$bin/pointport" wave -server=http://127.0.0.1:8381 -template=tips start faults >/dev/null
	(
		sleep 5
		kill -STOP "${entry_pid[0]}" # suspends an entry instance until after its lease has expired
		sleep 15
		kill -CONT "${entry_pid[0]}"
		sleep 4
		curl -s -X POST "http://127.0.0.1:$platform_port/standin/outage?down=true" >/dev/null
		sleep 10
		curl -s -X POST "http://127.0.0.1:$platform_port/standin/outage" >/dev/null
		sleep 4
		kill -9 "${entry_pid[3]}" # crashes an entry instance
	) &
	header
	send "repeatable, 500/s" 500 >"$bin/repeatable.row" &
	local repeatable=$!
	send "keyed, 100/s, a fifth twice" 100 -path=/payout -method=POST -keyed -repeat=0.2
	wait "$repeatable"
	cat "$bin/repeatable.row"
	sleep 5
	"$bin/pointport" status -server=http://127.0.0.1:8381 | grep -E 'WAVE|faults'
	runs
	stop_cluster
}

config() {
	start_cluster
	local operators=()
	for n in "${!entry_zones[@]}"; do operators+=("http://127.0.0.1:$((8301 + 10 * n))"); done
	sleep 10
	echo "| changes | entry instances | p50 ms | most ms |"
	echo "| --- | --- | --- | --- |"
	python3 experiments/inforce.py 50 "${operators[@]}"
	stop_cluster
}

for name in "$@"; do
	case $name in
	steady) steady ;;
	burst) burst ;;
	zone-loss) zone_loss ;;
	drain) drain ;;
	claims) claims ;;
	config) config ;;
	faults) faults ;;
	wave-burst) wave_burst ;;
	*)
		echo "$name: must be one of steady, burst, zone-loss, drain, claims, config, faults, wave-burst" >&2
		exit 2
		;;
	esac
done
