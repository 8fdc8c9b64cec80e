/*
 * A new leader that does not know all jobs yet when workers report their tasks:
 * an entry may have stored a job, and the former leader have started it, after
 * the new leader read the jobs.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define HOST "10.0.0.1:1"
#define JOB  "00000000000000aa"
#define TASK JOB ".0.0.0"

typedef struct orders {
	int starts;
	const char *host;
	uint32_t attempt;
	int stops;
	uint64_t ack;
} orders_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	orders_t *o = ctx;

	o->host = host;
	o->attempt = start->attempt;
	o->starts++;
}

static void on_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	orders_t *o = ctx;

	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
	o->stops++;
}

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	orders_t *o = ctx;

	(void)host;
	(void)boot;
	(void)expires_ms;
	o->ack = ack;
}

static const bh_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.grant = on_grant,
};

static const bh_sched_bounds_t bounds = {
	.term = 2,
	.lease_ms = 5000,
	.predecessor_grant_ms = 1500,
	.impact_ms = 4000,
	.status_ms = 120000,
};

static bh_job_t *make_job_as(const char *id)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0].count = 1;
	job->steps[0].cpu_milli = 500;
	job->steps[0].memory_mb = 100;
	job->steps[0].estimate_ms = 1000;
	job->accepted_ms = 1000;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	return job;
}

static bh_job_t *make_job(void)
{
	return make_job_as(JOB);
}

static bh_worker_info_t worker_info(void)
{
	bh_worker_info_t info = {.id = (char *)"w",
				 .boot = 7,
				 .service = (char *)"svc",
				 .zone = (char *)"z",
				 .state = BH_WORKER_READY,
				 .cpu_milli = 8000,
				 .memory_mb = 8000};

	return info;
}

static bh_sched_t *new_sched(orders_t *o, const bh_config_t *config)
{
	bh_sched_t *s = bh_sched_new(&bounds, &ops, o, MS(1), 1000);

	bh_sched_set_config(s, config);
	bh_sched_add_host(s, HOST, true, MS(1));
	bh_sched_host_linked(s, HOST, true, MS(1));
	return s;
}

static void run(bh_sched_t *s, bh_usec_t now, uint64_t unix_ms)
{
	bh_sched_note_leading(s, now);
	bh_sched_run(s, now, unix_ms);
}

static void report_lists(bh_sched_t *s, bh_worker_lists_t *lists, bh_usec_t now)
{
	bh_worker_info_t info = worker_info();

	lists->clock_ms = (uint64_t)now / 1000;
	lists->boot = 7;
	bh_sched_report(s, HOST, &info, lists, true, now);
	run(s, now, 1000 + (uint64_t)now / 1000);
}

static void report(bh_sched_t *s, bh_active_t *active, bh_ended_t *ended,
		   bh_usec_t now)
{
	bh_worker_lists_t lists = {.n_active = active ? 1 : 0,
				   .active = active,
				   .n_ended = ended ? 1 : 0,
				   .ended = ended};

	report_lists(s, &lists, now);
}

static void report_ends(bh_sched_t *s, bh_ended_t *ended, uint32_t n,
			bh_usec_t now)
{
	bh_worker_lists_t lists = {.n_ended = n, .ended = ended};

	report_lists(s, &lists, now);
}

static void store_all(bh_sched_t *s)
{
	const char *id;
	uint32_t segment;

	while (bh_sched_commit_next(s, &id, &segment))
		bh_sched_end_commit(s, true);
}

/* A running task of an unknown job keeps running, and is adopted once the job
 * is known. Stopping it and starting it elsewhere at once ran it in two places.
 */
static void test_run_of_unknown_job_is_adopted(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_active_t active = {
		.task = (char *)TASK, .attempt = 1, .percent = 20};

	(void)state;
	report(s, &active, NULL, MS(50));
	bh_sched_add_job(s, make_job(), NULL, MS(90));
	run(s, MS(91), 1091);
	assert_int_equal(o.starts, 0);
	assert_int_equal(o.stops, 0);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_RUNNING);
	report(s, &active, NULL, MS(400));
	assert_int_equal(o.starts, 0);
	assert_int_equal(o.stops, 0);
	bh_sched_free(s);
	bh_config_free(config);
}

