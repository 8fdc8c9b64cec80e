/*
 * Replays of steps that need advice against an adviser that serves in turn. In
 * the first one most steps never got any: their calls were repeated while they
 * waited, and answers that took more than 4 s were dropped.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define HOSTS_MAX 8
#define JOBS_MAX  100
#define STEP_MS	  5

/* What the configuration says. */
#define DECISION_MS   120
#define PER_WORKER_MS 10

/* The adviser refuses calls when so many wait. */
#define QUEUE_MAX 32

typedef struct call {
	uint64_t number;
	int until_ms;
	char phase[BH_TASK_NAME_BYTES];
	uint32_t n_workers;
	char *workers[30];
} call_t;

/**
 * struct world - a leader, its workers, and an adviser
 * @queue: calls that wait; the first one is being served until @served_ms
 * @slowness: time that calls take relative to the configuration's
 * @lost_from: calls that arrive from then on, up to @lost_until, are lost
 * @refuses_until: calls are refused before
 * @valid_ms: of tickets
 * @denied: prefix of the jobs that no worker may run, or NULL
 * @started: by job, when a task of it first started; 0: never
 */
typedef struct world {
	bh_sched_t *s;
	bh_config_t *config;
	int ms;
	int hosts;
	GQueue queue;
	int served_ms;
	int slowness;
	int lost_from;
	int lost_until;
	int refuses_until;
	uint32_t valid_ms;
	const char *denied;
	int calls;
	int refused;
	int jobs;
	int started[JOBS_MAX];
	uint32_t starts;
} world_t;

static void call_free(call_t *call)
{
	for (uint32_t i = 0; i < call->n_workers; i++)
		g_free(call->workers[i]);
	g_free(call);
}

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	world_t *w = ctx;
	char id[BH_JOB_ID_LEN + 1];
	int job;

	(void)host;
	assert_non_null(start->ticket);
	g_strlcpy(id, start->task, sizeof(id));
	job = (int)strtol(id + 8, NULL, 16);
	w->starts++;
	if (!w->started[job])
		w->started[job] = w->ms;
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
	world_t *w = ctx;
	call_t *call = g_new0(call_t, 1);

	call->number = request->number;
	call->until_ms = w->ms + (int)(request->timeout / BH_USEC_PER_MS);
	g_strlcpy(call->phase, request->phase, sizeof(call->phase));
	call->n_workers = request->n_workers;
	for (uint32_t i = 0; i < request->n_workers; i++)
		call->workers[i] = g_strdup(request->workers[i]);
	w->calls++;
	g_queue_push_tail(&w->queue, call);
}

static const bh_sched_ops_t ops = {
	.start = on_start, .grant = on_grant, .advise = on_advise};

static const bh_sched_bounds_t bounds = {
	.term = 1, .lease_ms = 5000, .status_ms = 120000};

static int cost_ms(const world_t *w, const call_t *call)
{
	return (DECISION_MS + PER_WORKER_MS * (int)call->n_workers) *
	       w->slowness;
}

/* A call that was given up has ended for the scheduler, not for the adviser. */
static void end_call(world_t *w, call_t *call, bh_advice_outcome_t outcome)
{
	bool is_given_up = w->ms >= call->until_ms;
	g_autofree bh_ticket_t *tickets = g_new0(bh_ticket_t, 30);
	bh_advice_reply_t reply = {.outcome = outcome, .tickets = tickets};

	if (is_given_up)
		reply.outcome = BH_ADVICE_FAILED;
	if (outcome == BH_ADVICE_ANSWERED)
		reply.valid_ms = w->valid_ms;
	if (!w->denied || !g_str_has_prefix(call->phase, w->denied)) {
		reply.n_tickets = call->n_workers;
		for (uint32_t i = 0; i < call->n_workers; i++)
			tickets[i] = (bh_ticket_t){call->workers[i], "t"};
	}
	bh_sched_advised(w->s, call->number, &reply, MS(w->ms));
	call_free(call);
}

/* Calls that arrived since are lost, refused, or wait for their turn. */
static void admit_calls(world_t *w, guint from)
{
	while (g_queue_get_length(&w->queue) > from) {
		call_t *call = g_queue_peek_nth(&w->queue, from);

		if (w->ms >= w->lost_from && w->ms < w->lost_until) {
			call_free(g_queue_pop_nth(&w->queue, from));
		} else if (w->ms < w->refuses_until || from >= QUEUE_MAX) {
			g_queue_pop_nth(&w->queue, from);
			w->refused++;
			end_call(w, call, BH_ADVICE_FAILED);
		} else {
			if (from++ == 0)
				w->served_ms = w->ms + cost_ms(w, call);
		}
	}
}

