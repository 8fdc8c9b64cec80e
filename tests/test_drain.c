/*
 * Tests of the end of an entry's graceful shutdown (drain.c).
 */
#include "daemon/drain.h"
#include "tests/test.h"

#define LIMIT_US MS(5400)

/* Guards against an exit in the iteration of the event loop in which the last
 * request is answered: the answer would not be written any more, and the caller
 * would see its connection closed although its job is stored. */
static void test_last_answer_leaves_before_the_exit(void **state)
{
	bh_drain_t drain = {.limit_us = LIMIT_US, .in_flight = 1};

	(void)state;
	assert_false(bh_drain_is_done(&drain, MS(3050)));
	drain.in_flight = 0;
	drain.answered_at = MS(3050);
	assert_false(bh_drain_is_done(&drain, MS(3050)));
	assert_true(bh_drain_is_done(&drain, MS(3400)));
}

/* Connections are accepted until the load balancer has noticed. */
static void test_idle_entry_stays_open_for_the_balancer(void **state)
{
	bh_drain_t drain = {.limit_us = LIMIT_US};

	(void)state;
	assert_false(bh_drain_is_done(&drain, MS(2900)));
	assert_true(bh_drain_is_done(&drain, MS(3100)));
}

/* The process would be killed later; until then it waits for what is in flight.
 */
static void test_exits_before_it_is_killed(void **state)
{
	bh_drain_t drain = {.limit_us = LIMIT_US, .in_flight = 3};

	(void)state;
	assert_false(bh_drain_is_done(&drain, LIMIT_US));
	assert_true(bh_drain_is_done(&drain, LIMIT_US + MS(1)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_last_answer_leaves_before_the_exit),
		cmocka_unit_test(test_idle_entry_stays_open_for_the_balancer),
		cmocka_unit_test(test_exits_before_it_is_killed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
