#include "core/cell.h"
#include "core/interfere.h"

/* Clocks of two hosts drift apart by less than this over a lease or term. */
#define DRIFT_SHARE	 20
#define RETRY_US	 (100 * BH_USEC_PER_MS)
#define RENEW_SHARE	 3
#define LEARN_SMOOTHING	 0.2
#define NONCES_MAX	 16
#define THROTTLE_REPEATS 3
/* Run times that must be left before the deadline for a job to wait. */
#define WAIT_RUNS	4
#define DEADLINE_MARGIN 2
#define URGENT_PRIORITY BH_CLASS_COUNT

typedef struct bh_job bh_job_t;
typedef struct bh_task bh_task_t;
typedef struct bh_member bh_member_t;

/**
 * enum bh_phase - where the leader is with a task
 * @PHASE_PLACING: decided, not journalled yet
 * @PHASE_PLACED: journalled; the start is ordered until it is reported
 * @PHASE_STOPPING: cancelled; the stop is ordered until it is reported
 * @PHASE_ENDING: outcome known, not journalled yet
 */
typedef enum bh_phase {
	PHASE_PENDING,
	PHASE_PLACING,
	PHASE_PLACED,
	PHASE_RUNNING,
	PHASE_STOPPING,
	PHASE_ENDING,
	PHASE_ENDED,
} bh_phase_t;

struct bh_task {
	TAILQ_ENTRY(bh_task) in_job;
	TAILQ_ENTRY(bh_task) in_member;
	TAILQ_ENTRY(bh_task) in_dirty;
	bh_job_t *job;
	bh_member_t *member;
	char *id;
	bh_phase_t phase;
	uint32_t epoch;
	bool is_dirty;
	bool is_in_batch;
	bool is_reported;
	bool is_adopted;       /* placed by a former leader */
	uint64_t ordered_life; /* member's incarnation that the start went to */
	uint64_t ordered_in;   /* number of the last orders with the start */
	bh_usec_t ordered_at;
	bh_outcome_t outcome;
	const char *reason;
	uint64_t progress_ms;
	uint64_t done_unix_ms;
	uint64_t started_unix_ms;
	uint32_t evictions;
	uint32_t start_failures;
	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	uint32_t permille;     /* throttle that it should have */
	uint32_t throttle_due; /* replies that still carry it */
	bool is_moving;	       /* stopped to run elsewhere */
};

typedef TAILQ_HEAD(bh_tasks, bh_task) bh_tasks_t;

/**
 * struct bh_account - a tenant's share of the cell
 * @quota_cpu_milli: 0 for no limit
 */
typedef struct bh_account {
	uint64_t quota_cpu_milli;
	uint64_t held_cpu_milli;
} bh_account_t;

struct bh_job {
	TAILQ_ENTRY(bh_job) link;
	char *name;
	char *tenant;
	char *family;
	bh_job_spec_t spec;
	bh_account_t *account;
	bh_task_t **tasks;
	bh_tasks_t pending;
	double learned_run_ms;
	bh_usec_t seen_at;
	bool is_stuck; /* found no place in this round */
};

typedef TAILQ_HEAD(bh_jobs, bh_job) bh_jobs_t;

/**
 * struct bh_member - an agent and its worker
 * @granted_at: when a reply last extended leases there
 * @term_seen: highest term whose orders it took in
 * @orders_sent: orders sent to it in this term; @orders_seen: those taken in
 */
struct bh_member {
	char *name;
	uint64_t incarnation;
	uint64_t report_seq;
	uint64_t term_seen;
	uint64_t orders_sent;
	uint64_t orders_seen;
	bh_usec_t heard_at;
	bh_usec_t granted_at;
	bh_resources_t capacity;
	bh_resources_t reserved;
	bh_resources_t used;
	bh_tasks_t tasks;
	uint32_t n_tasks;
	uint32_t rank;
	uint32_t start_failures;
	bh_usec_t quarantined_until;
	GHashTable *services; /* service name to its last slowdown */
	GArray *neighbours;   /* bh_neighbour_t of all tasks placed there */
	bh_usec_t changed_at; /* last change of what runs there */
	bh_usec_t steered_at; /* last throttle, release or move */
	bh_usec_t slow_since;
	bh_usec_t calm_since;
	bool has_reported;
	bool needs_push;
};

typedef enum bh_commit_state {
	COMMIT_IDLE,
	COMMIT_IN_FLIGHT,
	COMMIT_UNCLEAR, /* waiting to read the row back */
	COMMIT_READING,
	COMMIT_RETRY,
} bh_commit_state_t;

/* One sending of the commit under way. */
typedef struct bh_try {
	uint64_t nonce;
	bh_usec_t sent_at;
} bh_try_t;

struct bh_cell {
	const bh_cell_ops_t *ops;
	void *ctx;
	bh_cell_config_t config;
	const bh_place_ops_t *placement;
	GRand *rand;
	bh_cell_role_t role;
	int64_t unix_offset_ms;

	/* the cell row */
	uint64_t version;
	uint64_t term;
	uint64_t seen_version;
	bh_usec_t seen_at;
	bh_usec_t read_at;
	bool is_reading;
	bool is_resigning;
	bool is_retired;
	bh_usec_t valid_until;
	bh_usec_t led_at;

	/* the commit under way */
	bh_commit_state_t commit_state;
	bh_usec_t commit_sent_at;
	bh_usec_t retry_at;
	bh_usec_t committed_at;
	bh_try_t tries[NONCES_MAX];
	uint32_t n_tries;
	GPtrArray *batch;
	GArray *rows;

	bh_tasks_t dirty;
	bh_jobs_t jobs;
	GHashTable *jobs_by_name;
	GHashTable *tasks;
	GHashTable *members;
	GHashTable *accounts; /* tenant to bh_account_t */
	bh_interfere_t *interfere;
	bh_cell_counters_t counters;
};

static const char *const outcome_names[BH_OUTCOME_COUNT] = {
	"none",	   "delivered", "late",	     "expired",
	"not-run", "unknown",	"cancelled",
};

static bh_usec_t with_drift(bh_usec_t span)
{
	return span + span / DRIFT_SHARE;
}

static uint64_t unix_ms(const bh_cell_t *c, bh_usec_t now)
{
	return (uint64_t)(now / BH_USEC_PER_MS + c->unix_offset_ms);
}

