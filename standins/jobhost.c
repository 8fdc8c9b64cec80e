/*
 * Stand-in for a worker that follows the platform's documented interface: it
 * announces itself to the agent on its host, runs tasks under a lease, and
 * lists them. Every start and end is written to a log, one line each, which
 * the tests check.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_INTERVAL_MS     20
#define ANNOUNCE_INTERVAL_MS 300
#define CLOCK_START_MS	     1000

/* The first task of each step of a job with this spec crashes its workers, this
 * long after its start. */
#define CRASHING_SPEC	  "crashes-worker"
#define CRASHING_SUFFIX	  ".0"
#define CRASH_AFTER_MS	  20
#define CRASH_EXIT_STATUS 3

/* Its room, in tasks that each ask for this many thousandths of a core. It
 * starts what it is told to, whether that fits or not. */
#define CPU_MILLI      16000
#define TASK_CPU_MILLI 500

#define LATE_RULES_MAX 4

/* Longer than any lease that a leader grants. */
#define LEASE_MAX_MS 6000

typedef struct task {
	char *name;
	int64_t attempt;
	int64_t started_at_us;
	int64_t duration_ms;
	bool is_crashing;
} task_t;

/**
 * struct late_rule - calls that get no answer
 * @until_us: the rule applies to calls that arrive before
 * @delay_ms: after which they are carried out; 0: they are not
 */
typedef struct late_rule {
	char *path;
	int64_t until_us;
	int64_t delay_ms;
} late_rule_t;

typedef struct jobhost {
	struct event_base *base;
	bh_http_pool_t *agent;
	char *id;
	FILE *log;
	int64_t started_unix_ms;
	int64_t start_us;
	int64_t lease_expires_ms;
	bool is_lease_lapsed;
	int64_t term;
	int64_t last_ended_seq;
	int64_t last_announce_seq;
	int64_t task_ms;
	int64_t cpu_milli;
	GPtrArray *tasks;
	JsonArray *ended;
	GHashTable *ended_attempts;
	late_rule_t late_rules[LATE_RULES_MAX];
} jobhost_t;

/**
 * struct call - a call of the agent
 * @req: NULL when it is carried out late, without an answer
 * @target: id of the worker that it is meant for, or NULL
 */
typedef struct call {
	jobhost_t *host;
	struct evhttp_request *req;
	char *target;
	JsonNode *body;
	void (*handler)(jobhost_t *h, const struct call *call);
} call_t;

static int64_t clock_ms(const jobhost_t *h)
{
	return CLOCK_START_MS + (standin_now_us() - h->start_us) / 1000;
}

static void log_event(jobhost_t *h, const char *what, const char *task,
		      int64_t attempt)
{
	fprintf(h->log, "%" G_GINT64_FORMAT " %s %s %" G_GINT64_FORMAT " %s\n",
		standin_unix_ms(), what, task, attempt, h->id);
	fflush(h->log);
}

static void task_free(void *data)
{
	task_t *t = data;

	g_free(t->name);
	g_free(t);
}

static void record_ended_attempt(jobhost_t *h, const char *name,
				 int64_t attempt)
{
	int64_t *before = g_hash_table_lookup(h->ended_attempts, name);

	if (!before || *before < attempt)
		g_hash_table_insert(h->ended_attempts, g_strdup(name),
				    g_memdup2(&attempt, sizeof(attempt)));
}

static void end_task(jobhost_t *h, guint i, const char *how)
{
	task_t *t = h->tasks->pdata[i];
	JsonArray *row;

	log_event(h, how, t->name, t->attempt);
	record_ended_attempt(h, t->name, t->attempt);
	row = json_array_new();
	json_array_add_int_element(row, ++h->last_ended_seq);
	json_array_add_string_element(row, t->name);
	json_array_add_int_element(row, t->attempt);
	json_array_add_string_element(row, how);
	json_array_add_string_element(row, "");
	json_array_add_array_element(h->ended, row);
	g_ptr_array_remove_index(h->tasks, i);
}

static int find_task(jobhost_t *h, const char *name, int64_t attempt)
{
	for (guint i = 0; i < h->tasks->len; i++) {
		task_t *t = h->tasks->pdata[i];

		if (strcmp(t->name, name) == 0 && t->attempt == attempt)
			return (int)i;
	}
	return -1;
}

static void reply(jobhost_t *h, struct evhttp_request *req, int status,
		  JsonObject *body)
{
	json_object_set_int_member(body, "clock-ms", clock_ms(h));
	json_object_set_int_member(body, "born", h->started_unix_ms);
	if (req)
		standin_reply(req, status, body);
	else
		json_object_unref(body);
}

