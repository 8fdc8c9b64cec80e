/*
 * Order and place of what waits. Answers: more work than room, so that order
 * decides what callers lose; serving tasks beside tasks that press on them;
 * wide steps that block narrow ones; data that lies in one rack.
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Weights of a host's score, in parts of a fully loaded host. */
#define WEIGHT_RACK  3.0
#define WEIGHT_SLOW  2.0
#define WEIGHT_SHUN  4.0
#define WEIGHT_SPARE 3.0
#define WEIGHT_MIX   0.3

/* Headroom short of the goal beyond which more is no worse. */
#define SHORT_MAX 3.0

/* Ranks of phases: priority first, then those that can still end in time. */
#define RANK_PRIORITY_SHIFT 48
#define RANK_LATE	    ((uint64_t)1 << 47)

/* A filler that has waited so long goes where it disturbs least, at the pace
 * that its neighbours bear there. */
#define FORCE_AFTER_US (2000 * BH_USEC_PER_MS)

/* More urgent work waits so long for room before fillers give way, and for
 * their stops before more of them do. */
#define PREEMPT_AFTER_US (300 * BH_USEC_PER_MS)

/* Each worker named lengthens the adviser's answer. */
#define ADVICE_WORKERS_MAX 30

/* An adviser that has not answered by then is asked again. */
#define ADVICE_AGAIN_US (1500 * BH_USEC_PER_MS)

/* Reports come every 200 ms; one that is so old says little. */
#define REPORT_FRESH_US (1500 * BH_USEC_PER_MS)

/* Phases that may find no room before the pass ends, a bound on its cost. */
#define MISSES_MAX 200

/* A task that found no room for so long gets a reservation; so many are held at
 * a time, a bound on a pass's cost. */
#define RESERVE_AFTER_US (300 * BH_USEC_PER_MS)
#define RESERVATIONS_MAX 16

/* A task that has to last and has waited so long tries a shunned host. */
#define SHUNNED_AFTER_US (2000 * BH_USEC_PER_MS)

/* Between two log lines on why a phase's tasks wait. */
#define EXPLAIN_EVERY_US (2000 * BH_USEC_PER_MS)

/* May take work, its own failures apart. */
static bool is_reachable(const bh_host_t *host, bh_usec_t now)
{
	return host->is_linked && host->is_synced && host->info.id &&
	       host->info.boot && host->info.state == BH_WORKER_READY &&
	       now - host->heard_at < REPORT_FRESH_US && host->expires_ms &&
	       host->lease_ends_at - now > BH_USEC_PER_SEC &&
	       now >= host->full_until;
}

static int64_t left_ms_of(const bh_phase_t *phase)
{
	const bh_rec_t *rec = phase->rec;
	uint64_t steps = MAX(rec->job->n_steps, 1);
	uint64_t done = rec->phases_done % steps;

	return (int64_t)(rec->critical_path_ms * (steps - done) / steps);
}

static uint64_t rank_of(const bh_sched_t *s, const bh_phase_t *phase)
{
	const bh_job_t *job = phase->rec->job;
	uint64_t rank = (uint64_t)job->terms.priority << RANK_PRIORITY_SHIFT;
	uint64_t due = job->accepted_ms;
	int64_t left = left_ms_of(phase);

	if (phase->step->is_long_running)
		return rank;
	if (job->first_due_ms)
		due = job->first_due_ms + phase->occurrence * job->interval_ms;
	due += bh_job_objective_ms(job, phase->rec->critical_path_ms);
	/* Late work goes by what it still needs, so that most of it ends. */
	if ((int64_t)due - left < (int64_t)s->unix_ms)
		return rank + RANK_LATE + (uint64_t)left;
	return rank + (due - (uint64_t)left) % RANK_LATE;
}

static int by_rank(const void *a, const void *b)
{
	const bh_phase_t *x = *(bh_phase_t *const *)a;
	const bh_phase_t *y = *(bh_phase_t *const *)b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return 0;
}

static uint32_t count_on_host(const bh_phase_t *phase, const bh_host_t *host)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < phase->step->count; i++) {
		for (int r = 0; r < BH_RUNS_MAX; r++) {
			const bh_run_t *run = phase->tasks[i].runs[r];

			if (run && run->host == host)
				n++;
		}
	}
	return n;
}

static bool has_label(const bh_host_t *host, const char *label)
{
	for (uint32_t i = 0; i < host->info.n_labels; i++) {
		if (strcmp(host->info.labels[i], label) == 0)
			return true;
	}
	return false;
}

