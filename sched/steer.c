/*
 * Control loop that protects the tail latency of serving tasks from fillers on
 * the same host. Interference differs by image and changes within seconds.
 * Fillers get the pace that the headroom of the serving tasks allows (plan.c):
 * it is lowered at once and raised slowly. A filler that has to pause is moved
 * to another host if one can run it.
 */
#include "sched/sched_impl.h"

/* Control period; gauges cover the last 500 ms. */
#define STEER_PERIOD_US (100 * BH_USEC_PER_MS)

/* Least time between a change of a filler's pace and the next rise: a gauge
 * shows only the new pace once its 500 ms window has passed. */
#define PACE_SETTLE_US (700 * BH_USEC_PER_MS)

/* Smaller changes of pace are not worth an order. */
#define PACE_RISE_MIN_PERCENT 15
#define PACE_FALL_MIN_PERCENT 8

/* A filler that is paused for this long moves to a host that can run it. */
#define MOVE_AFTER_US (200 * BH_USEC_PER_MS)

/* All fillers of a host pause once a tail latency has been over its objective
 * for 1/IMPACT_DIVISOR of impact_ms, the bound on how long fillers may cause
 * that, until it is below the objective again. */
#define IMPACT_DIVISOR 3

/* A filler without checkpoints that has progressed further is not moved, since
 * its work would be lost. */
#define MOVE_PERCENT_MAX 30

static void steer_filler(bh_sched_t *s, bh_run_t *run, double pace,
			 bh_usec_t now)
{
	if (run->host->is_over_objective) {
		bh_run_pace(s, run, 0,
			    "a tail latency stays over its objective", now);
		return;
	}
	if (pace + PACE_FALL_MIN_PERCENT <= run->pace ||
	    (pace <= 0 && run->pace > 0))
		bh_run_pace(s, run, pace, "serving tasks have less headroom",
			    now);
	else if (now - run->paced_at >= PACE_SETTLE_US &&
		 (pace >= run->pace + PACE_RISE_MIN_PERCENT ||
		  (pace >= 100 && run->pace < 100)))
		bh_run_pace(s, run, pace, "serving tasks have more headroom",
			    now);
}

/* A checkpointing filler loses no work by a move. */
static void move_filler(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	bh_task_t *task = run->task;

	if (run->pace > 0 || now - run->paced_at < MOVE_AFTER_US)
		return;
	if (!task->phase->step->is_checkpointing &&
	    run->percent > MOVE_PERCENT_MAX)
		return;
	if (bh_sched_find_host(s, task, run->host, now))
		bh_run_stop(s, run, "paused here, another host can run it",
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
