#include "standins/late_calls.h"
#include "platform/json.h"

#include <string.h>
#include <sys/queue.h>

#define RULES_MAX 4

/**
 * struct rule - calls that get no answer
 * @path: NULL for any
 * @is_acking: only calls that acknowledge ends
 * @is_leasing: only calls that grant a lease
 * @until_unix_ms: the rule applies to calls that arrive before
 * @is_holding: they wait for late_calls_carry_out()
 * @n_left: so many calls more
 */
typedef struct rule {
	char *path;
	bool is_acking;
	bool is_leasing;
	GRand *rand;
	int64_t until_unix_ms;
	int64_t share_percent;
	int64_t from_ms;
	int64_t to_ms;
	bool counts_from_arrival;
	bool is_holding;
	int64_t n_left;
} rule_t;

typedef struct pending pending_t;

struct late_calls {
	struct event_base *base;
	late_call_cb_t cb;
	void *ctx;
	FILE *file;
	int life;
	rule_t rules[RULES_MAX];
	TAILQ_HEAD(, pending) held;
};

/* @req is NULL for a call that an earlier process has received. */
struct pending {
	TAILQ_ENTRY(pending) link;
	late_calls_t *owner;
	struct evhttp_request *req;
	int life;
	JsonNode *record;
};

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

static void carry_out(pending_t *p)
{
	JsonNode *r = p->record;
	late_call_t call = {
		.path = bh_json_text(bh_json_get(r, "path")),
		.target = bh_json_text(bh_json_get(r, "target")),
		.body = bh_json_get(r, "body"),
		.delay_ms = get_int(r, "delay-ms"),
		.is_former = !p->req || p->life != p->owner->life,
		.lease_ms = get_int(r, "lease-ms"),
	};

	p->owner->cb(p->owner->ctx, &call);
	if (p->req)
		close_connection(p->req);
	bh_json_free(r);
	g_free(p);
}

static void on_due(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	carry_out(arg);
}

static bool is_held(JsonNode *record)
{
	return get_int(record, "arrival-ms") > 0;
}

/* Takes ownership of @record. */
static void schedule(late_calls_t *l, JsonNode *record,
		     struct evhttp_request *req)
{
	pending_t *p = g_new0(pending_t, 1);
	int64_t ms = MAX(get_int(record, "due-ms") - standin_unix_ms(), 0);
	struct timeval delay = {ms / 1000, (ms % 1000) * 1000};

	p->owner = l;
	p->life = l->life;
	p->req = req;
	p->record = record;
	if (is_held(record)) {
		TAILQ_INSERT_TAIL(&l->held, p, link);
		return;
	}
	event_base_once(l->base, -1, EV_TIMEOUT, on_due, p, &delay);
}

/* The oldest rule gives way. */
static void add_rule(late_calls_t *l, JsonNode *record)
{
	rule_t *r = &l->rules[0];

	for (int i = 1; i < RULES_MAX; i++) {
		if (l->rules[i].until_unix_ms < r->until_unix_ms)
			r = &l->rules[i];
	}
	g_free(r->path);
	if (r->rand)
		g_rand_free(r->rand);
	*r = (rule_t){
		.path = g_strdup(bh_json_text(bh_json_get(record, "path"))),
		.is_acking = get_int(record, "acking") != 0,
		.is_leasing = get_int(record, "leasing") != 0,
		.rand = g_rand_new_with_seed((guint32)get_int(record, "seed")),
		.until_unix_ms = get_int(record, "until-ms"),
		.share_percent = get_int(record, "share-percent"),
		.from_ms = get_int(record, "from-ms"),
		.to_ms = get_int(record, "to-ms"),
		.counts_from_arrival = bh_json_is_true(
			bh_json_get(record, "counts-from-arrival")),
		.is_holding = get_int(record, "held") != 0,
		.n_left = get_int(record, "count"),
	};
}

static bool is_for(JsonNode *record, const char *path)
{
	return g_strcmp0(bh_json_text(bh_json_get(record, "path")), path) == 0;
}

static void carry_out_held(late_calls_t *l, const char *path)
{
	pending_t *p = TAILQ_FIRST(&l->held);

	while (p) {
		pending_t *next = TAILQ_NEXT(p, link);
		int64_t arrival = get_int(p->record, "arrival-ms");

		if (is_for(p->record, path)) {
			TAILQ_REMOVE(&l->held, p, link);
			json_object_set_int_member(
				json_node_get_object(p->record), "delay-ms",
				standin_unix_ms() - arrival);
			carry_out(p);
		}
		p = next;
	}
}

static void forget_held(late_calls_t *l, const char *path)
{
	pending_t *p = TAILQ_FIRST(&l->held);

	while (p) {
		pending_t *next = TAILQ_NEXT(p, link);

		if (is_for(p->record, path)) {
			TAILQ_REMOVE(&l->held, p, link);
			bh_json_free(p->record);
			g_free(p);
		}
		p = next;
	}
}

