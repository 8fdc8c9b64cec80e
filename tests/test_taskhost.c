/*
 * Tests of the ledger and of the agent's handling of orders.
 */
#include "core/taskhost.h"
#include "tests/test.h"

#define AGENT_INCARNATION 3
#define LEASE_MS	  1000

typedef struct fake {
	bh_taskhost_t *taskhost;
	int starts;
	int stops;
	int forgets;
	bh_usec_t renewed_until;
	bh_usec_t start_lease_until;
} fake_t;

static void op_start(void *ctx, const bh_host_task_t *task)
{
	fake_t *f = ctx;

	f->starts++;
	f->start_lease_until = task->lease_until;
}

static void op_stop(void *ctx, const bh_host_task_t *task)
{
	(void)task;
	((fake_t *)ctx)->stops++;
}

static void op_forget(void *ctx, const bh_host_task_t *task)
{
	(void)task;
	((fake_t *)ctx)->forgets++;
}

static void op_throttle(void *ctx, const bh_host_task_t *task,
			uint32_t permille)
{
	(void)ctx;
	(void)task;
	(void)permille;
}

static void op_renew(void *ctx, GPtrArray *tasks, bh_usec_t until)
{
	(void)tasks;
	((fake_t *)ctx)->renewed_until = until;
}

static const bh_taskhost_ops_t ops = {op_start, op_stop, op_forget, op_throttle,
				      op_renew};
static const bh_resources_t capacity = {1000, 1000, 1};

static void handle_listing(fake_t *f, const bh_host_task_t *tasks, size_t n,
			   bh_usec_t requested_at)
{
	bh_taskhost_handle_listing(f->taskhost, &capacity, tasks, n,
				   requested_at);
}

static size_t report(fake_t *f, bh_usec_t now)
{
	bh_msg_t msg = {0};
	size_t n;

	assert_true(bh_taskhost_fill_report(f->taskhost, &msg, now));
	n = msg.n_tasks;
	bh_msg_clear(&msg);
	return n;
}

static bh_task_state_t state_of_only_task(fake_t *f, bh_usec_t now)
{
	bh_msg_t msg = {0};
	bh_task_state_t state;

	assert_true(bh_taskhost_fill_report(f->taskhost, &msg, now));
	assert_int_equal(msg.n_tasks, 1);
	state = msg.tasks[0].state;
	bh_msg_clear(&msg);
	return state;
}

static int setup(void **state)
{
	fake_t *f = g_new0(fake_t, 1);

	f->taskhost = bh_taskhost_new("a", AGENT_INCARNATION, &ops, f);
	handle_listing(f, NULL, 0, 0);
	report(f, MS(100));
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fake_t *f = *state;

	bh_taskhost_free(f->taskhost);
	g_free(f);
	return 0;
}

static void send_order(fake_t *f, bh_order_kind_t kind, const char *id,
		       uint32_t epoch, uint32_t cpu, uint64_t term,
		       uint64_t report, bh_usec_t now)
{
	bh_order_t o = {.kind = kind,
			.id = (char *)id,
			.epoch = epoch,
			.need = {cpu, 10, 0},
			.run_ms = 100};
	bh_msg_t msg = {.type = BH_MSG_ORDERS,
			.incarnation = AGENT_INCARNATION,
			.seq = report,
			.term = term,
			.lease_ms = LEASE_MS,
			.n_orders = 1,
			.orders = &o};

	bh_taskhost_handle_orders(f->taskhost, &msg, now);
}

static void test_lease_counts_from_the_report(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(600));
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->start_lease_until, MS(100 + LEASE_MS));
}

static void test_order_after_its_lease_is_ignored(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(100 + LEASE_MS));
	assert_int_equal(f->starts, 0);
	assert_int_equal(bh_taskhost_counters(f->taskhost)->stale_orders, 1);
}

static void test_former_term_is_refused(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_STOP, "none", 1, 0, 2, 1, MS(150));
	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(160));
	assert_int_equal(f->starts, 0);
	send_order(f, BH_ORDER_START, "j/0", 1, 100, 2, 1, MS(170));
	assert_int_equal(f->starts, 1);
}

static void test_repeated_start_starts_once(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(150));
	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(160));
	assert_int_equal(f->starts, 1);
}

static void test_lower_epoch_is_refused(void **state)
{
	fake_t *f = *state;
	bh_host_task_t ended = {.id = "j/0",
				.epoch = 2,
				.state = BH_TASK_DONE,
				.need = {100, 10, 0}};

	send_order(f, BH_ORDER_START, "j/0", 2, 100, 1, 1, MS(150));
	bh_taskhost_started(f->taskhost, "j/0", 2, true, MS(151));
	handle_listing(f, &ended, 1, MS(152));
	send_order(f, BH_ORDER_FORGET, "j/0", 2, 0, 1, 1, MS(153));
	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(154));
	assert_int_equal(f->starts, 1);
	assert_int_equal(bh_taskhost_counters(f->taskhost)->refused_epoch, 1);
}

static void test_start_beyond_capacity_fails(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 600, 1, 1, MS(150));
	send_order(f, BH_ORDER_START, "j/1", 1, 600, 1, 1, MS(150));
	assert_int_equal(f->starts, 1);
	assert_int_equal(bh_taskhost_counters(f->taskhost)->refused_full, 1);
	assert_int_equal(
		bh_ledger_reserved(bh_taskhost_ledger(f->taskhost))->cpu_milli,
		600);
}

