/*
 * Stand-in for the worker runtime. It simulates tasks by accounting their run
 * time, enforces each lease itself, checkpoints, throttles and stops tasks, and
 * reports usage. A task whose lease lapsed is frozen: it keeps its resources
 * and makes no progress. Every state change is appended to a log.
 * POST /fault?fail_starts=1 fails every start; usage=F sets the
 * usage of running tasks as a fraction of their reservation.
 */
#include "standins/common.h"

#include <string.h>

#define TICK_INTERVAL_US       20000
#define CHECKPOINT_INTERVAL_MS 100

typedef enum work_state {
	WORK_RUNNING,
	WORK_FROZEN,
	WORK_DONE,
	WORK_STOPPED,
} work_state_t;

static const char *const state_names[] = {"running", "frozen", "done",
					  "stopped"};

typedef struct work_item {
	char *id;
	int64_t epoch;
	work_state_t state;
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t accel;
	int64_t run_us;
	int64_t progress_us;
	int64_t checkpoint_us;
	int64_t permille;
	int64_t lease_until_us;
	int64_t done_unix_ms;
} work_item_t;

typedef struct worker {
	struct event_base *base;
	GHashTable *work_items;
	GHashTable *epochs; /* task id to the highest epoch started */
	FILE *log;
	int cpu_milli;
	int mem_mb;
	int accel;
	double usage;
	bool fails_starts;
	int64_t advanced_at;
} worker_t;

static bool holds_resources(const work_item_t *w)
{
	return w->state == WORK_RUNNING || w->state == WORK_FROZEN;
}

static void work_item_free(void *data)
{
	work_item_t *w = data;

	g_free(w->id);
	g_free(w);
}

static int64_t sum_reserved(const worker_t *k, size_t offset)
{
	GHashTableIter iter;
	void *value;
	int64_t sum = 0;

	g_hash_table_iter_init(&iter, k->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (holds_resources(value))
			sum += *(int64_t *)((char *)value + offset);
	}
	return sum;
}

static void log_work_item(worker_t *k, const char *what, const work_item_t *w)
{
	if (!k->log)
		return;
	fprintf(k->log,
		"%lld %s %s epoch=%lld progress_ms=%lld cpu_milli=%lld/%d "
		"mem_mb=%lld/%d accel=%lld/%d\n",
		(long long)standin_unix_ms(), what, w->id, (long long)w->epoch,
		(long long)w->progress_us / 1000,
		(long long)sum_reserved(k, offsetof(work_item_t, cpu_milli)),
		k->cpu_milli,
		(long long)sum_reserved(k, offsetof(work_item_t, mem_mb)),
		k->mem_mb,
		(long long)sum_reserved(k, offsetof(work_item_t, accel)),
		k->accel);
	fflush(k->log);
}

static void advance(worker_t *k, work_item_t *w, int64_t now)
{
	int64_t until = MIN(now, w->lease_until_us);
	int64_t ran = MAX(until - k->advanced_at, 0);

	if (w->state == WORK_FROZEN && now < w->lease_until_us) {
		w->state = WORK_RUNNING;
		log_work_item(k, "thaw", w);
	}
	if (w->state != WORK_RUNNING)
		return;
	w->progress_us += ran * w->permille / 1000;
	if (w->progress_us - w->checkpoint_us >= CHECKPOINT_INTERVAL_MS * 1000)
		w->checkpoint_us = w->progress_us;
	if (w->progress_us >= w->run_us) {
		w->state = WORK_DONE;
		w->done_unix_ms = standin_unix_ms();
		log_work_item(k, "done", w);
	} else if (now >= w->lease_until_us) {
		w->state = WORK_FROZEN;
		w->checkpoint_us = w->progress_us;
		log_work_item(k, "freeze", w);
	}
}

static void tick(worker_t *k)
{
	int64_t now = standin_now_us();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, k->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		advance(k, value, now);
	k->advanced_at = now;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	tick(arg);
}

static void refuse(struct evhttp_request *req, int status, const char *reason)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "reason", reason);
	standin_reply(req, status, o);
}

static int64_t get_int(JsonObject *o, const char *name)
{
	return json_object_get_int_member_with_default(o, name, 0);
}

static bool fits(const worker_t *k, const work_item_t *w)
{
	return sum_reserved(k, offsetof(work_item_t, cpu_milli)) +
			       w->cpu_milli <=
		       k->cpu_milli &&
	       sum_reserved(k, offsetof(work_item_t, mem_mb)) + w->mem_mb <=
		       k->mem_mb &&
	       sum_reserved(k, offsetof(work_item_t, accel)) + w->accel <=
		       k->accel;
}

