/*
 * Runs whose start got no answer, so that a later process of the worker under
 * the same id may carry it out: their tasks ran twice.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define HOST	   "10.0.0.1:1"
#define OTHER	   "10.0.0.2:1"
#define JOB	   "00000000000000aa"
#define TASK	   JOB ".0.0.0"
#define NEXT_JOB   "00000000000000bb"
#define NEXT_TASK  NEXT_JOB ".0.0.0"
#define BOOT	   7
#define NEXT_BOOT  9
#define OTHER_BOOT 8

/* Reports arrive this often. */
#define TICK_MS 100

/* Time of the first report that tells of a late start, and until which the
 * start may be carried out. */
#define HEARD_MS 400
#define LATE_MS	 (HEARD_MS + BH_LATE_CALL_MAX_US / 1000)

/* The leader may take that much longer. */
#define SLACK_MS 400

/* A process that carries out the start holds a lease: at least the one that a
 * leader grants, on a clock that may be slow, and less than this. */
#define LEASE_MS     5100
#define LEASE_MAX_MS 10000

/**
 * struct world - a leader, the worker HOST and, later, the worker OTHER
 * @crashes: logged ones
 * @crash: the last of them
 * @attempt: the first one that was started
 * @late_until: end of the time that reports of HOST tell for it, in ms; 0: they
 *	tell of no late start
 */
typedef struct world {
	bh_sched_t *s;
	bh_config_t *config;
	int starts;
	char *host;
	char *task;
	uint32_t attempt;
	uint32_t last_attempt;
	int stops;
	int paces;
	uint32_t pace;
	uint64_t ack;
	int crashes;
	char *crash;
	int64_t late_until;
} world_t;

/**
 * struct says - what a worker reports
 * @id: NULL: "w"
 * @has_no_lists: its process does not answer
 * @has_unseen_start: it is too late for the start, which its process may have
 * carried out
 */
typedef struct says {
	const char *id;
	uint64_t boot;
	bh_worker_state_t state;
	bool has_no_lists;
	bool has_unseen_start;
	uint32_t lease_left_ms;
	bh_active_t *active;
	bh_ended_t *ended;
} says_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	world_t *w = ctx;

	w->starts++;
	g_free(w->host);
	w->host = g_strdup(host);
	g_free(w->task);
	w->task = g_strdup(start->task);
	w->last_attempt = start->attempt;
	if (!w->attempt)
		w->attempt = start->attempt;
}

static void on_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	world_t *w = ctx;

	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
	w->stops++;
}

static void on_pace(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt, uint32_t percent)
{
	world_t *w = ctx;

	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
	w->paces++;
	w->pace = percent;
}

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	world_t *w = ctx;

	(void)boot;
	(void)expires_ms;
	if (strcmp(host, HOST) == 0)
		w->ack = ack;
}

static void on_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	world_t *w = ctx;

	(void)job;
	if (strcmp(what, "worker crashed") != 0)
		return;
	w->crashes++;
	g_free(w->crash);
	w->crash = g_strdup(detail);
}

static const bh_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.pace = on_pace,
	.grant = on_grant,
	.event = on_event,
};

static const bh_sched_bounds_t bounds = {
	.term = 2,
	.lease_ms = 5000,
	.predecessor_grant_ms = 1500,
	.impact_ms = 4000,
	.status_ms = 120000,
};

static bh_job_t *make_job(const char *id)
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

static void store_all(bh_sched_t *s)
{
	const char *id;
	uint32_t segment;

	while (bh_sched_commit_next(s, &id, &segment))
		bh_sched_end_commit(s, true);
}

static void run(world_t *w, int ms)
{
	bh_sched_note_leading(w->s, MS(ms));
	bh_sched_run(w->s, MS(ms), 1000 + (uint64_t)ms);
	store_all(w->s);
}

static void report(world_t *w, const char *host, const says_t *says, int ms)
{
	bool is_late = strcmp(host, HOST) == 0 &&
		       (ms < w->late_until || says->has_unseen_start);
	int64_t left = MAX(w->late_until - ms, 0);
	bh_late_start_t late = {.task = (char *)TASK,
				.attempt = w->attempt,
				.left_ms = (uint32_t)left};
	bh_worker_info_t info = {
		.id = (char *)(says->id ? says->id : "w"),
		.boot = says->boot,
		.service = (char *)"svc",
		.zone = (char *)"z",
		.state = says->state,
		.cpu_milli = 8000,
		.memory_mb = 8000,
		.lease_left_ms = says->lease_left_ms,
		.late_starts = {.n = is_late ? 1 : 0, .entries = &late},
	};
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)ms,
				   .boot = says->boot,
				   .n_active = says->active ? 1 : 0,
				   .active = says->active,
				   .n_ended = says->ended ? 1 : 0,
				   .ended = says->ended};

	bh_sched_report(w->s, host, &info, says->has_no_lists ? NULL : &lists,
			true, MS(ms));
}

static const says_t other_idle = {
	.id = "w2", .boot = OTHER_BOOT, .state = BH_WORKER_READY};
static const says_t present = {.boot = BOOT, .state = BH_WORKER_READY};
static const says_t next_process = {.boot = NEXT_BOOT,
				    .state = BH_WORKER_READY};
static const says_t down = {
	.boot = BOOT, .state = BH_WORKER_DOWN, .has_no_lists = true};

/* A run without progress would be stopped. */
static void progress(const says_t *says)
{
	if (says && says->active)
		says->active->percent = (says->active->percent + 1) % 100;
}

