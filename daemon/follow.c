#include "daemon/follow.h"
#include "daemon/tables.h"

/* Rows per page; the store cuts a page of large rows at 1 MB. */
#define PAGE_ROWS 500

/* A reply with more than this in values, which are sent as base64, may have
 * been cut for its size. */
#define WHOLE_REPLY_BYTES_MAX ((size_t)512 * 1024)

#define LIST_TIMEOUT_MS 2000

/* Added to the time that the store may hold a poll. */
#define FEED_TIMEOUT_MARGIN_MS 700

/* Delay after a failed call; it doubles with each failure in a row. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 800

/**
 * struct listing - the listing of one part of the table
 * @from: key from which the next page is read; NULL: the first page
 * @is_due: the call has to be made, or repeated after a failure
 */
typedef struct listing {
	bh_follow_t *follow;
	const char *part;
	char *from;
	bool is_due;
} listing_t;

/**
 * struct bh_follow - a table that is followed
 * @version: version of the store after which the next poll asks for changes
 * @parts_left: parts that are not listed completely
 * @listed_from: when the present listing began
 * @feed_sent_at: when the last poll for changes was sent
 * @refresh_sent_at: when the last call of bh_follow_refresh() was sent
 * @is_refreshing: it has not been answered
 * @current_at: rows that were in the table then have been delivered
 * @is_loaded: the first listing is complete
 * @is_store_lost: the last call failed
 * @is_freed: the owner has freed it; the last call in flight destroys it
 */
struct bh_follow {
	bh_runtime_t *rt;
	bh_store_t *store;
	char *table;
	int64_t wait_ms;
	const bh_follow_ops_t *ops;
	void *ctx;
	uint64_t version;
	unsigned n_parts;
	unsigned parts_left;
	listing_t listings[BH_TABLE_PARTS];
	bool is_listing;
	bool is_loaded;
	bool is_store_lost;
	bool is_freed;
	unsigned n_in_flight;
	bool is_in_callback;
	int64_t retry_ms;
	bh_usec_t answered_at;
	bool has_answered;
	bh_usec_t listed_from;
	bh_usec_t feed_sent_at;
	bh_usec_t refresh_sent_at;
	bool is_refreshing;
	bh_usec_t current_at;
	struct event *retry_timer;
};

static void send_calls(bh_follow_t *f);

static void destroy(bh_follow_t *f)
{
	event_free(f->retry_timer);
	for (unsigned i = 0; i < f->n_parts; i++)
		g_free(f->listings[i].from);
	g_free(f->table);
	g_free(f);
}

static void retry_later(bh_follow_t *f)
{
	struct timeval delay = {f->retry_ms / 1000,
				(f->retry_ms % 1000) * 1000};

	/* Parts that fail at the same time count as one failure. */
	if (event_pending(f->retry_timer, EV_TIMEOUT, NULL))
		return;
	f->retry_ms = MIN(f->retry_ms * 2, RETRY_MAX_MS);
	event_add(f->retry_timer, &delay);
}

/* Whether a later row of the reply has the same key. Only tables without parts
 * are followed with @is_small. */
static bool is_replaced(const bh_store_reply_t *reply, size_t i)
{
	for (size_t k = i + 1; k < reply->n_rows; k++) {
		if (strcmp(reply->rows[k].key, reply->rows[i].key) == 0)
			return true;
	}
	return false;
}

static void deliver_rows(bh_follow_t *f, const bh_store_reply_t *reply)
{
	for (size_t i = 0; i < reply->n_rows && !f->is_freed; i++) {
		if (!f->ops->is_small || !is_replaced(reply, i))
			f->ops->row(f->ctx, &reply->rows[i]);
	}
}

/* Whether a reply of the feed has all changes up to when it was made. */
static bool is_whole(const bh_store_reply_t *reply)
{
	size_t bytes = 0;

	for (size_t i = 0; i < reply->n_rows; i++)
		bytes += reply->rows[i].len;
	return reply->n_rows < PAGE_ROWS && bytes <= WHOLE_REPLY_BYTES_MAX;
}

