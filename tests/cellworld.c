#include "tests/cellworld.h"

#include <math.h>
#include <stdlib.h>

#define SLOWDOWN_HISTORY_LEN	    1024
#define SLOWDOWN_SAMPLE_INTERVAL_US (100 * BH_USEC_PER_MS)
#define TICK_INTERVAL_US	    (5 * BH_USEC_PER_MS)
#define POLL_INTERVAL_US	    (500 * BH_USEC_PER_MS)
#define NET_DELAY_US		    (2 * BH_USEC_PER_MS)
#define WORKER_DELAY_US		    (1 * BH_USEC_PER_MS)
#define STORE_DELAY_US		    (2 * BH_USEC_PER_MS)
#define STORE_SLOW_DELAY_US	    (700 * BH_USEC_PER_MS)
#define STORE_TIMEOUT_US	    (2 * BH_USEC_PER_SEC)
#define RESTART_DELAY_US	    (2 * BH_USEC_PER_SEC)
#define ORDER_DELAY_US		    (1500 * BH_USEC_PER_MS)
#define START_UNIX_MS		    1000000

const char *const cell_step_names[CELL_STEP_COUNT] = {
	"job-accepted",	 "commit-sent", "commit-applied", "commit-answered",
	"start-ordered", "started",	"reported",	  "lease-renewed",
	"term-renewed",	 "done",	"stop-ordered",	  "outcome-recorded",
	"cancelled",
};

const char *const cell_fault_names[CELL_FAULT_COUNT] = {
	"none",		 "kill-leader",	 "kill-agent",		"lose-host",
	"freeze-leader", "freeze-agent", "cut-agent",		"cut-leader",
	"store-down",	 "store-slow",	 "store-loses-answers", "delay-orders",
	"fail-starts",
};

typedef struct work_item {
	char *id;
	uint32_t epoch;
	bh_resources_t need;
	bh_usec_t run_us;
	bh_usec_t progress_us;
	bh_usec_t lease_until;
	bh_task_state_t state;
	uint64_t done_unix_ms;
	uint32_t permille;
	double per_cpu; /* slowdown of services, per processor */
} work_item_t;

typedef struct agent {
	cellworld_t *world;
	int index;
	char *name;
	char *holder;
	bh_cell_t *cell;
	bh_taskhost_t *taskhost;
	uint64_t incarnation;
	bool is_alive;
	int believed_leader;
	uint64_t believed_incarnation;
	bh_usec_t frozen_until;
	bh_usec_t cut_until;
	bh_usec_t last_orders_at;
	bh_usec_t next_report;
	bh_usec_t next_poll;
	uint64_t records_seen;
	GHashTable *work_items; /* of the worker, which outlives the agent */
	bool fails_starts;
	double slowdowns[SLOWDOWN_HISTORY_LEN]; /* one per tick */
} agent_t;

typedef struct job {
	char *name;
	bh_job_spec_t spec;
	uint64_t revision;
	double per_cpu;
} job_t;

/* History of a task on all workers. */
typedef struct task_log {
	GHashTable *epochs;
	int starts;
	int dones;
	uint64_t first_done_unix_ms;
	bh_usec_t first_start;
	bh_usec_t most_progress_us;
	bh_outcome_t outcome;
} task_log_t;

typedef enum event_kind {
	EVENT_COMMIT,
	EVENT_COMMITTED,
	EVENT_READ,
	EVENT_LOAD,
	EVENT_REPORT,
	EVENT_ORDERS,
	EVENT_START,
	EVENT_STARTED,
	EVENT_STOP,
	EVENT_FORGET,
	EVENT_RENEW,
	EVENT_THROTTLE,
	EVENT_LISTED,
	EVENT_RESTART,
} event_kind_t;

typedef struct event {
	bh_usec_t at;
	uint64_t order;
	event_kind_t kind;
	int agent;
	uint64_t incarnation;
	int from;
	bh_cell_commit_t commit;
	bh_commit_status_t status;
	uint64_t version;
	bh_msg_t msg;
	work_item_t *work;
	bool is_ok;
	GArray *listing;
	bh_usec_t requested_at;
} event_t;

struct cellworld {
	cellworld_config_t config;
	GRand *rand;
	bh_usec_t now;
	bh_usec_t next_tick;
	uint64_t order;
	uint64_t next_incarnation;
	GSequence *events;
	agent_t agents[CELL_AGENTS_MAX];
	GPtrArray *jobs;
	uint64_t counter;
	bh_cell_row_t row;
	char *row_holder;
	GHashTable *rows; /* task id to bh_task_row_t */
	GHashTable *logs; /* task id to task_log_t */
	uint64_t commits;
	cell_fault_t store_fault;
	bh_usec_t store_fault_until;
	bh_usec_t delay_orders_until;
	cell_step_t armed_step;
	cell_fault_t armed_fault;
	int armed_nth;
	bh_usec_t armed_duration;
	bool is_injected;
	char *violation;
	bh_hist_t slowdown;
	bh_usec_t wasted;
};

static const bh_cell_ops_t cell_ops;
static const bh_taskhost_ops_t taskhost_ops;