static void mark_dirty(bh_cell_t *c, bh_task_t *t)
{
	if (t->is_dirty)
		return;
	t->is_dirty = true;
	TAILQ_INSERT_TAIL(&c->dirty, t, in_dirty);
}

static void set_phase(bh_task_t *t, bh_phase_t phase)
{
	if (t->phase == PHASE_PENDING)
		TAILQ_REMOVE(&t->job->pending, t, in_job);
	t->phase = phase;
	if (phase == PHASE_PENDING)
		TAILQ_INSERT_TAIL(&t->job->pending, t, in_job);
}

static double cpus_of(const bh_task_t *t)
{
	return t->job->spec.need.cpu_milli / 1000.0 * t->permille / 1000;
}

static void add_neighbour(bh_member_t *m, const bh_task_t *t, double cpus)
{
	bh_neighbour_t fresh = {t->job->family, cpus};

	for (guint i = 0; i < m->neighbours->len; i++) {
		bh_neighbour_t *n =
			&g_array_index(m->neighbours, bh_neighbour_t, i);

		if (strcmp(n->family, fresh.family) == 0) {
			n->cpus = MAX(n->cpus + cpus, 0);
			return;
		}
	}
	g_array_append_val(m->neighbours, fresh);
}

static void take_place(bh_task_t *t, bh_member_t *m)
{
	t->member = m;
	t->is_reported = false;
	t->is_adopted = false;
	t->ordered_life = 0;
	t->ordered_in = 0;
	t->ordered_at = 0;
	t->permille = 1000;
	t->is_moving = false;
	add_neighbour(m, t, cpus_of(t));
	bh_resources_add(&m->reserved, &t->job->spec.need);
	t->job->account->held_cpu_milli += t->job->spec.need.cpu_milli;
	TAILQ_INSERT_TAIL(&m->tasks, t, in_member);
	m->n_tasks++;
}

static void leave_place(bh_task_t *t)
{
	bh_member_t *m = t->member;

	if (!m)
		return;
	add_neighbour(m, t, -cpus_of(t));
	bh_resources_sub(&m->reserved, &t->job->spec.need);
	t->job->account->held_cpu_milli -= t->job->spec.need.cpu_milli;
	TAILQ_REMOVE(&m->tasks, t, in_member);
	m->n_tasks--;
	t->member = NULL;
}

static void end_task(bh_cell_t *c, bh_task_t *t, bh_outcome_t outcome,
		     const char *reason)
{
	leave_place(t);
	t->outcome = outcome;
	t->reason = reason;
	set_phase(t, PHASE_ENDING);
	mark_dirty(c, t);
}

/* The task runs nowhere any more; it may be placed again. */
static void requeue(bh_cell_t *c, bh_task_t *t)
{
	leave_place(t);
	set_phase(t, PHASE_PENDING);
	mark_dirty(c, t);
}

static void evict(bh_cell_t *c, bh_task_t *t)
{
	if (t->phase == PHASE_STOPPING) {
		end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		return;
	}
	if (!t->job->spec.is_idempotent) {
		end_task(c, t, BH_OUTCOME_UNKNOWN, "its worker was lost");
		return;
	}
	t->evictions++;
	c->counters.evictions++;
	requeue(c, t);
}

static void learn_run(bh_task_t *t)
{
	bh_job_t *job = t->job;
	double ran = (double)t->done_unix_ms - (double)t->started_unix_ms;

	if (t->started_unix_ms == 0 || ran <= 0 || t->evictions > 0)
		return;
	job->learned_run_ms +=
		job->learned_run_ms > 0
			? LEARN_SMOOTHING * (ran - job->learned_run_ms)
			: ran;
}

static void finish(bh_cell_t *c, bh_task_t *t, const bh_task_info_t *info)
{
	const bh_job_spec_t *spec = &t->job->spec;

	t->progress_ms = info->progress_ms;
	t->done_unix_ms = info->done_unix_ms;
	t->member->start_failures = 0;
	learn_run(t);
	if (spec->is_standing && !spec->is_cancelled) {
		t->progress_ms = 0;
		requeue(c, t);
		return;
	}
	if (spec->deadline_unix_ms && t->done_unix_ms > spec->deadline_unix_ms)
		end_task(c, t, BH_OUTCOME_LATE, "ended after the deadline");
	else
		end_task(c, t, BH_OUTCOME_DELIVERED, "");
}

static void note_start_failure(bh_cell_t *c, bh_member_t *m, bh_usec_t now)
{
	c->counters.start_failures++;
	m->start_failures++;
	if (m->start_failures < BH_QUARANTINE_FAILURES)
		return;
	c->counters.quarantines++;
	m->quarantined_until = now + BH_QUARANTINE_US;
}

static void start_failed(bh_cell_t *c, bh_task_t *t, bh_usec_t now)
{
	note_start_failure(c, t->member, now);
	t->start_failures++;
	if (t->start_failures >= BH_START_FAILURES_MAX)
		end_task(c, t, BH_OUTCOME_NOT_RUN, "every start failed");
	else
		requeue(c, t);
}

static void task_reported(bh_cell_t *c, bh_task_t *t,
			  const bh_task_info_t *info, bh_usec_t now)
{
	t->is_reported = true;
	t->used_cpu_milli = info->used_cpu_milli;
	t->used_mem_mb = info->used_mem_mb;
	t->progress_ms = MAX(t->progress_ms, info->progress_ms);
	switch (info->state) {
	case BH_TASK_DONE:
		finish(c, t, info);
		break;
	case BH_TASK_FAILED:
		if (t->phase == PHASE_STOPPING)
			end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		else
			start_failed(c, t, now);
		break;
	case BH_TASK_STOPPED:
		evict(c, t);
		break;
	case BH_TASK_RUNNING:
	case BH_TASK_FROZEN:
		t->member->start_failures = 0;
		if (t->phase == PHASE_PLACED)
			set_phase(t, PHASE_RUNNING);
		break;
	default:
		break;
	}
}

static bool is_here(const bh_task_t *t, const bh_member_t *m, uint32_t epoch)
{
	return t && t->member == m && t->epoch == epoch &&
	       t->phase >= PHASE_PLACED && t->phase <= PHASE_STOPPING;
}

static void add_order(GArray *orders, bh_order_kind_t kind, char *id,
		      uint32_t epoch)
{
	bh_order_t o = {.kind = kind, .id = id, .epoch = epoch};

	g_array_append_val(orders, o);
}

