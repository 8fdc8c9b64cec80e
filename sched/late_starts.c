#include "sched/late_starts.h"

#include <string.h>
#include <sys/queue.h>

/**
 * struct late - orders to start attempts at a task that got no answer
 * @attempt: the highest one; a worker that has been told to stop it does not
 *	start lower ones either
 * @settled_boot: the process that cannot carry them out any more; 0: none
 * @is_stopping: its stop was ordered and not answered
 */
typedef struct late {
	TAILQ_ENTRY(late) link;
	char *task;
	uint32_t attempt;
	char *worker;
	uint64_t boot;
	uint64_t term;
	uint64_t settled_boot;
	bool is_stopping;
	bh_usec_t at;
} late_t;

struct bh_late_starts {
	TAILQ_HEAD(, late) entries;
};

static void drop(bh_late_starts_t *log, late_t *l)
{
	TAILQ_REMOVE(&log->entries, l, link);
	g_free(l->task);
	g_free(l->worker);
	g_free(l);
}

bh_late_starts_t *bh_late_starts_new(void)
{
	bh_late_starts_t *log = g_new0(bh_late_starts_t, 1);

	TAILQ_INIT(&log->entries);
	return log;
}

void bh_late_starts_free(bh_late_starts_t *log)
{
	while (!TAILQ_EMPTY(&log->entries))
		drop(log, TAILQ_FIRST(&log->entries));
	g_free(log);
}

static void drop_expired(bh_late_starts_t *log, bh_usec_t now)
{
	late_t *l;
	late_t *next;

	TAILQ_FOREACH_SAFE(l, &log->entries, link, next) {
		if (now - l->at > BH_LATE_CALL_MAX_US)
			drop(log, l);
	}
}

void bh_late_starts_add(bh_late_starts_t *log, const char *task,
			uint32_t attempt, const char *worker, uint64_t boot,
			uint64_t term, bh_usec_t now)
{
	late_t *l;

	drop_expired(log, now);
	TAILQ_FOREACH(l, &log->entries, link) {
		if (l->boot == boot && strcmp(l->task, task) == 0)
			break;
	}
	if (!l) {
		l = g_new0(late_t, 1);
		l->task = g_strdup(task);
		l->worker = g_strdup(worker);
		l->boot = boot;
		TAILQ_INSERT_TAIL(&log->entries, l, link);
	}
	l->attempt = MAX(l->attempt, attempt);
	l->term = MAX(l->term, term);
	l->settled_boot = 0;
	l->at = now;
}

static bool is_listed(const late_t *l, const bh_worker_lists_t *lists)
{
	for (uint32_t i = 0; i < lists->n_active; i++) {
		if (lists->active[i].attempt >= l->attempt &&
		    strcmp(lists->active[i].task, l->task) == 0)
			return true;
	}
	for (uint32_t i = 0; i < lists->n_ended; i++) {
		if (lists->ended[i].attempt >= l->attempt &&
		    strcmp(lists->ended[i].task, l->task) == 0)
			return true;
	}
	return false;
}

void bh_late_starts_listed(bh_late_starts_t *log,
			   const bh_worker_lists_t *lists, const char *worker,
			   uint64_t term, bh_usec_t now)
{
	late_t *l;
	late_t *next;

	drop_expired(log, now);
	TAILQ_FOREACH_SAFE(l, &log->entries, link, next) {
		/* A process with another id, or one that has seen a newer
		 * fencing token, rejects them. */
		if (l->boot != lists->boot &&
		    (g_strcmp0(l->worker, worker) != 0 || l->term < term))
			drop(log, l);
		else if (is_listed(l, lists))
			l->settled_boot = lists->boot;
	}
}

static bool is_settled(const late_t *l, uint64_t boot)
{
	return l->boot == boot || l->settled_boot == boot;
}

bool bh_late_starts_next(bh_late_starts_t *log, uint64_t boot,
			 const char **task, uint32_t *attempt)
{
	late_t *l;

	TAILQ_FOREACH(l, &log->entries, link) {
		if (is_settled(l, boot) || l->is_stopping)
			continue;
		l->is_stopping = true;
		*task = l->task;
		*attempt = l->attempt;
		return true;
	}
	return false;
}

void bh_late_starts_stopped(bh_late_starts_t *log, uint64_t boot,
			    const char *task, uint32_t attempt, bool is_ok)
{
	late_t *l;

	TAILQ_FOREACH(l, &log->entries, link) {
		if (strcmp(l->task, task) != 0)
			continue;
		l->is_stopping = false;
		if (is_ok && l->attempt <= attempt)
			l->settled_boot = boot;
	}
}

bool bh_late_starts_is_settled(const bh_late_starts_t *log, uint64_t boot)
{
	const late_t *l;

	TAILQ_FOREACH(l, &log->entries, link) {
		if (!is_settled(l, boot))
			return false;
	}
	return true;
}
