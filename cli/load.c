#include "cli/load.h"
#include "core/hist.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define EXIT_USAGE	   2
#define RESPONSE_MAX_BYTES (2u << 20)
#define MAX_TRIES	   3

typedef struct load load_t;

typedef struct load_options {
	char *service;
	char *tenant;
	char *cls;
	char *body_prefix;
	char *key_prefix;
	char *outcomes;
	char *plot;
	char *path;
	double rate;
	int count;
	int deadline_ms;
	gboolean idempotent;
	int seed;
} load_options_t;

struct load {
	cli_context_t *cli;
	load_options_t opt;
	bh_http_pool_t **pools;
	guint n_pools;
	GRand *rand;
	FILE *outcomes;
	bh_usec_t started;
	bh_usec_t next_at;
	int sent;
	int answered;
	bh_hist_t *latency;
	bh_hist_t *failed_latency;
	uint64_t verdicts[BH_RAN + 1];
	uint64_t no_answer;
	uint64_t wrong_body;
	GHashTable *statuses;
};

typedef struct load_request {
	load_t *load;
	int number;
	int tries;
	bh_usec_t scheduled_at;
	char *body;
} load_request_t;

static bh_usec_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (bh_usec_t)ts.tv_sec * BH_USEC_PER_SEC + ts.tv_nsec / 1000;
}

static bool is_expected_body(const load_request_t *r,
			     const bh_http_reply_t *reply)
{
	g_autofree char *expected = g_strconcat("done:", r->body, NULL);
	gsize len;
	const char *data;

	if (!reply->body)
		return false;
	data = g_bytes_get_data(reply->body, &len);
	return len == strlen(expected) && memcmp(data, expected, len) == 0;
}

/* Without a verdict from the entry the request may have run. */
static bh_verdict_t parse_verdict(const bh_http_reply_t *reply)
{
	for (int v = 0; reply->verdict && v <= BH_RAN; v++) {
		if (strcmp(reply->verdict, bh_verdict_name((bh_verdict_t)v)) ==
		    0)
			return (bh_verdict_t)v;
	}
	return BH_MAYBE_RUN;
}

static void count_status(load_t *l, unsigned status)
{
	void *key = GUINT_TO_POINTER(status);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(l->statuses, key));

	g_hash_table_insert(l->statuses, key, GUINT_TO_POINTER(n + 1));
}

static void record_outcome(load_request_t *r, const bh_http_reply_t *reply,
			   bh_usec_t latency)
{
	load_t *l = r->load;
	bh_verdict_t verdict = parse_verdict(reply);
	bool is_success =
		reply->status == 200 && (verdict == BH_RAN || l->opt.path);

	count_status(l, reply->status);
	if (reply->status == 0)
		l->no_answer++;
	l->verdicts[verdict]++;
	if (is_success && !l->opt.path && !is_expected_body(r, reply))
		l->wrong_body++;
	bh_hist_add(is_success ? l->latency : l->failed_latency, latency);
	if (l->outcomes)
		fprintf(l->outcomes, "%s %s %u %lld\n", r->body,
			bh_verdict_name(verdict), reply->status,
			(long long)latency);
}

static void send_request(load_request_t *r);

static void on_answer(void *user, const bh_http_reply_t *reply)
{
	load_request_t *r = user;
	load_t *l = r->load;

	/* Not sent: try the next entry, as a load balancer would. */
	if (!reply->is_sent && ++r->tries < MAX_TRIES) {
		send_request(r);
		return;
	}
	record_outcome(r, reply, now_us() - r->scheduled_at);
	g_free(r->body);
	g_free(r);
	l->answered++;
}

static void send_request(load_request_t *r)
{
	load_t *l = r->load;
	bh_http_pool_t *pool =
		l->pools[(guint)(r->number + r->tries) % l->n_pools];
	g_autofree char *path =
		l->opt.path ? g_strdup(l->opt.path)
			    : g_strdup_printf("/v1/services/%s/requests",
					      l->opt.service);
	g_autofree char *deadline = g_strdup_printf("%d", l->opt.deadline_ms);
	g_autofree char *key = NULL;
	bh_http_call_t call = {
		.method = EVHTTP_REQ_POST,
		.path = path,
		.headers = {{"Boragehold-Tenant", l->opt.tenant},
			    {"Boragehold-Class", l->opt.cls},
			    {"Boragehold-Deadline-Ms", deadline},
			    {"Boragehold-Idempotent",
			     l->opt.idempotent ? "true" : "false"}},
		.timeout_us = (int64_t)(l->opt.deadline_ms + 5000) * 1000,
	};

	if (l->opt.key_prefix) {
		key = g_strdup_printf("%s%d", l->opt.key_prefix, r->number);
		call.headers[4].name = "Idempotency-Key";
		call.headers[4].value = key;
	}
	call.body = g_bytes_new(r->body, strlen(r->body));
	bh_http_send(pool, &call, on_answer, r);
	g_bytes_unref(call.body);
}

