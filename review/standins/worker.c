/*
 * Stand-in for a worker, for the cases under review/. Unlike
 * standins/jobhost.c it holds polls until a task ends, lists at most 500 ends
 * at a time, produces checkpoints, guards its room and checks tickets. What a
 * task needs stands in its job's spec, as words:
 *   ms=N     how long it works
 *   cpu=N    thousandths of a core, of CPU_MILLI
 *   saves    it produces checkpoints
 *   advised  its start needs a ticket, see adviser.c
 * Every start and end is written to the log, one line each.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS     10
#define ANNOUNCE_INTERVAL_MS 1500
#define CLOCK_START_MS	     1000
#define CPU_MILLI	     16000
#define MEMORY_MB	     64000
#define LEASE_MAX_MS	     6000
#define ENDS_LISTED_MAX	     500
#define CHECKPOINT_EVERY_MS  2000
#define RESTORE_MS	     100

/**
 * struct task - a run of a task
 * @saved_ms: work that the last checkpoint holds
 */
typedef struct task {
	char *name;
	int64_t attempt;
	int64_t started_at_ms;
	int64_t duration_ms;
	int64_t cpu_milli;
	bool is_saving;
	int64_t saved_ms;
} task_t;

/**
 * struct waiter - a poll that waits for an end
 */
typedef struct waiter {
	struct worker *worker;
	struct evhttp_request *req;
	struct event *timeout;
} waiter_t;

/**
 * struct worker - the stand-in
 * @is_lapsed: the lease has ended; the log tells when, as an end that was not
 *	acknowledged before no longer counts
 * @last_listed: number of the last end that was listed
 * @ends: rows of ends that are not acknowledged
 * @over: highest attempt that was stopped or has ended, by task
 */
typedef struct worker {
	struct event_base *base;
	bh_http_pool_t *agent;
	char *id;
	const char *kind;
	const char *rack;
	FILE *log;
	int64_t born_unix_ms;
	int64_t start_us;
	int64_t lease_expires_ms;
	bool is_lapsed;
	int64_t token;
	int64_t last_end;
	int64_t last_listed;
	int64_t last_announcement;
	int64_t used_cpu_milli;
	GPtrArray *tasks;
	GHashTable *by_run;
	GQueue ends;
	GHashTable *over;
	GPtrArray *waiters;
} worker_t;

static int64_t clock_ms(const worker_t *w)
{
	return CLOCK_START_MS + (standin_now_us() - w->start_us) / 1000;
}

static void log_event(worker_t *w, const char *what, const char *task,
		      int64_t attempt)
{
	fprintf(w->log, "%" G_GINT64_FORMAT " %s %s %" G_GINT64_FORMAT " %s\n",
		standin_unix_ms(), what, task, attempt, w->id);
}

static int64_t spec_number(const char *spec, const char *name)
{
	g_auto(GStrv) words = g_strsplit(spec, " ", -1);
	g_autofree char *prefix = g_strconcat(name, "=", NULL);

	for (int i = 0; words[i]; i++) {
		if (g_str_has_prefix(words[i], prefix))
			return strtoll(words[i] + strlen(prefix), NULL, 10);
	}
	return 0;
}

static bool spec_has(const char *spec, const char *word)
{
	g_auto(GStrv) words = g_strsplit(spec, " ", -1);

	return g_strv_contains((const char *const *)words, word);
}

static char *run_key(const char *name, int64_t attempt)
{
	return g_strdup_printf("%s %" G_GINT64_FORMAT, name, attempt);
}

static void task_free(gpointer data)
{
	task_t *t = data;

	g_free(t->name);
	g_free(t);
}

static task_t *find_task(worker_t *w, const char *name, int64_t attempt)
{
	g_autofree char *key = run_key(name, attempt);

	return g_hash_table_lookup(w->by_run, key);
}

static int64_t worked_ms(const worker_t *w, const task_t *t)
{
	return MAX(clock_ms(w) - t->started_at_ms, 0);
}

static char *checkpoint_text(int64_t saved_ms)
{
	return saved_ms
		       ? g_strdup_printf("%016" G_GINT64_MODIFIER "x", saved_ms)
		       : g_strdup("");
}

static void note_over(worker_t *w, const char *name, int64_t attempt)
{
	int64_t *before = g_hash_table_lookup(w->over, name);

	if (!before || *before < attempt)
		g_hash_table_insert(w->over, g_strdup(name),
				    g_memdup2(&attempt, sizeof(attempt)));
}

static void waiter_free(gpointer data)
{
	waiter_t *waiter = data;

	event_free(waiter->timeout);
	g_free(waiter);
}

