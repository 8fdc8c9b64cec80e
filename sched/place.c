/*
 * Placement of waiting phases in their order, and choice of a host for each
 * task.
 *
 * Load patterns: serving tasks next to interfering fillers; wide tasks that
 * compete with narrow ones; data that is local to one rack; tasks of which some
 * may crash their workers, see crash.c; late fillers for which no host has the
 * headroom, although little processor time is in use.
 */
#include "sched/grants.h"
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Weights of a host's score, relative to the load of a fully used host. The
 * lowest score wins. */
#define WEIGHT_RACK	    3.0
#define WEIGHT_SLOW	    2.0
#define WEIGHT_LAST_FAILED  4.0
#define WEIGHT_SPARE	    3.0
#define WEIGHT_MIXED_IMAGES 0.3
#define WEIGHT_ENDANGERED   0.1
#define WEIGHT_SUSPICION    1.5
#define WEIGHT_SUSPECTS	    20.0
#define WEIGHT_WANTED	    1.0

/* A deficit of spare headroom above this is scored no worse. */
#define SPARE_DEFICIT_MAX 3.0

/* A filler that has waited this long, and of whose job nothing runs, is placed
 * where it interferes least. Until its pace takes effect it runs at full speed,
 * which shows in tail latencies for 500 ms; load that falls makes room within
 * half a period of its swing. */
#define STARVED_AFTER_US (20 * BH_USEC_PER_SEC)

/* The same while other tasks than fillers request less than IDLE_LOAD_MAX of
 * the service's processors. Callers take a job for lost of which nothing runs
 * for 3 s while under half of the capacity is in use. */
#define STARVED_IDLE_AFTER_US (2 * BH_USEC_PER_SEC)
#define IDLE_LOAD_MAX	      0.6

/* A task with a higher priority waits this long before it preempts fillers, and
 * as long for them to stop before it preempts more. */
#define PREEMPT_AFTER_US (300 * BH_USEC_PER_MS)

/* A pass ends after this many phases that could not be placed, which bounds its
 * cost. */
#define UNPLACED_PHASES_MAX 200

/* A task that has waited this long for a host gets a reservation. The number of
 * reservations bounds the cost of a pass. */
#define RESERVE_AFTER_US (300 * BH_USEC_PER_MS)
#define RESERVATIONS_MAX 16

/* A long-running task that has waited this long may use a quarantined host. */
#define QUARANTINED_HOST_AFTER_US (2000 * BH_USEC_PER_MS)

/* From this many crashes on a task is started only once they are stored, and on
 * trial: no other task starts on the host shortly before and after, as most
 * tasks that crash their workers do so soon after their start. */
#define TRIAL_CRASHES 2
#define TRIAL_US      (150 * BH_USEC_PER_MS)

/* Longest time for which a suspect waits for a host on which the next crash
 * tells whether it is at fault. */
#define SUSPECT_WAIT_US (1500 * BH_USEC_PER_MS)

/* Least time between two log lines on why tasks of a phase wait. */
#define EXPLAIN_EVERY_US (2000 * BH_USEC_PER_MS)

/* Whether the host can take new work once its quarantine and its pauses end. */
static bool accepts_work_later(const bh_host_t *host, bh_usec_t now)
{
	return !host->is_evacuated && host->is_linked && host->is_synced &&
	       host->info.id && host->info.boot &&
	       host->info.state == BH_WORKER_READY &&
	       now - host->heard_at < BH_REPORT_AGE_MAX_US &&
	       host->expires_ms &&
	       host->lease_ends_at - now > BH_USEC_PER_SEC &&
	       host->order_bytes < BH_HOST_ORDER_BYTES_MAX &&
	       !host->has_unknown_run;
}

/* Whether the host can take new work, its quarantine left aside. */
static bool accepts_work(const bh_host_t *host, bh_usec_t now)
{
	return accepts_work_later(host, now) && now >= host->full_until &&
	       now >= host->trial_until;
}

