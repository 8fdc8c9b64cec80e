/*
 * Answers: serving tasks whose tail latency suffers from the fillers beside
 * them, by amounts that differ by image and change within seconds. Each host's
 * fillers share the headroom that its serving tasks can spare, those that take
 * least of it first; who gets too little stands, and moves.
 */
#include "sched/sched_impl.h"

/* Between two looks; gauges cover the last half second. */
#define STEER_EVERY_US (200 * BH_USEC_PER_MS)

/* Headroom that fillers leave to a serving task: its tail at nine tenths of its
 * objective. */
#define HEADROOM_GOAL 1.1

/* Two rises of a filler's pace are so far apart: a gauge shows a new pace once
 * its half second has passed. */
#define SETTLE_US (700 * BH_USEC_PER_MS)

/* Least changes of pace that are worth an order. */
#define RISE_PERCENT 15
#define FALL_PERCENT 8

/* A filler slower than this stands in the way more than it does. */
#define PACE_MIN_PERCENT 10

/* Fillers that take less headroom than this disturb nobody. */
#define COST_MIN 0.04

/* A filler that stood for so long moves to where it may run. */
#define MOVE_AFTER_US (200 * BH_USEC_PER_MS)

/* Part of the time that a tail may be over its objective because of fillers,
 * after which all of them stand until it is under it again. */
#define HARM_PART 3

/* Progress above which work that has no checkpoint is not thrown away. */
#define MOVE_PERCENT_MAX 30

/* Tasks of a host that are weighed; more are left alone. */
#define PLAN_MAX 64

/**
 * struct plan - how the fillers of a host share what its serving tasks spare
 * @spare: headroom of each serving task above the goal
 * @cost: headroom that a filler takes from each serving task at full pace
 * @worst: its greatest part of what a task can spare
 */
typedef struct plan {
	uint32_t n_serving;
	bh_image_t serving[PLAN_MAX];
	double spare[PLAN_MAX];
	uint32_t n_fillers;
	struct plan_filler {
		bh_run_t *run;
		double cost[PLAN_MAX];
		double worst;
		double pace;
	} fillers[PLAN_MAX];
} plan_t;

static double filler_cost(const bh_sched_t *s, bh_image_t filler,
			  bh_image_t serving, double share)
{
	return bh_pairs_harm(s->pairs, filler, serving) * share;
}

/* What a serving task can lose; its own gauges may say less than its phase's.
 */
static double spare_of(const bh_phase_t *phase, double bias)
{
	return phase->headroom + MIN(bias, 0) - HEADROOM_GOAL;
}

static void plan_serving(plan_t *plan, const bh_host_t *host)
{
	const bh_run_t *run;

	plan->n_serving = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;

		if (!phase->step->is_lasting || !phase->step->target_ms ||
		    phase->headroom_variance <= 0 ||
		    plan->n_serving == PLAN_MAX)
			continue;
		plan->serving[plan->n_serving] = phase->image;
		plan->spare[plan->n_serving++] = spare_of(phase, run->bias);
	}
}

/* What each serving task can spare on top of what runs as it is paced. */
static void plan_less_running(const bh_sched_t *s, plan_t *plan,
			      const bh_host_t *host)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;
		double share = (double)bh_run_need(run) * run->pace / 100 /
			       MAX(host->info.cpu_milli, 1);

		if (!phase->step->is_filler || run->state == BH_RUN_STOPPING)
			continue;
		for (uint32_t i = 0; i < plan->n_serving; i++)
			plan->spare[i] -= filler_cost(s, phase->image,
						      plan->serving[i], share);
	}
}

static void plan_add_filler(const bh_sched_t *s, plan_t *plan, bh_run_t *run)
{
	struct plan_filler *f = &plan->fillers[plan->n_fillers++];
	double share =
		(double)bh_run_need(run) / MAX(run->host->info.cpu_milli, 1);

	f->run = run;
	f->worst = 0;
	f->pace = 1;
	for (uint32_t i = 0; i < plan->n_serving; i++) {
		f->cost[i] = filler_cost(s, run->task->phase->image,
					 plan->serving[i], share);
		if (f->cost[i] >= COST_MIN)
			f->worst =
				MAX(f->worst,
				    f->cost[i] / MAX(plan->spare[i], COST_MIN));
	}
}

static int by_worst(const void *a, const void *b)
{
	const struct plan_filler *x = a;
	const struct plan_filler *y = b;

	if (x->worst != y->worst)
		return x->worst < y->worst ? -1 : 1;
	return x->run->attempt < y->run->attempt ? -1 : 1;
}

