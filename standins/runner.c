/*
 * Stand-in for a runner. Each call occupies a slot for a service time; every
 * run is appended to a log with its request id and body, so that tests detect
 * repeated runs and more runs than slots. POST /fault?factor=F makes it F times
 * slower.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <event2/buffer.h>
#include <math.h>
#include <signal.h>
#include <string.h>

typedef struct runner {
	struct event_base *base;
	char *service;
	char *address;
	bh_http_pool_t *agent;
	FILE *log;
	GRand *rand;
	int64_t incarnation;
	int64_t seq;
	int64_t agent_incarnation;
	GList *open_runs;
	int slots;
	int connections;
	int service_us;
	double factor;
	bool is_exponential;
	bool is_draining;
	int running;
	int most_running;
	uint64_t runs;
} runner_t;

typedef struct run {
	runner_t *runner;
	struct evhttp_request *req;
	GBytes *body;
	int64_t agent;
} run_t;

static void log_line(runner_t *r, const char *what, const char *id,
		     GBytes *body)
{
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : "";

	if (!r->log)
		return;
	fprintf(r->log, "%lld %s %s %.*s\n", (long long)standin_unix_ms(), what,
		id ? id : "-", (int)MIN(len, 64), data);
	fflush(r->log);
}

static void finish_run(run_t *run)
{
	struct evbuffer *buf = evbuffer_new();
	gsize len = 0;
	const void *data = run->body ? g_bytes_get_data(run->body, &len) : "";

	evbuffer_add(buf, "done:", 5);
	evbuffer_add(buf, data, len);
	evhttp_send_reply(run->req, 200, "OK", buf);
	evbuffer_free(buf);
	run->runner->running--;
	run->runner->open_runs = g_list_remove(run->runner->open_runs, run);
	if (run->body)
		g_bytes_unref(run->body);
	g_free(run);
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	finish_run(arg);
}

static int64_t draw_service_us(runner_t *r)
{
	double us = r->service_us * r->factor;

	if (r->is_exponential)
		us *= -log(1 - g_rand_double(r->rand));
	return (int64_t)us;
}

static void on_run(struct evhttp_request *req, void *ctx)
{
	runner_t *r = ctx;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *id = evhttp_find_header(headers, "Boragehold-Request-Id");
	const char *agent = evhttp_find_header(headers, "Boragehold-Agent");
	run_t *run = g_new0(run_t, 1);
	int64_t us = draw_service_us(r);
	struct timeval delay = {us / 1000000, us % 1000000};

	run->runner = r;
	run->req = req;
	run->agent = agent ? g_ascii_strtoll(agent, NULL, 10) : 0;
	r->open_runs = g_list_prepend(r->open_runs, run);
	run->body = g_bytes_new(evbuffer_pullup(in, -1), len);
	r->runs++;
	r->running++;
	r->most_running = MAX(r->most_running, r->running);
	log_line(r, "run", id, run->body);
	if (r->running > r->slots)
		log_line(r, "slots-exceeded", id, NULL);
	if (us == 0)
		finish_run(run);
	else
		event_base_once(r->base, -1, EV_TIMEOUT, on_done, run, &delay);
}

static void on_fault(struct evhttp_request *req, void *ctx)
{
	runner_t *r = ctx;
	g_autofree char *factor = standin_param(req, "factor", "1");

	r->factor = g_ascii_strtod(factor, NULL);
	standin_reply(req, 200, json_object_new());
}

static void on_stats(struct evhttp_request *req, void *ctx)
{
	runner_t *r = ctx;
	JsonObject *o = json_object_new();

	json_object_set_int_member(o, "runs", (gint64)r->runs);
	json_object_set_int_member(o, "most_running", r->most_running);
	standin_reply(req, 200, o);
}

static int count_orphans(const runner_t *r)
{
	int n = 0;

	for (GList *l = r->open_runs; l; l = l->next)
		n += ((run_t *)l->data)->agent != r->agent_incarnation;
	return n;
}

static void announce(runner_t *r);

/*
 * Announces again at once to a restarted agent, which must know which slots
 * are occupied by runs of its predecessor.
 */