static work_item_t *work_item_from_json(JsonObject *o)
{
	work_item_t *w = g_new0(work_item_t, 1);

	w->id = g_strdup(
		json_object_get_string_member_with_default(o, "id", ""));
	w->epoch = get_int(o, "epoch");
	w->cpu_milli = get_int(o, "cpu_milli");
	w->mem_mb = get_int(o, "mem_mb");
	w->accel = get_int(o, "accel");
	w->run_us = get_int(o, "run_ms") * 1000;
	w->progress_us = get_int(o, "progress_ms") * 1000;
	w->checkpoint_us = w->progress_us;
	w->lease_until_us = get_int(o, "lease_until_us");
	w->permille = 1000;
	return w;
}

static const char *check_start(worker_t *k, const work_item_t *w, int *status)
{
	int64_t highest =
		(int64_t)(intptr_t)g_hash_table_lookup(k->epochs, w->id);

	*status = 409;
	if (w->epoch <= highest)
		return "an equal or higher epoch was started before";
	if (w->lease_until_us <= standin_now_us())
		return "the lease has lapsed";
	*status = 507;
	if (!fits(k, w))
		return "not enough processors, memory or accelerators";
	*status = 500;
	return k->fails_starts ? "the start failed" : NULL;
}

static void on_start(struct evhttp_request *req, void *ctx)
{
	worker_t *k = ctx;
	JsonObject *body = standin_body(req);
	const char *reason;
	int status;
	work_item_t *w;

	if (!body) {
		refuse(req, 400, "not a JSON object");
		return;
	}
	w = work_item_from_json(body);
	json_object_unref(body);
	tick(k);
	reason = check_start(k, w, &status);
	if (reason) {
		log_work_item(k, "refuse", w);
		refuse(req, status, reason);
		work_item_free(w);
		return;
	}
	g_hash_table_replace(k->epochs, g_strdup(w->id),
			     (void *)(intptr_t)w->epoch);
	g_hash_table_replace(k->work_items, w->id, w);
	log_work_item(k, "start", w);
	standin_reply(req, 200, json_object_new());
}

static work_item_t *find_work_item(worker_t *k, JsonObject *o)
{
	const char *id =
		json_object_get_string_member_with_default(o, "id", "");
	work_item_t *w = g_hash_table_lookup(k->work_items, id);

	return w && w->epoch == get_int(o, "epoch") ? w : NULL;
}

static void on_lease(struct evhttp_request *req, void *ctx)
{
	worker_t *k = ctx;
	JsonObject *body = standin_body(req);
	JsonArray *tasks;
	int64_t until;

	if (!body || !json_object_has_member(body, "tasks")) {
		refuse(req, 400, "not a renewal");
		return;
	}
	until = get_int(body, "lease_until_us");
	tasks = json_object_get_array_member(body, "tasks");
	tick(k);
	for (guint i = 0; i < json_array_get_length(tasks); i++) {
		work_item_t *w = find_work_item(
			k, json_array_get_object_element(tasks, i));

		if (w && w->lease_until_us < until)
			w->lease_until_us = until;
	}
	tick(k);
	json_object_unref(body);
	standin_reply(req, 200, json_object_new());
}

static void handle_work_item(struct evhttp_request *req, worker_t *k,
			     void (*action)(worker_t *, work_item_t *,
					    JsonObject *))
{
	JsonObject *body = standin_body(req);
	work_item_t *w = body ? find_work_item(k, body) : NULL;

	tick(k);
	if (w)
		action(k, w, body);
	if (body)
		json_object_unref(body);
	if (w)
		standin_reply(req, 200, json_object_new());
	else
		refuse(req, 404, "no such task and epoch");
}

static void do_stop(worker_t *k, work_item_t *w, JsonObject *body)
{
	(void)body;
	if (!holds_resources(w))
		return;
	w->state = WORK_STOPPED;
	w->checkpoint_us = w->progress_us;
	log_work_item(k, "stop", w);
}

static void do_forget(worker_t *k, work_item_t *w, JsonObject *body)
{
	(void)body;
	if (!holds_resources(w))
		g_hash_table_remove(k->work_items, w->id);
}

static void do_throttle(worker_t *k, work_item_t *w, JsonObject *body)
{
	w->permille = get_int(body, "permille");
	log_work_item(k, "throttle", w);
}

