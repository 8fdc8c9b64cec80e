#include "tests/leadersworld.h"
#include "sched/grants.h"
#include "wire/sched_codec.h"

#include <stdio.h>

#define ENTRIES	      3
#define HOSTS	      6
#define NOBODY	      (-1)
#define JOBS	      16
#define STEP_US	      MS_US(20)
#define MS_US(n)      ((bh_usec_t)(n)*BH_USEC_PER_MS)
#define LEASE_MS      5000
#define FAULTS_UNTIL  MS_US(40000)
#define RUN_UNTIL     MS_US(110000)
#define STORE_TIMEOUT MS_US(1500)

/* Bounds of daemon/term.c, daemon/sched_leader.c and daemon/sched_agent.c. */
#define RENEW_US	 MS_US(500)
#define LEADER_TIMEOUT	 MS_US(1300)
#define READ_US		 MS_US(300)
#define PAUSE_US	 MS_US(1000)
#define LEADER_LINK_US	 MS_US(1600)
#define AGENT_LINK_US	 MS_US(2000)
#define PING_US		 MS_US(500)
#define REGISTER_US	 MS_US(5000)
#define REGISTER_RETRY	 MS_US(400)
#define CONFIRM_US	 MS_US(100)
#define POLL_US		 MS_US(200)
#define POLL_ENDS_US	 MS_US(60)
#define POLLS_UNTIL_DOWN 2

const char *const lw_mode_names[LW_MODES] = {"any", "new-host", "restart",
					     "answer"};

enum { HELLO, PING, GRANT, START, STOP, REPORT, RESULT, CLOSED };
enum {
	READ_ROW,
	CAMPAIGN,
	COMMIT,
	AGENTS,
	JOB_ROWS,
	PROGRESS,
	REGISTER,
	DEREGISTER,
	READ_TERM
};
enum { OK, CONFLICT, UNKNOWN, REFUSED };
enum { TO_ENTRY, TO_AGENT };

typedef struct row {
	uint64_t term;
	int owner;
	uint64_t version;
} row_t;

typedef struct frame {
	int kind;
	bh_usec_t at;
	uint64_t term;
	bh_report_t report;
	char task[BH_TASK_NAME_BYTES];
	uint32_t attempt;
	uint64_t boot;
	uint64_t expires_ms;
	uint64_t ack;
	int order;
	bh_order_outcome_t outcome;
} frame_t;

/**
 * struct conn - a connection; what was sent before the sender closed it comes
 */
typedef struct conn {
	int entry;
	int host;
	GQueue frames[2];
	bool is_open[2];
} conn_t;

/**
 * struct req - a call to the store
 * @client: an entry, or ENTRIES and more: a host's agent
 * @incarnation: of the client's process
 * @is_kept: carried out after the cut, however late
 */
typedef struct req {
	int kind;
	int client;
	uint32_t incarnation;
	bh_usec_t at;
	bh_usec_t sent_at;
	bool is_kept;
	bool is_done;
	bool is_lost;
	bool is_answered;
	int status;
	uint64_t expected;
	row_t row;
	bool has_row;
	const bh_sched_t *sched;
	bool has_progress;
	GHashTable *puts;
	int removed_host;
	uint64_t agents[HOSTS];
	guint n_jobs;
} req_t;

typedef struct run {
	char task[BH_TASK_NAME_BYTES];
	uint32_t attempt;
	bh_usec_t started_at;
	bh_usec_t ends_at;
	bh_usec_t stop_at;
} run_t;

typedef struct order {
	int host;
	uint32_t incarnation;
	bool is_done;
	frame_t f;
} order_t;

/**
 * struct host - a worker and its agent
 * @rate: of its clocks
 * @lapsed_number: highest number of an end that came before the lease was last
 *	found expired
 * @knows_term: as in struct bh_sched_agent
 */
typedef struct host {
	char key[16];
	double rate;
	/* The worker. */
	bool is_up;
	bool is_draining;
	char id[16];
	uint64_t boot;
	bh_usec_t booted_at;
	bh_usec_t up_at;
	bh_usec_t leaves_at;
	bh_usec_t announced_at;
	uint64_t worker_term;
	uint64_t worker_expires;
	GPtrArray *runs;
	GArray *ended;
	GHashTable *closed;
	uint64_t last_number;
	uint64_t lapsed_number;
	/* The agent. */
	bool has_agent;
	bh_usec_t agent_up_at;
	bh_usec_t agent_leaves_at;
	bool removes_row;
	bh_usec_t paused_until;
	uint32_t incarnation;
	uint64_t term;
	conn_t *leader;
	bh_usec_t heard_at;
	bh_usec_t pinged_at;
	bh_usec_t poll_at;
	char info_id[16];
	uint64_t info_boot;
	bh_worker_state_t info_state;
	uint64_t agent_boot;
	uint64_t expires_ms;
	bh_usec_t lease_until;
	uint64_t clock_ms;
	bh_usec_t clock_at;
	uint64_t ack;
	uint64_t listed_end;
	int refused_polls;
	bool is_down;
	bool is_registering;
	bool is_registered;
	bool is_idle;
	bool knows_term;
	bool is_reading_term;
	bh_usec_t registered_at;
	bh_usec_t term_read_at;
	uint64_t starts;
} host_t;

typedef struct entry {
	struct world *w;
	int index;
	double rate;
	bh_usec_t offset;
	bh_usec_t paused_until;
	uint32_t incarnation;
	/* As in struct bh_term. */
	row_t row;
	bool is_row_known;
	bool is_leader;
	bool is_writing;
	bool is_reading;
	bool is_write_unclear;
	bool is_confirmed;
	bool is_gone;
	bh_usec_t unchanged_since;
	bh_usec_t campaign_at;
	bh_usec_t read_at;
	bh_usec_t sent_at;
	bh_usec_t confirmed_at;
	bh_usec_t row_written_at;
	bh_usec_t ticked_at;
	bool must_write_row;
	uint64_t campaign_term;
	uint64_t seen_term;
	bool is_predecessor_gone;
	bh_usec_t earlier_grants_until;
	/* As in struct bh_sched_leader. */
	bh_sched_t *sched;
	bh_usec_t started_at;
	int loading;
	bool is_following[3];
	bh_usec_t follow_at[3];
	uint64_t agents_seen[HOSTS];
	guint jobs_seen;
	bh_usec_t jobs_read_at;
	GHashTable *progress;
	bool is_known[HOSTS];
	conn_t *links[HOSTS];
	bh_usec_t heard_at[HOSTS];
	bh_usec_t dial_at[HOSTS];
	bh_usec_t pinged_at;
	bh_usec_t commit_sent_at;
	bh_usec_t removed_at;
} entry_t;

typedef struct history {
	uint32_t running;
	uint32_t workers_ended;
	bool is_done;
	bool is_done_acked;
	uint32_t rerun_attempt;
} history_t;

typedef struct fault {
	bh_usec_t at;
	int kind;
	int entry;
	int host;
	bh_usec_t length;
} fault_t;

typedef struct world {
	GRand *rand;
	lw_mode_t mode;
	lw_disabled_t disabled;
	bool is_traced;
	bh_usec_t now;
	entry_t entries[ENTRIES];
	host_t hosts[HOSTS];
	bh_usec_t cut[ENTRIES][HOSTS];
	bh_usec_t entry_cut[ENTRIES];
	bh_usec_t host_cut[HOSTS];
	bh_usec_t writes_refused[ENTRIES];
	bh_usec_t answers_lost;
	bh_usec_t next_fault_at;
	GArray *faults;
	GPtrArray *conns;
	GPtrArray *reqs;
	GPtrArray *orders;
	/* The store. */
	row_t row;
	uint64_t version;
	uint64_t agent_rows[HOSTS];
	GHashTable *progress;
	GPtrArray *jobs;
	bh_usec_t job_at[JOBS];
	bh_config_t *config;
	GHashTable *histories;
	uint32_t ids;
	char *violation;
} world_t;

