/*
 * Rows and frames of the job scheduler: round trips, and rejection of malformed
 * bytes.
 */
#include "tests/test.h"
#include "wire/sched_codec.h"

static bh_job_t *make_job(void)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, "00000000000000aa", sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("spec");
	job->terms.service = g_strdup("s");
	job->terms.slack_percent = 150;
	job->n_steps = 2;
	job->steps = g_new0(bh_step_t, 2);
	for (int i = 0; i < 2; i++) {
		job->steps[i].count = 3;
		job->steps[i].cpu_milli = 1500;
		job->steps[i].image = g_strdup("im");
		job->steps[i].after = g_new0(uint32_t, 1);
	}
	job->steps[1].n_after = 1;
	job->steps[1].is_filler = true;
	job->steps[1].is_speculative = true;
	return job;
}

static void test_job_round_trip(void **state)
{
	bh_job_t *job = make_job();
	GBytes *bytes = bh_job_pack(job);
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	bh_job_t *back = bh_job_unpack(data, len);

	(void)state;
	assert_non_null(back);
	assert_string_equal(back->id, job->id);
	assert_string_equal(back->terms.service, "s");
	assert_int_equal(back->steps[1].n_after, 1);
	assert_true(back->steps[1].is_filler);
	assert_true(back->steps[1].is_speculative);
	assert_false(back->steps[1].is_gang);
	assert_null(back->steps[0].rack);
	bh_job_free(back);
	/* Truncated at any byte, it is rejected or still a valid job. */
	for (gsize cut = 0; cut < len; cut++) {
		back = bh_job_unpack(data, cut);
		if (back)
			assert_null(bh_job_check(back));
		bh_job_free(back);
	}
	g_bytes_unref(bytes);
	bh_job_free(job);
}

static void test_progress_round_trip(void **state)
{
	uint32_t failed[] = {1, 4097};
	uint8_t done[] = {0x05};
	bh_task_progress_t task = {.index = 1,
				   .n_failed = 2,
				   .failed = failed,
				   .checkpoint = (char *)"cp",
				   .blame = {.crashes = 2,
					     .inferred = 1,
					     .ids = {7, 9},
					     .suspicion = 0.25,
					     .age = 30 * BH_USEC_PER_MS}};
	bh_step_progress_t step = {.step = 1,
				   .n_done_bytes = 1,
				   .done = done,
				   .n_tasks = 1,
				   .tasks = &task};
	bh_progress_t progress = {
		.state = BH_JOB_RUNNING, .n_steps = 1, .steps = &step};
	GBytes *bytes = bh_progress_pack(&progress);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	bh_progress_t *back = bh_progress_unpack(data, len);

	(void)state;
	assert_non_null(back);
	assert_int_equal(back->state, BH_JOB_RUNNING);
	assert_int_equal(back->steps[0].done[0], 0x05);
	assert_int_equal(back->steps[0].tasks[0].failed[1], 4097);
	assert_string_equal(back->steps[0].tasks[0].checkpoint, "cp");
	assert_int_equal(back->steps[0].tasks[0].blame.crashes, 2);
	assert_int_equal(back->steps[0].tasks[0].blame.inferred, 1);
	assert_true(back->steps[0].tasks[0].blame.suspicion == 0.25);
	assert_int_equal(back->steps[0].tasks[0].blame.age, MS(30));
	assert_int_equal(back->steps[0].tasks[0].blame.ids[1], 9);
	bh_progress_free(back);
	g_bytes_unref(bytes);
	assert_null(bh_progress_unpack("\xff\xff\xff", 3));
}

static void test_report_round_trip(void **state)
{
	bh_worker_info_t info = {.id = (char *)"w",
				 .boot = 7,
				 .state = BH_WORKER_READY,
				 .cpu_milli = 16000,
				 .n_labels = 1,
				 .labels = {(char *)"r1-1"}};
	bh_active_t active = {.task = (char *)"t", .attempt = 2, .gauge = 30};
	bh_ended_t ended = {
		.number = 9, .task = (char *)"u", .how = BH_END_LAPSED};
	bh_worker_lists_t lists = {.boot = 7,
				   .has_more_ended = true,
				   .clock_ms = 1234,
				   .n_active = 1,
				   .active = &active,
				   .n_ended = 1,
				   .ended = &ended};
	GByteArray *out = g_byte_array_new();
	bh_frame_t *frame;
	bh_report_t back;

	(void)state;
	bh_report_append(&info, &lists, 3, out);
	frame = bh__sched__frame__unpack(
		NULL, out->len - BH_SCHED_FRAME_HEADER_BYTES,
		out->data + BH_SCHED_FRAME_HEADER_BYTES);
	assert_non_null(frame);
	bh_report_decode(frame->report, &back);
	assert_string_equal(back.info.id, "w");
	assert_string_equal(back.info.labels[0], "r1-1");
	assert_int_equal(back.lists.clock_ms, 1234);
	assert_true(back.lists.has_more_ended);
	assert_int_equal(back.lists.active[0].gauge, 30);
	assert_int_equal(back.lists.ended[0].how, BH_END_LAPSED);
	assert_int_equal(back.term, 3);
	bh_report_clear(&back);
	bh__sched__frame__free_unpacked(frame, NULL);
	g_byte_array_free(out, TRUE);
}

