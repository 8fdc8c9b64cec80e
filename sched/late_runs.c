/*
 * Runs that may start late: their start got no answer, so that a later process
 * of the worker under the same id may carry it out. They stay on their host
 * when they end there or its process does, and their tasks wait.
 *
 * Load pattern: workers that crash with start orders under way, are back at
 * once under their ids, and crash again.
 */
#include "sched/sched_impl.h"

/* Whether the run can neither start late nor have done so unseen. A process
 * that was heard of since would have listed it; one that was not holds a lease
 * that the last of the host's late starts may have set. */
static bool is_over(const bh_sched_t *s, const bh_run_t *run, bh_usec_t now)
{
	const bh_host_t *host = run->host;
	int64_t lease_ms = MAX(s->bounds.lease_ms, s->bounds.lease_max_ms);
	bh_usec_t lease = bh_lease_bound(lease_ms * BH_USEC_PER_MS);

	if (!run->late_until || run->task->phase->step->is_speculative ||
	    run->task->is_done || bh_rec_is_over(run->task->phase->rec))
		return true;
	if (now < run->late_until)
		return false;
	return MAX(host->heard_at, host->down_at) > run->late_until ||
	       now >= MAX(host->late_until, run->late_until) + lease;
}

bool bh_run_keep(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	char name[BH_TASK_NAME_BYTES];

	if (is_over(s, run, now))
		return false;
	if (run->is_kept)
		return true;
	bh_task_full_name(run->task, name);
	bh_sched_log(s, "run may start late", run->task->phase->rec->job->id,
		     "task=%s attempt=%u worker=%s left_ms=%" G_GINT64_FORMAT,
		     name + BH_JOB_ID_LEN + 1, run->attempt,
		     run->host->info.id ? run->host->info.id : "-",
		     (run->late_until - now) / BH_USEC_PER_MS);
	run->is_kept = true;
	run->state = BH_RUN_STOPPING;
	run->reports_missed = 0;
	bh_run_confirm(s, run);
	if (run->host->info.id) {
		g_free(run->host->kept_id);
		run->host->kept_id = g_strdup(run->host->info.id);
	}
	return true;
}

/* The other place is for a run that is not kept. */
static bool has_place(const bh_task_t *task)
{
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		if (task->runs[i] && task->runs[i]->is_kept)
			return false;
	}
	return !task->runs[0] || !task->runs[1];
}

/* A leader that has not ordered the start itself, or has given it up, learns of
 * it here. */
static bh_run_t *add_run(bh_sched_t *s, bh_host_t *host, bh_task_t *task,
			 uint32_t attempt, bh_usec_t until, bh_usec_t now)
{
	bh_run_t *run;

	if (task->is_done || !has_place(task) ||
	    task->phase->step->is_speculative ||
	    bh_rec_is_over(task->phase->rec))
		return NULL;
	run = bh_run_new(task, host, attempt, BH_RUN_STOPPING, now);
	run->late_until = until;
	bh_run_keep(s, run, now);
	return run;
}

void bh_run_note_late(bh_run_t *run, bh_usec_t until)
{
	run->late_until = MAX(run->late_until, until);
	run->host->late_until = MAX(run->host->late_until, until);
	run->host->holds_acks = true;
}

/* A start that is over is new only to a leader that has not heard of it before.
 */
bool bh_host_note_late_start(bh_sched_t *s, bh_host_t *host, const char *name,
			     uint32_t attempt, bh_usec_t until, bh_usec_t now)
{
	bh_task_t *task = bh_task_find(s, name);
	bh_run_t *run = task ? bh_run_find(task, attempt) : NULL;

	if (!task)
		return false;
	if (run && run->late_until && until <= now)
		return true;
	if (!run)
		run = add_run(s, host, task, attempt, until, now);
	if (run && run->host == host)
		bh_run_note_late(run, until);
	return true;
}

static void unknown_start_free(bh_host_t *host, bh_unknown_start_t *unknown)
{
	TAILQ_REMOVE(&host->unknown_starts, unknown, link);
	g_free(unknown->task);
	g_free(unknown);
}

void bh_host_clear_unknown_starts(bh_host_t *host)
{
	while (!TAILQ_EMPTY(&host->unknown_starts))
		unknown_start_free(host, TAILQ_FIRST(&host->unknown_starts));
}

void bh_host_note_late_starts(bh_sched_t *s, bh_host_t *host,
			      const bh_worker_info_t *info, bh_usec_t now)
{
	const bh_late_starts_t *starts = &info->late_starts;

	bh_host_clear_unknown_starts(host);
	for (uint32_t i = 0; i < starts->n; i++) {
		const bh_late_start_t *e = &starts->entries[i];
		bh_usec_t until = now + MIN(e->left_ms * BH_USEC_PER_MS,
					    BH_LATE_CALL_MAX_US);
		bh_unknown_start_t *unknown;

		if (e->left_ms) {
			host->late_until = MAX(host->late_until, until);
			bh_host_note_unanswered(host, e->task, e->attempt,
						info->id, until);
		}
		host->holds_acks = now < host->late_until;
		if (bh_host_note_late_start(s, host, e->task, e->attempt, until,
					    now))
			continue;
		unknown = g_new0(bh_unknown_start_t, 1);
		unknown->task = g_strdup(e->task);
		unknown->attempt = e->attempt;
		unknown->until = until;
		TAILQ_INSERT_TAIL(&host->unknown_starts, unknown, link);
	}
}

void bh_host_find_unknown_starts(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_unknown_start_t *unknown;
	bh_unknown_start_t *next;

	TAILQ_FOREACH_SAFE(unknown, &host->unknown_starts, link, next) {
		if (now >= unknown->until ||
		    bh_host_note_late_start(s, host, unknown->task,
					    unknown->attempt, unknown->until,
					    now))
			unknown_start_free(host, unknown);
	}
}

void bh_run_revive(bh_sched_t *s, bh_run_t *run, bh_usec_t now)
{
	const bh_task_t *task = run->task;

	run->is_kept = false;
	run->state = BH_RUN_ACTIVE;
	/* What was seen of it is another process's. */
	run->ordered_at = now;
	run->seen_at = 0;
	run->pace = 100;
	for (int i = 0; i < BH_RUNS_MAX; i++) {
		if (task->runs[i] && task->runs[i] != run &&
		    !task->runs[i]->is_kept) {
			bh_run_stop(s, run, "another attempt was started", now);
			return;
		}
	}
}

void bh_host_keep_late_runs(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
		bh_run_keep(s, run, now);
}

void bh_host_drop_late_runs(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bool has_other_id = host->info.id && host->kept_id &&
			    strcmp(host->info.id, host->kept_id) != 0;
	bh_run_t *run;
	bh_run_t *next;

	if (!host->late_until)
		return;
	TAILQ_FOREACH_SAFE(run, &host->runs, link, next) {
		if (run->is_kept && (has_other_id || is_over(s, run, now)))
			bh_run_lose(s, run,
				    has_other_id ? "worker has another id"
						 : "it cannot start late",
				    now);
	}
	if (has_other_id) {
		g_clear_pointer(&host->kept_id, g_free);
		host->late_until = 0;
	}
	host->holds_acks = now < host->late_until;
}

bool bh_host_has_live_run(const bh_host_t *host)
{
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link) {
		if (!run->is_kept)
			return true;
	}
	return false;
}