static void trace(const world_t *w, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void trace(const world_t *w, const char *format, ...)
{
	va_list args;

	if (!w->is_traced)
		return;
	printf("%8.2f ", (double)w->now / 1e6);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	putchar('\n');
}

static int pick(world_t *w, int from, int below)
{
	return g_rand_int_range(w->rand, from, below);
}

static bh_usec_t entry_now(const entry_t *e)
{
	return e->offset + (bh_usec_t)((double)e->w->now * e->rate);
}

static bh_usec_t agent_now(const world_t *w, const host_t *h)
{
	return (bh_usec_t)((double)w->now * h->rate);
}

static uint64_t unix_ms(const world_t *w)
{
	return 1000000000000ull + (uint64_t)(w->now / 1000);
}

static uint64_t worker_clock(const world_t *w, const host_t *h)
{
	return 1000 +
	       (uint64_t)((double)(w->now - h->booted_at) * h->rate / 1000);
}

static void violate(world_t *w, const char *rule, const char *task)
{
	trace(w, "VIOLATION %s: %s", rule, task);
	if (!w->violation)
		w->violation = g_strdup_printf("%s: %s at %.2f s", rule, task,
					       (double)w->now / 1e6);
}

static history_t *history_of(world_t *w, const char *task)
{
	history_t *y = g_hash_table_lookup(w->histories, task);

	if (!y) {
		y = g_new0(history_t, 1);
		g_hash_table_insert(w->histories, g_strdup(task), y);
	}
	return y;
}

/* The worker. */

static void close_attempt(host_t *h, const char *task, uint32_t attempt)
{
	uint32_t before =
		GPOINTER_TO_UINT(g_hash_table_lookup(h->closed, task));

	g_hash_table_insert(h->closed, g_strdup(task),
			    GUINT_TO_POINTER(MAX(before, attempt)));
}

static void end_run(world_t *w, host_t *h, guint i, bh_end_t how)
{
	run_t *run = h->runs->pdata[i];
	history_t *y = history_of(w, run->task);
	bh_ended_t end = {.number = ++h->last_number,
			  .task = g_strdup(run->task),
			  .attempt = run->attempt,
			  .how = how};

	trace(w, "%s %s: %s %u ends %s", h->key, h->id, run->task, run->attempt,
	      bh_end_name(how));
	y->running--;
	y->is_done |= how == BH_END_DONE;
	close_attempt(h, run->task, run->attempt);
	g_array_append_val(h->ended, end);
	g_ptr_array_remove_index_fast(h->runs, i);
}

static void forget_ends(world_t *w, host_t *h, uint64_t upto, bool is_acked)
{
	while (h->ended->len) {
		bh_ended_t *end = &g_array_index(h->ended, bh_ended_t, 0);
		history_t *y = history_of(w, end->task);

		if (end->number > upto)
			return;
		if (is_acked && end->how == BH_END_DONE &&
		    end->number > h->lapsed_number) {
			trace(w, "%s %s: end of %s %u acknowledged", h->key,
			      h->id, end->task, end->attempt);
			y->is_done_acked = true;
			if (end->attempt < y->rerun_attempt)
				violate(w, "TWICE, started after its end",
					end->task);
		}
		g_free(end->task);
		g_array_remove_index(h->ended, 0);
	}
}

static void worker_down(world_t *w, host_t *h)
{
	while (h->runs->len) {
		run_t *run = h->runs->pdata[0];

		history_of(w, run->task)->running--;
		history_of(w, run->task)->workers_ended++;
		g_ptr_array_remove_index_fast(h->runs, 0);
	}
	trace(w, "%s %s: worker ends", h->key, h->id);
	forget_ends(w, h, UINT64_MAX, false);
	g_hash_table_remove_all(h->closed);
	h->is_up = false;
	h->is_draining = false;
	h->leaves_at = 0;
	h->up_at = 0;
}

static void worker_up(world_t *w, host_t *h)
{
	g_snprintf(h->id, sizeof(h->id), "i-%u", ++w->ids);
	h->is_up = true;
	h->up_at = 0;
	h->boot = unix_ms(w);
	h->booted_at = w->now;
	h->announced_at = 0;
	h->worker_term = 0;
	h->worker_expires = 0;
	h->last_number = 0;
	h->lapsed_number = 0;
	trace(w, "%s %s: worker starts", h->key, h->id);
}

static run_t *find_run(const host_t *h, const char *task, uint32_t attempt)
{
	for (guint i = 0; i < h->runs->len; i++) {
		run_t *run = h->runs->pdata[i];

		if (run->attempt == attempt && strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static bh_order_outcome_t worker_start(world_t *w, host_t *h, const frame_t *f)
{
	history_t *y = history_of(w, f->task);
	uint32_t closed =
		GPOINTER_TO_UINT(g_hash_table_lookup(h->closed, f->task));
	run_t *run;
	bh_task_name_t parts;
	GBytes *bytes;
	bh_job_t *job;

	if (find_run(h, f->task, f->attempt))
		return BH_ORDER_OK;
	if (closed >= f->attempt)
		return BH_ORDER_OLD;
	if (f->expires_ms <= worker_clock(w, h))
		return BH_ORDER_REFUSED;
	trace(w, "%s %s: %s %u starts, term %u", h->key, h->id, f->task,
	      f->attempt, (unsigned)f->term);
	h->worker_expires = MAX(h->worker_expires, f->expires_ms);
	if (y->running)
		violate(w, "TWICE", f->task);
	if (y->is_done_acked)
		violate(w, "TWICE, started after its acknowledged end",
			f->task);
	if (y->is_done)
		y->rerun_attempt = f->attempt;
	bh_task_name_parse(f->task, &parts);
	bytes = w->jobs->pdata[g_ascii_strtoull(parts.job, NULL, 16) - 1];
	job = bh_job_unpack(g_bytes_get_data(bytes, NULL),
			    g_bytes_get_size(bytes));
	run = g_new0(run_t, 1);
	g_strlcpy(run->task, f->task, sizeof(run->task));
	run->attempt = f->attempt;
	run->started_at = w->now;
	run->ends_at = w->now + MS_US(job->steps[0].estimate_ms);
	bh_job_free(job);
	y->running++;
	g_ptr_array_add(h->runs, run);
	return BH_ORDER_OK;
}

static bh_order_outcome_t worker_order(world_t *w, host_t *h, const frame_t *f)
{
	run_t *run;

	if (!h->is_up || f->boot != h->boot)
		return BH_ORDER_REFUSED;
	if (f->term < h->worker_term)
		return BH_ORDER_FENCED;
	h->worker_term = f->term;
	if (f->kind == START)
		return worker_start(w, h, f);
	run = find_run(h, f->task, f->attempt);
	if (run)
		run->stop_at = w->now + MS_US(100);
	else
		close_attempt(h, f->task, f->attempt);
	return BH_ORDER_OK;
}

static void step_worker(world_t *w, host_t *h)
{
	if (!h->is_up) {
		if (h->up_at && w->now >= h->up_at)
			worker_up(w, h);
		return;
	}
	if (h->leaves_at && w->now >= h->leaves_at) {
		worker_down(w, h);
		return;
	}
	if (worker_clock(w, h) >= h->worker_expires)
		h->lapsed_number = h->last_number;
	for (guint i = 0; i < h->runs->len;) {
		run_t *run = h->runs->pdata[i];

		if (worker_clock(w, h) >= h->worker_expires)
			end_run(w, h, i, BH_END_LAPSED);
		else if (run->stop_at && w->now >= run->stop_at)
			end_run(w, h, i, BH_END_STOPPED);
		else if (w->now >= run->ends_at)
			end_run(w, h, i, BH_END_DONE);
		else
			i++;
	}
	if (h->has_agent && w->now >= h->paused_until &&
	    w->now - h->announced_at >= MS_US(500)) {
		h->announced_at = w->now;
		g_strlcpy(h->info_id, h->id, sizeof(h->info_id));
		h->info_boot = h->boot;
		h->info_state =
			h->is_draining ? BH_WORKER_DRAINING : BH_WORKER_READY;
	}
}

/* Connections. */

static void frame_free(frame_t *f)
{
	bh_report_clear(&f->report);
	g_free(f);
}

static frame_t *frame_new(const world_t *w, int kind, uint64_t term)
{
	frame_t *f = g_new0(frame_t, 1);

	f->kind = kind;
	f->term = term;
	f->at = w->now + STEP_US;
	return f;
}

static void conn_send(conn_t *c, int to, frame_t *f)
{
	if (!c || !c->is_open[!to])
		frame_free(f);
	else
		g_queue_push_tail(&c->frames[to], f);
}

/* Closes the end of @side. */
static void conn_close(world_t *w, conn_t *c, int side)
{
	frame_t *f;

	if (!c || !c->is_open[side])
		return;
	conn_send(c, !side, frame_new(w, CLOSED, 0));
	c->is_open[side] = false;
	while ((f = g_queue_pop_head(&c->frames[side])) != NULL)
		frame_free(f);
}

static void conn_free(gpointer data)
{
	conn_t *c = data;
	frame_t *f;

	for (int to = 0; to < 2; to++) {
		while ((f = g_queue_pop_head(&c->frames[to])) != NULL)
			frame_free(f);
	}
	g_free(c);
}

static bool is_cut(const world_t *w, int entry, int host)
{
	return w->now < w->cut[entry][host];
}

/* Return: the next frame that has come, or NULL; owned by the caller. */
static frame_t *conn_receive(world_t *w, conn_t *c, int to)
{
	frame_t *f = g_queue_peek_head(&c->frames[to]);

	if (!f || w->now < f->at || is_cut(w, c->entry, c->host))
		return NULL;
	return g_queue_pop_head(&c->frames[to]);
}

/* Calls to the store. */

static req_t *req_new(world_t *w, int kind, int client)
{
	req_t *r = g_new0(req_t, 1);

	r->kind = kind;
	r->client = client;
	r->incarnation = client < ENTRIES
				 ? w->entries[client].incarnation
				 : w->hosts[client - ENTRIES].incarnation;
	r->sent_at = w->now;
	r->at = w->now + MS_US(pick(w, 5, 40));
	r->is_kept = pick(w, 0, 2);
	r->removed_host = NOBODY;
	g_ptr_array_add(w->reqs, r);
	return r;
}

static void req_free(gpointer data)
{
	req_t *r = data;

	if (r->puts)
		g_hash_table_unref(r->puts);
	g_free(r);
}

static GHashTable *rows_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

static void copy_rows(GHashTable *from, GHashTable *to)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, from);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_hash_table_insert(to, g_strdup(key), g_bytes_ref(value));
}

static int store_transact(world_t *w, req_t *r)
{
	if (w->now < w->writes_refused[r->client])
		return REFUSED;
	if (r->expected != w->row.version) {
		r->row = w->row;
		return CONFLICT;
	}
	w->version++;
	if (r->has_row) {
		r->row.version = w->version;
		w->row = r->row;
	}
	if (r->kind == CAMPAIGN)
		trace(w, "store: entry-%d leads term %u", r->client,
		      (unsigned)r->row.term);
	if (r->puts)
		copy_rows(r->puts, w->progress);
	if (r->removed_host != NOBODY)
		w->agent_rows[r->removed_host] = 0;
	return OK;
}

static int store_execute(world_t *w, req_t *r)
{
	int host = r->client - ENTRIES;

	switch (r->kind) {
	case CAMPAIGN:
	case COMMIT:
		return store_transact(w, r);
	case AGENTS:
		memcpy(r->agents, w->agent_rows, sizeof(r->agents));
		return OK;
	case JOB_ROWS:
		r->n_jobs = w->jobs->len;
		return OK;
	case PROGRESS:
		r->puts = rows_new();
		copy_rows(w->progress, r->puts);
		return OK;
	case REGISTER:
		if (w->agent_rows[host])
			return CONFLICT;
		w->agent_rows[host] = ++w->version;
		trace(w, "store: row of %s", w->hosts[host].key);
		return OK;
	case DEREGISTER:
		w->agent_rows[host] = 0;
		trace(w, "store: row of %s removed", w->hosts[host].key);
		return OK;
	default:
		r->row = w->row;
		return OK;
	}
}

/* The election, as in daemon/term.c. */

static void stop_leading(entry_t *e, const char *why)
{
	if (!e->is_leader)
		return;
	trace(e->w, "entry-%d loses term %u: %s", e->index,
	      (unsigned)e->row.term, why);
	e->is_leader = false;
	for (int i = 0; i < HOSTS; i++) {
		conn_close(e->w, e->links[i], TO_ENTRY);
		e->links[i] = NULL;
	}
	bh_sched_free(e->sched);
	e->sched = NULL;
	g_clear_pointer(&e->progress, g_hash_table_unref);
}

static void read_row(entry_t *e)
{
	if (e->is_reading)
		return;
	e->is_reading = true;
	e->read_at = entry_now(e);
	req_new(e->w, READ_ROW, e->index);
}

static bool is_leader_gone(const entry_t *e)
{
	return e->is_gone || e->row.owner == NOBODY || e->row.owner == e->index;
}

static void update_row(entry_t *e, const row_t *row)
{
	bool is_changed = !e->is_row_known || row->term != e->row.term ||
			  row->owner != e->row.owner;

	if (!e->is_row_known || row->version != e->row.version)
		e->unchanged_since = entry_now(e);
	if (is_changed && row->version &&
	    !(e->is_row_known && is_leader_gone(e) &&
	      row->term <= e->row.term + 1) &&
	    e->w->disabled != LW_ONE_PREDECESSOR)
		e->earlier_grants_until = bh_grants_over_at(entry_now(e));
	e->is_row_known = true;
	if (!is_changed) {
		e->row.version = row->version;
		return;
	}
	if (row->owner != e->index)
		stop_leading(e, "another process leads");
	else if (e->is_leader && e->row.term != row->term)
		stop_leading(e, "the store holds another term");
	e->row = *row;
	e->is_gone = false;
	e->campaign_at = 0;
}

static const bh_sched_ops_t ops;
static const bh_sched_ops_t quiet_ops;

static void begin_term(entry_t *e, const row_t *row)
{
	bh_usec_t now = entry_now(e);
	bh_sched_bounds_t bounds = {.term = e->campaign_term,
				    .lease_ms = LEASE_MS,
				    .restore_ms = 100,
				    .impact_ms = 4000,
				    .status_ms = 120000};

	e->row = *row;
	e->is_leader = true;
	e->is_confirmed = true;
	e->is_write_unclear = false;
	e->must_write_row = false;
	e->confirmed_at = e->sent_at;
	e->row_written_at = e->sent_at;
	if (!e->is_predecessor_gone)
		e->earlier_grants_until =
			MAX(e->earlier_grants_until,
			    bh_grants_over_at(e->unchanged_since));
	if (!e->is_predecessor_gone || e->w->disabled != LW_ONE_PREDECESSOR)
		bounds.predecessor_grant_ms =
			MAX(e->earlier_grants_until - now + 999, 0) /
			BH_USEC_PER_MS;
	trace(e->w, "entry-%d begins term %u, predecessor_grant_ms %d",
	      e->index, (unsigned)row->term, (int)bounds.predecessor_grant_ms);
	e->sched = bh_sched_new(&bounds, e->w->is_traced ? &ops : &quiet_ops, e,
				now, unix_ms(e->w));
	bh_sched_set_config(e->sched, e->w->config);
	e->started_at = now;
	e->loading = 3;
	memset(e->is_following, 0, sizeof(e->is_following));
	memset(e->follow_at, 0, sizeof(e->follow_at));
	memset(e->agents_seen, 0, sizeof(e->agents_seen));
	memset(e->is_known, 0, sizeof(e->is_known));
	memset(e->dial_at, 0, sizeof(e->dial_at));
	e->jobs_seen = 0;
	e->jobs_read_at = 0;
	e->progress = NULL;
}

static void on_campaign(entry_t *e, const req_t *r, int status)
{
	e->is_writing = false;
	if (status == OK && e->row.term <= e->campaign_term) {
		begin_term(e, &r->row);
		return;
	}
	if (status == CONFLICT)
		update_row(e, &r->row);
	e->campaign_at = 0;
	e->read_at = 0;
}

static void on_commit(entry_t *e, const req_t *r, int status)
{
	bool is_own = e->is_leader && r->sched == e->sched;

	e->is_writing = false;
	if (!is_own)
		return;
	if (r->has_progress)
		bh_sched_end_commit(e->sched, status == OK);
	if (status == OK) {
		e->confirmed_at = e->sent_at;
		e->is_confirmed = true;
		if (r->has_row) {
			e->row.version = r->row.version;
			e->row_written_at = e->sent_at;
			e->must_write_row = false;
		}
	} else if (status == CONFLICT && r->row.term == e->row.term &&
		   r->row.owner == e->index) {
		e->row.version = r->row.version;
	} else if (status == CONFLICT) {
		update_row(e, &r->row);
	} else if (status == UNKNOWN) {
		e->is_write_unclear = true;
		e->must_write_row = true;
	}
}

static void on_read(entry_t *e, const req_t *r, int status)
{
	e->is_reading = false;
	if (status != OK)
		return;
	e->is_write_unclear = false;
	if (e->is_leader && r->row.term == e->row.term &&
	    r->row.owner == e->index)
		e->row.version = r->row.version;
	else
		update_row(e, &r->row);
}

static void observe(entry_t *e, uint64_t term)
{
	e->seen_term = MAX(e->seen_term, term);
	if (term <= e->row.term)
		return;
	e->is_confirmed = false;
	if (entry_now(e) - e->read_at > READ_US)
		read_row(e);
}

static bool may_campaign(const entry_t *e, bh_usec_t now)
{
	if (!e->is_row_known || e->is_writing)
		return false;
	if (e->row.owner == NOBODY || e->row.owner == e->index || e->is_gone)
		return true;
	return now - e->unchanged_since > LEADER_TIMEOUT;
}

static void tick_follower(entry_t *e, bh_usec_t now)
{
	req_t *r;

	if (now - e->read_at > READ_US)
		read_row(e);
	if (!may_campaign(e, now)) {
		e->campaign_at = 0;
		return;
	}
	if (!e->campaign_at)
		e->campaign_at = now + MS_US(pick(e->w, 0, 300));
	if (now < e->campaign_at)
		return;
	e->campaign_term = MAX(e->row.term, e->seen_term) + 1;
	e->is_predecessor_gone = is_leader_gone(e);
	r = req_new(e->w, CAMPAIGN, e->index);
	r->expected = e->row.version;
	r->has_row = true;
	r->row = (row_t){.term = e->campaign_term, .owner = e->index};
	e->is_writing = true;
	e->sent_at = now;
}

static req_t *commit_new(entry_t *e)
{
	bh_usec_t now = entry_now(e);
	req_t *r = req_new(e->w, COMMIT, e->index);

	r->expected = e->row.version;
	r->sched = e->sched;
	r->has_row =
		e->must_write_row || now - e->row_written_at >= RENEW_US / 2;
	r->row = (row_t){.term = e->row.term, .owner = e->index};
	e->is_writing = true;
	e->sent_at = now;
	return r;
}

static void tick_leader(entry_t *e, bh_usec_t now)
{
	if (e->is_write_unclear) {
		if (now - e->read_at > READ_US)
			read_row(e);
	} else if (!e->is_writing && now - e->row_written_at >= RENEW_US) {
		commit_new(e);
	}
}

/* The leader, as in daemon/sched_leader.c. */

static int host_index(const char *key)
{
	return (int)g_ascii_strtoll(key + 1, NULL, 10);
}

static void send_order(entry_t *e, const char *host, int kind, uint64_t boot,
		       const char *task, uint32_t attempt, uint64_t expires_ms)
{
	frame_t *f = frame_new(e->w, kind, e->row.term);

	f->boot = boot;
	f->attempt = attempt;
	f->expires_ms = expires_ms;
	g_strlcpy(f->task, task, sizeof(f->task));
	conn_send(e->links[host_index(host)], TO_AGENT, f);
}

static void op_start(void *ctx, const char *host, const bh_start_t *start)
{
	send_order(ctx, host, START, start->boot, start->task, start->attempt,
		   start->expires_ms);
}

static void op_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	send_order(ctx, host, STOP, boot, task, attempt, 0);
}

static void op_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	entry_t *e = ctx;
	frame_t *f = frame_new(e->w, GRANT, e->row.term);

	f->boot = boot;
	f->expires_ms = expires_ms;
	f->ack = ack;
	conn_send(e->links[host_index(host)], TO_AGENT, f);
}