/*
 * What a member reports and the journal does not place there: a living stray
 * is stopped, an ended one is forgotten once its end is journalled.
 */
static void order_stray(bh_cell_t *c, GArray *orders,
			const bh_task_info_t *info, const bh_task_t *t)
{
	if (info->state < BH_TASK_DONE) {
		c->counters.strays_stopped++;
		add_order(orders, BH_ORDER_STOP, info->id, info->epoch);
		return;
	}
	if (!t || (!t->is_dirty && !t->is_in_batch))
		add_order(orders, BH_ORDER_FORGET, info->id, info->epoch);
}

static void order_start(GArray *orders, bh_task_t *t, bh_usec_t now)
{
	bh_order_t o = {
		.kind = BH_ORDER_START,
		.id = t->id,
		.epoch = t->epoch,
		.need = t->job->spec.need,
		.run_ms = t->job->spec.run_ms,
		.progress_ms = t->progress_ms,
	};

	t->ordered_life = t->member->incarnation;
	t->ordered_in = t->member->orders_sent + 1;
	t->ordered_at = now;
	g_array_append_val(orders, o);
}

/*
 * Whether a task that the member does not list cannot run there, now or later.
 * The agent lists a task from the moment that it takes its start in. Of an
 * agent's former life, a start may still be under way to the worker, which
 * refuses it once the lease is over.
 */
static bool is_certainly_absent(const bh_cell_t *c, const bh_task_t *t,
				bh_usec_t now)
{
	const bh_member_t *m = t->member;

	if (m->term_seen < c->term)
		return false;
	if (t->ordered_life == m->incarnation)
		return m->orders_seen >= t->ordered_in;
	return now - MAX(t->ordered_at, c->led_at) >=
	       with_drift(c->config.lease_us);
}

/* Never ordered by this leader to this life of the member, so never there. */
static bool may_order_start(const bh_task_t *t)
{
	return t->phase == PHASE_PLACED && !t->is_adopted &&
	       (t->ordered_life == 0 ||
		t->ordered_life == t->member->incarnation);
}

/* Tasks journalled on the member that its report does not list. */
static void order_missing(bh_cell_t *c, bh_member_t *m, GArray *orders,
			  bh_usec_t now)
{
	bh_task_t *t;
	bh_task_t *next;

	TAILQ_FOREACH_SAFE(t, &m->tasks, in_member, next) {
		if (t->is_reported || t->phase == PHASE_PLACING)
			continue;
		if (may_order_start(t))
			order_start(orders, t, now);
		else if (is_certainly_absent(c, t, now))
			evict(c, t);
	}
}

static void send_orders(bh_cell_t *c, bh_member_t *m, GArray *orders,
			bh_usec_t now)
{
	bh_msg_t msg = {
		.type = BH_MSG_ORDERS,
		.incarnation = m->incarnation,
		.seq = m->report_seq,
		.term = c->term,
		.generation = ++m->orders_sent,
		.lease_ms = (uint64_t)(c->config.lease_us / BH_USEC_PER_MS),
		.orders = (bh_order_t *)(void *)orders->data,
		.n_orders = orders->len,
	};

	m->granted_at = now;
	m->needs_push = false;
	c->ops->send(c->ctx, m->name, &msg);
}

static void push_starts(bh_cell_t *c, bh_usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, c->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_autoptr(GArray) orders = NULL;
		bh_member_t *m = value;
		bh_task_t *t;

		if (!m->needs_push || !m->has_reported)
			continue;
		orders = g_array_new(FALSE, FALSE, sizeof(bh_order_t));
		TAILQ_FOREACH(t, &m->tasks, in_member) {
			if (!t->is_reported && may_order_start(t))
				order_start(orders, t, now);
		}
		send_orders(c, m, orders, now);
	}
}

static bh_member_t *member_get(bh_cell_t *c, const char *name, bh_usec_t now)
{
	bh_member_t *m = g_hash_table_lookup(c->members, name);

	if (m || g_hash_table_size(c->members) >= BH_CELL_MEMBERS_MAX)
		return m;
	m = g_new0(bh_member_t, 1);
	m->name = g_strdup(name);
	m->rank = g_hash_table_size(c->members);
	m->heard_at = now;
	m->granted_at = now;
	m->neighbours = g_array_new(FALSE, FALSE, sizeof(bh_neighbour_t));
	m->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INIT(&m->tasks);
	g_hash_table_insert(c->members, m->name, m);
	return m;
}

static void member_free(void *data)
{
	bh_member_t *m = data;

	g_hash_table_destroy(m->services);
	g_array_free(m->neighbours, TRUE);
	g_free(m->name);
	g_free(m);
}

static void task_free(void *data)
{
	bh_task_t *t = data;

	g_free(t->id);
	g_free(t);
}

static void job_free(bh_job_t *job)
{
	g_free(job->tasks);
	g_free(job->name);
	g_free(job->tenant);
	g_free(job->family);
	g_free(job);
}

static void forget_all(bh_cell_t *c)
{
	bh_job_t *job;

	TAILQ_INIT(&c->dirty);
	g_ptr_array_set_size(c->batch, 0);
	g_array_set_size(c->rows, 0);
	g_hash_table_remove_all(c->tasks);
	g_hash_table_remove_all(c->members);
	g_hash_table_remove_all(c->jobs_by_name);
	g_hash_table_remove_all(c->accounts);
	while ((job = TAILQ_FIRST(&c->jobs)) != NULL) {
		TAILQ_REMOVE(&c->jobs, job, link);
		job_free(job);
	}
	c->commit_state = COMMIT_IDLE;
	c->n_tries = 0;
}

static bh_usec_t jittered(bh_cell_t *c, bh_usec_t span)
{
	return (bh_usec_t)((double)span *
			   g_rand_double_range(c->rand, 0.75, 1.25));
}

static void follow(bh_cell_t *c, bh_usec_t now)
{
	c->role = BH_CELL_FOLLOWER;
	c->read_at = now + jittered(c, c->config.term_us / RENEW_SHARE);
	c->is_reading = false;
	c->is_resigning = false;
	forget_all(c);
}

