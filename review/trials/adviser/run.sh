#!/usr/bin/env bash
# Two of the three workers that the adviser approves are lost for good; the third
# is not among the first 30. TROUBLE=0: all three live.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../../common.sh"

JOB=5c0e7a21d94b36f8
WORKERS=36
FINISH_S=14

start_store
start adviser "$STANDINS/standin-adviser" "$(addr 3)" "$WORK/adviser.events" \
	i-1-1 i-2-1 "i-$WORKERS-1"
put_config ',"advice":{"decision-ms":50,"per-worker-ms":2,"valid-ms":3000}'
start_deployment 3 "$WORKERS"
if [ "${TROUBLE:-1}" != 0 ]; then
	signal worker-1 KILL
	signal worker-2 KILL
	sleep 8
fi
submit "$JOB" "{\"spec\":\"ms=1000 cpu=1000 advised\",\"steps\":[{\"count\":4,
	\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":1000}]}"
sleep $((FINISH_S + 16))
note "after $((FINISH_S + 16)) s the job is $(state "$JOB")"
write_record
starts=$(count start)
note "starts: $starts; worker-$WORKERS is approved, ready and idle"
verdict "accepted jobs without a start" "$((starts == 0))"
