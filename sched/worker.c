#include "sched/worker.h"

const char *bh_worker_state_name(bh_worker_state_t state)
{
	static const char *const names[] = {"silent", "ready", "draining",
					    "down"};

	return names[state];
}

const char *bh_end_name(bh_end_t how)
{
	static const char *const names[] = {"unknown", "done",	 "failed",
					    "stopped", "lapsed", "broken",
					    "alone"};

	return names[how];
}

const char *bh_order_outcome_name(bh_order_outcome_t outcome)
{
	static const char *const names[] = {"ok",	 "refused", "no room",
					    "old",	 "fenced",  "ticket",
					    "unhealthy", "unclear"};

	return names[outcome];
}

void bh_late_starts_clear(bh_late_starts_t *starts)
{
	for (uint32_t i = 0; i < starts->n; i++) {
		g_free(starts->entries[i].task);
		g_free(starts->entries[i].worker);
	}
	g_free(starts->entries);
	*starts = (bh_late_starts_t){0};
}

void bh_worker_info_clear(bh_worker_info_t *info)
{
	g_free(info->id);
	g_free(info->service);
	g_free(info->zone);
	for (uint32_t i = 0; i < info->n_labels; i++)
		g_free(info->labels[i]);
	bh_late_starts_clear(&info->late_starts);
	memset(info, 0, sizeof(*info));
}

void bh_worker_lists_clear(bh_worker_lists_t *lists)
{
	for (uint32_t i = 0; i < lists->n_active; i++) {
		g_free(lists->active[i].task);
		g_free(lists->active[i].checkpoint);
	}
	for (uint32_t i = 0; i < lists->n_ended; i++) {
		g_free(lists->ended[i].task);
		g_free(lists->ended[i].checkpoint);
	}
	g_free(lists->active);
	g_free(lists->ended);
	memset(lists, 0, sizeof(*lists));
}

void bh_crash_clear(bh_crash_t *crash)
{
	for (uint32_t i = 0; i < crash->n_runs; i++)
		g_free(crash->runs[i].task);
	g_free(crash->runs);
	*crash = (bh_crash_t){0};
}
