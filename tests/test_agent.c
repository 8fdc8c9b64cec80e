/*
 * Tests of the agent's admission, queues, unacknowledged answers and
 * tombstones.
 */
#include "core/agent.h"
#include "tests/test.h"

#define ENTRY 77
#define SLOTS 2

/* Records the callbacks of the agent. */
typedef struct fake {
	bh_agent_t *agent;
	GPtrArray *calls; /* oldest first */
	bh_msg_t last;
	void *last_conn;
	int answers;
	void *closed;
} fake_t;

static void fake_call(void *ctx, bh_work_t *work)
{
	g_ptr_array_add(((fake_t *)ctx)->calls, work);
}

static void fake_send(void *ctx, void *conn, const bh_msg_t *msg)
{
	fake_t *f = ctx;

	bh_msg_clear(&f->last);
	bh_msg_copy(&f->last, msg);
	f->last_conn = conn;
	f->answers += msg->type == BH_MSG_ANSWER;
}

static void fake_close(void *ctx, void *conn)
{
	((fake_t *)ctx)->closed = conn;
}

static const bh_agent_ops_t ops = {fake_call, fake_send, fake_close};

static char conn_a;
static char conn_b;

static void hello(fake_t *f, void *conn, uint64_t generation)
{
	bh_msg_t msg = {
		.type = BH_MSG_HELLO, .entry = ENTRY, .generation = generation};

	bh_agent_msg(f->agent, conn, &msg, 0);
}

static void announce(fake_t *f, uint64_t seq, bool draining, bh_usec_t now)
{
	bh_runner_info_t info = {.service = "s",
				 .address = "127.0.0.1:1",
				 .incarnation = 1,
				 .seq = seq,
				 .slots = SLOTS,
				 .connections = 64,
				 .agent = 1,
				 .draining = draining};

	assert_true(bh_agent_runner_announce(f->agent, &info, now));
}

static int setup(void **state)
{
	fake_t *f = g_new0(fake_t, 1);

	f->calls = g_ptr_array_new();
	f->agent = bh_agent_new(1, &ops, f);
	announce(f, 1, false, 0);
	hello(f, &conn_a, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fake_t *f = *state;

	bh_agent_free(f->agent);
	bh_msg_clear(&f->last);
	g_ptr_array_free(f->calls, TRUE);
	g_free(f);
	return 0;
}

static void request(fake_t *f, void *conn, uint64_t seq, bh_class_t cls,
		    bh_usec_t budget, bh_usec_t now)
{
	bh_msg_t msg = {.type = BH_MSG_REQUEST,
			.entry = ENTRY,
			.seq = seq,
			.service = "s",
			.cls = cls,
			.budget_us = (uint64_t)budget};

	bh_agent_msg(f->agent, conn, &msg, now);
}

static void ask(fake_t *f, void *conn, uint64_t seq)
{
	bh_msg_t msg = {.type = BH_MSG_ASK, .entry = ENTRY, .seq = seq};

	bh_agent_msg(f->agent, conn, &msg, 0);
}

static void done(fake_t *f, guint call, bh_usec_t now)
{
	GBytes *body = g_bytes_new_static("x", 1);

	bh_agent_done(f->agent, g_ptr_array_index(f->calls, call), 200, body,
		      now);
	g_bytes_unref(body);
}

static void assert_refused(const fake_t *f, uint64_t seq, bh_reason_t reason)
{
	assert_int_equal(f->last.type, BH_MSG_ANSWER);
	assert_int_equal(f->last.seq, seq);
	assert_int_equal(f->last.verdict, BH_NOT_RUN);
	assert_string_equal(bh_reason_name(f->last.reason),
			    bh_reason_name(reason));
}

static void test_frame_after_tombstone_does_not_run(void **state)
{
	fake_t *f = *state;

	ask(f, &conn_a, 5);
	assert_refused(f, 5, BH_REASON_NEVER_SEEN);
	request(f, &conn_a, 5, BH_CLASS_HIGH, MS(1000), 0);
	assert_int_equal(f->calls->len, 0);
	assert_refused(f, 5, BH_REASON_NEVER_SEEN);
}

static void test_older_connection_is_closed(void **state)
{
	fake_t *f = *state;

	hello(f, &conn_b, 2);
	assert_ptr_equal(f->closed, &conn_a);
	f->closed = NULL;
	hello(f, &conn_a, 1);
	assert_ptr_equal(f->closed, &conn_a);
	request(f, &conn_a, 9, BH_CLASS_HIGH, MS(1000), 0);
	assert_int_equal(f->calls->len, 0);
}

static void test_unacked_answer_is_resent(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	ask(f, &conn_a, 1);
	assert_int_equal(f->last.type, BH_MSG_RUNNING);
	bh_agent_conn_closed(f->agent, &conn_a, 0);
	done(f, 0, MS(3));
	assert_int_equal(f->answers, 0);
	hello(f, &conn_b, 2);
	ask(f, &conn_b, 1);
	assert_int_equal(f->last.verdict, BH_RAN);
	assert_int_equal(f->last.checksum, bh_body_checksum(f->last.body));
}

static void test_acknowledged_answer_is_dropped(void **state)
{
	fake_t *f = *state;
	bh_msg_t ping = {.type = BH_MSG_PING, .entry = ENTRY, .floor = 2};

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	done(f, 0, MS(3));
	assert_false(bh_agent_is_idle(f->agent));
	bh_agent_msg(f->agent, &conn_a, &ping, MS(4));
	assert_true(bh_agent_is_idle(f->agent));
	/* A late copy of the frame must not run. */
	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), MS(5));
	assert_int_equal(f->calls->len, 1);
}

