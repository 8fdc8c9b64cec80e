#!/usr/bin/env bash
# A worker has more than 500 ends that are not acknowledged, as the store is
# down. TROUBLE=0: the store stays up.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common.sh"

JOB=5c0e7a21d94b36f8
TASKS=2400
OUTAGE_S=4.2

start_store
put_config ""
start_deployment 3 3
submit "$JOB" "{\"spec\":\"ms=3000 cpu=10\",\"steps\":[{\"count\":$TASKS,
	\"cpu\":10,\"mem-mb\":10,\"estimate-ms\":3000}]}"
wait_for_count start "$TASKS" 10 || cannot_run "not all tasks have started"
if [ "${TROUBLE:-1}" != 0 ]; then
	note "the store answers 503 to every call"
	http POST "$STORE" "/fault?mode=down" ""
	sleep "$OUTAGE_S"
	http POST "$STORE" "/fault?mode=up" ""
	note "the store serves again"
fi
wait_for_state "$JOB" completed 30
sleep 2
write_record

verdict "starts after an acknowledged done end" "$(twice)"