static void trace(cellworld_t *w, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void trace(cellworld_t *w, const char *format, ...)
{
	va_list args;

	if (!w->config.trace)
		return;
	fprintf(w->config.trace, "%8lld ", (long long)(w->now / 1000));
	va_start(args, format);
	vfprintf(w->config.trace, format, args);
	va_end(args);
	fputc('\n', w->config.trace);
}

static void report_violation(cellworld_t *w, char *text)
{
	trace(w, "VIOLATION %s", text);
	if (w->violation)
		g_free(text);
	else
		w->violation = text;
}

static int compare_events(const void *a, const void *b, void *unused)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)unused;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static event_t *schedule_event(cellworld_t *w, event_kind_t kind, int agent,
			       bh_usec_t at)
{
	event_t *ev = g_new0(event_t, 1);

	ev->kind = kind;
	ev->agent = agent;
	ev->incarnation = w->agents[agent].incarnation;
	ev->at = at;
	ev->order = w->order++;
	g_sequence_insert_sorted(w->events, ev, compare_events, NULL);
	return ev;
}

static void work_item_free(void *data)
{
	work_item_t *work = data;

	g_free(work->id);
	g_free(work);
}

static void free_commit_rows(bh_cell_commit_t *commit)
{
	for (size_t i = 0; i < commit->n_rows; i++) {
		g_free((char *)commit->rows[i].id);
		g_free((char *)commit->rows[i].worker);
	}
	g_free((void *)commit->rows);
}

static void event_free(event_t *ev)
{
	bh_msg_clear(&ev->msg);
	if (ev->kind == EVENT_COMMIT)
		free_commit_rows(&ev->commit);
	if (ev->work)
		work_item_free(ev->work);
	for (guint i = 0; ev->listing && i < ev->listing->len; i++)
		g_free(g_array_index(ev->listing, bh_host_task_t, i).id);
	if (ev->listing)
		g_array_free(ev->listing, TRUE);
	g_free(ev);
}

static void inject_if_due(cellworld_t *w, cell_step_t step, int agent)
{
	cell_fault_t fault = w->armed_fault;

	if (fault == CELL_FAULT_NONE || w->armed_step != step ||
	    --w->armed_nth > 0)
		return;
	w->armed_fault = CELL_FAULT_NONE;
	w->is_injected = true;
	trace(w, "FAULT %s at %s agent-%d", cell_fault_names[fault],
	      cell_step_names[step], agent);
	cellworld_inject(w, fault, agent, w->armed_duration);
}

/* Task history, and invariants checked while it is recorded. */

static task_log_t *log_get(cellworld_t *w, const char *id)
{
	task_log_t *log = g_hash_table_lookup(w->logs, id);

	if (log)
		return log;
	log = g_new0(task_log_t, 1);
	log->epochs = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(w->logs, g_strdup(id), log);
	return log;
}

static void log_free(void *data)
{
	task_log_t *log = data;

	g_hash_table_destroy(log->epochs);
	g_free(log);
}

static bool holds_resources(const work_item_t *work)
{
	return work->state == BH_TASK_RUNNING || work->state == BH_TASK_FROZEN;
}

static bool is_active(const work_item_t *work, bh_usec_t now)
{
	return work->state == BH_TASK_RUNNING && work->lease_until > now;
}

static void check_single_run(cellworld_t *w, const char *id)
{
	int places = 0;

	for (int i = 0; i < w->config.n_agents; i++) {
		const work_item_t *work =
			g_hash_table_lookup(w->agents[i].work_items, id);

		places += work && is_active(work, w->now);
	}
	if (places > 1)
		report_violation(
			w, g_strdup_printf("%s runs on %d workers at once", id,
					   places));
}

static void check_capacity(cellworld_t *w, const agent_t *a)
{
	const bh_resources_t none = {0};
	bh_resources_t sum = {0};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, a->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (holds_resources(value))
			bh_resources_add(&sum, &((work_item_t *)value)->need);
	}
	if (!bh_resources_fit(&sum, &none, &w->config.capacity))
		report_violation(
			w, g_strdup_printf("tasks of %s exceed its capacity",
					   a->name));
}

static const job_t *find_job(cellworld_t *w, const char *id)
{
	for (guint i = 0; i < w->jobs->len; i++) {
		const job_t *job = g_ptr_array_index(w->jobs, i);
		size_t len = strlen(job->name);

		if (strncmp(job->name, id, len) == 0 && id[len] == '/')
			return job;
	}
	return NULL;
}

static void log_start(cellworld_t *w, const agent_t *a, const work_item_t *work)
{
	task_log_t *log = log_get(w, work->id);
	const job_t *job = find_job(w, work->id);

	trace(w, "%s starts %s epoch=%u progress=%lld", a->name, work->id,
	      work->epoch, (long long)(work->progress_us / 1000));
	if (!g_hash_table_add(log->epochs, GUINT_TO_POINTER(work->epoch)))
		report_violation(
			w, g_strdup_printf("%s was started twice with epoch %u",
					   work->id, work->epoch));
	if (log->starts++ == 0)
		log->first_start = w->now;
	w->wasted += MAX(log->most_progress_us - work->progress_us, 0);
	if (!job->spec.is_idempotent && log->starts > 1)
		report_violation(w,
				 g_strdup_printf("%s is not idempotent and was "
						 "started %d times",
						 work->id, log->starts));
	if (log->outcome != BH_OUTCOME_NONE)
		report_violation(
			w, g_strdup_printf(
				   "%s was started after its outcome %s",
				   work->id, bh_outcome_name(log->outcome)));
	check_single_run(w, work->id);
	check_capacity(w, a);
}