static void test_resources_are_released_only_after_the_stop(void **state)
{
	fake_t *f = *state;
	const bh_ledger_t *ledger = bh_taskhost_ledger(f->taskhost);
	bh_host_task_t t = {.id = "j/0",
			    .epoch = 1,
			    .state = BH_TASK_RUNNING,
			    .need = {600, 10, 0}};

	send_order(f, BH_ORDER_START, "j/0", 1, 600, 1, 1, MS(150));
	bh_taskhost_started(f->taskhost, "j/0", 1, true, MS(151));
	send_order(f, BH_ORDER_STOP, "j/0", 1, 0, 1, 1, MS(160));
	assert_int_equal(f->stops, 1);
	handle_listing(f, &t, 1, MS(170));
	assert_int_equal(bh_ledger_reserved(ledger)->cpu_milli, 600);
	t.state = BH_TASK_STOPPED;
	handle_listing(f, &t, 1, MS(180));
	assert_int_equal(bh_ledger_reserved(ledger)->cpu_milli, 0);
}

static void test_no_report_before_the_first_list(void **state)
{
	fake_t *f = *state;
	bh_taskhost_t *fresh = bh_taskhost_new("b", AGENT_INCARNATION, &ops, f);
	bh_msg_t msg = {0};

	assert_false(bh_taskhost_fill_report(fresh, &msg, MS(1)));
	bh_taskhost_free(fresh);
}

static void test_restarted_agent_adopts_running_tasks(void **state)
{
	fake_t *f = *state;
	bh_taskhost_t *fresh = bh_taskhost_new("b", AGENT_INCARNATION, &ops, f);
	bh_host_task_t t = {.id = "j/0",
			    .epoch = 4,
			    .state = BH_TASK_RUNNING,
			    .need = {900, 10, 0}};

	bh_taskhost_handle_listing(fresh, &capacity, &t, 1, 0);
	assert_int_equal(
		bh_ledger_reserved(bh_taskhost_ledger(fresh))->cpu_milli, 900);
	bh_taskhost_free(fresh);
}

static void test_older_list_does_not_end_a_new_task(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(150));
	bh_taskhost_started(f->taskhost, "j/0", 1, true, MS(200));
	handle_listing(f, NULL, 0, MS(190));
	assert_int_equal(state_of_only_task(f, MS(201)), BH_TASK_RUNNING);
	handle_listing(f, NULL, 0, MS(210));
	assert_int_equal(state_of_only_task(f, MS(211)), BH_TASK_STOPPED);
}

static void test_unanswered_start_ends_with_its_lease(void **state)
{
	fake_t *f = *state;

	send_order(f, BH_ORDER_START, "j/0", 1, 100, 1, 1, MS(150));
	handle_listing(f, NULL, 0, MS(500));
	assert_int_equal(state_of_only_task(f, MS(501)), BH_TASK_STARTING);
	handle_listing(f, NULL, 0, MS(100 + LEASE_MS + 1));
	assert_int_equal(state_of_only_task(f, MS(1200)), BH_TASK_STOPPED);
}

static void test_reply_renews_what_its_report_listed(void **state)
{
	fake_t *f = *state;
	bh_host_task_t t = {.id = "j/0",
			    .epoch = 1,
			    .state = BH_TASK_RUNNING,
			    .need = {100, 10, 0}};

	handle_listing(f, &t, 1, MS(110));
	send_order(f, BH_ORDER_STOP, "none", 1, 0, 1, 1, MS(120));
	assert_int_equal(f->renewed_until, 0);
	report(f, MS(300));
	send_order(f, BH_ORDER_STOP, "none", 1, 0, 1, 2, MS(310));
	assert_int_equal(f->renewed_until, MS(300 + LEASE_MS));
}

static void test_only_state_changes_count(void **state)
{
	fake_t *f = *state;
	bh_host_task_t t = {.id = "j/0",
			    .epoch = 1,
			    .state = BH_TASK_RUNNING,
			    .need = {100, 10, 0}};
	uint64_t before = bh_taskhost_changes(f->taskhost);

	handle_listing(f, &t, 1, MS(110));
	assert_true(bh_taskhost_changes(f->taskhost) > before);
	before = bh_taskhost_changes(f->taskhost);
	t.progress_ms = 50;
	handle_listing(f, &t, 1, MS(120));
	send_order(f, BH_ORDER_STOP, "none", 1, 0, 1, 1, MS(130));
	before += 1; /* the first orders of a term count as a change */
	assert_int_equal(bh_taskhost_changes(f->taskhost), before);
	t.state = BH_TASK_DONE;
	handle_listing(f, &t, 1, MS(140));
	assert_true(bh_taskhost_changes(f->taskhost) > before);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_lease_counts_from_the_report),
		TEST(test_order_after_its_lease_is_ignored),
		TEST(test_former_term_is_refused),
		TEST(test_repeated_start_starts_once),
		TEST(test_lower_epoch_is_refused),
		TEST(test_start_beyond_capacity_fails),
		TEST(test_resources_are_released_only_after_the_stop),
		TEST(test_no_report_before_the_first_list),
		TEST(test_restarted_agent_adopts_running_tasks),
		TEST(test_older_list_does_not_end_a_new_task),
		TEST(test_unanswered_start_ends_with_its_lease),
		TEST(test_reply_renews_what_its_report_listed),
		TEST(test_only_state_changes_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