static int by_rank(const void *a, const void *b)
{
	const bh_phase_t *x = *(bh_phase_t *const *)a;
	const bh_phase_t *y = *(bh_phase_t *const *)b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return 0;
}

bool bh_host_has_label(const bh_host_t *host, const char *label)
{
	if (!label)
		return true;
	for (uint32_t i = 0; i < host->info.n_labels; i++) {
		if (strcmp(host->info.labels[i], label) == 0)
			return true;
	}
	return false;
}

bool bh_host_has_room(const bh_host_t *host, const bh_step_t *step)
{
	if (host->used_memory + step->memory_mb > host->info.memory_mb ||
	    host->used_accelerators + step->accelerators >
		    host->info.accelerators)
		return false;
	if (step->is_filler)
		return bh_host_free_filler_cpu(host) >=
		       (int64_t)step->cpu_milli;
	return host->used_cpu + step->cpu_milli <= host->info.cpu_milli;
}

/* Part of the processors of a service's hosts that other tasks than fillers
 * request. */
static double service_load(const bh_sched_t *s, const char *service,
			   bh_usec_t now)
{
	uint64_t used = 0;
	uint64_t total = 0;
	const bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		if (g_strcmp0(host->info.service, service) != 0 ||
		    !bh_host_is_usable(host, now))
			continue;
		used += MIN(host->used_cpu, host->info.cpu_milli);
		total += host->info.cpu_milli;
	}
	return total ? (double)used / (double)total : 1;
}

/* A job without any run must not wait forever for a host where it does not
 * interfere. */
static bool is_starved(const bh_sched_t *s, const bh_task_t *task,
		       bh_usec_t now)
{
	const bh_rec_t *rec = task->phase->rec;
	bh_usec_t waited = now - task->waiting_since;

	if (!task->phase->step->is_filler || rec->n_runs ||
	    waited <= STARVED_IDLE_AFTER_US)
		return false;
	return waited > STARVED_AFTER_US ||
	       service_load(s, rec->job->terms.service, now) < IDLE_LOAD_MAX;
}

/* A host on probation gets one new task at a time. Runs that started before its
 * quarantine ended do not count. */
bool bh_host_is_being_probed(const bh_host_t *host, bh_usec_t now)
{
	const bh_run_t *run;

	if (!host->is_probing)
		return false;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_probe(run, now))
			return true;
	}
	return false;
}

/* For a long-running task a quarantined host is better than none. */
static bool may_use_quarantined(const bh_task_t *task, bh_usec_t now)
{
	return task->phase->step->is_long_running &&
	       now - task->waiting_since > QUARANTINED_HOST_AFTER_US;
}

bool bh_host_matches(const bh_phase_t *phase, const bh_host_t *host,
		     bh_usec_t now)
{
	const bh_step_t *step = phase->step;

	if (g_strcmp0(host->info.service, phase->rec->job->terms.service) != 0)
		return false;
	if (!bh_host_has_label(host, step->label))
		return false;
	if (step->max_per_host &&
	    bh_phase_runs_on(phase, host) >= step->max_per_host)
		return false;
	if (phase->advice && !bh_phase_ticket(phase, host, now))
		return false;
	return true;
}

bool bh_host_is_suitable(const bh_task_t *task, const bh_host_t *host,
			 bh_usec_t now)
{
	if (!accepts_work(host, now) ||
	    (now < host->quarantined_until && !may_use_quarantined(task, now)))
		return false;
	if (bh_host_is_being_probed(host, now))
		return false;
	return bh_host_matches(task->phase, host, now);
}

/* Suspicion that something else on the host is at fault for its next crash:
 * other suspects, or the worker itself. */
static double other_suspicion(const bh_host_t *host)
{
	return host->suspicion + host->blame.suspicion;
}

