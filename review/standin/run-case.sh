#!/usr/bin/env bash
# Plays the script of the case in folder review/$1: three gateways, each started
# with the command of the deploy file, between the stand-ins of the case. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 the disruption is left out (fleet_trouble in fleet.c).
set -u
cd "$(dirname "$0")/../.." || exit 2
case=$1
folder=$(mktemp -d) || exit 2
pids=()
stop_all() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$folder"
}
trap stop_all EXIT
[ -x target/heatherturn ] && [ -x "target/review/case-$case" ] || exit 2
read -r -a ports <<<"$(target/review/ports 10)"
[ "${#ports[@]}" = 10 ] || exit 2
local=127.0.0.1
store=${ports[0]}
seeds=$local:${ports[1]},$local:${ports[2]},$local:${ports[3]}
zones=(zone-a zone-b zone-c)
arguments=()
for i in 0 1 2; do
	ready=${ports[$((4 + i))]}
	callers=${ports[$((7 + i))]}
	target/heatherturn gateway --id="front-$i" \
	    --failure-domain="${zones[$i]}" \
	    --listen="$local:${ports[$((1 + i))]}" --http="$local:$ready" \
	    --callers="$local:$callers" --peers="$seeds" \
	    --objects="$local:$store" --grace-s=8 --retry-ratio=0.2 \
	    --retry-window-s=10 --retry-slack=100 --cold-ratio=1.5 \
	    --cold-slack=5 --hold-ms=4000 --cpu-share=0.19 \
	    --drain-notice-ms=2700 --memory-mb=260 --link-mbps=1000.0 \
	    >"$folder/gateway-$i.log" 2>&1 &
	pids+=($!)
	arguments+=("$ready" "$callers")
done
timeout -k 2 100 "target/review/case-$case" "$store" \
    "review/$case/record.txt" "${arguments[@]}" &
pids+=($!)
wait "${pids[3]}"
code=$?
for i in 0 1 2; do
	kill -0 "${pids[$i]}" 2>/dev/null || {
		echo "gateway $i has ended by itself" >>"review/$case/record.txt"
		[ "$code" = 0 ] && code=2
	}
done
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
