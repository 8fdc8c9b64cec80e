#include "daemon/records.h"
#include "platform/json.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define LIST_LIMIT_DEFAULT 100
/* Rows that one read returns; the last only shows that more follow. */
#define LIST_PAGE_ROWS 1000

struct bh_records {
	bh_runtime_t *rt;
	bh_table_t *table;
	const bh_records_ops_t *ops;
	void *ctx;
	uint64_t revision;
	GHashTable *revisions; /* row key to the revision in effect */
	bool is_polling;
	bool poll_again;
};

/**
 * struct record_call - an operator's request in progress
 * @value: document to write; NULL for a deletion
 * @body: response under construction
 */
typedef struct record_call {
	bh_records_t *records;
	struct evhttp_request *req;
	bh_record_kind_t kind;
	char *name;
	char *key;
	char *value;
	uint64_t expected_revision;
	int64_t limit;
	JsonObject *body;
} record_call_t;

static void call_free(record_call_t *call)
{
	g_free(call->name);
	g_free(call->key);
	g_free(call->value);
	g_clear_pointer(&call->body, json_object_unref);
	g_free(call);
}

static record_call_t *call_new(bh_records_t *records,
			       struct evhttp_request *req,
			       bh_record_kind_t kind, const char *name)
{
	record_call_t *call = g_new0(record_call_t, 1);

	call->records = records;
	call->req = req;
	call->kind = kind;
	call->name = g_strdup(name);
	call->key = g_strdup_printf("record/%s/%s", bh_record_collection(kind),
				    name ? name : "");
	return call;
}

static void reply_store_error(record_call_t *call,
			      const bh_table_reply_t *reply)
{
	bh_http_reply_error(call->req, 503,
			    reply->status == BH_TABLE_UNKNOWN
				    ? "the table service did not respond; a "
				      "change may have taken effect, read the "
				      "record back"
				    : "the table service refused the call; "
				      "nothing was changed");
	call_free(call);
}

static JsonObject *row_object(const bh_row_t *row)
{
	JsonNode *node = row->value
				 ? bh_json_parse(row->value, strlen(row->value))
				 : NULL;
	JsonObject *o;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
		g_clear_pointer(&node, json_node_unref);
		return json_object_new();
	}
	o = json_object_ref(json_node_get_object(node));
	json_node_unref(node);
	return o;
}

static JsonObject *record_object(const bh_row_t *row)
{
	JsonObject *o = row_object(row);
	const char *slash = strrchr(row->key, '/');

	json_object_set_string_member(o, "name", slash ? slash + 1 : row->key);
	json_object_set_int_member(o, "revision", (gint64)row->version);
	return o;
}

static void add_etag(struct evhttp_request *req, uint64_t revision)
{
	g_autofree char *etag =
		g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", revision);

	evhttp_add_header(evhttp_request_get_output_headers(req), "ETag", etag);
}

/* A record that this version cannot parse leaves the previous in effect. */
static void apply_row(bh_records_t *records, const bh_row_t *row)
{
	g_auto(GStrv) path = g_strsplit(row->key, "/", 3);
	uint64_t *known_revision =
		g_hash_table_lookup(records->revisions, row->key);
	g_autoptr(GError) err = NULL;
	bh_record_t *record = NULL;
	bh_record_kind_t kind;

	if (g_strv_length(path) != 3 || !bh_record_kind_parse(path[1], &kind))
		return;
	if (known_revision && row->version && row->version <= *known_revision)
		return;
	if (row->value) {
		record = bh_record_parse(kind, row->value, -1, &err);
		if (!record) {
			bh_log_event(&records->rt->log, BH_LOG_WARN,
				     "record not applied", "record", row->key,
				     "reason", err->message, NULL);
			return;
		}
		known_revision = g_new(uint64_t, 1);
		*known_revision = row->version;
		g_hash_table_replace(records->revisions, g_strdup(row->key),
				     known_revision);
	}
	records->ops->updated(records->ctx, kind, path[2], record);
	bh_record_free(record);
}