static void serve(world_t *w)
{
	call_t *next;

	if (g_queue_is_empty(&w->queue) || w->ms < w->served_ms)
		return;
	end_call(w, g_queue_pop_head(&w->queue), BH_ADVICE_ANSWERED);
	next = g_queue_peek_head(&w->queue);
	if (next)
		w->served_ms = w->ms + cost_ms(w, next);
}

static void report_all(world_t *w)
{
	for (int i = 1; i <= w->hosts; i++) {
		g_autofree char *key = g_strdup_printf("10.0.0.%d:1", i);
		g_autofree char *id = g_strdup_printf("w%d", i);
		bh_worker_info_t info = {.id = id,
					 .boot = (uint64_t)i,
					 .service = (char *)"svc",
					 .state = BH_WORKER_READY,
					 .cpu_milli = 16000,
					 .memory_mb = 16000};
		bh_worker_lists_t lists = {.boot = (uint64_t)i,
					   .clock_ms = (uint64_t)w->ms};

		bh_sched_add_host(w->s, key, false, MS(w->ms));
		bh_sched_host_linked(w->s, key, true, MS(w->ms));
		bh_sched_report(w->s, key, &info, &lists, true, MS(w->ms));
	}
}

static void submit(world_t *w, uint32_t count, uint32_t cpu_milli)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%016x", w->jobs++);
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0].count = count;
	job->steps[0].cpu_milli = cpu_milli;
	job->steps[0].memory_mb = 10;
	job->steps[0].estimate_ms = 1000;
	job->accepted_ms = 1000 + (uint64_t)w->ms;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	bh_sched_add_job(w->s, job, NULL, MS(w->ms));
}

static void step(world_t *w)
{
	guint waiting = g_queue_get_length(&w->queue);

	w->ms += STEP_MS;
	if (w->ms % 200 == 0)
		report_all(w);
	serve(w);
	waiting = MIN(waiting, g_queue_get_length(&w->queue));
	bh_sched_note_leading(w->s, MS(w->ms));
	bh_sched_run(w->s, MS(w->ms), 1000 + (uint64_t)w->ms);
	admit_calls(w, waiting);
}

static void run_until(world_t *w, int ms)
{
	while (w->ms < ms)
		step(w);
}

static void submit_burst(world_t *w, int jobs, int interval_ms, uint32_t count)
{
	for (int i = 0; i < jobs; i++) {
		submit(w, count, 100);
		run_until(w, w->ms + interval_ms);
	}
}

static world_t *world_new(int hosts)
{
	world_t *w = g_new0(world_t, 1);

	w->hosts = hosts;
	w->slowness = 1;
	w->valid_ms = 3000;
	g_queue_init(&w->queue);
	w->config = bh_config_new(1, 1);
	w->config->queues[0] =
		(bh_queue_t){.name = g_strdup("q"),
			     .host = g_strdup("h"),
			     .prefix = g_strdup("/q/"),
			     .service = g_strdup("svc"),
			     .slack_factor = 2,
			     .needs_advice = true,
			     .advice_ms = DECISION_MS,
			     .advice_per_worker_ms = PER_WORKER_MS,
			     .advice_valid_ms = 3000};
	w->config->services[0].name = g_strdup("svc");
	bh_config_index(w->config);
	w->s = bh_sched_new(&bounds, &ops, w, MS(1), 1000);
	bh_sched_set_config(w->s, w->config);
	report_all(w);
	return w;
}

static void world_free(world_t *w)
{
	call_t *call;

	while ((call = g_queue_pop_head(&w->queue)) != NULL)
		call_free(call);
	bh_sched_free(w->s);
	bh_config_free(w->config);
	g_free(w);
}

static int last_start(const world_t *w)
{
	int last = 0;

	for (int i = 0; i < w->jobs; i++) {
		if (!w->started[i])
			fail_msg("job %d of %d never ran", i, w->jobs);
		last = MAX(last, w->started[i]);
	}
	return last;
}

/* 40 jobs at 11 a second, and an adviser that answers five: 8 s of calls. */
static void test_burst_of_steps_gets_advice(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	submit_burst(w, 40, 90, 1);
	run_until(w, 45000);
	assert_in_range(last_start(w), 8000, 9000);
	assert_int_equal(w->calls, 40);
	world_free(w);
}

/* The same with six tasks a step, all of which the tickets are for. */
static void test_burst_of_wide_steps_gets_advice(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	submit_burst(w, 40, 90, 6);
	run_until(w, 45000);
	assert_true(last_start(w) < 9000);
	assert_int_equal(w->starts, 240);
	world_free(w);
}

