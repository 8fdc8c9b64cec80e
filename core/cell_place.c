#include "core/cell_impl.h"

static bool will_miss_deadline(const bh_cell_t *c, const bh_task_t *t,
			       bh_usec_t now)
{
	uint64_t run_ms = cell_expected_run_ms(t->job);
	uint64_t left = run_ms > t->progress_ms ? run_ms - t->progress_ms : 0;
	uint64_t deadline = t->job->spec.deadline_unix_ms;

	return deadline && cell_unix_ms(c, now) + left > deadline;
}

static bool is_available(const bh_cell_t *c, const bh_member_t *m,
			 bh_usec_t now)
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

static double predicted_slowdown(const bh_cell_t *c, const bh_member_t *m,
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
 * Expected slowdown of the most affected service of the worker if a task of the
 * job is added. Measurements lag behind placements, so the slowdown predicted
 * from all placed tasks counts if it is higher.
 */
static double expected_slowdown(const bh_cell_t *c, const bh_member_t *m,
				const bh_job_t *job)
{
	double cpus = job->spec.need.cpu_milli / 1000.0;
	double worst = 1;
	GHashTableIter iter;
	void *name;
	void *measured;

	if (!c->placement->mitigates_interference)
		return 1;
	g_hash_table_iter_init(&iter, m->services);
	while (g_hash_table_iter_next(&iter, &name, &measured)) {
		double now = MAX(predicted_slowdown(c, m, name),
				 *(double *)measured);

		worst = MAX(worst,
			    now + cpus * bh_interfere_expect(c->interfere, name,
							     job->family));
	}
	return worst;
}

/*
 * A job may wait for a worker without interference as long as its deadline
 * allows.
 */
static bool can_defer(const bh_cell_t *c, const bh_job_t *job, bh_usec_t now)
{
	uint64_t deadline = job->spec.deadline_unix_ms;

	if (job->spec.priority >= URGENT_PRIORITY)
		return false;
	return deadline == 0 ||
	       cell_unix_ms(c, now) +
			       DEFER_MIN_RUNS * cell_expected_run_ms(job) <
		       deadline;
}

static bh_member_t *choose_member(bh_cell_t *c, const bh_job_t *job,
				  bh_usec_t now)
{
	bool may_defer =
		c->placement->mitigates_interference && can_defer(c, job, now);
	bh_member_t *best = NULL;
	double best_cost = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, c->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_member_t *m = value;
		bh_place_worker_t w;
		double cost;

		if (!is_available(c, m, now) ||
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
		if (w.slowdown > BH_SLOWDOWN_HIGH && may_defer)
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

static void end_pending_tasks(bh_cell_t *c, bh_job_t *job, bh_outcome_t outcome,
			      const char *reason)
{
	while (!TAILQ_EMPTY(&job->pending))
		cell_end_task(c, TAILQ_FIRST(&job->pending), outcome, reason);
}

static bool is_unplaceable(const bh_cell_t *c, const bh_job_t *job,
			   bh_usec_t now)
{
	return now - MAX(c->leading_since, job->added_at) >=
		       BH_UNPLACEABLE_AFTER_US &&
	       fits_nowhere(c, job);
}

static void place_task(bh_cell_t *c, bh_task_t *t, bh_member_t *m,
		       bh_usec_t now)
{
	t->epoch++;
	t->started_unix_ms = cell_unix_ms(c, now);
	cell_set_phase(t, PHASE_PLACING);
	cell_assign(t, m);
	m->changed_at = now;
	cell_mark_dirty(c, t);
	c->counters.placed++;
}

/* Return: whether a task of the job was placed. */
static bool place_next_task(bh_cell_t *c, bh_job_t *job, bh_usec_t now)
{
	bh_task_t *t;
	bh_member_t *m;

	while ((t = TAILQ_FIRST(&job->pending)) != NULL &&
	       will_miss_deadline(c, t, now))
		cell_end_task(c, t, BH_OUTCOME_EXPIRED,
			      "cannot finish before its deadline");
	if (!t)
		return false;
	m = choose_member(c, job, now);
	if (m)
		place_task(c, t, m, now);
	else if (is_unplaceable(c, job, now))
		end_pending_tasks(c, job, BH_OUTCOME_NOT_RUN,
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

static double quota_share(const bh_job_t *job)
{
	const bh_account_t *a = job->account;
	double quota = a->quota_cpu_milli ? (double)a->quota_cpu_milli : 1e9;

	return (double)a->held_cpu_milli / quota;
}

/*
 * Picks the job of the highest priority; among equals, that of the tenant with
 * the least used share of its quota.
 */
static bh_job_t *next_job(bh_cell_t *c)
{
	bh_job_t *best = NULL;
	bh_job_t *job;

	TAILQ_FOREACH(job, &c->jobs, link) {
		if (best && job->spec.priority < best->spec.priority)
			break;
		if (job->is_skipped || TAILQ_EMPTY(&job->pending) ||
		    !is_within_quota(job))
			continue;
		if (!best || quota_share(job) < quota_share(best))
			best = job;
	}
	return best;
}

void cell_place_pending(bh_cell_t *c, bh_usec_t now)
{
	bh_job_t *job;

	TAILQ_FOREACH(job, &c->jobs, link)
		job->is_skipped = false;
	while ((job = next_job(c)) != NULL)
		job->is_skipped = !place_next_task(c, job, now);
}