static void finish_write(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;
	bh_records_t *records = call->records;
	JsonObject *o;

	if (reply->status == BH_TABLE_CONFLICT && reply->n_rows > 0) {
		o = json_object_new();
		json_object_set_string_member(
			o, "error", "the record has a different revision");
		json_object_set_object_member(o, "current",
					      record_object(&reply->rows[0]));
		bh_http_reply_json(call->req, 409, o);
		call_free(call);
		return;
	}
	if (reply->status != BH_TABLE_OK) {
		reply_store_error(call, reply);
		return;
	}
	o = json_object_new();
	json_object_set_string_member(o, "name", call->name);
	json_object_set_int_member(o, "revision", (gint64)reply->counter);
	add_etag(call->req, reply->counter);
	bh_http_reply_json(call->req, 200, o);
	apply_row(records, &(bh_row_t){.key = call->key,
				       .value = call->value,
				       .version = reply->counter});
	records->ops->committed(records->ctx, call->key, call->value,
				reply->counter);
	call_free(call);
	bh_records_poll(records);
}

/* Resolves a write of unknown outcome by reading back, never by a retry. */
static void on_read_back(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;
	bh_table_reply_t outcome = {.status = BH_TABLE_UNKNOWN};
	const bh_row_t *row = reply->n_rows ? &reply->rows[0] : NULL;
	bool is_own_write;

	if (reply->status != BH_TABLE_OK) {
		reply_store_error(call, &outcome);
		return;
	}
	is_own_write = row ? g_strcmp0(row->value, call->value) == 0 &&
				       row->version != call->expected_revision
			   : call->value == NULL;
	if (is_own_write) {
		outcome.status = BH_TABLE_OK;
		outcome.counter = row ? row->version : reply->counter;
	} else if (row && row->version != call->expected_revision) {
		outcome.status = BH_TABLE_CONFLICT;
		outcome.n_rows = 1;
		outcome.rows = reply->rows;
	}
	finish_write(call, &outcome);
}

static void on_commit(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;

	if (reply->status == BH_TABLE_UNKNOWN)
		bh_table_get(call->records->table, call->key, on_read_back,
			     call);
	else
		finish_write(call, reply);
}

static void commit(record_call_t *call)
{
	bh_txn_t *txn = bh_txn_new();

	bh_txn_check(txn, call->key, call->expected_revision);
	if (call->value)
		bh_txn_put(txn, call->key, call->value);
	else
		bh_txn_delete(txn, call->key);
	bh_table_commit(call->records->table, txn, on_commit, call);
}

/* Return: false if If-Match is present but not a revision. */
static bool parse_if_match(struct evhttp_request *req, uint64_t *revision)
{
	const char *text = evhttp_find_header(
		evhttp_request_get_input_headers(req), "If-Match");
	g_autofree char *bare = NULL;
	guint64 value;

	*revision = 0;
	if (!text)
		return true;
	bare = g_strdup(text);
	g_strdelimit(bare, "\"", ' ');
	if (!g_ascii_string_to_unsigned(g_strstrip(bare), 10, 0, INT64_MAX,
					&value, NULL))
		return false;
	*revision = value;
	return true;
}

static void handle_put(bh_records_t *records, struct evhttp_request *req,
		       bh_record_kind_t kind, const char *name)
{
	g_autoptr(GError) err = NULL;
	GBytes *body = bh_http_take_body(req);
	gsize len = 0;
	const char *text = body ? g_bytes_get_data(body, &len) : "";
	bh_record_t *record = bh_record_parse(kind, text, (gssize)len, &err);
	record_call_t *call;
	uint64_t expected_revision;

	if (body)
		g_bytes_unref(body);
	if (!record) {
		bh_http_reply_error(req, 400, err->message);
		return;
	}
	if (!parse_if_match(req, &expected_revision)) {
		bh_http_reply_error(req, 400, "If-Match: expected a revision");
		bh_record_free(record);
		return;
	}
	if (!record->cell && kind != BH_RECORD_TENANT)
		bh_record_set_text(record, "cell", records->rt->settings->cell);
	call = call_new(records, req, kind, name);
	call->expected_revision = expected_revision;
	call->value = bh_record_text(record);
	bh_record_free(record);
	commit(call);
}