static void log_done(cellworld_t *w, const agent_t *a, work_item_t *work)
{
	task_log_t *log = log_get(w, work->id);

	work->state = BH_TASK_DONE;
	work->done_unix_ms = cellworld_unix_ms(w);
	if (log->dones++ == 0)
		log->first_done_unix_ms = work->done_unix_ms;
	trace(w, "%s ends %s epoch=%u", a->name, work->id, work->epoch);
}

static void record_progress(cellworld_t *w, const work_item_t *work)
{
	task_log_t *log = log_get(w, work->id);

	log->most_progress_us = MAX(log->most_progress_us, work->progress_us);
}

/* The worker of an agent. */

static void worker_tick(cellworld_t *w, agent_t *a)
{
	GHashTableIter iter;
	void *value;
	int ended = 0;

	g_hash_table_iter_init(&iter, a->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		work_item_t *work = value;

		if (work->state == BH_TASK_FROZEN &&
		    work->lease_until > w->now) {
			work->state = BH_TASK_RUNNING;
			trace(w, "%s thaws %s", a->name, work->id);
			check_single_run(w, work->id);
		}
		if (work->state != BH_TASK_RUNNING)
			continue;
		if (work->lease_until <= w->now) {
			work->state = BH_TASK_FROZEN;
			trace(w, "%s freezes %s", a->name, work->id);
			continue;
		}
		work->progress_us += TICK_INTERVAL_US * work->permille / 1000;
		if (work->progress_us < work->run_us) {
			record_progress(w, work);
			continue;
		}
		log_done(w, a, work);
		ended++;
	}
	while (ended-- > 0)
		inject_if_due(w, CELL_STEP_DONE, a->index);
}

/* Seeded by the task's ID, so that it is the same on every worker. */
static bh_usec_t actual_run_us(const cellworld_t *w, const work_item_t *work)
{
	double spread = w->config.run_spread;
	GRand *rand;
	double factor;

	if (spread <= 1)
		return work->run_us;
	rand = g_rand_new_with_seed(g_str_hash(work->id));
	factor = pow(spread, g_rand_double_range(rand, -1, 1));
	g_rand_free(rand);
	return (bh_usec_t)((double)work->run_us * factor);
}

/*
 * Services have processors of their own, but share caches and memory with the
 * tasks.
 */
static double current_slowdown(const cellworld_t *w, agent_t *a)
{
	double slowdown = 1;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, a->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const work_item_t *work = value;

		if (is_active(work, w->now))
			slowdown += work->per_cpu * work->need.cpu_milli /
				    1000.0 * work->permille / 1000.0;
	}
	return slowdown;
}

static void sample_slowdown(cellworld_t *w, agent_t *a)
{
	double slowdown = current_slowdown(w, a);

	a->slowdowns[w->now / TICK_INTERVAL_US % SLOWDOWN_HISTORY_LEN] =
		slowdown;
	if (w->now % SLOWDOWN_SAMPLE_INTERVAL_US == 0)
		bh_hist_add(&w->slowdown, (bh_usec_t)(slowdown * 1000));
}

static void worker_start(cellworld_t *w, agent_t *a, event_t *ev)
{
	work_item_t *work = g_steal_pointer(&ev->work);
	event_t *reply = schedule_event(w, EVENT_STARTED, a->index,
					w->now + WORKER_DELAY_US);

	reply->incarnation = ev->incarnation;
	reply->msg.name = g_strdup(work->id);
	reply->msg.seq = work->epoch;
	if (a->fails_starts || work->lease_until <= w->now) {
		work_item_free(work);
		return;
	}
	reply->is_ok = true;
	work->state = BH_TASK_RUNNING;
	work->permille = 1000;
	work->per_cpu = find_job(w, work->id)->per_cpu;
	work->run_us = actual_run_us(w, work);
	g_hash_table_replace(a->work_items, work->id, work);
	log_start(w, a, work);
	inject_if_due(w, CELL_STEP_STARTED, a->index);
}

static work_item_t *find_work_item(agent_t *a, const event_t *ev)
{
	work_item_t *work = g_hash_table_lookup(a->work_items, ev->work->id);

	return work && work->epoch == ev->work->epoch ? work : NULL;
}

static void worker_stop(cellworld_t *w, agent_t *a, event_t *ev)
{
	work_item_t *work = find_work_item(a, ev);

	if (!work || !holds_resources(work))
		return;
	work->state = BH_TASK_STOPPED;
	trace(w, "%s stops %s epoch=%u", a->name, work->id, work->epoch);
}

static void worker_forget(agent_t *a, event_t *ev)
{
	work_item_t *work = find_work_item(a, ev);

	if (work && !holds_resources(work))
		g_hash_table_remove(a->work_items, work->id);
}

static void worker_throttle(agent_t *a, event_t *ev)
{
	work_item_t *work = find_work_item(a, ev);

	if (work)
		work->permille = ev->work->permille;
}

static void worker_renew(cellworld_t *w, agent_t *a, event_t *ev)
{
	work_item_t *work = find_work_item(a, ev);

	if (work)
		work->lease_until =
			MAX(work->lease_until, ev->work->lease_until);
	inject_if_due(w, CELL_STEP_LEASE_RENEWED, a->index);
}