static void fill_row(const bh_task_t *t, bh_task_row_t *row)
{
	static const bh_task_state_t states[] = {
		[PHASE_PENDING] = BH_TASK_PENDING,
		[PHASE_PLACING] = BH_TASK_STARTING,
		[PHASE_PLACED] = BH_TASK_STARTING,
		[PHASE_RUNNING] = BH_TASK_RUNNING,
		[PHASE_STOPPING] = BH_TASK_RUNNING,
		[PHASE_ENDING] = BH_TASK_DONE,
		[PHASE_ENDED] = BH_TASK_DONE,
	};

	memset(row, 0, sizeof(*row));
	row->id = t->id;
	row->state = states[t->phase];
	row->epoch = t->epoch;
	row->worker = t->member ? t->member->name : "";
	row->outcome = t->outcome;
	row->reason = t->reason ? t->reason : "";
	row->progress_ms = t->progress_ms;
	row->done_unix_ms = t->done_unix_ms;
	row->evictions = t->evictions;
}

static void fill_batch(bh_cell_t *c)
{
	bh_task_t *t;

	while (c->rows->len < BH_JOURNAL_ROWS_MAX &&
	       (t = TAILQ_FIRST(&c->dirty)) != NULL) {
		bh_task_row_t row;

		TAILQ_REMOVE(&c->dirty, t, in_dirty);
		t->is_dirty = false;
		t->is_in_batch = true;
		fill_row(t, &row);
		g_array_append_val(c->rows, row);
		g_ptr_array_add(c->batch, t);
	}
}

static uint64_t new_nonce(bh_cell_t *c)
{
	return (uint64_t)g_rand_int(c->rand) << 32 | g_rand_int(c->rand);
}

static void send_commit(bh_cell_t *c, uint64_t term, bh_usec_t now)
{
	bh_cell_commit_t commit = {
		.version = c->version,
		.term = term,
		.nonce = new_nonce(c),
		.is_resigning = c->is_resigning,
		.n_rows = c->rows->len,
		.rows = (bh_task_row_t *)(void *)c->rows->data,
	};

	c->tries[c->n_tries++ % NONCES_MAX] = (bh_try_t){commit.nonce, now};
	c->commit_sent_at = now;
	c->commit_state = COMMIT_IN_FLIGHT;
	c->counters.commits++;
	c->counters.commit_rows += commit.n_rows;
	c->ops->commit(c->ctx, &commit);
}

static const bh_try_t *find_try(const bh_cell_t *c, uint64_t nonce)
{
	for (uint32_t i = 0; i < MIN(c->n_tries, NONCES_MAX); i++) {
		if (c->tries[i].nonce == nonce)
			return &c->tries[i];
	}
	return NULL;
}

static void journalled(bh_cell_t *c, bh_task_t *t)
{
	t->is_in_batch = false;
	if (t->is_dirty)
		return;
	if (t->phase == PHASE_PLACING) {
		set_phase(t, PHASE_PLACED);
		t->member->needs_push = true;
	} else if (t->phase == PHASE_ENDING) {
		set_phase(t, PHASE_ENDED);
		c->counters.outcomes[t->outcome]++;
	}
}

static void batch_done(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		       bh_usec_t now)
{
	c->version = version;
	c->commit_state = COMMIT_IDLE;
	c->committed_at = now;
	c->valid_until = sent_at + c->config.term_us;
	c->n_tries = 0;
	for (guint i = 0; i < c->batch->len; i++)
		journalled(c, g_ptr_array_index(c->batch, i));
	g_ptr_array_set_size(c->batch, 0);
	g_array_set_size(c->rows, 0);
	if (c->role == BH_CELL_LEADING && now < c->valid_until)
		push_starts(c, now);
}

static void won(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		bh_usec_t now)
{
	c->term++;
	c->counters.terms++;
	c->role = BH_CELL_LOADING;
	batch_done(c, version, sent_at, now);
	c->ops->load(c->ctx);
}

static void commit_ok(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		      bh_usec_t now)
{
	if (c->is_resigning) {
		c->is_retired = true;
		follow(c, now);
	} else if (c->role == BH_CELL_ACQUIRING) {
		won(c, version, sent_at, now);
	} else {
		batch_done(c, version, sent_at, now);
	}
}

static void read_row(bh_cell_t *c)
{
	c->is_reading = true;
	c->ops->read(c->ctx);
}

/* The row tells whether the commit of unclear outcome took effect. */
static void resolve_commit(bh_cell_t *c, const bh_cell_row_t *row,
			   bh_usec_t now)
{
	const bh_try_t *landed = row ? find_try(c, row->nonce) : NULL;

	if (!row) {
		c->commit_state = COMMIT_UNCLEAR;
		c->retry_at = now + RETRY_US;
	} else if (row->version && landed) {
		commit_ok(c, row->version, landed->sent_at, now);
	} else if (row->version != c->version) {
		c->counters.conflicts++;
		follow(c, now);
	} else {
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + jittered(c, RETRY_US);
	}
}

static bool is_leaderless(const bh_cell_t *c, const bh_cell_row_t *row,
			  bh_usec_t now)
{
	return row->version == 0 || !row->holder || !*row->holder ||
	       now - c->seen_at >= with_drift(c->config.term_us);
}

static void consider_leading(bh_cell_t *c, const bh_cell_row_t *row,
			     bh_usec_t now)
{
	if (row->version != c->seen_version || c->seen_at == 0) {
		c->seen_version = row->version;
		c->seen_at = now;
	}
	if (!is_leaderless(c, row, now))
		return;
	c->role = BH_CELL_ACQUIRING;
	c->version = row->version;
	c->term = row->term;
	c->n_tries = 0;
	send_commit(c, row->term + 1, now);
}

static void continue_commit(bh_cell_t *c, bh_usec_t now)
{
	if (now < c->retry_at)
		return;
	if (c->commit_state == COMMIT_UNCLEAR) {
		c->commit_state = COMMIT_READING;
		read_row(c);
	} else if (c->commit_state == COMMIT_RETRY) {
		send_commit(
			c, c->role == BH_CELL_ACQUIRING ? c->term + 1 : c->term,
			now);
	}
}

static bool is_commit_due(const bh_cell_t *c, bh_usec_t now)
{
	if (c->is_resigning)
		return true;
	if (now - c->committed_at >= c->config.term_us / RENEW_SHARE)
		return true;
	return !TAILQ_EMPTY(&c->dirty) &&
	       now - c->commit_sent_at >= c->config.journal_us;
}

