/*
 * Reservations for wide tasks, which request a large part of a host. Narrow
 * tasks take resources as soon as they are released, so that a wide task would
 * never find enough of them free at once. The host on which it will fit first
 * is reserved for it. Other tasks may use the reserved resources only if they
 * are predicted to end before the wide task can start (backfilling).
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Runs of a host that are considered; further ones count as never ending. */
#define COMPLETIONS_MAX 64

/**
 * struct completion - expected end of a run, which frees its resources
 */
typedef struct completion {
	int64_t left_ms;
	const bh_step_t *step;
} completion_t;

static int by_time_left(const void *a, const void *b)
{
	const completion_t *x = a;
	const completion_t *y = b;

	if (x->left_ms != y->left_ms)
		return x->left_ms < y->left_ms ? -1 : 1;
	return 0;
}

static uint32_t list_completions(const bh_host_t *host, completion_t *out)
{
	const bh_run_t *run;
	uint32_t n = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_step_t *step = run->task->phase->step;
		int64_t left = bh_run_remaining_ms(run);

		if (n == COMPLETIONS_MAX)
			break;
		/* The task of a run that may start late waits for the same
		 * resources. */
		if (run->is_kept)
			continue;
		if (run->state == BH_RUN_STOPPING)
			left = 0;
		else if (step->is_long_running)
			continue;
		out[n++] = (completion_t){left, step};
	}
	if (n > 1)
		qsort(out, n, sizeof(out[0]), by_time_left);
	return n;
}

/* Resources of all runs and reservations on a host. */
static bh_host_resources_t committed_resources(const bh_host_t *host)
{
	return (bh_host_resources_t){
		.cpu = host->used_cpu + host->reserved.cpu,
		.memory = host->used_memory + host->reserved.memory,
		.accelerators =
			host->used_accelerators + host->reserved.accelerators,
	};
}

static bool fits(const bh_host_t *host, const bh_host_resources_t *used,
		 const bh_step_t *step)
{
	return used->cpu + step->cpu_milli <= host->info.cpu_milli &&
	       used->memory + step->memory_mb <= host->info.memory_mb &&
	       used->accelerators + step->accelerators <=
		       host->info.accelerators;
}

/* Return: time until the step fits on the host, or -1 if it does not fit even
 * after all considered runs have ended. */
static int64_t time_until_free_ms(const bh_host_t *host, const bh_step_t *step)
{
	bh_host_resources_t used = committed_resources(host);
	completion_t completions[COMPLETIONS_MAX];
	uint32_t n = list_completions(host, completions);

	if (fits(host, &used, step))
		return 0;
	for (uint32_t i = 0; i < n; i++) {
		const bh_step_t *done = completions[i].step;

		if (!done->is_filler)
			used.cpu -= done->cpu_milli;
		used.memory -= done->memory_mb;
		used.accelerators -= done->accelerators;
		if (fits(host, &used, step))
			return completions[i].left_ms;
	}
	return -1;
}

void bh_reserve_clear(bh_sched_t *s)
{
	bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		host->reserved = (bh_host_resources_t){0};
		host->reserved_free_in_ms = 0;
	}
}

bh_host_t *bh_reserve(bh_sched_t *s, const bh_task_t *task, bh_usec_t now)
{
	const bh_step_t *step = task->phase->step;
	bh_host_t *best = NULL;
	bh_host_t *host;
	int64_t best_ms = 0;

	TAILQ_FOREACH(host, &s->hosts, link) {
		int64_t ms;

		if (!bh_host_is_suitable(task, host, now))
			continue;
		ms = time_until_free_ms(host, step);
		if (ms >= 0 && (!best || ms < best_ms)) {
			best = host;
			best_ms = ms;
		}
	}
	if (!best)
		return NULL;
	best->reserved.cpu += step->cpu_milli;
	best->reserved.memory += step->memory_mb;
	best->reserved.accelerators += step->accelerators;
	best->reserved_free_in_ms = MAX(best->reserved_free_in_ms, best_ms);
	return best;
}

bool bh_reserve_allows(const bh_host_t *host, const bh_phase_t *phase)
{
	const bh_step_t *step = phase->step;
	bh_host_resources_t used = committed_resources(host);
	bh_step_t wanted = *step;

	if (!host->reserved.cpu && !host->reserved.memory)
		return true;
	if (!step->is_long_running &&
	    (int64_t)bh_phase_long_ms(phase) <= host->reserved_free_in_ms)
		return true;
	/* Fillers run on processor time that is reserved but idle, so only
	 * memory and accelerators matter. */
	if (step->is_filler) {
		wanted.cpu_milli = 0;
		used.cpu = 0;
	}
	return fits(host, &used, &wanted);
}
