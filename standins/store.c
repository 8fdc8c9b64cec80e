/*
 * Stand-in for the platform's store that follows its published API: rows in
 * tables with conditional transactions, reads in key order, and change feeds.
 * POST /fault?mode=MODE&count=N injects a fault into the next N calls (0: until
 * changed):
 *   up    no fault
 *   down  refuses every call with 503
 *   lose  applies transactions and never replies to them
 *   hang  ignores the call and never replies
 *   slow  takes ms=N for each transaction, runs those of one part in sequence,
 *         and refuses with 429 when the backlog of the part exceeds a second
 *   late-removals  a transaction that removes rows gets no reply, and is
 * carried out after ms=N if its condition still holds
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <event2/buffer.h>
#include <string.h>

#define PAGE_MAX 500

/* Value bytes after which a feed's reply ends, and changes that are kept. */
#define FEED_BYTES_MAX (1 << 20)
#define HISTORY_MAX    4000

/* A transaction beyond one of these limits is refused with 400, unless it has
 * no condition: tests write rows of any size that way. */
#define ROW_BYTES_MAX 65536
#define TX_BYTES_MAX  1000000
#define TX_ROWS_MAX   100

typedef enum store_mode {
	MODE_UP,
	MODE_DOWN,
	MODE_LOSE,
	MODE_HANG,
	MODE_SLOW,
	MODE_LATE_REMOVALS,
} store_mode_t;

static const char *const mode_names[] = {"up",	 "down", "lose",
					 "hang", "slow", "late-removals"};

typedef struct store_row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL: deleted, the row is kept for feeds */
	uint64_t version;
} store_row_t;

typedef struct waiter {
	struct store *store;
	struct evhttp_request *req;
	char *table;
	uint64_t after;
	struct event *timeout;
} waiter_t;

typedef struct store {
	struct event_base *base;
	GTree *rows;	    /* "table\npart\nkey" to store_row_t */
	GQueue history;	    /* of store_row_t, each change in order */
	uint64_t forgotten; /* version up to which history is gone */
	uint64_t version;
	GPtrArray *waiters;
	store_mode_t mode;
	int64_t fault_count;
	int64_t slow_ms;
	GHashTable *busy_until; /* part to end of its backlog in us; MODE_SLOW
				   only */
	uint64_t n_writes;
	uint64_t n_reads;
} store_t;

