#include "core/cell_impl.h"

static const char *const outcome_names[BH_OUTCOME_COUNT] = {
	"none",	   "delivered", "late",	     "expired",
	"not-run", "unknown",	"cancelled",
};

bh_member_t *cell_member_get(bh_cell_t *c, const char *name, bh_usec_t now)
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

void cell_clear(bh_cell_t *c)
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
	c->n_attempts = 0;
}

/* All leases that a leader of any term granted to the member have expired. */
static bool is_member_lost(const bh_cell_t *c, const bh_member_t *m,
			   bh_usec_t now)
{
	return now - MAX(m->granted_at, c->leading_since) >=
	       cell_with_drift(c->config.lease_us);
}

static void evict_from_lost_members(bh_cell_t *c, bh_usec_t now)
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
				cell_evict(c, t);
		}
	}
}

static void cancel_task(bh_cell_t *c, bh_task_t *t)
{
	switch (t->phase) {
	case PHASE_PENDING:
	case PHASE_PLACING:
		if (!t->is_in_batch || t->phase == PHASE_PENDING)
			cell_end_task(c, t, BH_OUTCOME_CANCELLED, "cancelled");
		else
			cell_set_phase(t, PHASE_STOPPING);
		break;
	case PHASE_PLACED:
	case PHASE_RUNNING:
		cell_set_phase(t, PHASE_STOPPING);
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

static bh_account_t *account_get(bh_cell_t *c, const char *tenant)
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
	job->added_at = now;
	job->account = account_get(c, spec->tenant);
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
	c->next_read_at = now;
	return c;
}

void bh_cell_free(bh_cell_t *c)
{
	cell_clear(c);
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

void bh_cell_set_job(bh_cell_t *c, const bh_job_spec_t *spec, bh_usec_t now)
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

void bh_cell_set_quota(bh_cell_t *c, const char *tenant, uint64_t cpu_milli)
{
	account_get(c, tenant)->quota_cpu_milli = cpu_milli;
}

void bh_cell_job_deleted(bh_cell_t *c, const char *name)
{
	bh_job_t *job = g_hash_table_lookup(c->jobs_by_name, name);

	if (job)
		job_cancel(c, job);
}

void bh_cell_load_task(bh_cell_t *c, const bh_task_row_t *row)
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
		cell_set_phase(t, PHASE_ENDED);
		return;
	}
	m = cell_member_get(c, row->worker, c->leading_since);
	if (!m)
		return;
	c->counters.adopted++;
	cell_set_phase(t, PHASE_PLACED);
	cell_assign(t, m);
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
	c->leading_since = now;
	TAILQ_FOREACH(job, &c->jobs, link) {
		if (job->spec.is_cancelled)
			job_cancel(c, job);
	}
}

void bh_cell_tick(bh_cell_t *c, bh_usec_t now)
{
	if (c->role == BH_CELL_FOLLOWER) {
		if (!c->is_reading && !c->is_retired && now >= c->next_read_at)
			cell_read_row(c);
		return;
	}
	if (c->commit_state != COMMIT_IDLE)
		cell_continue_commit(c, now);
	if (c->role == BH_CELL_ACQUIRING)
		return;
	if (now >= c->valid_until) {
		cell_step_down(c, now);
		return;
	}
	if (c->role == BH_CELL_LEADING) {
		evict_from_lost_members(c, now);
		cell_place_pending(c, now);
	}
	if (c->commit_state == COMMIT_IDLE && cell_is_commit_due(c, now)) {
		cell_fill_batch(c);
		cell_send_commit(c, c->term, now);
	}
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
