/*
 * What is learned of the disturbance between images, and whom a predicted wait
 * turns away.
 */
#include "sched/admit.h"
#include "sched/pairs.h"
#include "tests/test.h"

/* Two fillers beside one serving image: one is bad, one is not. The tail of
 * both together must not be held against the harmless one. */
static void test_the_bad_one_is_found(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t harmless = {"light", 0.1};
	bh_press_t both[] = {{"light", 0.1}, {"heavy", 0.1}};

	(void)state;
	for (int i = 0; i < 4; i++)
		bh_pairs_bound(pairs, "serving", &harmless, 1, 0.02);
	for (int i = 0; i < 12; i++)
		bh_pairs_learn(pairs, "serving", both, 2, 4.0);
	assert_true(bh_pairs_harm(pairs, "light", "serving") < 2);
	assert_true(bh_pairs_harm(pairs, "heavy", "serving") > 30);
	assert_true(bh_pairs_excess(pairs, "serving", both, 2) > 3);
	bh_pairs_free(pairs);
}

/* A tail that falls behind fillers that were just slowed says nothing for
 * them. */
static void test_falling_tails_acquit_nobody(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t press = {"heavy", 0.1};
	double harm;

	(void)state;
	for (int i = 0; i < 12; i++)
		bh_pairs_learn(pairs, "serving", &press, 1, 4.0);
	harm = bh_pairs_harm(pairs, "heavy", "serving");
	bh_pairs_learn(pairs, "serving", &press, 1, 0.0);
	assert_true(bh_pairs_harm(pairs, "heavy", "serving") >= harm);
	bh_pairs_free(pairs);
}

typedef struct seen {
	int n;
	bh_pairs_t *into;
} seen_t;

static void take(void *ctx, const char *filler, const char *lasting,
		 double harm, double upper)
{
	seen_t *seen = ctx;

	seen->n++;
	bh_pairs_set(seen->into, filler, lasting, harm, upper);
}

static void test_a_new_leader_takes_it_over(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	seen_t seen = {.into = bh_pairs_new()};
	bh_press_t press = {"heavy", 0.1};

	(void)state;
	for (int i = 0; i < 12; i++)
		bh_pairs_learn(pairs, "serving", &press, 1, 4.0);
	bh_pairs_each(pairs, take, &seen);
	assert_int_equal(seen.n, 1);
	assert_true(bh_pairs_harm(seen.into, "heavy", "serving") ==
		    bh_pairs_harm(pairs, "heavy", "serving"));
	bh_pairs_free(pairs);
	bh_pairs_free(seen.into);
}

static bh_job_t make_job(bh_step_t *step, uint32_t priority)
{
	bh_job_t job = {.n_steps = 1, .steps = step};

	job.terms.priority = priority;
	job.terms.slack_percent = 200;
	job.terms.target_ms = 1000;
	return job;
}

/* A burst of large jobs: what would end too late to count is refused, with the
 * time at which it would not. */
static void test_burst_is_turned_away(void **state)
{
	bh_step_t step = {.count = 8,
			  .cpu_milli = 3000,
			  .estimate_ms = 2000,
			  .is_filler = true};
	bh_job_t job = make_job(&step, 2);
	bh_backlog_t loads[] = {{0, 100, 100}, {2, 100, 5000}};
	uint64_t retry;

	(void)state;
	assert_true(bh_admit(&job, loads, 2, 0, &retry));
	loads[1].wait_filler_ms = 30000;
	assert_false(bh_admit(&job, loads, 2, 0, &retry));
	assert_int_equal(retry, 30000 + 2000 - 3 * 5000);
	/* Old predictions turn nobody away. */
	assert_true(bh_admit(&job, loads, 2, 60000, &retry));
	/* Less urgent work does not hold up more urgent work. */
	job.terms.priority = 0;
	assert_true(bh_admit(&job, loads, 2, 0, &retry));
}

static void test_lasting_and_timed_jobs_are_taken(void **state)
{
	bh_step_t step = {.count = 8,
			  .cpu_milli = 3000,
			  .estimate_ms = 2000,
			  .is_lasting = true};
	bh_job_t job = make_job(&step, 0);
	bh_backlog_t load = {0, 1000000, 1000000};
	uint64_t retry;

	(void)state;
	assert_true(bh_admit(&job, &load, 1, 0, &retry));
	step.is_lasting = false;
	job.first_due_ms = 1;
	assert_true(bh_admit(&job, &load, 1, 0, &retry));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_bad_one_is_found),
		cmocka_unit_test(test_falling_tails_acquit_nobody),
		cmocka_unit_test(test_a_new_leader_takes_it_over),
		cmocka_unit_test(test_burst_is_turned_away),
		cmocka_unit_test(test_lasting_and_timed_jobs_are_taken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