static void row_free(void *data)
{
	store_row_t *row = data;

	g_free(row->table);
	g_free(row->part);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static int compare_strings(const void *a, const void *b, void *user)
{
	(void)user;
	return strcmp(a, b);
}

static char *make_row_key(const char *table, const char *part, const char *key)
{
	return g_strconcat(table, "\n", part, "\n", key, NULL);
}

static store_row_t *find_row(store_t *st, const char *table, const char *part,
			     const char *key)
{
	g_autofree char *name = make_row_key(table, part, key);

	return g_tree_lookup(st->rows, name);
}

static JsonObject *row_to_json(const store_row_t *row)
{
	JsonObject *out = json_object_new();

	json_object_set_string_member(out, "table", row->table);
	json_object_set_string_member(out, "part", row->part);
	json_object_set_string_member(out, "key", row->key);
	json_object_set_int_member(out, "schema-version", (gint64)row->version);
	if (row->value)
		json_object_set_string_member(out, "value", row->value);
	else
		json_object_set_boolean_member(out, "deleted", TRUE);
	return out;
}

static void reply_rows_at(struct evhttp_request *req, int status,
			  JsonArray *rows, bool has_more, uint64_t version)
{
	JsonObject *body = json_object_new();

	json_object_set_array_member(body, "rows", rows);
	json_object_set_int_member(body, "schema-version", (gint64)version);
	json_object_set_int_member(body, "now-ms", standin_now_us() / 1000);
	json_object_set_boolean_member(body, "has-more", has_more);
	standin_reply(req, status, body);
}

static void reply_rows(store_t *st, struct evhttp_request *req, int status,
		       JsonArray *rows, bool has_more)
{
	reply_rows_at(req, status, rows, has_more, st->version);
}

static void waiter_free(void *data)
{
	waiter_t *w = data;

	event_free(w->timeout);
	g_free(w->table);
	g_free(w);
}

typedef struct collect {
	const char *table;
	const char *part;
	const char *from;
	JsonArray *rows;
	size_t limit;
	bool has_more;
} collect_t;

static gboolean collect_row(gpointer key, gpointer value, gpointer user)
{
	const store_row_t *row = value;
	collect_t *c = user;

	(void)key;
	if (strcmp(row->table, c->table) != 0 ||
	    strcmp(row->part, c->part) != 0 || !row->value ||
	    (c->from && strcmp(row->key, c->from) < 0))
		return FALSE;
	if (json_array_get_length(c->rows) == c->limit) {
		c->has_more = true;
		return TRUE;
	}
	json_array_add_object_element(c->rows, row_to_json(row));
	return FALSE;
}

/* Collects each change since @after, also those that later ones replaced, as
 * far as one reply holds them.
 *
 * @version: set to the version up to which they are complete */
static JsonArray *collect_changes(store_t *st, const char *table,
				  uint64_t after, uint64_t *version)
{
	JsonArray *rows = json_array_new();
	size_t bytes = 0;

	for (GList *i = st->history.head; i; i = i->next) {
		const store_row_t *row = i->data;

		if (row->version <= after || strcmp(row->table, table) != 0)
			continue;
		if (bytes > FEED_BYTES_MAX && row->version > *version)
			return rows;
		json_array_add_object_element(rows, row_to_json(row));
		bytes += row->value ? strlen(row->value) : 0;
		*version = row->version;
	}
	*version = st->version;
	return rows;
}

static void answer_waiters(store_t *st)
{
	for (guint i = 0; i < st->waiters->len;) {
		waiter_t *w = st->waiters->pdata[i];
		uint64_t version = 0;
		JsonArray *rows =
			collect_changes(st, w->table, w->after, &version);

		if (json_array_get_length(rows) == 0) {
			json_array_unref(rows);
			i++;
			continue;
		}
		reply_rows_at(w->req, 200, rows, false, version);
		g_ptr_array_remove_index(st->waiters, i);
	}
}

static void on_wait_timeout(evutil_socket_t fd, short what, void *arg)
{
	waiter_t *w = arg;

	(void)fd;
	(void)what;
	reply_rows(w->store, w->req, 200, json_array_new(), false);
	g_ptr_array_remove(w->store->waiters, w);
}

/* Return: true when a fault consumed the call; no further reply is sent. */
static bool apply_fault(store_t *st, struct evhttp_request *req)
{
	store_mode_t mode = st->mode;

	if (mode != MODE_UP && st->fault_count > 0 && --st->fault_count == 0)
		st->mode = MODE_UP;
	if (mode == MODE_DOWN)
		standin_reply(req, 503, json_object_new());
	return mode == MODE_DOWN || mode == MODE_HANG;
}

static const char *get_string(JsonNode *object, const char *name)
{
	return bh_json_text(bh_json_get(object, name));
}

static bool check_revisions(store_t *st, JsonNode *checks, JsonArray *rows)
{
	bool is_ok = true;

	for (size_t i = 0; i < bh_json_size(checks); i++) {
		JsonNode *check = bh_json_at(checks, i);
		uint64_t expected_version = (uint64_t)bh_json_number(
			bh_json_get(check, "schema-version"));
		store_row_t *row = find_row(st, get_string(check, "table"),
					    get_string(check, "part"),
					    get_string(check, "key"));
		uint64_t current_version = row && row->value ? row->version : 0;

		if (current_version == expected_version)
			continue;
		is_ok = false;
		if (current_version)
			json_array_add_object_element(rows, row_to_json(row));
	}
	return is_ok;
}

static void keep_history(store_t *st, const store_row_t *row)
{
	store_row_t *copy = g_new0(store_row_t, 1);

	copy->table = g_strdup(row->table);
	copy->part = g_strdup(row->part);
	copy->key = g_strdup(row->key);
	copy->value = g_strdup(row->value);
	copy->version = row->version;
	g_queue_push_tail(&st->history, copy);
	if (st->history.length <= HISTORY_MAX)
		return;
	copy = g_queue_pop_head(&st->history);
	st->forgotten = copy->version;
	row_free(copy);
}

static void apply_entries(store_t *st, JsonNode *entries, bool is_deleted)
{
	for (size_t i = 0; i < bh_json_size(entries); i++) {
		JsonNode *entry = bh_json_at(entries, i);
		store_row_t *row = g_new0(store_row_t, 1);

		row->table = g_strdup(get_string(entry, "table"));
		row->part = g_strdup(get_string(entry, "part"));
		row->key = g_strdup(get_string(entry, "key"));
		if (!is_deleted)
			row->value = g_strdup(get_string(entry, "value"));
		row->version = st->version;
		keep_history(st, row);
		g_tree_replace(st->rows,
			       make_row_key(row->table, row->part, row->key),
			       row);
	}
}

/* Return: the part that all entries share, or NULL. */
static const char *get_single_part(JsonNode *root)
{
	static const char *const lists[] = {"expected-rev", "puts", "remove"};
	const char *part = NULL;

	for (size_t k = 0; k < G_N_ELEMENTS(lists); k++) {
		JsonNode *list = bh_json_get(root, lists[k]);

		for (size_t i = 0; i < bh_json_size(list); i++) {
			const char *next =
				get_string(bh_json_at(list, i), "part");

			if (part && g_strcmp0(part, next) != 0)
				return NULL;
			part = next;
		}
	}
	return part;
}

/* @req: NULL if it gets no reply */
static void run_tx(store_t *st, struct evhttp_request *req, JsonNode *root)
{
	bool is_lost = !req || st->mode == MODE_LOSE;
	JsonArray *rows = json_array_new();
	bool is_ok;

	is_ok = check_revisions(st, bh_json_get(root, "expected-rev"), rows);
	if (is_ok) {
		st->version++;
		apply_entries(st, bh_json_get(root, "puts"), false);
		apply_entries(st, bh_json_get(root, "remove"), true);
	}
	if (is_lost)
		json_array_unref(rows);
	else
		reply_rows(st, req, is_ok ? 200 : 412, rows, false);
	if (is_ok)
		answer_waiters(st);
}

typedef struct slow_tx {
	store_t *store;
	struct evhttp_request *req;
	JsonNode *root;
} slow_tx_t;

static void on_slow_tx(evutil_socket_t fd, short what, void *arg)
{
	slow_tx_t *tx = arg;

	(void)fd;
	(void)what;
	run_tx(tx->store, tx->req, tx->root);
	bh_json_free(tx->root);
	g_free(tx);
}

static void queue_tx(store_t *st, struct evhttp_request *req, JsonNode *root,
		     const char *part)
{
	int64_t now = standin_now_us();
	int64_t *until = g_hash_table_lookup(st->busy_until, part);
	struct timeval delay;
	slow_tx_t *tx;

	if (!until) {
		until = g_new0(int64_t, 1);
		g_hash_table_insert(st->busy_until, g_strdup(part), until);
	}
	if (*until > now + G_USEC_PER_SEC) {
		standin_reply(req, 429, json_object_new());
		bh_json_free(root);
		return;
	}
	*until = MAX(*until, now) + st->slow_ms * 1000;
	delay.tv_sec = (*until - now) / G_USEC_PER_SEC;
	delay.tv_usec = (*until - now) % G_USEC_PER_SEC;
	tx = g_new0(slow_tx_t, 1);
	tx->store = st;
	tx->req = req;
	tx->root = root;
	event_base_once(st->base, -1, EV_TIMEOUT, on_slow_tx, tx, &delay);
}

static void run_tx_late(store_t *st, JsonNode *root)
{
	struct timeval delay = {st->slow_ms / 1000, st->slow_ms % 1000 * 1000};
	slow_tx_t *tx = g_new0(slow_tx_t, 1);

	tx->store = st;
	tx->root = root;
	event_base_once(st->base, -1, EV_TIMEOUT, on_slow_tx, tx, &delay);
}

static bool is_within_limits(JsonNode *root, size_t bytes)
{
	JsonNode *puts = bh_json_get(root, "puts");
	size_t checks = bh_json_size(bh_json_get(root, "expected-rev"));
	size_t rows = checks + bh_json_size(puts) +
		      bh_json_size(bh_json_get(root, "remove"));

	if (checks == 0)
		return true;
	for (size_t i = 0; i < bh_json_size(puts); i++) {
		const char *value = get_string(bh_json_at(puts, i), "value");
		gsize len = 0;

		g_free(value && *value ? g_base64_decode(value, &len) : NULL);
		if (len > ROW_BYTES_MAX)
			return false;
	}
	return rows <= TX_ROWS_MAX && bytes <= TX_BYTES_MAX;
}

static void on_tx(struct evhttp_request *req, void *ctx)
{
	store_t *st = ctx;
	const char *part;
	JsonNode *root;
	GBytes *bytes;
	size_t size;

	if (apply_fault(st, req))
		return;
	st->n_writes++;
	bytes = bh_http_take_body(req);
	size = g_bytes_get_size(bytes);
	root = bh_json_parse_bytes(bytes);
	g_bytes_unref(bytes);
	part = is_within_limits(root, size) ? get_single_part(root) : NULL;
	if (part && st->mode == MODE_SLOW) {
		queue_tx(st, req, root, part);
		return;
	}
	if (part && st->mode == MODE_LATE_REMOVALS &&
	    bh_json_size(bh_json_get(root, "remove")) > 0) {
		run_tx_late(st, root);
		return;
	}
	if (part)
		run_tx(st, req, root);
	else
		standin_reply(req, 400, json_object_new());
	bh_json_free(root);
}

static void on_get(struct evhttp_request *req, void *ctx)
{
	store_t *st = ctx;
	g_autofree char *table = standin_param(req, "table", "");
	g_autofree char *part = standin_param(req, "part", "");
	g_autofree char *from = standin_param(req, "from", "");
	collect_t c = {
		.table = table,
		.part = part,
		.from = *from ? from : NULL,
		.rows = json_array_new(),
		.limit = (size_t)standin_param_int(req, "limit", PAGE_MAX)};

	if (apply_fault(st, req)) {
		json_array_unref(c.rows);
		return;
	}
	st->n_reads++;
	g_tree_foreach(st->rows, collect_row, &c);
	reply_rows(st, req, 200, c.rows, c.has_more);
}

static void on_feed(struct evhttp_request *req, void *ctx)
{
	store_t *st = ctx;
	g_autofree char *table = standin_param(req, "table", "");
	uint64_t after = (uint64_t)standin_param_int(req, "after", 0);
	int64_t wait = standin_param_int(req, "wait-ms", 0);
	struct timeval tv = {wait / 1000, (wait % 1000) * 1000};
	uint64_t version = after;
	JsonArray *rows;
	waiter_t *w;

	if (apply_fault(st, req))
		return;
	st->n_reads++;
	if (after < st->forgotten) {
		standin_reply(req, 410, json_object_new());
		return;
	}
	rows = collect_changes(st, table, after, &version);
	if (json_array_get_length(rows) > 0) {
		reply_rows_at(req, 200, rows, false, version);
		return;
	}
	json_array_unref(rows);
	w = g_new0(waiter_t, 1);
	w->store = st;
	w->req = req;
	w->table = g_strdup(table);
	w->after = after;
	w->timeout = event_new(st->base, -1, 0, on_wait_timeout, w);
	event_add(w->timeout, &tv);
	g_ptr_array_add(st->waiters, w);
}

static void on_fault(struct evhttp_request *req, void *ctx)
{
	store_t *st = ctx;
	g_autofree char *mode = standin_param(req, "mode", "up");

	st->fault_count = standin_param_int(req, "count", 0);
	st->slow_ms = standin_param_int(req, "ms", 200);
	for (int i = 0; i < (int)G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(mode, mode_names[i]) == 0)
			st->mode = (store_mode_t)i;
	}
	standin_reply(req, 200, json_object_new());
}

