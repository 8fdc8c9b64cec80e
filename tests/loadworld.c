#include "tests/loadworld.h"

#include "sched/admit.h"
#include "sched/sched.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define STEP_MS		       5
#define REPORT_MS	       200
#define PREDICTION_INTERVAL_MS 300
#define COMMIT_ROWS	       90
#define COMMIT_MS	       15
#define LEASE_MS	       5000
#define UNIX_MS		       1000000
#define TRIES_MAX	       5
#define CHECKPOINT_INTERVAL_MS 1000
#define STARTUP_MS	       500
#define LOAD_PERIOD_MS	       14000

/* Part of the requested processor time that a long-running task uses. */
#define SERVING_CPU_SHARE 0.45

/* Tail latency objective of a long-running task. */
#define TAIL_TARGET_MS 50

typedef struct lw_run {
	TAILQ_ENTRY(lw_run) link;
	const lw_kind_t *kind;
	char name[BH_TASK_NAME_BYTES];
	uint32_t attempt;
	double total_ms;
	double done_ms;
	double saved_ms;
	double speed;
	double tail_ms;
	uint32_t pace;
	double began_ms;
	bool was_spread;
} lw_run_t;

typedef TAILQ_HEAD(lw_runs, lw_run) lw_runs_t;

typedef struct lw_host {
	char key[16];
	char rack[16];
	bool is_down;
	lw_runs_t runs;
	GArray *ended;
	uint64_t last_number;
	int64_t report_at;
} lw_host_t;

/**
 * struct lw_job - a job and its caller
 * @first_ms: when the caller first submits it
 * @next_ms: when the caller submits it next
 * @ended_ms: 0 while it has not ended
 * @is_refused: the caller has given up
 * @ran_ms: when a task of it last ran
 */
typedef struct lw_job {
	const lw_kind_t *kind;
	char id[BH_JOB_ID_LEN + 1];
	int64_t first_ms;
	int64_t next_ms;
	int64_t ended_ms;
	int64_t objective_ms;
	uint32_t tries;
	bool is_accepted;
	bool is_refused;
	int64_t accepted_ms;
	bool is_started;
	int64_t ran_ms;
} lw_job_t;

typedef struct lw_world {
	const lw_pattern_t *pattern;
	lw_report_t *report;
	bh_sched_t *sched;
	bh_config_t *config;
	lw_host_t *hosts;
	GArray *jobs;
	int64_t ms;
	uint32_t seed;
	bh_backlog_t loads[16];
	uint32_t n_loads;
	int64_t loads_ms;
	int64_t commit_ms;
	uint64_t runs_of_sched;
	clock_t sched_time;
	GHashTable *saved;
} lw_world_t;

static bh_usec_t now_us(const lw_world_t *w)
{
	return w->ms * BH_USEC_PER_MS;
}

static lw_host_t *host_of(lw_world_t *w, const char *key)
{
	return &w->hosts[strtoul(key, NULL, 10)];
}

static lw_run_t *run_of(lw_host_t *h, const char *task, uint32_t attempt)
{
	lw_run_t *run;

	TAILQ_FOREACH(run, &h->runs, link) {
		if (run->attempt == attempt && strcmp(run->name, task) == 0)
			return run;
	}
	return NULL;
}

/* The first digit of an id is the index of the kind. */
static const lw_kind_t *kind_of(const lw_world_t *w, const char *id)
{
	return &w->pattern->kinds[id[0] - '0'];
}

static bool has_flag(const lw_kind_t *kind, char flag)
{
	return strchr(kind->flags, flag) != NULL;
}

/* Run time of a task, which is the same for each attempt. */
static double run_ms(const lw_world_t *w, const lw_kind_t *kind,
		     const char *task)
{
	guint draw = (g_str_hash(task) ^ w->seed) * 2654435761u >> 8;
	double part = draw % 2001 / 1000.0 - 1;

	return kind->ms * (1 + part * kind->spread_percent / 100);
}