/* Reports of both workers up to @until.
 * @says: NULL: HOST is not heard of */
static void pass(world_t *w, const says_t *says, const says_t *other, int from,
		 int until)
{
	for (int ms = from; ms < until; ms += TICK_MS) {
		if (says)
			report(w, HOST, says, ms);
		report(w, OTHER, other, ms);
		run(w, ms);
		progress(says);
		progress(other);
	}
}

static world_t *world_new(bool may_hold_work)
{
	world_t *w = g_new0(world_t, 1);

	w->config = bh_config_new(0, 0);
	w->s = bh_sched_new(&bounds, &ops, w, MS(1), 1000);
	bh_sched_set_config(w->s, w->config);
	bh_sched_add_host(w->s, HOST, may_hold_work, MS(1));
	bh_sched_host_linked(w->s, HOST, true, MS(1));
	return w;
}

static void add_other(world_t *w, int ms)
{
	bh_sched_add_host(w->s, OTHER, false, MS(ms));
	bh_sched_host_linked(w->s, OTHER, true, MS(ms));
}

/* A start is sent to HOST, the only worker; then there is a second one. */
static world_t *start_job(bh_job_t *job)
{
	world_t *w = world_new(false);

	report(w, HOST, &present, 20);
	bh_sched_add_job(w->s, job, NULL, MS(30));
	run(w, 30);
	assert_int_equal(w->starts, 1);
	assert_string_equal(w->host, HOST);
	add_other(w, 40);
	report(w, OTHER, &other_idle, 40);
	return w;
}

/* The same; the start gets no answer for now. */
static world_t *start_late(void)
{
	world_t *w = start_job(make_job(JOB));

	w->late_until = LATE_MS;
	return w;
}

static void world_free(world_t *w)
{
	bh_sched_free(w->s);
	bh_config_free(w->config);
	g_free(w->host);
	g_free(w->task);
	g_free(w->crash);
	g_free(w);
}

/* HOST reports @says. The task starts again once the late start is over, and
 * not before. */
static void check_waits(world_t *w, const says_t *says)
{
	pass(w, says, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 1);
	pass(w, says, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	assert_string_equal(w->task, TASK);
	assert_true(w->last_attempt > w->attempt);
}

/* The worker ends with a start under way. */
static void test_late_start_outlasts_worker_that_is_down(void **state)
{
	world_t *w = start_late();

	(void)state;
	check_waits(w, &down);
	assert_string_equal(w->host, OTHER);
	world_free(w);
}

/* A task whose start was answered or refused does not wait. */
static void test_run_without_late_start_is_lost_at_once(void **state)
{
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			      MS(50));
	pass(w, &down, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The next process lists nothing; the one after it may carry out the start. */
static void test_late_start_outlasts_next_process(void **state)
{
	world_t *w = start_late();

	(void)state;
	check_waits(w, &next_process);
	world_free(w);
}

/* Each try may be late, also if another one was answered. */
static void test_late_start_of_confirmed_run_counts(void **state)
{
	world_t *w = start_late();

	(void)state;
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			      MS(50));
	check_waits(w, &next_process);
	world_free(w);
}

static void test_late_start_outlasts_several_processes(void **state)
{
	world_t *w = start_late();
	says_t says = next_process;

	(void)state;
	for (int ms = HEARD_MS; ms < LATE_MS; ms += TICK_MS) {
		says.boot++;
		pass(w, &says, &other_idle, ms, ms + TICK_MS);
	}
	assert_int_equal(w->starts, 1);
	says.boot++;
	pass(w, &says, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* HOST is not heard of any more. A later process may have carried out the start
 * at the end of its time, and hold a lease since. */
static void check_waits_for_lease(world_t *w, int from)
{
	const int over = LATE_MS + LEASE_MS;

	pass(w, NULL, &other_idle, from, over);
	assert_int_equal(w->starts, 1);
	pass(w, NULL, &other_idle, over, LATE_MS + LEASE_MAX_MS);
	assert_int_equal(w->starts, 2);
	assert_string_equal(w->host, OTHER);
}

/* The host is cut off; the lease of the process expires before a later one can
 * no longer carry out the start. */
static void test_late_start_outlasts_lease(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &present, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	check_waits_for_lease(w, HEARD_MS + TICK_MS);
	world_free(w);
}

/* The host is cut off when its next process has been heard of. */
static void test_late_start_outlasts_next_process_cut_off(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, LATE_MS - 1000);
	assert_int_equal(w->starts, 1);
	check_waits_for_lease(w, LATE_MS - 1000);
	world_free(w);
}

/* The same while the worker is down. */
static void test_late_start_outlasts_worker_down_cut_off(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &down, &other_idle, HEARD_MS, LATE_MS - 1000);
	assert_int_equal(w->starts, 1);
	check_waits_for_lease(w, LATE_MS - 1000);
	world_free(w);
}

/* A stop holds for the process that it reached. */
static void test_late_start_outlasts_stop(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &present, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_UNCLEAR,
			      MS(HEARD_MS + 50));
	assert_int_equal(w->stops, 1);
	bh_sched_stop_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			     MS(HEARD_MS + 60));
	check_waits(w, &present);
	world_free(w);
}

/* Without a late start a run that is missing is over. */
static void test_missing_run_without_late_start_is_lost(void **state)
{
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			      MS(50));
	pass(w, &present, &other_idle, HEARD_MS, HEARD_MS + 2000);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

