/*
 * Tests of the interference model of images (pairs.c) and of admission control
 * by predicted waits (admit.c).
 */
#include "sched/admit.h"
#include "sched/pairs.h"
#include "tests/test.h"

#define NOISE_VARIANCE 0.05

/* Feeds the model one measurement: @loads take @drop of the headroom. */
static void observe_drop(bh_pairs_t *pairs, const bh_filler_load_t *loads,
			 uint32_t n, double drop)
{
	bh_image_id_t serving = bh_pairs_image_id(pairs, "serving");
	double variance;
	double predicted =
		bh_pairs_predict_drop(pairs, serving, loads, n, &variance);

	bh_pairs_learn(pairs, serving, loads, n, drop - predicted,
		       NOISE_VARIANCE);
}

static double harm_of(bh_pairs_t *pairs, const char *filler)
{
	return bh_pairs_interference(pairs, bh_pairs_image_id(pairs, filler),
				     bh_pairs_image_id(pairs, "serving"));
}

/* A harmful and a harmless filler run beside one serving image. The drop that
 * both cause together must not be attributed to the harmless one, which was
 * measured alone before. */
static void test_only_the_harmful_filler_is_blamed(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_filler_load_t both[] = {{bh_pairs_image_id(pairs, "light"), 0.1, 0},
				   {bh_pairs_image_id(pairs, "heavy"), 0.1, 0}};
	double variance;

	(void)state;
	for (int i = 0; i < 4; i++)
		observe_drop(pairs, both, 1, 0.02);
	for (int i = 0; i < 12; i++)
		observe_drop(pairs, both, 2, 2.0);
	assert_true(harm_of(pairs, "light") < 2);
	assert_true(harm_of(pairs, "heavy") > 15);
	assert_true(bh_pairs_predict_drop(pairs,
					  bh_pairs_image_id(pairs, "serving"),
					  both, 2, &variance) > 1.5);
	bh_pairs_free(pairs);
}

/* Both fillers are blamed alike while they only run together. Measurements of
 * the harmless one alone must correct both estimates. */
static void test_blame_is_corrected_later(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_filler_load_t both[] = {{bh_pairs_image_id(pairs, "light"), 0.1, 0},
				   {bh_pairs_image_id(pairs, "heavy"), 0.1, 0}};

	(void)state;
	for (int i = 0; i < 6; i++)
		observe_drop(pairs, both, 2, 2.0);
	assert_true(harm_of(pairs, "light") > 5);
	for (int i = 0; i < 4; i++)
		observe_drop(pairs, both, 1, 0.02);
	assert_true(harm_of(pairs, "light") < 2);
	assert_true(harm_of(pairs, "heavy") > 12);
	bh_pairs_free(pairs);
}

/* A measurement with a large noise variance, as one just after fillers were
 * slowed down, must hardly lower the harm. */
static void test_noisy_sample_changes_little(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_filler_load_t load = {bh_pairs_image_id(pairs, "heavy"), 0.1, -0.1};
	bh_image_id_t serving = bh_pairs_image_id(pairs, "serving");
	double harm;

	(void)state;
	for (int i = 0; i < 12; i++)
		observe_drop(pairs, &load, 1, 2.0);
	harm = harm_of(pairs, "heavy");
	bh_pairs_learn(pairs, serving, &load, 1, -2.0, 4.0);
	assert_true(harm_of(pairs, "heavy") >= harm * 0.98);
	bh_pairs_free(pairs);
}

/* A filler image that turns harmful is detected although many measurements had
 * made the estimate near certain. */
static void test_changed_image_is_relearned(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_filler_load_t load = {bh_pairs_image_id(pairs, "filler"), 0.1, 0};

	(void)state;
	for (int i = 0; i < 200; i++)
		observe_drop(pairs, &load, 1, 0.02);
	assert_true(harm_of(pairs, "filler") < 1);
	for (int i = 0; i < 10; i++) {
		bh_pairs_age(pairs, 0.4);
		observe_drop(pairs, &load, 1, 1.0);
	}
	assert_true(harm_of(pairs, "filler") > 6);
	bh_pairs_free(pairs);
}

