#include "core/place.h"

#define SAME_JOB_WEIGHT 0.02
#define SLOWDOWN_WEIGHT 4.0

static double utilisation(uint32_t used, uint32_t need, uint32_t capacity)
{
	return capacity ? ((double)used + need) / capacity : 0;
}

/* Utilisation of the scarcest resource with the task added. */
static double max_utilisation(const bh_resources_t *used,
			      const bh_resources_t *need,
			      const bh_resources_t *capacity)
{
	double cpu = utilisation(used->cpu_milli, need->cpu_milli,
				 capacity->cpu_milli);
	double mem = utilisation(used->mem_mb, need->mem_mb, capacity->mem_mb);
	double accel = utilisation(used->accel, need->accel, capacity->accel);

	return MAX(cpu, MAX(mem, accel));
}

static double cost_first_fit(const bh_place_worker_t *w,
			     const bh_resources_t *need)
{
	(void)need;
	return w->rank;
}

static double cost_least_loaded(const bh_place_worker_t *w,
				const bh_resources_t *need)
{
	return max_utilisation(&w->reserved, need, &w->capacity);
}

/*
 * Uses the higher of declared and measured utilisation, as declarations are
 * often far off, and adds penalties for tasks of the same job and for the
 * expected slowdown of services.
 */
static double cost_interference(const bh_place_worker_t *w,
				const bh_resources_t *need)
{
	double declared = max_utilisation(&w->reserved, need, &w->capacity);
	double measured = max_utilisation(&w->used, need, &w->capacity);

	return MAX(declared, measured) + SAME_JOB_WEIGHT * w->n_same_job +
	       SLOWDOWN_WEIGHT * (w->slowdown - 1);
}

static const bh_place_ops_t policies[] = {
	{"interference", true, cost_interference},
	{"first-fit", false, cost_first_fit},
	{"least-loaded", false, cost_least_loaded},
};

const bh_place_ops_t *bh_place_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	}
	return NULL;
}
