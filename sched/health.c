/*
 * Answers two load patterns: a worker that fails what others do, and a worker
 * on which work stands still or crawls. Jobs that fail everywhere are charged
 * to the job, not to the worker.
 */
#include "sched/sched_impl.h"

/* Failures in a row, of two jobs or more, after which a host is quarantined.
 */
#define FAILURE_STREAK_MAX 3

/* First time out; each further one doubles it, up to the longest. */
#define QUARANTINE_MIN_US	 (2 * BH_USEC_PER_SEC)
#define QUARANTINE_DOUBLINGS_MAX 3

/* Reports come every 200 ms, so that this many of them show no progress. */
#define STALL_TIMEOUT_US (1600 * BH_USEC_PER_MS)

/* A lasting task that does not serve by then has not come up. */
#define STARTUP_MAX_US (4 * BH_USEC_PER_SEC)

/* Below this part of its siblings' speed a run is worth moving, if a fresh
 * start elsewhere ends in less than half the time. */
#define SLOW_SPEED    0.5
#define MOVE_GAIN_MIN 2

/* Time for which a run is watched before its speed is judged. */
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
	bh_sched_log(s, "worker shunned", NULL,
		     "host=%s worker=%s why=%s for_ms=%" G_GINT64_FORMAT,
		     host->key, host->info.id ? host->info.id : "-", why,
		     (host->quarantined_until - now) / 1000);
}

static bool run_is_stalled(const bh_run_t *run, bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;

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
			   (bh_usec_t)step->estimate_ms * BH_USEC_PER_MS / 4);
}

/* Return: -1 when it cannot be told yet. */
static int64_t time_left_ms(const bh_run_t *run, bh_usec_t now)
{
	uint32_t progress =
		run->percent - MIN(run->percent, run->first_percent);

	if (now - run->seen_at < SPEED_SAMPLE_MIN_US || progress == 0)
		return -1;
	return (now - run->seen_at) / 1000 * (100 - MIN(run->percent, 100)) /
	       progress;
}

static bool is_worth_moving(bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	const bh_step_t *step = run->task->phase->step;
	int64_t here = time_left_ms(run, now);
	int64_t there = step->is_checkpointing ? bh_run_remaining_ms(run) +
							 s->bounds.restore_ms
					       : (int64_t)step->estimate_ms;

	return here > (there + 300) * MOVE_GAIN_MIN;
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

static void check_run(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;
	bool is_stalled = run_is_stalled(run, now);

	/* A task that lasts has no end that would say that all is well. */
	if (run->host->is_probing && bh_run_is_probe(run, now) &&
	    task->phase->step->is_long_running && run->percent >= 100)
		bh_health_record(s, run->host, task, true, now);

	if (is_stalled) {
		bh_health_record(s, run->host, task, false, now);
		task->avoided_host = run->host;
		bh_run_stop(s, run, "it stands still", now);
		return;
	}
	if (run->state != BH_RUN_ACTIVE || task->phase->step->is_long_running ||
	    task->phase->step->is_filler || task->phase->step->is_gang ||
	    !is_worth_moving(s, run, now))
		return;
	if (task->phase->step->is_speculative) {
		start_copy(s, task, run, now);
	} else if (run->host->speed < SLOW_SPEED &&
		   bh_sched_find_host(s, task, run->host, now)) {
		task->avoided_host = run->host;
		bh_run_stop(s, run, "its worker is slow", now);
	}
}

/* A running task tells of its worker's speed long before it ends. */
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
		rate_sum += (double)(bh_run_remaining_ms(run) + 1) /
			    (double)(left + 1);
		n++;
	}
	if (n >= 2)
		host->speed += 0.2 * (rate_sum / n - host->speed);
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
		quarantine_host(s, host, "it failed again", now);
		return;
	}
	/* Failures of one job alone may be the job's own. */
	if (rec && host->streak_job == rec &&
	    host->failure_streak + 1 >= FAILURE_STREAK_MAX)
		return;
	host->failure_streak++;
	host->streak_job = rec;
	if (host->failure_streak >= FAILURE_STREAK_MAX)
		quarantine_host(s, host, "attempts fail in a row", now);
}

void bh_health_check_runs(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		bh_run_t *run;
		bh_run_t *next;

		update_speed(host, now);
		TAILQ_FOREACH_SAFE(run, &host->runs, link, next)
			check_run(s, run, now);
	}
}