static bool is_on_trial(const bh_task_t *task)
{
	return task->blame.crashes >= TRIAL_CRASHES &&
	       !task->phase->step->is_gang;
}

/* Whether another crash on the host would tell if a task is at fault. */
static bool tells_fault(const bh_task_t *task, const bh_host_t *host,
			bh_usec_t now)
{
	double others = other_suspicion(host);

	if (is_on_trial(task) && (now - host->started_at < TRIAL_US ||
				  host->blame.suspicion >= BH_SUSPICION_MIN))
		return false;
	return others < BH_SUSPICION_MIN || !bh_task_is_suspect(task) ||
	       others + task->blame.suspicion <= BH_SUSPICION_TOGETHER;
}

/* The next leader knows only what is stored: it would start the task as often
 * again. */
static bool awaits_store(const bh_task_t *task)
{
	const bh_segment_t *segment = bh_task_segment(task);

	return task->blame.crashes >= TRIAL_CRASHES &&
	       (segment->crashes_unstored || segment->crashes_committing);
}

static bool must_wait_as_suspect(const bh_task_t *task, const bh_host_t *host,
				 bh_usec_t now)
{
	if (awaits_store(task))
		return true;
	return task->blame.crashes && !task->phase->step->is_gang &&
	       (!task->held_since ||
		now - task->held_since < SUSPECT_WAIT_US) &&
	       !tells_fault(task, host, now);
}

/* Whether the task waits as a suspect, and not for room: nothing is reserved or
 * preempted for it. */
static bool is_held(const bh_task_t *task, bh_usec_t now)
{
	return awaits_store(task) ||
	       (task->held_since && now - task->held_since < SUSPECT_WAIT_US);
}

/* @starved: see is_starved()
 * @spare: set to the headroom above the goal that a filler would leave, 0 for
 *	other tasks */
static bool is_eligible(const bh_sched_t *s, const bh_task_t *task,
			const bh_host_t *host, bool starved, double *spare,
			bh_usec_t now)
{
	const bh_step_t *step = task->phase->step;

	*spare = 0;
	if (!bh_host_is_suitable(task, host, now) ||
	    !bh_host_has_room(host, step) || !bh_reserve_allows(host, step))
		return false;
	if (!step->is_filler)
		return true;
	if (host->is_over_objective)
		return false;
	*spare = bh_plan_spare_headroom(s, host, task->phase);
	return starved || *spare >= 0;
}

static double cpu_share(const bh_host_t *host, uint64_t cpu)
{
	return (double)cpu / MAX(host->info.cpu_milli, 1);
}

/* Counts the long-running tasks on a host whose image is not @image. */
static double count_other_images(const bh_host_t *host, const char *image)
{
	const bh_run_t *run;
	double n = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_step_t *step = run->task->phase->step;

		if (step->is_long_running && g_strcmp0(step->image, image) != 0)
			n++;
	}
	return n;
}

/* Long-running tasks are packed onto few hosts, grouped by image, so that a
 * filler finds hosts without images that it interferes with. */
static double load_score(const bh_host_t *host, const bh_step_t *step,
			 double spare)
{
	double used = cpu_share(host, host->used_cpu);
	double fillers = cpu_share(host, host->filler_cpu);

	if (step->is_filler)
		return used * host->filler_share + fillers -
		       WEIGHT_SPARE * MAX(spare, -SPARE_DEFICIT_MAX);
	if (step->is_long_running)
		return fillers - used +
		       WEIGHT_MIXED_IMAGES *
			       count_other_images(host, step->image);
	return used + fillers / 2;
}

/* Suspects are spread over the hosts, so that a further crash clears most of
 * them, and endanger few others. */
static double suspect_score(const bh_task_t *task, const bh_host_t *host)
{
	return WEIGHT_ENDANGERED * task->blame.suspicion * host->n_runs +
	       WEIGHT_SUSPECTS * other_suspicion(host);
}