static void update_store_state(bh_follow_t *f, const bh_store_reply_t *reply)
{
	bool is_ok = reply->status == BH_STORE_OK ||
		     reply->status == BH_STORE_COMPACTED;

	if (is_ok) {
		f->answered_at = bh_runtime_now();
		f->has_answered = true;
	}
	if (is_ok == !f->is_store_lost)
		return;
	f->is_store_lost = !is_ok;
	bh_log_event(&f->rt->log, is_ok ? BH_LOG_INFO : BH_LOG_WARN,
		     is_ok ? "store available" : "store unavailable", "table",
		     f->table, "outcome", bh_store_status_name(reply->status),
		     NULL);
}

static void begin_listing(bh_follow_t *f)
{
	f->is_listing = true;
	f->listed_from = bh_runtime_now();
	if (f->ops->relisted)
		f->ops->relisted(f->ctx);
	f->version = UINT64_MAX;
	f->parts_left = f->n_parts;
	for (unsigned i = 0; i < f->n_parts; i++) {
		g_clear_pointer(&f->listings[i].from, g_free);
		f->listings[i].is_due = true;
	}
}

static void note_read(bh_follow_t *f, uint64_t version, bh_usec_t read_at)
{
	if (f->ops->read && !f->is_freed)
		f->ops->read(f->ctx, version, read_at);
}

static void end_listing(bh_follow_t *f)
{
	f->is_listing = false;
	note_read(f, f->version, f->listed_from);
	if (f->is_loaded)
		return;
	f->is_loaded = true;
	f->ops->loaded(f->ctx);
}

static void handle_page(listing_t *l, const bh_store_reply_t *reply)
{
	bh_follow_t *f = l->follow;

	/* The feed starts at the version of the oldest first page, so that
	 * it repeats changes made while later pages were read. */
	if (!l->from)
		f->version = MIN(f->version, reply->version);
	deliver_rows(f, reply);
	if (f->is_freed)
		return;
	if (reply->has_more && reply->n_rows) {
		g_free(l->from);
		/* The next key in byte order after the last one read. */
		l->from = g_strconcat(reply->rows[reply->n_rows - 1].key, "!",
				      NULL);
		l->is_due = true;
		return;
	}
	f->parts_left--;
	if (f->parts_left == 0)
		end_listing(f);
}

/* Return: false if the owner has freed @f. */
static bool begin_reply(bh_follow_t *f, const bh_store_reply_t *reply)
{
	f->n_in_flight--;
	if (f->is_freed) {
		if (f->n_in_flight == 0)
			destroy(f);
		return false;
	}
	f->is_in_callback = true;
	update_store_state(f, reply);
	if (reply->status == BH_STORE_OK)
		f->retry_ms = RETRY_MIN_MS;
	return true;
}

static void end_reply(bh_follow_t *f)
{
	f->is_in_callback = false;
	if (f->is_freed && f->n_in_flight == 0)
		destroy(f);
}

static void on_list(void *user, const bh_store_reply_t *reply)
{
	listing_t *l = user;
	bh_follow_t *f = l->follow;

	if (!begin_reply(f, reply))
		return;
	if (reply->status == BH_STORE_OK) {
		handle_page(l, reply);
		if (!f->is_freed)
			send_calls(f);
	} else {
		l->is_due = true;
		retry_later(f);
	}
	end_reply(f);
}

static void on_feed(void *user, const bh_store_reply_t *reply)
{
	bh_follow_t *f = user;

	if (!begin_reply(f, reply))
		return;
	if (reply->status == BH_STORE_COMPACTED) {
		begin_listing(f);
		send_calls(f);
	} else if (reply->status != BH_STORE_OK) {
		if (f->ops->is_small)
			begin_listing(f);
		retry_later(f);
	} else {
		f->version = MAX(f->version, reply->version);
		if (is_whole(reply))
			f->current_at = MAX(f->current_at, f->feed_sent_at);
		deliver_rows(f, reply);
		note_read(f, reply->version,
			  is_whole(reply) ? f->feed_sent_at : 0);
		if (!f->is_freed)
			send_calls(f);
	}
	end_reply(f);
}