static void worker_list(cellworld_t *w, agent_t *a)
{
	event_t *ev = schedule_event(w, EVENT_LISTED, a->index,
				     w->now + WORKER_DELAY_US);
	GHashTableIter iter;
	void *value;

	ev->requested_at = w->now;
	ev->listing = g_array_new(FALSE, TRUE, sizeof(bh_host_task_t));
	g_hash_table_iter_init(&iter, a->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const work_item_t *work = value;
		bh_host_task_t t = {
			.id = g_strdup(work->id),
			.epoch = work->epoch,
			.state = work->state,
			.need = work->need,
			.run_ms = (uint64_t)(work->run_us / 1000),
			.progress_ms = (uint64_t)(work->progress_us / 1000),
			.done_unix_ms = work->done_unix_ms,
		};

		g_array_append_val(ev->listing, t);
	}
}

static event_t *schedule_worker_event(agent_t *a, event_kind_t kind,
				      const bh_host_task_t *task)
{
	event_t *ev = schedule_event(a->world, kind, a->index,
				     a->world->now + WORKER_DELAY_US);

	ev->work = g_new0(work_item_t, 1);
	ev->work->id = g_strdup(task->id);
	ev->work->epoch = task->epoch;
	ev->work->need = task->need;
	ev->work->run_us = (bh_usec_t)task->run_ms * 1000;
	ev->work->progress_us = (bh_usec_t)task->progress_ms * 1000;
	ev->work->lease_until = task->lease_until;
	return ev;
}

static void op_start(void *ctx, const bh_host_task_t *task)
{
	schedule_worker_event(ctx, EVENT_START, task);
}

static void op_stop(void *ctx, const bh_host_task_t *task)
{
	agent_t *a = ctx;

	schedule_worker_event(a, EVENT_STOP, task);
	inject_if_due(a->world, CELL_STEP_STOP_ORDERED, a->index);
}

static void op_forget(void *ctx, const bh_host_task_t *task)
{
	schedule_worker_event(ctx, EVENT_FORGET, task);
}

static void op_throttle(void *ctx, const bh_host_task_t *task,
			uint32_t permille)
{
	schedule_worker_event(ctx, EVENT_THROTTLE, task)->work->permille =
		permille;
}

static void op_renew(void *ctx, GPtrArray *tasks, bh_usec_t until)
{
	for (guint i = 0; i < tasks->len; i++)
		schedule_worker_event(ctx, EVENT_RENEW, tasks->pdata[i])
			->work->lease_until = until;
}

static const bh_taskhost_ops_t taskhost_ops = {
	.start = op_start,
	.stop = op_stop,
	.forget = op_forget,
	.throttle = op_throttle,
	.renew = op_renew,
};

/* The table service. */

static cell_fault_t store_fault(const cellworld_t *w)
{
	return w->now < w->store_fault_until ? w->store_fault : CELL_FAULT_NONE;
}

static bh_usec_t store_delay(const cellworld_t *w)
{
	return store_fault(w) == CELL_FAULT_STORE_SLOW ? STORE_SLOW_DELAY_US
						       : STORE_DELAY_US;
}

static void op_read(void *ctx)
{
	agent_t *a = ctx;

	schedule_event(a->world, EVENT_READ, a->index,
		       a->world->now + STORE_DELAY_US + store_delay(a->world));
}

static void op_load(void *ctx)
{
	agent_t *a = ctx;

	schedule_event(a->world, EVENT_LOAD, a->index,
		       a->world->now + STORE_DELAY_US + store_delay(a->world));
}

static void op_commit(void *ctx, const bh_cell_commit_t *commit)
{
	agent_t *a = ctx;
	event_t *ev = schedule_event(a->world, EVENT_COMMIT, a->index,
				     a->world->now + store_delay(a->world));
	bh_task_row_t *rows =
		g_memdup2(commit->rows, commit->n_rows * sizeof(*rows));

	for (size_t i = 0; i < commit->n_rows; i++) {
		rows[i].id = g_strdup(rows[i].id);
		rows[i].worker = g_strdup(rows[i].worker);
	}
	ev->commit = *commit;
	ev->commit.rows = rows;
	ev->from = (int)a->incarnation;
	inject_if_due(a->world, CELL_STEP_COMMIT_SENT, a->index);
}

static void record_outcome(cellworld_t *w, const bh_task_row_t *row)
{
	task_log_t *log = log_get(w, row->id);

	if (row->outcome == log->outcome)
		return;
	if (log->outcome != BH_OUTCOME_NONE)
		report_violation(
			w,
			g_strdup_printf("the outcome of %s changed from %s to "
					"%s",
					row->id, bh_outcome_name(log->outcome),
					bh_outcome_name(row->outcome)));
	if (row->outcome == BH_OUTCOME_DELIVERED && log->dones == 0)
		report_violation(
			w, g_strdup_printf("%s is delivered, but never ended",
					   row->id));
	log->outcome = row->outcome;
	trace(w, "outcome of %s: %s", row->id, bh_outcome_name(row->outcome));
	inject_if_due(w, CELL_STEP_OUTCOME_RECORDED, 0);
}

static void row_free(void *data)
{
	bh_task_row_t *row = data;

	g_free((char *)row->id);
	g_free((char *)row->worker);
	g_free(row);
}