static void refuse(jobhost_t *h, struct evhttp_request *req, const char *reason)
{
	JsonObject *body = json_object_new();

	json_object_set_string_member(body, "reason", reason);
	reply(h, req, 409, body);
}

static JsonNode *parse_body(struct evhttp_request *req)
{
	GBytes *bytes = bh_http_take_body(req);
	JsonNode *root = bh_json_parse_bytes(bytes);

	g_bytes_unref(bytes);
	return root;
}

static int64_t get_int(JsonNode *body, const char *name)
{
	return (int64_t)bh_json_number(bh_json_get(body, name));
}

static bool refuse_if_fenced(jobhost_t *h, const call_t *call)
{
	if (get_int(call->body, "fencing-token") >= h->term) {
		h->term = get_int(call->body, "fencing-token");
		return false;
	}
	refuse(h, call->req, "fence");
	return true;
}

static bool is_crashing(const char *name, const char *spec)
{
	return g_strcmp0(spec, CRASHING_SPEC) == 0 &&
	       g_str_has_suffix(name, CRASHING_SUFFIX);
}

/* Orders name the incarnation that they are meant for; they may arrive late. */
static bool refuse_if_misdirected(jobhost_t *h, const call_t *call)
{
	if (!call->target || strcmp(call->target, h->id) == 0)
		return false;
	reply(h, call->req, 421, json_object_new());
	return true;
}

static void call_free(call_t *call)
{
	bh_json_free(call->body);
	g_free(call->target);
	g_free(call);
}

static void on_call_due(evutil_socket_t fd, short what, void *arg)
{
	call_t *call = arg;

	(void)fd;
	(void)what;
	call->handler(call->host, call);
	call_free(call);
}

static const late_rule_t *find_late_rule(const jobhost_t *h, const char *path)
{
	for (int i = 0; i < LATE_RULES_MAX; i++) {
		const late_rule_t *rule = &h->late_rules[i];

		if (rule->until_us > standin_now_us() &&
		    strcmp(rule->path, path) == 0)
			return rule;
	}
	return NULL;
}

/* Carries a call out, now or as a rule for late calls says. */
static void accept_call(jobhost_t *h, struct evhttp_request *req,
			void (*handler)(jobhost_t *h, const call_t *call))
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const late_rule_t *rule = find_late_rule(h, path);
	call_t *call = g_new0(call_t, 1);
	struct timeval delay;

	call->host = h;
	call->body = parse_body(req);
	call->handler = handler;
	call->target = g_strdup(evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Target-Instance"));
	if (rule && rule->delay_ms) {
		delay.tv_sec = rule->delay_ms / 1000;
		delay.tv_usec = rule->delay_ms % 1000 * 1000;
		event_base_once(h->base, -1, EV_TIMEOUT, on_call_due, call,
				&delay);
		return;
	}
	if (!rule) {
		call->req = req;
		handler(h, call);
	}
	call_free(call);
}

static void start_task(jobhost_t *h, const call_t *call)
{
	JsonNode *body = call->body;
	const char *name = bh_json_text(bh_json_get(body, "task"));
	int64_t attempt = get_int(body, "attempt");
	int64_t *ended_attempts = g_hash_table_lookup(h->ended_attempts, name);
	task_t *t;

	if (refuse_if_misdirected(h, call) || refuse_if_fenced(h, call))
		return;
	if (find_task(h, name, attempt) >= 0) {
		reply(h, call->req, 200, json_object_new());
	} else if (ended_attempts && *ended_attempts >= attempt) {
		refuse(h, call->req, "old");
	} else if (get_int(body, "expires-ms") <= clock_ms(h)) {
		refuse(h, call->req, "late");
	} else {
		h->lease_expires_ms =
			MAX(h->lease_expires_ms, get_int(body, "expires-ms"));
		t = g_new0(task_t, 1);
		t->name = g_strdup(name);
		t->attempt = attempt;
		t->started_at_us = standin_now_us();
		t->duration_ms = h->task_ms;
		t->is_crashing = is_crashing(
			name, bh_json_text(bh_json_get(body, "spec")));
		g_ptr_array_add(h->tasks, t);
		log_event(h, "start", name, attempt);
		if (h->tasks->len * TASK_CPU_MILLI > h->cpu_milli)
			log_event(h, "over", name, attempt);
		reply(h, call->req, 200, json_object_new());
	}
}

static void on_start(struct evhttp_request *req, void *ctx)
{
	accept_call(ctx, req, start_task);
}

