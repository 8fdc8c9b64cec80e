/*
 * Answers: a wide task beside a flood of narrow ones, which take each piece of
 * room as it comes free, so that the wide one never finds enough at once. The
 * host on which its room will be free first is kept for it; others may use that
 * room only if they end before.
 */
#include "sched/sched_impl.h"

#include <stdlib.h>

/* Estimates are off by up to two times. */
#define ESTIMATE_MARGIN 2

/* Runs of a host that are looked at; more are taken for staying. */
#define ENDINGS_MAX 64

/**
 * struct ending - a run that will end and free room
 */
typedef struct ending {
	int64_t left_ms;
	const bh_step_t *step;
} ending_t;

static int by_left(const void *a, const void *b)
{
	const ending_t *x = a;
	const ending_t *y = b;

	if (x->left_ms != y->left_ms)
		return x->left_ms < y->left_ms ? -1 : 1;
	return 0;
}

static uint32_t list_endings(const bh_host_t *host, ending_t *out)
{
	const bh_run_t *run;
	uint32_t n = 0;

	TAILQ_FOREACH(run, &host->runs, link) {
		const bh_step_t *step = run->task->phase->step;
		int64_t left = bh_run_remaining_ms(run);

		if (n == ENDINGS_MAX)
			break;
		if (run->state == BH_RUN_STOPPING)
			left = 0;
		else if (step->is_long_running)
			continue;
		out[n++] = (ending_t){left, step};
	}
	if (n > 1)
		qsort(out, n, sizeof(out[0]), by_left);
	return n;
}

/* What runs there and what is kept for others. */
static bh_room_t taken_room(const bh_host_t *host)
{
	return (bh_room_t){
		.cpu = host->used_cpu + host->reserved.cpu,
		.memory = host->used_memory + host->reserved.memory,
		.accelerators =
			host->used_accelerators + host->reserved.accelerators,
	};
}

static bool fits(const bh_host_t *host, const bh_room_t *used,
		 const bh_step_t *step)
{
	return used->cpu + step->cpu_milli <= host->info.cpu_milli &&
	       used->memory + step->memory_mb <= host->info.memory_mb &&
	       used->accelerators + step->accelerators <=
		       host->info.accelerators;
}

/* Return: time until the step fits on the host, or -1 when what runs there now
 * will not leave enough. */
static int64_t free_in_ms(const bh_host_t *host, const bh_step_t *step)
{
	bh_room_t used = taken_room(host);
	ending_t endings[ENDINGS_MAX];
	uint32_t n = list_endings(host, endings);

	if (fits(host, &used, step))
		return 0;
	for (uint32_t i = 0; i < n; i++) {
		const bh_step_t *done = endings[i].step;

		if (!done->is_filler)
			used.cpu -= done->cpu_milli;
		used.memory -= done->memory_mb;
		used.accelerators -= done->accelerators;
		if (fits(host, &used, step))
			return endings[i].left_ms;
	}
	return -1;
}

void bh_reserve_clear(bh_sched_t *s)
{
	bh_host_t *host;

	TAILQ_FOREACH(host, &s->hosts, link) {
		host->reserved = (bh_room_t){0};
		host->reserved_in_ms = 0;
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
		ms = free_in_ms(host, step);
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
	best->reserved_in_ms = MAX(best->reserved_in_ms, best_ms);
	return best;
}

bool bh_reserve_leaves(const bh_host_t *host, const bh_step_t *step)
{
	bh_room_t used = taken_room(host);
	bh_step_t wanted = *step;

	if (!host->reserved.cpu && !host->reserved.memory)
		return true;
	if (!step->is_long_running &&
	    (int64_t)step->estimate_ms * ESTIMATE_MARGIN <=
		    host->reserved_in_ms)
		return true;
	/* Fillers run in processor time that is held but not used. */
	if (step->is_filler) {
		wanted.cpu_milli = 0;
		used.cpu = 0;
	}
	return fits(host, &used, &wanted);
}
