#!/usr/bin/env bash
# A job whose queue is removed from the configuration gets no ticket for its
# next step: see claim.txt.
set -u
cd "$(dirname "$0")/../../.." || exit 2
CASE=review/trials-2/removed-queue
. review/lib-2.sh

RUNNERS=8
PLAIN='{"name":"plain","host":"jobs.example","path-prefix":"/plain/","service":"svc",
"max-attempts":3,"slack-factor":2.2,"target-duration-ms":2500,"priority":0}'
ADVISED='{"name":"advised","host":"jobs.example","path-prefix":"/advised/","service":"svc",
"max-attempts":3,"slack-factor":2.2,"target-duration-ms":2500,"priority":0,
"advice":{"decision-ms":50,"per-worker-ms":5,"valid-ms":3000}}'
KEPT='{"name":"kept","host":"jobs.example","path-prefix":"/kept/","service":"svc",
"max-attempts":3,"slack-factor":2.2,"target-duration-ms":2500,"priority":0}'

# configure VERSION ROUTES
configure() {
	write_config "{\"version\":$1,\"routes\":[$2],\"services\":[
	{\"name\":\"svc\",\"admission-check\":true}],\"limits\":{}}"
}

# Two steps of 3 s; the second follows the first.
STEPS='"steps":[
{"count":2,"cpu":500,"mem-mb":100,"estimate-ms":3000},
{"count":2,"cpu":500,"mem-mb":100,"estimate-ms":3000,"after":[0]}]'
SPEC="cpu=500 mem=100 ms=3000"

# second_step ID: how many of its tasks have ended done
second_step() { cat "$WORK"/runner-*.events | grep -c " done $1\.0\.1\."; }

start_store
configure 3 "$KEPT,$PLAIN,$ADVISED"
start adviser "$OUT/adviser" "listen=$ADVISER" decision-ms=50 \
	per-worker-ms=5 valid-ms=3000 "log=$WORK/adviser.events"
for n in $(seq $RUNNERS); do
	start_agent "$n"
	start_runner "$n"
done
start_entries
sleep 4
submit 1 /plain/00000000000000c1 "{\"spec\":\"$SPEC\",$STEPS}" ||
	cannot_run "the plain job was not accepted"
submit 2 /advised/00000000000000d1 "{\"spec\":\"$SPEC ticket=1\",$STEPS}" ||
	cannot_run "the job with advice was not accepted"
sleep 1
[ "$TROUBLE" = 1 ] && configure 7 "$KEPT"
# The first steps end within 3 s, finish_s is 14, and the rule asks for 3 s.
for i in $(seq 30); do
	sleep 1
	plain=$(second_step 00000000000000c1)
	advised=$(second_step 00000000000000d1)
	note "second steps: $plain of 2 done of the plain job, $advised of 2 of the job with advice"
	[ "$plain" = 2 ] && [ "$advised" = 2 ] && verdict ""
done
[ "$plain" = 2 ] || verdict "LOST: the plain job's second step did not run"
verdict "LOST: the second step of the job with advice did not run within 30 s, and nothing else runs"