static void put_row(cellworld_t *w, const bh_task_row_t *from)
{
	bh_task_row_t *row = g_memdup2(from, sizeof(*from));
	const bh_task_row_t *old = g_hash_table_lookup(w->rows, from->id);

	if (old && old->epoch > from->epoch)
		report_violation(
			w,
			g_strdup_printf("the epoch of %s decreased from %u to "
					"%u",
					from->id, old->epoch, from->epoch));
	row->id = g_strdup(from->id);
	row->worker = g_strdup(from->worker);
	record_outcome(w, row);
	g_hash_table_replace(w->rows, (char *)row->id, row);
}

static void store_apply(cellworld_t *w, const bh_cell_commit_t *commit,
			agent_t *a)
{
	w->counter++;
	w->commits++;
	if (commit->n_rows == 0)
		inject_if_due(w, CELL_STEP_TERM_RENEWED, a->index);
	g_free(w->row_holder);
	w->row_holder = g_strdup(commit->is_resigning ? "" : a->holder);
	w->row.version = w->counter;
	w->row.term = commit->term;
	w->row.nonce = commit->nonce;
	w->row.holder = w->row_holder;
	for (size_t i = 0; i < commit->n_rows; i++)
		put_row(w, &commit->rows[i]);
}

static void store_commit(cellworld_t *w, event_t *ev)
{
	agent_t *a = &w->agents[ev->agent];
	bh_commit_status_t status = BH_COMMIT_REFUSED;
	bh_usec_t at = w->now + store_delay(w);
	event_t *reply;

	if (store_fault(w) != CELL_FAULT_STORE_DOWN) {
		status = ev->commit.version == w->row.version
				 ? BH_COMMIT_OK
				 : BH_COMMIT_CONFLICT;
		if (status == BH_COMMIT_OK)
			store_apply(w, &ev->commit, a);
		inject_if_due(w, CELL_STEP_COMMIT_APPLIED, ev->agent);
	}
	if (store_fault(w) == CELL_FAULT_STORE_LOSES_ANSWERS) {
		status = BH_COMMIT_UNKNOWN;
		at = w->now + STORE_TIMEOUT_US;
	}
	reply = schedule_event(w, EVENT_COMMITTED, ev->agent, at);
	reply->incarnation = ev->incarnation;
	reply->status = status;
	reply->version = w->counter;
	reply->commit.nonce = ev->commit.nonce;
}

static int find_holder(cellworld_t *w, const char *holder,
		       uint64_t *incarnation)
{
	for (int i = 0; i < w->config.n_agents; i++) {
		agent_t *a = &w->agents[i];

		if (holder && strcmp(a->holder, holder) == 0) {
			*incarnation = a->incarnation;
			return i;
		}
	}
	return -1;
}

static void store_read(cellworld_t *w, agent_t *a)
{
	if (store_fault(w) == CELL_FAULT_STORE_DOWN) {
		bh_cell_row_read(a->cell, NULL, w->now);
		return;
	}
	if (w->row.holder && *w->row.holder)
		a->believed_leader =
			find_holder(w, w->row.holder, &a->believed_incarnation);
	bh_cell_row_read(a->cell, &w->row, w->now);
}

static void deliver_records(cellworld_t *w, agent_t *a)
{
	for (guint i = 0; i < w->jobs->len; i++) {
		const job_t *job = g_ptr_array_index(w->jobs, i);

		if (job->revision > a->records_seen)
			bh_cell_set_job(a->cell, &job->spec, w->now);
	}
	a->records_seen = w->counter;
}