static void stop_task(jobhost_t *h, const call_t *call)
{
	const char *name = bh_json_text(bh_json_get(call->body, "task"));
	int64_t attempt = get_int(call->body, "attempt");
	int i = find_task(h, name, attempt);

	if (refuse_if_misdirected(h, call) || refuse_if_fenced(h, call))
		return;
	record_ended_attempt(h, name, attempt);
	if (i >= 0)
		end_task(h, (guint)i, "stopped");
	reply(h, call->req, 200, json_object_new());
}

static void on_stop(struct evhttp_request *req, void *ctx)
{
	accept_call(ctx, req, stop_task);
}

static void on_pace(struct evhttp_request *req, void *ctx)
{
	JsonNode *body = parse_body(req);

	bh_json_free(body);
	reply(ctx, req, 200, json_object_new());
}

/* The body is {"cpu": N}: the room from now on. */
static void on_room(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;
	JsonNode *body = parse_body(req);

	h->cpu_milli = get_int(body, "cpu");
	log_event(h, "room", "-", h->cpu_milli);
	bh_json_free(body);
	reply(h, req, 200, json_object_new());
}

static JsonArray *list_active(jobhost_t *h)
{
	JsonArray *rows = json_array_new();

	for (guint i = 0; i < h->tasks->len; i++) {
		task_t *t = h->tasks->pdata[i];
		int64_t ms = (standin_now_us() - t->started_at_us) / 1000;
		JsonArray *row = json_array_new();

		json_array_add_string_element(row, t->name);
		json_array_add_int_element(row, t->attempt);
		json_array_add_string_element(row, "");
		json_array_add_int_element(row, ms * 100 / t->duration_ms);
		json_array_add_int_element(row, 500);
		json_array_add_array_element(rows, row);
	}
	return rows;
}

static void drop_acked(jobhost_t *h, int64_t ack)
{
	while (json_array_get_length(h->ended) > 0) {
		JsonArray *row = json_array_get_array_element(h->ended, 0);

		if (json_array_get_int_element(row, 0) > ack)
			return;
		log_event(h, "acked", json_array_get_string_element(row, 1),
			  json_array_get_int_element(row, 2));
		json_array_remove_element(h->ended, 0);
	}
}

/* Replies immediately; long polling is not implemented. */
static void hold(jobhost_t *h, const call_t *call)
{
	JsonNode *body = call->body;
	int64_t ack = get_int(body, "ack-seq");
	JsonObject *out;

	if (refuse_if_misdirected(h, call) || refuse_if_fenced(h, call))
		return;
	h->lease_expires_ms =
		MAX(h->lease_expires_ms, get_int(body, "expires-ms"));
	if (ack > h->last_ended_seq)
		log_event(h, "ack-ahead", "-", ack);
	if (get_int(body, "expires-ms") > clock_ms(h) + LEASE_MAX_MS)
		log_event(h, "lease-ahead", "-", get_int(body, "expires-ms"));
	drop_acked(h, ack);
	out = json_object_new();
	json_object_set_array_member(out, "active", list_active(h));
	json_object_set_array_member(out, "finished", json_array_ref(h->ended));
	reply(h, call->req, 200, out);
}

static void on_hold(struct evhttp_request *req, void *ctx)
{
	accept_call(ctx, req, hold);
}

static void crash_by_task(jobhost_t *h, int64_t now)
{
	for (guint i = 0; i < h->tasks->len; i++) {
		const task_t *t = h->tasks->pdata[i];

		if (!t->is_crashing ||
		    (now - t->started_at_us) / 1000 < CRASH_AFTER_MS)
			continue;
		log_event(h, "crash", t->name, t->attempt);
		_exit(CRASH_EXIT_STATUS);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	jobhost_t *h = arg;
	int64_t now = standin_now_us();

	(void)fd;
	(void)what;
	crash_by_task(h, now);
	/* An end that was not acknowledged before the lease lapsed no
	 * longer counts; the line tells the checks in soak/ when that was. */
	if (!h->is_lease_lapsed && clock_ms(h) >= h->lease_expires_ms)
		log_event(h, "lease-lapsed", "-", 0);
	h->is_lease_lapsed = clock_ms(h) >= h->lease_expires_ms;
	for (guint i = 0; i < h->tasks->len;) {
		task_t *t = h->tasks->pdata[i];

		if (clock_ms(h) >= h->lease_expires_ms)
			end_task(h, i, "lapsed");
		else if ((now - t->started_at_us) / 1000 >= t->duration_ms)
			end_task(h, i, "done");
		else
			i++;
	}
}

static void ignore_reply(void *user, const bh_http_reply_t *answer)
{
	(void)user;
	(void)answer;
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	jobhost_t *h = arg;
	g_autofree char *path = g_strconcat("/instances/", h->id, NULL);
	JsonObject *body = json_object_new();
	JsonObject *capacity = json_object_new();
	JsonArray *labels = json_array_new();
	bh_http_call_t call = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.timeout_us = 1000000,
	};

	(void)fd;
	(void)what;
	json_object_set_int_member(capacity, "cpu", h->cpu_milli);
	json_object_set_int_member(capacity, "mem-mb", 64000);
	json_object_set_int_member(capacity, "gpu", 0);
	json_array_add_string_element(labels, "a");
	json_array_add_string_element(labels, "r1-1");
	json_object_set_string_member(body, "service", "svc");
	json_object_set_string_member(body, "state", "ready");
	json_object_set_string_member(body, "zone", "z");
	json_object_set_object_member(body, "capacity", capacity);
	json_object_set_array_member(body, "labels", labels);
	json_object_set_int_member(body, "seq-no", ++h->last_announce_seq);
	json_object_set_int_member(body, "born", h->started_unix_ms);
	json_object_set_int_member(body, "clock-ms", clock_ms(h));
	call.body = bh_json_print_bytes(body);
	bh_http_send(h->agent, &call, ignore_reply, h);
	g_bytes_unref(call.body);
}

