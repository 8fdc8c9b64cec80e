#!/usr/bin/env bash
# A start of an agent that was killed runs a task again that is done: see
# claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
CASE=review/7
. review/lib-2.sh

RUNNERS=8
JOB=00000000000000e1
# The runner that is disturbed.
N=2

# start_jobhost N: the project's stand-in, with tasks of 700 ms
start_jobhost() {
	local ip=$NET.$1
	start "runner-$1" "$OUT/jobhost" "worker-$1" "$ip:$((PORT + 4))" \
		"$ip:$((PORT + 2))" "$WORK/jobhost-$1.events" 700 "worker-$1" \
		"$WORK/jobhost-$1.late" z
}
control() { # control PATH: tells the disturbed runner what to do
	note "runner-$N: $1"
	http POST "$NET.$N:$((PORT + 4))" "$1" "" || cannot_run "no answer to $1"
}
began() { grep -q " start $1" "$WORK/jobhost-$N.events" 2>/dev/null; }
batch() { # batch ID
	submit 1 "/check/$1" '{"spec":"demo","steps":[
{"count":27,"cpu":500,"mem-mb":100,"estimate-ms":6000}]}' ||
		cannot_run "a job was not accepted"
}

start_store
write_config '{"version":1,"routes":[
{"name":"check","host":"jobs.example","path-prefix":"/check/","service":"svc",
"max-attempts":3,"slack-factor":2.2,"target-duration-ms":2500,"priority":0}],
"services":[{"name":"svc","admission-check":true}],"limits":{}}'
for n in $(seq $RUNNERS); do
	start_agent "$n"
	start_jobhost "$n"
done
start_entries
sleep 4
batch 00000000000000a1
sleep 3
began 00000000000000a1 || cannot_run "runner-$N gets no tasks"
if [ "$TROUBLE" = 1 ]; then
	control "/late?path=/run-start&for=1500&ms=8000"
fi
batch $JOB
if [ "$TROUBLE" = 1 ]; then
	sleep 0.12
	end agent-$N KILL
	start_agent $N
	sleep 4.6
	control "/late?path=/hold&for=4000&ms=6000"
	control /restart
fi
sleep 3
for _ in $(seq 40); do
	sleep 0.5
	job_state "/check/$JOB"
	[ "$STATE" = completed ] && break
done
note "GET /check/$JOB: $STATE"
sleep 5
# A start after another run of the task has ended done, if that end was
# acknowledged then or later, and the lease did not lapse between the two.
twice=$(sort -n "$WORK"/jobhost-*.events | awk -v job="$JOB" '
	$2 == "lease-lapsed" {
		for (r in open) if (index(r, "," $5 ";")) delete open[r]
		next
	}
	index($3, job) != 1 { next }
	$2 == "start" { after[$3] = after[$3] ended[$3] }
	$2 == "done" {
		ended[$3] = ended[$3] " " $4 "," $5
		open[$3 "," $4 "," $5 ";"] = 1
	}
	$2 == "acked" && open[$3 "," $4 "," $5 ";"] { noted[$3 "," $4 "," $5] = 1 }
	END {
		for (t in after) {
			n = split(after[t], runs, " ")
			for (i = 1; i <= n; i++)
				if (noted[t "," runs[i]]) { print t; break }
		}
	}' | sort | tr '\n' ' ')
[ -z "$twice" ] || verdict "TWICE: started again after their ends were acknowledged as done: $twice"
verdict ""