static bool has_room(const bh_host_t *host, const bh_step_t *step)
{
	if (host->used_memory + step->memory_mb > host->info.memory_mb ||
	    host->used_accelerators + step->accelerators >
		    host->info.accelerators)
		return false;
	if (step->is_filler)
		return bh_host_filler_room(host) >= (int64_t)step->cpu_milli;
	return host->used_cpu + step->cpu_milli <= host->info.cpu_milli;
}

/* A job of which nothing runs must not wait for ever for a place where it
 * disturbs nobody. */
static bool must_run(const bh_task_t *task, bh_usec_t now)
{
	return task->phase->rec->n_runs == 0 &&
	       now - task->waiting_since > FORCE_AFTER_US;
}

/* One new task at a time; what ran there before says nothing. */
static bool is_being_probed(const bh_host_t *host, bh_usec_t now)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_probe(run, now))
			return true;
	}
	return false;
}

/* A doubtful host is better than none for a task that has to last. */
static bool may_try_shunned(const bh_task_t *task, bh_usec_t now)
{
	return task->phase->step->is_long_running &&
	       now - task->waiting_since > SHUNNED_AFTER_US;
}

bool bh_host_is_suitable(const bh_task_t *task, const bh_host_t *host,
			 bh_usec_t now)
{
	const bh_phase_t *phase = task->phase;
	const bh_step_t *step = phase->step;

	if (!is_reachable(host, now) ||
	    (now < host->quarantined_until && !may_try_shunned(task, now)) ||
	    g_strcmp0(host->info.service, phase->rec->job->terms.service) != 0)
		return false;
	if (step->label && !has_label(host, step->label))
		return false;
	if (host->is_probing && is_being_probed(host, now))
		return false;
	if (step->max_per_host &&
	    count_on_host(phase, host) >= step->max_per_host)
		return false;
	if (phase->tickets &&
	    !g_hash_table_contains(phase->tickets, host->info.id))
		return false;
	return true;
}

/* @spare: headroom that a filler would leave there, 0 for other tasks. */
static bool is_eligible(const bh_sched_t *s, const bh_task_t *task,
			const bh_host_t *host, double *spare, bh_usec_t now)
{
	const bh_step_t *step = task->phase->step;

	*spare = 0;
	if (!bh_host_is_suitable(task, host, now) || !has_room(host, step) ||
	    !bh_reserve_leaves(host, step))
		return false;
	if (!step->is_filler)
		return true;
	if (host->is_harmed)
		return false;
	*spare = bh_plan_spare(s, host, task->phase);
	return must_run(task, now) || *spare >= 0;
}

static double cpu_share(const bh_host_t *host, uint64_t cpu)
{
	return (double)cpu / MAX(host->info.cpu_milli, 1);
}

/* Images of lasting tasks on a host that are not @image. */
static double other_images(const bh_host_t *host, const char *image)
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

/* Lasting tasks are packed, those of an image together, so that a filler finds
 * hosts without any that it disturbs. */
static double load_score(const bh_host_t *host, const bh_step_t *step,
			 double spare)
{
	double used = cpu_share(host, host->used_cpu);
	double fillers = cpu_share(host, host->filler_cpu);

	if (step->is_filler)
		return used * host->filler_share + fillers -
		       WEIGHT_SPARE * MAX(spare, -SHORT_MAX);
	if (step->is_long_running)
		return fillers - used +
		       WEIGHT_MIX * other_images(host, step->image);
	return used + fillers / 2;
}

static double score(const bh_task_t *task, const bh_host_t *host, double spare)
{
	const bh_step_t *step = task->phase->step;
	double value = load_score(host, step, spare);

	if (step->rack && g_strcmp0(step->rack, host->rack) != 0)
		value += WEIGHT_RACK;
	if (task->avoided_host == host)
		value += WEIGHT_SHUN;
	if (host->speed < 0.8)
		value += WEIGHT_SLOW * (1 / MAX(host->speed, 0.1) - 1);
	if (host->info.cold_ms)
		value += WEIGHT_SLOW;
	return value;
}

bool bh_host_is_usable(const bh_host_t *host, bh_usec_t now)
{
	return is_reachable(host, now) && now >= host->quarantined_until;
}

bh_host_t *bh_sched_find_host(bh_sched_t *s, const bh_task_t *task,
			      const bh_host_t *not_on, bh_usec_t now)
{
	bh_host_t *best = NULL;
	bh_host_t *host;
	double best_score = 0;

	TAILQ_FOREACH(host, &s->hosts, link) {
		double spare;
		double value;

		if (host == not_on || !is_eligible(s, task, host, &spare, now))
			continue;
		value = score(task, host, spare);
		if (!best || value < best_score) {
			best = host;
			best_score = value;
		}
	}
	return best;
}