static void op_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	const entry_t *e = ctx;

	trace(e->w, "entry-%d term %u: %s %s %s", e->index,
	      (unsigned)e->row.term, what, job ? job : "", detail);
}

static const bh_sched_ops_t quiet_ops = {
	.start = op_start, .stop = op_stop, .grant = op_grant};

static const bh_sched_ops_t ops = {.start = op_start,
				   .stop = op_stop,
				   .grant = op_grant,
				   .event = op_event};

/* No entry hears from the others: none tells that it reaches the store. */
static bool may_grant(const entry_t *e)
{
	bh_usec_t now = entry_now(e);
	bh_grant_view_t view = {
		.is_confirmed = e->is_confirmed,
		.renewed_ago_ms = (now - e->row_written_at) / 1000,
		.others_reached_ago_ms = (now - e->started_at) / 1000,
	};

	return bh_grant_is_allowed(&view);
}

static void close_link(entry_t *e, int i)
{
	if (!e->links[i])
		return;
	conn_close(e->w, e->links[i], TO_ENTRY);
	e->links[i] = NULL;
	bh_sched_host_linked(e->sched, e->w->hosts[i].key, false, entry_now(e));
}

static void dial(entry_t *e, int i, bh_usec_t now)
{
	world_t *w = e->w;
	conn_t *c;

	e->dial_at[i] = now + MS_US(pick(w, 100, 1000));
	if (!w->hosts[i].has_agent || is_cut(w, e->index, i))
		return;
	c = g_new0(conn_t, 1);
	c->entry = e->index;
	c->host = i;
	c->is_open[TO_ENTRY] = true;
	c->is_open[TO_AGENT] = true;
	g_ptr_array_add(w->conns, c);
	e->links[i] = c;
	e->heard_at[i] = now;
	conn_send(c, TO_AGENT, frame_new(w, HELLO, e->row.term));
	bh_sched_host_linked(e->sched, w->hosts[i].key, true, now);
}