static void on_stats(struct evhttp_request *req, void *ctx)
{
	store_t *st = ctx;
	JsonObject *body = json_object_new();

	json_object_set_int_member(body, "writes", (gint64)st->n_writes);
	json_object_set_int_member(body, "reads", (gint64)st->n_reads);
	standin_reply(req, 200, body);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/rows-tx", on_tx},
		{EVHTTP_REQ_GET, "/rows-get", on_get},
		{EVHTTP_REQ_GET, "/rows-feed", on_feed},
		{EVHTTP_REQ_POST, "/fault", on_fault},
		{EVHTTP_REQ_GET, "/stats", on_stats},
	};
	store_t st = {.base = event_base_new()};

	if (argc != 3 || strcmp(argv[1], "--listen") != 0) {
		fprintf(stderr, "usage: standin-store --listen IP:PORT\n");
		return 2;
	}
	st.rows = g_tree_new_full(compare_strings, NULL, g_free, row_free);
	st.busy_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	st.waiters = g_ptr_array_new_with_free_func(waiter_free);
	if (!standin_serve(st.base, argv[2], routes, G_N_ELEMENTS(routes),
			   &st)) {
		fprintf(stderr, "standin-store: cannot listen on %s\n",
			argv[2]);
		return 1;
	}
	return event_base_dispatch(st.base) < 0;
}
