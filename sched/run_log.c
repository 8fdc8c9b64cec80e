#include "sched/run_log.h"

#include <string.h>
#include <sys/queue.h>

/* A list may have been made this long before it arrived: a run that has started
 * since is kept although it is not listed. */
#define LIST_AGE_MAX_US (1000 * BH_USEC_PER_MS)

/**
 * struct entry - an attempt that may be running
 * @since: when its order was sent, or answered
 * @is_confirmed: its order was answered, or it was listed
 */
typedef struct entry {
	TAILQ_ENTRY(entry) link;
	char *task;
	uint32_t attempt;
	bh_usec_t since;
	bool is_confirmed;
	bool is_listed;
} entry_t;

typedef TAILQ_HEAD(entries, entry) entries_t;

/**
 * struct bh_run_log - attempts that may be running on a worker
 */
struct bh_run_log {
	entries_t entries;
};

static entry_t *find(const bh_run_log_t *log, const char *task,
		     uint32_t attempt)
{
	entry_t *e;

	TAILQ_FOREACH(e, &log->entries, link) {
		if (e->attempt == attempt && strcmp(e->task, task) == 0)
			return e;
	}
	return NULL;
}

static entry_t *add(bh_run_log_t *log, const char *task, uint32_t attempt,
		    bh_usec_t now)
{
	entry_t *e = g_new0(entry_t, 1);

	e->task = g_strdup(task);
	e->attempt = attempt;
	e->since = now;
	TAILQ_INSERT_TAIL(&log->entries, e, link);
	return e;
}

static void drop(bh_run_log_t *log, entry_t *e)
{
	TAILQ_REMOVE(&log->entries, e, link);
	g_free(e->task);
	g_free(e);
}

bh_run_log_t *bh_run_log_new(void)
{
	bh_run_log_t *log = g_new0(bh_run_log_t, 1);

	TAILQ_INIT(&log->entries);
	return log;
}

void bh_run_log_free(bh_run_log_t *log)
{
	bh_run_log_clear(log);
	g_free(log);
}

void bh_run_log_ordered(bh_run_log_t *log, const char *task, uint32_t attempt,
			bh_usec_t now)
{
	if (!find(log, task, attempt))
		add(log, task, attempt, now);
}

void bh_run_log_started(bh_run_log_t *log, const char *task, uint32_t attempt,
			bh_usec_t now)
{
	entry_t *e = find(log, task, attempt);

	if (!e || e->is_confirmed)
		return;
	e->since = now;
	e->is_confirmed = true;
}

void bh_run_log_refused(bh_run_log_t *log, const char *task, uint32_t attempt)
{
	entry_t *e = find(log, task, attempt);

	if (e)
		drop(log, e);
}

void bh_run_log_listed(bh_run_log_t *log, const bh_worker_lists_t *lists,
		       bh_usec_t now)
{
	entry_t *e;
	entry_t *next;

	TAILQ_FOREACH(e, &log->entries, link)
		e->is_listed = false;
	for (uint32_t i = 0; i < lists->n_active; i++) {
		const bh_active_t *a = &lists->active[i];

		e = find(log, a->task, a->attempt);
		if (!e)
			e = add(log, a->task, a->attempt, now);
		e->is_listed = true;
		e->is_confirmed = true;
	}
	for (uint32_t i = 0; i < lists->n_ended; i++)
		bh_run_log_refused(log, lists->ended[i].task,
				   lists->ended[i].attempt);
	TAILQ_FOREACH_SAFE(e, &log->entries, link, next) {
		if (!e->is_listed && now - e->since > LIST_AGE_MAX_US)
			drop(log, e);
	}
}

void bh_run_log_crashed(bh_run_log_t *log, uint64_t boot, bh_usec_t gone_at,
			bh_crash_t *crash)
{
	uint32_t n = 0;
	entry_t *e;

	TAILQ_FOREACH(e, &log->entries, link)
		n++;
	bh_crash_clear(crash);
	crash->boot = boot;
	crash->runs = g_new0(bh_crashed_run_t, n + 1);
	TAILQ_FOREACH(e, &log->entries, link) {
		bh_crashed_run_t *run;

		if (e->since > gone_at)
			continue;
		run = &crash->runs[crash->n_runs++];
		run->task = g_strdup(e->task);
		run->age_ms = (uint32_t)((gone_at - e->since) / BH_USEC_PER_MS);
		run->is_confirmed = e->is_confirmed;
	}
	bh_run_log_clear(log);
}

void bh_run_log_clear(bh_run_log_t *log)
{
	while (!TAILQ_EMPTY(&log->entries))
		drop(log, TAILQ_FIRST(&log->entries));
}