static void end_rules(late_calls_t *l, const char *path)
{
	for (int i = 0; i < RULES_MAX; i++) {
		if (g_strcmp0(l->rules[i].path, path) == 0)
			l->rules[i].until_unix_ms = 0;
	}
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

		if (get_int(record, "due-ms") > standin_unix_ms() ||
		    is_held(record)) {
			schedule(l, record, NULL);
			continue;
		}
		if (get_int(record, "until-ms") > standin_unix_ms() &&
		    get_int(record, "held") == 0)
			add_rule(l, record);
		if (bh_json_get(record, "carried-out"))
			forget_held(l, bh_json_text(bh_json_get(
					       record, "carried-out")));
		if (bh_json_get(record, "answered"))
			end_rules(l, bh_json_text(
					     bh_json_get(record, "answered")));
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
	TAILQ_INIT(&l->held);
	read_records(l, path);
	l->file = fopen(path, "ae");
	return l->file ? l : NULL;
}

void late_calls_add_rule(late_calls_t *l, struct evhttp_request *req)
{
	g_autofree char *path = standin_param(req, "path", NULL);
	int64_t ms = standin_param_int(req, "ms", 0);
	JsonObject *record = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, record);
	json_object_set_int_member(record, "until-ms",
				   standin_unix_ms() +
					   standin_param_int(req, "for", 0));
	json_object_set_int_member(record, "acking",
				   standin_param_int(req, "acking", 0));
	json_object_set_int_member(record, "leasing",
				   standin_param_int(req, "leasing", 0));
	json_object_set_int_member(record, "seed",
				   standin_param_int(req, "seed", 0));
	json_object_set_int_member(record, "share-percent",
				   standin_param_int(req, "share", 100));
	json_object_set_int_member(record, "from-ms", ms);
	json_object_set_int_member(record, "to-ms",
				   standin_param_int(req, "to", ms));
	json_object_set_boolean_member(record, "counts-from-arrival",
				       standin_param_int(req, "counts", 0));
	json_object_set_int_member(record, "held",
				   standin_param_int(req, "held", 0));
	json_object_set_int_member(record, "count",
				   standin_param_int(req, "count", G_MAXINT));
	if (path)
		json_object_set_string_member(record, "path", path);
	append(l, node);
	add_rule(l, node);
	bh_json_free(node);
}

static void append_path(late_calls_t *l, const char *what, const char *path)
{
	JsonObject *record = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_object_set_string_member(record, what, path);
	json_node_take_object(node, record);
	append(l, node);
	bh_json_free(node);
}

void late_calls_carry_out(late_calls_t *l, const char *path)
{
	append_path(l, "carried-out", path);
	carry_out_held(l, path);
}

void late_calls_end_rules(late_calls_t *l, const char *path)
{
	append_path(l, "answered", path);
	end_rules(l, path);
}

void late_calls_new_life(late_calls_t *l)
{
	l->life++;
	for (int i = 0; i < RULES_MAX; i++) {
		if (l->rules[i].is_holding)
			l->rules[i].until_unix_ms = 0;
	}
}

/* Both numbers are drawn for each call, so that the series does not depend on
 * which calls were late. */
static bool draw(const rule_t *r, int64_t *delay_ms)
{
	bool is_late = g_rand_int_range(r->rand, 0, 100) < r->share_percent;

	*delay_ms = r->from_ms +
		    g_rand_int_range(r->rand, 0,
				     (gint32)(r->to_ms - r->from_ms) + 1);
	return is_late;
}

static rule_t *find_rule(late_calls_t *l, const char *path, JsonNode *body,
			 int64_t *delay_ms)
{
	for (int i = 0; i < RULES_MAX; i++) {
		rule_t *r = &l->rules[i];

		if (standin_unix_ms() < r->until_unix_ms && r->n_left > 0 &&
		    (!r->path || strcmp(r->path, path) == 0) &&
		    (!r->is_acking || get_int(body, "ack-seq") > 0) &&
		    (!r->is_leasing || get_int(body, "expires-ms") > 0) &&
		    draw(r, delay_ms))
			return r;
	}
	return NULL;
}

bool late_calls_take(late_calls_t *l, struct evhttp_request *req,
		     const char *target, JsonNode *body, int64_t lease_ms)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	int64_t delay_ms;
	rule_t *rule = find_rule(l, path, body, &delay_ms);
	JsonObject *record;
	JsonNode *node;

	if (!rule || !bh_json_is_object(body))
		return false;
	rule->n_left--;
	if (!rule->is_holding && delay_ms == 0)
		return true;
	record = json_object_new();
	if (rule->is_holding) {
		json_object_set_int_member(record, "arrival-ms",
					   standin_unix_ms());
	} else {
		json_object_set_int_member(record, "due-ms",
					   standin_unix_ms() + delay_ms);
		json_object_set_int_member(record, "delay-ms", delay_ms);
	}
	if (rule->counts_from_arrival)
		json_object_set_int_member(record, "lease-ms", lease_ms);
	json_object_set_string_member(record, "path", path);
	if (target)
		json_object_set_string_member(record, "target", target);
	json_object_set_member(record, "body", json_node_copy(body));
	node = json_node_new(JSON_NODE_OBJECT);
	json_node_take_object(node, record);
	append(l, node);
	schedule(l, node, req);
	return true;
}
