/*
 * Starts whose outcome an agent had not told when its process was replaced: a
 * later process of the worker may carry them out, and nobody knew.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define HOST	    "10.0.0.1:1"
#define OTHER	    "10.0.0.2:1"
#define JOB	    "00000000000000aa"
#define TASK	    JOB ".0.0.0"
#define BOOT	    7
#define NEXT_BOOT   9
#define AGENT	    UINT64_C(1001)
#define NEXT_AGENT  UINT64_C(1002)
#define RELINKED_MS 300
#define LATE_MS	    (int)(BH_LATE_CALL_MAX_US / BH_USEC_PER_MS)

/**
 * struct world - a leader and the workers HOST and OTHER
 * @ms: the time
 * @on_host: starts that were ordered on HOST, and so on
 * @told: late starts that the agent of HOST was last told of
 */
typedef struct world {
	bh_sched_t *s;
	bh_config_t *config;
	int ms;
	int on_host;
	int on_other;
	uint32_t attempt;
	int stops;
	uint64_t ack;
	uint32_t told;
	uint32_t told_left_ms;
} world_t;

/**
 * struct says - what HOST reports
 * @agent: process of its agent, of this age
 */
typedef struct says {
	uint64_t agent;
	uint64_t age_ms;
	uint64_t boot;
	bh_worker_state_t state;
	bh_active_t *active;
	bh_ended_t *ended;
} says_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	world_t *w = ctx;

	if (strcmp(host, HOST) == 0)
		w->on_host++;
	else
		w->on_other++;
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

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	world_t *w = ctx;

	(void)boot;
	(void)expires_ms;
	if (strcmp(host, HOST) == 0)
		w->ack = ack;
}

static void on_late_starts(void *ctx, const char *host,
			   const bh_late_starts_t *starts)
{
	world_t *w = ctx;

	assert_string_equal(host, HOST);
	w->told = starts->n;
	w->told_left_ms = starts->entries[0].left_ms;
	assert_string_equal(starts->entries[0].task, TASK);
	assert_string_equal(starts->entries[0].worker, "w");
}

static const bh_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.grant = on_grant,
	.late_starts = on_late_starts,
};

static const bh_sched_bounds_t bounds = {
	.term = 2, .lease_ms = 5000, .status_ms = 120000};

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
	job->accepted_ms = 1000;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	return job;
}

static void report(world_t *w, const char *host, const says_t *says)
{
	bh_worker_info_t info = {
		.id = (char *)(strcmp(host, HOST) == 0 ? "w" : "w2"),
		.boot = says->boot,
		.service = (char *)"svc",
		.zone = (char *)"z",
		.state = says->state,
		.cpu_milli = 8000,
		.memory_mb = 8000,
		.agent_process = says->agent,
		.agent_age_ms = says->age_ms,
	};
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)w->ms,
				   .boot = says->boot,
				   .n_active = says->active ? 1 : 0,
				   .active = says->active,
				   .n_ended = says->ended ? 1 : 0,
				   .ended = says->ended};

	bh_sched_report(w->s, host, &info, &lists, true, MS(w->ms));
}

static const says_t former = {
	.agent = AGENT, .boot = BOOT, .state = BH_WORKER_READY};
static const says_t replaced = {
	.agent = NEXT_AGENT, .boot = BOOT, .state = BH_WORKER_READY};
static const says_t restarted = {
	.agent = NEXT_AGENT, .boot = NEXT_BOOT, .state = BH_WORKER_READY};
static const says_t other = {
	.agent = 2001, .boot = 8, .state = BH_WORKER_READY};

static void run(world_t *w)
{
	const char *id;
	uint32_t segment;

	bh_sched_note_leading(w->s, MS(w->ms));
	bh_sched_run(w->s, MS(w->ms), 1000 + (uint64_t)w->ms);
	while (bh_sched_commit_next(w->s, &id, &segment))
		bh_sched_end_commit(w->s, true);
}

/* Reports of both workers until @until ms; NULL: HOST is not heard of. */
static void pass(world_t *w, const says_t *says, int until)
{
	for (; w->ms < until; w->ms += 100) {
		if (says)
			report(w, HOST, says);
		report(w, OTHER, &other);
		run(w);
	}
}

static void link_to(world_t *w, const char *host, bool is_linked)
{
	bh_sched_host_linked(w->s, host, is_linked, MS(w->ms));
}

/* A start is under way to HOST, the only worker; then there is another. */
static world_t *world_new(void)
{
	world_t *w = g_new0(world_t, 1);

	w->ms = 1;
	w->config = bh_config_new(0, 0);
	w->s = bh_sched_new(&bounds, &ops, w, MS(1), 1000);
	bh_sched_set_config(w->s, w->config);
	bh_sched_add_host(w->s, HOST, false, MS(1));
	link_to(w, HOST, true);
	report(w, HOST, &former);
	bh_sched_add_job(w->s, make_job(), NULL, MS(1));
	run(w);
	assert_int_equal(w->on_host, 1);
	bh_sched_add_host(w->s, OTHER, false, MS(1));
	link_to(w, OTHER, true);
	return w;
}

static void relink(world_t *w)
{
	bh_sched_agent_closed(w->s, HOST, MS(w->ms));
	link_to(w, HOST, false);
	w->ms = RELINKED_MS;
	link_to(w, HOST, true);
}

static void answer(world_t *w, bh_order_outcome_t outcome)
{
	bh_sched_start_result(w->s, HOST, TASK, w->attempt, outcome, MS(w->ms));
}

static void world_free(world_t *w)
{
	bh_sched_free(w->s);
	bh_config_free(w->config);
	g_free(w);
}

