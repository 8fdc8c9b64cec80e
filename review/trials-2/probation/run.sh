#!/usr/bin/env bash
# A runner that has failed tasks gets one task at a time, however long that one
# takes: see claim.txt.
set -u
cd "$(dirname "$0")/../../.." || exit 2
CASE=review/trials-2/probation
. review/lib-2.sh

RUNNERS=8
SHORT=4
LONG=/check/00000000000000d1
start_store
write_config '{"version":1,"routes":[
{"name":"check","host":"jobs.example","path-prefix":"/check/","service":"svc",
"max-attempts":4,"slack-factor":2.2,"target-duration-ms":1000,"priority":0}],
"services":[{"name":"svc","admission-check":true}],"limits":{}}'
for n in $(seq $RUNNERS); do
	start_agent "$n"
	# One runner is of another kind.
	kind=a
	[ "$n" = $RUNNERS ] && kind=b
	start_runner "$n" "labels=$kind,r1-$((n / 3))"
done
start_entries
sleep 4
grey_until=0
[ "$TROUBLE" = 1 ] && grey_until=$(($(now_ms) + 5500))
note "runner-$RUNNERS fails all that it starts until $grey_until"
http POST "$NET.$RUNNERS:$((PORT + 4))" "/grey?until=$grey_until" "" ||
	cannot_run "the runner does not answer"
for i in $(seq $SHORT); do
	submit 1 "/check/$(printf '%016x' "$i")" '{"spec":"cpu=500 mem=100 ms=500","steps":[
{"count":1,"cpu":500,"mem-mb":100,"estimate-ms":500,"requirements":"b"}]}' ||
		cannot_run "a short job was not accepted"
done
submit 2 $LONG '{"spec":"cpu=500 mem=100 ms=60000","steps":[
{"count":1,"cpu":500,"mem-mb":100,"estimate-ms":60000,"requirements":"b"}]}' ||
	cannot_run "the long job was not accepted"
# The traffic and the disturbance end within 6 s. finish_s is 14, and the rule
# asks for 3 s.
sleep 14
for i in $(seq 30); do
	sleep 1
	waiting=""
	for k in $(seq $SHORT); do
		id=$(printf '%016x' "$k")
		job_state "/check/$id"
		[ "$STATE" = completed ] || waiting+=" $id is $STATE after $(starts "$id") starts;"
	done
	note "$(starts ${LONG##*/}) starts of the long job;$waiting"
	[ -z "$waiting" ] && verdict ""
	[[ $waiting == *failed* ]] && cannot_run "$waiting"
done
verdict "LOST: only the long job runs for 30 s, with 0.5 of 32 cores:$waiting"