/* The end of such a task is not acknowledged before its job can record it. */
static void test_end_of_unknown_job_is_not_acknowledged(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t ended = {.number = 3,
			    .task = (char *)TASK,
			    .attempt = 1,
			    .how = BH_END_DONE};

	(void)state;
	report(s, NULL, &ended, MS(50));
	assert_int_equal(o.ack, 0);
	bh_sched_add_job(s, make_job(), NULL, MS(90));
	report(s, NULL, &ended, MS(110));
	store_all(s);
	assert_int_equal(o.starts, 0);
	assert_int_equal(o.ack, 3);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

/* Orphans whose job stays unknown for some seconds are stopped, and their ends
 * acknowledged. */
static void test_orphans_are_stopped_after_a_delay(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_active_t active = {
		.task = (char *)TASK, .attempt = 1, .percent = 20};
	bh_ended_t ended = {.number = 3,
			    .task = (char *)JOB ".0.0.1",
			    .attempt = 1,
			    .how = BH_END_STOPPED};

	(void)state;
	for (int ms = 50; ms < 5000; ms += 400) {
		bh_sched_note_jobs_read(s, MS(ms));
		report(s, &active, &ended, MS(ms));
	}
	assert_true(o.stops > 0);
	assert_int_equal(o.ack, 3);
	bh_sched_free(s);
	bh_config_free(config);
}

/* The store does not answer the new leader, which hears of a job only after the
 * worker has listed the end of its task for some seconds. The end was
 * acknowledged without a job to record it, and the task ran again. */
static void test_end_is_not_acknowledged_before_jobs_are_read(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t ended = {.number = 3,
			    .task = (char *)TASK,
			    .attempt = 1,
			    .how = BH_END_DONE};

	(void)state;
	for (int ms = 50; ms < 6000; ms += 400)
		report(s, NULL, &ended, MS(ms));
	assert_int_equal(o.ack, 0);
	bh_sched_add_job(s, make_job(), NULL, MS(6000));
	report(s, NULL, &ended, MS(6100));
	store_all(s);
	assert_int_equal(o.starts, 0);
	assert_int_equal(o.ack, 3);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

#define LATER_JOB "00000000000000bb"

/* A new leader that does not know a job yet sees the end of its task before
 * those of jobs that it knows. These were put off with it, and their tasks were
 * started again. */
static void test_ends_behind_one_of_an_unknown_job_count(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t ended[] = {
		{.number = 4,
		 .task = (char *)LATER_JOB ".0.0.0",
		 .attempt = 1,
		 .how = BH_END_DONE},
		{.number = 5,
		 .task = (char *)TASK,
		 .attempt = 1,
		 .how = BH_END_DONE},
	};

	(void)state;
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	report_ends(s, ended, 2, MS(50));
	assert_int_equal(o.starts, 0);
	store_all(s);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	report_ends(s, ended, 2, MS(100));
	assert_int_equal(o.ack, 0);
	bh_sched_add_job(s, make_job_as(LATER_JOB), NULL, MS(110));
	report_ends(s, ended, 2, MS(120));
	assert_int_equal(o.ack, 0);
	store_all(s);
	assert_int_equal(o.ack, 5);
	assert_int_equal(o.starts, 0);
	assert_int_equal(bh_sched_state(s, LATER_JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

/* The end of an unknown job's task is kept while the worker does not answer for
 * longer than its lease. */
static void test_end_of_unknown_job_outlasts_lease(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t ended = {.number = 4,
			    .task = (char *)LATER_JOB ".0.0.0",
			    .attempt = 1,
			    .how = BH_END_DONE};

	(void)state;
	report_ends(s, &ended, 1, MS(50));
	for (int ms = 100; ms < 9000; ms += 100)
		run(s, MS(ms), 1000 + (uint64_t)ms);
	report_ends(s, &ended, 1, MS(9000));
	assert_int_equal(o.ack, 0);
	bh_sched_add_job(s, make_job_as(LATER_JOB), NULL, MS(9010));
	report_ends(s, &ended, 1, MS(9100));
	store_all(s);
	assert_int_equal(o.ack, 4);
	assert_int_equal(o.starts, 0);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A worker has more ends than it lists at a time, since the store is down. A
 * run whose end was not listed counted as lost, and its task was started again.
 */
static void test_run_behind_a_full_list_of_ends_is_not_lost(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t first = {.number = 1,
			    .task = (char *)LATER_JOB ".0.0.0",
			    .attempt = 1,
			    .how = BH_END_DONE};
	bh_ended_t ended = {
		.number = 2, .task = (char *)TASK, .how = BH_END_DONE};
	bh_worker_lists_t full = {
		.n_ended = 1, .ended = &first, .has_more_ended = true};

	(void)state;
	report(s, NULL, NULL, MS(20));
	bh_sched_add_job(s, make_job(), NULL, MS(30));
	run(s, MS(30), 1030);
	assert_int_equal(o.starts, 1);
	ended.attempt = o.attempt;
	bh_sched_start_result(s, HOST, TASK, o.attempt, BH_ORDER_OK, MS(40));
	for (int ms = 200; ms < 5000; ms += 200)
		report_lists(s, &full, MS(ms));
	assert_int_equal(o.starts, 1);
	report_ends(s, &ended, 1, MS(5000));
	assert_int_equal(o.starts, 1);
	store_all(s);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A new leader finds a worker with more ends than it lists at a time. Tasks of
 * which it has seen neither run nor end have to wait for the rest. */
static void test_new_leader_waits_for_the_rest_of_a_full_list(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_ended_t first = {.number = 1,
			    .task = (char *)LATER_JOB ".0.0.0",
			    .attempt = 1,
			    .how = BH_END_DONE};
	bh_ended_t ended = {.number = 2,
			    .task = (char *)TASK,
			    .attempt = 1,
			    .how = BH_END_DONE};
	bh_worker_lists_t full = {
		.n_ended = 1, .ended = &first, .has_more_ended = true};

	(void)state;
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	bh_sched_add_job(s, make_job_as(LATER_JOB), NULL, MS(1));
	for (int ms = 50; ms < 12000; ms += 200)
		report_lists(s, &full, MS(ms));
	assert_int_equal(o.starts, 0);
	report_ends(s, &ended, 1, MS(12000));
	store_all(s);
	assert_int_equal(o.starts, 0);
	assert_int_equal(o.ack, 2);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

/* Many tasks with a long specification start at once. Their orders exceeded
 * what the connection to the agent buffers, and those behind were never carried
 * out.
 */
static void test_unanswered_orders_are_bounded(void **state)
{
	enum { SPEC_BYTES = 4000, TASKS = 1500, BOUND_BYTES = 1 << 20 };
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_job_t *job = make_job();
	int started = 0;

	(void)state;
	g_free(job->spec);
	job->spec = g_strnfill(SPEC_BYTES, 'x');
	job->steps[0].count = TASKS;
	job->steps[0].cpu_milli = 1;
	job->steps[0].memory_mb = 1;
	report(s, NULL, NULL, MS(20));
	bh_sched_add_job(s, job, NULL, MS(30));
	for (int ms = 40; o.starts < TASKS; ms += 10) {
		run(s, MS(ms), 1000 + (uint64_t)ms);
		assert_true(o.starts > started);
		assert_true((o.starts - started) * SPEC_BYTES <= BOUND_BYTES);
		for (; started < o.starts; started++) {
			g_autofree char *task =
				g_strdup_printf(JOB ".0.0.%d", started);

			bh_sched_start_result(s, HOST, task, o.attempt,
					      BH_ORDER_OK, MS(ms));
		}
	}
	bh_sched_free(s);
	bh_config_free(config);
}

static void fail_task(bh_sched_t *s, const char *id, uint64_t number,
		      bh_usec_t now)
{
	g_autofree char *task = g_strconcat(id, ".0.0.0", NULL);
	bh_ended_t ended = {.number = number,
			    .task = task,
			    .attempt = 4097,
			    .how = BH_END_FAILED};

	bh_sched_add_job(s, make_job_as(id), NULL, now);
	run(s, now, 1000);
	report(s, NULL, &ended, now + MS(20));
	bh_sched_cancel(s, id, now + MS(20));
}

/* A host that was quarantined gets one task at a time until one succeeds. A
 * long-running task never ends, so serving requests must count as success;
 * otherwise the host gets no other task beside it. */
static void test_serving_task_ends_probation(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_job_t *lasting = make_job_as("00000000000000b1");
	bh_active_t active = {.task = (char *)"00000000000000b1.0.0.0",
			      .attempt = 4097,
			      .percent = 100};

	(void)state;
	report(s, NULL, NULL, MS(20));
	fail_task(s, "00000000000000c1", 1, MS(100));
	fail_task(s, "00000000000000c2", 2, MS(200));
	fail_task(s, "00000000000000c3", 3, MS(300));
	lasting->steps[0].is_long_running = true;
	bh_sched_add_job(s, lasting, NULL, MS(3000));
	o.starts = 0;
	report(s, NULL, NULL, MS(3100));
	assert_int_equal(o.starts, 1);
	bh_sched_add_job(s, make_job(), NULL, MS(3200));
	report(s, NULL, NULL, MS(3300));
	assert_int_equal(o.starts, 1);
	report(s, &active, NULL, MS(3700));
	report(s, &active, NULL, MS(4100));
	assert_int_equal(o.starts, 2);
	bh_sched_free(s);
	bh_config_free(config);
}

static const char *const keys[] = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};

/* Reports of all hosts: the one at @except lists @lists, or nothing if that is
 * NULL; the others have empty lists. */
static void report_all(bh_sched_t *s, const char *except,
		       bh_worker_lists_t *lists, bh_usec_t now)
{
	bh_worker_info_t info = worker_info();
	bh_worker_lists_t empty = {.boot = 7, .clock_ms = (uint64_t)now / 1000};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		bool is_other = g_strcmp0(keys[i], except) != 0;

		if (!is_other && !lists)
			continue;
		bh_sched_report(s, keys[i], &info, is_other ? &empty : lists,
				true, now);
	}
	run(s, now, 1000 + (uint64_t)now / 1000);
}

/* A leader that has not renewed its row for this long is replaced. */
#define LEADER_TIMEOUT_US (1300 * BH_USEC_PER_MS)

/* One wide step with a limit for each host. The time of a pass grew with the
 * square of its width, so that each leader lost its term in its first pass. */
static void test_pass_over_a_wide_limited_step_is_short(void **state)
{
	enum { TASKS = 16000 };
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, &o, MS(1), 1000);
	bh_job_t *job = make_job();
	gint64 began;

	(void)state;
	bh_sched_set_config(s, config);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		bh_sched_add_host(s, keys[i], false, MS(1));
		bh_sched_host_linked(s, keys[i], true, MS(1));
	}
	report_all(s, NULL, NULL, MS(10));
	job->steps[0].count = TASKS;
	job->steps[0].cpu_milli = 1;
	job->steps[0].memory_mb = 0;
	job->steps[0].max_per_host = TASKS / G_N_ELEMENTS(keys) + 1;
	bh_sched_add_job(s, job, NULL, MS(20));
	began = g_get_monotonic_time();
	run(s, MS(20), 1020);
	assert_true(g_get_monotonic_time() - began < LEADER_TIMEOUT_US);
	assert_true(o.starts > 0);
	assert_true(o.starts <= TASKS);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A worker lists a run that was lost with its lease, and the task has been
 * started elsewhere. That start is refused: the task was started a third time,
 * although the first run had not ended. */
static void test_task_waits_for_listed_run_to_stop(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, &o, MS(1), 1000);
	bh_active_t active = {.task = (char *)TASK, .percent = 20};
	bh_ended_t ended = {
		.number = 1, .task = (char *)TASK, .how = BH_END_STOPPED};
	bh_worker_lists_t lists = {.boot = 7, .n_active = 1, .active = &active};
	const char *first;

	(void)state;
	bh_sched_set_config(s, config);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		bh_sched_add_host(s, keys[i], false, MS(1));
		bh_sched_host_linked(s, keys[i], true, MS(1));
	}
	report_all(s, NULL, NULL, MS(10));
	bh_sched_add_job(s, make_job(), NULL, MS(20));
	run(s, MS(20), 1020);
	assert_int_equal(o.starts, 1);
	first = o.host;
	active.attempt = o.attempt;
	ended.attempt = o.attempt;
	bh_sched_start_result(s, first, TASK, o.attempt, BH_ORDER_OK, MS(30));
	for (int ms = 200; ms < 6000; ms += 200)
		report_all(s, first, NULL, MS(ms));
	assert_int_equal(o.starts, 2);
	lists.clock_ms = 6000;
	report_all(s, first, &lists, MS(6000));
	assert_int_equal(o.stops, 1);
	bh_sched_start_result(s, o.host, TASK, o.attempt, BH_ORDER_NO_ROOM,
			      MS(6010));
	run(s, MS(6011), 7011);
	for (int ms = 6200; ms < 6700; ms += 100) {
		lists.clock_ms = (uint64_t)ms;
		report_all(s, first, &lists, MS(ms));
	}
	assert_int_equal(o.starts, 2);
	lists = (bh_worker_lists_t){
		.boot = 7, .clock_ms = 6700, .n_ended = 1, .ended = &ended};
	report_all(s, first, &lists, MS(6700));
	assert_int_equal(o.starts, 3);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A call to another worker was lost. A host on which nothing can run, since its
 * agent has just created its row, held up the new leader for seconds. */
static void test_idle_host_is_not_waited_for_when_calls_are_lost(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_worker_info_t idle = {.lease_left_ms = 1, .is_idle = true};
	bh_worker_info_t info = worker_info();
	bh_worker_lists_t lists = {.clock_ms = 100, .boot = 7};

	(void)state;
	bh_sched_add_host(s, "10.0.0.2:1", true, MS(1));
	bh_sched_host_linked(s, "10.0.0.2:1", true, MS(1));
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	bh_sched_report(s, "10.0.0.2:1", &idle, NULL, false, MS(50));
	info.lost_call_ms = 10;
	bh_sched_report(s, HOST, &info, &lists, true, MS(100));
	run(s, MS(200), 1200);
	assert_int_equal(o.starts, 1);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A store that is slow: hosts and jobs are loaded long after the election.
 * Tasks were started before all hosts that could run them had answered. */
static void test_jobs_loaded_late_wait_for_hosts(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, &o, MS(1), 1000);

	(void)state;
	bh_sched_set_config(s, config);
	bh_sched_add_host(s, HOST, true, MS(8000));
	bh_sched_add_host(s, "10.0.0.2:1", true, MS(8000));
	bh_sched_add_job(s, make_job(), NULL, MS(8000));
	bh_sched_host_linked(s, HOST, true, MS(8000));
	for (int ms = 8100; ms < 8600; ms += 200)
		report(s, NULL, NULL, MS(ms));
	assert_int_equal(o.starts, 0);
	report(s, NULL, NULL, MS(15000));
	report(s, NULL, NULL, MS(15100));
	assert_int_equal(o.starts, 1);
	bh_sched_free(s);
	bh_config_free(config);
}

/* The agent says how long the worker's lease lasts before it has got the latest
 * grant, which it passes on later. Tasks were started elsewhere while they ran.
 */
static void test_report_from_before_grant_ends_no_lease(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_active_t active = {.task = (char *)TASK, .attempt = 4097};
	bh_worker_info_t info = worker_info();
	bh_worker_lists_t none = {.clock_ms = 1400, .boot = 9};

	(void)state;
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	report(s, NULL, NULL, MS(50));
	report(s, NULL, NULL, MS(60));
	assert_int_equal(o.starts, 1);
	active.attempt = o.attempt;
	report(s, &active, NULL, MS(300));
	info.lease_left_ms = 1;
	info.lease_expires_ms = 5060;
	bh_sched_report(s, HOST, &info, NULL, false, MS(350));
	bh_sched_add_host(s, "10.0.0.2:1", false, MS(360));
	bh_sched_host_linked(s, "10.0.0.2:1", true, MS(360));
	for (int ms = 1400; ms <= 6000; ms += 100) {
		info = worker_info();
		info.id = (char *)"w2";
		info.boot = 9;
		bh_sched_report(s, "10.0.0.2:1", &info, &none, true, MS(ms));
		run(s, MS(ms), 1000 + (uint64_t)ms);
		if (ms < 5300)
			assert_int_equal(o.starts, 1);
	}
	assert_int_equal(o.starts, 2);
	bh_sched_free(s);
	bh_config_free(config);
}

/* An agent that does not know the term says that its worker has ended. A leader
 * that had been replaced started elsewhere what had run there, and had ended
 * under its successor. */
static void test_end_of_worker_is_not_believed_without_term(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_active_t active = {.task = (char *)TASK};
	bh_worker_info_t info = worker_info();
	bh_worker_lists_t none = {.boot = 9};
	bh_worker_lists_t other = {.boot = 8};

	(void)state;
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	report(s, NULL, NULL, MS(50));
	report(s, NULL, NULL, MS(60));
	active.attempt = o.attempt;
	report(s, &active, NULL, MS(300));
	bh_sched_add_host(s, "10.0.0.2:1", false, MS(360));
	bh_sched_host_linked(s, "10.0.0.2:1", true, MS(360));
	for (int ms = 400; ms < 4000; ms += 100) {
		bool is_known = ms >= 3000;

		info = worker_info();
		info.state = ms == 400 ? BH_WORKER_DOWN : BH_WORKER_SILENT;
		info.boot = 9;
		info.is_term_unknown = !is_known;
		none.clock_ms = (uint64_t)ms;
		bh_sched_report(s, HOST, &info, ms == 400 ? NULL : &none, true,
				MS(ms));
		info = worker_info();
		info.id = (char *)"w2";
		info.boot = 8;
		other.clock_ms = (uint64_t)ms;
		bh_sched_report(s, "10.0.0.2:1", &info, &other, true, MS(ms));
		run(s, MS(ms), 1000 + (uint64_t)ms);
		store_all(s);
		if (!is_known)
			assert_int_equal(o.starts, 1);
	}
	assert_int_equal(o.starts, 2);
	bh_sched_free(s);
	bh_config_free(config);
}

/* The leases on a worker lapsed while its restarted agent did not know the
 * term.
 */
static void test_lease_is_granted_without_term(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_active_t active = {.task = (char *)TASK};
	bh_worker_info_t info = worker_info();

	(void)state;
	bh_sched_add_job(s, make_job(), NULL, MS(1));
	report(s, NULL, NULL, MS(50));
	report(s, NULL, NULL, MS(60));
	active.attempt = o.attempt;
	info.is_term_unknown = true;
	info.state = BH_WORKER_SILENT;
	for (int ms = 300; ms < 12000; ms += 200) {
		bh_worker_lists_t lists = {.clock_ms = (uint64_t)ms,
					   .boot = 7,
					   .n_active = 1,
					   .active = &active};

		active.percent = (uint32_t)ms / 200;
		bh_sched_report(s, HOST, &info, &lists, true, MS(ms));
		run(s, MS(ms), 1000 + (uint64_t)ms);
	}
	assert_int_equal(o.starts, 1);
	assert_int_equal(o.stops, 0);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_RUNNING);
	bh_sched_free(s);
	bh_config_free(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_run_of_unknown_job_is_adopted),
		cmocka_unit_test(test_end_of_unknown_job_is_not_acknowledged),
		cmocka_unit_test(test_orphans_are_stopped_after_a_delay),
		cmocka_unit_test(
			test_end_is_not_acknowledged_before_jobs_are_read),
		cmocka_unit_test(test_ends_behind_one_of_an_unknown_job_count),
		cmocka_unit_test(test_end_of_unknown_job_outlasts_lease),
		cmocka_unit_test(
			test_run_behind_a_full_list_of_ends_is_not_lost),
		cmocka_unit_test(
			test_new_leader_waits_for_the_rest_of_a_full_list),
		cmocka_unit_test(test_unanswered_orders_are_bounded),
		cmocka_unit_test(test_pass_over_a_wide_limited_step_is_short),
		cmocka_unit_test(test_serving_task_ends_probation),
		cmocka_unit_test(test_task_waits_for_listed_run_to_stop),
		cmocka_unit_test(test_report_from_before_grant_ends_no_lease),
		cmocka_unit_test(test_jobs_loaded_late_wait_for_hosts),
		cmocka_unit_test(
			test_idle_host_is_not_waited_for_when_calls_are_lost),
		cmocka_unit_test(
			test_end_of_worker_is_not_believed_without_term),
		cmocka_unit_test(test_lease_is_granted_without_term),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
