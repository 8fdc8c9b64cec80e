/*
 * Progress of wide jobs: a row of the store holds 64 KB, and what it refuses is
 * refused each time.
 */
#include "sched/sched.h"
#include "tests/test.h"
#include "wire/sched_codec.h"

#define HOST	      "10.0.0.1:1"
#define JOB	      "00000000000000aa"
#define ROW_BYTES_MAX 65536
#define TASKS_MAX     20000u
#define CHECKPOINT    "0123456789abcdef0123456789abcdef"

typedef struct orders {
	uint64_t ack;
} orders_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	(void)ctx;
	(void)host;
	(void)start;
}

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	orders_t *o = ctx;

	(void)host;
	(void)boot;
	(void)expires_ms;
	o->ack = ack;
}

static const bh_sched_ops_t ops = {.start = on_start, .grant = on_grant};

static const bh_sched_bounds_t bounds = {
	.term = 2, .lease_ms = 5000, .status_ms = 120000};

/* A job of two steps with @count tasks each. */
static bh_job_t *make_job(uint32_t count)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, JOB, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 2;
	job->steps = g_new0(bh_step_t, 2);
	for (uint32_t i = 0; i < 2; i++) {
		job->steps[i].count = count;
		job->steps[i].cpu_milli = 1;
		job->steps[i].memory_mb = 1;
		job->steps[i].estimate_ms = 1000;
		job->steps[i].is_checkpointing = true;
	}
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	return job;
}

/* What is noted of a task at the most: failed attempts, crashes, a checkpoint.
 */
static void fill_task(bh_task_progress_t *task, uint32_t index)
{
	static const uint32_t failed[] = {4097, 8193, 1000000000, 4294967295};

	task->index = index;
	task->n_failed = G_N_ELEMENTS(failed);
	task->failed = g_memdup2(failed, sizeof(failed));
	task->checkpoint = g_strdup_printf("%s%u", CHECKPOINT, index);
	task->blame = (bh_blame_t){.crashes = BH_BLAME_IDS,
				   .inferred = BH_BLAME_IDS,
				   .suspicion = 0.125,
				   .age = MS(100000)};
	for (uint32_t i = 0; i < BH_BLAME_IDS; i++)
		task->blame.ids[i] = UINT64_MAX - i;
}

/* Every third task is done, the others have all notes. */
static bh_progress_t *make_progress(uint32_t count)
{
	bh_progress_t *p = g_new0(bh_progress_t, 1);

	p->state = BH_JOB_RUNNING;
	p->n_steps = 2;
	p->steps = g_new0(bh_step_progress_t, 2);
	for (uint32_t i = 0; i < 2; i++) {
		bh_step_progress_t *step = &p->steps[i];

		step->step = i;
		step->n_done_bytes = (count + 7) / 8;
		step->done = g_malloc0(step->n_done_bytes);
		step->tasks = g_new0(bh_task_progress_t, count);
		for (uint32_t k = 0; k < count; k++) {
			if (k % 3 == 0)
				step->done[k / 8] |= (uint8_t)(1u << (k % 8));
			else
				fill_task(&step->tasks[step->n_tasks++], k);
		}
	}
	return p;
}

/* Lets a worker crash under all tasks that are not done, so that all have to be
 * stored. */
static void crash_all(bh_sched_t *s, uint32_t count)
{
	bh_crash_t crash = {.boot = 7};

	crash.runs = g_new0(bh_crashed_run_t, (gsize)count * 2);
	for (uint32_t i = 0; i < count * 2; i++)
		crash.runs[crash.n_runs++] = (bh_crashed_run_t){
			.task = g_strdup_printf(JOB ".0.%u.%u", i / count,
						i % count),
			.age_ms = 100,
			.is_confirmed = true};
	bh_sched_crash(s, HOST, &crash, MS(100));
	bh_crash_clear(&crash);
}

static bh_sched_t *new_sched(orders_t *o, const bh_config_t *config)
{
	bh_sched_t *s = bh_sched_new(&bounds, &ops, o, MS(1), 1000);

	bh_sched_set_config(s, config);
	bh_sched_add_host(s, HOST, false, MS(1));
	bh_sched_host_linked(s, HOST, true, MS(1));
	return s;
}

/* Stores what has changed. Return: the rows. */
static GPtrArray *store_all(bh_sched_t *s)
{
	GPtrArray *rows =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	const char *id;
	uint32_t segment;

	while (bh_sched_commit_next(s, &id, &segment)) {
		bh_progress_t *progress = bh_sched_progress(s, id, segment);

		g_ptr_array_add(rows, bh_progress_pack(progress));
		bh_progress_free(progress);
	}
	bh_sched_end_commit(s, true);
	return rows;
}

static bh_progress_t *merge(const GPtrArray *rows)
{
	bh_progress_t *all = g_new0(bh_progress_t, 1);

	for (guint i = 0; i < rows->len; i++) {
		gsize len;
		const void *data = g_bytes_get_data(rows->pdata[i], &len);

		bh_progress_merge(all, bh_progress_unpack(data, len));
	}
	return all;
}

/* A worker crashed under thousands of tasks of one job. The row with a note for
 * each was refused by the store and sent again without end, so that no end of
 * any job was acknowledged. */
