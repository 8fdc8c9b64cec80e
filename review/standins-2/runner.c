/*
 * Stand-in for a runner of the platform. What a task needs, and how long it
 * takes, stand in its spec: "cpu=N mem=N ms=N", and "ticket=1" for a queue with
 * advice. It rejects what does not fit in its room, and tasks of such a queue
 * without a valid ticket of the adviser. Options are NAME=VALUE: listen, agent,
 * id, service, zone, labels, cpu, mem, log.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS		10
#define HEARTBEAT_MS	1500
#define LEASE_MAX_MS	10000
#define WAIT_MAX_MS	2000
#define ENDED_ROWS_MAX	500
#define CLOCK_START_MS	1000
#define DURATION_MIN_MS 10

typedef struct run {
	char *task;
	int64_t attempt;
	int64_t cpu;
	int64_t mem;
	int64_t began_us;
	int64_t duration_ms;
	bool is_failing;
} run_t;

typedef struct runner runner_t;

/* A call of /hold that waits for an end. */
typedef struct waiter {
	runner_t *runner;
	struct evhttp_request *req;
	int64_t until_us;
} waiter_t;

struct runner {
	struct event_base *base;
	bh_http_pool_t *agent;
	const char *id;
	const char *service;
	const char *zone;
	const char *labels;
	FILE *log;
	int64_t cpu;
	int64_t mem;
	int64_t born_ms;
	int64_t start_us;
	int64_t expires_ms;
	int64_t token;
	int64_t last_end;
	int64_t seq;
	int64_t grey_until_ms;
	GPtrArray *runs;
	GPtrArray *waiters;
	JsonArray *ended;
	GHashTable *ended_attempts;
};

static int64_t clock_ms(const runner_t *r)
{
	return CLOCK_START_MS + (standin_now_us() - r->start_us) / 1000;
}

static void record(const runner_t *r, const char *what, const char *task,
		   int64_t attempt)
{
	fprintf(r->log, "%" G_GINT64_FORMAT " %s %s %" G_GINT64_FORMAT " %s\n",
		standin_unix_ms(), what, task, attempt, r->id);
	fflush(r->log);
}

static void run_free(void *data)
{
	run_t *run = data;

	g_free(run->task);
	g_free(run);
}

static int64_t get_int(JsonNode *body, const char *name)
{
	return (int64_t)bh_json_number(bh_json_get(body, name));
}

static int64_t spec_int(const char *spec, const char *name, int64_t fallback)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void note_ended(runner_t *r, const char *task, int64_t attempt)
{
	int64_t *before = g_hash_table_lookup(r->ended_attempts, task);

	if (!before || *before < attempt)
		g_hash_table_insert(r->ended_attempts, g_strdup(task),
				    g_memdup2(&attempt, sizeof(attempt)));
}

static JsonArray *list_active(const runner_t *r)
{
	JsonArray *rows = json_array_new();

	for (guint i = 0; i < r->runs->len; i++) {
		const run_t *run = r->runs->pdata[i];
		int64_t ms = (standin_now_us() - run->began_us) / 1000;
		JsonArray *row = json_array_new();

		json_array_add_string_element(row, run->task);
		json_array_add_int_element(row, run->attempt);
		json_array_add_string_element(row, "");
		json_array_add_int_element(
			row, MIN(ms * 100 / run->duration_ms, 99));
		json_array_add_int_element(row, run->cpu);
		json_array_add_array_element(rows, row);
	}
	return rows;
}

static JsonArray *list_ended(const runner_t *r)
{
	JsonArray *rows = json_array_new();
	guint n = MIN(json_array_get_length(r->ended), ENDED_ROWS_MAX);

	for (guint i = 0; i < n; i++)
		json_array_add_element(
			rows,
			json_node_copy(json_array_get_element(r->ended, i)));
	return rows;
}

