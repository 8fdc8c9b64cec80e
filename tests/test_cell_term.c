/*
 * Tests of a cell leader whose term has ended while it was paused: it may
 * neither commit nor answer reports, since another agent may lead by then.
 */
#include "core/cell.h"
#include "core/msg.h"
#include "tests/test.h"

#define TERM_US	  MS(1500)
#define PAUSED_US MS(4000)

/**
 * struct fake_store - store that answers at once, and the messages sent
 * @now: time on the virtual clock
 * @nonce: of the commit that awaits its answer
 * @commits: commits received
 * @orders: messages sent to members
 */
typedef struct fake_store {
	bh_cell_t *cell;
	bh_usec_t now;
	uint64_t nonce;
	uint32_t commits;
	uint32_t orders;
} fake_store_t;

static void on_read(void *ctx)
{
	(void)ctx;
}

static void on_commit(void *ctx, const bh_cell_commit_t *commit)
{
	fake_store_t *f = ctx;

	f->commits++;
	f->nonce = commit->nonce;
}

static void on_load(void *ctx)
{
	(void)ctx;
}

static void on_send(void *ctx, const char *member, const bh_msg_t *orders)
{
	fake_store_t *f = ctx;

	(void)member;
	(void)orders;
	f->orders++;
}

static const bh_cell_ops_t ops = {
	.read = on_read,
	.commit = on_commit,
	.load = on_load,
	.send = on_send,
};

static void report(fake_store_t *f, uint64_t seq)
{
	bh_msg_t msg = {
		.type = BH_MSG_REPORT,
		.name = (char *)"agent-1",
		.incarnation = 1,
		.seq = seq,
		.term = bh_cell_term(f->cell),
		.capacity = {.cpu_milli = 8000, .mem_mb = 8000},
	};

	bh_cell_handle_report(f->cell, &msg, f->now);
}

/* Makes the cell lead, with one job that waits for a member. */
static void lead(fake_store_t *f)
{
	static const bh_cell_config_t config = {
		.holder = "agent-0",
		.placement = "first-fit",
		.lease_us = MS(3000),
		.term_us = TERM_US,
		.journal_us = MS(10),
		.seed = 1,
	};
	static const bh_cell_row_t empty = {0};
	static const bh_job_spec_t job = {
		.name = "job",
		.tenant = "tenant",
		.n_tasks = 1,
		.need = {.cpu_milli = 1000, .mem_mb = 100},
		.run_ms = 1000,
		.is_idempotent = true,
	};

	f->cell = bh_cell_new(&config, &ops, f, f->now);
	f->now += MS(10000);
	bh_cell_tick(f->cell, f->now);
	bh_cell_row_read(f->cell, &empty, f->now);
	assert_int_equal(f->commits, 1);
	bh_cell_committed(f->cell, f->nonce, BH_COMMIT_OK, 1, f->now);
	bh_cell_set_job(f->cell, &job, f->now);
	bh_cell_loaded(f->cell, true, f->now);
	assert_int_equal(bh_cell_role(f->cell), BH_CELL_LEADING);
}

/* A report that a paused leader finds when it wakes up gets no orders: the
 * member may follow another leader by then. */
static void test_lapsed_leader_answers_no_report(void **state)
{
	fake_store_t f = {0};

	(void)state;
	lead(&f);
	report(&f, 1);
	assert_true(f.orders > 0);
	f.orders = 0;
	f.now += PAUSED_US;
	report(&f, 2);
	assert_int_equal(f.orders, 0);
	bh_cell_free(f.cell);
}

/* A leader that wakes up after the end of its term gives up the lead; it
 * commits nothing under the old term. */
static void test_lapsed_leader_commits_nothing(void **state)
{
	fake_store_t f = {0};
	uint32_t commits;

	(void)state;
	lead(&f);
	report(&f, 1);
	commits = f.commits;
	f.now += PAUSED_US;
	bh_cell_tick(f.cell, f.now);
	assert_int_equal(f.commits, commits);
	assert_int_equal(bh_cell_role(f.cell), BH_CELL_FOLLOWER);
	bh_cell_free(f.cell);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lapsed_leader_answers_no_report),
		cmocka_unit_test(test_lapsed_leader_commits_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
