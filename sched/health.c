/*
 * Detects workers that fail tasks which succeed elsewhere, and workers on which
 * tasks stall or run slowly. A host whose attempts keep failing is quarantined;
 * if only one job's attempts fail, the fault may be the job's, and the host is
 * not.
 */
#include "sched/sched_impl.h"

/* Consecutive failures, of at least two jobs, after which a host is
 * quarantined. */
#define FAILURE_STREAK_MAX 3

/* Length of the first quarantine. Each further one is twice as long, up to
 * QUARANTINE_DOUBLINGS_MAX times. */
#define QUARANTINE_MIN_US	 (2 * BH_USEC_PER_SEC)
#define QUARANTINE_DOUBLINGS_MAX 3

/* Time without progress after which a run counts as stalled; longer for tasks
 * with an estimate above 6.4 s. Reports come every 200 ms, so 8 of them have
 * shown no progress by then. */
#define STALL_TIMEOUT_US (1600 * BH_USEC_PER_MS)

/* A long-running task that does not serve requests by then has failed to start.
 */
#define STARTUP_MAX_US (4 * BH_USEC_PER_SEC)

/* A speculative run is copied, and another moved off a host that is slower than
 * SLOW_SPEED relative to others, if a new attempt elsewhere is predicted to end
 * in less than 1 / MOVE_GAIN_MIN of the time. */
#define SLOW_SPEED    0.5
#define MOVE_GAIN_MIN 2

/* Assumed delay until a new attempt has started. */
#define MOVE_OVERHEAD_MS 300

/* Weight of a new value in a host's average speed. */
#define SPEED_WEIGHT 0.2

/* A run is no straggler before the usual run time or this time has passed: its
 * progress is reported in whole percent and up to a report interval late. */
#define STRAGGLER_SAMPLE_MAX_MS 1000.0

/* A filler on a crowded host is slowed by up to half without being paced. */
#define STRAGGLER_FILLER_FACTOR 2

/* Time for which a run is observed before its speed is used. */
#define SPEED_SAMPLE_MIN_US (1000 * BH_USEC_PER_MS)

static void quarantine_host(bh_sched_t *s, bh_host_t *host, const char *why,
			    bh_usec_t now)
{
	uint32_t doublings = MIN(host->quarantines, QUARANTINE_DOUBLINGS_MAX);

	host->quarantines++;
	host->failure_streak = 0;
	host->is_probing = true;
	host->quarantined_until = now + (QUARANTINE_MIN_US << doublings);
	s->stats.quarantines++;
	bh_sched_log(s, "worker quarantined", NULL,
		     "host=%s worker=%s why=%s for_ms=%" G_GINT64_FORMAT,
		     host->key, host->info.id ? host->info.id : "-", why,
		     (host->quarantined_until - now) / 1000);
}

static bool run_is_stalled(const bh_run_t *run, bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;
	uint32_t expected_ms =
		MAX(step->estimate_ms, bh_phase_expected_ms(run->task->phase));

	if (run->state != BH_RUN_ACTIVE || !run->seen_at)
		return false;
	if (step->is_long_running)
		return run->percent < 100 &&
		       now - run->ordered_at > STARTUP_MAX_US;
	if (step->is_filler && run->pace < 100)
		return false;
	return run->percent < 100 &&
	       now - run->progressed_at >
		       MAX(STALL_TIMEOUT_US,
			   (bh_usec_t)expected_ms * BH_USEC_PER_MS / 4);
}

/* Predicts the time until a run ends from its progress so far.
 * Return: -1 while there is too little progress to tell. */
static int64_t time_left_ms(const bh_run_t *run, bh_usec_t now)
{
	uint32_t progress =
		run->percent - MIN(run->percent, run->first_percent);

	if (now - run->seen_at < SPEED_SAMPLE_MIN_US || progress == 0)
		return -1;
	return (now - run->seen_at) / 1000 * (100 - MIN(run->percent, 100)) /
	       progress;
}

/* Predicts the time until a new attempt elsewhere would end. */
static int64_t time_elsewhere_ms(const bh_sched_t *s, const bh_run_t *run)
{
	const bh_phase_t *phase = run->task->phase;

	return MOVE_OVERHEAD_MS +
	       (phase->step->is_checkpointing
			? bh_run_usual_remaining_ms(run) + s->bounds.restore_ms
			: bh_phase_expected_ms(phase));
}

static bool is_worth_moving(bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	return time_left_ms(run, now) >
	       time_elsewhere_ms(s, run) * MOVE_GAIN_MIN;
}

static void start_copy(bh_sched_t *s, bh_task_t *task, const bh_run_t *run,
		       bh_usec_t now)
{
	bh_host_t *host;

	if (task->runs[0] && task->runs[1])
		return;
	host = bh_sched_find_host(s, task, run->host, now);
	if (!host)
		return;
	s->stats.copies++;
	bh_run_start(s, task, host, bh_task_next_attempt(s, task), now);
}

static bool is_straggler(const bh_run_t *run)
{
	const bh_phase_t *phase = run->task->phase;
	double elapsed_ms = run->work_us / 1000;

	if (!run->has_left || run->percent >= 100 || run->task->second_at ||
	    (phase->step->is_filler && run->pace < 100) ||
	    elapsed_ms <
		    MIN(bh_phase_expected_ms(phase), STRAGGLER_SAMPLE_MAX_MS))
		return false;
	return elapsed_ms + run->left_ms >
	       (double)bh_phase_long_ms(phase) *
		       (phase->step->is_filler ? STRAGGLER_FILLER_FACTOR : 1);
}

