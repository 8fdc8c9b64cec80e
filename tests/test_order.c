/*
 * Tests of the order in which waiting phases are placed (order.c), under more
 * work than the hosts can carry.
 */
#include "sched/sched_impl.h"
#include "tests/test.h"

#define STEP_MS	      2700
#define OBJECTIVE_MS  (2 * STEP_MS + 1000)
#define NOW_MS	      1000000
#define LOW_PRIORITY  2
#define SLACK_PERCENT 200
#define TARGET_MS     1000

/**
 * struct waiting - a job of one step that waits
 */
typedef struct waiting {
	bh_step_t step;
	bh_job_t job;
	bh_phase_t phase;
	bh_rec_t rec;
	bh_task_t task;
} waiting_t;

static void waiting_init(waiting_t *w, uint64_t accepted_ms, uint32_t ms)
{
	*w = (waiting_t){
		.step = {.count = 8, .cpu_milli = 7000, .estimate_ms = ms},
		.job = {.n_steps = 1,
			.accepted_ms = accepted_ms,
			.terms = {.priority = LOW_PRIORITY,
				  .slack_percent = SLACK_PERCENT,
				  .target_ms = TARGET_MS}},
	};
	w->job.steps = &w->step;
	w->phase.step = &w->step;
	w->phase.rec = &w->rec;
	w->rec.job = &w->job;
	w->rec.phases = &w->phase;
	w->rec.n_phases = 1;
	w->rec.critical_path_ms = ms;
}

/* Guards against a job that is put behind all others as late because one of its
 * attempts failed, although its caller is owed the result later by then. */
static void test_failed_attempt_extends_the_objective(void **state)
{
	bh_sched_t s = {.unix_ms = NOW_MS};
	waiting_t failed;
	waiting_t late;

	(void)state;
	waiting_init(&failed, NOW_MS - OBJECTIVE_MS, STEP_MS);
	waiting_init(&late, NOW_MS - OBJECTIVE_MS, STEP_MS);
	failed.phase.most_failed = 1;
	assert_true(bh_phase_rank(&s, &failed.phase, 0) <
		    bh_phase_rank(&s, &late.phase, 0));
}

/* Guards against the same for a job whose longest task takes a third longer
 * than the estimate for the mean task. */
static void test_job_is_late_by_its_longest_task(void **state)
{
	bh_sched_t s = {.unix_ms = NOW_MS};
	uint64_t passed = OBJECTIVE_MS - STEP_MS + 100;
	waiting_t in_time;
	waiting_t late;

	(void)state;
	waiting_init(&in_time, NOW_MS - passed, STEP_MS);
	waiting_init(&late, NOW_MS - OBJECTIVE_MS, STEP_MS / 4);
	assert_true(bh_phase_rank(&s, &in_time.phase, 0) <
		    bh_phase_rank(&s, &late.phase, 0));
}

/* Of jobs that are late, the one with the least work left comes first. */
static void test_short_job_first_among_late_ones(void **state)
{
	bh_sched_t s = {.unix_ms = NOW_MS};
	waiting_t older;
	waiting_t shorter;

	(void)state;
	waiting_init(&older, NOW_MS - 4 * OBJECTIVE_MS, STEP_MS);
	waiting_init(&shorter, NOW_MS - 3 * OBJECTIVE_MS, STEP_MS / 2);
	assert_true(bh_phase_rank(&s, &shorter.phase, 0) <
		    bh_phase_rank(&s, &older.phase, 0));
}

/* After a loss of all processes serving tasks, which request most of the
 * capacity, were placed first and left none for quick tasks of the same
 * priority, whose callers lose far more per second and core. */
static void test_serving_after_quick_for_two_seconds(void **state)
{
	bh_sched_t s = {.unix_ms = NOW_MS, .bounds.has_shares = true};
	bh_usec_t since = 5 * BH_USEC_PER_SEC;
	waiting_t serving;
	waiting_t quick;
	uint64_t rank;

	(void)state;
	waiting_init(&serving, NOW_MS, 0);
	waiting_init(&quick, NOW_MS - 4 * OBJECTIVE_MS, STEP_MS / 4);
	serving.step.is_long_running = true;
	serving.step.count = 1;
	serving.task.is_waiting = true;
	serving.task.waiting_since = since;
	serving.phase.tasks = &serving.task;
	rank = bh_phase_rank(&s, &quick.phase, since);
	assert_true(rank < bh_phase_rank(&s, &serving.phase,
					 since + 1900 * BH_USEC_PER_MS));
	/* It must run within 6 s. */
	assert_true(rank > bh_phase_rank(&s, &serving.phase,
					 since + 2000 * BH_USEC_PER_MS));
	s.bounds.has_shares = false;
	assert_true(rank > bh_phase_rank(&s, &serving.phase, since));
}

/* A deferred serving task still precedes work with a lower priority. */
static void test_deferred_serving_before_lower_priority(void **state)
{
	bh_sched_t s = {.unix_ms = NOW_MS, .bounds.has_shares = true};
	waiting_t serving;
	waiting_t large;

	(void)state;
	waiting_init(&serving, NOW_MS, 0);
	waiting_init(&large, NOW_MS, STEP_MS);
	large.job.terms.priority = LOW_PRIORITY + 1;
	serving.step.is_long_running = true;
	serving.step.count = 1;
	serving.task.is_waiting = true;
	serving.phase.tasks = &serving.task;
	assert_true(bh_phase_rank(&s, &serving.phase, 0) <
		    bh_phase_rank(&s, &large.phase, 0));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_failed_attempt_extends_the_objective),
		cmocka_unit_test(test_job_is_late_by_its_longest_task),
		cmocka_unit_test(test_short_job_first_among_late_ones),
		cmocka_unit_test(test_serving_after_quick_for_two_seconds),
		cmocka_unit_test(test_deferred_serving_before_lower_priority),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