static double score(const bh_task_t *task, const bh_host_t *host, double spare,
		    bh_usec_t now)
{
	const bh_step_t *step = task->phase->step;
	double value = load_score(host, step, spare);

	if (step->rack && g_strcmp0(step->rack, host->rack) != 0)
		value += WEIGHT_RACK;
	if (bh_host_is_wanted(host, step, now))
		value += WEIGHT_WANTED;
	if (task->avoided_host == host)
		value += WEIGHT_LAST_FAILED;
	if (host->speed < 0.8)
		value += WEIGHT_SLOW * (1 / MAX(host->speed, 0.1) - 1);
	if (host->info.cold_ms)
		value += WEIGHT_SLOW;
	if (bh_task_is_suspect(task))
		value += suspect_score(task, host);
	else
		value += WEIGHT_SUSPICION * host->suspicion;
	return value;
}

bool bh_host_is_usable(const bh_host_t *host, bh_usec_t now)
{
	return accepts_work(host, now) && now >= host->quarantined_until;
}

int64_t bh_host_usable_in_ms(const bh_host_t *host, bh_usec_t now)
{
	bh_usec_t until = MAX(host->quarantined_until,
			      MAX(host->full_until, host->trial_until));

	if (!accepts_work_later(host, now))
		return -1;
	return (MAX(until - now, 0) + BH_USEC_PER_MS - 1) / BH_USEC_PER_MS;
}

bool bh_host_can_start(bh_sched_t *s, const bh_task_t *task,
		       const bh_host_t *host, bh_usec_t now)
{
	double spare;

	return is_eligible(s, task, host, is_starved(s, task, now), &spare,
			   now) &&
	       !must_wait_as_suspect(task, host, now);
}

/* Whether an earlier leader may have started its tasks, and some host has not
 * been heard of since. */
static bool may_run_unseen(const bh_sched_t *s, const bh_phase_t *phase)
{
	return s->is_recovering && phase->rec->is_inherited;
}

/* @rack: the host has to be there; NULL: anywhere */
static bh_host_t *find_host_in(bh_sched_t *s, bh_task_t *task,
			       const bh_host_t *excluded, const char *rack,
			       bh_usec_t now)
{
	bh_host_t *best = NULL;
	bh_host_t *host;
	double best_score = 0;
	bool must_wait = false;
	bool starved;

	if (s->are_starts_held || may_run_unseen(s, task->phase))
		return NULL;
	starved = is_starved(s, task, now);
	TAILQ_FOREACH(host, &s->hosts, link) {
		double spare;
		double value;

		if (host == excluded ||
		    (rack && g_strcmp0(rack, host->rack) != 0) ||
		    !is_eligible(s, task, host, starved, &spare, now))
			continue;
		if (must_wait_as_suspect(task, host, now)) {
			must_wait = true;
			continue;
		}
		value = score(task, host, spare, now);
		if (!best || value < best_score) {
			best = host;
			best_score = value;
		}
	}
	if (!best && must_wait && !awaits_store(task) && !task->held_since)
		task->held_since = now;
	return best;
}

bh_host_t *bh_sched_find_host(bh_sched_t *s, bh_task_t *task,
			      const bh_host_t *excluded, bh_usec_t now)
{
	return find_host_in(s, task, excluded, NULL, now);
}

static bool is_preemptible(const bh_run_t *run, const bh_phase_t *preemptor)
{
	const bh_phase_t *phase = run->task->phase;

	return phase->step->is_filler && run->state != BH_RUN_STOPPING &&
	       phase->rec->job->terms.priority >
		       preemptor->rec->job->terms.priority;
}

/* Memory held by fillers with a lower priority than @preemptor; those without
 * checkpoints count only if @include_unsaved is set. */