static void test_rows_of_the_widest_job_fit(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_progress_t *progress = make_progress(TASKS_MAX / 2);
	GPtrArray *rows;

	(void)state;
	bh_sched_add_job(s, make_job(TASKS_MAX / 2), progress, MS(1));
	crash_all(s, TASKS_MAX / 2);
	rows = store_all(s);
	assert_int_equal(rows->len, bh_sched_segments(s, JOB));
	for (guint i = 0; i < rows->len; i++)
		assert_true(g_bytes_get_size(rows->pdata[i]) <= ROW_BYTES_MAX);
	assert_false(bh_sched_has_uncommitted(s));
	g_ptr_array_free(rows, TRUE);
	bh_progress_free(progress);
	bh_sched_free(s);
	bh_config_free(config);
}

/* Checkpoints may have any length. */
static void test_row_without_checkpoints_fits(void **state)
{
	bh_progress_t *progress = make_progress(128);
	GBytes *bytes;

	(void)state;
	for (uint32_t i = 0; i < progress->n_steps; i++) {
		for (uint32_t k = 0; k < progress->steps[i].n_tasks; k++) {
			g_free(progress->steps[i].tasks[k].checkpoint);
			progress->steps[i].tasks[k].checkpoint =
				g_strnfill(2000, 'c');
		}
	}
	bytes = bh_progress_pack(progress);
	assert_true(g_bytes_get_size(bytes) > ROW_BYTES_MAX);
	g_bytes_unref(bytes);
	bh_progress_drop_checkpoints(progress);
	bytes = bh_progress_pack(progress);
	assert_true(g_bytes_get_size(bytes) <= ROW_BYTES_MAX);
	g_bytes_unref(bytes);
	bh_progress_free(progress);
}

/* The next leader knows from all rows what the last one knew. */
static void test_next_leader_reads_all_segments(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_sched_t *next = new_sched(&o, config);
	bh_progress_t *progress = make_progress(701);
	GPtrArray *rows;

	(void)state;
	bh_sched_add_job(s, make_job(701), progress, MS(1));
	bh_progress_free(progress);
	crash_all(s, 701);
	rows = store_all(s);
	assert_int_equal(rows->len, 6);
	progress = merge(rows);
	bh_sched_add_job(next, make_job(701), progress, MS(1));
	bh_progress_free(progress);
	for (uint32_t i = 0; i < rows->len; i++) {
		GBytes *row;

		progress = bh_sched_progress(next, JOB, i);
		row = bh_progress_pack(progress);
		assert_true(g_bytes_equal(row, rows->pdata[i]));
		g_bytes_unref(row);
		bh_progress_free(progress);
	}
	g_ptr_array_free(rows, TRUE);
	bh_sched_free(next);
	bh_sched_free(s);
	bh_config_free(config);
}

/* An end is acknowledged once the segment of its task is stored, not sooner. */
static void test_acknowledgement_waits_for_each_segment(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_worker_info_t info = {.id = (char *)"w",
				 .boot = 7,
				 .service = (char *)"svc",
				 .state = BH_WORKER_READY};
	bh_ended_t ended[] = {
		{.number = 1,
		 .task = (char *)JOB ".0.0.299",
		 .attempt = 1,
		 .how = BH_END_DONE},
		{.number = 2,
		 .task = (char *)JOB ".0.0.0",
		 .attempt = 1,
		 .how = BH_END_DONE},
	};
	bh_worker_lists_t lists = {.boot = 7, .n_ended = 2, .ended = ended};
	const char *id;
	uint32_t segment;

	(void)state;
	bh_sched_add_job(s, make_job(300), NULL, MS(1));
	bh_sched_report(s, HOST, &info, &lists, true, MS(10));
	assert_true(bh_sched_commit_next(s, &id, &segment));
	assert_int_equal(segment, 1);
	bh_sched_end_commit(s, true);
	assert_int_equal(o.ack, 0);
	assert_true(bh_sched_commit_next(s, &id, &segment));
	assert_int_equal(segment, 0);
	bh_sched_end_commit(s, false);
	assert_int_equal(o.ack, 0);
	assert_true(bh_sched_commit_next(s, &id, &segment));
	assert_false(bh_sched_commit_next(s, &id, &segment));
	bh_sched_end_commit(s, true);
	assert_int_equal(o.ack, 2);
	bh_sched_free(s);
	bh_config_free(config);
}

/* A gang is done as a whole, also if the leader was lost before all of its rows
 * were stored: it was started again, or never. */
static void test_gang_is_done_by_one_row(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	orders_t o = {0};
	bh_sched_t *s = new_sched(&o, config);
	bh_job_t *job = make_job(300);
	uint8_t done = 1;
	bh_step_progress_t steps[] = {
		{.step = 0, .n_done_bytes = 1, .done = &done},
		{.step = 1, .first = 212, .n_done_bytes = 1, .done = &done},
	};
	bh_progress_t progress = {
		.state = BH_JOB_RUNNING, .n_steps = 2, .steps = steps};

	(void)state;
	job->steps[0].is_gang = true;
	job->steps[1].is_gang = true;
	bh_sched_add_job(s, job, &progress, MS(1));
	g_ptr_array_free(store_all(s), TRUE);
	assert_int_equal(bh_sched_state(s, JOB), BH_JOB_COMPLETED);
	bh_sched_free(s);
	bh_config_free(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rows_of_the_widest_job_fit),
		cmocka_unit_test(test_row_without_checkpoints_fits),
		cmocka_unit_test(test_next_leader_reads_all_segments),
		cmocka_unit_test(test_acknowledgement_waits_for_each_segment),
		cmocka_unit_test(test_gang_is_done_by_one_row),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
