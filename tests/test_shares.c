/*
 * Tests of the minimum shares of groups of jobs (shares.c), and of admission
 * that respects them (admit.c).
 */
#include "sched/admit.h"
#include "tests/test.h"

#define CAPACITY_MILLI 100000
#define MIN_MILLI      5000

/**
 * struct job - a job of one step, with one task of 1 core
 */
typedef struct job {
	bh_job_t job;
	bh_step_t step;
} job_t;

static void job_init(job_t *j, const char *queue, const char *zone, uint32_t ms)
{
	*j = (job_t){
		.step = {.count = 1, .cpu_milli = 1000, .estimate_ms = ms},
		.job = {.id = "00000000000000aa",
			.queue = (char *)queue,
			.zone = (char *)zone,
			.n_steps = 1,
			.terms = {.slack_percent = 100, .target_ms = 1}},
	};
	j->job.steps = &j->step;
}

/* Each of the queue, the size of the job and the zone of its caller is a reason
 * for a minimum share of its own. */
static void test_each_group_has_a_share(void **state)
{
	bh_shares_t shares;
	job_t usual;
	job_t others[3];

	(void)state;
	job_init(&usual, "q", "a", 1000);
	job_init(&others[0], "r", "a", 1000);
	job_init(&others[1], "q", "a", 100000);
	job_init(&others[2], "q", "b", 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		bh_shares_init(&shares, CAPACITY_MILLI);
		assert_int_equal(shares.min_milli, MIN_MILLI);
		bh_shares_add(&shares, &usual.job, 90000, 0, 3000);
		bh_shares_add(&shares, &others[i].job, 4999, 0, 2999);
		assert_false(bh_shares_is_short(&shares, &usual.job));
		/* It does not starve until it has waited for 3 s. */
		assert_false(bh_shares_is_short(&shares, &others[i].job));
		bh_shares_add(&shares, &others[i].job, 0, 0, 3000);
		assert_true(bh_shares_is_short(&shares, &others[i].job));
		bh_shares_add(&shares, &others[i].job, 1, 0, 3000);
		assert_false(bh_shares_is_short(&shares, &others[i].job));
	}
}

/* What is reclaimed must not bring a lender below its own share. */
static void test_lender_keeps_its_share(void **state)
{
	bh_shares_t shares;
	job_t j;

	(void)state;
	job_init(&j, "q", NULL, 1000);
	bh_shares_init(&shares, CAPACITY_MILLI);
	assert_false(bh_shares_is_above(&shares, &j.job, 1000));
	bh_shares_add(&shares, &j.job, MIN_MILLI + 999, 0, -1);
	assert_false(bh_shares_is_above(&shares, &j.job, 1000));
	bh_shares_add(&shares, &j.job, 1, 0, -1);
	assert_true(bh_shares_is_above(&shares, &j.job, 1000));
}

/* A zone whose callers are few must not be refused for the load of another. */
static void test_group_below_its_share_is_admitted(void **state)
{
	bh_holds_t holds = {0};
	bh_forecast_t f = {0};
	bh_outlook_t outlook = {&f, 0, &holds, 0};
	bh_admission_t a;
	job_t flood;
	job_t rare;

	(void)state;
	job_init(&flood, "q", "a", 1000);
	job_init(&rare, "q", "b", 1000);
	*bh_forecast_demand(&f, 0) =
		(bh_demand_t){0, {1000000, 0}, {0}, {1000, 0}};
	bh_shares_init(&f.shares, CAPACITY_MILLI);
	bh_shares_add(&f.shares, &flood.job, 90000, 0, 0);
	assert_false(bh_admit_by_forecast(&flood.job, &outlook, 0, &a));
	for (int i = 0; i < MIN_MILLI / 1000; i++) {
		assert_true(bh_admit_by_forecast(&rare.job, &outlook, 0, &a));
		bh_forecast_charge(&f, &rare.job);
	}
	/* No more than its share before the next forecast. */
	assert_false(bh_admit_by_forecast(&rare.job, &outlook, 0, &a));
}

static void test_groups_are_bounded(void **state)
{
	bh_shares_t shares;

	(void)state;
	bh_shares_init(&shares, CAPACITY_MILLI);
	for (int i = 0; i < 2 * BH_SHARES_MAX; i++) {
		g_autofree char *queue = g_strdup_printf("q%d", i);
		job_t j;

		job_init(&j, queue, "a", 1000);
		bh_shares_add(&shares, &j.job, 0, 0, 3000);
		assert_in_range(shares.n, 3, BH_SHARES_MAX);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_group_has_a_share),
		cmocka_unit_test(test_lender_keeps_its_share),
		cmocka_unit_test(test_group_below_its_share_is_admitted),
		cmocka_unit_test(test_groups_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
