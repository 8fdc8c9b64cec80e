#!/usr/bin/env bash
# After a burst of jobs on a queue with advice none of its steps gets any: see
# claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/lib-2.sh

RUNNERS=8
JOBS=40
# Calls take 200 ms for 8 runners: five a second.
DECISION_MS=120
PER_WORKER_MS=10
# 11 jobs a second, or the usual 4.
INTERVAL_S=0.09
[ "$TROUBLE" = 0 ] && INTERVAL_S=0.25
start_store
write_config "{\"version\":1,\"routes\":[
{\"name\":\"check\",\"host\":\"jobs.example\",\"path-prefix\":\"/check/\",\"service\":\"svc\",
\"max-attempts\":3,\"slack-factor\":2.2,\"target-duration-ms\":2500,\"priority\":0,
\"advice\":{\"decision-ms\":$DECISION_MS,\"per-worker-ms\":$PER_WORKER_MS,\"valid-ms\":3000}}],
\"services\":[{\"name\":\"svc\",\"admission-check\":true}],\"limits\":{}}"
start adviser "$OUT/adviser" "listen=$ADVISER" "decision-ms=$DECISION_MS" \
	"per-worker-ms=$PER_WORKER_MS" valid-ms=3000 "log=$WORK/adviser.events"
for n in $(seq $RUNNERS); do
	start_agent "$n"
	start_runner "$n"
done
start_entries
sleep 4
for i in $(seq $JOBS); do
	submit $((i % 2 + 1)) "/check/$(printf '%016x' "$i")" '{"spec":"cpu=500 mem=100 ms=100 ticket=1","steps":[
{"count":1,"cpu":500,"mem-mb":100,"estimate-ms":100}]}' ||
		cannot_run "a job was not accepted"
	sleep $INTERVAL_S
done
# finish_s 14 and more: the adviser needs 8 s for all of them.
sleep 45
stuck=""
n_stuck=0
for i in $(seq $JOBS); do
	id=$(printf '%016x' "$i")
	job_state "/check/$id"
	note "GET /check/$id: $STATE, $(starts "$id") starts"
	# The rule is broken only if nothing of the job has run all the while.
	[ "$STATE" = completed ] || [ "$(starts "$id")" != 0 ] && continue
	stuck+=" $id is $STATE;"
	n_stuck=$((n_stuck + 1))
done
[ $n_stuck = 0 ] || verdict "LOST: $n_stuck of $JOBS jobs never ran:$stuck"
verdict ""