static uint64_t preemptible_memory(const bh_host_t *host,
				   const bh_phase_t *preemptor,
				   bool include_unsaved)
{
	const bh_run_t *run;
	uint64_t memory = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (is_preemptible(run, preemptor) &&
		    (include_unsaved ||
		     run->task->phase->step->is_checkpointing))
			memory += run->task->phase->step->memory_mb;
	}
	return memory;
}

static bool fits_after_preemption(const bh_host_t *host,
				  const bh_phase_t *phase, bool include_unsaved)
{
	const bh_step_t *step = phase->step;

	return host->used_cpu + step->cpu_milli <= host->info.cpu_milli &&
	       host->used_accelerators + step->accelerators <=
		       host->info.accelerators &&
	       host->used_memory + step->memory_mb <=
		       host->info.memory_mb +
			       preemptible_memory(host, phase, include_unsaved);
}

static void preempt_fillers(bh_sched_t *s, bh_host_t *host, bh_phase_t *phase,
			    bool include_unsaved, bh_usec_t now)
{
	uint64_t wanted = host->used_memory + phase->step->memory_mb;
	uint64_t freed = 0;
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (wanted <= host->info.memory_mb + freed)
			return;
		if (!is_preemptible(run, phase) ||
		    (!include_unsaved &&
		     !run->task->phase->step->is_checkpointing))
			continue;
		freed += run->task->phase->step->memory_mb;
		bh_run_stop(s, run,
			    "preempted, a higher priority needs its memory",
			    now);
	}
}

/* Slowed and paused fillers still hold memory, and a more urgent task must not
 * wait for them. Makes room for one task at a time, and stops fillers without
 * checkpoints only if the others are not enough. */
static void preempt_for_task(bh_sched_t *s, bh_phase_t *phase,
			     const bh_task_t *task, bh_usec_t now)
{
	bh_host_t *host;

	if (phase->step->is_filler ||
	    now - task->waiting_since < PREEMPT_AFTER_US ||
	    now - phase->preempted_at < PREEMPT_AFTER_US)
		return;
	for (int include_unsaved = 0; include_unsaved <= 1; include_unsaved++) {
		TAILQ_FOREACH(host, &s->hosts, link) {
			if (!bh_host_is_suitable(task, host, now) ||
			    !fits_after_preemption(host, phase,
						   include_unsaved))
				continue;
			phase->preempted_at = now;
			preempt_fillers(s, host, phase, include_unsaved, now);
			return;
		}
	}
}

/* Logs how many hosts are ruled out for each reason; a host counts for the
 * first reason that applies. */
static void explain_wait(bh_sched_t *s, bh_phase_t *phase,
			 const bh_task_t *task, bh_usec_t now)
{
	const bh_step_t *step = phase->step;
	uint32_t unusable = 0;
	uint32_t unsuitable = 0;
	uint32_t memory = 0;
	uint32_t cpu = 0;
	uint32_t reserved = 0;
	uint32_t suspects = 0;
	uint32_t would_disturb = 0;
	double load;
	const bh_host_t *host;
	char name[BH_TASK_NAME_BYTES];

	if (now - phase->explained_at < EXPLAIN_EVERY_US)
		return;
	phase->explained_at = now;
	load = service_load(s, phase->rec->job->terms.service, now);
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!bh_host_is_usable(host, now))
			unusable++;
		else if (!bh_host_is_suitable(task, host, now))
			unsuitable++;
		else if (host->used_memory + step->memory_mb >
			 host->info.memory_mb)
			memory++;
		else if (!bh_host_has_room(host, step))
			cpu++;
		else if (!bh_reserve_allows(host, step))
			reserved++;
		else if (must_wait_as_suspect(task, host, now))
			suspects++;
		else
			would_disturb++;
	}
	bh_task_full_name(task, name);
	bh_sched_log(
		s, "no host", phase->rec->job->id,
		"task=%s waited_ms=%" G_GINT64_FORMAT
		" cpu=%u memory_mb=%u waiting=%u runs=%u load_percent=%u"
		" unusable=%u unsuitable=%u no_memory=%u no_cpu=%u reserved=%u"
		" suspects=%u would_disturb=%u",
		name + BH_JOB_ID_LEN + 1, (now - task->waiting_since) / 1000,
		step->cpu_milli, step->memory_mb, phase->waiting,
		phase->rec->n_runs, (uint32_t)(100 * load), unusable,
		unsuitable, memory, cpu, reserved, suspects, would_disturb);
}