static double bound_of(bh_pairs_t *pairs, const char *filler)
{
	return bh_pairs_interference_bound(
		pairs, bh_pairs_image_id(pairs, filler),
		bh_pairs_image_id(pairs, "serving"), 1);
}

/* A filler that was never seen beside the serving image counts as more than the
 * estimate. One that was measured well does not, and is still known after it
 * has not run there for half a minute. */
static void test_known_pairs_stay_known(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_filler_load_t load = {bh_pairs_image_id(pairs, "light"), 0.1, 0};

	(void)state;
	for (int i = 0; i < 50; i++)
		observe_drop(pairs, &load, 1, 0.02);
	for (int i = 0; i < 300; i++)
		bh_pairs_age(pairs, 0.1);
	assert_true(bound_of(pairs, "new") > harm_of(pairs, "new") + 3);
	assert_true(bound_of(pairs, "light") < harm_of(pairs, "light") + 2);
	bh_pairs_free(pairs);
}

/* More image names than the model keeps: an old one is evicted and the latest
 * one is known. */
static void test_image_names_are_bounded(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	bh_image_id_t first = bh_pairs_image_id(pairs, "0");

	(void)state;
	for (int i = 1; i < 5000; i++) {
		g_autofree char *name = g_strdup_printf("%d", i);
		bh_filler_load_t load = {bh_pairs_image_id(pairs, name), 0.1,
					 0};

		bh_pairs_learn(pairs, load.image, &load, 1, 0.1,
			       NOISE_VARIANCE);
		observe_drop(pairs, &load, 1, 1.0);
	}
	assert_true(bh_pairs_image_id(pairs, "0") != first);
	assert_true(harm_of(pairs, "4999") > 3);
	bh_pairs_free(pairs);
}

/**
 * struct pair_copy - target of copy_pair()
 * @n: number of pairs copied
 */
typedef struct pair_copy {
	int n;
	bh_pairs_t *into;
} pair_copy_t;

static void copy_pair(void *ctx, const char *filler, const char *serving,
		      double harm, double stddev)
{
	pair_copy_t *copy = ctx;

	copy->n++;
	bh_pairs_set(copy->into, filler, serving, harm, stddev);
}

static void test_new_leader_takes_over_pairs(void **state)
{
	bh_pairs_t *pairs = bh_pairs_new();
	pair_copy_t copy = {.into = bh_pairs_new()};
	bh_filler_load_t load = {bh_pairs_image_id(pairs, "heavy"), 0.1, 0};

	(void)state;
	for (int i = 0; i < 12; i++)
		observe_drop(pairs, &load, 1, 4.0);
	bh_pairs_each(pairs, copy_pair, &copy);
	assert_int_equal(copy.n, 1);
	assert_true(harm_of(copy.into, "heavy") == harm_of(pairs, "heavy"));
	bh_pairs_free(pairs);
	bh_pairs_free(copy.into);
}

static bh_job_t make_job(bh_step_t *step, uint32_t priority)
{
	bh_job_t job = {.n_steps = 1, .steps = step};

	job.terms.priority = priority;
	job.terms.slack_percent = 200;
	job.terms.target_ms = 1000;
	return job;
}

/* In a burst of large jobs, those that would end too late for their result to
 * count are refused, with the delay after which one would be accepted. */
static void test_burst_is_refused(void **state)
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
	/* Outdated predictions refuse no job. */
	assert_true(bh_admit(&job, loads, 2, 60000, &retry));
	/* The backlog of a lower priority does not delay a higher one. */
	job.terms.priority = 0;
	assert_true(bh_admit(&job, loads, 2, 0, &retry));
}

static void test_lasting_and_timed_jobs_are_admitted(void **state)
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
		cmocka_unit_test(test_only_the_harmful_filler_is_blamed),
		cmocka_unit_test(test_blame_is_corrected_later),
		cmocka_unit_test(test_noisy_sample_changes_little),
		cmocka_unit_test(test_changed_image_is_relearned),
		cmocka_unit_test(test_known_pairs_stay_known),
		cmocka_unit_test(test_image_names_are_bounded),
		cmocka_unit_test(test_new_leader_takes_over_pairs),
		cmocka_unit_test(test_burst_is_refused),
		cmocka_unit_test(test_lasting_and_timed_jobs_are_admitted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
