#include "daemon/follow.h"

/* Rows of a page; a page of large rows is cut by the store at 1 MB. */
#define PAGE_ROWS 500

#define LIST_TIMEOUT_MS 2000

/* On top of the time that the store may hold a call. */
#define FEED_SLACK_MS 700

/* After an answer that brought nothing, and after a failure. */
#define AGAIN_FIRST_MS 100
#define AGAIN_MAX_MS   800

struct bh_follow {
	bh_runtime_t *rt;
	bh_store_t *store;
	char *table;
	int64_t wait_ms;
	const bh_follow_ops_t *ops;
	void *ctx;
	uint64_t version;
	char *from;
	bool is_listing;
	bool is_loaded;
	bool is_lost;
	bool is_freed;
	bool is_in_flight;
	bool is_in_callback;
	int64_t again_ms;
	bh_usec_t answered_at;
	struct event *again;
};

static void next_call(bh_follow_t *f);

static void destroy(bh_follow_t *f)
{
	event_free(f->again);
	g_free(f->table);
	g_free(f->from);
	g_free(f);
}

static void retry_later(bh_follow_t *f)
{
	struct timeval delay = {f->again_ms / 1000,
				(f->again_ms % 1000) * 1000};

	f->again_ms = MIN(f->again_ms * 2, AGAIN_MAX_MS);
	event_add(f->again, &delay);
}

static void pass_rows(bh_follow_t *f, const bh_store_reply_t *reply)
{
	for (size_t i = 0; i < reply->n_rows && !f->is_freed; i++)
		f->ops->row(f->ctx, &reply->rows[i]);
}

static void note_state(bh_follow_t *f, const bh_store_reply_t *reply)
{
	bool is_ok = reply->status == BH_STORE_OK ||
		     reply->status == BH_STORE_COMPACTED;

	if (is_ok)
		f->answered_at = bh_runtime_now();
	if (is_ok == !f->is_lost)
		return;
	f->is_lost = !is_ok;
	bh_log_event(&f->rt->log, is_ok ? BH_LOG_INFO : BH_LOG_WARN,
		     is_ok ? "store regained" : "store lost", "table", f->table,
		     "outcome", bh_store_status_name(reply->status), NULL);
}

static void on_list(bh_follow_t *f, const bh_store_reply_t *reply)
{
	/* Changes made while pages were read come again with the feed. */
	if (!f->from)
		f->version = reply->version;
	pass_rows(f, reply);
	if (f->is_freed)
		return;
	if (reply->has_more && reply->n_rows) {
		g_free(f->from);
		/* The next key in byte order after the last one read. */
		f->from = g_strconcat(reply->rows[reply->n_rows - 1].key, "!",
				      NULL);
		next_call(f);
		return;
	}
	g_clear_pointer(&f->from, g_free);
	f->is_listing = false;
	if (!f->is_loaded) {
		f->is_loaded = true;
		f->ops->loaded(f->ctx);
	}
	if (!f->is_freed)
		next_call(f);
}

static void on_feed(bh_follow_t *f, const bh_store_reply_t *reply)
{
	f->version = MAX(f->version, reply->version);
	pass_rows(f, reply);
	if (!f->is_freed)
		next_call(f);
}

static void on_reply(void *user, const bh_store_reply_t *reply)
{
	bh_follow_t *f = user;

	f->is_in_flight = false;
	if (f->is_freed) {
		destroy(f);
		return;
	}
	f->is_in_callback = true;
	note_state(f, reply);
	if (reply->status == BH_STORE_COMPACTED) {
		f->is_listing = true;
		next_call(f);
	} else if (reply->status != BH_STORE_OK) {
		retry_later(f);
	} else {
		f->again_ms = AGAIN_FIRST_MS;
		if (f->is_listing)
			on_list(f, reply);
		else
			on_feed(f, reply);
	}
	f->is_in_callback = false;
	if (f->is_freed && !f->is_in_flight)
		destroy(f);
}

static void next_call(bh_follow_t *f)
{
	f->is_in_flight = true;
	if (f->is_listing)
		bh_store_list(f->store, f->table, f->from, PAGE_ROWS,
			      LIST_TIMEOUT_MS, on_reply, f);
	else
		bh_store_feed(f->store, f->table, f->version, f->wait_ms,
			      f->wait_ms + FEED_SLACK_MS, on_reply, f);
}

static void on_again(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	next_call(arg);
}

bh_follow_t *bh_follow_new(bh_runtime_t *rt, bh_store_t *store,
			   const char *table, int64_t wait_ms,
			   const bh_follow_ops_t *ops, void *ctx)
{
	bh_follow_t *f = g_new0(bh_follow_t, 1);

	f->rt = rt;
	f->store = store;
	f->table = g_strdup(table);
	f->wait_ms = wait_ms;
	f->ops = ops;
	f->ctx = ctx;
	f->is_listing = true;
	f->again_ms = AGAIN_FIRST_MS;
	f->answered_at = bh_runtime_now();
	f->again = event_new(rt->base, -1, 0, on_again, f);
	next_call(f);
	return f;
}

void bh_follow_free(bh_follow_t *f)
{
	if (!f || f->is_freed)
		return;
	f->is_freed = true;
	event_del(f->again);
	if ((!f->is_in_flight || bh_store_is_closed(f->store)) &&
	    !f->is_in_callback)
		destroy(f);
}

int64_t bh_follow_answered_ago_ms(const bh_follow_t *f)
{
	return (bh_runtime_now() - f->answered_at) / 1000;
}