/* Notes the time to the first start of a job's tasks. */
static lw_job_t *job_of(const lw_world_t *w, const char *task)
{
	for (guint i = w->jobs->len; i-- > 0;) {
		lw_job_t *j = &g_array_index(w->jobs, lw_job_t, i);

		if (strncmp(j->id, task, BH_JOB_ID_LEN) == 0)
			return j;
	}
	g_assert_not_reached();
}

static void note_first_start(lw_world_t *w, const char *task)
{
	lw_result_t *r = &w->report->kinds[task[0] - '0'];

	lw_job_t *j = job_of(w, task);

	if (!j->is_started)
		r->first_wait_ms = MAX(r->first_wait_ms,
				       (uint32_t)(w->ms - j->accepted_ms));
	j->is_started = true;
}

static void on_start(void *ctx, const char *key, const bh_start_t *start)
{
	lw_world_t *w = ctx;
	lw_host_t *h = host_of(w, key);
	lw_run_t *run;

	if (h->is_down)
		return;
	note_first_start(w, start->task);
	run = g_new0(lw_run_t, 1);
	run->kind = kind_of(w, start->task);
	g_strlcpy(run->name, start->task, sizeof(run->name));
	run->attempt = start->attempt;
	run->total_ms = run_ms(w, run->kind, start->task);
	if (start->checkpoint)
		run->done_ms = g_ascii_strtod(start->checkpoint, NULL);
	run->saved_ms = run->done_ms;
	run->pace = 100;
	run->began_ms = (double)w->ms;
	TAILQ_INSERT_TAIL(&h->runs, run, link);
	w->report->starts++;
}

/* Counts a run by whether it ran where it runs fastest. */
static void count_place(const lw_world_t *w, const lw_host_t *h,
			const lw_run_t *run)
{
	const lw_kind_t *kind = run->kind;
	lw_result_t *r = &w->report->kinds[kind - w->pattern->kinds];

	if (!kind->rack && !has_flag(kind, 't'))
		return;
	if (run->was_spread || (kind->rack && strcmp(kind->rack, h->rack) != 0))
		r->remote++;
	else
		r->local++;
}

static void end_run(lw_world_t *w, lw_host_t *h, lw_run_t *run, bh_end_t how)
{
	char text[32];
	bh_ended_t e = {.number = ++h->last_number,
			.task = g_strdup(run->name),
			.attempt = run->attempt,
			.how = how};

	if (how == BH_END_STOPPED && !has_flag(run->kind, 'l')) {
		if (has_flag(run->kind, 'c'))
			run->saved_ms = run->done_ms;
		w->report->wasted += (run->done_ms - run->saved_ms) *
				     run->kind->cpu_milli / 1e6;
	}
	if (has_flag(run->kind, 'c') && run->saved_ms > 0) {
		g_ascii_dtostr(text, sizeof(text), run->saved_ms);
		e.checkpoint = g_strdup(text);
	}
	count_place(w, h, run);
	g_array_append_val(h->ended, e);
	TAILQ_REMOVE(&h->runs, run, link);
	g_free(run);
	h->report_at = w->ms;
}

static void on_stop(void *ctx, const char *key, uint64_t boot, const char *task,
		    uint32_t attempt)
{
	lw_world_t *w = ctx;
	lw_host_t *h = host_of(w, key);
	lw_run_t *run = run_of(h, task, attempt);

	(void)boot;
	if (!run)
		return;
	end_run(w, h, run, BH_END_STOPPED);
	w->report->stops++;
}

static void on_pace(void *ctx, const char *key, uint64_t boot, const char *task,
		    uint32_t attempt, uint32_t percent)
{
	lw_world_t *w = ctx;
	lw_run_t *run = run_of(host_of(w, key), task, attempt);

	(void)boot;
	if (run)
		run->pace = percent;
}

static void on_grant(void *ctx, const char *key, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	lw_host_t *h = host_of(ctx, key);

	(void)boot;
	(void)expires_ms;
	while (h->ended->len &&
	       g_array_index(h->ended, bh_ended_t, 0).number <= ack) {
		g_free(g_array_index(h->ended, bh_ended_t, 0).task);
		g_free(g_array_index(h->ended, bh_ended_t, 0).checkpoint);
		g_array_remove_index(h->ended, 0);
	}
}

