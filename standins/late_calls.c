#include "standins/late_calls.h"
#include "platform/json.h"

#include <string.h>

struct late_calls {
	struct event_base *base;
	late_call_cb_t cb;
	void *ctx;
	FILE *file;
	GRand *rand;
	int64_t until_unix_ms;
	int64_t share_percent;
	int64_t from_ms;
	int64_t to_ms;
	bool counts_from_arrival;
};

/* @req is NULL for a call that an earlier process has received. */
typedef struct pending {
	late_calls_t *owner;
	struct evhttp_request *req;
	JsonNode *record;
} pending_t;

static int64_t get_int(JsonNode *object, const char *name)
{
	return (int64_t)bh_json_number(bh_json_get(object, name));
}

static void append(late_calls_t *l, JsonNode *record)
{
	g_autofree char *text = json_to_string(record, FALSE);

	fprintf(l->file, "%s\n", text);
	fflush(l->file);
}

static void close_connection(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (conn)
		evhttp_connection_free(conn);
	else
		evhttp_request_free(req);
}

static void on_due(evutil_socket_t fd, short what, void *arg)
{
	pending_t *p = arg;
	JsonNode *r = p->record;
	late_call_t call = {
		.path = bh_json_text(bh_json_get(r, "path")),
		.target = bh_json_text(bh_json_get(r, "target")),
		.body = bh_json_get(r, "body"),
		.delay_ms = get_int(r, "delay-ms"),
		.is_former = !p->req,
		.lease_ms = get_int(r, "lease-ms"),
	};

	(void)fd;
	(void)what;
	p->owner->cb(p->owner->ctx, &call);
	if (p->req)
		close_connection(p->req);
	bh_json_free(r);
	g_free(p);
}

/* Takes ownership of @record. */
static void schedule(late_calls_t *l, JsonNode *record,
		     struct evhttp_request *req)
{
	pending_t *p = g_new0(pending_t, 1);
	int64_t ms = MAX(get_int(record, "due-ms") - standin_unix_ms(), 0);
	struct timeval delay = {ms / 1000, (ms % 1000) * 1000};

	p->owner = l;
	p->req = req;
	p->record = record;
	event_base_once(l->base, -1, EV_TIMEOUT, on_due, p, &delay);
}

static void apply_mode(late_calls_t *l, JsonNode *mode)
{
	l->until_unix_ms = get_int(mode, "until-ms");
	l->share_percent = get_int(mode, "share-percent");
	l->from_ms = get_int(mode, "from-ms");
	l->to_ms = get_int(mode, "to-ms");
	l->counts_from_arrival =
		bh_json_is_true(bh_json_get(mode, "counts-from-arrival"));
	g_rand_set_seed(l->rand, (guint32)get_int(mode, "seed"));
}

/* What was due before this process was started found nobody. */
static void read_records(late_calls_t *l, const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		JsonNode *record = bh_json_parse(*line, strlen(*line));

		if (get_int(record, "due-ms") > standin_unix_ms()) {
			schedule(l, record, NULL);
			continue;
		}
		if (get_int(record, "until-ms") > standin_unix_ms())
			apply_mode(l, record);
		bh_json_free(record);
	}
}

late_calls_t *late_calls_new(struct event_base *base, const char *path,
			     late_call_cb_t cb, void *ctx)
{
	late_calls_t *l = g_new0(late_calls_t, 1);

	l->base = base;
	l->cb = cb;
	l->ctx = ctx;
	l->rand = g_rand_new_with_seed(0);
	read_records(l, path);
	l->file = fopen(path, "ae");
	return l->file ? l : NULL;
}

void late_calls_set(late_calls_t *l, JsonObject *mode)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, mode);
	json_object_set_int_member(mode, "until-ms",
				   standin_unix_ms() + get_int(node, "for-ms"));
	append(l, node);
	apply_mode(l, node);
	bh_json_free(node);
}

/* Both numbers are drawn for each call, so that the series does not depend on
 * which calls were late. */
static bool draw(late_calls_t *l, int64_t *delay_ms)
{
	bool is_late = g_rand_int_range(l->rand, 0, 100) < l->share_percent;

	*delay_ms = g_rand_int_range(l->rand, (gint32)l->from_ms,
				     (gint32)MAX(l->to_ms, l->from_ms + 1));
	return is_late;
}

bool late_calls_take(late_calls_t *l, struct evhttp_request *req,
		     const char *target, JsonNode *body, int64_t lease_ms)
{
	JsonObject *record;
	JsonNode *node;
	int64_t delay_ms;

	if (standin_unix_ms() >= l->until_unix_ms || !draw(l, &delay_ms) ||
	    !bh_json_is_object(body))
		return false;
	record = json_object_new();
	json_object_set_int_member(record, "due-ms",
				   standin_unix_ms() + delay_ms);
	json_object_set_int_member(record, "delay-ms", delay_ms);
	if (l->counts_from_arrival)
		json_object_set_int_member(record, "lease-ms", lease_ms);
	json_object_set_string_member(
		record, "path",
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)));
	if (target)
		json_object_set_string_member(record, "target", target);
	json_object_set_member(record, "body", json_node_copy(body));
	node = json_node_new(JSON_NODE_OBJECT);
	json_node_take_object(node, record);
	append(l, node);
	schedule(l, node, req);
	return true;
}
