/*
 * Tests of the positions of refused callers (holds.c), and of admission that
 * respects them (admit.c).
 */
#include "sched/admit.h"
#include "tests/test.h"
#include "wire/sched_codec.h"

#define SECOND BH_USEC_PER_SEC

/**
 * struct job - a job of one step, with 10 tasks of 1 core and 1 s; it must
 * start within 4 s
 */
typedef struct job {
	bh_job_t job;
	bh_step_t step;
} job_t;

static void job_init(job_t *j, uint32_t id)
{
	*j = (job_t){
		.step = {.count = 10, .cpu_milli = 1000, .estimate_ms = 1000},
		.job = {.queue = (char *)"q",
			.n_steps = 1,
			.terms = {.slack_percent = 100, .target_ms = 4000}},
	};
	g_snprintf(j->job.id, sizeof(j->job.id), "%016x", id);
	j->job.steps = &j->step;
}

/* Ten cores, and work for @seconds that was accepted. */
static bool admit(const job_t *j, const bh_holds_t *holds, uint32_t seconds,
		  bh_usec_t now, bh_admission_t *a)
{
	bh_forecast_t f = {0};
	bh_outlook_t outlook = {&f, 0, holds, 0};

	bh_forecast_add_capacity(&f, BH_WORK_PLAIN, 10000, 0);
	*bh_forecast_demand(&f, 0) =
		(bh_demand_t){0, {10000 * seconds, 0}, {0}, {10, 0}};
	return bh_admit_by_forecast(&j->job, &outlook, now, a);
}

/* Without positions a caller that comes back when it was told to finds that new
 * callers have taken the capacity that was predicted for it. */
static void test_returning_caller_goes_before_new_ones(void **state)
{
	bh_holds_t holds = {0};
	bh_admission_t a;
	job_t jobs[4];
	job_t newcomer;

	(void)state;
	job_init(&newcomer, 9);
	assert_true(admit(&newcomer, &holds, 4, SECOND, &a));
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		job_init(&jobs[i], i + 1);
		assert_non_null(bh_holds_refuse(&holds, &jobs[i].job, 1000, 0));
	}
	assert_false(admit(&newcomer, &holds, 4, SECOND, &a));
	assert_true(admit(&jobs[3], &holds, 4, SECOND, &a));
	assert_int_equal(a.held_ms, 1000);
	/* Once they are accepted, they are part of the accepted work. */
	bh_holds_remove(&holds, jobs[0].job.id);
	assert_int_equal(holds.n, 3);
	/* One that ends before they are back does not delay them. */
	for (uint32_t i = 0; i < holds.n; i++)
		holds.items[i].returns_at = holds.items[i].due_at = 20 * SECOND;
	assert_true(admit(&newcomer, &holds, 4, SECOND, &a));
}

/* What can no longer be in time is worth 15 %: it must not make new jobs late.
 */
static void test_late_positions_do_not_delay_others(void **state)
{
	bh_holds_t holds = {0};
	job_t j;

	(void)state;
	job_init(&j, 1);
	bh_holds_refuse(&holds, &j.job, 1000, 0);
	assert_int_equal(bh_holds_ahead_ms(&holds, BH_WORK_PLAIN, 0, SECOND),
			 10000);
	bh_holds_refuse(&holds, &j.job, 2000, SECOND);
	assert_int_equal(holds.n, 1);
	assert_int_equal(holds.items[0].refused_at, 0);
	assert_int_equal(
		bh_holds_ahead_ms(&holds, BH_WORK_PLAIN, 0, 9 * SECOND), 0);
}

/* A caller that would not come back again must not lose all of the value. */
static void test_last_retry_is_accepted_while_of_value(void **state)
{
	bh_holds_t holds = {0};
	bh_admission_t a;
	bh_usec_t now = 0;
	job_t j;

	(void)state;
	job_init(&j, 1);
	for (int i = 0; i < 4; i++) {
		assert_false(admit(&j, &holds, 12, now, &a));
		bh_holds_refuse(&holds, &j.job, 1000, now);
		now += SECOND;
	}
	assert_true(admit(&j, &holds, 12, now, &a));
	assert_false(admit(&j, &holds, 20, now, &a));
}

/* A caller may come back at any entry, which knows of it by the leader. */
static void test_position_is_known_at_another_entry(void **state)
{
	bh_usec_t here = 100 * SECOND;
	bh_usec_t there = 7 * SECOND;
	bh_holds_t holds = {0};
	bh_holds_t leader = {0};
	bh_holds_t other = {0};
	bh_holds_frame_t frame;
	Bh__Sched__JobHold message;
	const bh_hold_t *back;
	bh_hold_t hold;
	job_t j;

	(void)state;
	job_init(&j, 0xabcdef);
	bh_hold_encode(bh_holds_refuse(&holds, &j.job, 2000, here), here,
		       &message);
	bh_hold_decode(&message, there, &hold);
	bh_holds_add(&leader, &hold, there);
	bh_holds_encode(&leader, there, &frame);
	bh_holds_decode(&frame.message, here + SECOND, &other);
	/* Too early, in time, and too late. */
	assert_null(bh_holds_find(&other, j.job.id, here + SECOND));
	back = bh_holds_find(&other, j.job.id, here + 3 * SECOND);
	assert_non_null(back);
	assert_int_equal(back->work_ms, 10000);
	assert_int_equal(back->refusals, 1);
	assert_null(bh_holds_find(&other, j.job.id, here + 6 * SECOND));
	bh_holds_expire(&other, here + 6 * SECOND);
	assert_int_equal(other.n, 0);
}

static void test_list_is_bounded(void **state)
{
	bh_holds_t holds = {0};
	job_t j;

	(void)state;
	for (uint32_t i = 0; i < BH_HOLDS_MAX; i++) {
		job_init(&j, i + 1);
		assert_non_null(bh_holds_refuse(&holds, &j.job, 1000, 0));
	}
	job_init(&j, 1000);
	assert_null(bh_holds_refuse(&holds, &j.job, 1000, SECOND));
	/* Expired ones make room. */
	assert_non_null(bh_holds_refuse(&holds, &j.job, 1000, 9 * SECOND));
	assert_int_equal(holds.n, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_returning_caller_goes_before_new_ones),
		cmocka_unit_test(test_late_positions_do_not_delay_others),
		cmocka_unit_test(test_last_retry_is_accepted_while_of_value),
		cmocka_unit_test(test_position_is_known_at_another_entry),
		cmocka_unit_test(test_list_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
