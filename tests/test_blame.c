/*
 * Which task is at fault when a worker crashes: a task that crashes each of its
 * workers is found, the tasks beside it and those on workers that crash by
 * themselves are not given up.
 */
#include "sched/blame.h"
#include "tests/test.h"

/* A task that crashes its workers may be started fewer than three times more
 * after three crashes. */
#define CRASHES_MAX 5

#define TASKS 64
#define SEEDS 500

static void test_young_task_is_suspected_before_old_ones(void **state)
{
	bh_blame_t worker = {0};
	bh_blame_t tasks[3] = {0};
	const bh_suspect_t suspects[] = {{&tasks[0], MS(10), true},
					 {&tasks[1], MS(800), true},
					 {&tasks[2], MS(9000), true}};

	(void)state;
	bh_blame_crash(&worker, 1, 0, suspects, 3);
	assert_true(tasks[0].suspicion > 0.5);
	assert_true(tasks[1].suspicion < 0.1);
	assert_true(tasks[2].suspicion < tasks[1].suspicion);
	assert_false(bh_blame_is_guilty(&tasks[0]));
}

/* The worker crashed before it answered the order: the task may not have
 * started.
 */
static void test_unconfirmed_task_is_suspected_less(void **state)
{
	bh_blame_t worker = {0};
	bh_blame_t tasks[2] = {0};
	const bh_suspect_t suspects[] = {{&tasks[0], MS(10), true},
					 {&tasks[1], MS(10), false}};

	(void)state;
	bh_blame_crash(&worker, 1, 0, suspects, 2);
	assert_true(tasks[1].suspicion < tasks[0].suspicion / 2);
	assert_true(tasks[1].suspicion >= BH_SUSPICION_MIN);
}

static void test_task_without_neighbours_is_guilty_of_two_crashes(void **state)
{
	bh_blame_t task = {0};
	const bh_suspect_t suspect = {&task, MS(10), true};

	(void)state;
	for (int i = 1; i <= 2; i++) {
		bh_blame_t worker = {0};

		assert_false(bh_blame_is_guilty(&task));
		bh_blame_crash(&worker, (uint64_t)i, 0, &suspect, 1);
		assert_int_equal(task.crashes, i);
		assert_true(worker.suspicion < 0.1);
	}
	assert_true(bh_blame_is_guilty(&task));
}

/* It crashes its workers only after it has run for some time, when the worker
 * is as likely at fault. */
static void test_repeated_age_is_evidence(void **state)
{
	bh_blame_t task = {0};
	const bh_suspect_t suspect = {&task, MS(3000), true};
	int crashes = 0;

	(void)state;
	while (!bh_blame_is_guilty(&task) && crashes++ < CRASHES_MAX) {
		bh_blame_t worker = {0};

		bh_blame_crash(&worker, (uint64_t)crashes, 0, &suspect, 1);
	}
	assert_true(bh_blame_is_guilty(&task));
}

static void test_task_that_outlives_its_age_is_cleared(void **state)
{
	const bh_blame_t young = {.crashes = 1, .age = MS(10)};
	const bh_blame_t old = {.crashes = 1, .age = MS(5000)};

	(void)state;
	assert_false(bh_blame_is_cleared(&young, MS(300)));
	assert_true(bh_blame_is_cleared(&young, MS(600)));
	assert_false(bh_blame_is_cleared(&old, MS(5500)));
	assert_true(bh_blame_is_cleared(&old, MS(11000)));
}

/* A task that may have ended before its workers crashed was given up. */
static void test_inferred_crashes_alone_are_not_enough(void **state)
{
	bh_blame_t task = {0};
	bh_blame_t worker = {0};
	bh_suspect_t suspect = {&task, MS(10), true, true};

	(void)state;
	for (int i = 1; i < CRASHES_MAX; i++) {
		bh_blame_crash(&worker, (uint64_t)i, 0, &suspect, 1);
		assert_false(bh_blame_is_guilty(&task));
	}
	bh_blame_crash(&worker, CRASHES_MAX, 0, &suspect, 1);
	assert_true(bh_blame_is_guilty(&task));
}

/* Idle workers that crash are at fault themselves, and make it likely that
 * others are: tasks that are together on such workers are not given up. */
static void test_workers_that_crash_by_themselves(void **state)
{
	bh_blame_t idle = {0};
	bh_blame_t tasks[8] = {0};

	(void)state;
	bh_blame_crash(&idle, 1, 0, NULL, 0);
	assert_true(idle.suspicion > 0.99);
	for (int i = 0; i < 2 * CRASHES_MAX; i++) {
		bh_blame_t worker = idle;
		bh_suspect_t suspects[8];

		for (int k = 0; k < 8; k++)
			suspects[k] = (bh_suspect_t){
				&tasks[k], MS(300 + (100 * i + 70 * k) % 400),
				true};
		bh_blame_crash(&worker, (uint64_t)i + 1, idle.suspicion,
			       suspects, 8);
		for (int k = 0; k < 8; k++)
			assert_false(bh_blame_is_guilty(&tasks[k]));
	}
}

/* One of the tasks crashes its workers, beside about @n others, which are as
 * young and picked at random, as far as suspects may be together. Return:
 * crashes until it is guilty. */
static int find_guilty(GRand *rand, int n)
{
	bh_blame_t tasks[TASKS] = {0};
	int crashes = 0;

	while (!bh_blame_is_guilty(&tasks[0])) {
		bh_blame_t worker = {0};
		bh_suspect_t suspects[TASKS] = {
			{&tasks[0], MS(20), true, false}};
		uint32_t n_suspects = 1;
		double sum = tasks[0].suspicion;

		for (int i = 1; i < TASKS; i++) {
			double suspicion = tasks[i].suspicion;

			if (g_rand_int_range(rand, 0, TASKS) >= n)
				continue;
			if (suspicion >= BH_SUSPICION_MIN &&
			    sum + suspicion > BH_SUSPICION_TOGETHER)
				continue;
			if (suspicion >= BH_SUSPICION_MIN)
				sum += suspicion;
			suspects[n_suspects++] =
				(bh_suspect_t){&tasks[i], MS(20), true, false};
		}
		bh_blame_crash(&worker, (uint64_t)++crashes, 0, suspects,
			       n_suspects);
		for (int i = 1; i < TASKS; i++)
			assert_false(bh_blame_is_guilty(&tasks[i]));
	}
	return crashes;
}

static void test_guilty_task_is_found_among_neighbours(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		int n = 1 + (int)(seed % 16);
		int crashes = find_guilty(rand, n);

		if (crashes > CRASHES_MAX)
			fail_msg("seed %u: %d crashes among %d tasks", seed,
				 crashes, n);
		g_rand_free(rand);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_young_task_is_suspected_before_old_ones),
		cmocka_unit_test(test_unconfirmed_task_is_suspected_less),
		cmocka_unit_test(
			test_task_without_neighbours_is_guilty_of_two_crashes),
		cmocka_unit_test(test_repeated_age_is_evidence),
		cmocka_unit_test(test_task_that_outlives_its_age_is_cleared),
		cmocka_unit_test(test_inferred_crashes_alone_are_not_enough),
		cmocka_unit_test(test_workers_that_crash_by_themselves),
		cmocka_unit_test(test_guilty_task_is_found_among_neighbours),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