static void leader_frame(entry_t *e, int i, const frame_t *f)
{
	const char *key = e->w->hosts[i].key;
	bh_usec_t now = entry_now(e);

	if (f->kind == PING || f->kind == REPORT) {
		if (f->term > e->row.term)
			observe(e, f->term);
	}
	if (f->kind == REPORT && f->term == e->row.term) {
		bh_sched_note_jobs_read(e->sched, e->jobs_read_at);
		bh_sched_report(e->sched, key, &f->report.info,
				f->report.has_lists ? &f->report.lists : NULL,
				may_grant(e), now);
	} else if (f->kind == RESULT) {
		if (f->outcome == BH_ORDER_FENCED)
			observe(e, e->row.term + 1);
		if (f->order == START)
			bh_sched_start_result(e->sched, key, f->task,
					      f->attempt, f->outcome, now);
		else
			bh_sched_stop_result(e->sched, key, f->task, f->attempt,
					     f->outcome, now);
	}
}

static void receive_from_agents(entry_t *e)
{
	for (int i = 0; e->is_leader && i < HOSTS; i++) {
		frame_t *f;

		while (e->links[i] &&
		       (f = conn_receive(e->w, e->links[i], TO_ENTRY))) {
			e->heard_at[i] = entry_now(e);
			if (f->kind == CLOSED)
				close_link(e, i);
			else
				leader_frame(e, i, f);
			frame_free(f);
		}
	}
}

static void follow(entry_t *e, int kind, bh_usec_t now)
{
	int table = kind - AGENTS;

	if (e->is_following[table] || now < e->follow_at[table])
		return;
	e->is_following[table] = true;
	req_new(e->w, kind, e->index)->sched = e->sched;
}

static bh_progress_t *stored_progress(GHashTable *rows, const char *id)
{
	g_autofree char *key = g_strdup_printf("%s/0", id);
	GBytes *bytes = g_hash_table_lookup(rows, key);

	return bytes ? bh_progress_unpack(g_bytes_get_data(bytes, NULL),
					  g_bytes_get_size(bytes))
		     : NULL;
}

static void add_jobs(entry_t *e, guint upto)
{
	for (; e->jobs_seen < upto; e->jobs_seen++) {
		GBytes *bytes = e->w->jobs->pdata[e->jobs_seen];
		bh_job_t *job = bh_job_unpack(g_bytes_get_data(bytes, NULL),
					      g_bytes_get_size(bytes));
		bh_progress_t *p =
			e->progress ? stored_progress(e->progress, job->id)
				    : NULL;

		bh_sched_add_job(e->sched, job, p, entry_now(e));
		bh_progress_free(p);
	}
}