static void on_announced(void *user, const bh_http_reply_t *reply)
{
	runner_t *r = user;
	JsonNode *node = NULL;
	int64_t agent = 0;

	if (reply->status == 200)
		node = bh_json_parse_bytes(reply->body);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		agent = json_object_get_int_member_with_default(
			json_node_get_object(node), "agent", 0);
	g_clear_pointer(&node, json_node_unref);
	if (agent == 0 || agent == r->agent_incarnation)
		return;
	r->agent_incarnation = agent;
	announce(r);
}

static void announce(runner_t *r)
{
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"incarnation\":%lld,"
		"\"seq\":%lld,\"slots\":%d,\"connections\":%d,\"agent\":%lld,"
		"\"orphans\":%d,\"draining\":%s}",
		r->service, r->address, (long long)r->incarnation,
		(long long)++r->seq, r->slots, r->connections,
		(long long)r->agent_incarnation, count_orphans(r),
		r->is_draining ? "true" : "false");
	GBytes *body = g_bytes_new_take(text, strlen(text));
	bh_http_call_t call = {
		.method = EVHTTP_REQ_POST,
		.path = "/announce",
		.body = body,
		.timeout_us = 1000000,
	};

	bh_http_send(r->agent, &call, on_announced, r);
	g_bytes_unref(body);
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	runner_t *r = arg;

	(void)fd;
	(void)what;
	announce(r);
	if (r->is_draining && r->running == 0)
		event_base_loopexit(r->base, NULL);
}

static void on_sigterm(evutil_socket_t fd, short what, void *arg)
{
	runner_t *r = arg;

	(void)fd;
	(void)what;
	r->is_draining = true;
	announce(r);
}

static const standin_route_t routes[] = {
	{EVHTTP_REQ_POST, "/fault", on_fault},
	{EVHTTP_REQ_GET, "/stats", on_stats},
	{EVHTTP_REQ_POST, "/run", on_run},
};

static void start_announcing(runner_t *r)
{
	struct timeval period = {0, 500000};
	struct event *timer =
		event_new(r->base, -1, EV_PERSIST, on_announce, r);
	struct event *term = evsignal_new(r->base, SIGTERM, on_sigterm, r);

	event_add(timer, &period);
	event_add(term, NULL);
	announce(r);
}

int main(int argc, char **argv)
{
	runner_t r = {.slots = 8,
		      .connections = 64,
		      .service_us = 2000,
		      .factor = 1,
		      .incarnation = g_get_real_time()};
	char *agent = NULL;
	char *log_path = NULL;
	gboolean exponential = FALSE;
	GOptionEntry entries[] = {
		{"service", 0, 0, G_OPTION_ARG_STRING, &r.service, "service",
		 "NAME"},
		{"listen", 0, 0, G_OPTION_ARG_STRING, &r.address, "address",
		 "IP:PORT"},
		{"agent", 0, 0, G_OPTION_ARG_STRING, &agent,
		 "the agent's HTTP address", "IP:PORT"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &r.slots, "slots", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &r.connections,
		 "connections", "N"},
		{"service-us", 0, 0, G_OPTION_ARG_INT, &r.service_us,
		 "service time", "US"},
		{"factor", 0, 0, G_OPTION_ARG_DOUBLE, &r.factor, "slowdown",
		 "F"},
		{"exponential", 0, 0, G_OPTION_ARG_NONE, &exponential,
		 "exponential service times", NULL},
		{"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path,
		 "append-only log of runs", "FILE"},
		{0},
	};
	g_autoptr(GOptionContext) options = g_option_context_new(NULL);

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL) ||
	    !r.service || !r.address || !agent)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	r.is_exponential = exponential;
	r.base = standin_precise_base();
	r.rand = g_rand_new_with_seed((guint32)r.incarnation);
	r.log = log_path ? fopen(log_path, "a") : NULL;
	r.agent = bh_http_pool_new(r.base, agent, 4096);
	if (!r.agent ||
	    !standin_serve(r.base, r.address, routes, G_N_ELEMENTS(routes), &r))
		return 1;
	start_announcing(&r);
	event_base_dispatch(r.base);
	return 0;
}