static void test_queue_serves_class_then_deadline(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_LOW, MS(1000), 0);
	request(f, &conn_a, 2, BH_CLASS_LOW, MS(1000), 0);
	request(f, &conn_a, 3, BH_CLASS_LOW, MS(900), 0);
	request(f, &conn_a, 4, BH_CLASS_LOW, MS(800), 0);
	request(f, &conn_a, 5, BH_CLASS_HIGH, MS(1000), 0);
	assert_int_equal(f->calls->len, SLOTS);
	for (guint i = 0; i < 3; i++)
		done(f, i, MS(5));
	assert_int_equal(bh_work_seq(f->calls->pdata[2]), 5);
	assert_int_equal(bh_work_seq(f->calls->pdata[3]), 4);
	assert_int_equal(bh_work_seq(f->calls->pdata[4]), 3);
}

static void test_unreachable_deadline_is_refused(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	done(f, 0, MS(50));
	request(f, &conn_a, 2, BH_CLASS_HIGH, MS(1000), MS(50));
	request(f, &conn_a, 3, BH_CLASS_HIGH, MS(1000), MS(50));
	request(f, &conn_a, 4, BH_CLASS_HIGH, MS(20), MS(50));
	assert_refused(f, 4, BH_REASON_DEADLINE);
}

static void test_low_class_is_displaced(void **state)
{
	fake_t *f = *state;
	uint64_t seq = 1;

	for (int i = 0; i < SLOTS + SLOTS * BH_QUEUE_PER_SLOT; i++)
		request(f, &conn_a, seq++, BH_CLASS_LOW, MS(1000), 0);
	assert_int_equal(f->answers, 0);
	request(f, &conn_a, seq, BH_CLASS_LOW, MS(1000), 0);
	assert_refused(f, seq++, BH_REASON_OVERLOADED);
	request(f, &conn_a, seq, BH_CLASS_HIGH, MS(1000), 0);
	assert_refused(f, seq - 2, BH_REASON_OVERLOADED);
	assert_int_equal(bh_agent_counters(f->agent)->displaced, 1);
}

static void test_drain_refuses_new_and_finishes_running(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	bh_agent_drain(f->agent);
	request(f, &conn_a, 2, BH_CLASS_HIGH, MS(1000), 0);
	assert_refused(f, 2, BH_REASON_DRAINING);
	done(f, 0, MS(3));
	assert_int_equal(f->last.verdict, BH_RAN);
}

static void test_draining_runner_gets_no_requests(void **state)
{
	fake_t *f = *state;

	announce(f, 2, true, MS(1));
	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), MS(2));
	assert_refused(f, 1, BH_REASON_DRAINING);
}