static void on_table(entry_t *e, req_t *r, int status)
{
	int table = r->kind - AGENTS;
	bool is_first = e->follow_at[table] == 0;

	if (!e->is_leader || r->sched != e->sched)
		return;
	e->is_following[table] = false;
	if (status != OK)
		return;
	e->follow_at[table] =
		r->kind == PROGRESS ? BH_NEVER : entry_now(e) + MS_US(50);
	for (int i = 0; r->kind == AGENTS && i < HOSTS; i++) {
		if (r->agents[i] <= e->agents_seen[i])
			continue;
		e->agents_seen[i] = r->agents[i];
		if (!e->is_known[i])
			bh_sched_add_host(e->sched, e->w->hosts[i].key,
					  e->loading > 0, entry_now(e));
		e->is_known[i] = true;
	}
	if (r->kind == PROGRESS)
		e->progress = g_steal_pointer(&r->puts);
	if (r->kind == JOB_ROWS) {
		e->jobs_read_at =
			e->offset + (bh_usec_t)((double)r->sent_at * e->rate);
		if (!is_first && e->loading == 0)
			add_jobs(e, r->n_jobs);
	}
	if (is_first && --e->loading == 0) {
		add_jobs(e, e->w->jobs->len);
		g_clear_pointer(&e->progress, g_hash_table_unref);
		trace(e->w, "entry-%d term %u: loaded", e->index,
		      (unsigned)e->row.term);
	}
}

static void commit(entry_t *e, bh_usec_t now)
{
	const char *id;
	uint32_t segment;
	req_t *r;

	if (e->is_writing || e->is_write_unclear)
		return;
	if (!bh_sched_has_uncommitted(e->sched) &&
	    !(bh_sched_awaits_confirmation(e->sched) &&
	      now - e->commit_sent_at >= CONFIRM_US))
		return;
	e->commit_sent_at = now;
	r = commit_new(e);
	r->has_progress = true;
	r->puts = rows_new();
	while (bh_sched_commit_next(e->sched, &id, &segment)) {
		bh_progress_t *p = bh_sched_progress(e->sched, id, segment);

		g_hash_table_insert(r->puts,
				    g_strdup_printf("%s/%u", id, segment),
				    bh_progress_pack(p));
		bh_progress_free(p);
	}
}

static void remove_agent(entry_t *e, bh_usec_t now)
{
	const char *key;
	int i;

	if (now - e->removed_at < MS_US(1000))
		return;
	e->removed_at = now;
	key = bh_sched_removable_host(e->sched, now);
	if (!key || e->is_writing || e->is_write_unclear)
		return;
	i = host_index(key);
	trace(e->w, "entry-%d removes %s", e->index, key);
	commit_new(e)->removed_host = i;
	conn_close(e->w, e->links[i], TO_ENTRY);
	e->links[i] = NULL;
	e->is_known[i] = false;
	bh_sched_drop_host(e->sched, key);
}

static void step_leader(entry_t *e, bh_usec_t now)
{
	bool must_ping = now - e->pinged_at >= PING_US;

	follow(e, AGENTS, now);
	follow(e, JOB_ROWS, now);
	follow(e, PROGRESS, now);
	if (e->loading)
		return;
	if (must_ping)
		e->pinged_at = now;
	for (int i = 0; i < HOSTS; i++) {
		if (e->links[i] && now - e->heard_at[i] > LEADER_LINK_US)
			close_link(e, i);
		if (e->is_known[i] && !e->links[i] && now >= e->dial_at[i])
			dial(e, i, now);
		if (e->links[i] && must_ping)
			conn_send(e->links[i], TO_AGENT,
				  frame_new(e->w, PING, e->row.term));
	}
	remove_agent(e, now);
	bh_sched_note_leading(e->sched, e->w->disabled == LW_EARLY_CONFIRMATION
						? now
						: e->confirmed_at);
	bh_sched_note_jobs_read(e->sched, e->jobs_read_at);
	if (e->is_confirmed)
		bh_sched_run(e->sched, now, unix_ms(e->w));
	commit(e, now);
}

static void step_entry(entry_t *e)
{
	bh_usec_t now = entry_now(e);

	if (e->w->now < e->paused_until)
		return;
	receive_from_agents(e);
	if (now - e->ticked_at > PAUSE_US) {
		e->is_confirmed = false;
		e->row_written_at = 0;
	}
	e->ticked_at = now;
	if (e->is_leader)
		tick_leader(e, now);
	else
		tick_follower(e, now);
	if (e->is_leader)
		step_leader(e, now);
}

static void restart_entry(world_t *w, entry_t *e)
{
	entry_t next = {.w = w,
			.index = e->index,
			.rate = e->rate,
			.offset = e->offset,
			.incarnation = e->incarnation + 1};

	trace(w, "entry-%d restarts", e->index);
	stop_leading(e, "it restarts");
	for (int i = 0; i < ENTRIES; i++) {
		if (w->entries[i].row.owner == e->index)
			w->entries[i].is_gone = true;
	}
	*e = next;
	e->ticked_at = entry_now(e);
	e->paused_until = w->now + MS_US(300);
}

/* The agent, as in daemon/sched_agent.c. */

/* Takes over what @lists holds. */
static void send_report(world_t *w, host_t *h, const bh_worker_lists_t *lists)
{
	frame_t *f = frame_new(w, REPORT, h->term);
	bh_worker_info_t *info = &f->report.info;
	bh_usec_t left = h->lease_until - agent_now(w, h);

	*info = (bh_worker_info_t){.boot = h->agent_boot,
				   .service = g_strdup("s"),
				   .zone = g_strdup("z"),
				   .state = h->info_state,
				   .cpu_milli = 2000,
				   .memory_mb = 1000,
				   .leaves_ms = 500};
	if (*h->info_id &&
	    !(h->info_boot && h->agent_boot && h->info_boot != h->agent_boot))
		info->id = g_strdup(h->info_id);
	if (h->is_down)
		info->state = BH_WORKER_DOWN;
	else if ((!h->is_registered || !h->knows_term) &&
		 info->state == BH_WORKER_READY)
		info->state = BH_WORKER_SILENT;
	info->is_idle = h->is_idle;
	info->is_term_unknown = !h->knows_term;
	info->lease_expires_ms = h->expires_ms;
	if (!lists && h->lease_until)
		info->lease_left_ms = (uint32_t)MAX(left / 1000, 1);
	else if (!lists && h->is_idle)
		info->lease_left_ms = 1;
	f->report.has_lists = lists != NULL;
	if (lists)
		f->report.lists = *lists;
	conn_send(h->leader, TO_ENTRY, f);
}

static uint32_t percent_of(const world_t *w, const run_t *run)
{
	return (uint32_t)((w->now - run->started_at) * 100 /
			  (run->ends_at - run->started_at));
}

static void fill_lists(const world_t *w, const host_t *h,
		       bh_worker_lists_t *lists)
{
	lists->boot = h->boot;
	lists->clock_ms = worker_clock(w, h);
	lists->active = g_new0(bh_active_t, h->runs->len + 1);
	lists->ended = g_new0(bh_ended_t, h->ended->len + 1);
	for (guint i = 0; i < h->runs->len; i++) {
		const run_t *run = h->runs->pdata[i];

		lists->active[lists->n_active++] =
			(bh_active_t){.task = g_strdup(run->task),
				      .attempt = run->attempt,
				      .percent = percent_of(w, run)};
	}
	for (guint i = 0; i < h->ended->len; i++) {
		bh_ended_t end = g_array_index(h->ended, bh_ended_t, i);

		end.task = g_strdup(end.task);
		lists->ended[lists->n_ended++] = end;
	}
}

static void update_lease_until(host_t *h)
{
	if (h->expires_ms > h->clock_ms)
		h->lease_until =
			h->clock_at +
			bh_lease_bound(MS_US(h->expires_ms - h->clock_ms));
}

static void poll_worker(world_t *w, host_t *h)
{
	bh_worker_lists_t lists = {0};

	if (!h->leader || h->agent_leaves_at)
		return;
	h->poll_at = w->now + POLL_US;
	if (!h->is_up) {
		if (++h->refused_polls >= POLLS_UNTIL_DOWN && !h->is_down) {
			h->is_down = true;
			send_report(w, h, NULL);
		}
		return;
	}
	h->refused_polls = 0;
	if (h->term < h->worker_term) {
		send_report(w, h, NULL);
		return;
	}
	h->worker_term = h->term;
	h->is_down = false;
	/* A poll of the process before would break off. */
	if (h->boot != h->agent_boot) {
		h->agent_boot = h->boot;
		h->ack = 0;
		h->expires_ms = 0;
		h->lease_until = 0;
		h->listed_end = 0;
	}
	h->worker_expires = MAX(h->worker_expires, h->expires_ms);
	if (h->listed_end && h->listed_end <= h->ack && *h->info_id)
		forget_ends(w, h, h->ack, true);
	fill_lists(w, h, &lists);
	h->listed_end = lists.n_ended ? lists.ended[0].number : 0;
	h->clock_ms = lists.clock_ms;
	h->clock_at = agent_now(w, h);
	if (lists.n_ended)
		h->poll_at = w->now + POLL_ENDS_US;
	send_report(w, h, &lists);
}