static int64_t field_of(const char *detail, const char *name)
{
	const char *at = strstr(detail, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : 0;
}

static void note_rack_wait(lw_world_t *w, const char *what, const char *detail)
{
	lw_report_t *r = w->report;
	int64_t longest = field_of(detail, " longest_ms=");

	if (strcmp(what, "rack wait ended") != 0)
		return;
	r->longest_wait_ms = MAX(r->longest_wait_ms, longest);
	r->over_limit_ms =
		MAX(r->over_limit_ms, longest - field_of(detail, " limit_ms="));
}

/* Notes what the scheduler counted, and the time that it took. */
static void note_stats(lw_world_t *w)
{
	g_autofree bh_sched_stats_t *stats = g_new0(bh_sched_stats_t, 1);
	lw_report_t *r = w->report;

	bh_sched_stats(w->sched, stats);
	r->waits = (uint32_t)stats->rack_waits;
	r->waits_placed = (uint32_t)stats->rack_placed;
	for (int i = 0; i < BH_LOCALITY_VERDICTS; i++)
		r->waits_abandoned[i] = (uint32_t)stats->rack_abandoned[i];
	r->run_us = (double)w->sched_time * 1e6 / CLOCKS_PER_SEC /
		    (double)MAX(w->runs_of_sched, 1);
}

static void on_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	lw_world_t *w = ctx;

	note_rack_wait(w, what, detail);
	if (getenv("BH_TRACE"))
		printf("%7.3f %s %s %s\n", (double)w->ms / 1000, what,
		       job ? job : "-", detail);
}

static const bh_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.pace = on_pace,
	.grant = on_grant,
	.event = on_event,
};

/* Whether tasks of the same phase run in another rack. */
static bool is_spread(const lw_world_t *w, const lw_host_t *h,
		      const lw_run_t *run)
{
	size_t prefix = (size_t)(strrchr(run->name, '.') - run->name) + 1;

	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		const lw_host_t *other = &w->hosts[i];
		const lw_run_t *r;

		if (strcmp(other->rack, h->rack) == 0)
			continue;
		TAILQ_FOREACH(r, &other->runs, link) {
			if (strncmp(r->name, run->name, prefix) == 0)
				return true;
		}
	}
	return false;
}

/* A run's speed relative to that where it runs fastest. */
static double rack_speed(const lw_world_t *w, const lw_host_t *h, lw_run_t *run)
{
	const lw_kind_t *kind = run->kind;

	if (w->pattern->remote_slowdown <= 1)
		return 1;
	if (has_flag(kind, 't') && !run->was_spread)
		run->was_spread = is_spread(w, h, run);
	if (run->was_spread || (kind->rack && strcmp(kind->rack, h->rack) != 0))
		return 1 / w->pattern->remote_slowdown;
	return 1;
}

/* Divides a host's processor time: long-running tasks use a part of what they
 * request, others all of it, and fillers share the rest. Sets the tail
 * latencies that result from it. */
static void share_processors(lw_world_t *w, lw_host_t *h)
{
	double room = w->pattern->cpu_milli;
	double wanted = 0;
	double taken = 0;
	lw_run_t *run;

	TAILQ_FOREACH(run, &h->runs, link) {
		if (has_flag(run->kind, 'f'))
			wanted += run->kind->cpu_milli * run->pace / 100.0;
		else
			room -= run->kind->cpu_milli *
				(has_flag(run->kind, 'l') ? SERVING_CPU_SHARE
							  : 1);
	}
	TAILQ_FOREACH(run, &h->runs, link) {
		run->speed = rack_speed(w, h, run);
		if (!has_flag(run->kind, 'f'))
			continue;
		run->speed = run->pace / 100.0 * CLAMP(room / wanted, 0, 1);
		taken += run->speed * run->kind->cpu_milli * run->kind->harm /
			 w->pattern->cpu_milli;
	}
	TAILQ_FOREACH(run, &h->runs, link) {
		double phase = (double)(w->ms + g_str_hash(run->name) % 7000) *
			       2 * G_PI / LOAD_PERIOD_MS;
		double headroom =
			run->kind->headroom *
				(1 + run->kind->amplitude * sin(phase)) -
			taken;

		run->tail_ms = TAIL_TARGET_MS / MAX(headroom, 0.1);
	}
}

