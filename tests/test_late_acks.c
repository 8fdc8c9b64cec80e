/*
 * Acknowledgements without an answer, and the worker's next process.
 */
#include "sched/late_acks.h"
#include "tests/test.h"

#define BOOT 7

/* The next process under the same id carried out an acknowledgement that was
 * meant for the one before, and forgot ends that nobody had seen. */
static void test_late_acknowledgement_may_reach_next_process(void **state)
{
	bh_late_acks_t acks = {0};

	(void)state;
	assert_false(bh_late_acks_may_reach(&acks, "w", BOOT, MS(1)));
	bh_late_acks_add(&acks, "w", BOOT, MS(1000));
	assert_true(bh_late_acks_may_reach(&acks, "w", BOOT + 1, MS(12999)));
	assert_true(bh_late_acks_may_reach(&acks, NULL, BOOT + 1, MS(12999)));
	assert_false(bh_late_acks_may_reach(&acks, "w", BOOT + 1, MS(13001)));
	bh_late_acks_clear(&acks);
}

/* It does no harm where it was meant for, and another id does not take it. */
static void test_late_acknowledgement_spares_others(void **state)
{
	bh_late_acks_t acks = {0};

	(void)state;
	bh_late_acks_add(&acks, "w", BOOT, MS(1000));
	assert_false(bh_late_acks_may_reach(&acks, "w", BOOT, MS(2000)));
	assert_false(bh_late_acks_may_reach(&acks, "v", BOOT + 1, MS(2000)));
	bh_late_acks_clear(&acks);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_late_acknowledgement_may_reach_next_process),
		cmocka_unit_test(test_late_acknowledgement_spares_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