static uint64_t expected_run_ms(const bh_job_t *job)
{
	return job->learned_run_ms > 0 ? (uint64_t)job->learned_run_ms
				       : job->spec.run_ms;
}

static bool is_too_late(const bh_cell_t *c, const bh_task_t *t, bh_usec_t now)
{
	uint64_t run_ms = expected_run_ms(t->job);
	uint64_t left = run_ms > t->progress_ms ? run_ms - t->progress_ms : 0;
	uint64_t deadline = t->job->spec.deadline_unix_ms;

	return deadline && unix_ms(c, now) + left > deadline;
}

static bool is_open(const bh_cell_t *c, const bh_member_t *m, bh_usec_t now)
{
	return m->has_reported && m->quarantined_until <= now &&
	       now - m->heard_at < c->config.lease_us / 2;
}

static uint32_t same_job_count(const bh_member_t *m, const bh_job_t *job)
{
	const bh_task_t *t;
	uint32_t n = 0;

	TAILQ_FOREACH(t, &m->tasks, in_member)
		n += t->job == job;
	return n;
}

static double neighbours_slowdown(const bh_cell_t *c, const bh_member_t *m,
				  const char *service)
{
	double slowdown = 1;

	for (guint i = 0; i < m->neighbours->len; i++) {
		const bh_neighbour_t *n =
			&g_array_index(m->neighbours, bh_neighbour_t, i);

		if (n->cpus > 0)
			slowdown += n->cpus * bh_interfere_expect(c->interfere,
								  service,
								  n->family);
	}
	return slowdown;
}

/*
 * Slowdown that the worst-off service of the worker is expected to have with
 * the task beside it. What is measured lags, so the sum over all that was
 * placed counts as well.
 */
static double expected_slowdown(const bh_cell_t *c, const bh_member_t *m,
				const bh_job_t *job)
{
	double cpus = job->spec.need.cpu_milli / 1000.0;
	double worst = 1;
	GHashTableIter iter;
	void *name;
	void *measured;

	if (!c->placement->is_steering)
		return 1;
	g_hash_table_iter_init(&iter, m->services);
	while (g_hash_table_iter_next(&iter, &name, &measured)) {
		double now = MAX(neighbours_slowdown(c, m, name),
				 *(double *)measured);

		worst = MAX(worst,
			    now + cpus * bh_interfere_expect(c->interfere, name,
							     job->family));
	}
	return worst;
}

/* A job waits for a quiet worker as long as its deadline leaves room. */
static bool can_wait(const bh_cell_t *c, const bh_job_t *job, bh_usec_t now)
{
	uint64_t deadline = job->spec.deadline_unix_ms;

	if (job->spec.priority >= URGENT_PRIORITY)
		return false;
	return deadline == 0 ||
	       unix_ms(c, now) + WAIT_RUNS * expected_run_ms(job) < deadline;
}

static bh_member_t *choose_member(bh_cell_t *c, const bh_job_t *job,
				  bh_usec_t now)
{
	bool may_wait = c->placement->is_steering && can_wait(c, job, now);
	bh_member_t *best = NULL;
	double best_cost = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, c->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_member_t *m = value;
		bh_place_worker_t w;
		double cost;

		if (!is_open(c, m, now) ||
		    !bh_resources_fit(&job->spec.need, &m->reserved,
				      &m->capacity))
			continue;
		w.capacity = m->capacity;
		w.reserved = m->reserved;
		w.used = m->used;
		w.n_tasks = m->n_tasks;
		w.n_same_job = same_job_count(m, job);
		w.rank = m->rank;
		w.slowdown = expected_slowdown(c, m, job);
		if (w.slowdown > BH_SLOWDOWN_HIGH && may_wait)
			continue;
		cost = c->placement->cost(&w, &job->spec.need);
		if (!best || cost < best_cost ||
		    (cost == best_cost && m->rank < best->rank)) {
			best = m;
			best_cost = cost;
		}
	}
	return best;
}

static bool fits_nowhere(const bh_cell_t *c, const bh_job_t *job)
{
	const bh_resources_t none = {0};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, c->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bh_member_t *m = value;

		if (bh_resources_fit(&job->spec.need, &none, &m->capacity))
			return false;
	}
	return g_hash_table_size(c->members) > 0;
}

static void end_pending(bh_cell_t *c, bh_job_t *job, bh_outcome_t outcome,
			const char *reason)
{
	while (!TAILQ_EMPTY(&job->pending))
		end_task(c, TAILQ_FIRST(&job->pending), outcome, reason);
}

static bool is_unplaceable(const bh_cell_t *c, const bh_job_t *job,
			   bh_usec_t now)
{
	return now - MAX(c->led_at, job->seen_at) >= BH_UNPLACEABLE_AFTER_US &&
	       fits_nowhere(c, job);
}

static void place_task(bh_cell_t *c, bh_task_t *t, bh_member_t *m,
		       bh_usec_t now)
{
	t->epoch++;
	t->started_unix_ms = unix_ms(c, now);
	set_phase(t, PHASE_PLACING);
	take_place(t, m);
	m->changed_at = now;
	mark_dirty(c, t);
	c->counters.placed++;
}

/* Return: whether a task of the job found a place. */
static bool place_one(bh_cell_t *c, bh_job_t *job, bh_usec_t now)
{
	bh_task_t *t;
	bh_member_t *m;

	while ((t = TAILQ_FIRST(&job->pending)) != NULL &&
	       is_too_late(c, t, now))
		end_task(c, t, BH_OUTCOME_EXPIRED,
			 "cannot finish before its deadline");
	if (!t)
		return false;
	m = choose_member(c, job, now);
	if (m)
		place_task(c, t, m, now);
	else if (is_unplaceable(c, job, now))
		end_pending(c, job, BH_OUTCOME_NOT_RUN,
			    "fits no worker of the cell");
	return m != NULL;
}

static bool is_within_quota(const bh_job_t *job)
{
	const bh_account_t *a = job->account;

	return a->quota_cpu_milli == 0 ||
	       a->held_cpu_milli + job->spec.need.cpu_milli <=
		       a->quota_cpu_milli;
}

static double share_of(const bh_job_t *job)
{
	const bh_account_t *a = job->account;
	double quota = a->quota_cpu_milli ? (double)a->quota_cpu_milli : 1e9;

	return (double)a->held_cpu_milli / quota;
}