static void run_tasks(lw_world_t *w, lw_host_t *h)
{
	lw_run_t *run;
	lw_run_t *next;

	share_processors(w, h);
	TAILQ_FOREACH_SAFE(run, &h->runs, link, next) {
		double ms = run->speed * STEP_MS;

		if (has_flag(run->kind, 'l')) {
			if (run->tail_ms > TAIL_TARGET_MS)
				w->report->over_objective += STEP_MS / 1000.0;
			continue;
		}
		w->report->worked += ms * run->kind->cpu_milli / 1e6;
		run->done_ms += ms;
		if (has_flag(run->kind, 'c') &&
		    run->done_ms - run->saved_ms > CHECKPOINT_INTERVAL_MS)
			run->saved_ms = run->done_ms;
		if (run->done_ms >= run->total_ms)
			end_run(w, h, run, BH_END_DONE);
	}
}

static bh_active_t describe(const lw_world_t *w, const lw_run_t *run)
{
	bh_active_t a = {.task = g_strdup(run->name), .attempt = run->attempt};

	if (has_flag(run->kind, 'l')) {
		a.percent =
			(double)w->ms - run->began_ms > STARTUP_MS ? 100 : 50;
		a.gauge = (uint32_t)run->tail_ms;
	} else {
		a.percent = (uint32_t)(run->done_ms * 100 / run->total_ms);
		a.gauge = (uint32_t)(run->speed * run->kind->cpu_milli);
	}
	return a;
}

static void report(lw_world_t *w, lw_host_t *h)
{
	bh_worker_info_t info = {
		.id = h->key,
		.boot = 7,
		.service = (char *)"svc",
		.zone = (char *)"z",
		.state = BH_WORKER_READY,
		.cpu_milli = w->pattern->cpu_milli,
		.memory_mb = w->pattern->memory_mb,
		.n_labels = w->pattern->rack_hosts ? 1 : 0,
		.labels = {h->rack},
	};
	g_autoptr(GArray) active =
		g_array_new(FALSE, FALSE, sizeof(bh_active_t));
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)w->ms, .boot = 7};
	g_autofree bh_ended_t *ended = NULL;
	lw_run_t *run;

	if (h->is_down) {
		info.state = BH_WORKER_DOWN;
		h->report_at = w->ms + REPORT_MS;
		bh_sched_report(w->sched, h->key, &info, NULL, true, now_us(w));
		return;
	}
	TAILQ_FOREACH(run, &h->runs, link) {
		bh_active_t a = describe(w, run);

		g_array_append_val(active, a);
	}
	lists.n_active = active->len;
	lists.active = (bh_active_t *)(void *)active->data;
	/* An end of a gang's member has others stopped, which adds ends. */
	ended = g_memdup2(h->ended->data, h->ended->len * sizeof(bh_ended_t));
	lists.n_ended = h->ended->len;
	lists.ended = ended;
	h->report_at = w->ms + (w->pattern->report_ms ? w->pattern->report_ms
						      : REPORT_MS);
	bh_sched_report(w->sched, h->key, &info, &lists, true, now_us(w));
	for (guint i = 0; i < active->len; i++)
		g_free(g_array_index(active, bh_active_t, i).task);
}