/* ?path=P&for=F&ms=M: for F ms calls of P get no answer, and are carried out
 * M ms after they arrived, or never if M is 0. */
static void on_late(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;
	int i = 0;

	while (i < LATE_RULES_MAX - 1 && h->late_rules[i].path)
		i++;
	g_free(h->late_rules[i].path);
	h->late_rules[i] = (late_rule_t){
		.path = standin_param(req, "path", ""),
		.until_us = standin_now_us() +
			    standin_param_int(req, "for", 0) * 1000,
		.delay_ms = standin_param_int(req, "ms", 0),
	};
	reply(h, req, 200, json_object_new());
}

/* ?id=ID: the worker crashes and starts again at once, by default under the
 * same id. Late calls remain. */
static void on_restart(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;

	for (guint i = 0; i < h->tasks->len; i++) {
		const task_t *t = h->tasks->pdata[i];

		log_event(h, "gone", t->name, t->attempt);
	}
	g_ptr_array_set_size(h->tasks, 0);
	json_array_unref(h->ended);
	h->ended = json_array_new();
	g_hash_table_remove_all(h->ended_attempts);
	h->id = standin_param(req, "id", h->id);
	h->started_unix_ms = standin_unix_ms();
	h->start_us = standin_now_us();
	h->lease_expires_ms = 0;
	h->term = 0;
	h->last_ended_seq = 0;
	h->last_announce_seq = 0;
	on_announce(-1, 0, h);
	reply(h, req, 200, json_object_new());
}

static void add_periodic_timer(jobhost_t *h, int ms, event_callback_fn cb)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(event_new(h->base, -1, EV_PERSIST, cb, h), &tv);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/run-start", on_start},
		{EVHTTP_REQ_POST, "/run-stop", on_stop},
		{EVHTTP_REQ_POST, "/pace", on_pace},
		{EVHTTP_REQ_POST, "/hold", on_hold},
		{EVHTTP_REQ_POST, "/room", on_room},
		{EVHTTP_REQ_POST, "/late", on_late},
		{EVHTTP_REQ_POST, "/restart", on_restart},
	};
	jobhost_t h = {.base = event_base_new(), .cpu_milli = CPU_MILLI};

	if (argc != 6) {
		fprintf(stderr, "usage: standin-jobhost ID IP:PORT "
				"AGENT-IP:PORT LOG TASK-MS\n");
		return 2;
	}
	h.id = argv[1];
	h.agent = bh_http_pool_new(h.base, argv[3], 65536);
	if (!h.agent) {
		fprintf(stderr, "%s is not IP:PORT\n", argv[3]);
		return 2;
	}
	h.log = fopen(argv[4], "ae");
	h.task_ms = strtoll(argv[5], NULL, 10);
	h.started_unix_ms = standin_unix_ms();
	h.start_us = standin_now_us();
	h.tasks = g_ptr_array_new_with_free_func(task_free);
	h.ended = json_array_new();
	h.ended_attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!h.log ||
	    !standin_serve(h.base, argv[2], routes, G_N_ELEMENTS(routes), &h)) {
		fprintf(stderr, "standin-jobhost: cannot use %s or %s\n",
			argv[2], argv[4]);
		return 1;
	}
	add_periodic_timer(&h, TICK_INTERVAL_MS, on_tick);
	add_periodic_timer(&h, ANNOUNCE_INTERVAL_MS, on_announce);
	return event_base_dispatch(h.base) < 0;
}