static void check_end_waits(bh_end_t how)
{
	world_t *w = start_late();
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt,
			    .how = how};
	says_t says = present;

	says.ended = &ended;
	pass(w, &says, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 1);
	assert_int_equal(w->ack, 0);
	pass(w, &says, &other_idle, LATE_MS, LATE_MS + 3000);
	assert_int_equal(w->starts, 2);
	assert_int_equal(w->ack, 1);
	world_free(w);
}

/* The run has ended in one process, and a later one may carry out another try
 * of its start. */
static void test_late_start_outlasts_end_of_run(void **state)
{
	(void)state;
	check_end_waits(BH_END_FAILED);
	check_end_waits(BH_END_STOPPED);
}

/* Calls that name the former id are rejected. */
static void test_other_id_ends_the_wait(void **state)
{
	world_t *w = start_late();
	says_t says = next_process;

	(void)state;
	pass(w, &down, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_int_equal(w->starts, 1);
	w->late_until = 0;
	says.id = "w3";
	pass(w, &says, &other_idle, 1000, 1000 + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A worker that is not known to have another id does not end the wait. */
static void test_unknown_id_does_not_end_the_wait(void **state)
{
	world_t *w = start_late();
	bh_worker_info_t unknown = {.state = BH_WORKER_SILENT};

	(void)state;
	pass(w, &down, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	for (int ms = 1000; ms < LATE_MS; ms += TICK_MS) {
		bh_sched_report(w->s, HOST, &unknown, NULL, true, MS(ms));
		report(w, OTHER, &other_idle, ms);
		run(w, ms);
	}
	assert_int_equal(w->starts, 1);
	check_waits_for_lease(w, LATE_MS);
	world_free(w);
}

/* The worker's answer to the last try came after its next process was seen. */
static void test_refusal_ends_the_wait(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_int_equal(w->starts, 1);
	w->late_until = 0;
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_REFUSED,
			      MS(1000));
	pass(w, &next_process, &other_idle, 1000, 1000 + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A later process has carried out the start. */
static void test_late_run_is_adopted(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {
		.task = (char *)TASK, .attempt = w->attempt, .percent = 20};
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt,
			    .how = BH_END_DONE};
	says_t says = next_process;

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, 2000);
	says.active = &active;
	pass(w, &says, &other_idle, 2000, LATE_MS + 3000);
	assert_int_equal(w->starts, 1);
	assert_int_equal(w->stops, 0);
	assert_int_equal(bh_sched_state(w->s, JOB), BH_JOB_RUNNING);
	says.active = NULL;
	says.ended = &ended;
	pass(w, &says, &other_idle, LATE_MS + 3000, LATE_MS + 3400);
	assert_int_equal(w->starts, 1);
	assert_int_equal(bh_sched_state(w->s, JOB), BH_JOB_COMPLETED);
	assert_int_equal(w->ack, 1);
	world_free(w);
}

/* A later process has carried out the start long after it was ordered, and has
 * not got further than the one that ended: that is no lack of progress. */
static void test_late_run_gets_time_to_progress(void **state)
{
	(void)state;
	for (int is_long_running = 0; is_long_running <= 1; is_long_running++) {
		bh_job_t *job = make_job(JOB);
		bh_active_t active = {.task = (char *)TASK};
		says_t says = present;
		world_t *w;

		job->steps[0].is_long_running = is_long_running;
		w = start_job(job);
		w->late_until = LATE_MS;
		active.attempt = w->attempt;
		says.active = &active;
		report(w, HOST, &says, HEARD_MS);
		run(w, HEARD_MS);
		pass(w, &next_process, &other_idle, HEARD_MS + TICK_MS, 8000);
		says.boot = NEXT_BOOT;
		pass(w, &says, &other_idle, 8000, 9000);
		assert_int_equal(w->stops, 0);
		assert_int_equal(w->starts, 1);
		world_free(w);
	}
}

/* HOST runs a filler and a serving task over its latency objective; both may
 * start late. */
static void pass_over_objective(world_t *w, uint64_t boot, int from, int until)
{
	bh_active_t active[] = {
		{.task = (char *)TASK, .attempt = w->attempt},
		{.task = (char *)NEXT_TASK,
		 .attempt = w->attempt,
		 .percent = 100,
		 .gauge = 1000},
	};
	bh_late_start_t late[] = {
		{.task = (char *)TASK, .attempt = w->attempt},
		{.task = (char *)NEXT_TASK, .attempt = w->attempt},
	};
	bh_worker_info_t info = {.id = (char *)"w",
				 .boot = boot,
				 .service = (char *)"svc",
				 .zone = (char *)"z",
				 .state = BH_WORKER_READY,
				 .cpu_milli = 8000,
				 .memory_mb = 8000,
				 .late_starts = {.n = 2, .entries = late}};
	bh_worker_lists_t lists = {
		.boot = boot, .n_active = 2, .active = active};

	for (int ms = from; ms < until; ms += TICK_MS) {
		active[0].percent++;
		late[0].left_ms = late[1].left_ms = (uint32_t)(LATE_MS - ms);
		lists.clock_ms = (uint64_t)ms;
		bh_sched_report(w->s, HOST, &info, &lists, true, MS(ms));
		run(w, ms);
	}
}

/* A later process carries out the start of a filler that was paused. */
static void test_late_run_of_paused_filler_is_paused(void **state)
{
	bh_job_t *filler = make_job(JOB);
	bh_job_t *serving = make_job(NEXT_JOB);
	world_t *w = world_new(false);
	int paces;

	(void)state;
	filler->steps[0].is_filler = true;
	serving->steps[0].is_long_running = true;
	serving->steps[0].target_ms = 10;
	report(w, HOST, &present, 20);
	bh_sched_add_job(w->s, filler, NULL, MS(30));
	bh_sched_add_job(w->s, serving, NULL, MS(30));
	run(w, 30);
	assert_int_equal(w->starts, 2);
	pass_over_objective(w, BOOT, 100, 3000);
	assert_true(w->paces > 0);
	assert_int_equal(w->pace, 0);
	paces = w->paces;
	pass_over_objective(w, NEXT_BOOT, 3000, 6000);
	assert_int_equal(w->starts, 2);
	assert_true(w->paces > paces);
	assert_int_equal(w->pace, 0);
	world_free(w);
}

/* The late run is lost with the process that carried it out. */
static void test_adopted_run_is_lost_with_its_process(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {
		.task = (char *)TASK, .attempt = w->attempt, .percent = 20};
	says_t says = next_process;

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, 2000);
	says.active = &active;
	pass(w, &says, &other_idle, 2000, LATE_MS + 1000);
	assert_int_equal(w->starts, 1);
	says = down;
	says.boot = NEXT_BOOT;
	pass(w, &says, &other_idle, LATE_MS + 1000, LATE_MS + 1400);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

static world_t *new_leader(void)
{
	world_t *w = world_new(true);

	w->attempt = 1;
	w->late_until = LATE_MS;
	return w;
}

/* The former leader ordered the start. */
static void test_new_leader_learns_of_late_start(void **state)
{
	world_t *w = new_leader();

	(void)state;
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(1));
	add_other(w, 40);
	pass(w, &next_process, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 0);
	pass(w, &next_process, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 1);
	assert_true(w->last_attempt > 1);
	world_free(w);
}

/* The same while the worker is down. */
static void test_new_leader_learns_of_late_start_from_agent(void **state)
{
	world_t *w = new_leader();

	(void)state;
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(1));
	add_other(w, 40);
	pass(w, &down, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 0);
	pass(w, &down, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 1);
	world_free(w);
}

/* An entry had stored the job, and the former leader sent the start, after the
 * new leader read the jobs. */
static void test_late_start_of_unknown_job_counts(void **state)
{
	world_t *w = new_leader();

	(void)state;
	add_other(w, 40);
	pass(w, &next_process, &other_idle, HEARD_MS, 1000);
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(990));
	run(w, 991);
	assert_int_equal(w->starts, 0);
	pass(w, &next_process, &other_idle, 1000, LATE_MS);
	assert_int_equal(w->starts, 0);
	pass(w, &next_process, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 1);
	world_free(w);
}