static bh_job_t *make_job(const lw_world_t *w, const lw_job_t *j)
{
	const lw_kind_t *kind = j->kind;
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, j->id, sizeof(job->id));
	job->queue = g_strdup(kind->name);
	job->spec = g_strdup("spec");
	job->accepted_ms = UNIX_MS + (uint64_t)w->ms;
	job->terms.service = g_strdup("svc");
	job->terms.priority = kind->priority;
	job->terms.max_attempts = 4;
	job->terms.slack_percent =
		kind->slack_percent ? kind->slack_percent : 200;
	job->terms.target_ms = kind->target_ms;
	job->n_steps = kind->steps;
	job->steps = g_new0(bh_step_t, kind->steps);
	for (uint32_t i = 0; i < kind->steps; i++) {
		bh_step_t *s = &job->steps[i];

		s->count = kind->count;
		s->cpu_milli = kind->cpu_milli;
		s->memory_mb = kind->memory_mb;
		s->estimate_ms = kind->ms * kind->estimate_percent / 100;
		s->is_long_running = has_flag(kind, 'l');
		s->is_filler = has_flag(kind, 'f');
		s->is_gang = has_flag(kind, 'g');
		s->is_checkpointing = has_flag(kind, 'c');
		s->is_same_rack = has_flag(kind, 't');
		s->rack = g_strdup(kind->rack);
		s->target_ms = s->is_long_running ? TAIL_TARGET_MS : 0;
		s->image = g_strdup(kind->name);
		s->after = g_new0(uint32_t, 1);
		s->n_after = i > 0;
		s->after[0] = i > 0 ? i - 1 : 0;
	}
	return job;
}

static void try_job(lw_world_t *w, lw_job_t *j)
{
	bh_job_t *job = make_job(w, j);
	uint64_t retry_ms;

	j->tries++;
	j->objective_ms =
		(int64_t)bh_job_objective_ms(job, bh_job_critical_path_ms(job));
	if (bh_admit(job, w->loads, w->n_loads, w->ms - w->loads_ms,
		     &retry_ms)) {
		j->is_accepted = true;
		j->accepted_ms = w->ms;
		j->ran_ms = w->ms;
		bh_sched_add_job(w->sched, job, NULL, now_us(w));
		return;
	}
	bh_job_free(job);
	/* Callers are told a time in whole seconds. */
	j->next_ms = w->ms + (int64_t)(retry_ms + 999) / 1000 * 1000;
	j->is_refused = j->tries == TRIES_MAX;
}

static void submit_jobs(lw_world_t *w)
{
	for (uint32_t k = 0; k < w->pattern->n_kinds; k++) {
		const lw_kind_t *kind = &w->pattern->kinds[k];
		lw_job_t j = {
			.kind = kind, .first_ms = w->ms, .next_ms = w->ms};

		if (w->ms < kind->from_ms || w->ms >= kind->until_ms ||
		    (w->ms - kind->from_ms) % MAX(kind->interval_ms, 1) >=
			    STEP_MS)
			continue;
		g_snprintf(j.id, sizeof(j.id), "%u%015x", k, w->jobs->len);
		g_array_append_val(w->jobs, j);
	}
	for (guint i = 0; i < w->jobs->len; i++) {
		lw_job_t *j = &g_array_index(w->jobs, lw_job_t, i);

		if (!j->is_accepted && !j->is_refused && w->ms >= j->next_ms)
			try_job(w, j);
		else if (j->is_accepted && !j->ended_ms &&
			 bh_sched_state(w->sched, j->id) >= BH_JOB_COMPLETED)
			j->ended_ms = w->ms;
	}
}

static void commit(lw_world_t *w)
{
	const char *id;
	uint32_t segment;
	int n = 0;

	if (w->ms - w->commit_ms < COMMIT_MS ||
	    !bh_sched_has_uncommitted(w->sched))
		return;
	w->commit_ms = w->ms;
	while (n < COMMIT_ROWS && bh_sched_commit_next(w->sched, &id, &segment))
		n++;
	bh_sched_end_commit(w->sched, true);
}

/* The workers of the first rack exit, and their tasks with them. */
static void lose_rack(lw_world_t *w)
{
	for (uint32_t i = 0; i < w->pattern->rack_hosts; i++) {
		lw_host_t *h = &w->hosts[i];
		lw_run_t *run;

		if (h->is_down)
			continue;
		h->is_down = true;
		h->report_at = w->ms;
		while ((run = TAILQ_FIRST(&h->runs)) != NULL) {
			TAILQ_REMOVE(&h->runs, run, link);
			g_free(run);
		}
	}
}