static void send_result(host_t *h, const world_t *w, const frame_t *order,
			bh_order_outcome_t outcome)
{
	frame_t *f;

	if (!h->leader || order->term != h->term)
		return;
	f = frame_new(w, RESULT, h->term);
	memcpy(f->task, order->task, sizeof(f->task));
	f->attempt = order->attempt;
	f->order = order->kind;
	f->outcome = outcome;
	conn_send(h->leader, TO_ENTRY, f);
}

static void on_order(world_t *w, int i, const frame_t *f)
{
	host_t *h = &w->hosts[i];
	order_t *o;
	frame_t order = *f;

	order.term = h->term;
	order.at = w->now + STEP_US;
	if (f->kind == START &&
	    (!*h->info_id || h->info_state != BH_WORKER_READY ||
	     h->info_boot != h->agent_boot || f->boot != h->agent_boot ||
	     h->is_down || h->agent_leaves_at || !h->is_registered ||
	     !h->knows_term)) {
		send_result(h, w, &order, BH_ORDER_REFUSED);
		return;
	}
	if (f->kind == START) {
		h->starts++;
		h->is_idle = false;
	}
	o = g_new0(order_t, 1);
	o->host = i;
	o->incarnation = h->incarnation;
	o->f = order;
	g_ptr_array_add(w->orders, o);
}

static void on_hello(world_t *w, host_t *h, conn_t *c, uint64_t term)
{
	if (term < h->term && w->disabled != LW_NO_FENCING) {
		conn_send(c, TO_ENTRY, frame_new(w, PING, h->term));
		return;
	}
	if (h->leader && h->leader != c)
		conn_close(w, h->leader, TO_AGENT);
	h->leader = c;
	h->heard_at = agent_now(w, h);
	if (term != h->term) {
		h->term = term;
		h->ack = 0;
	}
	if (w->disabled == LW_NO_FENCING)
		h->worker_term = MIN(h->worker_term, term);
	trace(w, "%s: follows entry-%d, term %u", h->key, c->entry,
	      (unsigned)term);
	if (h->is_idle || h->is_down)
		send_report(w, h, NULL);
	poll_worker(w, h);
}

static void agent_frame(world_t *w, int i, conn_t *c, const frame_t *f)
{
	host_t *h = &w->hosts[i];

	if (f->kind == HELLO) {
		on_hello(w, h, c, f->term);
		return;
	}
	if (f->kind == CLOSED) {
		conn_close(w, c, TO_AGENT);
		if (h->leader == c)
			h->leader = NULL;
		return;
	}
	if (c != h->leader)
		return;
	h->heard_at = agent_now(w, h);
	if (f->kind == START || f->kind == STOP)
		on_order(w, i, f);
	if (f->kind != GRANT || f->boot != h->agent_boot)
		return;
	h->expires_ms = MAX(h->expires_ms, f->expires_ms);
	update_lease_until(h);
	if (f->ack > h->ack) {
		h->ack = f->ack;
		poll_worker(w, h);
	}
}

static void receive_from_leaders(world_t *w, int i)
{
	for (guint n = 0; n < w->conns->len; n++) {
		conn_t *c = w->conns->pdata[n];
		frame_t *f;

		while (c->host == i && c->is_open[TO_AGENT] &&
		       (f = conn_receive(w, c, TO_AGENT))) {
			if (c == w->hosts[i].leader)
				w->hosts[i].heard_at =
					agent_now(w, &w->hosts[i]);
			agent_frame(w, i, c, f);
			frame_free(f);
		}
	}
}

static void agent_down(world_t *w, int i)
{
	host_t *h = &w->hosts[i];

	h->has_agent = false;
	h->leader = NULL;
	for (guint n = 0; n < w->conns->len; n++) {
		conn_t *c = w->conns->pdata[n];

		if (c->host == i)
			conn_close(w, c, TO_AGENT);
	}
	trace(w, "%s: agent ends", h->key);
}

static void agent_up(world_t *w, int i)
{
	host_t *h = &w->hosts[i];

	trace(w, "%s: agent starts", h->key);
	h->has_agent = true;
	h->incarnation++;
	h->agent_up_at = 0;
	h->agent_leaves_at = 0;
	h->term = 0;
	*h->info_id = '\0';
	h->info_boot = 0;
	h->info_state = BH_WORKER_SILENT;
	h->agent_boot = 0;
	h->expires_ms = 0;
	h->lease_until = 0;
	h->ack = 0;
	h->listed_end = 0;
	h->refused_polls = 0;
	h->is_down = false;
	h->is_registering = true;
	h->is_registered = false;
	h->is_idle = false;
	h->knows_term = w->disabled == LW_NO_TERM_READ;
	h->is_reading_term = false;
	h->registered_at = 0;
	h->starts = 0;
	h->announced_at = 0;
	h->paused_until = 0;
	req_new(w, REGISTER, ENTRIES + i);
}

static void read_term(world_t *w, int i)
{
	w->hosts[i].is_reading_term = true;
	w->hosts[i].term_read_at = agent_now(w, &w->hosts[i]);
	req_new(w, READ_TERM, ENTRIES + i);
}

static void on_term_read(world_t *w, host_t *h, const req_t *r, int status)
{
	h->is_reading_term = false;
	if (status != OK)
		return;
	h->knows_term = true;
	if (r->row.term <= h->term)
		return;
	trace(w, "%s: learns of term %u", h->key, (unsigned)r->row.term);
	h->term = r->row.term;
	h->ack = 0;
	conn_close(w, h->leader, TO_AGENT);
	h->leader = NULL;
}

static void on_registered(world_t *w, int i, int status)
{
	host_t *h = &w->hosts[i];
	bh_usec_t now = agent_now(w, h);

	h->is_registering = false;
	if (status == UNKNOWN) {
		h->registered_at = now - REGISTER_US + REGISTER_RETRY;
		return;
	}
	if (status == OK && h->starts == 0)
		h->is_idle = true;
	if (status == OK && w->disabled != LW_NO_TERM_READ)
		h->knows_term = false;
	h->registered_at = now;
	h->is_registered = true;
	if (!h->knows_term && !h->is_reading_term)
		read_term(w, i);
}

static void step_agent(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	bh_usec_t now = agent_now(w, h);
	bh_usec_t since = h->registered_at;

	if (!h->has_agent) {
		if (h->agent_up_at && w->now >= h->agent_up_at)
			agent_up(w, i);
		return;
	}
	if (w->now < h->paused_until)
		return;
	if (h->agent_leaves_at && w->now >= h->agent_leaves_at) {
		if (!h->is_up && h->removes_row)
			req_new(w, DEREGISTER, ENTRIES + i);
		agent_down(w, i);
		return;
	}
	receive_from_leaders(w, i);
	if (h->leader && now - h->heard_at > AGENT_LINK_US) {
		conn_close(w, h->leader, TO_AGENT);
		h->leader = NULL;
	}
	if (h->leader && now - h->pinged_at > PING_US) {
		h->pinged_at = now;
		conn_send(h->leader, TO_ENTRY, frame_new(w, PING, h->term));
	}
	if (h->leader && w->now >= h->poll_at)
		poll_worker(w, h);
	if (h->is_registered)
		since = MAX(since, h->heard_at);
	if (!h->is_registering && !h->agent_leaves_at &&
	    (since == 0 || now - since > REGISTER_US)) {
		h->is_registering = true;
		req_new(w, REGISTER, ENTRIES + i);
	}
	if (h->is_registered && !h->knows_term && !h->is_reading_term &&
	    now - h->term_read_at > REGISTER_RETRY)
		read_term(w, i);
}

static void deliver_orders(world_t *w)
{
	for (guint i = 0; i < w->orders->len;) {
		order_t *o = w->orders->pdata[i];
		host_t *h = &w->hosts[o->host];

		if (!o->is_done && w->now >= o->f.at) {
			o->f.outcome = worker_order(w, h, &o->f);
			o->is_done = true;
		}
		if (!o->is_done || (h->has_agent && w->now < h->paused_until)) {
			i++;
			continue;
		}
		if (h->has_agent && o->incarnation == h->incarnation)
			send_result(h, w, &o->f, o->f.outcome);
		g_ptr_array_remove_index(w->orders, i);
	}
}

/* The store's answers. */

