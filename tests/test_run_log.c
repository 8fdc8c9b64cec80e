/*
 * What runs on a worker, as its agent sees it: the report of a crash names the
 * tasks that ran, and how long they had.
 */
#include "sched/run_log.h"
#include "tests/test.h"

static const bh_crashed_run_t *find(const bh_crash_t *crash, const char *task)
{
	for (uint32_t i = 0; i < crash->n_runs; i++) {
		if (strcmp(crash->runs[i].task, task) == 0)
			return &crash->runs[i];
	}
	return NULL;
}

static void list(bh_run_log_t *log, const char *task, bh_usec_t now)
{
	bh_active_t active = {.task = (char *)task, .attempt = 1};
	bh_worker_lists_t lists = {.n_active = task ? 1 : 0, .active = &active};

	bh_run_log_listed(log, &lists, now);
}

static void test_crash_names_what_ran(void **state)
{
	bh_run_log_t *log = bh_run_log_new();
	bh_crash_t crash = {0};

	(void)state;
	bh_run_log_ordered(log, "old", 1, MS(0));
	bh_run_log_started(log, "old", 1, MS(5));
	bh_run_log_ordered(log, "young", 1, MS(900));
	bh_run_log_started(log, "young", 1, MS(990));
	bh_run_log_ordered(log, "unanswered", 1, MS(995));
	bh_run_log_ordered(log, "refused", 1, MS(995));
	bh_run_log_refused(log, "refused", 1);
	bh_run_log_ordered(log, "too-late", 1, MS(1010));
	bh_run_log_crashed(log, 7, MS(1000), &crash);
	assert_int_equal(crash.boot, 7);
	assert_int_equal(crash.n_runs, 3);
	assert_int_equal(find(&crash, "old")->age_ms, 995);
	assert_int_equal(find(&crash, "young")->age_ms, 10);
	assert_true(find(&crash, "young")->is_confirmed);
	assert_false(find(&crash, "unanswered")->is_confirmed);
	/* The next life of the worker begins with nothing. */
	bh_run_log_crashed(log, 8, MS(3000), &crash);
	assert_int_equal(crash.n_runs, 0);
	bh_crash_clear(&crash);
	bh_run_log_free(log);
}

static void test_ended_runs_are_forgotten(void **state)
{
	bh_run_log_t *log = bh_run_log_new();
	bh_crash_t crash = {0};

	(void)state;
	bh_run_log_ordered(log, "a", 1, MS(0));
	bh_run_log_started(log, "a", 1, MS(5));
	/* The list may have been made before the start. */
	list(log, NULL, MS(10));
	/* An agent that has restarted learns of runs from the lists. */
	list(log, "b", MS(500));
	list(log, "b", MS(1200));
	bh_run_log_crashed(log, 7, MS(1300), &crash);
	assert_int_equal(crash.n_runs, 1);
	assert_true(find(&crash, "b")->is_confirmed);
	assert_int_equal(find(&crash, "b")->age_ms, 800);
	bh_crash_clear(&crash);
	bh_run_log_free(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crash_names_what_ran),
		cmocka_unit_test(test_ended_runs_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