/* Reserves resources for the first task that waits, or for all members of a
 * gang, since they start at the same time. */
static void reserve_for_phase(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	uint32_t wanted = phase->step->is_gang ? phase->step->count : 1;

	if (phase->step->is_filler)
		return;
	for (uint32_t i = 0; i < phase->step->count && wanted; i++) {
		const bh_task_t *task = &phase->tasks[i];
		bh_host_t *host;

		if (task->is_done || bh_task_has_run(task) ||
		    is_held(task, now) || task->waits_for_rack ||
		    now - task->waiting_since < RESERVE_AFTER_US)
			continue;
		if (s->n_reservations == RESERVATIONS_MAX)
			return;
		s->n_reservations++;
		wanted--;
		host = bh_reserve(s, task, now);
		if (host)
			bh_racks_note_reservation(phase, host);
	}
}

static void start_task(bh_sched_t *s, bh_task_t *task, bh_host_t *host,
		       uint32_t attempt, bh_usec_t now)
{
	bh_racks_note_start(s, task, host, now);
	bh_run_start(s, task, host, attempt, now);
}

/* Tasks that wait for their rack lack no room: those after them are placed.
 * Return: false if a task lacks room. */
static bool place_phase(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	bool lacks_room = false;
	bh_rack_plan_t plan;

	bh_racks_plan(s, phase, &plan, now);
	for (uint32_t i = 0; i < phase->step->count && phase->waiting; i++) {
		bh_task_t *task = &phase->tasks[i];
		bh_host_t *host;

		if (task->is_done || bh_task_has_run(task))
			continue;
		if (lacks_room && !task->waits_for_rack)
			continue;
		if (bh_racks_defer_task(s, &plan, task, now) || lacks_room)
			continue;
		host = bh_sched_find_host(s, task, NULL, now);
		if (!host && is_held(task, now)) {
			explain_wait(s, phase, task, now);
			continue;
		}
		if (!host) {
			explain_wait(s, phase, task, now);
			preempt_for_task(s, phase, task, now);
			/* Those after it may have to end their waits. */
			if (!phase->rack_waits)
				return false;
			lacks_room = true;
			continue;
		}
		start_task(s, task, host, bh_task_next_attempt(s, task), now);
		bh_racks_plan_start(s, &plan, phase, host);
		if (is_on_trial(task))
			host->trial_until = now + TRIAL_US;
	}
	return !lacks_room;
}

/* A gang starts as a whole or not at all: hosts are found for all members with
 * provisional runs before the first start is ordered. The same holds for other
 * tasks that are placed in one rack together.
 * @rack: the hosts have to be there; NULL: anywhere */
