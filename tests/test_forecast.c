/*
 * Tests of the forecast of capacity (forecast.c, bh_sched_forecast()) and of
 * admission by it (admit.c).
 */
#include "sched/admit.h"
#include "tests/test.h"

#define CPU_MILLI 32000
#define UNIX_MS	  1000000

/**
 * struct job - a job of one step, with 10 tasks of 1 core and 1 s
 */
typedef struct job {
	bh_job_t job;
	bh_step_t step;
} job_t;

static void job_init(job_t *j)
{
	*j = (job_t){
		.step = {.count = 10, .cpu_milli = 1000, .estimate_ms = 1000},
		.job = {.queue = (char *)"q",
			.id = "00000000000000aa",
			.n_steps = 1,
			.accepted_ms = UNIX_MS,
			.terms = {.slack_percent = 150, .target_ms = 300}},
	};
	j->job.steps = &j->step;
}

/* A forecast of 10 cores, of which as many as @busy are free in 1 s only. */
static bh_forecast_t forecast_of(uint32_t busy)
{
	bh_forecast_t f = {0};

	bh_forecast_add_capacity(&f, BH_WORK_PLAIN, 10000 - 1000 * busy, 0);
	bh_forecast_add_capacity(&f, BH_WORK_PLAIN, 1000 * busy, 1000);
	f.largest_milli[BH_WORK_PLAIN] = 10000 - 1000 * busy;
	return f;
}

static bool admit(const job_t *j, const bh_forecast_t *f, int64_t age_ms,
		  uint32_t random, bh_admission_t *a)
{
	bh_holds_t holds = {0};
	bh_outlook_t outlook = {f, age_ms, &holds, random};

	return bh_admit_by_forecast(&j->job, &outlook, 0, a);
}

static void test_wait_counts_runs_that_end(void **state)
{
	bh_forecast_t f = forecast_of(10);

	(void)state;
	assert_int_equal(bh_forecast_time_ms(&f, BH_WORK_PLAIN, 0), 0);
	assert_int_equal(bh_forecast_time_ms(&f, BH_WORK_PLAIN, 5000), 1000);
	assert_int_equal(bh_forecast_time_ms(&f, BH_WORK_PLAIN, 25000), 3000);
	assert_int_equal(bh_forecast_time_ms(&f, BH_WORK_PLAIN, 195000), 20000);
	/* Without any capacity a wait is still finite. */
	assert_int_equal(bh_forecast_time_ms(&f, BH_WORK_FILLER, 1),
			 BH_FORECAST_WAIT_MAX_MS);
}

/* Guards against a refusal for work that is placed after the job: of a lower
 * priority, or late in the same one. */
static void test_only_work_ahead_counts(void **state)
{
	bh_forecast_t f = forecast_of(0);

	(void)state;
	*bh_forecast_demand(&f, 1) = (bh_demand_t){1, {100, 0}, {20, 0}};
	*bh_forecast_demand(&f, 0) = (bh_demand_t){0, {3, 0}, {4, 0}};
	assert_int_equal(bh_forecast_ahead_ms(&f, BH_WORK_PLAIN, 0), 3);
	assert_int_equal(bh_forecast_ahead_ms(&f, BH_WORK_PLAIN, 1), 107);
	assert_int_equal(bh_forecast_ahead_ms(&f, BH_WORK_PLAIN, 2), 127);
}

static void test_hopeless_job_is_refused_at_once(void **state)
{
	bh_forecast_t f = forecast_of(10);
	bh_admission_t a;
	job_t j;

	(void)state;
	job_init(&j);
	*bh_forecast_demand(&f, 0) =
		(bh_demand_t){0, {100000, 0}, {0}, {10, 0}};
	assert_false(admit(&j, &f, 0, 0, &a));
	assert_true(a.is_hopeless);
	/* 100 core seconds on 10 cores that are free from 0 to 1 s on, and its
	 * own 10: 11.5 s. Its objective is 1.8 s. */
	assert_int_equal(a.end_ms, 11500);
	assert_int_equal(a.retry_after_ms, 11500 - 1800 - 1000);
	/* Without a forecast, or by an old one, all are accepted. */
	assert_true(admit(&j, &f, 3001, 0, &a));
	assert_true(admit(&j, NULL, 0, 0, &a));
	/* Long-running and scheduled jobs have no objective to miss. */
	j.job.first_due_ms = 1;
	assert_true(admit(&j, &f, 0, 0, &a));
	j.job.first_due_ms = 0;
	j.step.is_long_running = true;
	assert_true(admit(&j, &f, 0, 0, &a));
}

/* Jobs were refused while hosts were idle, as a wait was predicted from all
 * work that had not ended, running tasks included. */
static void test_no_refusal_while_capacity_is_idle(void **state)
{
	bh_forecast_t f = forecast_of(9);
	bh_admission_t a;
	job_t j;

	(void)state;
	job_init(&j);
	j.step.count = 1000;
	assert_true(admit(&j, &f, 0, 0, &a));
	assert_true(a.end_ms > a.limit_ms);
	/* Once it is accepted it takes what is idle. */
	bh_forecast_charge(&f, &j.job);
	assert_false(admit(&j, &f, 0, 0, &a));
	/* No host has as much as a task needs. */
	f = forecast_of(9);
	j.step.cpu_milli = 1001;
	assert_false(admit(&j, &f, 0, 0, &a));
}

