/*
 * Stand-in for the platform's table service. It keeps rows in memory in key
 * order, runs conditional transactions, and limits the rates of writes and
 * reads. POST /fault?mode=MODE&delay_ms=N injects a fault:
 *   up    no fault
 *   down  refuses every call with 503
 *   slow  replies after the delay
 *   lose  applies transactions and never replies to them
 *   hang  ignores the call and never replies
 * prefix=P limits lose to transactions that put a key with the prefix;
 * count=N limits any mode to the next N calls.
 */
#include "core/bucket.h"
#include "standins/common.h"

#include <string.h>

typedef enum table_mode {
	MODE_UP,
	MODE_DOWN,
	MODE_SLOW,
	MODE_LOSE,
	MODE_HANG,
} table_mode_t;

static const char *const mode_names[] = {"up", "down", "slow", "lose", "hang"};

typedef struct table_row {
	char *value; /* NULL: deleted, the row is kept for /changes */
	uint64_t version;
} table_row_t;

typedef struct table {
	struct event_base *base;
	GTree *rows;
	uint64_t counter;
	table_mode_t mode;
	char *fault_prefix;
	int64_t delay_ms;
	int64_t fault_count;
	bh_bucket_t writes;
	bh_bucket_t reads;
	uint64_t n_writes;
	uint64_t n_reads;
	uint64_t n_rate_limited;
} table_t;

typedef struct delayed_reply {
	struct evhttp_request *req;
	int status;
	JsonObject *body;
} delayed_reply_t;

static void row_free(void *data)
{
	table_row_t *row = data;

	g_free(row->value);
	g_free(row);
}

static int compare_keys(const void *a, const void *b, void *unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void on_delay_elapsed(evutil_socket_t fd, short what, void *arg)
{
	delayed_reply_t *d = arg;

	(void)fd;
	(void)what;
	standin_reply(d->req, d->status, d->body);
	g_free(d);
}

static void consume_fault(table_t *t)
{
	if (t->fault_count > 0 && --t->fault_count == 0)
		t->mode = MODE_UP;
}

static void reply(table_t *t, struct evhttp_request *req, int status,
		  JsonObject *body, bool is_lost)
{
	struct timeval delay = {t->delay_ms / 1000,
				(t->delay_ms % 1000) * 1000};
	delayed_reply_t *d;

	if (is_lost) {
		json_object_unref(body);
		return;
	}
	if (t->mode != MODE_SLOW) {
		standin_reply(req, status, body);
		return;
	}
	consume_fault(t);
	d = g_new0(delayed_reply_t, 1);
	d->req = req;
	d->status = status;
	d->body = body;
	event_base_once(t->base, -1, EV_TIMEOUT, on_delay_elapsed, d, &delay);
}

static JsonObject *error_body(const char *text)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "error", text);
	return o;
}

/* Return: true when a fault or the rate limit consumed the call. */
static bool refuse_if_blocked(table_t *t, struct evhttp_request *req,
			      bh_bucket_t *rate)
{
	if (t->mode == MODE_DOWN) {
		consume_fault(t);
		standin_reply(req, 503, error_body("down"));
		return true;
	}
	if (t->mode == MODE_HANG) {
		consume_fault(t);
		return true;
	}
	if (!bh_bucket_take(rate, 1, standin_now_us())) {
		t->n_rate_limited++;
		standin_reply(req, 429, error_body("rate"));
		return true;
	}
	return false;
}

static void append_row(JsonArray *rows, const char *key, const table_row_t *row)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "key", key);
	if (row && row->value)
		json_object_set_string_member(o, "value", row->value);
	json_object_set_int_member(
		o, "version", row && row->value ? (gint64)row->version : 0);
	json_array_add_object_element(rows, o);
}

static JsonObject *rows_body(const table_t *t, JsonArray *rows)
{
	JsonObject *o = json_object_new();

	json_object_set_int_member(o, "counter", (gint64)t->counter);
	json_object_set_array_member(o, "rows", rows);
	return o;
}

static JsonArray *failed_checks(table_t *t, JsonArray *checks)
{
	JsonArray *failed = json_array_new();
	guint n = checks ? json_array_get_length(checks) : 0;

	for (guint i = 0; i < n; i++) {
		JsonObject *c = json_array_get_object_element(checks, i);
		const char *key = json_object_get_string_member(c, "key");
		table_row_t *row = g_tree_lookup(t->rows, key);
		uint64_t version = row && row->value ? row->version : 0;

		if (version !=
		    (uint64_t)json_object_get_int_member(c, "version"))
			append_row(failed, key, row);
	}
	return failed;
}

static void row_set(table_t *t, const char *key, const char *value)
{
	table_row_t *row = g_new0(table_row_t, 1);

	row->value = g_strdup(value);
	row->version = t->counter;
	g_tree_replace(t->rows, g_strdup(key), row);
}

static bool apply_writes(table_t *t, JsonArray *puts, JsonArray *deletes)
{
	bool hits_prefix = !t->fault_prefix;

	t->counter++;
	for (guint i = 0; puts && i < json_array_get_length(puts); i++) {
		JsonObject *p = json_array_get_object_element(puts, i);
		const char *key = json_object_get_string_member(p, "key");

		row_set(t, key, json_object_get_string_member(p, "value"));
		if (t->fault_prefix && g_str_has_prefix(key, t->fault_prefix))
			hits_prefix = true;
	}
	for (guint i = 0; deletes && i < json_array_get_length(deletes); i++)
		row_set(t, json_array_get_string_element(deletes, i), NULL);
	return hits_prefix;
}

