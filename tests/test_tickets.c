/*
 * The adviser of a queue: more workers than fit into one request.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define JOB	 "00000000000000aa"
#define HOSTS	 36
#define ASK_MAX	 30
#define VALID_MS 3000

typedef struct orders {
	int asked;
	uint64_t number;
	GHashTable *names;
	int starts;
	char worker[16];
	char ticket[16];
} orders_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	orders_t *o = ctx;

	(void)host;
	o->starts++;
	g_strlcpy(o->worker, start->worker, sizeof(o->worker));
	g_strlcpy(o->ticket, start->ticket, sizeof(o->ticket));
}

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)expires_ms;
	(void)ack;
}

static void on_advise(void *ctx, const bh_advice_request_t *request)
{
	orders_t *o = ctx;

	assert_string_equal(request->phase, JOB ".0.0");
	assert_true(request->n_workers <= ASK_MAX);
	o->asked++;
	o->number = request->number;
	g_hash_table_remove_all(o->names);
	for (uint32_t i = 0; i < request->n_workers; i++)
		g_hash_table_add(o->names, g_strdup(request->workers[i]));
}

/* The adviser's answer to its last call. */
static void advised(bh_sched_t *s, const orders_t *o,
		    const bh_ticket_t *tickets, uint32_t n, uint32_t valid_ms,
		    bh_usec_t now)
{
	bh_advice_reply_t reply = {.outcome = BH_ADVICE_ANSWERED,
				   .tickets = tickets,
				   .n_tickets = n,
				   .valid_ms = valid_ms};

	bh_sched_advised(s, o->number, &reply, now);
}

static const bh_sched_ops_t ops = {
	.start = on_start, .grant = on_grant, .advise = on_advise};

static const bh_sched_bounds_t bounds = {
	.term = 1, .lease_ms = 5000, .status_ms = 120000};

static bh_job_t *make_job(void)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, JOB, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0].count = 1;
	job->steps[0].cpu_milli = 500;
	job->steps[0].memory_mb = 100;
	job->steps[0].estimate_ms = 1000;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	return job;
}

static bh_config_t *make_config(void)
{
	bh_config_t *config = bh_config_new(1, 1);

	config->queues[0] = (bh_queue_t){.name = g_strdup("q"),
					 .host = g_strdup("h"),
					 .prefix = g_strdup("/q/"),
					 .service = g_strdup("svc"),
					 .slack_factor = 2,
					 .needs_advice = true};
	config->services[0].name = g_strdup("svc");
	bh_config_index(config);
	return config;
}

static void report_all(bh_sched_t *s, bh_usec_t now)
{
	for (uint64_t i = 1; i <= HOSTS; i++) {
		g_autofree char *key =
			g_strdup_printf("10.0.0.%" G_GUINT64_FORMAT ":1", i);
		g_autofree char *id = g_strdup_printf("w%" G_GUINT64_FORMAT, i);
		bh_worker_info_t info = {.id = id,
					 .boot = i,
					 .service = (char *)"svc",
					 .state = BH_WORKER_READY,
					 .cpu_milli = 8000,
					 .memory_mb = 8000};
		bh_worker_lists_t lists = {.boot = i,
					   .clock_ms = (uint64_t)now / 1000};

		bh_sched_add_host(s, key, false, now);
		bh_sched_host_linked(s, key, true, now);
		bh_sched_report(s, key, &info, &lists, true, now);
	}
}

/* Only the last worker may run the step. The same 30 workers were asked about
 * each time, so that it never started. */
static void test_further_workers_are_asked_about(void **state)
{
	orders_t o = {.names = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL)};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, &o, MS(1), 1000);
	bh_config_t *config = make_config();
	bh_ticket_t ticket = {"w36", "t36"};

	(void)state;
	bh_sched_set_config(s, config);
	report_all(s, MS(10));
	bh_sched_add_job(s, make_job(), NULL, MS(20));
	bh_sched_run(s, MS(20), 1020);
	assert_int_equal(o.asked, 1);
	assert_int_equal(g_hash_table_size(o.names), ASK_MAX);
	assert_false(g_hash_table_contains(o.names, "w36"));
	advised(s, &o, NULL, 0, VALID_MS, MS(100));
	bh_sched_run(s, MS(100), 1100);
	assert_int_equal(o.asked, 2);
	assert_int_equal(g_hash_table_size(o.names), HOSTS - ASK_MAX);
	assert_true(g_hash_table_contains(o.names, "w36"));
	advised(s, &o, &ticket, 1, VALID_MS, MS(200));
	bh_sched_run(s, MS(200), 1200);
	assert_int_equal(o.starts, 1);
	assert_string_equal(o.worker, "w36");
	assert_string_equal(o.ticket, "t36");
	bh_sched_free(s);
	bh_config_free(config);
	g_hash_table_destroy(o.names);
}

/* A call that got no answer says nothing about the workers in it. */
static void test_missing_answer_is_asked_for_again(void **state)
{
	orders_t o = {.names = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL)};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, &o, MS(1), 1000);
	bh_config_t *config = make_config();

	(void)state;
	bh_sched_set_config(s, config);
	report_all(s, MS(10));
	bh_sched_add_job(s, make_job(), NULL, MS(20));
	bh_sched_run(s, MS(20), 1020);
	advised(s, &o, NULL, 0, 0, MS(100));
	report_all(s, MS(110));
	bh_sched_run(s, MS(110), 1110);
	assert_int_equal(o.asked, 1);
	report_all(s, MS(1600));
	bh_sched_run(s, MS(1600), 2600);
	assert_int_equal(o.asked, 2);
	assert_true(g_hash_table_contains(o.names, "w1"));
	bh_sched_free(s);
	bh_config_free(config);
	g_hash_table_destroy(o.names);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_further_workers_are_asked_about),
		cmocka_unit_test(test_missing_answer_is_asked_for_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
