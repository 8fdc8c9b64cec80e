#include "core/cell_impl.h"

static bool is_assigned(const bh_task_t *t, const bh_member_t *m,
			uint32_t epoch)
{
	return t && t->member == m && t->epoch == epoch &&
	       t->phase >= PHASE_PLACED && t->phase <= PHASE_STOPPING;
}

void cell_add_order(GArray *orders, bh_order_kind_t kind, char *id,
		    uint32_t epoch)
{
	bh_order_t o = {.kind = kind, .id = id, .epoch = epoch};

	g_array_append_val(orders, o);
}

/*
 * A reported task that the journal does not place on the member: stops it if it
 * is running. If it ended, the worker may forget it once the task's last change
 * is journalled.
 */
static void handle_orphan(bh_cell_t *c, GArray *orders,
			  const bh_task_info_t *info, const bh_task_t *t)
{
	if (info->state < BH_TASK_DONE) {
		c->counters.strays_stopped++;
		cell_add_order(orders, BH_ORDER_STOP, info->id, info->epoch);
		return;
	}
	if (!t || (!t->is_dirty && !t->is_in_batch))
		cell_add_order(orders, BH_ORDER_FORGET, info->id, info->epoch);
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

	t->ordered_incarnation = t->member->incarnation;
	t->ordered_generation = t->member->orders_sent + 1;
	t->ordered_at = now;
	g_array_append_val(orders, o);
}

/*
 * Whether a task missing from the member's report cannot be running there, now
 * or later. An agent reports a task from the moment it accepts the start order.
 * After an agent restart, a start by its previous incarnation may still be on
 * its way to the worker, which refuses it once the lease has expired.
 */
static bool is_known_absent(const bh_cell_t *c, const bh_task_t *t,
			    bh_usec_t now)
{
	const bh_member_t *m = t->member;

	if (m->term_seen < c->term)
		return false;
	if (t->ordered_incarnation == m->incarnation)
		return m->orders_seen >= t->ordered_generation;
	return now - MAX(t->ordered_at, c->leading_since) >=
	       cell_with_drift(c->config.lease_us);
}

/*
 * A start is repeated only to the member's incarnation that it was sent to
 * first; another one may already have started the task. The same holds for
 * tasks placed by a former leader.
 */
static bool may_order_start(const bh_task_t *t)
{
	return t->phase == PHASE_PLACED && !t->is_adopted &&
	       (t->ordered_incarnation == 0 ||
		t->ordered_incarnation == t->member->incarnation);
}

/* Tasks that the journal places on the member but its report does not list. */
static void handle_missing(bh_cell_t *c, bh_member_t *m, GArray *orders,
			   bh_usec_t now)
{
	bh_task_t *t;
	bh_task_t *next;

	TAILQ_FOREACH_SAFE(t, &m->tasks, in_member, next) {
		if (t->is_reported || t->phase == PHASE_PLACING)
			continue;
		if (may_order_start(t))
			order_start(orders, t, now);
		else if (is_known_absent(c, t, now))
			cell_evict(c, t);
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

void cell_push_starts(bh_cell_t *c, bh_usec_t now)
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

static void sum_usage(bh_member_t *m)
{
	const bh_task_t *t;

	memset(&m->used, 0, sizeof(m->used));
	TAILQ_FOREACH(t, &m->tasks, in_member) {
		m->used.cpu_milli += t->used_cpu_milli;
		m->used.mem_mb += t->used_mem_mb;
	}
}

static bool is_old_report(const bh_member_t *m, const bh_msg_t *report)
{
	if (report->incarnation != m->incarnation)
		return report->incarnation < m->incarnation;
	return report->seq <= m->report_seq;
}

static void apply_report(bh_cell_t *c, bh_member_t *m, const bh_msg_t *report,
			 GArray *orders, bh_usec_t now)
{
	bh_task_t *t;

	TAILQ_FOREACH(t, &m->tasks, in_member)
		t->is_reported = false;
	for (size_t i = 0; i < report->n_tasks; i++) {
		const bh_task_info_t *info = &report->tasks[i];

		t = g_hash_table_lookup(c->tasks, info->id);
		if (!is_assigned(t, m, info->epoch)) {
			handle_orphan(c, orders, info, t);
			continue;
		}
		cell_task_reported(c, t, info, now);
		if (t->phase == PHASE_STOPPING)
			cell_add_order(orders, BH_ORDER_STOP, info->id,
				       info->epoch);
	}
	handle_missing(c, m, orders, now);
	sum_usage(m);
	cell_mitigate(c, m, cell_update_slowdowns(c, m, report, now), now);
	cell_order_mitigation(m, orders);
}

void bh_cell_handle_report(bh_cell_t *c, const bh_msg_t *report, bh_usec_t now)
{
	g_autoptr(GArray) orders = NULL;
	bh_member_t *m;

	if (c->role != BH_CELL_LEADING || now >= c->valid_until)
		return;
	m = cell_member_get(c, report->name, now);
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
	apply_report(c, m, report, orders, now);
	send_orders(c, m, orders, now);
}
