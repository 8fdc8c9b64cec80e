# What a soak checks, from outside. Sourced by soak/soak.

# A configuration is in force on an entry that has been undisturbed.
CONFIG_APPLY_MS=2000

# After a cancellation was acknowledged no task of the job starts.
CANCEL_MS=3000

# A planned stop ends by itself within the time that its settings allow; what
# stands still meanwhile counts from when it goes on.
STOP_MS=6000

# Resident memory of a process of the system, for control.
MEMORY_KB=32768

declare -A SERVED
violation() { echo "$(now_ms) $*" >>"$WORK/violations"; }

check_ended() {
	local name=$1 status
	wait "${PIDS[$name]}" 2>/dev/null
	status=$?
	unset "PIDS[$name]" "PAUSED[$name]"
	if [ -z "${ENDING[$name]:-}" ] || [ "$status" != 0 ]; then
		violation "$name ended by itself, status $status"
	fi
	unset "ENDING[$name]"
	case $name in
	entry-*) later 200 restart_entry "${name#entry-}" ;;
	agent-*) later 200 restart_agent "${name#agent-}" ;;
	esac
}

check_processes() {
	local name kb
	for name in "${!PIDS[@]}"; do
		if ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
			check_ended "$name"
			continue
		fi
		if [ -n "${ENDING[$name]:-}" ] && [ -z "${PAUSED[$name]:-}" ] &&
			[ $(($(now_ms) - ${ENDING[$name]})) -gt "$STOP_MS" ]; then
			violation "$name does not end after SIGTERM"
			kill_process "$name"
			later 200 restart_entry "${name#entry-}"
			continue
		fi
		case $name in entry-* | agent-*) ;; *) continue ;; esac
		kb=$(awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$name]}/status" \
			2>/dev/null)
		[ "${kb:-0}" -le "$MEMORY_KB" ] ||
			violation "$name holds $kb kB"
	done
}

# The newest version in force where nothing disturbs, and never an older one
# than was seen in the same life of the process.
check_config() {
	local n=$1 name=entry-$1 life
	is_up "$name" || return
	[ -n "${ENDING[$name]:-}${PAUSED[$name]:-}" ] && return
	[ "$(quiet_for "$name")" -gt "$CONTACT_MS" ] || return
	[ "$STORE_MODE" = up ] && [ "$(quiet_for store)" -gt "$CONTACT_MS" ] ||
		return
	[ $(($(now_ms) - ${CONFIG_AT:-0})) -gt "$CONFIG_APPLY_MS" ] || return
	call GET "$(addr $((100 + n)))" "/v$CONFIG_VERSION/" "" 2 "$JOB_HOST" \
		>/dev/null
	[ "$STATUS" = 404 ] &&
		violation "$name has not version $CONFIG_VERSION in force"
	CONFIG_CHECKS=$((${CONFIG_CHECKS:-0} + 1))
}

# want ID: the state that an accepted job ends in; a cancellation that was not
# acknowledged may have been done
check_state() {
	local id=$1 n body state
	n=$(((0x${id: -2}) % ENTRIES + 1))
	body=$(call GET "$(addr $((100 + n)))" "$JOB_PREFIX$id" "" 3 "$JOB_HOST")
	state=$(sed 's/.*"state": *"\([a-z]*\)".*/\1/' <<<"$body")
	if grep -q " $id" "$WORK/cancelled"; then
		[[ $state = cancelled || $state = completed ]]
	elif grep -q "$id" "$WORK/cancel-asked"; then
		[[ $state = cancelled || $state = completed ]]
	else
		[ "$state" = completed ]
	fi
}