static void step(lw_world_t *w)
{
	clock_t before;

	w->ms += STEP_MS;
	if (w->pattern->rack_lost_ms && w->ms >= w->pattern->rack_lost_ms)
		lose_rack(w);
	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		lw_host_t *h = &w->hosts[i];

		run_tasks(w, h);
		if (w->ms >= h->report_at)
			report(w, h);
	}
	if (w->ms - w->loads_ms >= PREDICTION_INTERVAL_MS) {
		w->loads_ms = w->ms;
		w->n_loads = bh_sched_load(w->sched, w->loads,
					   G_N_ELEMENTS(w->loads), now_us(w));
	}
	submit_jobs(w);
	bh_sched_note_leading(w->sched, now_us(w));
	before = clock();
	bh_sched_run(w->sched, now_us(w), UNIX_MS + (uint64_t)w->ms);
	w->sched_time += clock() - before;
	w->runs_of_sched++;
	commit(w);
}

static int by_time(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void count_kind(const lw_world_t *w, const lw_kind_t *kind,
		       lw_result_t *out)
{
	g_autoptr(GArray) took = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < w->jobs->len; i++) {
		const lw_job_t *j = &g_array_index(w->jobs, lw_job_t, i);
		int64_t ms = (j->ended_ms ? j->ended_ms : w->ms) - j->first_ms;

		if (j->kind != kind)
			continue;
		out->jobs++;
		g_array_append_val(took, ms);
		if (j->is_refused)
			out->refused++;
		else if (!j->ended_ms)
			out->open++;
		else if (ms <= j->objective_ms)
			out->in_time++;
		else
			out->late++;
	}
	if (!took->len)
		return;
	g_array_sort(took, by_time);
	out->p50_ms = (uint32_t)g_array_index(took, int64_t, took->len / 2);
	out->p99_ms =
		(uint32_t)g_array_index(took, int64_t, took->len * 99 / 100);
}

/* Counts the long-running tasks that should run now, and those that serve. */
static void sample_serving(const lw_world_t *w, double *wanted, double *served)
{
	for (guint i = 0; i < w->jobs->len; i++) {
		const lw_job_t *j = &g_array_index(w->jobs, lw_job_t, i);

		if (has_flag(j->kind, 'l') && !j->is_refused)
			wanted[j->kind - w->pattern->kinds] += j->kind->count;
	}
	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		const lw_run_t *run;

		TAILQ_FOREACH(run, &w->hosts[i].runs, link) {
			if (has_flag(run->kind, 'l') &&
			    (double)w->ms - run->began_ms > STARTUP_MS)
				served[run->kind - w->pattern->kinds]++;
		}
	}
}

/* Notes for how long nothing of a job has run. */
static void sample_idle(const lw_world_t *w)
{
	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		const lw_run_t *run;

		TAILQ_FOREACH(run, &w->hosts[i].runs, link)
			job_of(w, run->name)->ran_ms = w->ms;
	}
	for (guint i = 0; i < w->jobs->len; i++) {
		const lw_job_t *j = &g_array_index(w->jobs, lw_job_t, i);
		lw_result_t *r = &w->report->kinds[j->kind - w->pattern->kinds];

		if (j->is_accepted && !j->ended_ms)
			r->idle_ms =
				MAX(r->idle_ms, (uint32_t)(w->ms - j->ran_ms));
	}
}

static void init_world(lw_world_t *w)
{
	bh_sched_bounds_t bounds = {.term = 1,
				    .lease_ms = LEASE_MS,
				    .predecessor_grant_ms = 1500,
				    .restore_ms = 100,
				    .impact_ms = 4000,
				    .status_ms = 120000,
				    .has_shares = w->pattern->has_shares,
				    .remote_slowdown =
					    w->pattern->remote_slowdown,
				    .locality_wait = w->pattern->locality_wait};

	w->config = bh_config_new(0, 0);
	w->sched = bh_sched_new(&bounds, &ops, w, 0, UNIX_MS);
	bh_sched_set_config(w->sched, w->config);
	w->jobs = g_array_new(FALSE, FALSE, sizeof(lw_job_t));
	w->hosts = g_new0(lw_host_t, w->pattern->hosts);
	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		lw_host_t *h = &w->hosts[i];

		g_snprintf(h->key, sizeof(h->key), "%u", i);
		if (w->pattern->rack_hosts)
			g_snprintf(h->rack, sizeof(h->rack), "r1-%u",
				   i / w->pattern->rack_hosts);
		TAILQ_INIT(&h->runs);
		h->ended = g_array_new(FALSE, FALSE, sizeof(bh_ended_t));
		h->report_at = 1 + i * REPORT_MS / w->pattern->hosts;
		bh_sched_add_host(w->sched, h->key, false, 0);
		bh_sched_host_linked(w->sched, h->key, true, 0);
	}
}

