/*
 * Answers: serving tasks whose tail latency suffers from the fillers beside
 * them, by amounts that differ by image and change within seconds. Fillers get
 * the pace that their neighbours can spare (plan.c), down at once and up
 * slowly; those that may not run move.
 */
#include "sched/sched_impl.h"

/* Between two looks; gauges cover the last half second. */
#define STEER_PERIOD_US (100 * BH_USEC_PER_MS)

/* Two rises of a filler's pace are so far apart: a gauge shows a new pace once
 * its half second has passed. */
#define PACE_SETTLE_US (700 * BH_USEC_PER_MS)

/* Least changes of pace that are worth an order. */
#define PACE_RISE_MIN_PERCENT 15
#define PACE_FALL_MIN_PERCENT 8

/* A filler that stood for so long moves to where it may run. */
#define MOVE_AFTER_US (200 * BH_USEC_PER_MS)

/* Part of the time that a tail may be over its objective because of fillers,
 * after which all of them stand until it is under it again. */
#define IMPACT_DIVISOR 3

/* Progress above which work that has no checkpoint is not thrown away. */
#define MOVE_PERCENT_MAX 30

static void steer_filler(bh_sched_t *s, bh_run_t *run, double pace,
			 bh_usec_t now)
{
	if (run->host->is_over_objective) {
		bh_run_pace(s, run, 0, "a tail is over its objective for long",
			    now);
		return;
	}
	if (pace + PACE_FALL_MIN_PERCENT <= run->pace ||
	    (pace <= 0 && run->pace > 0))
		bh_run_pace(s, run, pace, "its neighbours spare less", now);
	else if (now - run->paced_at >= PACE_SETTLE_US &&
		 (pace >= run->pace + PACE_RISE_MIN_PERCENT ||
		  (pace >= 100 && run->pace < 100)))
		bh_run_pace(s, run, pace, "its neighbours spare more", now);
}

/* Stopping a task that keeps checkpoints throws nothing away. */
static void move_filler(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	const bh_task_t *task = run->task;

	if (run->pace > 0 || now - run->paced_at < MOVE_AFTER_US)
		return;
	if (!task->phase->step->is_checkpointing &&
	    run->percent > MOVE_PERCENT_MAX)
		return;
	if (bh_sched_find_host(s, task, run->host, now))
		bh_run_stop(s, run, "it may not run beside its neighbours",
			    now);
}

static void update_strain(const bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_usec_t limit = s->bounds.impact_ms * BH_USEC_PER_MS / IMPACT_DIVISOR;
	const bh_run_t *run;

	host->strain = 0;
	host->is_over_objective = false;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (!bh_run_is_serving(run) || run->headroom <= 0)
			continue;
		host->strain = MAX(host->strain, 1 / run->headroom);
		if (run->over_objective_since &&
		    now - run->over_objective_since > limit)
			host->is_over_objective = true;
	}
}

static void steer_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_pace_t paces[BH_PACES_MAX];
	uint32_t n;

	update_strain(s, host, now);
	if (host->filler_cpu == 0)
		return;
	n = bh_plan_paces(s, host, paces);
	for (uint32_t k = 0; k < n; k++) {
		steer_filler(s, paces[k].run, paces[k].percent, now);
		move_filler(s, paces[k].run, now);
	}
}

void bh_steer_fillers(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;

	if (now - s->steered_at < STEER_PERIOD_US)
		return;
	bh_pairs_age(s->pairs, (double)(now - s->steered_at) / BH_USEC_PER_SEC);
	s->steered_at = now;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_linked)
			continue;
		if (host->gauges_read_at != host->heard_at) {
			host->gauges_read_at = host->heard_at;
			bh_gauges_update(s, host, now);
		}
		steer_host(s, host, now);
	}
}
