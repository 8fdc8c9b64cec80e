/*
 * Divides the spare headroom of a host's serving tasks among its fillers.
 *
 * Load pattern: fillers of several images beside serving tasks whose load rises
 * within seconds. Those fillers that need the smallest part of the spare
 * headroom run first, so that most work gets done. Pairs of images that are
 * hardly known count as interfering more than estimated.
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Headroom that is kept for a serving task: a tail latency 5 % below its
 * objective. */
#define HEADROOM_GOAL 1.05

/* A gauge covers the last 500 ms, and a new pace takes effect 100 ms after its
 * order, so paces are set for the load predicted after PACE_HORIZON_S. A filler
 * that starts runs on for longer. Of load that falls less is taken for granted.
 */
#define PACE_HORIZON_S	  0.4
#define PLACE_HORIZON_S	  0.8
#define FALLING_HORIZON_S 0.3

/* Standard deviations of a pair's interference that are added to its estimate.
 */
#define CAUTION_STDDEVS 0.5

/* A filler that would get less is paused: it would occupy the host for hardly
 * any progress. */
#define PACE_MIN_PERCENT 10

/* Headroom cost below which a filler does not count as interfering. */
#define COST_NEGLIGIBLE 0.04

/* Serving tasks and fillers of a host that are planned; others are ignored. */
#define PLAN_TASKS_MAX BH_PACES_MAX

/**
 * struct plan - division of spare headroom on one host
 * @serving: images of the serving tasks
 * @spare: headroom above HEADROOM_GOAL of each serving task
 * @cost: headroom that a filler takes from each serving task at full pace
 * @max_cost_ratio: its highest ratio of cost to spare headroom
 * @pace: 0 to 1
 */
typedef struct plan {
	uint32_t n_serving;
	bh_image_id_t serving[PLAN_TASKS_MAX];
	double spare[PLAN_TASKS_MAX];
	uint32_t n_fillers;
	struct plan_filler {
		bh_run_t *run;
		double cost[PLAN_TASKS_MAX];
		double max_cost_ratio;
		double pace;
	} fillers[PLAN_TASKS_MAX];
} plan_t;

static double filler_cost(const bh_sched_t *s, bh_image_id_t filler,
			  bh_image_id_t serving, double share)
{
	return bh_pairs_interference_bound(s->pairs, filler, serving,
					   CAUTION_STDDEVS) *
	       share;
}

/* The bias of a run lowers the headroom of its phase where the run does worse
 * than predicted, but never raises it. */
static double spare_headroom(const bh_phase_t *phase, double bias,
			     double horizon)
{
	double seconds = phase->headroom.slope > 0
				 ? MIN(horizon, FALLING_HORIZON_S)
				 : horizon;

	return bh_headroom_after(&phase->headroom, seconds) + MIN(bias, 0) -
	       HEADROOM_GOAL;
}

static void plan_list_serving(plan_t *plan, const bh_host_t *host,
			      double horizon)
{
	const bh_run_t *run;

	plan->n_serving = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;

		if (!phase->step->is_long_running || !phase->step->target_ms ||
		    !bh_headroom_is_known(&phase->headroom) ||
		    plan->n_serving == PLAN_TASKS_MAX)
			continue;
		plan->serving[plan->n_serving] = phase->image;
		plan->spare[plan->n_serving++] =
			spare_headroom(phase, run->bias, horizon);
	}
}

/* Subtracts what the fillers that run now cost at their present pace. */
static void plan_subtract_running(const bh_sched_t *s, plan_t *plan,
				  const bh_host_t *host)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_phase_t *phase = run->task->phase;
		double share = (double)bh_run_full_pace_cpu(run) * run->pace /
			       100 / MAX(host->info.cpu_milli, 1);

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
	double share = (double)bh_run_full_pace_cpu(run) /
		       MAX(run->host->info.cpu_milli, 1);

	f->run = run;
	f->max_cost_ratio = 0;
	f->pace = 1;
	for (uint32_t i = 0; i < plan->n_serving; i++) {
		f->cost[i] = filler_cost(s, run->task->phase->image,
					 plan->serving[i], share);
		if (f->cost[i] >= COST_NEGLIGIBLE)
			f->max_cost_ratio =
				MAX(f->max_cost_ratio,
				    f->cost[i] / MAX(plan->spare[i],
						     COST_NEGLIGIBLE));
	}
}

static int by_max_cost_ratio(const void *a, const void *b)
{
	const struct plan_filler *x = a;
	const struct plan_filler *y = b;

	if (x->max_cost_ratio != y->max_cost_ratio)
		return x->max_cost_ratio < y->max_cost_ratio ? -1 : 1;
	return x->run->attempt < y->run->attempt ? -1 : 1;
}

static void plan_set_paces(plan_t *plan)
{
	if (plan->n_fillers > 1)
		qsort(plan->fillers, plan->n_fillers, sizeof(plan->fillers[0]),
		      by_max_cost_ratio);
	for (uint32_t k = 0; k < plan->n_fillers; k++) {
		struct plan_filler *f = &plan->fillers[k];

		for (uint32_t i = 0; i < plan->n_serving; i++) {
			if (f->cost[i] >= COST_NEGLIGIBLE)
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

	plan_list_serving(&plan, host, PACE_HORIZON_S);
	plan.n_fillers = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_run_is_active_filler(run) &&
		    plan.n_fillers < PLAN_TASKS_MAX)
			plan_add_filler(s, &plan, run);
	}
	plan_set_paces(&plan);
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

	plan_list_serving(&plan, run->host, PACE_HORIZON_S);
	run->pace = 0;
	plan_subtract_running(s, &plan, run->host);
	run->pace = pace;
	plan.n_fillers = 0;
	plan_add_filler(s, &plan, run);
	plan_set_paces(&plan);
	return plan.fillers[0].pace * 100;
}

double bh_plan_spare_headroom(const bh_sched_t *s, const bh_host_t *host,
			      const bh_phase_t *filler)
{
	double share =
		(double)filler->step->cpu_milli / MAX(host->info.cpu_milli, 1);
	double min_spare = HEADROOM_GOAL;
	plan_t plan;

	plan_list_serving(&plan, host, PLACE_HORIZON_S);
	plan_subtract_running(s, &plan, host);
	for (uint32_t i = 0; i < plan.n_serving; i++) {
		double cost =
			filler_cost(s, filler->image, plan.serving[i], share);

		if (cost >= COST_NEGLIGIBLE)
			min_spare = MIN(min_spare, plan.spare[i] - cost);
	}
	return min_spare;
}