/* A job that needs all of HOST starts there only if nothing is kept there. */
static void check_host_is_free(world_t *w, int ms)
{
	bh_job_t *job = make_job(NEXT_JOB);
	int starts = w->starts;

	job->steps[0].cpu_milli = 8000;
	bh_sched_add_job(w->s, job, NULL, MS(ms));
	report(w, HOST, &next_process, ms);
	run(w, ms);
	assert_int_equal(w->starts, starts + 1);
	assert_string_equal(w->task, NEXT_TASK);
	assert_string_equal(w->host, HOST);
}

static world_t *keep_alone(void)
{
	world_t *w = world_new(false);

	report(w, HOST, &present, 20);
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(30));
	run(w, 30);
	w->late_until = LATE_MS;
	for (int ms = HEARD_MS; ms < 1000; ms += TICK_MS) {
		report(w, HOST, &next_process, ms);
		run(w, ms);
	}
	assert_int_equal(w->starts, 1);
	return w;
}

static void test_cancelled_job_keeps_no_run(void **state)
{
	world_t *w = keep_alone();

	(void)state;
	bh_sched_cancel(w->s, JOB, MS(1000));
	report(w, HOST, &next_process, 1100);
	run(w, 1100);
	check_host_is_free(w, 1200);
	world_free(w);
}

static void test_done_task_keeps_no_run(void **state)
{
	world_t *w = keep_alone();
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt,
			    .how = BH_END_DONE};
	says_t says = next_process;

	(void)state;
	says.ended = &ended;
	report(w, HOST, &says, 1100);
	run(w, 1100);
	assert_int_equal(bh_sched_state(w->s, JOB), BH_JOB_COMPLETED);
	check_host_is_free(w, 1200);
	world_free(w);
}

/* Another attempt of the task has been done elsewhere. */
static void test_task_done_elsewhere_keeps_no_run(void **state)
{
	world_t *w = keep_alone();
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt + 1,
			    .how = BH_END_DONE};
	says_t other = other_idle;

	(void)state;
	add_other(w, 1000);
	other.ended = &ended;
	report(w, OTHER, &other, 1100);
	run(w, 1100);
	assert_int_equal(bh_sched_state(w->s, JOB), BH_JOB_COMPLETED);
	bh_sched_host_linked(w->s, OTHER, false, MS(1150));
	check_host_is_free(w, 1200);
	world_free(w);
}

/* The resources of a task that may start late stay taken. */
static void test_kept_run_holds_its_resources(void **state)
{
	world_t *w = keep_alone();
	bh_job_t *job = make_job(NEXT_JOB);

	(void)state;
	job->steps[0].cpu_milli = 8000;
	bh_sched_add_job(w->s, job, NULL, MS(1100));
	for (int ms = 1100; ms < LATE_MS; ms += TICK_MS) {
		report(w, HOST, &next_process, ms);
		run(w, ms);
	}
	assert_int_equal(w->starts, 1);
	world_free(w);
}