static void add_header(const runner_t *r, JsonObject *out)
{
	json_object_set_int_member(out, "clock-ms", clock_ms(r));
	json_object_set_int_member(out, "born", r->born_ms);
}

static void reply_lists(const runner_t *r, struct evhttp_request *req)
{
	JsonObject *out = json_object_new();

	add_header(r, out);
	json_object_set_array_member(out, "active", list_active(r));
	json_object_set_array_member(out, "finished", list_ended(r));
	standin_reply(req, 200, out);
}

static void answer_waiters(runner_t *r, bool is_all, int64_t now)
{
	for (guint i = r->waiters->len; i > 0; i--) {
		waiter_t *w = r->waiters->pdata[i - 1];

		if (w->req && !is_all && now < w->until_us)
			continue;
		if (w->req) {
			evhttp_connection_set_closecb(
				evhttp_request_get_connection(w->req), NULL,
				NULL);
			reply_lists(r, w->req);
		}
		g_free(w);
		g_ptr_array_remove_index(r->waiters, i - 1);
	}
}

static void end_run(runner_t *r, guint i, const char *how)
{
	run_t *run = r->runs->pdata[i];
	JsonArray *row = json_array_new();

	record(r, how, run->task, run->attempt);
	note_ended(r, run->task, run->attempt);
	json_array_add_int_element(row, ++r->last_end);
	json_array_add_string_element(row, run->task);
	json_array_add_int_element(row, run->attempt);
	json_array_add_string_element(row, how);
	json_array_add_string_element(row, "");
	json_array_add_array_element(r->ended, row);
	g_ptr_array_remove_index(r->runs, i);
	answer_waiters(r, true, 0);
}

static int find_run(const runner_t *r, const char *task, int64_t attempt)
{
	for (guint i = 0; i < r->runs->len; i++) {
		const run_t *run = r->runs->pdata[i];

		if (run->attempt == attempt && strcmp(run->task, task) == 0)
			return (int)i;
	}
	return -1;
}

static void extend_lease(runner_t *r, int64_t expires_ms)
{
	int64_t longest = clock_ms(r) + LEASE_MAX_MS;

	r->expires_ms = MAX(r->expires_ms, MIN(expires_ms, longest));
}

static bool fits(const runner_t *r, int64_t cpu, int64_t mem)
{
	for (guint i = 0; i < r->runs->len; i++) {
		const run_t *run = r->runs->pdata[i];

		cpu += run->cpu;
		mem += run->mem;
	}
	return cpu <= r->cpu && mem <= r->mem;
}

/* The adviser's tickets are PHASE/RUNNER/END, the end in Unix milliseconds. */
static bool is_ticket_valid(const runner_t *r, const char *ticket,
			    const char *task)
{
	g_auto(GStrv) parts = g_strsplit(ticket ? ticket : "", "/", 3);
	g_autofree char *prefix = NULL;

	if (g_strv_length(parts) != 3)
		return false;
	prefix = g_strconcat(parts[0], ".", NULL);
	return g_str_has_prefix(task, prefix) && strcmp(parts[1], r->id) == 0 &&
	       g_ascii_strtoll(parts[2], NULL, 10) > standin_unix_ms();
}

static int refuse(JsonObject *out, const char *reason)
{
	json_object_set_string_member(out, "reason", reason);
	return 409;
}

