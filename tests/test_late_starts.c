/*
 * Orders to start without an answer, and the worker's next process.
 */
#include "sched/late_starts.h"
#include "tests/test.h"

#define TASK "00000000000000aa.0.0.0"
#define LAST 100
#define NEXT 200

static bool must_stop(bh_late_starts_t *log, uint64_t boot)
{
	const char *task;
	uint32_t attempt;

	return bh_late_starts_next(log, boot, &task, &attempt);
}

static bh_late_starts_t *new_log(void)
{
	bh_late_starts_t *log = bh_late_starts_new();

	bh_late_starts_add(log, TASK, 2, "w", LAST, 1, MS(0));
	return log;
}

/* A stop that is not answered is ordered again, and one that is answered counts
 * for that process only. */
static void test_settled_by_a_stop_that_is_answered(void **state)
{
	bh_late_starts_t *log = new_log();
	bh_worker_lists_t lists = {.boot = NEXT};

	(void)state;
	bh_late_starts_listed(log, &lists, "w", 1, MS(500));
	assert_true(must_stop(log, NEXT));
	assert_false(must_stop(log, NEXT));
	bh_late_starts_stopped(log, NEXT, TASK, 2, false);
	assert_false(bh_late_starts_is_settled(log, NEXT));
	assert_true(must_stop(log, NEXT));
	bh_late_starts_stopped(log, NEXT, TASK, 2, true);
	assert_true(bh_late_starts_is_settled(log, NEXT));
	assert_false(bh_late_starts_is_settled(log, NEXT + 1));
	bh_late_starts_free(log);
}

static void test_settled_in_the_process_it_was_meant_for(void **state)
{
	bh_late_starts_t *log = new_log();

	(void)state;
	assert_true(bh_late_starts_is_settled(log, LAST));
	bh_late_starts_free(log);
}

/* The leader learns of an attempt that is listed, and decides what becomes of
 * it. A lower one does not show that the late one has started. */
static void test_settled_when_listed(void **state)
{
	bh_late_starts_t *log = new_log();
	bh_active_t active = {.task = (char *)TASK, .attempt = 1};
	bh_worker_lists_t lists = {
		.boot = NEXT, .n_active = 1, .active = &active};

	(void)state;
	bh_late_starts_listed(log, &lists, "w", 1, MS(500));
	assert_false(bh_late_starts_is_settled(log, NEXT));
	active.attempt = 2;
	bh_late_starts_listed(log, &lists, "w", 1, MS(500));
	assert_true(bh_late_starts_is_settled(log, NEXT));
	bh_late_starts_free(log);
}

/* By its id, its fencing token, or after a time that no call is delayed. */
static void test_settled_when_the_next_process_rejects_it(void **state)
{
	static const struct {
		const char *worker;
		uint64_t term;
		bh_usec_t now;
	} cases[] = {
		{"other", 1, MS(500)}, {"w", 2, MS(500)}, {"w", 1, MS(16000)}};
	bh_worker_lists_t lists = {.boot = NEXT};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		bh_late_starts_t *log = new_log();

		bh_late_starts_listed(log, &lists, cases[i].worker,
				      cases[i].term, cases[i].now);
		assert_true(bh_late_starts_is_settled(log, NEXT));
		bh_late_starts_free(log);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settled_by_a_stop_that_is_answered),
		cmocka_unit_test(test_settled_in_the_process_it_was_meant_for),
		cmocka_unit_test(test_settled_when_listed),
		cmocka_unit_test(test_settled_when_the_next_process_rejects_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