/* Urgent jobs first; among equals the tenant that holds least of its quota. */
static bh_job_t *next_job(bh_cell_t *c)
{
	bh_job_t *best = NULL;
	bh_job_t *job;

	TAILQ_FOREACH(job, &c->jobs, link) {
		if (best && job->spec.priority < best->spec.priority)
			break;
		if (job->is_stuck || TAILQ_EMPTY(&job->pending) ||
		    !is_within_quota(job))
			continue;
		if (!best || share_of(job) < share_of(best))
			best = job;
	}
	return best;
}

static void place_all(bh_cell_t *c, bh_usec_t now)
{
	bh_job_t *job;

	TAILQ_FOREACH(job, &c->jobs, link)
		job->is_stuck = false;
	while ((job = next_job(c)) != NULL)
		job->is_stuck = !place_one(c, job, now);
}

/* Every lease that any term gave there has lapsed. */
static bool is_member_lost(const bh_cell_t *c, const bh_member_t *m,
			   bh_usec_t now)
{
	return now - MAX(m->granted_at, c->led_at) >=
	       with_drift(c->config.lease_us);
}

static void check_members(bh_cell_t *c, bh_usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, c->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_member_t *m = value;
		bh_task_t *t;
		bh_task_t *next;

		if (!is_member_lost(c, m, now))
			continue;
		m->has_reported = false;
		TAILQ_FOREACH_SAFE(t, &m->tasks, in_member, next) {
			if (t->phase != PHASE_PLACING)
				evict(c, t);
		}
	}
}

static void cancel_task(bh_cell_t *c, bh_task_t *t)
{
	switch (t->phase) {
	case PHASE_PENDING:
	case PHASE_PLACING:
		if (!t->is_in_batch || t->phase == PHASE_PENDING)
			end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		else
			set_phase(t, PHASE_STOPPING);
		break;
	case PHASE_PLACED:
	case PHASE_RUNNING:
		set_phase(t, PHASE_STOPPING);
		break;
	default:
		break;
	}
}

static void job_insert(bh_cell_t *c, bh_job_t *job)
{
	bh_job_t *other;

	TAILQ_FOREACH(other, &c->jobs, link) {
		if (other->spec.priority < job->spec.priority) {
			TAILQ_INSERT_BEFORE(other, job, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&c->jobs, job, link);
}

static bh_account_t *account_of(bh_cell_t *c, const char *tenant)
{
	bh_account_t *account = g_hash_table_lookup(c->accounts, tenant);

	if (!account) {
		account = g_new0(bh_account_t, 1);
		g_hash_table_insert(c->accounts, g_strdup(tenant), account);
	}
	return account;
}

static bh_job_t *job_new(bh_cell_t *c, const bh_job_spec_t *spec, bh_usec_t now)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	job->name = g_strdup(spec->name);
	job->tenant = g_strdup(spec->tenant);
	job->spec = *spec;
	job->spec.name = job->name;
	job->spec.tenant = job->tenant;
	job->family = g_strdup(spec->family ? spec->family : spec->name);
	job->spec.family = job->family;
	job->seen_at = now;
	job->account = account_of(c, spec->tenant);
	job->tasks = g_new0(bh_task_t *, spec->n_tasks);
	TAILQ_INIT(&job->pending);
	for (uint32_t i = 0; i < spec->n_tasks; i++) {
		bh_task_t *t = g_new0(bh_task_t, 1);

		t->job = job;
		t->id = g_strdup_printf("%s/%u", job->name, i);
		job->tasks[i] = t;
		TAILQ_INSERT_TAIL(&job->pending, t, in_job);
		g_hash_table_insert(c->tasks, t->id, t);
	}
	g_hash_table_insert(c->jobs_by_name, job->name, job);
	job_insert(c, job);
	return job;
}

static void job_cancel(bh_cell_t *c, bh_job_t *job)
{
	job->spec.is_cancelled = true;
	for (uint32_t i = 0; i < job->spec.n_tasks; i++)
		cancel_task(c, job->tasks[i]);
}

static void sum_usage(bh_member_t *m)
{
	const bh_task_t *t;

	memset(&m->used, 0, sizeof(m->used));
	TAILQ_FOREACH(t, &m->tasks, in_member) {
		m->used.cpu_milli += t->used_cpu_milli;
		m->used.mem_mb += t->used_mem_mb;
	}
}

static void collect_neighbours(const bh_member_t *m, GArray *out)
{
	const bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		bh_neighbour_t n = {t->job->family, 0};

		if (t->phase != PHASE_RUNNING)
			continue;
		n.cpus = cpus_of(t);
		for (guint i = 0; i < out->len; i++) {
			bh_neighbour_t *seen =
				&g_array_index(out, bh_neighbour_t, i);

			if (strcmp(seen->family, n.family) == 0) {
				seen->cpus += n.cpus;
				n.cpus = 0;
				break;
			}
		}
		if (n.cpus > 0)
			g_array_append_val(out, n);
	}
}

/* What was measured before the last change says nothing of now. */
static bool is_settled(const bh_member_t *m, bh_usec_t now)
{
	return now - m->changed_at >= BH_STEER_SETTLE_US;
}

static double watch_services(bh_cell_t *c, bh_member_t *m,
			     const bh_msg_t *report, bh_usec_t now)
{
	g_autoptr(GArray) jobs =
		g_array_new(FALSE, FALSE, sizeof(bh_neighbour_t));
	double worst = 1;

	collect_neighbours(m, jobs);
	for (size_t i = 0; i < report->n_endpoints; i++) {
		const bh_endpoint_info_t *ep = &report->endpoints[i];
		double slowdown;

		if (ep->load.service_us == 0)
			continue;
		slowdown = bh_interfere_slowdown(c->interfere, ep->service,
						 ep->load.service_us);
		g_hash_table_replace(m->services, g_strdup(ep->service),
				     g_memdup2(&slowdown, sizeof(slowdown)));
		worst = MAX(worst, slowdown);
		if (is_settled(m, now))
			bh_interfere_learn(c->interfere, ep->service,
					   (bh_neighbour_t *)(void *)jobs->data,
					   jobs->len, slowdown);
	}
	return worst;
}

