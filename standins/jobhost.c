/*
 * Stand-in for a worker that follows the platform's documented interface: it
 * announces itself to the agent on its host, runs tasks under a lease, and
 * lists them. Every start and end is written to a log, one line each, which
 * the tests check.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"
#include "standins/late_calls.h"

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

/* A longer lease is shortened. */
#define LEASE_MAX_MS 10000

/* Ends that it lists at a time. */
#define ENDED_ROWS_MAX 500

/* A worker that leaves waits this long for the answer to its deregistration. */
#define LEAVE_TIMEOUT_US 500000

/* It stays this much longer than it has announced. */
#define DRAIN_MARGIN_MS 200

/* Longer than any lease that a leader grants. */
#define LEASE_GRANTED_MAX_MS 6000

typedef struct task {
	char *name;
	int64_t attempt;
	int64_t started_at_us;
	int64_t duration_ms;
	bool is_crashing;
} task_t;

/**
 * struct jobhost - the stand-in
 * @name: names this process in the log
 * @id: that it announces, maybe that of an earlier process
 * @last_listed_seq: number of the last end in an answer
 * @drained_at_us: it leaves then; 0 while it does not drain
 * @is_leaving: it has deregistered itself
 */
typedef struct jobhost {
	struct event_base *base;
	bh_http_pool_t *agent;
	late_calls_t *late;
	char *name;
	char *id;
	const char *zone;
	FILE *log;
	int64_t started_unix_ms;
	int64_t start_us;
	int64_t lease_expires_ms;
	bool is_lease_lapsed;
	int64_t term;
	int64_t last_ended_seq;
	int64_t last_listed_seq;
	int64_t last_announce_seq;
	int64_t task_ms;
	int64_t cpu_milli;
	GPtrArray *tasks;
	JsonArray *ended;
	GHashTable *ended_attempts;
	int64_t drained_at_us;
	bool is_leaving;
} jobhost_t;

/**
 * struct call - a call to be carried out
 * @is_former: an earlier life of the worker has received it
 */
typedef struct call {
	JsonNode *body;
	bool is_former;
	int64_t expires_ms;
} call_t;

/* Carries out a call with a valid fencing token, and fills in the response.
 * Return: its status. */
typedef int (*operation_t)(jobhost_t *h, const call_t *call, JsonObject *out);

static int64_t clock_ms(const jobhost_t *h)
{
	return CLOCK_START_MS + (standin_now_us() - h->start_us) / 1000;
}

/* Times are in ms with decimals: a step may follow another one on other workers
 * within a millisecond. */