static void test_failed_runner_is_not_called_again(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	bh_agent_failed(f->agent, f->calls->pdata[0], true);
	assert_int_equal(f->last.verdict, BH_MAYBE_RUN);
	request(f, &conn_a, 2, BH_CLASS_HIGH, MS(1000), 0);
	assert_refused(f, 2, BH_REASON_RUNNER_LOST);
	announce(f, 2, false, MS(500));
	request(f, &conn_a, 3, BH_CLASS_HIGH, MS(1000), MS(501));
	assert_int_equal(f->calls->len, 2);
}

static void test_silent_runner_is_removed(void **state)
{
	fake_t *f = *state;

	bh_agent_tick(f->agent, BH_RUNNER_TIMEOUT_US);
	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), BH_RUNNER_TIMEOUT_US);
	assert_refused(f, 1, BH_REASON_RUNNER_LOST);
}

static void test_silent_entry_is_closed_then_removed(void **state)
{
	fake_t *f = *state;

	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	done(f, 0, MS(3));
	bh_agent_tick(f->agent, BH_CLIENT_TIMEOUT_US - 1);
	assert_null(f->closed);
	bh_agent_tick(f->agent, BH_CLIENT_TIMEOUT_US);
	assert_ptr_equal(f->closed, &conn_a);
	bh_agent_tick(f->agent, BH_CLIENT_EXPIRY_US);
	/* The agent may shut down without this entry's acknowledgement. */
	assert_true(bh_agent_is_idle(f->agent));
	hello(f, &conn_b, 2);
	ask(f, &conn_b, 1);
	assert_refused(f, 1, BH_REASON_NEVER_SEEN);
}

static void announce_orphans(fake_t *f, uint64_t seq, uint64_t agent,
			     uint32_t orphans)
{
	bh_runner_info_t info = {.service = "s",
				 .address = "127.0.0.1:1",
				 .incarnation = 1,
				 .seq = seq,
				 .slots = SLOTS,
				 .connections = 64,
				 .agent = agent,
				 .orphans = orphans};

	assert_true(bh_agent_runner_announce(f->agent, &info, 0));
}

static void test_orphaned_runs_occupy_slots(void **state)
{
	fake_t *f = *state;

	announce_orphans(f, 2, 0, 0);
	request(f, &conn_a, 1, BH_CLASS_HIGH, MS(1000), 0);
	assert_refused(f, 1, BH_REASON_RUNNER_LOST);
	announce_orphans(f, 3, 1, SLOTS - 1);
	request(f, &conn_a, 2, BH_CLASS_HIGH, MS(1000), 0);
	request(f, &conn_a, 3, BH_CLASS_HIGH, MS(1000), 0);
	assert_int_equal(f->calls->len, 1);
	announce_orphans(f, 4, 1, 0);
	assert_int_equal(f->calls->len, 2);
}

static void test_corrupt_body_is_refused(void **state)
{
	fake_t *f = *state;
	bh_msg_t msg = {.type = BH_MSG_REQUEST,
			.entry = ENTRY,
			.seq = 1,
			.service = "s",
			.budget_us = 1000000,
			.checksum = 1};

	bh_agent_msg(f->agent, &conn_a, &msg, 0);
	assert_refused(f, 1, BH_REASON_CORRUPT_ANSWER);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_frame_after_tombstone_does_not_run),
		TEST(test_older_connection_is_closed),
		TEST(test_unacked_answer_is_resent),
		TEST(test_acknowledged_answer_is_dropped),
		TEST(test_queue_serves_class_then_deadline),
		TEST(test_unreachable_deadline_is_refused),
		TEST(test_low_class_is_displaced),
		TEST(test_drain_refuses_new_and_finishes_running),
		TEST(test_draining_runner_gets_no_requests),
		TEST(test_failed_runner_is_not_called_again),
		TEST(test_silent_runner_is_removed),
		TEST(test_orphaned_runs_occupy_slots),
		TEST(test_silent_entry_is_closed_then_removed),
		TEST(test_corrupt_body_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