static void send_due(load_t *l)
{
	bh_usec_t now = now_us();

	while (l->sent < l->opt.count && l->next_at <= now) {
		load_request_t *r = g_new0(load_request_t, 1);

		r->load = l;
		r->number = l->sent++;
		r->scheduled_at = l->next_at;
		r->body =
			g_strdup_printf("%s%d", l->opt.body_prefix, r->number);
		l->next_at += (bh_usec_t)(-log(1 - g_rand_double(l->rand)) /
					  l->opt.rate * 1e6);
		send_request(r);
	}
}

static double ms(bh_usec_t us)
{
	return (double)us / 1000;
}

static void print_json(const load_t *l, double seconds)
{
	const bh_hist_t *h = l->latency;

	printf("{\"requests\":%d,\"seconds\":%.3f,\"good\":%llu,"
	       "\"ran\":%llu,\"not_run\":%llu,\"may_have_run\":%llu,"
	       "\"no_answer\":%llu,\"wrong_body\":%llu,"
	       "\"p50_ms\":%.3f,\"p90_ms\":%.3f,\"p99_ms\":%.3f,"
	       "\"p999_ms\":%.3f,\"max_ms\":%.3f}\n",
	       l->opt.count, seconds, (unsigned long long)h->count,
	       (unsigned long long)l->verdicts[BH_RAN],
	       (unsigned long long)l->verdicts[BH_NOT_RUN],
	       (unsigned long long)l->verdicts[BH_MAYBE_RUN],
	       (unsigned long long)l->no_answer,
	       (unsigned long long)l->wrong_body, ms(bh_hist_quantile(h, 0.5)),
	       ms(bh_hist_quantile(h, 0.9)), ms(bh_hist_quantile(h, 0.99)),
	       ms(bh_hist_quantile(h, 0.999)), ms(h->max_us));
}

static void print_text(const load_t *l, double seconds)
{
	const bh_hist_t *h = l->latency;
	GHashTableIter iter;
	void *status;
	void *count;

	printf("%d requests in %.2f s: %llu succeeded\n", l->opt.count, seconds,
	       (unsigned long long)h->count);
	printf("verdicts: ran %llu, not-run %llu, may-have-run %llu; "
	       "no answer %llu, wrong body %llu\n",
	       (unsigned long long)l->verdicts[BH_RAN],
	       (unsigned long long)l->verdicts[BH_NOT_RUN],
	       (unsigned long long)l->verdicts[BH_MAYBE_RUN],
	       (unsigned long long)l->no_answer,
	       (unsigned long long)l->wrong_body);
	printf("latency ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max "
	       "%.2f\n",
	       ms(bh_hist_quantile(h, 0.5)), ms(bh_hist_quantile(h, 0.9)),
	       ms(bh_hist_quantile(h, 0.99)), ms(bh_hist_quantile(h, 0.999)),
	       ms(h->max_us));
	g_hash_table_iter_init(&iter, l->statuses);
	while (g_hash_table_iter_next(&iter, &status, &count))
		printf("status %u: %u\n", GPOINTER_TO_UINT(status),
		       GPOINTER_TO_UINT(count));
}

/* Data for gnuplot; the first line is a comment with the command. */
static void write_plot(const load_t *l)
{
	FILE *f = fopen(l->opt.plot, "w");

	if (!f)
		return;
	fprintf(f,
		"# gnuplot: set logscale y; plot '%s' using 1:2 with lines\n"
		"# quantile latency_ms\n",
		l->opt.plot);
	for (int i = 0; i < 1000; i++)
		fprintf(f, "%.3f %.3f\n", i / 1000.0,
			ms(bh_hist_quantile(l->latency, i / 1000.0)));
	fclose(f);
}

static void set_defaults(load_options_t *o)
{
	o->rate = 100;
	o->count = 1000;
	o->deadline_ms = 1000;
	o->seed = 1;
}

static void set_default_text(char **option, const char *fallback)
{
	if (!*option)
		*option = g_strdup(fallback);
}