static void test_crash_round_trip(void **state)
{
	bh_crashed_run_t run = {
		.task = (char *)"t", .age_ms = 12, .is_confirmed = true};
	bh_crash_t crash = {
		.boot = 8, .ago_ms = 250, .n_runs = 1, .runs = &run};
	GByteArray *out = g_byte_array_new();
	bh_frame_t *frame;
	bh_crash_t back;

	(void)state;
	bh_crash_append(&crash, 3, out);
	frame = bh__sched__frame__unpack(
		NULL, out->len - BH_SCHED_FRAME_HEADER_BYTES,
		out->data + BH_SCHED_FRAME_HEADER_BYTES);
	assert_non_null(frame);
	assert_int_equal(frame->crash->term, 3);
	bh_crash_decode(frame->crash, &back);
	assert_int_equal(back.boot, 8);
	assert_int_equal(back.ago_ms, 250);
	assert_int_equal(back.n_runs, 1);
	assert_string_equal(back.runs[0].task, "t");
	assert_int_equal(back.runs[0].age_ms, 12);
	assert_true(back.runs[0].is_confirmed);
	bh_crash_clear(&back);
	bh__sched__frame__free_unpacked(frame, NULL);
	g_byte_array_free(out, TRUE);
}

/* An entry admits by what the leader has sent, and must not read beyond it. */
static void test_forecast_round_trip(void **state)
{
	bh_forecast_t f = {.largest_milli = {5, 6}};
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__Ping ping = BH__SCHED__PING__INIT;
	g_autoptr(GByteArray) out = g_byte_array_new();
	bh_forecast_frame_t message;
	bh_forecast_t back;
	bh_frame_t *got;

	(void)state;
	bh_forecast_add_capacity(&f, BH_WORK_PLAIN, 4000, 1000);
	bh_forecast_add_capacity(&f, BH_WORK_FILLER, 7000, 0);
	*bh_forecast_demand(&f, 2) = (bh_demand_t){2, {1, 2}, {3, 4}, {5, 6}};
	*bh_forecast_demand(&f, 0) = (bh_demand_t){0, {9, 8}, {7, 6}, {5, 4}};
	f.shares.min_milli = 11;
	f.shares.n = 1;
	f.shares.groups[0] = (bh_share_t){12, 13, 14, -1};
	bh_forecast_encode(&f, &message);
	ping.forecast = &message.message;
	frame.body_case = BH__SCHED__FRAME__BODY_PING;
	frame.ping = &ping;
	bh_frame_append(&frame, out);
	got = bh__sched__frame__unpack(NULL,
				       out->len - BH_SCHED_FRAME_HEADER_BYTES,
				       out->data + BH_SCHED_FRAME_HEADER_BYTES);
	assert_non_null(got);
	bh_forecast_decode(got->ping->forecast, &back);
	assert_memory_equal(&back, &f, sizeof(f));
	bh__sched__frame__free_unpacked(got, NULL);

	/* Of another build: more points, fewer kinds, more priorities. */
	uint64_t many[BH_FORECAST_POINTS + 3];
	Bh__Sched__Demand demands[BH_FORECAST_PRIORITIES + 4];
	Bh__Sched__Demand *refs[BH_FORECAST_PRIORITIES + 4];
	Bh__Sched__Forecast odd = BH__SCHED__FORECAST__INIT;

	for (size_t i = 0; i < G_N_ELEMENTS(many); i++)
		many[i] = UINT64_MAX;
	for (uint32_t i = 0; i < G_N_ELEMENTS(demands); i++) {
		bh__sched__demand__init(&demands[i]);
		demands[i].priority = i;
		demands[i].n_work_ms = 1;
		demands[i].work_ms = many;
		refs[i] = &demands[i];
	}
	odd.n_free_plain = G_N_ELEMENTS(many);
	odd.free_plain = many;
	odd.n_demands = G_N_ELEMENTS(demands);
	odd.demands = refs;
	bh_forecast_decode(&odd, &back);
	assert_int_equal(back.n_demands, BH_FORECAST_PRIORITIES);
	assert_int_equal(back.demands[3].work_ms[0], BH_JOB_WORK_MAX_MS);
	assert_int_equal(back.demands[3].work_ms[1], 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_round_trip),
		cmocka_unit_test(test_progress_round_trip),
		cmocka_unit_test(test_report_round_trip),
		cmocka_unit_test(test_crash_round_trip),
		cmocka_unit_test(test_forecast_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