/* Rows that the poll returns too are delivered twice, as after a listing. */
static void on_refreshed(void *user, const bh_store_reply_t *reply)
{
	bh_follow_t *f = user;

	if (!begin_reply(f, reply))
		return;
	f->is_refreshing = false;
	/* A listing of a small table replaces what was delivered before. */
	if (reply->status == BH_STORE_OK &&
	    !(f->ops->is_small && f->is_listing)) {
		if (is_whole(reply))
			f->current_at = MAX(f->current_at, f->refresh_sent_at);
		deliver_rows(f, reply);
		note_read(f, reply->version,
			  is_whole(reply) ? f->refresh_sent_at : 0);
	}
	end_reply(f);
}

static void list_part(bh_follow_t *f, listing_t *l)
{
	l->is_due = false;
	f->n_in_flight++;
	bh_store_list(f->store, f->table, l->part, l->from, PAGE_ROWS,
		      LIST_TIMEOUT_MS, on_list, l);
}

/* Parts are listed concurrently, so that a slow store costs one round trip
 * instead of one for each part. */
static void send_calls(bh_follow_t *f)
{
	if (!f->is_listing) {
		f->n_in_flight++;
		f->feed_sent_at = bh_runtime_now();
		bh_store_feed(f->store, f->table, f->version, f->wait_ms,
			      f->wait_ms + FEED_TIMEOUT_MARGIN_MS, on_feed, f);
		return;
	}
	for (unsigned i = 0; i < f->n_parts; i++) {
		if (f->listings[i].is_due)
			list_part(f, &f->listings[i]);
	}
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_calls(arg);
}

bh_follow_t *bh_follow_new(bh_runtime_t *rt, bh_store_t *store,
			   const char *table, int64_t wait_ms,
			   const bh_follow_ops_t *ops, void *ctx)
{
	bh_follow_t *f = g_new0(bh_follow_t, 1);
	const char *part;

	f->rt = rt;
	f->store = store;
	f->table = g_strdup(table);
	f->wait_ms = wait_ms;
	f->ops = ops;
	f->ctx = ctx;
	f->retry_ms = RETRY_MIN_MS;
	f->answered_at = bh_runtime_now();
	f->retry_timer = event_new(rt->base, -1, 0, on_retry_timer, f);
	while ((part = bh_table_part_name(table, f->n_parts)) != NULL) {
		f->listings[f->n_parts].follow = f;
		f->listings[f->n_parts++].part = part;
	}
	begin_listing(f);
	send_calls(f);
	return f;
}

void bh_follow_free(bh_follow_t *f)
{
	if (!f || f->is_freed)
		return;
	f->is_freed = true;
	event_del(f->retry_timer);
	if ((f->n_in_flight == 0 || bh_store_is_closed(f->store)) &&
	    !f->is_in_callback)
		destroy(f);
}

void bh_follow_refresh(bh_follow_t *f)
{
	if (!f->is_loaded || f->is_listing || f->is_refreshing)
		return;
	f->n_in_flight++;
	f->is_refreshing = true;
	f->refresh_sent_at = bh_runtime_now();
	/* A small table is refreshed all the time in some deployments: a slow
	 * store must not count as lost for it. */
	bh_store_feed(f->store, f->table, f->version, 0,
		      f->ops->is_small ? LIST_TIMEOUT_MS
				       : FEED_TIMEOUT_MARGIN_MS,
		      on_refreshed, f);
}

int64_t bh_follow_answered_ago_ms(const bh_follow_t *f)
{
	return (bh_runtime_now() - f->answered_at) / 1000;
}

bool bh_follow_has_answered(const bh_follow_t *f)
{
	return f->has_answered;
}

bh_usec_t bh_follow_current_at(const bh_follow_t *f)
{
	return f->current_at;
}

bool bh_follow_is_store_lost(const bh_follow_t *f)
{
	return f->is_store_lost;
}