/* Gives a straggler whose run time is predicted a second attempt: a copy if the
 * step is speculative; otherwise its run is stopped, so that it starts
 * elsewhere. */
static void check_straggler(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;
	const bh_step_t *step = task->phase->step;
	int64_t elapsed = (int64_t)(run->work_us / 1000);
	int64_t left = run->left_ms;
	int64_t there = time_elsewhere_ms(s, run);
	bool is_copy = step->is_speculative;
	int64_t cost = is_copy			? there
		       : step->is_checkpointing ? MOVE_OVERHEAD_MS
						: elapsed;
	char name[BH_TASK_NAME_BYTES];

	/* A run that resumes does not lose what it has done. */
	if (!bh_stragglers_gains(&s->stragglers,
				 step->is_checkpointing ? 0 : elapsed, left,
				 there, is_copy) ||
	    (task->runs[0] && task->runs[1]) ||
	    !bh_sched_find_host(s, task, run->host, now) ||
	    !bh_stragglers_take(&s->stragglers,
				(double)cost * step->cpu_milli / 1000))
		return;
	task->second_at = now;
	task->second_left_ms = left;
	bh_task_full_name(task, name);
	bh_sched_log(
		s, "straggler", task->phase->rec->job->id,
		"task=%s attempt=%u worker=%s how=%s ran_ms=%" G_GINT64_FORMAT
		" percent=%u left_ms=%" G_GINT64_FORMAT
		" elsewhere_ms=%" G_GINT64_FORMAT " chance=%.2f budget_ms=%.0f",
		name + BH_JOB_ID_LEN + 1, run->attempt, run->host->info.id,
		is_copy ? "copy" : "move", elapsed, run->percent, left, there,
		bh_stragglers_chance(&s->stragglers), s->stragglers.budget_ms);
	if (is_copy) {
		start_copy(s, task, run, now);
		return;
	}
	s->stats.moves++;
	task->avoided_host = run->host;
	bh_run_stop(s, run, "takes longer than others", now);
}

static void check_run(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;
	bool is_stalled = run_is_stalled(run, now);

	/* A long-running task does not end successfully; serving requests
	 * counts as success. */
	if (run->host->is_probing && bh_run_is_probe(run, now) &&
	    task->phase->step->is_long_running && run->percent >= 100)
		bh_health_record(s, run->host, task, true, now);

	if (is_stalled) {
		bh_health_record(s, run->host, task, false, now);
		task->avoided_host = run->host;
		bh_run_stop(s, run, "no progress", now);
		return;
	}
	if (run->state != BH_RUN_ACTIVE || task->phase->step->is_long_running ||
	    task->phase->step->is_gang)
		return;
	if (is_straggler(run))
		check_straggler(s, run, now);
	if (run->state != BH_RUN_ACTIVE || task->phase->step->is_filler ||
	    !is_worth_moving(s, run, now))
		return;
	if (task->phase->step->is_speculative) {
		/* Where run times are learned, copies have a budget. */
		if (run->has_left)
			return;
		start_copy(s, task, run, now);
	} else if (run->host->speed < SLOW_SPEED &&
		   bh_sched_find_host(s, task, run->host, now)) {
		task->avoided_host = run->host;
		bh_run_stop(s, run, "worker is slow", now);
	}
}

/* Estimates the host's speed from the progress of its running tasks, long
 * before they end. */
static void update_speed(bh_host_t *host, bh_usec_t now)
{
	double rate_sum = 0;
	uint32_t n = 0;
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;
		int64_t left = time_left_ms(run, now);

		if (run->state != BH_RUN_ACTIVE ||
		    phase->step->is_long_running || phase->step->is_filler ||
		    left < 0 || run->percent >= 100)
			continue;
		rate_sum += (double)(bh_run_usual_remaining_ms(run) + 1) /
			    (double)(left + 1);
		n++;
	}
	if (n >= 2)
		host->speed += SPEED_WEIGHT * (rate_sum / n - host->speed);
}

bool bh_run_is_probe(const bh_run_t *run, bh_usec_t now)
{
	return now >= run->host->quarantined_until &&
	       run->ordered_at >= run->host->quarantined_until;
}

void bh_health_record(bh_sched_t *s, bh_host_t *host, const bh_task_t *task,
		      bool is_good, bh_usec_t now)
{
	const bh_rec_t *rec = task ? task->phase->rec : NULL;

	if (is_good) {
		host->failure_streak = 0;
		host->streak_job = NULL;
		host->is_probing = false;
		host->quarantines = 0;
		return;
	}
	if (host->is_probing && now >= host->quarantined_until) {
		quarantine_host(s, host, "failed again after a quarantine",
				now);
		return;
	}
	/* Consecutive failures of one job may be the job's own fault. */
	if (rec && host->streak_job == rec &&
	    host->failure_streak + 1 >= FAILURE_STREAK_MAX)
		return;
	host->failure_streak++;
	host->streak_job = rec;
	if (host->failure_streak >= FAILURE_STREAK_MAX)
		quarantine_host(s, host, "consecutive attempts failed", now);
}

void bh_health_check_runs(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;
	double speeds = 0;

	TAILQ_FOREACH(host, &s->hosts, link) {
		bh_run_t *run;
		bh_run_t *next;

		update_speed(host, now);
		speeds += host->speed;
		bh_host_clear_suspects(s, host, now);
		TAILQ_FOREACH_SAFE(run, &host->runs, link, next)
			check_run(s, run, now);
	}
	s->mean_speed = s->n_hosts ? speeds / s->n_hosts : 0;
}
