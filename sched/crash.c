/*
 * Crashes of workers: who is suspected of them, see blame.h, and the end of the
 * jobs with a task that is found guilty.
 */
#include "sched/sched_impl.h"

/* A run may have been ordered this much after the crash as it seems here, since
 * the report of the crash takes time. */
#define REPORT_DELAY_US (20 * BH_USEC_PER_MS)

/* A worker that has not crashed for this long is no longer suspected. */
#define WORKER_CLEAR_US (15 * BH_USEC_PER_SEC)

/* Crashes from which those of a task are stored whatever its suspicion. */
#define STORE_CRASHES 2

static bool is_stored(const bh_blame_t *blame)
{
	return blame->crashes >= STORE_CRASHES ||
	       (blame->crashes && blame->suspicion >= BH_SUSPICION_MIN);
}

static void log_crash(bh_sched_t *s, const bh_host_t *host, const char *why,
		      const GPtrArray *tasks, bh_usec_t now)
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
		     "host=%s worker=%s gone_ms=%" G_GINT64_FORMAT
		     " runs=%u suspect=%s crashes=%u age_ms=%" G_GINT64_FORMAT
		     " suspicion=%.2f worker_suspicion=%.2f why=%s",
		     host->key, host->info.id ? host->info.id : "-",
		     (now - host->crashed_at) / 1000, tasks->len, name,
		     worst ? worst->blame.crashes : 0,
		     worst ? worst->blame.age / 1000 : 0,
		     worst ? worst->blame.suspicion : 0, host->blame.suspicion,
		     why);
}

static double mean_suspicion(const bh_sched_t *s)
{
	const bh_host_t *host;
	double sum = 0;

	TAILQ_FOREACH(host, &s->hosts, link)
		sum += host->blame.suspicion;
	return sum / MAX(s->n_hosts, 1);
}

static void add_suspect(GPtrArray *tasks, GArray *suspects, bh_task_t *task,
			bh_usec_t age, bool is_confirmed)
{
	bh_suspect_t suspect = {.blame = &task->blame,
				.age = MAX(age, 0),
				.is_confirmed = is_confirmed};

	if (age < -REPORT_DELAY_US || g_ptr_array_find(tasks, task, NULL))
		return;
	g_array_append_val(suspects, suspect);
	g_ptr_array_add(tasks, task);
}

static void add_expired(bh_sched_t *s, const bh_host_t *host, GPtrArray *tasks,
			GArray *suspects)
{
	if (host->crashed_at > host->expired_at)
		return;
	for (guint i = 0; i < host->expired->len; i++) {
		const bh_expired_run_t *run =
			&g_array_index(host->expired, bh_expired_run_t, i);
		bh_task_t *task = bh_task_find(s, run->task);

		if (task && !task->is_done)
			add_suspect(tasks, suspects, task,
				    host->crashed_at - run->ordered_at,
				    run->is_confirmed);
	}
}

/* Return: the tasks that ran when the worker crashed. */
static GPtrArray *share_blame(bh_sched_t *s, bh_host_t *host)
{
	GPtrArray *tasks = g_ptr_array_new();
	g_autoptr(GArray) suspects =
		g_array_new(FALSE, FALSE, sizeof(bh_suspect_t));
	const bh_run_t *run;

	TAILQ_FOREACH(run, &host->runs, link)
		add_suspect(tasks, suspects, run->task,
			    host->crashed_at - run->ordered_at,
			    run->is_confirmed);
	add_expired(s, host, tasks, suspects);
	bh_blame_crash(&host->blame, mean_suspicion(s),
		       (const bh_suspect_t *)suspects->data, suspects->len);
	for (guint i = 0; i < tasks->len; i++) {
		const bh_task_t *task = g_ptr_array_index(tasks, i);

		if (is_stored(&task->blame))
			bh_rec_mark_dirty(s, task->phase->rec);
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
		task->blame.suspicion, task->blame.age / 1000);
	bh_rec_end(s, rec, BH_JOB_FAILED, now);
}

void bh_host_crashed(bh_sched_t *s, bh_host_t *host, const char *why,
		     bh_usec_t crashed_at, bh_usec_t now)
{
	g_autoptr(GPtrArray) tasks = NULL;

	s->stats.crashes++;
	host->crashed_at = crashed_at;
	tasks = share_blame(s, host);
	log_crash(s, host, why, tasks, now);
	bh_host_lose_runs(s, host, why, now);
	g_array_set_size(host->expired, 0);
	for (guint i = 0; i < tasks->len; i++)
		end_if_guilty(s, g_ptr_array_index(tasks, i), now);
}

void bh_host_keep_expired(bh_host_t *host, bh_usec_t now)
{
	const bh_run_t *run;

	if (!TAILQ_EMPTY(&host->runs))
		g_array_set_size(host->expired, 0);
	TAILQ_FOREACH(run, &host->runs, link) {
		bh_expired_run_t expired = {.ordered_at = run->ordered_at,
					    .is_confirmed = run->is_confirmed};

		bh_task_full_name(run->task, expired.task);
		g_array_append_val(host->expired, expired);
		host->expired_at = now;
	}
}

void bh_crash_clear(bh_sched_t *s, bh_host_t *host, bh_usec_t now)
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
			bh_rec_mark_dirty(s, task->phase->rec);
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