static int start(runner_t *r, JsonNode *body, JsonObject *out)
{
	const char *task = bh_json_text(bh_json_get(body, "task"));
	const char *spec = bh_json_text(bh_json_get(body, "spec"));
	int64_t attempt = get_int(body, "attempt");
	int64_t *ended = g_hash_table_lookup(r->ended_attempts, task);
	run_t *run;

	if (find_run(r, task, attempt) >= 0)
		return 200;
	if (ended && *ended >= attempt)
		return refuse(out, "old");
	if (get_int(body, "expires-ms") <= clock_ms(r))
		return refuse(out, "late");
	if (spec_int(spec, "ticket=", 0) &&
	    !is_ticket_valid(r, bh_json_text(bh_json_get(body, "ticket")),
			     task)) {
		record(r, "no-ticket", task, attempt);
		return refuse(out, "ticket");
	}
	extend_lease(r, get_int(body, "expires-ms"));
	if (!fits(r, spec_int(spec, "cpu=", 0), spec_int(spec, "mem=", 0))) {
		record(r, "no-room", task, attempt);
		return refuse(out, "room");
	}
	run = g_new0(run_t, 1);
	run->task = g_strdup(task);
	run->attempt = attempt;
	run->cpu = spec_int(spec, "cpu=", 0);
	run->mem = spec_int(spec, "mem=", 0);
	run->duration_ms = MAX(spec_int(spec, "ms=", 500), DURATION_MIN_MS);
	run->began_us = standin_now_us();
	run->is_failing = standin_unix_ms() < r->grey_until_ms;
	g_ptr_array_add(r->runs, run);
	record(r, "start", task, attempt);
	return 200;
}

static int stop(runner_t *r, JsonNode *body)
{
	const char *task = bh_json_text(bh_json_get(body, "task"));
	int64_t attempt = get_int(body, "attempt");
	int i = find_run(r, task, attempt);

	note_ended(r, task, attempt);
	if (i >= 0)
		end_run(r, (guint)i, "stopped");
	return 200;
}

static void lapse(runner_t *r)
{
	while (r->runs->len > 0 && clock_ms(r) >= r->expires_ms)
		end_run(r, 0, "lapsed");
}

static void on_waiter_gone(struct evhttp_connection *conn, void *arg)
{
	waiter_t *w = arg;

	(void)conn;
	w->req = NULL;
}

static void hold(runner_t *r, JsonNode *body, struct evhttp_request *req)
{
	int64_t ack = get_int(body, "ack-seq");
	int64_t wait_ms = MIN(get_int(body, "wait-ms"), WAIT_MAX_MS);
	waiter_t *w;

	extend_lease(r, get_int(body, "expires-ms"));
	while (json_array_get_length(r->ended) > 0 &&
	       json_array_get_int_element(
		       json_array_get_array_element(r->ended, 0), 0) <= ack)
		json_array_remove_element(r->ended, 0);
	if (wait_ms <= 0 || json_array_get_length(r->ended) > 0) {
		reply_lists(r, req);
		return;
	}
	w = g_new0(waiter_t, 1);
	w->runner = r;
	w->req = req;
	w->until_us = standin_now_us() + wait_ms * 1000;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_waiter_gone, w);
	g_ptr_array_add(r->waiters, w);
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	runner_t *r = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *target = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Target-Instance");
	GBytes *bytes = bh_http_take_body(req);
	JsonNode *body = bh_json_parse_bytes(bytes);
	JsonObject *out = json_object_new();
	int64_t token = get_int(body, "fencing-token");
	int status = 200;

	lapse(r);
	add_header(r, out);
	if (target && strcmp(target, r->id) != 0) {
		status = 421;
	} else if (token < r->token) {
		status = refuse(out, "fence");
	} else {
		r->token = token;
		if (strcmp(path, "/hold") == 0) {
			json_object_unref(out);
			out = NULL;
			hold(r, body, req);
		} else if (strcmp(path, "/run-start") == 0) {
			status = start(r, body, out);
		} else if (strcmp(path, "/run-stop") == 0) {
			status = stop(r, body);
		}
	}
	if (out)
		standin_reply(req, status, out);
	bh_json_free(body);
	g_bytes_unref(bytes);
}