static bool may_give_way(const bh_run_t *run, const bh_phase_t *to)
{
	const bh_phase_t *phase = run->task->phase;

	return phase->step->is_filler && run->state != BH_RUN_STOPPING &&
	       phase->rec->job->terms.priority > to->rec->job->terms.priority;
}

/* Memory of a host that less urgent fillers hold, those without checkpoints
 * left out unless @is_all. */
static uint64_t memory_to_give(const bh_host_t *host, const bh_phase_t *to,
			       bool is_all)
{
	const bh_run_t *run;
	uint64_t memory = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (may_give_way(run, to) &&
		    (is_all || run->task->phase->step->is_checkpointing))
			memory += run->task->phase->step->memory_mb;
	}
	return memory;
}

static bool fits_without(const bh_host_t *host, const bh_phase_t *phase,
			 bool is_all)
{
	const bh_step_t *step = phase->step;

	return host->used_cpu + step->cpu_milli <= host->info.cpu_milli &&
	       host->used_accelerators + step->accelerators <=
		       host->info.accelerators &&
	       host->used_memory + step->memory_mb <=
		       host->info.memory_mb +
			       memory_to_give(host, phase, is_all);
}

static void stop_fillers(bh_sched_t *s, bh_host_t *host, bh_phase_t *phase,
			 bool is_all, bh_usec_t now)
{
	uint64_t wanted = host->used_memory + phase->step->memory_mb;
	uint64_t freed = 0;
	bh_run_t *run;
	bh_run_t *next;

	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (wanted <= host->info.memory_mb + freed)
			return;
		if (!may_give_way(run, phase) ||
		    (!is_all && !run->task->phase->step->is_checkpointing))
			continue;
		freed += run->task->phase->step->memory_mb;
		bh_run_stop(s, run, "more urgent work needs its memory", now);
	}
}

/* Fillers hold memory while they wait or are paced down; a serving task that is
 * due must not wait for them. One task's room at a time. */
static void make_room(bh_sched_t *s, bh_phase_t *phase, const bh_task_t *task,
		      bh_usec_t now)
{
	bh_host_t *host;

	if (phase->step->is_filler ||
	    now - task->waiting_since < PREEMPT_AFTER_US ||
	    now - phase->preempted_at < PREEMPT_AFTER_US)
		return;
	for (int is_all = 0; is_all <= 1; is_all++) {
		TAILQ_FOREACH(host, &s->hosts, link) {
			if (!bh_host_is_suitable(task, host, now) ||
			    !fits_without(host, phase, is_all))
				continue;
			phase->preempted_at = now;
			stop_fillers(s, host, phase, is_all, now);
			return;
		}
	}
}

/* Logs what keeps a task from each host, the first reason of each. */
static void explain_wait(bh_sched_t *s, bh_phase_t *phase,
			 const bh_task_t *task, bh_usec_t now)
{
	const bh_step_t *step = phase->step;
	uint32_t unusable = 0;
	uint32_t unsuitable = 0;
	uint32_t memory = 0;
	uint32_t cpu = 0;
	uint32_t reserved = 0;
	uint32_t harm = 0;
	const bh_host_t *host;
	char name[BH_TASK_NAME_BYTES];

	if (now - phase->explained_at < EXPLAIN_EVERY_US)
		return;
	phase->explained_at = now;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!bh_host_is_usable(host, now))
			unusable++;
		else if (!bh_host_is_suitable(task, host, now))
			unsuitable++;
		else if (host->used_memory + step->memory_mb >
			 host->info.memory_mb)
			memory++;
		else if (!has_room(host, step))
			cpu++;
		else if (!bh_reserve_leaves(host, step))
			reserved++;
		else
			harm++;
	}
	bh_task_full_name(task, name);
	bh_sched_log(s, "no host", phase->rec->job->id,
		     "task=%s waited_ms=%" G_GINT64_FORMAT
		     " cpu=%u memory_mb=%u waiting=%u unusable=%u"
		     " unsuitable=%u no_memory=%u no_cpu=%u reserved=%u"
		     " would_disturb=%u",
		     name + BH_JOB_ID_LEN + 1,
		     (now - task->waiting_since) / 1000, step->cpu_milli,
		     step->memory_mb, phase->waiting, unusable, unsuitable,
		     memory, cpu, reserved, harm);
}

/* Keeps room for the first task that waits; a gang's members need theirs at the
 * same time. */