static bool place_together(bh_sched_t *s, bh_phase_t *phase, const char *rack,
			   bh_usec_t now)
{
	uint32_t n = phase->step->count;
	g_autofree bh_run_t **runs = g_new0(bh_run_t *, n);
	g_autofree uint32_t *last_attempts = g_new0(uint32_t, n);
	uint32_t attempt = 0;
	uint32_t placed = 0;
	const char *checkpoint = NULL;

	if (phase->waiting < n)
		return true;
	for (uint32_t i = 0; i < n; i++) {
		if (awaits_store(&phase->tasks[i]))
			return true;
		attempt =
			MAX(attempt, bh_task_next_attempt(s, &phase->tasks[i]));
		if (phase->tasks[i].checkpoint)
			checkpoint = phase->tasks[i].checkpoint;
	}
	for (; placed < n; placed++) {
		bh_task_t *task = &phase->tasks[placed];
		bh_host_t *host = find_host_in(s, task, NULL, rack, now);

		if (!host)
			break;
		last_attempts[placed] = task->attempt;
		runs[placed] =
			bh_run_new(task, host, attempt, BH_RUN_ORDERED, now);
	}
	for (uint32_t i = 0; i < placed; i++) {
		bh_task_t *task = runs[i]->task;
		bh_host_t *host = runs[i]->host;

		bh_run_drop(s, runs[i]);
		bh_task_set_waiting(task, true);
		if (placed < n) {
			/* A gang without room is tried in each pass, which
			 * would soon use up the numbers of the term. */
			task->attempt = last_attempts[i];
			continue;
		}
		if (phase->step->is_gang && checkpoint &&
		    checkpoint != task->checkpoint) {
			g_free(task->checkpoint);
			task->checkpoint = g_strdup(checkpoint);
		}
		start_task(s, task, host, attempt, now);
	}
	return placed == n;
}

/* Return: false if the group is to be spread. */
static bool place_in_one_rack(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	bool must_place = s->must_place;
	int64_t wait_ms;
	bh_rack_t *rack;

	while ((rack = bh_racks_find_for_group(s, phase, &wait_ms, now)) !=
		       NULL &&
	       wait_ms == 0) {
		if (place_together(s, phase, bh_rack_name(rack), now))
			return true;
		/* Nothing has changed by provisional runs that were dropped. */
		s->must_place = must_place;
		bh_rack_refuse(rack, phase);
	}
	return bh_racks_defer_group(s, phase, rack, wait_ms, now);
}

/* Whether a later leader may have been elected before the job was stored, and
 * have started its tasks. */
static bool is_uncovered(bh_sched_t *s, const bh_phase_t *phase)
{
	if (bh_job_is_covered(phase->rec->added_at, s->led_at))
		return false;
	s->has_uncovered_job = true;
	return true;
}

void bh_sched_place_all(bh_sched_t *s, bh_usec_t now)
{
	GPtrArray *phases = g_ptr_array_new();
	bh_phase_t *phase;
	bh_phase_t *next;
	bh_host_t *host;
	uint32_t unplaced = 0;

	bh_reserve_clear(s);
	s->n_reservations = 0;
	s->has_uncovered_job = false;
	bh_racks_begin_pass(s, now);
	bh_advice_begin_pass(s);
	TAILQ_FOREACH(host, &s->hosts, link)
		bh_host_update_suspicion(host);
	TAILQ_FOREACH_SAFE(phase, &s->open, link, next) {
		if (phase->waiting == 0) {
			TAILQ_REMOVE(&s->open, phase, link);
			phase->is_queued = false;
			continue;
		}
		phase->rank = bh_phase_rank(s, phase, now);
		g_ptr_array_add(phases, phase);
	}
	if (phases->len)
		qsort(phases->pdata, phases->len, sizeof(gpointer), by_rank);
	for (guint i = 0; i < phases->len && unplaced < UNPLACED_PHASES_MAX;
	     i++) {
		bool is_placed;

		phase = phases->pdata[i];
		if (may_run_unseen(s, phase) || is_uncovered(s, phase) ||
		    bh_phase_awaits_advice(s, phase, now))
			continue;
		if (bh_racks_is_group(s, phase) &&
		    place_in_one_rack(s, phase, now))
			continue;
		is_placed = phase->step->is_gang
				    ? place_together(s, phase, NULL, now)
				    : place_phase(s, phase, now);
		if (!is_placed) {
			bh_phase_want_advice(s, phase, now);
			reserve_for_phase(s, phase, now);
			unplaced++;
		}
	}
	bh_advice_end_pass(s, now);
	g_ptr_array_free(phases, TRUE);
}