/* The room of a task that may start late was reserved as if it were free at
 * once: a wider task waited for it, and what was free beside it stayed unused,
 * while other tasks waited too. */
static void test_nothing_is_reserved_on_account_of_kept_run(void **state)
{
	bh_job_t *late = make_job(JOB);
	bh_job_t *wide = make_job("00000000000000cc");
	bh_job_t *lasting = make_job(NEXT_JOB);
	world_t *w;

	(void)state;
	late->steps[0].cpu_milli = 3000;
	wide->steps[0].cpu_milli = 6000;
	lasting->steps[0].cpu_milli = 4000;
	lasting->steps[0].is_long_running = true;
	lasting->terms.priority = 1;
	w = start_job(late);
	w->late_until = LATE_MS;
	bh_sched_host_linked(w->s, OTHER, false, MS(50));
	for (int ms = HEARD_MS; ms < 1000; ms += TICK_MS) {
		report(w, HOST, &next_process, ms);
		run(w, ms);
	}
	bh_sched_add_job(w->s, wide, NULL, MS(1000));
	for (int ms = 1000; ms < 2000; ms += TICK_MS) {
		report(w, HOST, &next_process, ms);
		run(w, ms);
	}
	assert_int_equal(w->starts, 1);
	bh_sched_add_job(w->s, lasting, NULL, MS(2000));
	report(w, HOST, &next_process, 2000);
	run(w, 2000);
	assert_int_equal(w->starts, 2);
	assert_string_equal(w->task, NEXT_TASK);
	world_free(w);
}

/* The other members of the gang have ended. None starts again before all can.
 */
static void test_gang_waits_for_late_start_of_member(void **state)
{
	world_t *w = world_new(false);
	bh_job_t *job = make_job(JOB);
	bh_ended_t ended = {.number = 1,
			    .task = (char *)JOB ".0.0.1",
			    .how = BH_END_BROKEN};
	says_t other = other_idle;

	(void)state;
	job->steps[0].count = 2;
	job->steps[0].is_gang = true;
	job->steps[0].cpu_milli = 6000;
	add_other(w, 10);
	report(w, HOST, &present, 20);
	report(w, OTHER, &other_idle, 20);
	bh_sched_add_job(w->s, job, NULL, MS(30));
	run(w, 30);
	assert_int_equal(w->starts, 2);
	ended.attempt = w->attempt;
	other.ended = &ended;
	/* So that TASK started on HOST. */
	assert_string_equal(w->host, OTHER);
	assert_string_equal(w->task, JOB ".0.0.1");
	w->late_until = LATE_MS;
	pass(w, &next_process, &other, HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 2);
	pass(w, &next_process, &other, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 4);
	world_free(w);
}

/* A speculative task may run twice. */
static void test_speculative_run_is_not_kept(void **state)
{
	bh_job_t *job = make_job(JOB);
	world_t *w;
	int starts;

	(void)state;
	job->steps[0].is_speculative = true;
	w = start_job(job);
	starts = w->starts;
	w->late_until = LATE_MS;
	pass(w, &down, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_true(w->starts > starts);
	world_free(w);
}

/* A later process could carry out a late start and an acknowledgement, and
 * forget the end of the run unseen. */
static void test_ends_are_not_acknowledged_during_late_start(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .attempt = w->attempt};
	bh_ended_t ended = {.number = 1,
			    .task = (char *)NEXT_TASK,
			    .attempt = 4097,
			    .how = BH_END_DONE};
	says_t says = present;

	(void)state;
	bh_sched_add_job(w->s, make_job(NEXT_JOB), NULL, MS(50));
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			      MS(50));
	says.active = &active;
	says.ended = &ended;
	pass(w, &says, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(bh_sched_state(w->s, NEXT_JOB), BH_JOB_COMPLETED);
	assert_int_equal(w->ack, 0);
	pass(w, &says, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->ack, 1);
	world_free(w);
}

/* The worker has ended many tasks, which a former leader acknowledged. */
static void test_new_leader_acknowledges_no_ends_during_late_start(void **state)
{
	world_t *w = new_leader();
	bh_ended_t ended = {.number = 10 * BH_ENDS_HELD_MAX,
			    .task = (char *)NEXT_TASK,
			    .attempt = 1,
			    .how = BH_END_DONE};
	says_t says = present;

	(void)state;
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(1));
	bh_sched_add_job(w->s, make_job(NEXT_JOB), NULL, MS(1));
	add_other(w, 40);
	says.ended = &ended;
	pass(w, &says, &other_idle, HEARD_MS, LATE_MS);
	assert_int_equal(bh_sched_state(w->s, NEXT_JOB), BH_JOB_COMPLETED);
	assert_int_equal(w->ack, 0);
	pass(w, &says, &other_idle, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->ack, ended.number);
	world_free(w);
}

