#include "core/taskhost.h"

struct bh_taskhost {
	const bh_taskhost_ops_t *ops;
	void *ctx;
	char *name;
	uint64_t incarnation;
	uint64_t term;
	uint64_t report_seq;
	uint64_t changes;
	uint64_t orders_term; /* of the last orders received, even if stale */
	uint64_t orders_seen; /* their number in that term */
	bh_usec_t sent_at[BH_REPORT_TIMES_MAX];
	bh_ledger_t *ledger;
	GHashTable *tasks;
	bh_taskhost_counters_t counters;
};

static void task_free(void *data)
{
	bh_host_task_t *t = data;

	g_free(t->id);
	g_free(t);
}

static bool is_ended(const bh_host_task_t *t)
{
	return t->state >= BH_TASK_DONE;
}

static bh_host_task_t *task_new(bh_taskhost_t *h, const char *id,
				uint32_t epoch)
{
	bh_host_task_t *t = g_new0(bh_host_task_t, 1);

	t->id = g_strdup(id);
	t->epoch = epoch;
	t->first_report_seq = h->report_seq + 1;
	h->changes++;
	g_hash_table_replace(h->tasks, t->id, t);
	return t;
}

static bh_host_task_t *task_find(bh_taskhost_t *h, const char *id,
				 uint32_t epoch)
{
	bh_host_task_t *t = g_hash_table_lookup(h->tasks, id);

	return t && t->epoch == epoch ? t : NULL;
}

static void task_end(bh_taskhost_t *h, bh_host_task_t *t, bh_task_state_t state)
{
	h->changes += t->state != state;
	t->state = state;
	bh_ledger_release(h->ledger, t->id, t->epoch);
}

static void apply_listed(bh_taskhost_t *h, const bh_host_task_t *listed)
{
	bh_host_task_t *t = g_hash_table_lookup(h->tasks, listed->id);

	/* The list may have been made before a later start. */
	if (t && t->epoch > listed->epoch)
		return;
	if (!t || t->epoch != listed->epoch) {
		t = task_new(h, listed->id, listed->epoch);
		t->need = listed->need;
		t->run_ms = listed->run_ms;
	}
	t->is_unlisted = false;
	t->progress_ms = listed->progress_ms;
	t->done_unix_ms = listed->done_unix_ms;
	t->used_cpu_milli = listed->used_cpu_milli;
	t->used_mem_mb = listed->used_mem_mb;
	if (listed->state >= BH_TASK_DONE) {
		task_end(h, t, listed->state);
		return;
	}
	h->changes += t->state != listed->state;
	t->state = listed->state;
	bh_ledger_adopt(h->ledger, t->id, t->epoch, &t->need);
}

/*
 * Whether a task missing from the worker's list is certain to hold no resources
 * there: the list was requested after the worker replied to the start or,
 * without a reply, after the lease had expired, as the worker then refuses the
 * start.
 */
static bool is_known_absent(const bh_host_task_t *t, bh_usec_t requested_at)
{
	if (!t->is_unlisted || is_ended(t))
		return false;
	if (t->state == BH_TASK_STARTING)
		return requested_at > t->lease_until;
	return requested_at > t->started_at;
}

static void end_unlisted(bh_taskhost_t *h, bh_usec_t requested_at)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, h->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_host_task_t *t = value;

		if (is_known_absent(t, requested_at))
			task_end(h, t, BH_TASK_STOPPED);
	}
}

static void mark_unlisted(bh_taskhost_t *h)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, h->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((bh_host_task_t *)value)->is_unlisted = true;
}

static void order_start(bh_taskhost_t *h, const bh_order_t *o,
			bh_usec_t lease_until)
{
	bh_host_task_t *t = g_hash_table_lookup(h->tasks, o->id);
	bh_reserve_result_t result;

	/* The leader repeats the order until a report lists the task. */
	if (t && t->epoch == o->epoch)
		return;
	result = bh_ledger_reserve(h->ledger, o->id, o->epoch, &o->need);
	if (result == BH_RESERVE_STALE || result == BH_RESERVE_NOT_READY) {
		h->counters.refused_epoch++;
		return;
	}
	t = task_new(h, o->id, o->epoch);
	t->need = o->need;
	t->run_ms = o->run_ms;
	t->progress_ms = o->progress_ms;
	t->lease_until = lease_until;
	if (result == BH_RESERVE_FULL) {
		h->counters.refused_full++;
		t->state = BH_TASK_FAILED;
		return;
	}
	t->state = BH_TASK_STARTING;
	h->counters.starts++;
	h->ops->start(h->ctx, t);
}

static void order_stop(bh_taskhost_t *h, bh_host_task_t *t)
{
	if (is_ended(t))
		return;
	t->is_stopping = true;
	h->counters.stops++;
	h->ops->stop(h->ctx, t);
}

static void order_forget(bh_taskhost_t *h, bh_host_task_t *t)
{
	if (!is_ended(t))
		return;
	h->ops->forget(h->ctx, t);
	g_hash_table_remove(h->tasks, t->id);
}

static void apply_order(bh_taskhost_t *h, const bh_order_t *o,
			bh_usec_t lease_until)
{
	bh_host_task_t *t = task_find(h, o->id, o->epoch);

	switch (o->kind) {
	case BH_ORDER_START:
		order_start(h, o, lease_until);
		break;
	case BH_ORDER_STOP:
		if (t)
			order_stop(h, t);
		break;
	case BH_ORDER_FORGET:
		if (t)
			order_forget(h, t);
		break;
	case BH_ORDER_THROTTLE:
		if (t && !is_ended(t))
			h->ops->throttle(h->ctx, t, o->permille);
		break;
	}
}

