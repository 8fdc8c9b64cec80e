/*
 * Crashes of workers: who is suspected of them, see blame.h, and the end of the
 * jobs with a task that is found guilty.
 */
#include "sched/sched_impl.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* A worker that has not crashed for this long is no longer suspected. */
#define WORKER_CLEAR_US (15 * BH_USEC_PER_SEC)

/* Of an older crash that is reported again, most tasks are over by now: that
 * few are left does not speak against the worker. */
#define CRASH_NEW_MS 1000

/* Crashes from which those of a task are stored whatever its suspicion. */
#define STORE_CRASHES 2

static bool is_stored(const bh_blame_t *blame)
{
	return blame->crashes >= STORE_CRASHES ||
	       (blame->crashes && blame->suspicion >= BH_SUSPICION_MIN);
}

static void log_crash(bh_sched_t *s, const bh_host_t *host,
		      const GPtrArray *tasks, bool is_inferred)
{
	const bh_task_t *worst = NULL;
	char name[BH_TASK_NAME_BYTES] = "-";

	for (guint i = 0; i < tasks->len; i++) {
		const bh_task_t *task = g_ptr_array_index(tasks, i);

		if (!worst || task->blame.suspicion > worst->blame.suspicion)
			worst = task;
	}
	if (worst)
		bh_task_full_name(worst, name);
	bh_sched_log(s, "worker crashed", NULL,
		     "host=%s boot=%" G_GUINT64_FORMAT
		     " inferred=%d runs=%u suspect=%s crashes=%u "
		     "age_ms=%" G_GINT64_FORMAT
		     " suspicion=%.2f worker_suspicion=%.2f",
		     host->key, host->crashed_boot, is_inferred, tasks->len,
		     name, worst ? worst->blame.crashes : 0,
		     worst ? worst->blame.age / BH_USEC_PER_MS : 0,
		     worst ? worst->blame.suspicion : 0, host->blame.suspicion);
}

/* Workers that started at the same moment have equal boots. */
static uint64_t crash_id(const bh_host_t *host, uint64_t boot)
{
	return XXH64(host->key, strlen(host->key), boot);
}

static double mean_suspicion(const bh_sched_t *s)
{
	const bh_host_t *host;
	double sum = 0;

	TAILQ_FOREACH(host, &s->hosts, link)
		sum += host->blame.suspicion;
	return sum / MAX(s->n_hosts, 1);
}

/* Return: the tasks that ran when the worker crashed and are not over. */
static GPtrArray *share_blame(bh_sched_t *s, bh_host_t *host,
			      const bh_crash_t *crash)
{
	GPtrArray *tasks = g_ptr_array_new();
	bh_blame_t unused = host->blame;
	g_autofree bh_suspect_t *suspects =
		g_new0(bh_suspect_t, crash->n_runs + 1);

	for (uint32_t i = 0; i < crash->n_runs; i++) {
		const bh_crashed_run_t *run = &crash->runs[i];
		bh_task_t *task = bh_task_find(s, run->task);

		if (!task || task->is_done || bh_rec_is_over(task->phase->rec))
			continue;
		suspects[tasks->len] = (bh_suspect_t){
			.blame = &task->blame,
			.age = run->age_ms * BH_USEC_PER_MS,
			.is_confirmed = run->is_confirmed,
			.is_inferred = crash->is_inferred,
		};
		g_ptr_array_add(tasks, task);
	}
	bh_blame_crash(crash->ago_ms < CRASH_NEW_MS ? &host->blame : &unused,
		       crash_id(host, crash->boot), mean_suspicion(s), suspects,
		       tasks->len);
	for (guint i = 0; i < tasks->len; i++) {
		const bh_task_t *task = g_ptr_array_index(tasks, i);

		if (!is_stored(&task->blame))
			continue;
		bh_segment_mark_dirty(s, bh_task_segment(task));
		bh_task_segment(task)->crashes_unstored = true;
	}
	return tasks;
}

static void end_if_guilty(bh_sched_t *s, const bh_task_t *task, bh_usec_t now)
{
	bh_rec_t *rec = task->phase->rec;
	char name[BH_TASK_NAME_BYTES];

	if (bh_rec_is_over(rec) || task->is_done ||
	    !bh_blame_is_guilty(&task->blame))
		return;
	bh_task_full_name(task, name);
	s->stats.given_up++;
	bh_sched_log(
		s, "task given up", rec->job->id,
		"task=%s crashes=%u suspicion=%.2f age_ms=%" G_GINT64_FORMAT
		" why=it crashes its workers",
		name + BH_JOB_ID_LEN + 1, task->blame.crashes,
		task->blame.suspicion, task->blame.age / BH_USEC_PER_MS);
	bh_rec_end(s, rec, BH_JOB_FAILED, now);
}

void bh_sched_crash(bh_sched_t *s, const char *key, const bh_crash_t *crash,
		    bh_usec_t now)
{
	bh_host_t *host = g_hash_table_lookup(s->by_key, key);
	g_autoptr(GPtrArray) tasks = NULL;

	if (!host || !crash->boot || crash->boot == host->crashed_boot)
		return;
	s->stats.crashes++;
	host->crashed_at = now;
	host->crashed_boot = crash->boot;
	tasks = share_blame(s, host, crash);
	log_crash(s, host, tasks, crash->is_inferred);
	for (guint i = 0; i < tasks->len; i++)
		end_if_guilty(s, g_ptr_array_index(tasks, i), now);
}

void bh_host_infer_crash(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	bh_crash_t crash = {.boot = host->boot, .is_inferred = true};
	const bh_run_t *run;

	if (!bh_host_has_live_run(host) || host->boot == host->crashed_boot ||
	    host->info.state == BH_WORKER_DRAINING)
		return;
	crash.runs = g_new0(bh_crashed_run_t, host->n_runs);
	TAILQ_FOREACH(run, &host->runs, link) {
		bh_crashed_run_t *out = &crash.runs[crash.n_runs];
		bh_usec_t age = MAX(host->heard_at - run->ordered_at, 0);
		char name[BH_TASK_NAME_BYTES];

		if (run->is_kept)
			continue;
		crash.n_runs++;
		bh_task_full_name(run->task, name);
		out->task = g_strdup(name);
		out->age_ms = (uint32_t)(age / BH_USEC_PER_MS);
		out->is_confirmed = run->is_confirmed;
	}
	bh_sched_crash(s, host->key, &crash, now);
	bh_crash_clear(&crash);
}

void bh_host_clear_suspects(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
{
	const bh_run_t *run;

	if (host->blame.crashes && now - host->crashed_at > WORKER_CLEAR_US)
		host->blame = (bh_blame_t){0};
	TAILQ_FOREACH(run, &host->runs, link) {
		bh_task_t *task = run->task;

		if (!task->blame.crashes || !run->seen_at ||
		    run->reports_missed ||
		    !bh_blame_is_cleared(&task->blame,
					 host->heard_at - run->ordered_at))
			continue;
		if (is_stored(&task->blame))
			bh_segment_mark_dirty(s, bh_task_segment(task));
		task->blame = (bh_blame_t){0};
	}
}

bool bh_task_is_suspect(const bh_task_t *task)
{
	return task->blame.crashes && task->blame.suspicion >= BH_SUSPICION_MIN;
}

void bh_host_update_suspicion(bh_host_t *host)
{
	const bh_run_t *run;

	host->suspicion = 0;
	TAILQ_FOREACH(run, &host->runs, link) {
		if (bh_task_is_suspect(run->task))
			host->suspicion += run->task->blame.suspicion;
	}
}