static void handle_delete(bh_records_t *records, struct evhttp_request *req,
			  bh_record_kind_t kind, const char *name)
{
	record_call_t *call;
	uint64_t expected_revision;

	if (!parse_if_match(req, &expected_revision) ||
	    expected_revision == 0) {
		bh_http_reply_error(req, 400,
				    "If-Match: required; expected a revision");
		return;
	}
	call = call_new(records, req, kind, name);
	call->expected_revision = expected_revision;
	commit(call);
}

static void count_state(JsonObject *counts, const char *state)
{
	gint64 n = json_object_get_int_member_with_default(counts, state, 0);

	json_object_set_int_member(counts, state, n + 1);
}

static const char *task_status(JsonObject *task)
{
	const char *outcome = json_object_get_string_member_with_default(
		task, "outcome", "none");

	if (strcmp(outcome, "none") != 0)
		return outcome;
	return json_object_get_string_member_with_default(task, "state",
							  "pending");
}

static void add_tasks(JsonObject *body, const bh_table_reply_t *reply,
		      int64_t total)
{
	JsonObject *counts = json_object_new();
	JsonArray *tasks = json_array_new();

	for (size_t i = 0; i < reply->n_rows; i++) {
		JsonObject *task = row_object(&reply->rows[i]);
		const char *index = strrchr(reply->rows[i].key, '/');

		json_object_set_string_member(task, "index",
					      index ? index + 1 : "");
		count_state(counts, task_status(task));
		json_array_add_object_element(tasks, task);
	}
	if ((int64_t)reply->n_rows < total)
		json_object_set_int_member(counts, "pending",
					   total - (int64_t)reply->n_rows);
	json_object_set_object_member(body, "status", counts);
	json_object_set_array_member(body, "task_status", tasks);
}

static void on_tasks(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;
	int64_t total =
		json_object_get_int_member_with_default(call->body, "tasks", 1);

	if (reply->status != BH_TABLE_OK) {
		reply_store_error(call, reply);
		return;
	}
	add_tasks(call->body, reply, total);
	bh_http_reply_json(call->req, 200, g_steal_pointer(&call->body));
	call_free(call);
}

static bool has_tasks(bh_record_kind_t kind)
{
	return kind == BH_RECORD_JOB || kind == BH_RECORD_WATCHER;
}

static void on_record_read(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;
	g_autofree char *prefix = NULL;

	if (reply->status != BH_TABLE_OK) {
		reply_store_error(call, reply);
		return;
	}
	if (reply->n_rows == 0) {
		bh_http_reply_error(call->req, 404, "no such record");
		call_free(call);
		return;
	}
	call->body = record_object(&reply->rows[0]);
	add_etag(call->req, reply->rows[0].version);
	if (!has_tasks(call->kind)) {
		bh_http_reply_json(call->req, 200,
				   g_steal_pointer(&call->body));
		call_free(call);
		return;
	}
	prefix = g_strdup_printf("task/%s/%s/",
				 json_object_get_string_member_with_default(
					 call->body, "cell", ""),
				 call->name);
	bh_table_list(call->records->table, prefix, NULL, on_tasks, call);
}