static JsonArray *list_active(const worker_t *w)
{
	JsonArray *rows = json_array_new();

	for (guint i = 0; i < w->tasks->len; i++) {
		const task_t *t = w->tasks->pdata[i];
		g_autofree char *saved = checkpoint_text(t->saved_ms);
		int64_t percent = worked_ms(w, t) * 100 / t->duration_ms;
		JsonArray *row = json_array_new();

		json_array_add_string_element(row, t->name);
		json_array_add_int_element(row, t->attempt);
		json_array_add_string_element(row, saved);
		json_array_add_int_element(row, MIN(percent, 99));
		json_array_add_int_element(row, t->cpu_milli);
		json_array_add_array_element(rows, row);
	}
	return rows;
}

static JsonArray *list_ends(worker_t *w)
{
	JsonArray *rows = json_array_new();
	int n = 0;

	for (GList *i = w->ends.head; i && n < ENDS_LISTED_MAX; i = i->next) {
		JsonArray *row = i->data;
		int64_t number = json_array_get_int_element(row, 0);

		json_array_add_array_element(rows, json_array_ref(row));
		n++;
		if (number <= w->last_listed)
			continue;
		w->last_listed = number;
		log_event(w, "listed", json_array_get_string_element(row, 1),
			  json_array_get_int_element(row, 2));
	}
	return rows;
}

static JsonObject *new_answer(const worker_t *w)
{
	JsonObject *out = json_object_new();

	json_object_set_int_member(out, "clock-ms", clock_ms(w));
	json_object_set_int_member(out, "born", w->born_unix_ms);
	return out;
}

static void answer_lists(worker_t *w, struct evhttp_request *req)
{
	JsonObject *out = new_answer(w);

	json_object_set_array_member(out, "active", list_active(w));
	json_object_set_array_member(out, "finished", list_ends(w));
	standin_reply(req, 200, out);
}

static void answer_waiters(worker_t *w)
{
	while (w->waiters->len > 0) {
		waiter_t *waiter = w->waiters->pdata[0];

		evhttp_connection_set_closecb(
			evhttp_request_get_connection(waiter->req), NULL, NULL);
		answer_lists(w, waiter->req);
		g_ptr_array_remove_index(w->waiters, 0);
	}
}

static void on_wait_timeout(evutil_socket_t fd, short what, void *arg)
{
	waiter_t *waiter = arg;

	(void)fd;
	(void)what;
	answer_waiters(waiter->worker);
}

static void on_waiter_gone(struct evhttp_connection *conn, void *arg)
{
	waiter_t *waiter = arg;

	(void)conn;
	g_ptr_array_remove(waiter->worker->waiters, waiter);
}

static void add_waiter(worker_t *w, struct evhttp_request *req, int64_t wait_ms)
{
	struct timeval tv = {wait_ms / 1000, (wait_ms % 1000) * 1000};
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->worker = w;
	waiter->req = req;
	waiter->timeout = event_new(w->base, -1, 0, on_wait_timeout, waiter);
	event_add(waiter->timeout, &tv);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_waiter_gone, waiter);
	g_ptr_array_add(w->waiters, waiter);
}

static void end_task(worker_t *w, task_t *t, const char *how)
{
	g_autofree char *key = run_key(t->name, t->attempt);
	g_autofree char *saved = NULL;
	JsonArray *row = json_array_new();

	if (t->is_saving && strcmp(how, "done") != 0)
		t->saved_ms = worked_ms(w, t);
	saved = checkpoint_text(t->saved_ms);
	log_event(w, how, t->name, t->attempt);
	note_over(w, t->name, t->attempt);
	json_array_add_int_element(row, ++w->last_end);
	json_array_add_string_element(row, t->name);
	json_array_add_int_element(row, t->attempt);
	json_array_add_string_element(row, how);
	json_array_add_string_element(row, saved);
	g_queue_push_tail(&w->ends, row);
	w->used_cpu_milli -= t->cpu_milli;
	g_hash_table_remove(w->by_run, key);
	g_ptr_array_remove_fast(w->tasks, t);
}

static int refuse(JsonObject *out, const char *reason)
{
	json_object_set_string_member(out, "reason", reason);
	return 409;
}

static void extend_lease(worker_t *w, int64_t expires_ms)
{
	expires_ms = MIN(expires_ms, clock_ms(w) + LEASE_MAX_MS);
	w->lease_expires_ms = MAX(w->lease_expires_ms, expires_ms);
}

static int64_t get_int(JsonNode *body, const char *name)
{
	return (int64_t)bh_json_number(bh_json_get(body, name));
}