static void plan_paces(plan_t *plan)
{
	if (plan->n_fillers > 1)
		qsort(plan->fillers, plan->n_fillers, sizeof(plan->fillers[0]),
		      by_worst);
	for (uint32_t k = 0; k < plan->n_fillers; k++) {
		struct plan_filler *f = &plan->fillers[k];

		for (uint32_t i = 0; i < plan->n_serving; i++) {
			if (f->cost[i] >= COST_MIN)
				f->pace = MIN(f->pace, MAX(plan->spare[i], 0) /
							       f->cost[i]);
		}
		if (f->pace * 100 < PACE_MIN_PERCENT)
			f->pace = 0;
		for (uint32_t i = 0; i < plan->n_serving; i++)
			plan->spare[i] -= f->cost[i] * f->pace;
	}
}

static void set_pace(bh_sched_t *s, bh_run_t *run, double percent,
		     const char *why, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];
	uint32_t pace = (uint32_t)CLAMP(percent, 0, 100);

	if (pace == run->pace)
		return;
	bh_task_full_name(run->task, name);
	bh_sched_log(s, "pace", run->task->phase->rec->job->id,
		     "task=%s worker=%s from=%u to=%u strain=%.2f image=%s "
		     "why=%s",
		     name + BH_JOB_ID_LEN + 1, run->host->info.id, run->pace,
		     pace, run->host->strain, run->task->phase->step->image,
		     why);
	run->pace = pace;
	run->paced_at = now;
	s->stats.paces++;
	s->ops->pace(s->ctx, run->host->key, run->host->info.boot, name,
		     run->attempt, pace);
}

static void steer_filler(bh_sched_t *s, const struct plan_filler *f,
			 bh_usec_t now)
{
	bh_run_t *run = f->run;
	double pace = f->pace * 100;

	if (run->host->is_harmed) {
		set_pace(s, run, 0, "a tail is over its objective for long",
			 now);
		return;
	}
	if (pace + FALL_PERCENT <= run->pace || (pace <= 0 && run->pace > 0))
		set_pace(s, run, pace, "its neighbours spare less", now);
	else if (now - run->paced_at >= SETTLE_US &&
		 (pace >= run->pace + RISE_PERCENT ||
		  (pace >= 100 && run->pace < 100)))
		set_pace(s, run, pace, "its neighbours spare more", now);
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
	bh_usec_t limit = s->bounds.impact_ms * BH_USEC_PER_MS / HARM_PART;
	const bh_run_t *run;

	host->strain = 0;
	host->is_harmed = false;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (!bh_run_is_serving(run) || run->headroom <= 0)
			continue;
		host->strain = MAX(host->strain, 1 / run->headroom);
		if (run->over_since && now - run->over_since > limit)
			host->is_harmed = true;
	}
}

static void steer_host(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	plan_t plan;
	bh_run_t *run;

	update_strain(s, host, now);
	if (host->filler_cpu == 0)
		return;
	plan_serving(&plan, host);
	plan.n_fillers = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_filling(run) && plan.n_fillers < PLAN_MAX)
			plan_add_filler(s, &plan, run);
	}
	plan_paces(&plan);
	for (uint32_t k = 0; k < plan.n_fillers; k++) {
		steer_filler(s, &plan.fillers[k], now);
		move_filler(s, plan.fillers[k].run, now);
	}
}

void bh_steer_started(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	uint32_t pace = run->pace;
	plan_t plan;

	plan_serving(&plan, run->host);
	run->pace = 0;
	plan_less_running(s, &plan, run->host);
	run->pace = pace;
	plan.n_fillers = 0;
	plan_add_filler(s, &plan, run);
	plan_paces(&plan);
	if (plan.fillers[0].pace < 1)
		set_pace(s, run, 100 * plan.fillers[0].pace,
			 "its neighbours spare no more", now);
}

double bh_steer_spare(const bh_sched_t *s, const bh_host_t *host,
		      const bh_phase_t *filler)
{
	double share =
		(double)filler->step->cpu_milli / MAX(host->info.cpu_milli, 1);
	double least = HEADROOM_GOAL;
	plan_t plan;

	plan_serving(&plan, host);
	plan_less_running(s, &plan, host);
	for (uint32_t i = 0; i < plan.n_serving; i++) {
		double cost =
			filler_cost(s, filler->image, plan.serving[i], share);

		if (cost >= COST_MIN)
			least = MIN(least, plan.spare[i] - cost);
	}
	return least;
}

void bh_steer(bh_sched_t *s, bh_usec_t now)
{
	bh_host_t *host;

	if (now - s->steered_at < STEER_EVERY_US)
		return;
	bh_pairs_age(s->pairs, (double)(now - s->steered_at) / BH_USEC_PER_SEC);
	s->steered_at = now;
	TAILQ_FOREACH(host, &s->hosts, link) {
		if (!host->is_linked)
			continue;
		if (host->gauged_at != host->heard_at) {
			host->gauged_at = host->heard_at;
			bh_gauges_take(s, host, now);
		}
		steer_host(s, host, now);
	}
}