/* The task waited for 12 s, or ran elsewhere while the start could come late.
 */
static void test_lost_start_is_repeated_as_the_same_attempt(void **state)
{
	world_t *w = world_new();
	uint32_t attempt = w->attempt;

	(void)state;
	relink(w);
	pass(w, &replaced, RELINKED_MS + 400);
	assert_int_equal(w->on_host, 2);
	assert_int_equal(w->on_other, 0);
	assert_int_equal(w->attempt, attempt);
	assert_int_equal(w->stops, 0);
	world_free(w);
}

/* A repeated start that stays refused ends the repeats, not the wait. */
static void test_refused_repeat_does_not_end_the_wait(void **state)
{
	world_t *w = world_new();
	int answered = 1;

	(void)state;
	relink(w);
	while (w->ms < RELINKED_MS + LATE_MS) {
		pass(w, &replaced, w->ms + 100);
		if (w->on_host == answered)
			continue;
		answered = w->on_host;
		bh_sched_start_unanswered(
			w->s, HOST, TASK, w->attempt,
			(uint32_t)(RELINKED_MS + LATE_MS - w->ms), MS(w->ms));
		answer(w, BH_ORDER_REFUSED);
	}
	assert_in_range(w->on_host, 5, 12);
	assert_int_equal(w->on_other, 0);
	answered = w->on_host;
	pass(w, &replaced, RELINKED_MS + LATE_MS + 3000);
	assert_int_equal(w->on_host + w->on_other, answered + 1);
	world_free(w);
}

/* The next process of the worker may carry the start out: no other attempt runs
 * until then. The agent started 200 ms before it connected. */
static void test_wait_ends_when_calls_of_former_agent_can_not_come(void **state)
{
	const int until = RELINKED_MS + LATE_MS - 200;
	world_t *w = world_new();
	says_t says = restarted;

	(void)state;
	says.age_ms = 200;
	relink(w);
	pass(w, &says, until);
	assert_int_equal(w->on_host + w->on_other, 1);
	pass(w, &says, until + 400);
	assert_int_equal(w->on_host + w->on_other, 2);
	world_free(w);
}

/* Agents that lose their connection only know of their calls: no task waits. */
static void test_same_process_tells_of_its_calls_itself(void **state)
{
	world_t *w = world_new();
	says_t says = restarted;

	(void)state;
	says.agent = AGENT;
	relink(w);
	pass(w, &says, RELINKED_MS + 400);
	assert_int_equal(w->on_host + w->on_other, 2);
	assert_int_equal(w->told, 0);
	world_free(w);
}

/* What one process of the agent told the leader, the next one has to know: a
 * leader that is elected later asks that one. */
static void test_next_process_is_told_of_late_starts(void **state)
{
	world_t *w = world_new();

	(void)state;
	bh_sched_start_unanswered(w->s, HOST, TASK, w->attempt, 9000,
				  MS(w->ms));
	answer(w, BH_ORDER_OK);
	relink(w);
	pass(w, &replaced, RELINKED_MS + 100);
	assert_int_equal(w->told, 1);
	assert_in_range(w->told_left_ms, 8600, 8800);
	world_free(w);
}

/* The end of a run whose start has no outcome yet was acknowledged; its agent
 * was killed while another try of that start was under way. */
static void test_end_waits_for_outcome_of_start(void **state)
{
	world_t *w = world_new();
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt,
			    .how = BH_END_DONE};
	says_t says = former;

	(void)state;
	says.ended = &ended;
	pass(w, &says, 200);
	assert_int_equal(w->ack, 0);
	relink(w);
	says.agent = NEXT_AGENT;
	pass(w, &says, RELINKED_MS + LATE_MS);
	assert_int_equal(w->ack, 0);
	pass(w, &says, RELINKED_MS + LATE_MS + 400);
	assert_int_equal(w->ack, 1);
	world_free(w);
}

/* The same without a killed agent: the end is acknowledged with the outcome. */
static void test_outcome_releases_end(void **state)
{
	world_t *w = world_new();
	bh_ended_t ended = {.number = 1,
			    .task = (char *)TASK,
			    .attempt = w->attempt,
			    .how = BH_END_DONE};
	says_t says = former;

	(void)state;
	says.ended = &ended;
	pass(w, &says, 200);
	answer(w, BH_ORDER_OK);
	pass(w, &says, 500);
	assert_int_equal(w->ack, 1);
	world_free(w);
}

/* The agent is not back when the worker's lease expires: the start was given up
 * with it. */
static void test_lost_start_outlasts_lease_of_silent_host(void **state)
{
	world_t *w = world_new();

	(void)state;
	bh_sched_agent_closed(w->s, HOST, MS(w->ms));
	link_to(w, HOST, false);
	pass(w, NULL, LATE_MS);
	assert_int_equal(w->on_other, 0);
	pass(w, NULL, LATE_MS + 6000);
	assert_int_equal(w->on_other, 1);
	world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lost_start_is_repeated_as_the_same_attempt),
		cmocka_unit_test(test_refused_repeat_does_not_end_the_wait),
		cmocka_unit_test(
			test_wait_ends_when_calls_of_former_agent_can_not_come),
		cmocka_unit_test(test_same_process_tells_of_its_calls_itself),
		cmocka_unit_test(test_next_process_is_told_of_late_starts),
		cmocka_unit_test(test_end_waits_for_outcome_of_start),
		cmocka_unit_test(test_outcome_releases_end),
		cmocka_unit_test(test_lost_start_outlasts_lease_of_silent_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