/* Tickets are PHASE/WORKER/END, the end being a Unix time in ms. */
static bool is_ticket_valid(const worker_t *w, const char *name,
			    const char *ticket)
{
	g_auto(GStrv) parts = g_strsplit(ticket ? ticket : "", "/", -1);

	return g_strv_length(parts) == 3 &&
	       strncmp(name, parts[0], strlen(parts[0])) == 0 &&
	       name[strlen(parts[0])] == '.' && strcmp(parts[1], w->id) == 0 &&
	       standin_unix_ms() < strtoll(parts[2], NULL, 10);
}

static void start_task(worker_t *w, const char *name, int64_t attempt,
		       const char *spec, const char *checkpoint)
{
	int64_t saved =
		checkpoint ? (int64_t)strtoull(checkpoint, NULL, 16) : 0;
	task_t *t = g_new0(task_t, 1);

	t->name = g_strdup(name);
	t->attempt = attempt;
	t->duration_ms = MAX(spec_number(spec, "ms"), 1);
	t->cpu_milli = spec_number(spec, "cpu");
	t->is_saving = spec_has(spec, "saves");
	t->saved_ms = saved;
	t->started_at_ms = clock_ms(w) - saved + (saved ? RESTORE_MS : 0);
	w->used_cpu_milli += t->cpu_milli;
	g_hash_table_insert(w->by_run, run_key(name, attempt), t);
	g_ptr_array_add(w->tasks, t);
	log_event(w, "start", name, attempt);
}

static int run_start(worker_t *w, JsonNode *body, JsonObject *out)
{
	const char *name = bh_json_text(bh_json_get(body, "task"));
	const char *spec = bh_json_text(bh_json_get(body, "spec"));
	int64_t attempt = get_int(body, "attempt");
	int64_t expires_ms = get_int(body, "expires-ms");
	int64_t *over;

	if (!name || !spec || attempt < 1)
		return 400;
	over = g_hash_table_lookup(w->over, name);
	if (find_task(w, name, attempt)) {
		extend_lease(w, expires_ms);
		return 200;
	}
	if (over && *over >= attempt) {
		extend_lease(w, expires_ms);
		return refuse(out, "old");
	}
	if (expires_ms <= clock_ms(w))
		return refuse(out, "late");
	if (spec_has(spec, "advised") &&
	    !is_ticket_valid(w, name,
			     bh_json_text(bh_json_get(body, "ticket"))))
		return refuse(out, "ticket");
	extend_lease(w, expires_ms);
	if (w->used_cpu_milli + spec_number(spec, "cpu") > CPU_MILLI)
		return refuse(out, "room");
	start_task(w, name, attempt, spec,
		   bh_json_text(bh_json_get(body, "checkpoint")));
	return 200;
}

static int run_stop(worker_t *w, JsonNode *body, JsonObject *out)
{
	const char *name = bh_json_text(bh_json_get(body, "task"));
	int64_t attempt = get_int(body, "attempt");
	task_t *t;

	(void)out;
	if (!name || attempt < 1)
		return 400;
	note_over(w, name, attempt);
	t = find_task(w, name, attempt);
	if (t) {
		end_task(w, t, "stopped");
		answer_waiters(w);
	}
	return 200;
}

static void drop_acknowledged(worker_t *w, int64_t ack)
{
	JsonArray *row;

	while ((row = g_queue_peek_head(&w->ends)) != NULL &&
	       json_array_get_int_element(row, 0) <= ack) {
		log_event(w, "acked", json_array_get_string_element(row, 1),
			  json_array_get_int_element(row, 2));
		json_array_unref(g_queue_pop_head(&w->ends));
	}
}