static void store_load(cellworld_t *w, agent_t *a)
{
	GHashTableIter iter;
	void *value;

	if (store_fault(w) == CELL_FAULT_STORE_DOWN) {
		bh_cell_loaded(a->cell, false, w->now);
		return;
	}
	a->records_seen = 0;
	deliver_records(w, a);
	g_hash_table_iter_init(&iter, w->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bh_cell_load_task(a->cell, value);
	bh_cell_loaded(a->cell, true, w->now);
}

static void op_send(void *ctx, const char *member, const bh_msg_t *orders)
{
	agent_t *a = ctx;
	cellworld_t *w = a->world;
	int to = atoi(member + 1);
	bh_usec_t at = w->now + NET_DELAY_US;
	event_t *ev;

	for (size_t i = 0; i < orders->n_orders; i++) {
		if (orders->orders[i].kind == BH_ORDER_START)
			inject_if_due(w, CELL_STEP_START_ORDERED, to);
	}
	if (w->now < w->delay_orders_until)
		at += ORDER_DELAY_US;
	if (to != a->index &&
	    (w->now < a->cut_until || w->now < w->agents[to].cut_until))
		return;
	/* Orders to a member are delivered in sequence, as on one connection.
	 */
	at = MAX(at, w->agents[to].last_orders_at);
	w->agents[to].last_orders_at = at;
	ev = schedule_event(w, EVENT_ORDERS, to, at);
	bh_msg_copy(&ev->msg, orders);
}

static const bh_cell_ops_t cell_ops = {
	.read = op_read,
	.commit = op_commit,
	.load = op_load,
	.send = op_send,
};

/* Agents. */

/* Reports the slowdown as it was usage_lag_us ago. */
static void add_service(cellworld_t *w, const agent_t *a, bh_msg_t *msg)
{
	bh_usec_t at = MAX(w->now - w->config.usage_lag_us, 0);
	double slowdown =
		a->slowdowns[at / TICK_INTERVAL_US % SLOWDOWN_HISTORY_LEN];

	if (slowdown < 1)
		return;
	msg->n_endpoints = 1;
	msg->endpoints = g_new0(bh_endpoint_info_t, 1);
	msg->endpoints[0].service = g_strdup("roster");
	msg->endpoints[0].load.slots = 8;
	msg->endpoints[0].load.service_us =
		(uint32_t)(CELL_SERVICE_US * slowdown *
			   g_rand_double_range(w->rand, 0.97, 1.03));
}

static void send_report(cellworld_t *w, agent_t *a)
{
	int leader = bh_cell_role(a->cell) == BH_CELL_LEADING
			     ? a->index
			     : a->believed_leader;
	bh_msg_t msg = {0};
	event_t *ev;

	worker_list(w, a);
	if (leader < 0 || !bh_taskhost_fill_report(a->taskhost, &msg, w->now))
		return;
	if (leader != a->index &&
	    (w->now < a->cut_until || w->now < w->agents[leader].cut_until)) {
		bh_msg_clear(&msg);
		return;
	}
	add_service(w, a, &msg);
	ev = schedule_event(w, EVENT_REPORT, leader, w->now + NET_DELAY_US);
	ev->msg = msg;
	inject_if_due(w, CELL_STEP_REPORTED, a->index);
}

static void agent_start(cellworld_t *w, int index)
{
	agent_t *a = &w->agents[index];
	bh_cell_config_t config = {
		.placement = w->config.placement ? w->config.placement
						 : "interference",
		.lease_us = w->config.lease_us,
		.term_us = w->config.term_us,
		.journal_us = w->config.journal_us,
		.seed = w->config.seed * 1000 + (uint32_t)w->next_incarnation,
	};

	a->world = w;
	a->index = index;
	a->incarnation = w->next_incarnation++;
	a->is_alive = true;
	a->believed_leader = -1;
	a->frozen_until = 0;
	a->records_seen = 0;
	g_free(a->holder);
	a->holder = g_strdup_printf("a%d#%llu", index,
				    (unsigned long long)a->incarnation);
	if (!a->name)
		a->name = g_strdup_printf("a%d", index);
	if (!a->work_items)
		a->work_items = g_hash_table_new_full(g_str_hash, g_str_equal,
						      NULL, work_item_free);
	config.holder = a->holder;
	a->cell = bh_cell_new(&config, &cell_ops, a, w->now);
	a->taskhost =
		bh_taskhost_new(a->name, a->incarnation, &taskhost_ops, a);
}

static void agent_kill(cellworld_t *w, int index)
{
	agent_t *a = &w->agents[index];

	if (!a->is_alive)
		return;
	trace(w, "%s dies", a->name);
	a->is_alive = false;
	schedule_event(w, EVENT_RESTART, index, w->now + RESTART_DELAY_US);
}

static void agent_restart(cellworld_t *w, int index)
{
	agent_t *a = &w->agents[index];

	bh_cell_free(a->cell);
	bh_taskhost_free(a->taskhost);
	agent_start(w, index);
	trace(w, "%s is back", a->name);
}

static void agent_tick(cellworld_t *w, agent_t *a)
{
	if (!a->is_alive || w->now < a->frozen_until)
		return;
	bh_cell_set_unix_ms(a->cell, cellworld_unix_ms(w), w->now);
	bh_cell_tick(a->cell, w->now);
	if (w->now >= a->next_report) {
		a->next_report = w->now + w->config.report_us;
		send_report(w, a);
	}
	if (w->now >= a->next_poll) {
		a->next_poll = w->now + POLL_INTERVAL_US;
		if (bh_cell_role(a->cell) == BH_CELL_LEADING &&
		    store_fault(w) != CELL_FAULT_STORE_DOWN)
			deliver_records(w, a);
	}
}

static bool is_for_worker(event_kind_t kind)
{
	return kind == EVENT_START || kind == EVENT_STOP ||
	       kind == EVENT_FORGET || kind == EVENT_RENEW ||
	       kind == EVENT_THROTTLE;
}

static void handle_orders(cellworld_t *w, agent_t *a, const bh_msg_t *msg)
{
	bh_cell_note_leader_orders(a->cell, w->now);
	bh_taskhost_handle_orders(a->taskhost, msg, w->now);
}

static void handle_agent_event(cellworld_t *w, agent_t *a, event_t *ev)
{
	switch (ev->kind) {
	case EVENT_COMMITTED:
		inject_if_due(w, CELL_STEP_COMMIT_ANSWERED, a->index);
		if (a->is_alive && w->now >= a->frozen_until)
			bh_cell_committed(a->cell, ev->commit.nonce, ev->status,
					  ev->version, w->now);
		break;
	case EVENT_READ:
		store_read(w, a);
		break;
	case EVENT_LOAD:
		store_load(w, a);
		break;
	case EVENT_REPORT:
		bh_cell_handle_report(a->cell, &ev->msg, w->now);
		break;
	case EVENT_ORDERS:
		handle_orders(w, a, &ev->msg);
		break;
	case EVENT_STARTED:
		bh_taskhost_started(a->taskhost, ev->msg.name,
				    (uint32_t)ev->msg.seq, ev->is_ok, w->now);
		break;
	case EVENT_LISTED:
		bh_taskhost_handle_listing(
			a->taskhost, &w->config.capacity,
			(bh_host_task_t *)(void *)ev->listing->data,
			ev->listing->len, ev->requested_at);
		break;
	default:
		break;
	}
}

static void handle_worker_event(cellworld_t *w, agent_t *a, event_t *ev)
{
	switch (ev->kind) {
	case EVENT_START:
		worker_start(w, a, ev);
		break;
	case EVENT_STOP:
		worker_stop(w, a, ev);
		break;
	case EVENT_FORGET:
		worker_forget(a, ev);
		break;
	case EVENT_RENEW:
		worker_renew(w, a, ev);
		break;
	case EVENT_THROTTLE:
		worker_throttle(a, ev);
		break;
	default:
		break;
	}
}

static void handle_event(cellworld_t *w, event_t *ev)
{
	agent_t *a = &w->agents[ev->agent];

	if (ev->kind == EVENT_RESTART)
		agent_restart(w, ev->agent);
	else if (ev->kind == EVENT_COMMIT)
		store_commit(w, ev);
	else if (is_for_worker(ev->kind))
		handle_worker_event(w, a, ev);
	else if (a->is_alive && a->incarnation == ev->incarnation)
		handle_agent_event(w, a, ev);
}

static bool is_delayed_by_freeze(const cellworld_t *w, const event_t *ev)
{
	return ev->kind != EVENT_COMMIT && ev->kind != EVENT_RESTART &&
	       !is_for_worker(ev->kind) &&
	       w->agents[ev->agent].frozen_until > ev->at;
}

static void tick_all(cellworld_t *w)
{
	for (int i = 0; i < w->config.n_agents; i++) {
		worker_tick(w, &w->agents[i]);
		sample_slowdown(w, &w->agents[i]);
		agent_tick(w, &w->agents[i]);
	}
}

static void job_free(void *data)
{
	job_t *job = data;

	g_free(job->name);
	g_free(job);
}

cellworld_t *cellworld_new(const cellworld_config_t *config)
{
	cellworld_t *w = g_new0(cellworld_t, 1);

	w->config = *config;
	w->rand = g_rand_new_with_seed(config->seed);
	w->now = BH_USEC_PER_SEC;
	w->next_tick = w->now;
	w->next_incarnation = 1;
	w->events = g_sequence_new(NULL);
	w->jobs = g_ptr_array_new_with_free_func(job_free);
	w->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	w->logs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					log_free);
	for (int i = 0; i < config->n_agents; i++)
		agent_start(w, i);
	return w;
}