static void log_event(jobhost_t *h, const char *what, const char *task,
		      int64_t attempt)
{
	int64_t now = g_get_real_time();

	fprintf(h->log,
		"%" G_GINT64_FORMAT ".%03d %s %s %" G_GINT64_FORMAT " %s\n",
		now / 1000, (int)(now % 1000), what, task, attempt, h->name);
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

static bool is_crashing(const char *name, const char *spec)
{
	return g_strcmp0(spec, CRASHING_SPEC) == 0 &&
	       g_str_has_suffix(name, CRASHING_SUFFIX);
}

static int refuse(JsonObject *out, const char *reason)
{
	json_object_set_string_member(out, "reason", reason);
	return 409;
}

static void extend_lease(jobhost_t *h, int64_t expires_ms)
{
	expires_ms = MIN(expires_ms, clock_ms(h) + LEASE_MAX_MS);
	h->lease_expires_ms = MAX(h->lease_expires_ms, expires_ms);
}

static void start_task(jobhost_t *h, JsonNode *body)
{
	const char *name = bh_json_text(bh_json_get(body, "task"));
	task_t *t = g_new0(task_t, 1);

	t->name = g_strdup(name);
	t->attempt = get_int(body, "attempt");
	t->started_at_us = standin_now_us();
	t->duration_ms = h->task_ms;
	t->is_crashing =
		is_crashing(name, bh_json_text(bh_json_get(body, "spec")));
	g_ptr_array_add(h->tasks, t);
	log_event(h, "start", name, t->attempt);
	if (h->tasks->len * TASK_CPU_MILLI > h->cpu_milli)
		log_event(h, "over", name, t->attempt);
}

static int run_start(jobhost_t *h, const call_t *call, JsonObject *out)
{
	const char *name = bh_json_text(bh_json_get(call->body, "task"));
	int64_t attempt = get_int(call->body, "attempt");
	int64_t *ended = g_hash_table_lookup(h->ended_attempts, name);

	extend_lease(h, call->expires_ms);
	if (find_task(h, name, attempt) >= 0)
		return 200;
	if (ended && *ended >= attempt)
		return refuse(out, "old");
	if (call->expires_ms <= clock_ms(h))
		return refuse(out, "late");
	if (call->is_former)
		log_event(h, "former", name, attempt);
	start_task(h, call->body);
	return 200;
}

static int run_stop(jobhost_t *h, const call_t *call, JsonObject *out)
{
	const char *name = bh_json_text(bh_json_get(call->body, "task"));
	int64_t attempt = get_int(call->body, "attempt");
	int i = find_task(h, name, attempt);

	(void)out;
	record_ended_attempt(h, name, attempt);
	if (i >= 0)
		end_task(h, (guint)i, "stopped");
	return 200;
}

static int pace(jobhost_t *h, const call_t *call, JsonObject *out)
{
	(void)h;
	(void)call;
	(void)out;
	return 200;
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

static JsonArray *list_ended(jobhost_t *h)
{
	JsonArray *rows = json_array_new();
	guint n = MIN(json_array_get_length(h->ended), ENDED_ROWS_MAX);

	for (guint i = 0; i < n; i++)
		json_array_add_element(
			rows,
			json_node_copy(json_array_get_element(h->ended, i)));
	return rows;
}

/* Return: number of the last end that list_ended() returns. */
static int64_t last_listed(jobhost_t *h)
{
	guint n = MIN(json_array_get_length(h->ended), ENDED_ROWS_MAX);

	return n ? json_array_get_int_element(
			   json_array_get_array_element(h->ended, n - 1), 0)
		 : h->last_ended_seq;
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
static int hold(jobhost_t *h, const call_t *call, JsonObject *out)
{
	int64_t ack = get_int(call->body, "ack-seq");

	extend_lease(h, call->expires_ms);
	/* The caller cannot keep an acknowledgement for an earlier life from
	 * coming here, but may not let it reach ends that it has not seen. */
	if (ack > h->last_listed_seq &&
	    (!call->is_former || h->last_ended_seq > h->last_listed_seq))
		log_event(h, "ack-ahead", "-", ack);
	if (get_int(call->body, "expires-ms") >
	    clock_ms(h) + LEASE_GRANTED_MAX_MS)
		log_event(h, "lease-ahead", "-",
			  get_int(call->body, "expires-ms"));
	drop_acked(h, ack);
	json_object_set_array_member(out, "active", list_active(h));
	json_object_set_array_member(out, "finished", list_ended(h));
	return 200;
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

static void end_at_lapse(jobhost_t *h)
{
	bool is_lapsed = clock_ms(h) >= h->lease_expires_ms;

	/* An end that was not acknowledged before the lease lapsed no
	 * longer counts; the line tells the checks in soak/ when that was. */
	if (!h->is_lease_lapsed && is_lapsed)
		log_event(h, "lease-lapsed", "-", 0);
	h->is_lease_lapsed = is_lapsed;
	while (is_lapsed && h->tasks->len > 0)
		end_task(h, 0, "lapsed");
}

static void log_all_gone(jobhost_t *h)
{
	for (guint i = 0; i < h->tasks->len; i++) {
		const task_t *t = h->tasks->pdata[i];

		log_event(h, "gone", t->name, t->attempt);
	}
}

static void on_deregistered(void *user, const bh_http_reply_t *answer)
{
	(void)answer;
	log_all_gone(user);
	_exit(0);
}

static void leave_when_drained(jobhost_t *h, int64_t now)
{
	g_autofree char *path = g_strconcat("/instances/", h->id, NULL);
	bh_http_call_t call = {
		.method = EVHTTP_REQ_DELETE,
		.path = path,
		.timeout_us = LEAVE_TIMEOUT_US,
	};

	if (h->is_leaving || h->drained_at_us == 0 ||
	    now < h->drained_at_us + DRAIN_MARGIN_MS * 1000)
		return;
	h->is_leaving = true;
	bh_http_send(h->agent, &call, on_deregistered, h);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	jobhost_t *h = arg;
	int64_t now = standin_now_us();

	(void)fd;
	(void)what;
	crash_by_task(h, now);
	end_at_lapse(h);
	for (guint i = 0; i < h->tasks->len;) {
		task_t *t = h->tasks->pdata[i];

		if ((now - t->started_at_us) / 1000 >= t->duration_ms)
			end_task(h, i, "done");
		else
			i++;
	}
	leave_when_drained(h, now);
}

static operation_t find_operation(const char *path)
{
	static const struct {
		const char *path;
		operation_t operation;
	} operations[] = {
		{"/run-start", run_start},
		{"/run-stop", run_stop},
		{"/pace", pace},
		{"/hold", hold},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(operations); i++) {
		if (strcmp(operations[i].path, path) == 0)
			return operations[i].operation;
	}
	return NULL;
}

/* Return: the status, with the other members of the response in @out. */
static int carry_out(jobhost_t *h, const char *path, const char *target,
		     const call_t *call, JsonObject *out)
{
	int64_t term = get_int(call->body, "fencing-token");

	json_object_set_int_member(out, "clock-ms", clock_ms(h));
	json_object_set_int_member(out, "born", h->started_unix_ms);
	/* Not only at the next tick: a grant must not revive the lease. */
	end_at_lapse(h);
	if (target && strcmp(target, h->id) != 0)
		return 421;
	if (term < h->term)
		return refuse(out, "fence");
	h->term = term;
	return find_operation(path)(h, call, out);
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *target = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Target-Instance");
	call_t call = {.body = parse_body(req)};
	JsonObject *out;
	int status;

	call.expires_ms = get_int(call.body, "expires-ms");
	if (!late_calls_take(h->late, req, target, call.body,
			     call.expires_ms - clock_ms(h))) {
		out = json_object_new();
		status = carry_out(h, path, target, &call, out);
		if (status == 200 && find_operation(path) == hold)
			h->last_listed_seq = last_listed(h);
		standin_reply(req, status, out);
	}
	bh_json_free(call.body);
}

/* What became of the call stands in the log of errors, for those who trace a
 * failed run. */
static void on_late_call(void *ctx, const late_call_t *late)
{
	jobhost_t *h = ctx;
	call_t call = {.body = late->body,
		       .is_former = late->is_former,
		       .expires_ms = get_int(late->body, "expires-ms")};
	JsonObject *out = json_object_new();
	int status;

	if (late->lease_ms > 0 && find_operation(late->path) == hold)
		call.expires_ms = clock_ms(h) + late->lease_ms;
	status = carry_out(h, late->path, late->target, &call, out);
	fprintf(stderr,
		"%" G_GINT64_FORMAT " %s, %" G_GINT64_FORMAT
		" ms late: status %d %s, task %s, attempt %" G_GINT64_FORMAT
		", ack %" G_GINT64_FORMAT ", expires %" G_GINT64_FORMAT
		", lease ends in %" G_GINT64_FORMAT
		" ms, born %" G_GINT64_FORMAT "\n",
		standin_unix_ms(), late->path, late->delay_ms, status,
		json_object_get_string_member_with_default(out, "reason", ""),
		bh_json_text(bh_json_get(late->body, "task")),
		get_int(late->body, "attempt"), get_int(late->body, "ack-seq"),
		call.expires_ms, h->lease_expires_ms - clock_ms(h),
		h->started_unix_ms);
	json_object_unref(out);
}

/* The body is {"cpu": N}: the room from now on. */
static void on_room(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;
	JsonNode *body = parse_body(req);

	h->cpu_milli = get_int(body, "cpu");
	log_event(h, "room", "-", h->cpu_milli);
	bh_json_free(body);
	standin_reply(req, 200, json_object_new());
}

static void ignore_reply(void *user, const bh_http_reply_t *answer)
{
	(void)user;
	(void)answer;
}

static void announce(jobhost_t *h)
{
	g_autofree char *path = g_strconcat("/instances/", h->id, NULL);
	JsonObject *body = json_object_new();
	JsonObject *capacity = json_object_new();
	JsonArray *labels = json_array_new();
	bh_http_call_t call = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.timeout_us = 1000000,
	};

	json_object_set_int_member(capacity, "cpu", h->cpu_milli);
	json_object_set_int_member(capacity, "mem-mb", 64000);
	json_object_set_int_member(capacity, "gpu", 0);
	json_array_add_string_element(labels, "a");
	json_array_add_string_element(labels, "r1-1");
	json_object_set_string_member(body, "service", "svc");
	json_object_set_string_member(body, "state",
				      h->drained_at_us ? "draining" : "ready");
	if (h->drained_at_us)
		json_object_set_int_member(
			body, "drain-remaining-ms",
			MAX(h->drained_at_us - standin_now_us(), 0) / 1000);
	json_object_set_string_member(body, "zone", h->zone);
	json_object_set_object_member(body, "capacity", capacity);
	json_object_set_array_member(body, "labels", labels);
	json_object_set_int_member(body, "seq-no", ++h->last_announce_seq);
	json_object_set_int_member(body, "born", h->started_unix_ms);
	json_object_set_int_member(body, "clock-ms", clock_ms(h));
	call.body = bh_json_print_bytes(body);
	bh_http_send(h->agent, &call, ignore_reply, h);
	g_bytes_unref(call.body);
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	jobhost_t *h = arg;

	(void)fd;
	(void)what;
	if (!h->is_leaving)
		announce(h);
}

/* ?ms=N: the worker announces that it drains, and leaves after N ms. */
static void on_drain(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;

	h->drained_at_us =
		standin_now_us() + standin_param_int(req, "ms", 0) * 1000;
	announce(h);
	standin_reply(req, 200, json_object_new());
}

static void on_late(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;

	late_calls_add_rule(h->late, req);
	standin_reply(req, 200, json_object_new());
}

/* ?path=PATH */
static void on_carry_out(struct evhttp_request *req, void *ctx)
{
	g_autofree char *path = standin_param(req, "path", "");
	jobhost_t *h = ctx;

	late_calls_carry_out(h->late, path);
	standin_reply(req, 200, json_object_new());
}

/* ?path=PATH */
static void on_answer(struct evhttp_request *req, void *ctx)
{
	g_autofree char *path = standin_param(req, "path", "");
	jobhost_t *h = ctx;

	late_calls_end_rules(h->late, path);
	standin_reply(req, 200, json_object_new());
}

/* ?ms=N: tasks that are started from now on last as long. */
static void on_task_ms(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;

	h->task_ms = standin_param_int(req, "ms", h->task_ms);
	standin_reply(req, 200, json_object_new());
}

/* ?id=ID: the worker crashes and starts again at once, by default under the
 * same id. Late calls remain. */
static void on_restart(struct evhttp_request *req, void *ctx)
{
	jobhost_t *h = ctx;

	log_all_gone(h);
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
	h->last_listed_seq = 0;
	h->last_announce_seq = 0;
	h->drained_at_us = 0;
	late_calls_new_life(h->late);
	announce(h);
	standin_reply(req, 200, json_object_new());
}

static void add_periodic_timer(jobhost_t *h, int ms, event_callback_fn cb)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(event_new(h->base, -1, EV_PERSIST, cb, h), &tv);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/run-start", on_call},
		{EVHTTP_REQ_POST, "/run-stop", on_call},
		{EVHTTP_REQ_POST, "/pace", on_call},
		{EVHTTP_REQ_POST, "/hold", on_call},
		{EVHTTP_REQ_POST, "/room", on_room},
		{EVHTTP_REQ_POST, "/drain", on_drain},
		{EVHTTP_REQ_POST, "/late", on_late},
		{EVHTTP_REQ_POST, "/carry-out", on_carry_out},
		{EVHTTP_REQ_POST, "/answer", on_answer},
		{EVHTTP_REQ_POST, "/task-ms", on_task_ms},
		{EVHTTP_REQ_POST, "/restart", on_restart},
	};
	jobhost_t h = {.base = event_base_new(), .cpu_milli = CPU_MILLI};

	if (argc != 6 && argc != 8 && argc != 9) {
		fprintf(stderr,
			"usage: standin-jobhost NAME IP:PORT AGENT-IP:PORT LOG "
			"TASK-MS [ID LATE-CALLS [ZONE]]\n");
		return 2;
	}
	h.name = argv[1];
	h.id = argc >= 8 ? argv[6] : h.name;
	h.zone = argc == 9 ? argv[8] : "z";
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
	h.late = late_calls_new(h.base, argc >= 8 ? argv[7] : "/dev/null",
				on_late_call, &h);
	if (!h.log || !h.late ||
	    !standin_serve(h.base, argv[2], routes, G_N_ELEMENTS(routes), &h)) {
		fprintf(stderr, "standin-jobhost: cannot use %s or %s\n",
			argv[2], argv[4]);
		return 1;
	}
	add_periodic_timer(&h, TICK_INTERVAL_MS, on_tick);
	add_periodic_timer(&h, ANNOUNCE_INTERVAL_MS, on_announce);
	return event_base_dispatch(h.base) < 0;
}