static void clear_world(lw_world_t *w)
{
	bh_sched_free(w->sched);
	bh_config_free(w->config);
	for (uint32_t i = 0; i < w->pattern->hosts; i++) {
		lw_host_t *h = &w->hosts[i];
		lw_run_t *run;

		while ((run = TAILQ_FIRST(&h->runs)) != NULL) {
			TAILQ_REMOVE(&h->runs, run, link);
			g_free(run);
		}
		on_grant(w, h->key, 0, 0, UINT64_MAX);
		g_array_free(h->ended, TRUE);
	}
	g_array_free(w->jobs, TRUE);
	g_free(w->hosts);
}

void lw_replay(const lw_pattern_t *pattern, uint32_t seed, lw_report_t *out)
{
	double wanted[LW_KINDS_MAX] = {0};
	double served[LW_KINDS_MAX] = {0};
	lw_world_t w = {.pattern = pattern, .report = out, .seed = seed};

	memset(out, 0, sizeof(*out));
	init_world(&w);
	while (w.ms < (int64_t)pattern->seconds * 1000) {
		step(&w);
		if (w.ms % 100 < STEP_MS)
			sample_serving(&w, wanted, served);
		sample_idle(&w);
	}
	for (uint32_t k = 0; k < pattern->n_kinds; k++) {
		count_kind(&w, &pattern->kinds[k], &out->kinds[k]);
		if (wanted[k] > 0)
			out->kinds[k].serving = served[k] / wanted[k];
	}
	note_stats(&w);
	clear_world(&w);
}

void lw_print(const lw_pattern_t *pattern, const lw_report_t *report)
{
	printf("kind         jobs in time   late   open refused   p50 ms   "
	       "p99 ms serving idle ms\n");
	for (uint32_t k = 0; k < pattern->n_kinds; k++) {
		const lw_result_t *r = &report->kinds[k];

		printf("%-10s %6u %7u %6u %6u %7u %8u %8u %7.3f %7u\n",
		       pattern->kinds[k].name, r->jobs, r->in_time, r->late,
		       r->open, r->refused, r->p50_ms, r->p99_ms, r->serving,
		       r->idle_ms);
	}
	printf("starts %u stops %u worked %.1f wasted %.1f core s, "
	       "over the objective %.1f task s\n",
	       report->starts, report->stops, report->worked, report->wasted,
	       report->over_objective);
	for (uint32_t k = 0; k < pattern->n_kinds; k++) {
		const lw_result_t *r = &report->kinds[k];

		if (r->local + r->remote)
			printf("%-10s runs in its rack %u, elsewhere %u, "
			       "longest time to a first start %u ms\n",
			       pattern->kinds[k].name, r->local, r->remote,
			       r->first_wait_ms);
	}
	if (!pattern->rack_hosts)
		return;
	printf("rack waits %u, placed %u, longest %" G_GINT64_FORMAT
	       " ms, over the limit %" G_GINT64_FORMAT
	       " ms; %.0f us for a run of the scheduler\n",
	       report->waits, report->waits_placed, report->longest_wait_ms,
	       report->over_limit_ms, report->run_us);
	for (int i = 0; i < BH_LOCALITY_VERDICTS; i++) {
		if (report->waits_abandoned[i])
			printf("abandoned, %s: %u\n",
			       bh_locality_verdict_name(
				       (bh_locality_verdict_t)i),
			       report->waits_abandoned[i]);
	}
}