check_jobs_end() {
	local id until left=()
	until=$(($(now_ms) + SETTLE_MS))
	wait_for_clients
	mapfile -t left < <(cut -d' ' -f2 "$WORK/accepted" | sort -u)
	while [ "${#left[@]}" -gt 0 ] && [ "$(now_ms)" -lt "$until" ]; do
		local still=()
		for id in "${left[@]}"; do
			check_state "$id" || still+=("$id")
		done
		left=("${still[@]}")
		check_processes
		run_due
		sleep 0.2
	done
	for id in "${left[@]}"; do
		violation "job $id is not in its end state: $(call GET \
			"$(addr 101)" "$JOB_PREFIX$id" "" 3 "$JOB_HOST")"
	done
}

# Callers that still try; at most four tries of three seconds.
wait_for_clients() {
	local pid i
	for i in $(seq 130); do
		pid=$(jobs -pr | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
		[ -n "$pid" ] || return
		sleep 0.1
	done
}

# One place at a time, no start after an end that was taken note of (before the
# lease of its worker lapsed: after that it counts no longer), steps in order, attempts rising, nothing of a refused job, nothing after a
# cancellation: from the workers' logs, in the order of their times.
check_tasks() {
	sort -n -s "$WORK"/worker-*.tasks >"$WORK/all.tasks"
	awk -v cancel_ms="$CANCEL_MS" '
	FILENAME ~ /refused$/ { refused[$2] = 1; next }
	FILENAME ~ /cancelled$/ { cancelled[$2] = $1; next }
	FILENAME ~ /faults$/ { next }
	FNR == 1 { pass++ }
	pass == 1 && $2 == "done" { kept[$5] = kept[$5] " " $3 "/" $4; next }
	pass == 1 && $2 == "lease-lapsed" { kept[$5] = ""; next }
	pass == 1 && $2 == "acked" {
		if (index(kept[$5] " ", " " $3 "/" $4 " "))
			acked[$3 " " $4 " " $5] = 1
		next }
	pass == 1 { next }
	{ split($3, part, "."); job = part[1] }
	$2 == "killed" {
		for (t in where) if (where[t] == $5) delete where[t]
		next }
	$2 == "start" {
		if (t = where[$3]) print "twice at once " $3 " on " t " and " $5
		if (end_kept[$3])
			print "started again after its end " $3
		if ($4 <= attempt[$3]) print "attempt does not rise " $3
		if (refused[job]) print "a refused job runs " $3
		if (cancelled[job] && $1 > cancelled[job] + cancel_ms)
			print "started after its cancellation " $3
		if (part[3] == 1 && ended[job] < 3)
			print "started before its turn " $3
		attempt[$3] = $4
		where[$3] = $5
		next }
	$2 == "acked" || $2 == "lease-lapsed" { next }
	{ delete where[$3]
	  if ($2 == "done") {
		if (acked[$3 " " $4 " " $5]) end_kept[$3] = 1
		if (part[3] == 0 && !done[$3]) ended[job]++
		done[$3] = 1 } }' \
		"$WORK/refused" "$WORK/cancelled" "$WORK/all.tasks" \
		"$WORK/all.tasks" >>"$WORK/violations"
	[ -s "$WORK/cut-at-stop" ] &&
		sed 's/^/cut off at a planned stop: /' "$WORK/cut-at-stop" \
			>>"$WORK/violations"
}

report() {
	local counts
	counts="$(wc -l <"$WORK/accepted") accepted, $(wc -l <"$WORK/refused") \
refused, $(wc -l <"$WORK/unclear") unclear, $(wc -l <"$WORK/cancelled") \
cancelled, $(grep -c ' start ' "$WORK/all.tasks") starts, \
$(grep -cv boot "$WORK/faults") faults, ${CONFIG_CHECKS:-0} looks at \
configurations"
	if [ ! -s "$WORK/violations" ]; then
		echo "seed $SEED: kept; $counts"
		exit 0
	fi
	mkdir -p "$BUILD/soak"
	rm -rf "$BUILD/soak/$SEED"
	cp -r "$WORK" "$BUILD/soak/$SEED"
	echo "seed $SEED: BROKEN $(wc -l <"$WORK/violations") times; $counts"
	head -n 5 "$WORK/violations" | sed 's/^/  /'
	exit 1
}