/* ?until=MS: tasks that it starts before that Unix time fail at once. */
static void on_grey(struct evhttp_request *req, void *ctx)
{
	runner_t *r = ctx;

	r->grey_until_ms = standin_param_int(req, "until", 0);
	standin_reply(req, 200, json_object_new());
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	runner_t *r = arg;
	int64_t now = standin_now_us();

	(void)fd;
	(void)what;
	lapse(r);
	for (guint i = r->runs->len; i > 0; i--) {
		const run_t *run = r->runs->pdata[i - 1];

		if (run->is_failing)
			end_run(r, i - 1, "failed");
		else if ((now - run->began_us) / 1000 >= run->duration_ms)
			end_run(r, i - 1, "done");
	}
	answer_waiters(r, false, now);
}

static void ignore_reply(void *user, const bh_http_reply_t *answer)
{
	(void)user;
	(void)answer;
}

static JsonArray *label_array(const runner_t *r)
{
	g_auto(GStrv) parts = g_strsplit(r->labels, ",", -1);
	JsonArray *labels = json_array_new();

	for (guint i = 0; parts[i]; i++)
		json_array_add_string_element(labels, parts[i]);
	return labels;
}

static void on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
	runner_t *r = arg;
	g_autofree char *path = g_strconcat("/instances/", r->id, NULL);
	JsonObject *body = json_object_new();
	JsonObject *capacity = json_object_new();
	bh_http_call_t call = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.timeout_us = 1000000,
	};

	(void)fd;
	(void)what;
	json_object_set_int_member(capacity, "cpu", r->cpu);
	json_object_set_int_member(capacity, "mem-mb", r->mem);
	json_object_set_int_member(capacity, "gpu", 0);
	json_object_set_string_member(body, "service", r->service);
	json_object_set_string_member(body, "zone", r->zone);
	json_object_set_string_member(body, "state", "ready");
	json_object_set_object_member(body, "capacity", capacity);
	json_object_set_array_member(body, "labels", label_array(r));
	json_object_set_int_member(body, "seq-no", ++r->seq);
	add_header(r, body);
	call.body = bh_json_print_bytes(body);
	bh_http_send(r->agent, &call, ignore_reply, r);
	g_bytes_unref(call.body);
}

static void every(runner_t *r, int ms, event_callback_fn cb)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(event_new(r->base, -1, EV_PERSIST, cb, r), &tv);
}

/* Return: the value of the option, or @fallback. */
static const char *option(int argc, char **argv, const char *name,
			  const char *fallback)
{
	size_t len = strlen(name);

	for (int i = 1; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return fallback;
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/run-start", on_call},
		{EVHTTP_REQ_POST, "/run-stop", on_call},
		{EVHTTP_REQ_POST, "/pace", on_call},
		{EVHTTP_REQ_POST, "/hold", on_call},
		{EVHTTP_REQ_POST, "/grey", on_grey},
	};
	runner_t r = {
		.base = standin_precise_base(),
		.id = option(argc, argv, "id", "i-1"),
		.service = option(argc, argv, "service", "svc"),
		.zone = option(argc, argv, "zone", "z"),
		.labels = option(argc, argv, "labels", "a"),
		.cpu = atoll(option(argc, argv, "cpu", "32000")),
		.mem = atoll(option(argc, argv, "mem", "128000")),
		.log = fopen(option(argc, argv, "log", "/dev/null"), "ae"),
	};
	const char *listen = option(argc, argv, "listen", "");

	r.agent = bh_http_pool_new(r.base, option(argc, argv, "agent", ""),
				   65536);
	r.born_ms = standin_unix_ms();
	r.start_us = standin_now_us();
	r.runs = g_ptr_array_new_with_free_func(run_free);
	r.waiters = g_ptr_array_new();
	r.ended = json_array_new();
	r.ended_attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!r.log || !r.agent ||
	    !standin_serve(r.base, listen, routes, G_N_ELEMENTS(routes), &r)) {
		fprintf(stderr, "runner: cannot use its options\n");
		return 2;
	}
	every(&r, TICK_MS, on_tick);
	every(&r, HEARTBEAT_MS, on_heartbeat);
	on_heartbeat(-1, 0, &r);
	return event_base_dispatch(r.base) < 0;
}