/* Whether it still ends in time if it is throttled, run times being far off. */
static bool can_afford_throttle(const bh_cell_t *c, const bh_task_t *t,
				bh_usec_t now)
{
	uint64_t run_ms = expected_run_ms(t->job);
	uint64_t left = run_ms > t->progress_ms ? run_ms - t->progress_ms : 0;
	uint64_t deadline = t->job->spec.deadline_unix_ms;

	left = MAX(left, run_ms / 2) * 1000 / BH_THROTTLE_PERMILLE;
	return deadline == 0 ||
	       unix_ms(c, now) + DEADLINE_MARGIN * left < deadline;
}

/* The running task that harms the services most, among those at @permille. */
static bh_task_t *worst_neighbour(const bh_cell_t *c, const bh_member_t *m,
				  uint32_t permille, bh_usec_t now)
{
	bh_task_t *worst = NULL;
	double worst_harm = 0;
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		GHashTableIter iter;
		void *service;
		double harm = 0;

		if (t->phase != PHASE_RUNNING || t->is_moving ||
		    t->permille != permille || !can_afford_throttle(c, t, now))
			continue;
		g_hash_table_iter_init(&iter, m->services);
		while (g_hash_table_iter_next(&iter, &service, NULL))
			harm += bh_interfere_expect(c->interfere, service,
						    t->job->family) *
				t->job->spec.need.cpu_milli;
		if (!worst || harm > worst_harm) {
			worst = t;
			worst_harm = harm;
		}
	}
	return worst;
}

static void throttle(bh_member_t *m, bh_task_t *t, uint32_t permille,
		     bh_usec_t now)
{
	add_neighbour(m, t, -cpus_of(t));
	t->permille = permille;
	add_neighbour(m, t, cpus_of(t));
	t->throttle_due = THROTTLE_REPEATS;
	m->changed_at = now;
	m->steered_at = now;
}

/* Throttle one neighbour more; once all are throttled, move the worst. */
static void relieve(bh_cell_t *c, bh_member_t *m, bh_usec_t now)
{
	bh_task_t *t = worst_neighbour(c, m, 1000, now);

	if (t) {
		c->counters.throttles++;
		throttle(m, t, BH_THROTTLE_PERMILLE, now);
		return;
	}
	t = worst_neighbour(c, m, BH_THROTTLE_PERMILLE, now);
	if (!t || !t->job->spec.is_idempotent)
		return;
	c->counters.moves++;
	t->is_moving = true;
	m->steered_at = now;
}

static void release(bh_member_t *m, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		if (t->permille == 1000 || t->is_moving)
			continue;
		throttle(m, t, 1000, now);
		return;
	}
}

static void release_urgent(bh_cell_t *c, bh_member_t *m, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		if (t->permille < 1000 && !can_afford_throttle(c, t, now))
			throttle(m, t, 1000, now);
	}
}

static void steer(bh_cell_t *c, bh_member_t *m, double slowdown, bh_usec_t now)
{
	release_urgent(c, m, now);
	if (slowdown < BH_SLOWDOWN_HIGH)
		m->slow_since = now;
	if (slowdown > BH_SLOWDOWN_CALM)
		m->calm_since = now;
	if (!c->placement->is_steering ||
	    now - m->steered_at < BH_STEER_SETTLE_US)
		return;
	if (now - m->slow_since >= BH_STEER_SETTLE_US / 4)
		relieve(c, m, now);
	else if (now - m->calm_since >= BH_STEER_RELEASE_US)
		release(m, now);
}

static void order_steering(bh_member_t *m, GArray *orders)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		bh_order_t o = {.kind = BH_ORDER_THROTTLE,
				.id = t->id,
				.epoch = t->epoch,
				.permille = t->permille};

		if (t->is_moving && t->phase == PHASE_RUNNING)
			add_order(orders, BH_ORDER_STOP, t->id, t->epoch);
		if (t->throttle_due == 0)
			continue;
		t->throttle_due--;
		g_array_append_val(orders, o);
	}
}

static bool is_old_report(const bh_member_t *m, const bh_msg_t *report)
{
	if (report->incarnation != m->incarnation)
		return report->incarnation < m->incarnation;
	return report->seq <= m->report_seq;
}

static void take_report(bh_cell_t *c, bh_member_t *m, const bh_msg_t *report,
			GArray *orders, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member)
		t->is_reported = false;
	for (size_t i = 0; i < report->n_tasks; i++) {
		const bh_task_info_t *info = &report->tasks[i];

		t = g_hash_table_lookup(c->tasks, info->id);
		if (!is_here(t, m, info->epoch)) {
			order_stray(c, orders, info, t);
			continue;
		}
		task_reported(c, t, info, now);
		if (t->phase == PHASE_STOPPING)
			add_order(orders, BH_ORDER_STOP, info->id, info->epoch);
	}
	order_missing(c, m, orders, now);
	sum_usage(m);
	steer(c, m, watch_services(c, m, report, now), now);
	order_steering(m, orders);
}

const char *bh_outcome_name(bh_outcome_t outcome)
{
	return outcome_names[outcome];
}

bh_cell_t *bh_cell_new(const bh_cell_config_t *config, const bh_cell_ops_t *ops,
		       void *ctx, bh_usec_t now)
{
	bh_cell_t *c = g_new0(bh_cell_t, 1);

	c->ops = ops;
	c->ctx = ctx;
	c->config = *config;
	c->placement = bh_place_find(config->placement);
	c->rand = g_rand_new_with_seed(config->seed);
	c->batch = g_ptr_array_new();
	c->rows = g_array_new(FALSE, FALSE, sizeof(bh_task_row_t));
	c->jobs_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	c->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   member_free);
	c->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->interfere = bh_interfere_new();
	TAILQ_INIT(&c->dirty);
	TAILQ_INIT(&c->jobs);
	c->read_at = now;
	return c;
}

void bh_cell_free(bh_cell_t *c)
{
	forget_all(c);
	g_ptr_array_free(c->batch, TRUE);
	g_array_free(c->rows, TRUE);
	g_hash_table_destroy(c->jobs_by_name);
	g_hash_table_destroy(c->tasks);
	g_hash_table_destroy(c->members);
	g_hash_table_destroy(c->accounts);
	bh_interfere_free(c->interfere);
	g_rand_free(c->rand);
	g_free(c);
}

void bh_cell_set_unix_ms(bh_cell_t *c, uint64_t unix_ms_now, bh_usec_t now)
{
	c->unix_offset_ms = (int64_t)unix_ms_now - now / BH_USEC_PER_MS;
}

