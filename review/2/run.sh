#!/usr/bin/env bash
# One of eight workers crashes under 2,500 tasks of one job. TROUBLE=0: it lives.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../common.sh"

LARGE=5c0e7a21d94b36f8
SMALL=77aa01b2c3d4e5f6
TASKS=7500
DOWN_S=4.2
ACK_MS=4000

start_store "$(addr 1)"
start limits "$STANDINS/standin-limits" "$STORE" "$(addr 1)"
wait_for "$STORE" /stats
put_config ""
start_deployment 3 8
submit "$LARGE" "{\"spec\":\"ms=9000 cpu=5 saves\",\"steps\":[{\"count\":$TASKS,
	\"cpu\":5,\"mem-mb\":10,\"estimate-ms\":9000,\"checkpointing\":true,
	\"requirements\":\"b\"}]}"
wait_for_count start "$TASKS" 15 || cannot_run "not all tasks have started"
sleep 2.5
if [ "${TROUBLE:-1}" != 0 ]; then
	signal worker-1 KILL
	sleep "$DOWN_S"
	start_worker 1 2
	note "worker-1 is back"
else
	sleep "$DOWN_S"
fi
# Another caller's job, in calm.
sleep 5
submit "$SMALL" "{\"spec\":\"ms=500 cpu=100\",\"steps\":[{\"count\":4,
	\"cpu\":100,\"mem-mb\":10,\"estimate-ms\":500}]}"
sleep 30
note "asks for the jobs: large $(state "$LARGE"), small $(state "$SMALL")"
grep -m 3 refused-transaction "$WORK/limits.out" >"$WORK/limits.events"
write_record

# Ends that a worker has listed, and has not had acknowledged ACK_MS later, a
# fifth of which is allowed.
read -r listed open < <(awk -v end="$(now_ms)" -v ack="$ACK_MS" '
	$2 == "listed" && end - $1 > ack { n++; open[$3 " " $4 " " $5] = 1 }
	$2 == "acked" { delete open[$3 " " $4 " " $5] }
	END { for (k in open) m++; print n + 0, m + 0 }' "$RECORD")
note "ends listed $listed, not acknowledged $open"
verdict "ends beyond a fifth that were not acknowledged" \
	$((open * 5 > listed ? open - listed / 5 : 0))