/* Callers that are refused in a burst must not come back in one. */
static void test_retries_are_spread(void **state)
{
	bh_forecast_t f = forecast_of(0);
	uint32_t seconds[30] = {0};
	bh_admission_t a;
	job_t j;

	(void)state;
	job_init(&j);
	*bh_forecast_demand(&f, 0) =
		(bh_demand_t){0, {200000, 0}, {0}, {10, 0}};
	for (uint32_t i = 0; i < 1024; i++) {
		assert_false(admit(&j, &f, 0, i, &a));
		assert_in_range(a.retry_after_ms, 1000, 25000);
		seconds[(a.retry_after_ms + 999) / 1000]++;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(seconds); i++)
		assert_in_range(seconds[i], 0, 300);
}

static void ignore_start(void *ctx, const char *host, const bh_start_t *start)
{
	(void)ctx;
	(void)host;
	(void)start;
}

static void ignore_grant(void *ctx, const char *host, uint64_t boot,
			 uint64_t expires_ms, uint64_t ack)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)expires_ms;
	(void)ack;
}

static const bh_sched_ops_t ops = {.start = ignore_start,
				   .grant = ignore_grant};

static bh_sched_t *make_sched(uint32_t n_hosts)
{
	bh_sched_bounds_t bounds = {
		.term = 1, .lease_ms = 5000, .has_shares = true};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, NULL, 0, UNIX_MS);

	for (uint32_t i = 0; i < n_hosts; i++) {
		char key[8];

		g_snprintf(key, sizeof(key), "%u", i);
		bh_sched_add_host(s, key, false, 0);
		bh_sched_host_linked(s, key, true, 0);
	}
	return s;
}

static void report(bh_sched_t *s, uint32_t host, bh_worker_state_t state)
{
	char key[8];
	bh_worker_info_t info = {.id = key,
				 .boot = 7,
				 .service = (char *)"svc",
				 .zone = (char *)"z",
				 .state = state,
				 .cpu_milli = CPU_MILLI,
				 .memory_mb = 1000};
	bh_worker_lists_t lists = {.clock_ms = 1, .boot = 7};

	g_snprintf(key, sizeof(key), "%u", host);
	bh_sched_report(s, key, &info, &lists, true, BH_USEC_PER_MS);
}

/* A leader that has heard no host yet must not refuse all callers for lack of
 * capacity; one host that stays down must not keep it from a forecast. */
static void test_forecast_begins_once_hosts_have_reported(void **state)
{
	bh_sched_t *s = make_sched(8);
	bh_forecast_t f;

	(void)state;
	assert_false(bh_sched_forecast(s, &f, BH_USEC_PER_MS));
	for (uint32_t i = 0; i < 5; i++)
		report(s, i, BH_WORKER_READY);
	assert_false(bh_sched_forecast(s, &f, BH_USEC_PER_MS));
	report(s, 5, BH_WORKER_READY);
	assert_true(bh_sched_forecast(s, &f, BH_USEC_PER_MS));
	assert_int_equal(f.free_milli[BH_WORK_PLAIN][0], 6 * CPU_MILLI);
	assert_int_equal(f.largest_milli[BH_WORK_PLAIN], CPU_MILLI);
	bh_sched_free(s);
}

static void test_draining_hosts_are_no_capacity(void **state)
{
	bh_sched_t *s = make_sched(2);
	bh_forecast_t f;

	(void)state;
	report(s, 0, BH_WORKER_READY);
	report(s, 1, BH_WORKER_DRAINING);
	assert_true(bh_sched_forecast(s, &f, BH_USEC_PER_MS));
	assert_int_equal(f.free_milli[BH_WORK_PLAIN][4], CPU_MILLI);
	bh_sched_free(s);
}

/* Serving tasks that wait do not rank before quick ones yet, but the capacity
 * that they are about to take is not promised to others. */
static void test_waiting_serving_tasks_take_capacity(void **state)
{
	bh_sched_t *s = make_sched(1);
	bh_job_t *job = g_new0(bh_job_t, 1);
	bh_forecast_t f;

	(void)state;
	report(s, 0, BH_WORKER_READY);
	g_strlcpy(job->id, "00000000000000aa", sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("spec");
	job->terms.service = g_strdup("svc");
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0] = (bh_step_t){
		.count = 2, .cpu_milli = 10000, .is_long_running = true};
	bh_sched_add_job(s, job, NULL, BH_USEC_PER_MS);
	assert_true(bh_sched_forecast(s, &f, BH_USEC_PER_MS));
	assert_int_equal(f.free_milli[BH_WORK_PLAIN][1], CPU_MILLI);
	assert_int_equal(f.free_milli[BH_WORK_PLAIN][2], CPU_MILLI - 20000);
	bh_sched_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wait_counts_runs_that_end),
		cmocka_unit_test(test_only_work_ahead_counts),
		cmocka_unit_test(test_hopeless_job_is_refused_at_once),
		cmocka_unit_test(test_no_refusal_while_capacity_is_idle),
		cmocka_unit_test(test_retries_are_spread),
		cmocka_unit_test(test_forecast_begins_once_hosts_have_reported),
		cmocka_unit_test(test_draining_hosts_are_no_capacity),
		cmocka_unit_test(test_waiting_serving_tasks_take_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
