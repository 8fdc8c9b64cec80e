/*
 * How the fillers of a host share the headroom that its serving tasks can
 * spare. Answers fillers of several images beside one serving task: those that
 * take least of what the tasks can spare run first, so that most work is done.
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Headroom that fillers leave to a serving task: its tail at nine tenths of its
 * objective. */
#define HEADROOM_GOAL 1.1

/* A filler slower than this stands in the way more than it does. */
#define PACE_MIN_PERCENT 10

/* Fillers that take less headroom than this disturb nobody. */
#define COST_MIN 0.04

/* Tasks of a host that are weighed; more are left alone. */
#define PLAN_MAX BH_PACES_MAX

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

		if (!phase->step->is_long_running || !phase->step->target_ms ||
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

uint32_t bh_plan_paces(const bh_sched_t *s, const bh_host_t *host,
		       bh_pace_t *out)
{
	plan_t plan;
	bh_run_t *run;

	plan_serving(&plan, host);
	plan.n_fillers = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_filling(run) && plan.n_fillers < PLAN_MAX)
			plan_add_filler(s, &plan, run);
	}
	plan_paces(&plan);
	for (uint32_t k = 0; k < plan.n_fillers; k++) {
		out[k].run = plan.fillers[k].run;
		out[k].percent = plan.fillers[k].pace * 100;
	}
	return plan.n_fillers;
}

double bh_plan_pace_of(const bh_sched_t *s, bh_run_t *run)
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
	return plan.fillers[0].pace * 100;
}

double bh_plan_spare(const bh_sched_t *s, const bh_host_t *host,
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