static void reserve(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	uint32_t wanted = phase->step->is_gang ? phase->step->count : 1;

	if (phase->step->is_filler)
		return;
	for (uint32_t i = 0; i < phase->step->count && wanted; i++) {
		const bh_task_t *task = &phase->tasks[i];

		if (task->is_done || bh_task_has_run(task) ||
		    now - task->waiting_since < RESERVE_AFTER_US)
			continue;
		if (s->n_reservations == RESERVATIONS_MAX)
			return;
		s->n_reservations++;
		wanted--;
		bh_reserve(s, task, now);
	}
}

/* Return: false when there was no room for a task. */
static bool place_phase(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	for (uint32_t i = 0; i < phase->step->count && phase->waiting; i++) {
		bh_task_t *task = &phase->tasks[i];
		bh_host_t *host;

		if (task->is_done || bh_task_has_run(task))
			continue;
		host = bh_sched_find_host(s, task, NULL, now);
		if (!host) {
			explain_wait(s, phase, task, now);
			make_room(s, phase, task, now);
			return false;
		}
		bh_run_start(s, task, host, bh_task_next_attempt(s, task), now);
	}
	return true;
}

/* A gang starts whole or not at all: room is found first, then ordered. */
static bool place_gang(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	uint32_t n = phase->step->count;
	g_autofree bh_run_t **runs = g_new0(bh_run_t *, n);
	uint32_t attempt = 0;
	uint32_t placed = 0;
	const char *checkpoint = NULL;

	if (phase->waiting < n)
		return true;
	for (uint32_t i = 0; i < n; i++) {
		attempt =
			MAX(attempt, bh_task_next_attempt(s, &phase->tasks[i]));
		if (phase->tasks[i].checkpoint)
			checkpoint = phase->tasks[i].checkpoint;
	}
	for (; placed < n; placed++) {
		bh_task_t *task = &phase->tasks[placed];
		bh_host_t *host = bh_sched_find_host(s, task, NULL, now);

		if (!host)
			break;
		runs[placed] =
			bh_run_new(task, host, attempt, BH_RUN_ORDERED, now);
	}
	for (uint32_t i = 0; i < placed; i++) {
		bh_task_t *task = runs[i]->task;
		bh_host_t *host = runs[i]->host;

		bh_run_drop(s, runs[i]);
		bh_task_set_waiting(task, true);
		if (placed < n)
			continue;
		if (checkpoint && checkpoint != task->checkpoint) {
			g_free(task->checkpoint);
			task->checkpoint = g_strdup(checkpoint);
		}
		bh_run_start(s, task, host, attempt, now);
	}
	return placed == n;
}

static bool needs_tickets(bh_sched_t *s, bh_phase_t *phase, bh_usec_t now)
{
	const bh_queue_t *queue =
		bh_config_queue(s->config, phase->rec->job->queue);
	const char *workers[ADVICE_WORKERS_MAX];
	char name[BH_TASK_NAME_BYTES];
	const bh_host_t *host;
	uint32_t n = 0;

	if (!queue || !queue->needs_advice)
		return false;
	if (phase->tickets && now < phase->tickets_until)
		return false;
	if (phase->advice_asked_at &&
	    now - phase->advice_asked_at < ADVICE_AGAIN_US)
		return true;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (n < G_N_ELEMENTS(workers) && bh_host_is_usable(host, now))
			workers[n++] = host->info.id;
	}
	if (n == 0)
		return true;
	phase->advice_asked_at = now;
	g_snprintf(name, sizeof(name), "%s.%u.%u", phase->rec->job->id,
		   phase->occurrence, phase->step_index);
	s->ops->advise(s->ctx, name, workers, n);
	return true;
}

void bh_sched_place_all(bh_sched_t *s, bh_usec_t now)
{
	GPtrArray *phases = g_ptr_array_new();
	bh_phase_t *phase;
	bh_phase_t *next;
	uint32_t misses = 0;

	bh_reserve_clear(s);
	s->n_reservations = 0;
	TAILQ_FOREACH_SAFE(phase, &s->open, link, next) {
		if (phase->waiting == 0) {
			TAILQ_REMOVE(&s->open, phase, link);
			phase->is_queued = false;
			continue;
		}
		phase->rank = rank_of(s, phase);
		g_ptr_array_add(phases, phase);
	}
	if (phases->len)
		qsort(phases->pdata, phases->len, sizeof(gpointer), by_rank);
	for (guint i = 0; i < phases->len && misses < MISSES_MAX; i++) {
		bool is_placed;

		phase = phases->pdata[i];
		if (needs_tickets(s, phase, now))
			continue;
		is_placed = phase->step->is_gang ? place_gang(s, phase, now)
						 : place_phase(s, phase, now);
		if (!is_placed) {
			reserve(s, phase, now);
			misses++;
		}
	}
	g_ptr_array_free(phases, TRUE);
}