/* Calls take six times as long as the configuration says: the adviser needs 48
 * s, and is not asked twice for more than a few steps. */
static void test_slow_adviser_is_not_asked_again(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->slowness = 6;
	submit_burst(w, 40, 90, 1);
	run_until(w, 70000);
	assert_true(last_start(w) < 54000);
	assert_true(w->calls <= 44);
	world_free(w);
}

/* Twenty times as long: 4 s a call. Predictions follow that, or the calls that
 * probe an adviser which seems to be silent would fill its queue. */
static void test_very_slow_adviser_is_waited_for(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->slowness = 20;
	submit_burst(w, 24, 90, 1);
	run_until(w, 200000);
	assert_true(last_start(w) < 110000);
	assert_true(w->calls <= 30);
	world_free(w);
}

/* Calls get no answer for 5 s: the first probe after that is answered. */
static void test_calls_of_an_outage_are_repeated(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->lost_from = 1000;
	w->lost_until = 6000;
	submit_burst(w, 40, 90, 1);
	run_until(w, 45000);
	assert_true(last_start(w) < 6000 + 2000 + 8500);
	assert_true(w->calls <= 50);
	world_free(w);
}

/* One step alone, whose call is lost. */
static void test_lost_call_is_repeated(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->lost_until = 100;
	submit_burst(w, 1, 90, 1);
	run_until(w, 10000);
	assert_true(last_start(w) < 2500);
	assert_in_range(w->calls, 2, 3);
	world_free(w);
}

/* The queue of the adviser is full for 3 s. */
static void test_full_adviser_is_asked_again(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->refuses_until = 3000;
	submit_burst(w, 40, 90, 1);
	run_until(w, 45000);
	assert_true(last_start(w) < 3000 + 1000 + 8500);
	assert_true(w->refused <= 12);
	world_free(w);
}

/* Jobs that no worker may run, and that come first: they are asked about again
 * when their answers are no longer valid, and held up all others. */
static void test_refused_steps_do_not_hold_up_others(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	w->denied = "000000000000000";
	submit_burst(w, 16, 30, 1);
	run_until(w, 5000);
	submit_burst(w, 20, 90, 1);
	run_until(w, 30000);
	for (int i = 0; i < 16; i++)
		assert_int_equal(w->started[i], 0);
	for (int i = 16; i < 36; i++) {
		assert_true(w->started[i]);
		assert_true(w->started[i] < 12000);
	}
	world_free(w);
}

/* Steps without room came first and kept the adviser from those that fit. */
static void test_steps_with_room_are_asked_about_first(void **state)
{
	world_t *w = world_new(HOSTS_MAX);

	(void)state;
	for (int i = 0; i < 30; i++)
		submit(w, 1, 32000);
	run_until(w, 100);
	submit(w, 1, 100);
	run_until(w, 1500);
	assert_in_range(w->started[30], 1, 900);
	world_free(w);
}

/* The answer to an earlier call counted for the workers that a later one had
 * named: they were taken for refused. */
static void test_answer_counts_for_its_own_call(void **state)
{
	world_t *w = world_new(1);
	call_t *first;

	(void)state;
	w->slowness = 1000;
	w->denied = "0";
	submit(w, 1, 100);
	run_until(w, 5);
	first = g_queue_pop_head(&w->queue);
	assert_int_equal(first->n_workers, 1);
	w->hosts = HOSTS_MAX;
	run_until(w, 1500);
	assert_int_equal(w->calls, 2);
	call_free(g_queue_pop_head(&w->queue));
	end_call(w, first, BH_ADVICE_ANSWERED);
	while (w->calls == 2 && w->ms < 5000)
		step(w);
	assert_int_equal(w->calls, 3);
	first = g_queue_peek_head(&w->queue);
	assert_int_equal(first->n_workers, HOSTS_MAX - 1);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_of_steps_gets_advice),
		cmocka_unit_test(test_burst_of_wide_steps_gets_advice),
		cmocka_unit_test(test_slow_adviser_is_not_asked_again),
		cmocka_unit_test(test_very_slow_adviser_is_waited_for),
		cmocka_unit_test(test_calls_of_an_outage_are_repeated),
		cmocka_unit_test(test_lost_call_is_repeated),
		cmocka_unit_test(test_full_adviser_is_asked_again),
		cmocka_unit_test(test_refused_steps_do_not_hold_up_others),
		cmocka_unit_test(test_steps_with_room_are_asked_about_first),
		cmocka_unit_test(test_answer_counts_for_its_own_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