static JsonArray *get_array(JsonObject *o, const char *name)
{
	return json_object_has_member(o, name)
		       ? json_object_get_array_member(o, name)
		       : NULL;
}

static void on_txn(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	JsonObject *body;
	JsonArray *failed;
	bool is_lost = false;
	int status = 409;

	if (refuse_if_blocked(t, req, &t->writes))
		return;
	body = standin_body(req);
	if (!body) {
		standin_reply(req, 400, error_body("not a JSON object"));
		return;
	}
	t->n_writes++;
	failed = failed_checks(t, get_array(body, "checks"));
	if (json_array_get_length(failed) == 0) {
		bool is_hit = apply_writes(t, get_array(body, "puts"),
					   get_array(body, "deletes"));

		status = 200;
		is_lost = t->mode == MODE_LOSE && is_hit;
	}
	if (is_lost)
		consume_fault(t);
	reply(t, req, status, rows_body(t, failed), is_lost);
	json_object_unref(body);
}

static void on_row(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	g_autofree char *key = standin_param(req, "key", "");
	JsonArray *rows;
	table_row_t *row;

	if (refuse_if_blocked(t, req, &t->reads))
		return;
	t->n_reads++;
	rows = json_array_new();
	row = g_tree_lookup(t->rows, key);
	if (row && row->value)
		append_row(rows, key, row);
	reply(t, req, 200, rows_body(t, rows), false);
}

static void collect(table_t *t, const char *prefix, const char *after,
		    uint64_t since, bool with_deleted, int64_t limit,
		    JsonArray *rows)
{
	GTreeNode *node = g_tree_lower_bound(t->rows, *after ? after : prefix);

	for (; node && limit > 0; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const table_row_t *row = g_tree_node_value(node);

		if (!g_str_has_prefix(key, prefix))
			break;
		if (strcmp(key, after) == 0 || row->version <= since ||
		    (!row->value && !with_deleted))
			continue;
		append_row(rows, key, row);
		limit--;
	}
}

static void on_rows(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	g_autofree char *prefix = standin_param(req, "prefix", "");
	g_autofree char *after = standin_param(req, "after", "");
	JsonArray *rows;

	if (refuse_if_blocked(t, req, &t->reads))
		return;
	t->n_reads++;
	rows = json_array_new();
	collect(t, prefix, after, 0, false,
		standin_param_int(req, "limit", 1000), rows);
	reply(t, req, 200, rows_body(t, rows), false);
}

static void on_changes(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	g_autofree char *prefix = standin_param(req, "prefix", "");
	int64_t since = standin_param_int(req, "since", 0);
	JsonArray *rows;

	if (refuse_if_blocked(t, req, &t->reads))
		return;
	t->n_reads++;
	rows = json_array_new();
	collect(t, prefix, "", (uint64_t)since, true, INT64_MAX, rows);
	reply(t, req, 200, rows_body(t, rows), false);
}

static void on_fault(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	g_autofree char *mode = standin_param(req, "mode", "up");

	for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(mode, mode_names[i]) == 0)
			t->mode = (table_mode_t)i;
	}
	t->delay_ms = standin_param_int(req, "delay_ms", 0);
	t->fault_count = standin_param_int(req, "count", 0);
	g_free(t->fault_prefix);
	t->fault_prefix = standin_param(req, "prefix", NULL);
	standin_reply(req, 200, json_object_new());
}

static void on_stats(struct evhttp_request *req, void *ctx)
{
	table_t *t = ctx;
	JsonObject *o = json_object_new();

	json_object_set_int_member(o, "writes", (gint64)t->n_writes);
	json_object_set_int_member(o, "reads", (gint64)t->n_reads);
	json_object_set_int_member(o, "limited", (gint64)t->n_rate_limited);
	json_object_set_int_member(o, "rows", g_tree_nnodes(t->rows));
	standin_reply(req, 200, o);
}

static const standin_route_t routes[] = {
	{EVHTTP_REQ_POST, "/txn", on_txn},
	{EVHTTP_REQ_GET, "/row", on_row},
	{EVHTTP_REQ_GET, "/rows", on_rows},
	{EVHTTP_REQ_GET, "/changes", on_changes},
	{EVHTTP_REQ_POST, "/fault", on_fault},
	{EVHTTP_REQ_GET, "/stats", on_stats},
};

int main(int argc, char **argv)
{
	char *address = NULL;
	double writes = 400;
	double reads = 2000;
	GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &address, "address",
		 "IP:PORT"},
		{"writes", 0, 0, G_OPTION_ARG_DOUBLE, &writes,
		 "writes a second", "N"},
		{"reads", 0, 0, G_OPTION_ARG_DOUBLE, &reads, "reads a second",
		 "N"},
		{0},
	};
	g_autoptr(GOptionContext) options = g_option_context_new(NULL);
	table_t t = {0};

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL) || !address)
		return 2;
	t.base = event_base_new();
	t.rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	bh_bucket_init(&t.writes, writes, writes, standin_now_us());
	bh_bucket_init(&t.reads, reads, reads, standin_now_us());
	if (!standin_serve(t.base, address, routes, G_N_ELEMENTS(routes), &t))
		return 1;
	event_base_dispatch(t.base);
	return 0;
}