static void on_stop(struct evhttp_request *req, void *ctx)
{
	handle_work_item(req, ctx, do_stop);
}

static void on_forget(struct evhttp_request *req, void *ctx)
{
	handle_work_item(req, ctx, do_forget);
}

static void on_throttle(struct evhttp_request *req, void *ctx)
{
	handle_work_item(req, ctx, do_throttle);
}

static JsonObject *work_item_to_json(const worker_t *k, const work_item_t *w)
{
	JsonObject *o = json_object_new();
	double usage_factor = w->state == WORK_RUNNING ? k->usage : 0;

	json_object_set_string_member(o, "id", w->id);
	json_object_set_int_member(o, "epoch", w->epoch);
	json_object_set_string_member(o, "state", state_names[w->state]);
	json_object_set_int_member(o, "cpu_milli", w->cpu_milli);
	json_object_set_int_member(o, "mem_mb", w->mem_mb);
	json_object_set_int_member(o, "accel", w->accel);
	json_object_set_int_member(o, "run_ms", w->run_us / 1000);
	json_object_set_int_member(o, "progress_ms", w->checkpoint_us / 1000);
	json_object_set_int_member(o, "done_unix_ms", w->done_unix_ms);
	json_object_set_int_member(
		o, "used_cpu_milli",
		(gint64)((double)w->cpu_milli * usage_factor));
	json_object_set_int_member(o, "used_mem_mb",
				   (gint64)((double)w->mem_mb * usage_factor));
	return o;
}

static void on_list(struct evhttp_request *req, void *ctx)
{
	worker_t *k = ctx;
	JsonObject *o = json_object_new();
	JsonArray *tasks = json_array_new();
	GHashTableIter iter;
	void *value;

	tick(k);
	g_hash_table_iter_init(&iter, k->work_items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_add_object_element(tasks,
					      work_item_to_json(k, value));
	json_object_set_int_member(o, "cpu_milli", k->cpu_milli);
	json_object_set_int_member(o, "mem_mb", k->mem_mb);
	json_object_set_int_member(o, "accel", k->accel);
	json_object_set_array_member(o, "tasks", tasks);
	standin_reply(req, 200, o);
}

static void on_fault(struct evhttp_request *req, void *ctx)
{
	worker_t *k = ctx;
	g_autofree char *usage = standin_param(req, "usage", "0.7");

	k->fails_starts = standin_param_int(req, "fail_starts", 0) != 0;
	k->usage = g_ascii_strtod(usage, NULL);
	standin_reply(req, 200, json_object_new());
}

static const standin_route_t routes[] = {
	{EVHTTP_REQ_POST, "/tasks", on_start},
	{EVHTTP_REQ_GET, "/tasks", on_list},
	{EVHTTP_REQ_POST, "/lease", on_lease},
	{EVHTTP_REQ_POST, "/stop", on_stop},
	{EVHTTP_REQ_POST, "/forget", on_forget},
	{EVHTTP_REQ_POST, "/throttle", on_throttle},
	{EVHTTP_REQ_POST, "/fault", on_fault},
};

int main(int argc, char **argv)
{
	worker_t k = {
		.cpu_milli = 16000, .mem_mb = 60000, .accel = 0, .usage = 0.7};
	char *address = NULL;
	char *log_path = NULL;
	GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &address, "address",
		 "IP:PORT"},
		{"cpu-milli", 0, 0, G_OPTION_ARG_INT, &k.cpu_milli,
		 "thousandths of processors", "N"},
		{"mem-mb", 0, 0, G_OPTION_ARG_INT, &k.mem_mb, "memory", "MB"},
		{"accel", 0, 0, G_OPTION_ARG_INT, &k.accel, "accelerators",
		 "N"},
		{"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path,
		 "append-only log of tasks", "FILE"},
		{0},
	};
	g_autoptr(GOptionContext) options = g_option_context_new(NULL);
	struct timeval period = {0, TICK_INTERVAL_US};

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL) || !address)
		return 2;
	k.base = event_base_new();
	k.log = log_path ? fopen(log_path, "a") : NULL;
	k.work_items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     work_item_free);
	k.epochs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	k.advanced_at = standin_now_us();
	if (!standin_serve(k.base, address, routes, G_N_ELEMENTS(routes), &k))
		return 1;
	event_add(event_new(k.base, -1, EV_PERSIST, on_tick, &k), &period);
	event_base_dispatch(k.base);
	return 0;
}
