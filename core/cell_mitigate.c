#include "core/cell_impl.h"

static void collect_neighbours(const bh_member_t *m, GArray *out)
{
	const bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		bh_neighbour_t n = {t->job->family, 0};

		if (t->phase != PHASE_RUNNING)
			continue;
		n.cpus = cell_task_cpus(t);
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

/* Measurements from before the last change don't apply to the current mix. */
static bool is_settled(const bh_member_t *m, bh_usec_t now)
{
	return now - m->changed_at >= BH_MITIGATION_SETTLE_US;
}

double cell_update_slowdowns(bh_cell_t *c, bh_member_t *m,
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

/*
 * Whether the task would meet its deadline even if throttled. Run time
 * estimates can be far off, hence the margin.
 */
static bool can_afford_throttle(const bh_cell_t *c, const bh_task_t *t,
				bh_usec_t now)
{
	uint64_t run_ms = cell_expected_run_ms(t->job);
	uint64_t left = run_ms > t->progress_ms ? run_ms - t->progress_ms : 0;
	uint64_t deadline = t->job->spec.deadline_unix_ms;

	left = MAX(left, run_ms / 2) * 1000 / BH_THROTTLE_PERMILLE;
	return deadline == 0 ||
	       cell_unix_ms(c, now) + DEADLINE_MARGIN_FACTOR * left < deadline;
}

/*
 * The running task that slows services most, among those at @permille whose
 * deadline allows a throttle.
 */
static bh_task_t *find_worst_neighbour(const bh_cell_t *c, const bh_member_t *m,
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

static void set_throttle(bh_member_t *m, bh_task_t *t, uint32_t permille,
			 bh_usec_t now)
{
	cell_add_neighbour(m, t, -cell_task_cpus(t));
	t->permille = permille;
	cell_add_neighbour(m, t, cell_task_cpus(t));
	t->throttle_orders_left = THROTTLE_ORDER_REPEATS;
	m->changed_at = now;
	m->mitigated_at = now;
}

/* Throttles one more task; once all are throttled, moves the worst one. */
static void throttle_or_move(bh_cell_t *c, bh_member_t *m, double slowdown,
			     bh_usec_t now)
{
	bh_task_t *t = find_worst_neighbour(c, m, 1000, now);

	if (t) {
		c->counters.throttles++;
		set_throttle(m, t, BH_THROTTLE_PERMILLE, now);
		return;
	}
	/* An eviction costs more than a slightly slow service. */
	if (slowdown < BH_SLOWDOWN_MOVE)
		return;
	t = find_worst_neighbour(c, m, BH_THROTTLE_PERMILLE, now);
	if (!t || !t->job->spec.is_idempotent)
		return;
	c->counters.moves++;
	t->is_moving = true;
	m->mitigated_at = now;
}

static void unthrottle_one(bh_member_t *m, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		if (t->permille == 1000 || t->is_moving)
			continue;
		set_throttle(m, t, 1000, now);
		return;
	}
}

static void unthrottle_urgent(bh_cell_t *c, bh_member_t *m, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		if (t->permille < 1000 && !can_afford_throttle(c, t, now))
			set_throttle(m, t, 1000, now);
	}
}

void cell_mitigate(bh_cell_t *c, bh_member_t *m, double slowdown, bh_usec_t now)
{
	unthrottle_urgent(c, m, now);
	if (slowdown < BH_SLOWDOWN_HIGH)
		m->slow_since = now;
	if (slowdown > BH_SLOWDOWN_NORMAL)
		m->normal_since = now;
	if (!c->placement->mitigates_interference ||
	    now - m->mitigated_at < BH_MITIGATION_SETTLE_US)
		return;
	if (now - m->slow_since >= BH_MITIGATION_SETTLE_US / 4)
		throttle_or_move(c, m, slowdown, now);
	else if (now - m->normal_since >= BH_MITIGATION_RELEASE_US)
		unthrottle_one(m, now);
}

void cell_order_mitigation(bh_member_t *m, GArray *orders)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member) {
		bh_order_t o = {.kind = BH_ORDER_THROTTLE,
				.id = t->id,
				.epoch = t->epoch,
				.permille = t->permille};

		if (t->is_moving && t->phase == PHASE_RUNNING)
			cell_add_order(orders, BH_ORDER_STOP, t->id, t->epoch);
		if (t->throttle_orders_left == 0)
			continue;
		t->throttle_orders_left--;
		g_array_append_val(orders, o);
	}
}