void bh_cell_row_read(bh_cell_t *c, const bh_cell_row_t *row, bh_usec_t now)
{
	if (!c->is_reading)
		return;
	c->is_reading = false;
	if (c->role != BH_CELL_FOLLOWER) {
		if (c->commit_state == COMMIT_READING)
			resolve_commit(c, row, now);
		return;
	}
	c->read_at = now + jittered(c, c->config.term_us / RENEW_SHARE);
	if (row && !c->is_retired)
		consider_leading(c, row, now);
}

void bh_cell_committed(bh_cell_t *c, uint64_t nonce, bh_commit_status_t status,
		       uint64_t version, bh_usec_t now)
{
	if (c->commit_state != COMMIT_IN_FLIGHT || c->n_tries == 0 ||
	    c->tries[(c->n_tries - 1) % NONCES_MAX].nonce != nonce)
		return;
	switch (status) {
	case BH_COMMIT_OK:
		commit_ok(c, version, c->commit_sent_at, now);
		break;
	case BH_COMMIT_REFUSED:
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + jittered(c, RETRY_US);
		break;
	case BH_COMMIT_UNKNOWN:
	case BH_COMMIT_CONFLICT:
		c->counters.unclear_commits += status == BH_COMMIT_UNKNOWN;
		c->commit_state = COMMIT_UNCLEAR;
		c->retry_at = now;
		continue_commit(c, now);
		break;
	}
}

void bh_cell_job(bh_cell_t *c, const bh_job_spec_t *spec, bh_usec_t now)
{
	bh_job_t *job = g_hash_table_lookup(c->jobs_by_name, spec->name);

	if (c->role < BH_CELL_LOADING)
		return;
	if (!job) {
		if (g_hash_table_size(c->tasks) + spec->n_tasks >
		    BH_CELL_TASKS_MAX)
			return;
		job = job_new(c, spec, now);
	}
	job->spec.deadline_unix_ms = spec->deadline_unix_ms;
	if (spec->is_cancelled && c->role == BH_CELL_LEADING)
		job_cancel(c, job);
	job->spec.is_cancelled = spec->is_cancelled;
}

void bh_cell_quota(bh_cell_t *c, const char *tenant, uint64_t cpu_milli)
{
	account_of(c, tenant)->quota_cpu_milli = cpu_milli;
}

void bh_cell_job_deleted(bh_cell_t *c, const char *name)
{
	bh_job_t *job = g_hash_table_lookup(c->jobs_by_name, name);

	if (job)
		job_cancel(c, job);
}

void bh_cell_task_row(bh_cell_t *c, const bh_task_row_t *row)
{
	bh_task_t *t = g_hash_table_lookup(c->tasks, row->id);
	bh_member_t *m;

	if (!t || c->role != BH_CELL_LOADING)
		return;
	t->epoch = row->epoch;
	t->progress_ms = row->progress_ms;
	t->evictions = row->evictions;
	t->done_unix_ms = row->done_unix_ms;
	if (row->state == BH_TASK_PENDING)
		return;
	if (row->state == BH_TASK_DONE) {
		t->outcome = row->outcome;
		set_phase(t, PHASE_ENDED);
		return;
	}
	m = member_get(c, row->worker, c->led_at);
	if (!m)
		return;
	c->counters.adopted++;
	set_phase(t, PHASE_PLACED);
	take_place(t, m);
	t->is_adopted = true;
}

void bh_cell_loaded(bh_cell_t *c, bool is_ok, bh_usec_t now)
{
	bh_job_t *job;

	if (c->role != BH_CELL_LOADING)
		return;
	if (!is_ok) {
		c->ops->load(c->ctx);
		return;
	}
	c->role = BH_CELL_LEADING;
	c->led_at = now;
	TAILQ_FOREACH(job, &c->jobs, link) {
		if (job->spec.is_cancelled)
			job_cancel(c, job);
	}
}

void bh_cell_report(bh_cell_t *c, const bh_msg_t *report, bh_usec_t now)
{
	g_autoptr(GArray) orders = NULL;
	bh_member_t *m;

	if (c->role != BH_CELL_LEADING || now >= c->valid_until)
		return;
	m = member_get(c, report->name, now);
	if (!m || is_old_report(m, report))
		return;
	m->incarnation = report->incarnation;
	m->report_seq = report->seq;
	m->term_seen = report->term;
	m->orders_seen = report->term == c->term ? report->generation : 0;
	m->capacity = report->capacity;
	m->heard_at = now;
	m->has_reported = true;
	orders = g_array_new(FALSE, FALSE, sizeof(bh_order_t));
	take_report(c, m, report, orders, now);
	send_orders(c, m, orders, now);
}

void bh_cell_heard(bh_cell_t *c, bh_usec_t now)
{
	if (c->role != BH_CELL_FOLLOWER)
		return;
	c->read_at = now + jittered(c, c->config.term_us);
	c->seen_at = 0;
}

void bh_cell_tick(bh_cell_t *c, bh_usec_t now)
{
	if (c->role == BH_CELL_FOLLOWER) {
		if (!c->is_reading && !c->is_retired && now >= c->read_at)
			read_row(c);
		return;
	}
	if (c->commit_state != COMMIT_IDLE)
		continue_commit(c, now);
	if (c->role == BH_CELL_ACQUIRING)
		return;
	if (now >= c->valid_until) {
		follow(c, now);
		return;
	}
	if (c->role == BH_CELL_LEADING) {
		check_members(c, now);
		place_all(c, now);
	}
	if (c->commit_state == COMMIT_IDLE && is_commit_due(c, now)) {
		fill_batch(c);
		send_commit(c, c->term, now);
	}
}

void bh_cell_resign(bh_cell_t *c)
{
	if (c->role >= BH_CELL_LOADING)
		c->is_resigning = true;
	else
		c->is_retired = true;
}

bh_cell_role_t bh_cell_role(const bh_cell_t *c)
{
	return c->role;
}

uint64_t bh_cell_term(const bh_cell_t *c)
{
	return c->term;
}

const bh_cell_counters_t *bh_cell_counters(const bh_cell_t *c)
{
	return &c->counters;
}

size_t bh_cell_members(const bh_cell_t *c)
{
	return g_hash_table_size(c->members);
}

size_t bh_cell_tasks_in(const bh_cell_t *c, bh_task_state_t state)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_task_row_t row;

		fill_row(value, &row);
		n += row.state == state;
	}
	return n;
}
