#!/usr/bin/env bash
# A worker has more than 500 ends that are not acknowledged, as the store is
# down. TROUBLE=0: the store stays up.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common.sh"

JOB=5c0e7a21d94b36f8
TASKS=2400
OUTAGE_S=4.5

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

# Starts after a run of the same task has ended done, if that end was
# acknowledged, at any time, and the worker's lease has not lapsed in between.
again=$(awk '$2 == "lease-lapsed" { lapses[$5]++ }
	$2 == "done" { ended[$3 " " $4] = lapses[$5] + 0 }
	$2 == "acked" && FNR == NR {
		key = $3 " " $4
		if (key in ended && ended[key] == lapses[$5] + 0) acked[key] = 1
	}
	FNR == NR { next }
	$2 == "done" && acked[$3 " " $4] { done[$3] = 1 }
	$2 == "start" && done[$3] { n++ }
	END { print n + 0 }' "$RECORD" "$RECORD")
verdict "starts after an acknowledged done end" "$again"