/* Renews the leases of tasks listed in the report, unless being stopped. */
static void renew(bh_taskhost_t *h, uint64_t report_seq, bh_usec_t lease_until)
{
	g_autoptr(GPtrArray) renewed = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, h->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bh_host_task_t *t = value;

		if (is_ended(t) || t->is_stopping ||
		    t->first_report_seq > report_seq ||
		    t->lease_until >= lease_until)
			continue;
		t->lease_until = lease_until;
		g_ptr_array_add(renewed, t);
	}
	if (renewed->len > 0)
		h->ops->renew(h->ctx, renewed, lease_until);
}

/* Return: 0 if the report's sending time is no longer known. */
static bh_usec_t report_sent_at(const bh_taskhost_t *h, uint64_t seq)
{
	if (seq == 0 || seq > h->report_seq ||
	    h->report_seq - seq >= BH_REPORT_TIMES_MAX)
		return 0;
	return h->sent_at[seq % BH_REPORT_TIMES_MAX];
}

static bool is_stale(const bh_taskhost_t *h, const bh_msg_t *msg,
		     bh_usec_t sent_at, bh_usec_t lease_until, bh_usec_t now)
{
	return msg->term < h->term || msg->incarnation != h->incarnation ||
	       sent_at == 0 || lease_until <= now;
}

static void fill_task(const bh_host_task_t *t, bh_task_info_t *info)
{
	info->id = g_strdup(t->id);
	info->epoch = t->epoch;
	info->state = t->state;
	info->progress_ms = t->progress_ms;
	info->done_unix_ms = t->done_unix_ms;
	info->used_cpu_milli = t->used_cpu_milli;
	info->used_mem_mb = t->used_mem_mb;
}

bh_taskhost_t *bh_taskhost_new(const char *name, uint64_t incarnation,
			       const bh_taskhost_ops_t *ops, void *ctx)
{
	bh_taskhost_t *h = g_new0(bh_taskhost_t, 1);

	h->ops = ops;
	h->ctx = ctx;
	h->name = g_strdup(name);
	h->incarnation = incarnation;
	h->ledger = bh_ledger_new();
	h->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	return h;
}

void bh_taskhost_free(bh_taskhost_t *h)
{
	g_hash_table_destroy(h->tasks);
	bh_ledger_free(h->ledger);
	g_free(h->name);
	g_free(h);
}

void bh_taskhost_handle_listing(bh_taskhost_t *h,
				const bh_resources_t *capacity,
				const bh_host_task_t *tasks, size_t n,
				bh_usec_t requested_at)
{
	mark_unlisted(h);
	for (size_t i = 0; i < n; i++)
		apply_listed(h, &tasks[i]);
	end_unlisted(h, requested_at);
	bh_ledger_set_capacity(h->ledger, capacity);
}

void bh_taskhost_started(bh_taskhost_t *h, const char *id, uint32_t epoch,
			 bool is_ok, bh_usec_t now)
{
	bh_host_task_t *t = task_find(h, id, epoch);

	if (!t || t->state != BH_TASK_STARTING)
		return;
	t->started_at = now;
	h->changes++;
	if (is_ok)
		t->state = BH_TASK_RUNNING;
	else
		task_end(h, t, BH_TASK_FAILED);
}

void bh_taskhost_handle_orders(bh_taskhost_t *h, const bh_msg_t *msg,
			       bh_usec_t now)
{
	bh_usec_t sent_at = report_sent_at(h, msg->seq);
	bh_usec_t lease_until =
		sent_at + (bh_usec_t)msg->lease_ms * BH_USEC_PER_MS;

	if (msg->term >= h->orders_term) {
		h->orders_term = msg->term;
		h->orders_seen = msg->generation;
	}
	if (is_stale(h, msg, sent_at, lease_until, now)) {
		h->counters.stale_orders++;
		return;
	}
	h->changes += h->term != msg->term;
	h->term = msg->term;
	for (size_t i = 0; i < msg->n_orders; i++)
		apply_order(h, &msg->orders[i], lease_until);
	renew(h, msg->seq, lease_until);
}

bool bh_taskhost_fill_report(bh_taskhost_t *h, bh_msg_t *msg, bh_usec_t now)
{
	GHashTableIter iter;
	void *value;

	if (!bh_ledger_is_ready(h->ledger))
		return false;
	h->report_seq++;
	h->sent_at[h->report_seq % BH_REPORT_TIMES_MAX] = now;
	msg->type = BH_MSG_REPORT;
	msg->name = g_strdup(h->name);
	msg->incarnation = h->incarnation;
	msg->seq = h->report_seq;
	msg->term = h->orders_term;
	msg->generation = h->orders_seen;
	msg->capacity = *bh_ledger_capacity(h->ledger);
	msg->tasks = g_new0(bh_task_info_t, g_hash_table_size(h->tasks));
	g_hash_table_iter_init(&iter, h->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fill_task(value, &msg->tasks[msg->n_tasks++]);
	return true;
}

uint64_t bh_taskhost_changes(const bh_taskhost_t *h)
{
	return h->changes;
}

const bh_ledger_t *bh_taskhost_ledger(const bh_taskhost_t *h)
{
	return h->ledger;
}

const bh_taskhost_counters_t *bh_taskhost_counters(const bh_taskhost_t *h)
{
	return &h->counters;
}