static void answer(world_t *w, req_t *r, int status)
{
	entry_t *e = &w->entries[r->client % ENTRIES];

	r->is_answered = true;
	if (r->kind == READ_ROW)
		on_read(e, r, status);
	else if (r->kind == CAMPAIGN)
		on_campaign(e, r, status);
	else if (r->kind == COMMIT)
		on_commit(e, r, status);
	else if (r->kind == REGISTER)
		on_registered(w, r->client - ENTRIES, status);
	else if (r->kind == READ_TERM)
		on_term_read(w, &w->hosts[r->client - ENTRIES], r, status);
	else if (r->client < ENTRIES)
		on_table(e, r, status);
}

static bool is_client_there(const world_t *w, const req_t *r)
{
	const host_t *h = &w->hosts[MAX(r->client - ENTRIES, 0)];

	return r->client < ENTRIES
		       ? w->entries[r->client].incarnation == r->incarnation
		       : h->has_agent && h->incarnation == r->incarnation;
}

static void step_req(world_t *w, req_t *r)
{
	bool is_entry = r->client < ENTRIES;
	bool is_apart = is_entry ? w->now < w->entry_cut[r->client]
				 : w->now < w->host_cut[r->client - ENTRIES];
	bh_usec_t paused_until =
		is_entry ? w->entries[r->client].paused_until
			 : w->hosts[r->client - ENTRIES].paused_until;
	bool is_late = w->now - r->sent_at >= STORE_TIMEOUT;

	if (!r->is_done && w->now >= r->at && is_apart && !r->is_kept)
		r->is_done = r->is_lost = true;
	if (!r->is_done && w->now >= r->at && !is_apart) {
		r->status = store_execute(w, r);
		r->is_done = true;
		r->at = w->now + MS_US(pick(w, 5, 40));
		r->is_lost = w->now < w->answers_lost && pick(w, 0, 3);
		/* Half of the answers are lost with their connection. */
		if (r->is_lost && pick(w, 0, 2))
			r->sent_at = w->now - STORE_TIMEOUT;
	}
	if (!is_client_there(w, r))
		r->is_answered = true;
	if (r->is_answered || w->now < paused_until)
		return;
	if (r->is_done && !r->is_lost && w->now >= r->at && !is_apart)
		answer(w, r, r->status);
	else if (is_late)
		answer(w, r, UNKNOWN);
}

static void step_store(world_t *w)
{
	for (guint i = 0; i < w->reqs->len;) {
		req_t *r = w->reqs->pdata[i];

		step_req(w, r);
		if (r->is_done && r->is_answered)
			g_ptr_array_remove_index(w->reqs, i);
		else
			i++;
	}
}

/* Faults. */

enum {
	CUT,
	ENTRY_CUT,
	HOST_CUT,
	WRITES_REFUSED,
	ANSWERS_LOST,
	ISLAND,
	PAUSE_ENTRY,
	PAUSE_AGENT,
	RESTART_AGENT,
	RESTART_WORKER,
	RESTART_BOTH,
	DRAIN,
	APPEAR,
	RESTART_ENTRY,
	FAULTS,
};

static const char *const fault_names[FAULTS] = {
	"cut",		 "entry-cut",	   "host-cut",	   "writes-refused",
	"answers-lost",	 "island",	   "pause-entry",  "pause-agent",
	"restart-agent", "restart-worker", "restart-both", "drain",
	"appear",	 "restart-entry"};

static void prolong(bh_usec_t *until, bh_usec_t to)
{
	*until = MAX(*until, to);
}

/* Cuts an entry and the hosts in @mask off from the others. */
static void cut_island(world_t *w, int entry, int mask, bh_usec_t until)
{
	for (int h = 0; h < HOSTS; h++) {
		for (int e = 0; e < ENTRIES; e++) {
			if ((e == entry) != ((mask >> h) & 1))
				prolong(&w->cut[e][h], until);
		}
	}
}

static void restart_agent(world_t *w, int i)
{
	if (!w->hosts[i].has_agent)
		return;
	agent_down(w, i);
	w->hosts[i].agent_up_at = w->now + MS_US(pick(w, 60, 600));
}

static void restart_worker(world_t *w, int i)
{
	if (!w->hosts[i].is_up)
		return;
	worker_down(w, &w->hosts[i]);
	w->hosts[i].up_at = w->now + MS_US(pick(w, 60, 600));
}

static void host_up(world_t *w, int i)
{
	if (!w->hosts[i].has_agent && !w->hosts[i].agent_up_at)
		agent_up(w, i);
	if (!w->hosts[i].is_up && !w->hosts[i].up_at)
		w->hosts[i].up_at = w->now + MS_US(pick(w, 0, 300));
}

/* The worker is replaced in place, or its host goes and another one comes. */
static void drain(world_t *w, int i)
{
	host_t *h = &w->hosts[i];
	int other = pick(w, 0, HOSTS);

	if (!h->is_up || h->is_draining)
		return;
	h->is_draining = true;
	h->announced_at = 0;
	h->leaves_at = w->now + MS_US(pick(w, 500, 2500));
	if (pick(w, 0, 2)) {
		h->up_at = h->leaves_at + MS_US(pick(w, 60, 1500));
		return;
	}
	h->agent_leaves_at = h->leaves_at + MS_US(1000);
	h->removes_row = pick(w, 0, 2);
	if (other != i)
		host_up(w, other);
}

static void apply_fault(world_t *w, const fault_t *f)
{
	bh_usec_t until = w->now + f->length;
	int e = f->entry;
	int h = f->host % HOSTS;

	trace(w, "fault %s entry-%d host %d for %.2f s", fault_names[f->kind],
	      e, f->host, (double)f->length / 1e6);
	switch (f->kind) {
	case CUT:
		prolong(&w->cut[e][h], until);
		break;
	case ENTRY_CUT:
		prolong(&w->entry_cut[e], until);
		break;
	case HOST_CUT:
		prolong(&w->host_cut[h], until);
		break;
	case WRITES_REFUSED:
		prolong(&w->writes_refused[e], until);
		break;
	case ANSWERS_LOST:
		prolong(&w->answers_lost, until);
		break;
	case ISLAND:
		cut_island(w, e, f->host, until);
		break;
	case PAUSE_ENTRY:
		prolong(&w->entries[e].paused_until, until);
		break;
	case PAUSE_AGENT:
		prolong(&w->hosts[h].paused_until, until);
		break;
	case RESTART_AGENT:
		restart_agent(w, h);
		break;
	case RESTART_WORKER:
		restart_worker(w, h);
		break;
	case RESTART_BOTH:
		restart_worker(w, h);
		restart_agent(w, h);
		break;
	case DRAIN:
		drain(w, h);
		break;
	case APPEAR:
		host_up(w, h);
		break;
	default:
		restart_entry(w, &w->entries[e]);
	}
}

static void plan(world_t *w, bh_usec_t in, int kind, int entry, int host,
		 bh_usec_t length)
{
	fault_t f = {.at = w->now + in,
		     .kind = kind,
		     .entry = entry,
		     .host = host,
		     .length = length};

	g_array_append_val(w->faults, f);
}

/* The entry that began the latest term that any still holds that it leads. */
static int newest_leader(world_t *w)
{
	int leader = pick(w, 0, ENTRIES);

	for (int i = 0; i < ENTRIES; i++) {
		const entry_t *e = &w->entries[i];

		if (e->is_leader && (!w->entries[leader].is_leader ||
				     e->row.term > w->entries[leader].row.term))
			leader = i;
	}
	return leader;
}

static int absent_host(world_t *w)
{
	for (int i = 0; i < HOSTS; i++) {
		if (!w->hosts[i].has_agent && !w->hosts[i].is_up)
			return i;
	}
	return pick(w, 0, HOSTS);
}