void cellworld_free(cellworld_t *w)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		event_free(g_sequence_get(iter));
	g_sequence_free(w->events);
	for (int i = 0; i < w->config.n_agents; i++) {
		agent_t *a = &w->agents[i];

		bh_cell_free(a->cell);
		bh_taskhost_free(a->taskhost);
		g_hash_table_destroy(a->work_items);
		g_free(a->name);
		g_free(a->holder);
	}
	g_ptr_array_free(w->jobs, TRUE);
	g_hash_table_destroy(w->rows);
	g_hash_table_destroy(w->logs);
	g_free(w->row_holder);
	g_free(w->violation);
	g_rand_free(w->rand);
	g_free(w);
}

void cellworld_run(cellworld_t *w, bh_usec_t duration)
{
	bh_usec_t until = w->now + duration;

	while (w->next_tick <= until) {
		GSequenceIter *iter = g_sequence_get_begin_iter(w->events);
		event_t *ev;

		if (g_sequence_iter_is_end(iter) ||
		    ((event_t *)g_sequence_get(iter))->at > w->next_tick) {
			w->now = w->next_tick;
			w->next_tick += TICK_INTERVAL_US;
			tick_all(w);
			continue;
		}
		ev = g_sequence_get(iter);
		g_sequence_remove(iter);
		w->now = MAX(w->now, ev->at);
		if (is_delayed_by_freeze(w, ev)) {
			ev->at = w->agents[ev->agent].frozen_until;
			g_sequence_insert_sorted(w->events, ev, compare_events,
						 NULL);
			continue;
		}
		handle_event(w, ev);
		event_free(ev);
	}
	w->now = until;
}

bh_usec_t cellworld_now(const cellworld_t *w)
{
	return w->now;
}

uint64_t cellworld_unix_ms(const cellworld_t *w)
{
	return START_UNIX_MS + (uint64_t)(w->now / 1000);
}

void cellworld_add_job(cellworld_t *w, const bh_job_spec_t *spec)
{
	job_t *job = g_new0(job_t, 1);

	job->name = g_strdup(spec->name);
	job->spec = *spec;
	job->spec.name = job->name;
	job->spec.tenant = spec->tenant ? spec->tenant : "tenant";
	job->revision = ++w->counter;
	g_ptr_array_add(w->jobs, job);
	inject_if_due(w, CELL_STEP_JOB_ACCEPTED, 0);
}

void cellworld_cancel(cellworld_t *w, const char *name)
{
	for (guint i = 0; i < w->jobs->len; i++) {
		job_t *job = g_ptr_array_index(w->jobs, i);

		if (strcmp(job->name, name) != 0)
			continue;
		job->spec.is_cancelled = true;
		job->revision = ++w->counter;
	}
	inject_if_due(w, CELL_STEP_CANCELLED, 0);
}

void cellworld_arm(cellworld_t *w, cell_step_t step, int nth,
		   cell_fault_t fault, bh_usec_t duration)
{
	w->armed_step = step;
	w->armed_nth = nth;
	w->armed_fault = fault;
	w->armed_duration = duration;
}

bool cellworld_is_injected(const cellworld_t *w)
{
	return w->is_injected;
}