static void end_if_lapsed(worker_t *w)
{
	bool is_lapsed = clock_ms(w) >= w->lease_expires_ms;

	if (is_lapsed && !w->is_lapsed)
		log_event(w, "lease-lapsed", "-", 0);
	w->is_lapsed = is_lapsed;
	if (!is_lapsed)
		return;
	while (w->tasks->len > 0)
		end_task(w, w->tasks->pdata[0], "lapsed");
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	worker_t *w = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *target = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Target-Instance");
	GBytes *bytes = bh_http_take_body(req);
	JsonNode *body = bh_json_parse_bytes(bytes);
	JsonObject *out = new_answer(w);
	int64_t wait_ms = 0;
	int status = 200;

	if (bytes)
		g_bytes_unref(bytes);
	end_if_lapsed(w);
	if (target && strcmp(target, w->id) != 0) {
		status = 421;
	} else if (get_int(body, "fencing-token") < w->token) {
		status = refuse(out, "fence");
	} else {
		w->token = get_int(body, "fencing-token");
		if (strcmp(path, "/run-start") == 0) {
			status = run_start(w, body, out);
		} else if (strcmp(path, "/run-stop") == 0) {
			status = run_stop(w, body, out);
		} else if (strcmp(path, "/hold") == 0) {
			extend_lease(w, get_int(body, "expires-ms"));
			drop_acknowledged(w, get_int(body, "ack-seq"));
			wait_ms = MIN(get_int(body, "wait-ms"), 2000);
			json_object_unref(out);
			if (wait_ms > 0 && g_queue_is_empty(&w->ends))
				add_waiter(w, req, wait_ms);
			else
				answer_lists(w, req);
			bh_json_free(body);
			return;
		}
	}
	standin_reply(req, status, out);
	bh_json_free(body);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	worker_t *w = arg;
	int64_t last_end = w->last_end;

	(void)fd;
	(void)what;
	end_if_lapsed(w);
	for (guint i = 0; i < w->tasks->len;) {
		task_t *t = w->tasks->pdata[i];

		if (t->is_saving)
			t->saved_ms =
				MAX(t->saved_ms, worked_ms(w, t) /
							 CHECKPOINT_EVERY_MS *
							 CHECKPOINT_EVERY_MS);
		if (worked_ms(w, t) >= t->duration_ms)
			end_task(w, t, "done");
		else
			i++;
	}
	if (w->last_end > last_end)
		answer_waiters(w);
	fflush(w->log);
}

static void ignore_reply(void *user, const bh_http_reply_t *answer)
{
	(void)user;
	(void)answer;
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	worker_t *w = arg;
	g_autofree char *path = g_strconcat("/instances/", w->id, NULL);
	JsonObject *body = json_object_new();
	JsonObject *capacity = json_object_new();
	JsonArray *labels = json_array_new();
	bh_http_call_t call = {
		.method = EVHTTP_REQ_PUT,
		.path = path,
		.headers = {{"Content-Type", "application/json"}},
		.timeout_us = 1000000,
	};

	(void)fd;
	(void)what;
	json_object_set_int_member(capacity, "cpu", CPU_MILLI);
	json_object_set_int_member(capacity, "mem-mb", MEMORY_MB);
	json_object_set_int_member(capacity, "gpu", 0);
	json_array_add_string_element(labels, w->kind);
	json_array_add_string_element(labels, w->rack);
	json_object_set_string_member(body, "service", "svc");
	json_object_set_string_member(body, "zone", "z");
	json_object_set_string_member(body, "version", "v1");
	json_object_set_int_member(body, "slots", 8);
	json_object_set_string_member(body, "state", "ready");
	json_object_set_int_member(body, "cold-remaining-ms", 0);
	json_object_set_object_member(body, "capacity", capacity);
	json_object_set_array_member(body, "labels", labels);
	json_object_set_int_member(body, "seq-no", ++w->last_announcement);
	json_object_set_int_member(body, "born", w->born_unix_ms);
	json_object_set_int_member(body, "clock-ms", clock_ms(w));
	call.body = bh_json_print_bytes(body);
	bh_http_send(w->agent, &call, ignore_reply, w);
	g_bytes_unref(call.body);
}

static void add_periodic_timer(worker_t *w, int ms, event_callback_fn cb)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(event_new(w->base, -1, EV_PERSIST, cb, w), &tv);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/run-start", on_call},
		{EVHTTP_REQ_POST, "/run-stop", on_call},
		{EVHTTP_REQ_POST, "/pace", on_call},
		{EVHTTP_REQ_POST, "/hold", on_call},
	};
	worker_t w = {.base = standin_precise_base()};

	if (argc != 7) {
		fprintf(stderr, "usage: worker ID IP:PORT AGENT-IP:PORT KIND "
				"RACK LOG\n");
		return 2;
	}
	w.id = argv[1];
	w.kind = argv[4];
	w.rack = argv[5];
	w.agent = bh_http_pool_new(w.base, argv[3], 65536);
	w.log = fopen(argv[6], "ae");
	if (!w.agent || !w.log) {
		fprintf(stderr, "worker: cannot use %s or %s\n", argv[3],
			argv[6]);
		return 2;
	}
	w.born_unix_ms = standin_unix_ms();
	w.start_us = standin_now_us();
	w.tasks = g_ptr_array_new_with_free_func(task_free);
	w.by_run = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w.over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w.waiters = g_ptr_array_new_with_free_func(waiter_free);
	g_queue_init(&w.ends);
	if (!standin_serve(w.base, argv[2], routes, G_N_ELEMENTS(routes), &w))
		return 1;
	add_periodic_timer(&w, TICK_INTERVAL_MS, on_tick);
	add_periodic_timer(&w, ANNOUNCE_INTERVAL_MS, on_announce);
	on_announce(-1, 0, &w);
	return event_base_dispatch(w.base) < 0;
}