static bool parse_options(load_t *l, int argc, char **argv)
{
	load_options_t *o = &l->opt;
	GOptionEntry entries[] = {
		{"service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		 "service to call", "NAME"},
		{"tenant", 0, 0, G_OPTION_ARG_STRING, &o->tenant,
		 "tenant (default load)", "NAME"},
		{"class", 0, 0, G_OPTION_ARG_STRING, &o->cls,
		 "high, normal or low (default normal)", "CLASS"},
		{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &o->rate,
		 "requests per second (default 100)", "N"},
		{"count", 0, 0, G_OPTION_ARG_INT, &o->count,
		 "total number of requests (default 1000)", "N"},
		{"deadline-ms", 0, 0, G_OPTION_ARG_INT, &o->deadline_ms,
		 "deadline (default 1000)", "MS"},
		{"idempotent", 0, 0, G_OPTION_ARG_NONE, &o->idempotent,
		 "mark requests as idempotent", NULL},
		{"key-prefix", 0, 0, G_OPTION_ARG_STRING, &o->key_prefix,
		 "send idempotency keys", "TEXT"},
		{"body-prefix", 0, 0, G_OPTION_ARG_STRING, &o->body_prefix,
		 "bodies are this prefix and a number (default r-)", "TEXT"},
		{"outcomes", 0, 0, G_OPTION_ARG_FILENAME, &o->outcomes,
		 "write a line for each request", "FILE"},
		{"plot", 0, 0, G_OPTION_ARG_FILENAME, &o->plot,
		 "write latencies by quantile", "FILE"},
		{"path", 0, 0, G_OPTION_ARG_STRING, &o->path,
		 "call this path instead; response bodies are not checked",
		 "PATH"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &o->seed,
		 "random seed of the arrival times (default 1)", "N"},
		{0},
	};
	g_autoptr(GOptionContext) context = g_option_context_new("load");
	g_autoptr(GError) err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		fprintf(stderr, "boragehold: %s\n", err->message);
		return false;
	}
	set_default_text(&o->tenant, "load");
	set_default_text(&o->cls, "normal");
	set_default_text(&o->body_prefix, "r-");
	if ((!o->service && !o->path) || o->rate <= 0 || o->count <= 0 ||
	    o->deadline_ms <= 0) {
		fprintf(stderr, "boragehold: load: --service is required; "
				"--rate, --count and --deadline-ms must be "
				"positive\n");
		return false;
	}
	return true;
}

static bool open_pools(load_t *l)
{
	g_auto(GStrv) entries = g_strsplit(l->cli->entry, ",", -1);

	l->n_pools = g_strv_length(entries);
	l->pools = g_new0(bh_http_pool_t *, l->n_pools);
	for (guint i = 0; i < l->n_pools; i++) {
		if (!cli_check_entry(entries[i]))
			return false;
		l->pools[i] = bh_http_pool_new(l->cli->base, entries[i],
					       RESPONSE_MAX_BYTES);
	}
	return l->n_pools > 0;
}

static void load_clear(load_t *l)
{
	load_options_t *o = &l->opt;

	for (guint i = 0; i < l->n_pools; i++)
		bh_http_pool_free(l->pools[i]);
	g_free(l->pools);
	if (l->outcomes)
		fclose(l->outcomes);
	g_clear_pointer(&l->rand, g_rand_free);
	g_clear_pointer(&l->statuses, g_hash_table_destroy);
	g_free(l->latency);
	g_free(l->failed_latency);
	char *texts[] = {o->service,  o->tenant,     o->cls,  o->body_prefix,
			 o->outcomes, o->key_prefix, o->plot, o->path};
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_free(texts[i]);
}

static void run(load_t *l)
{
	double seconds;

	l->started = now_us();
	l->next_at = l->started;
	/* Busy loop: timer slack would add to the measured latency. */
	while (l->answered < l->opt.count) {
		send_due(l);
		event_base_loop(l->cli->base, EVLOOP_NONBLOCK);
	}
	seconds = (double)(now_us() - l->started) / 1e6;
	if (l->cli->json)
		print_json(l, seconds);
	else
		print_text(l, seconds);
	if (l->opt.plot)
		write_plot(l);
}

int cli_load(cli_context_t *cli, int argc, char **argv)
{
	load_t l = {.cli = cli};
	int status = EXIT_USAGE;

	set_defaults(&l.opt);
	if (parse_options(&l, argc, argv) && open_pools(&l)) {
		l.rand = g_rand_new_with_seed((guint32)l.opt.seed);
		l.statuses = g_hash_table_new(NULL, NULL);
		l.latency = g_new0(bh_hist_t, 1);
		l.failed_latency = g_new0(bh_hist_t, 1);
		if (l.opt.outcomes)
			l.outcomes = fopen(l.opt.outcomes, "w");
		run(&l);
		status = l.wrong_body ? EXIT_FAILURE : EXIT_SUCCESS;
	}
	load_clear(&l);
	return status;
}