int cellworld_leader(cellworld_t *w)
{
	for (int i = 0; i < w->config.n_agents; i++) {
		if (w->agents[i].is_alive &&
		    bh_cell_role(w->agents[i].cell) == BH_CELL_LEADING)
			return i;
	}
	return -1;
}

static void lose_host(cellworld_t *w, int agent, bool is_replaced)
{
	if (is_replaced)
		agent_kill(w, agent);
	w->agents[agent].is_alive = false;
	g_hash_table_remove_all(w->agents[agent].work_items);
}

void cellworld_inject(cellworld_t *w, cell_fault_t fault, int agent,
		      bh_usec_t duration)
{
	int leader = MAX(cellworld_leader(w), 0);
	bh_usec_t until = w->now + duration;

	switch (fault) {
	case CELL_FAULT_KILL_LEADER:
		agent_kill(w, leader);
		break;
	case CELL_FAULT_KILL_AGENT:
		agent_kill(w, agent);
		break;
	case CELL_FAULT_LOSE_HOST:
		lose_host(w, agent, duration >= 0);
		break;
	case CELL_FAULT_FREEZE_LEADER:
		w->agents[leader].frozen_until = until;
		break;
	case CELL_FAULT_FREEZE_AGENT:
		w->agents[agent].frozen_until = until;
		break;
	case CELL_FAULT_CUT_AGENT:
		w->agents[agent].cut_until = until;
		break;
	case CELL_FAULT_CUT_LEADER:
		w->agents[leader].cut_until = until;
		break;
	case CELL_FAULT_STORE_DOWN:
	case CELL_FAULT_STORE_SLOW:
	case CELL_FAULT_STORE_LOSES_ANSWERS:
		w->store_fault = fault;
		w->store_fault_until = until;
		break;
	case CELL_FAULT_DELAY_ORDERS:
		w->delay_orders_until = until;
		break;
	case CELL_FAULT_FAIL_STARTS:
		w->agents[agent].fails_starts = true;
		break;
	default:
		break;
	}
}

bh_cell_t *cellworld_cell(cellworld_t *w, int agent)
{
	return w->agents[agent].cell;
}

int cellworld_count(cellworld_t *w, bh_outcome_t outcome)
{
	GHashTableIter iter;
	void *value;
	int n = 0;

	g_hash_table_iter_init(&iter, w->logs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((task_log_t *)value)->outcome == outcome;
	return n;
}

static int count_work_items(cellworld_t *w, bh_task_state_t state)
{
	GHashTableIter iter;
	void *value;
	int n = 0;

	for (int i = 0; i < w->config.n_agents; i++) {
		g_hash_table_iter_init(&iter, w->agents[i].work_items);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			n += ((work_item_t *)value)->state == state;
	}
	return n;
}

int cellworld_running(cellworld_t *w)
{
	return count_work_items(w, BH_TASK_RUNNING);
}

int cellworld_frozen(cellworld_t *w)
{
	return count_work_items(w, BH_TASK_FROZEN);
}

uint64_t cellworld_commits(const cellworld_t *w)
{
	return w->commits;
}

int cellworld_starts(const cellworld_t *w, const char *id)
{
	const task_log_t *log = g_hash_table_lookup(w->logs, id);

	return log ? log->starts : 0;
}

bh_usec_t cellworld_first_start(const cellworld_t *w, const char *id)
{
	const task_log_t *log = g_hash_table_lookup(w->logs, id);

	return log && log->starts ? log->first_start : 0;
}

void cellworld_interfere(cellworld_t *w, const char *name, double per_cpu)
{
	for (guint i = 0; i < w->jobs->len; i++) {
		job_t *job = g_ptr_array_index(w->jobs, i);

		if (strcmp(job->name, name) == 0)
			job->per_cpu = per_cpu;
	}
}

const bh_hist_t *cellworld_slowdown(const cellworld_t *w)
{
	return &w->slowdown;
}

bh_usec_t cellworld_wasted(const cellworld_t *w)
{
	return w->wasted;
}

void cellworld_reset_stats(cellworld_t *w)
{
	memset(&w->slowdown, 0, sizeof(w->slowdown));
	w->wasted = 0;
}

static char *check_task(cellworld_t *w, const job_t *job, uint32_t index)
{
	g_autofree char *id = g_strdup_printf("%s/%u", job->name, index);
	const task_log_t *log = g_hash_table_lookup(w->logs, id);
	uint64_t deadline = job->spec.deadline_unix_ms;

	if (!log || log->outcome == BH_OUTCOME_NONE)
		return g_strdup_printf("%s has no outcome", id);
	if (log->outcome == BH_OUTCOME_DELIVERED && deadline &&
	    log->first_done_unix_ms > deadline)
		return g_strdup_printf("%s is delivered, but ended late", id);
	if (log->outcome == BH_OUTCOME_EXPIRED && log->dones > 0 &&
	    !job->spec.is_idempotent)
		return g_strdup_printf("%s is expired, but ended", id);
	return NULL;
}

char *cellworld_check(cellworld_t *w)
{
	if (w->violation)
		return g_strdup(w->violation);
	for (guint i = 0; i < w->jobs->len; i++) {
		const job_t *job = g_ptr_array_index(w->jobs, i);

		for (uint32_t t = 0; t < job->spec.n_tasks; t++) {
			char *violation = check_task(w, job, t);

			if (violation)
				return violation;
		}
	}
	return NULL;
}