static void on_listed(void *user, const bh_table_reply_t *reply)
{
	record_call_t *call = user;
	JsonObject *o;
	JsonArray *items;
	int64_t n;

	if (reply->status != BH_TABLE_OK) {
		reply_store_error(call, reply);
		return;
	}
	n = MIN((int64_t)reply->n_rows, call->limit);
	o = json_object_new();
	items = json_array_new();
	for (int64_t i = 0; i < n; i++)
		json_array_add_object_element(items,
					      record_object(&reply->rows[i]));
	json_object_set_array_member(o, "items", items);
	if (n < (int64_t)reply->n_rows)
		json_object_set_string_member(
			o, "next", strrchr(reply->rows[n - 1].key, '/') + 1);
	bh_http_reply_json(call->req, 200, o);
	call_free(call);
}

static void handle_list(bh_records_t *records, struct evhttp_request *req,
			bh_record_kind_t kind)
{
	record_call_t *call = call_new(records, req, kind, NULL);
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	g_autofree char *after = NULL;
	struct evkeyvalq params;
	const char *value;

	call->limit = LIST_LIMIT_DEFAULT;
	if (evhttp_parse_query_str(query ? query : "", &params) == 0) {
		value = evhttp_find_header(&params, "limit");
		if (value)
			call->limit = CLAMP(g_ascii_strtoll(value, NULL, 10), 1,
					    LIST_PAGE_ROWS - 1);
		value = evhttp_find_header(&params, "after");
		if (value)
			after = g_strconcat(call->key, value, NULL);
		evhttp_clear_headers(&params);
	}
	bh_table_list(records->table, call->key, after, on_listed, call);
}

static void handle_record(bh_records_t *records, struct evhttp_request *req,
			  bh_record_kind_t kind, const char *name)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_GET: {
		record_call_t *call = call_new(records, req, kind, name);

		bh_table_get(records->table, call->key, on_record_read, call);
		break;
	}
	case EVHTTP_REQ_PUT:
		handle_put(records, req, kind, name);
		break;
	case EVHTTP_REQ_DELETE:
		handle_delete(records, req, kind, name);
		break;
	default:
		bh_http_reply_error(req, 405, "expected GET, PUT or DELETE");
		break;
	}
}

static void on_changes(void *user, const bh_table_reply_t *reply)
{
	bh_records_t *records = user;

	records->is_polling = false;
	if (reply->status == BH_TABLE_OK &&
	    reply->counter >= records->revision) {
		for (size_t i = 0; i < reply->n_rows; i++)
			apply_row(records, &reply->rows[i]);
		records->revision = reply->counter;
	}
	if (records->poll_again)
		bh_records_poll(records);
}

bh_records_t *bh_records_new(bh_runtime_t *rt, bh_table_t *table,
			     const bh_records_ops_t *ops, void *ctx)
{
	bh_records_t *records = g_new0(bh_records_t, 1);

	records->rt = rt;
	records->table = table;
	records->ops = ops;
	records->ctx = ctx;
	records->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return records;
}

void bh_records_free(bh_records_t *records)
{
	g_hash_table_destroy(records->revisions);
	g_free(records);
}

bool bh_records_handle(bh_records_t *records, struct evhttp_request *req,
		       char **path)
{
	bh_record_kind_t kind;

	if (!path[0] || !bh_record_kind_parse(path[0], &kind))
		return false;
	if (!path[1]) {
		handle_list(records, req, kind);
		return true;
	}
	if (path[2])
		return false;
	if (bh_record_name_is_valid(path[1]))
		handle_record(records, req, kind, path[1]);
	else
		bh_http_reply_error(req, 400,
				    "name: expected 1 to 63 of a-z, 0-9, '-', "
				    "'_' and '.'");
	return true;
}

void bh_records_pushed(bh_records_t *records, const bh_row_t *row)
{
	apply_row(records, row);
}

void bh_records_poll(bh_records_t *records)
{
	records->poll_again = records->is_polling;
	if (records->is_polling)
		return;
	records->is_polling = true;
	bh_table_changes(records->table, "record/", records->revision,
			 on_changes, records);
}

uint64_t bh_records_revision(const bh_records_t *records)
{
	return records->revision;
}