static void plan_island(world_t *w)
{
	int leader = newest_leader(w);
	int mask = pick(w, 1, 1 << HOSTS);
	int host = pick(w, 0, HOSTS);
	int way = w->mode == LW_ANY ? pick(w, 0, LW_MODES) : (int)w->mode;
	bh_usec_t length = MS_US(pick(w, 3000, 12000));
	bh_usec_t in = 0;

	if (way == LW_NEW_HOST) {
		host = absent_host(w);
		plan(w, MS_US(pick(w, 1000, 4000)), APPEAR, 0, host, 0);
	} else if (way == LW_RESTART) {
		/* A host that has followed the successor would tell the
		 * leader of it. */
		in = MS_US(pick(w, 1500, 3500));
		if (pick(w, 0, 2)) {
			mask = 0;
			plan(w, 0, ISLAND, leader, 0, in);
		}
		plan(w, in + MS_US(pick(w, 0, 400)), RESTART_BOTH, 0, host, 0);
	} else if (way == LW_ANSWER && pick(w, 0, 2)) {
		plan(w, MS_US(pick(w, 500, 2000)), ANSWERS_LOST, 0, 0,
		     MS_US(pick(w, 500, 3000)));
	} else if (way == LW_ANSWER) {
		plan(w, MS_US(pick(w, 1300, 3500)), RESTART_ENTRY,
		     pick(w, 0, ENTRIES), 0, 0);
	}
	plan(w, 0, pick(w, 0, 2) ? WRITES_REFUSED : ENTRY_CUT, leader, 0,
	     length);
	plan(w, in, ISLAND, leader, mask | (1 << host), length - in);
}

static void step_faults(world_t *w)
{
	if (w->now >= w->next_fault_at && w->now < FAULTS_UNTIL) {
		bool is_island = w->mode != LW_ANY || pick(w, 0, 4) == 0;

		w->next_fault_at =
			w->now + (w->mode == LW_ANY
					  ? MS_US(pick(w, 100, 2500))
					  : MS_US(pick(w, 8000, 16000)));
		if (is_island)
			plan_island(w);
		else
			plan(w, 0, pick(w, 0, FAULTS - 1), pick(w, 0, ENTRIES),
			     pick(w, 0, 1 << HOSTS), MS_US(pick(w, 300, 9000)));
	}
	for (guint i = 0; i < w->faults->len;) {
		fault_t f = g_array_index(w->faults, fault_t, i);

		if (w->now < f.at) {
			i++;
			continue;
		}
		g_array_remove_index(w->faults, i);
		apply_fault(w, &f);
	}
}

/* Partitions end, all processes run, and some host is ready. */
static void end_faults(world_t *w)
{
	trace(w, "faults end");
	g_array_set_size(w->faults, 0);
	memset(w->cut, 0, sizeof(w->cut));
	memset(w->entry_cut, 0, sizeof(w->entry_cut));
	memset(w->host_cut, 0, sizeof(w->host_cut));
	memset(w->writes_refused, 0, sizeof(w->writes_refused));
	w->answers_lost = 0;
	for (int i = 0; i < ENTRIES; i++)
		w->entries[i].paused_until = 0;
	for (int i = 0; i < HOSTS; i++) {
		w->hosts[i].paused_until = 0;
		host_up(w, i);
	}
}

static void submit(world_t *w)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%016x", w->jobs->len + 1);
	job->queue = g_strdup("q");
	job->spec = g_strdup("spec");
	job->accepted_ms = unix_ms(w);
	job->terms.service = g_strdup("s");
	job->terms.slack_percent = 200;
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0].count = (uint32_t)pick(w, 1, 4);
	job->steps[0].cpu_milli = 500;
	job->steps[0].memory_mb = 100;
	job->steps[0].estimate_ms = (uint32_t)pick(w, 300, 9000);
	trace(w, "job %s: %u tasks of %u ms", job->id, job->steps[0].count,
	      job->steps[0].estimate_ms);
	g_ptr_array_add(w->jobs, bh_job_pack(job));
	bh_job_free(job);
}

static bool is_conn_over(const conn_t *c)
{
	return !c->is_open[0] && !c->is_open[1];
}

static void step(world_t *w)
{
	w->now += STEP_US;
	if (w->jobs->len < JOBS && w->now >= w->job_at[w->jobs->len])
		submit(w);
	step_faults(w);
	step_store(w);
	for (int i = 0; i < HOSTS; i++) {
		step_worker(w, &w->hosts[i]);
		step_agent(w, i);
	}
	deliver_orders(w);
	for (int i = 0; i < ENTRIES; i++)
		step_entry(&w->entries[i]);
	for (guint i = 0; i < w->conns->len;) {
		if (is_conn_over(w->conns->pdata[i]))
			g_ptr_array_remove_index(w->conns, i);
		else
			i++;
	}
}

/* Whether all jobs have ended; those of which no task was on a worker that
 * ended must have completed. */
static bool are_jobs_over(world_t *w)
{
	const entry_t *e = &w->entries[newest_leader(w)];

	if (!e->is_leader || e->loading || w->jobs->len < JOBS)
		return false;
	for (int i = 0; i < JOBS; i++) {
		char id[BH_JOB_ID_LEN + 1];
		bh_job_state_t state;

		g_snprintf(id, sizeof(id), "%016x", i + 1);
		state = bh_sched_state(e->sched, id);
		if (state != BH_JOB_COMPLETED && state != BH_JOB_FAILED)
			return false;
	}
	return true;
}

static world_t *world_new(uint32_t seed, lw_mode_t mode, lw_disabled_t disabled)
{
	world_t *w = g_new0(world_t, 1);
	int n_hosts;

	w->rand = g_rand_new_with_seed(seed);
	w->mode = mode;
	w->disabled = disabled;
	w->is_traced = g_getenv("BH_TRACE") != NULL;
	w->row.owner = NOBODY;
	w->next_fault_at = MS_US(4000);
	w->faults = g_array_new(FALSE, FALSE, sizeof(fault_t));
	w->conns = g_ptr_array_new_with_free_func(conn_free);
	w->reqs = g_ptr_array_new_with_free_func(req_free);
	w->orders = g_ptr_array_new_with_free_func(g_free);
	w->progress = rows_new();
	w->jobs = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	w->histories =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->config = bh_config_new(1, 1);
	w->config->version = 1;
	w->config->queues[0] = (bh_queue_t){.name = g_strdup("q"),
					    .host = g_strdup("h"),
					    .prefix = g_strdup("/p/"),
					    .service = g_strdup("s"),
					    .slack_factor = 2,
					    .target_ms = 1000};
	w->config->services[0].name = g_strdup("s");
	bh_config_index(w->config);
	for (int i = 0; i < JOBS; i++)
		w->job_at[i] = MS_US(2000 + i * 2300 + pick(w, 0, 2300));
	for (int i = 0; i < ENTRIES; i++) {
		w->entries[i] = (entry_t){
			.w = w,
			.index = i,
			.row = {.owner = NOBODY},
			.rate = g_rand_double_range(w->rand, 0.99, 1.0098),
			.offset = MS_US(pick(w, 100000, 900000))};
		w->entries[i].ticked_at = w->entries[i].offset;
	}
	n_hosts = pick(w, 3, HOSTS);
	for (int i = 0; i < HOSTS; i++) {
		host_t *h = &w->hosts[i];

		g_snprintf(h->key, sizeof(h->key), "h%d", i);
		h->rate = g_rand_double_range(w->rand, 0.99, 1.0098);
		h->runs = g_ptr_array_new_with_free_func(g_free);
		h->ended = g_array_new(FALSE, TRUE, sizeof(bh_ended_t));
		h->closed = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
		if (i < n_hosts)
			host_up(w, i);
	}
	return w;
}

static void world_free(world_t *w)
{
	for (int i = 0; i < ENTRIES; i++) {
		w->is_traced = false;
		stop_leading(&w->entries[i], "the run ends");
	}
	for (int i = 0; i < HOSTS; i++) {
		host_t *h = &w->hosts[i];

		forget_ends(w, h, UINT64_MAX, false);
		g_ptr_array_free(h->runs, TRUE);
		g_array_free(h->ended, TRUE);
		g_hash_table_destroy(h->closed);
	}
	g_array_free(w->faults, TRUE);
	g_ptr_array_free(w->conns, TRUE);
	g_ptr_array_free(w->reqs, TRUE);
	g_ptr_array_free(w->orders, TRUE);
	g_ptr_array_free(w->jobs, TRUE);
	g_hash_table_destroy(w->progress);
	g_hash_table_destroy(w->histories);
	bh_config_free(w->config);
	g_rand_free(w->rand);
	g_free(w);
}

char *lw_run(uint32_t seed, lw_mode_t mode, lw_disabled_t disabled)
{
	world_t *w = world_new(seed, mode, disabled);
	char *violation;

	while (w->now < FAULTS_UNTIL && !w->violation)
		step(w);
	end_faults(w);
	while (!w->violation && w->now < RUN_UNTIL && !are_jobs_over(w))
		step(w);
	if (!w->violation && w->now >= RUN_UNTIL)
		violate(w, "a job did not end", "");
	violation = w->violation;
	world_free(w);
	return violation;
}
