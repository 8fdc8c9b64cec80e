/*
 * What is learned of the disturbance between images, and whom a predicted wait
 * turns away.
 */
#include "sched/admit.h"
#include "sched/pairs.h"
#include "tests/test.h"

#define NOISE 0.05

/* A look at a serving task beside fillers that take @drop of its headroom. */
static void look(bh_pairs_t *pairs, const bh_press_t *press, uint32_t n,
		 double drop)
{
	bh_image_t serving = bh_pairs_image(pairs, "serving");
	double variance;
	double predicted = bh_pairs_drop(pairs, serving, press, n, &variance);

	bh_pairs_learn(pairs, serving, press, n, drop - predicted, NOISE);
}

static double harm_of(bh_pairs_t *pairs, const char *filler)
{
	return bh_pairs_harm(pairs, bh_pairs_image(pairs, filler),
			     bh_pairs_image(pairs, "serving"));
}

/* Two fillers beside one serving image: one is bad, one is not. What both
 * together take must not be held against the harmless one. */
static void test_the_bad_one_is_found(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t both[] = {{bh_pairs_image(pairs, "light"), 0.1, 0},
			     {bh_pairs_image(pairs, "heavy"), 0.1, 0}};
	double variance;

	(void)state;
	for (int i = 0; i < 4; i++)
		look(pairs, both, 1, 0.02);
	for (int i = 0; i < 12; i++)
		look(pairs, both, 2, 2.0);
	assert_true(harm_of(pairs, "light") < 2);
	assert_true(harm_of(pairs, "heavy") > 15);
	assert_true(bh_pairs_drop(pairs, bh_pairs_image(pairs, "serving"), both,
				  2, &variance) > 1.5);
	bh_pairs_free(pairs);
}

/* Who was seen beside the task alone is cleared later on, though both were
 * blamed alike at first. */
static void test_blame_is_taken_back(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t both[] = {{bh_pairs_image(pairs, "light"), 0.1, 0},
			     {bh_pairs_image(pairs, "heavy"), 0.1, 0}};

	(void)state;
	for (int i = 0; i < 6; i++)
		look(pairs, both, 2, 2.0);
	assert_true(harm_of(pairs, "light") > 5);
	for (int i = 0; i < 4; i++)
		look(pairs, both, 1, 0.02);
	assert_true(harm_of(pairs, "light") < 2);
	assert_true(harm_of(pairs, "heavy") > 12);
	bh_pairs_free(pairs);
}

/* A look that is full of noise, as one just after fillers were slowed, says
 * next to nothing for them. */
static void test_falling_tails_acquit_nobody(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t press = {bh_pairs_image(pairs, "heavy"), 0.1, -0.1};
	bh_image_t serving = bh_pairs_image(pairs, "serving");
	double harm;

	(void)state;
	for (int i = 0; i < 12; i++)
		look(pairs, &press, 1, 2.0);
	harm = harm_of(pairs, "heavy");
	bh_pairs_learn(pairs, serving, &press, 1, -2.0, 4.0);
	assert_true(harm_of(pairs, "heavy") >= harm * 0.98);
	bh_pairs_free(pairs);
}

/* An image that changes is seen to, however well it was known. */
static void test_change_is_noticed(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_press_t press = {bh_pairs_image(pairs, "filler"), 0.1, 0};

	(void)state;
	for (int i = 0; i < 200; i++)
		look(pairs, &press, 1, 0.02);
	assert_true(harm_of(pairs, "filler") < 1);
	for (int i = 0; i < 10; i++) {
		bh_pairs_age(pairs, 0.4);
		look(pairs, &press, 1, 1.0);
	}
	assert_true(harm_of(pairs, "filler") > 6);
	bh_pairs_free(pairs);
}

/* More names than are kept: those that were used last are known. */
static void test_names_are_bounded(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_image_t first = bh_pairs_image(pairs, "0");

	(void)state;
	for (int i = 1; i < 5000; i++) {
		g_autofree char *name = g_strdup_printf("%d", i);
		bh_press_t press = {bh_pairs_image(pairs, name), 0.1, 0};

		bh_pairs_learn(pairs, press.image, &press, 1, 0.1, NOISE);
		look(pairs, &press, 1, 1.0);
	}
	assert_true(bh_pairs_image(pairs, "0") != first);
	assert_true(harm_of(pairs, "4999") > 3);
	bh_pairs_free(pairs);
}

typedef struct seen {
	int n;
	bh_pairs_t *into;
} seen_t;

static void take(void *ctx, const char *filler, const char *lasting,
		 double harm, double doubt)
{
	seen_t *seen = ctx;

	seen->n++;
	bh_pairs_set(seen->into, filler, lasting, harm, doubt);
}

static void test_a_new_leader_takes_it_over(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	seen_t seen = {.into = bh_pairs_new()};
	bh_press_t press = {bh_pairs_image(pairs, "heavy"), 0.1, 0};

	(void)state;
	for (int i = 0; i < 12; i++)
		look(pairs, &press, 1, 4.0);
	bh_pairs_each(pairs, take, &seen);
	assert_int_equal(seen.n, 1);
	assert_true(harm_of(seen.into, "heavy") == harm_of(pairs, "heavy"));
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
			  .is_long_running = true};
	bh_job_t job = make_job(&step, 0);
	bh_backlog_t load = {0, 1000000, 1000000};
	uint64_t retry;

	(void)state;
	assert_true(bh_admit(&job, &load, 1, 0, &retry));
	step.is_long_running = false;
	job.first_due_ms = 1;
	assert_true(bh_admit(&job, &load, 1, 0, &retry));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_bad_one_is_found),
		cmocka_unit_test(test_blame_is_taken_back),
		cmocka_unit_test(test_falling_tails_acquit_nobody),
		cmocka_unit_test(test_change_is_noticed),
		cmocka_unit_test(test_names_are_bounded),
		cmocka_unit_test(test_a_new_leader_takes_it_over),
		cmocka_unit_test(test_burst_is_turned_away),
		cmocka_unit_test(test_lasting_and_timed_jobs_are_taken),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