/* A report with an odd time held the task for as long. */
static void test_late_start_with_odd_time_ends_the_wait(void **state)
{
	world_t *w = start_late();

	(void)state;
	w->late_until = INT64_C(4000000000);
	pass(w, &down, &other_idle, HEARD_MS, 2 * HEARD_MS);
	w->late_until = 0;
	pass(w, &next_process, &other_idle, 2 * HEARD_MS, LATE_MS);
	assert_int_equal(w->starts, 1);
	pass(w, &next_process, &other_idle, LATE_MS, LATE_MS + 2 * HEARD_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The agent is replaced and does not know of the start that the former one has
 * sent. The next process of the worker has begun meanwhile. */
static void test_unreported_start_of_former_agent_counts(void **state)
{
	const int until = 300 + (int)(BH_LATE_CALL_MAX_US / 1000);
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_host_linked(w->s, HOST, false, MS(200));
	bh_sched_host_linked(w->s, HOST, true, MS(300));
	pass(w, &next_process, &other_idle, HEARD_MS, until);
	assert_int_equal(w->starts, 1);
	pass(w, &next_process, &other_idle, until, until + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The same, but the process lives: it is told to stop the run, and closes the
 * attempt. The next process has begun within the time of a late call. */
static void test_stop_by_new_agent_does_not_end_the_wait(void **state)
{
	const int until = 300 + (int)(BH_LATE_CALL_MAX_US / 1000);
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_host_linked(w->s, HOST, false, MS(200));
	bh_sched_host_linked(w->s, HOST, true, MS(300));
	pass(w, &present, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	assert_int_equal(w->stops, 1);
	bh_sched_stop_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			     MS(HEARD_MS + 50));
	pass(w, &present, &other_idle, HEARD_MS + TICK_MS, 3000);
	pass(w, &next_process, &other_idle, 3000, until);
	assert_int_equal(w->starts, 1);
	pass(w, &next_process, &other_idle, until, until + 3000);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The process ends soon after the stop, before the run counts as lost. */
static void test_stop_by_new_agent_and_end_leave_lost_start(void **state)
{
	const int until = 300 + (int)(BH_LATE_CALL_MAX_US / 1000);
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_host_linked(w->s, HOST, false, MS(200));
	bh_sched_host_linked(w->s, HOST, true, MS(300));
	pass(w, &present, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	bh_sched_stop_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			     MS(HEARD_MS + 50));
	pass(w, &present, &other_idle, HEARD_MS + TICK_MS, 900);
	pass(w, &next_process, &other_idle, 900, until);
	assert_int_equal(w->starts, 1);
	pass(w, &next_process, &other_idle, until, until + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The run is known from the lists of the new agent alone, which does not know
 * that the first try of its start got no answer. */
static void test_listed_run_of_former_agent_may_start_late(void **state)
{
	const int until = 300 + (int)(BH_LATE_CALL_MAX_US / 1000);
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .attempt = w->attempt};
	says_t says = present;

	(void)state;
	w->late_until = 0;
	bh_sched_host_linked(w->s, HOST, false, MS(200));
	bh_sched_host_linked(w->s, HOST, true, MS(300));
	says.active = &active;
	pass(w, &says, &other_idle, HEARD_MS, 900);
	pass(w, &next_process, &other_idle, 900, until);
	assert_int_equal(w->starts, 1);
	pass(w, &next_process, &other_idle, until, until + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

static const says_t unseen = {.boot = BOOT,
			      .state = BH_WORKER_SILENT,
			      .has_no_lists = true,
			      .has_unseen_start = true,
			      .lease_left_ms = 1};

/* A new leader hears of a late start when that is over, and before the process
 * that may have carried it out has answered. */
static void test_unseen_start_is_waited_for(void **state)
{
	world_t *w = world_new(true);
	const bh_active_t active = {.task = (char *)TASK, .attempt = 1};
	bh_active_t runs = active;
	says_t says = next_process;

	(void)state;
	add_other(w, 1);
	w->attempt = active.attempt;
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(2));
	pass(w, &unseen, &other_idle, HEARD_MS, HEARD_MS + LEASE_MS);
	assert_int_equal(w->starts, 0);
	says.active = &runs;
	pass(w, &says, &other_idle, HEARD_MS + LEASE_MS, HEARD_MS + 8000);
	assert_int_equal(w->starts, 0);
	world_free(w);
}

/* The lease that the process may hold is waited for once, however often the
 * agent tells of the start. */
static void test_unseen_start_ends_with_its_lease(void **state)
{
	world_t *w = start_late();

	(void)state;
	pass(w, &unseen, &other_idle, HEARD_MS, LATE_MS + LEASE_MS);
	assert_int_equal(w->starts, 1);
	pass(w, &unseen, &other_idle, LATE_MS + LEASE_MS,
	     LATE_MS + LEASE_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A start that was answered, or sent by the present agent, is reported by it if
 * it may be late. */
static void test_known_starts_need_no_wait_for_former_agent(void **state)
{
	world_t *w = start_late();

	(void)state;
	w->late_until = 0;
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, BH_ORDER_OK,
			      MS(50));
	bh_sched_host_linked(w->s, HOST, false, MS(200));
	bh_sched_host_linked(w->s, HOST, true, MS(300));
	pass(w, &next_process, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
	w = start_late();
	w->late_until = 0;
	pass(w, &next_process, &other_idle, HEARD_MS, HEARD_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A call for an earlier process has set a longer lease than the leader grants.
 * The host is cut off. */
static void test_inherited_lease_is_waited_for(void **state)
{
	enum { LEFT_MS = 9000 };
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .attempt = w->attempt};
	says_t says = present;

	(void)state;
	w->late_until = 0;
	says.active = &active;
	says.lease_left_ms = LEFT_MS;
	pass(w, &says, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	says.lease_left_ms = 0;
	pass(w, &says, &other_idle, HEARD_MS + TICK_MS, HEARD_MS + 2 * TICK_MS);
	pass(w, NULL, &other_idle, HEARD_MS + 2 * TICK_MS, HEARD_MS + LEFT_MS);
	assert_int_equal(w->starts, 1);
	pass(w, NULL, &other_idle, HEARD_MS + LEFT_MS,
	     HEARD_MS + LEFT_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* The first lists of the next process tell of it, and of a run that it has
 * carried out late. */
static void test_inherited_lease_of_late_run_is_waited_for(void **state)
{
	enum { LEFT_MS = 9000 };
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .attempt = w->attempt};
	says_t says = next_process;

	(void)state;
	w->late_until = 0;
	says.active = &active;
	says.lease_left_ms = LEFT_MS;
	says.state = BH_WORKER_SILENT;
	report(w, HOST, &says, HEARD_MS);
	pass(w, NULL, &other_idle, HEARD_MS, HEARD_MS + LEFT_MS);
	assert_int_equal(w->starts, 1);
	pass(w, NULL, &other_idle, HEARD_MS + LEFT_MS,
	     HEARD_MS + LEFT_MS + SLACK_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A later process has carried out the start. It ends when the host has been cut
 * off, and the one after it carries out another try. */
static void test_adopted_run_may_start_late_again(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {
		.task = (char *)TASK, .attempt = w->attempt, .percent = 20};
	says_t says = next_process;

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, 2000);
	says.active = &active;
	pass(w, &says, &other_idle, 2000, LATE_MS - 4000);
	assert_int_equal(w->starts, 1);
	check_waits_for_lease(w, LATE_MS - 4000);
	world_free(w);
}

/* Without such a lease the leader waits for no longer than for its own grant.
 */
static void test_granted_lease_is_waited_for(void **state)
{
	enum { OVER_MS = 6000 };
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .attempt = w->attempt};
	says_t says = present;

	(void)state;
	w->late_until = 0;
	says.active = &active;
	pass(w, &says, &other_idle, HEARD_MS, HEARD_MS + TICK_MS);
	pass(w, NULL, &other_idle, HEARD_MS + TICK_MS, HEARD_MS + 5000);
	assert_int_equal(w->starts, 1);
	pass(w, NULL, &other_idle, HEARD_MS + 5000, HEARD_MS + OVER_MS);
	assert_int_equal(w->starts, 2);
	world_free(w);
}

/* A task that ran in no process since is not suspected of a later crash. */
static void test_kept_run_is_not_blamed_for_later_crash(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {
		.task = (char *)NEXT_TASK, .attempt = 1, .percent = 20};
	says_t says = next_process;

	(void)state;
	bh_sched_add_job(w->s, make_job(NEXT_JOB), NULL, MS(50));
	report(w, OTHER, &other_idle, 50);
	pass(w, &next_process, &other_idle, HEARD_MS, 1000);
	assert_int_equal(w->crashes, 1);
	says.boot = NEXT_BOOT + 1;
	pass(w, &says, &other_idle, 1000, 2000);
	assert_int_equal(w->crashes, 1);
	says.active = &active;
	pass(w, &says, &other_idle, 2000, 3000);
	says.active = NULL;
	says.boot = NEXT_BOOT + 2;
	pass(w, &says, &other_idle, 3000, 4000);
	assert_int_equal(w->crashes, 2);
	assert_non_null(strstr(w->crash, "runs=1 "));
	assert_null(strstr(w->crash, TASK));
	world_free(w);
}

/* Another worker lists an attempt of the task. */
static void test_run_elsewhere_beside_kept_one_is_adopted(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {
		.task = (char *)TASK, .attempt = w->attempt + 1, .percent = 20};
	says_t other = other_idle;

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, 1000);
	other.active = &active;
	pass(w, &next_process, &other, 1000, LATE_MS + 3000);
	assert_int_equal(w->starts, 1);
	assert_int_equal(w->stops, 0);
	assert_int_equal(bh_sched_state(w->s, JOB), BH_JOB_RUNNING);
	world_free(w);
}

/* The host was cut off, and the task was started elsewhere, before the agent
 * could report the late start. The other attempt fails. */
static void test_late_start_outlasts_attempt_elsewhere(void **state)
{
	world_t *w = start_late();
	bh_active_t active = {.task = (char *)TASK, .percent = 20};
	bh_ended_t ended = {
		.number = 1, .task = (char *)TASK, .how = BH_END_FAILED};
	says_t other = other_idle;

	(void)state;
	pass(w, NULL, &other_idle, HEARD_MS, 6000);
	assert_int_equal(w->starts, 2);
	assert_string_equal(w->host, OTHER);
	active.attempt = ended.attempt = w->last_attempt;
	other.active = &active;
	pass(w, &next_process, &other, 6000, 7000);
	other.active = NULL;
	other.ended = &ended;
	pass(w, &next_process, &other, 7000, LATE_MS);
	assert_int_equal(w->starts, 2);
	pass(w, &next_process, &other, LATE_MS, LATE_MS + SLACK_MS);
	assert_int_equal(w->starts, 3);
	world_free(w);
}

static void report_two_late_starts(world_t *w, int ms)
{
	bh_late_start_t late[] = {
		{.task = (char *)TASK, .attempt = 1},
		{.task = (char *)TASK, .attempt = 2},
	};
	bh_worker_info_t info = {.id = (char *)"w",
				 .boot = NEXT_BOOT,
				 .service = (char *)"svc",
				 .zone = (char *)"z",
				 .state = BH_WORKER_READY,
				 .cpu_milli = 8000,
				 .memory_mb = 8000,
				 .late_starts = {.n = 2, .entries = late}};
	bh_worker_lists_t lists = {.boot = NEXT_BOOT, .clock_ms = (uint64_t)ms};

	late[0].left_ms = late[1].left_ms = (uint32_t)(LATE_MS - ms);
	bh_sched_report(w->s, HOST, &info, &lists, true, MS(ms));
}

/* A new leader hears of two late starts of a task, and then of its run. Both
 * places of the task were taken, and the run was stopped. */
static void test_run_beside_two_late_starts_is_adopted(void **state)
{
	world_t *w = new_leader();
	bh_active_t active = {.task = (char *)TASK, .attempt = 3};
	says_t other = other_idle;

	(void)state;
	bh_sched_add_job(w->s, make_job(JOB), NULL, MS(1));
	bh_sched_add_host(w->s, OTHER, true, MS(1));
	bh_sched_host_linked(w->s, OTHER, true, MS(1));
	other.active = &active;
	for (int ms = HEARD_MS; ms < LATE_MS; ms += TICK_MS) {
		report_two_late_starts(w, ms);
		active.percent = (uint32_t)ms / 200;
		report(w, OTHER, &other, ms);
		run(w, ms);
	}
	assert_int_equal(w->stops, 0);
	assert_int_equal(w->starts, 0);
	world_free(w);
}

/* Then the late start is carried out after all: one of the runs has to stop. */
static void test_late_run_beside_another_is_stopped(void **state)
{
	world_t *w = start_late();
	bh_active_t late = {
		.task = (char *)TASK, .attempt = w->attempt, .percent = 20};
	bh_active_t active = {
		.task = (char *)TASK, .attempt = w->attempt + 1, .percent = 20};
	says_t says = next_process;
	says_t other = other_idle;

	(void)state;
	pass(w, &next_process, &other_idle, HEARD_MS, 1000);
	other.active = &active;
	pass(w, &next_process, &other, 1000, 2000);
	says.active = &late;
	pass(w, &says, &other, 2000, 3000);
	assert_int_equal(w->starts, 1);
	assert_true(w->stops > 0);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_start_outlasts_worker_that_is_down),
		cmocka_unit_test(test_run_without_late_start_is_lost_at_once),
		cmocka_unit_test(test_late_start_outlasts_next_process),
		cmocka_unit_test(test_late_start_of_confirmed_run_counts),
		cmocka_unit_test(test_late_start_outlasts_several_processes),
		cmocka_unit_test(test_late_start_outlasts_lease),
		cmocka_unit_test(test_late_start_outlasts_next_process_cut_off),
		cmocka_unit_test(test_late_start_outlasts_worker_down_cut_off),
		cmocka_unit_test(test_late_start_outlasts_stop),
		cmocka_unit_test(test_missing_run_without_late_start_is_lost),
		cmocka_unit_test(test_late_start_outlasts_end_of_run),
		cmocka_unit_test(test_other_id_ends_the_wait),
		cmocka_unit_test(test_unknown_id_does_not_end_the_wait),
		cmocka_unit_test(test_refusal_ends_the_wait),
		cmocka_unit_test(test_late_run_is_adopted),
		cmocka_unit_test(test_late_run_gets_time_to_progress),
		cmocka_unit_test(test_late_run_of_paused_filler_is_paused),
		cmocka_unit_test(test_adopted_run_is_lost_with_its_process),
		cmocka_unit_test(test_new_leader_learns_of_late_start),
		cmocka_unit_test(
			test_new_leader_learns_of_late_start_from_agent),
		cmocka_unit_test(test_late_start_of_unknown_job_counts),
		cmocka_unit_test(test_cancelled_job_keeps_no_run),
		cmocka_unit_test(test_done_task_keeps_no_run),
		cmocka_unit_test(test_task_done_elsewhere_keeps_no_run),
		cmocka_unit_test(test_kept_run_holds_its_resources),
		cmocka_unit_test(
			test_nothing_is_reserved_on_account_of_kept_run),
		cmocka_unit_test(test_gang_waits_for_late_start_of_member),
		cmocka_unit_test(test_speculative_run_is_not_kept),
		cmocka_unit_test(
			test_ends_are_not_acknowledged_during_late_start),
		cmocka_unit_test(
			test_new_leader_acknowledges_no_ends_during_late_start),
		cmocka_unit_test(test_late_start_with_odd_time_ends_the_wait),
		cmocka_unit_test(test_unreported_start_of_former_agent_counts),
		cmocka_unit_test(test_stop_by_new_agent_does_not_end_the_wait),
		cmocka_unit_test(
			test_stop_by_new_agent_and_end_leave_lost_start),
		cmocka_unit_test(
			test_listed_run_of_former_agent_may_start_late),
		cmocka_unit_test(test_unseen_start_is_waited_for),
		cmocka_unit_test(test_unseen_start_ends_with_its_lease),
		cmocka_unit_test(
			test_known_starts_need_no_wait_for_former_agent),
		cmocka_unit_test(test_inherited_lease_is_waited_for),
		cmocka_unit_test(
			test_inherited_lease_of_late_run_is_waited_for),
		cmocka_unit_test(test_adopted_run_may_start_late_again),
		cmocka_unit_test(test_granted_lease_is_waited_for),
		cmocka_unit_test(test_kept_run_is_not_blamed_for_later_crash),
		cmocka_unit_test(test_run_elsewhere_beside_kept_one_is_adopted),
		cmocka_unit_test(test_late_start_outlasts_attempt_elsewhere),
		cmocka_unit_test(test_run_beside_two_late_starts_is_adopted),
		cmocka_unit_test(test_late_run_beside_another_is_stopped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
