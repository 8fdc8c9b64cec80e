/*
 * Decoding of jobs, configurations and announcements: valid, malformed and
 * unexpected input.
 */
#include "platform/decode.h"
#include "tests/test.h"

static bh_job_t *decode_job(const char *text, const char **error)
{
	return bh_decode_job(text, strlen(text), error);
}

static void test_job(void **state)
{
	const char *error;
	bh_job_t *job = decode_job(
		"{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,"
		"\"mem-mb\":256,\"estimate-ms\":900,\"affinity\":\"r1-3\"},"
		"{\"count\":20,\"cpu\":2000,\"after\":[0],"
		"\"checkpointing\":true,\"fills\":true,\"image\":\"i\","
		"\"new-field\":{}}]}",
		&error);

	(void)state;
	assert_non_null(job);
	assert_int_equal(job->n_steps, 2);
	assert_int_equal(job->steps[0].cpu_milli, 500);
	assert_string_equal(job->steps[0].rack, "r1-3");
	assert_int_equal(job->steps[1].after[0], 0);
	assert_true(job->steps[1].is_checkpointing);
	assert_true(job->steps[1].is_filler);
	assert_int_equal(bh_job_critical_path_ms(job), 900);
	bh_job_free(job);
}

/* The time of a late occurrence exceeded 64 bits, so that it was due at once.
 */
static void test_interval_overflows_due_time(void **state)
{
	const char *error = NULL;
	bh_job_t *job = decode_job(
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"first-run-ms\":1,"
		"\"interval-ms\":8000000000000000,\"repeat-count\":5000}",
		&error);

	(void)state;
	assert_null(job);
	assert_non_null(error);
	job = decode_job(
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],\"first-run-ms\":1,"
		"\"interval-ms\":1000000000,\"repeat-count\":5000}",
		&error);
	assert_non_null(job);
	bh_job_free(job);
}

/* The work of a job with the largest amounts exceeded 64 bits, and counted as
 * little. */
static void test_largest_amounts_overflow_work(void **state)
{
	const char *error = NULL;
	bh_job_t *job = decode_job("{\"spec\":\"x\",\"steps\":[{\"count\":"
				   "20000,\"cpu\":1000000000,"
				   "\"estimate-ms\":1000000000}]}",
				   &error);
	uint64_t other;

	(void)state;
	assert_non_null(job);
	bh_job_work_ms(job, &other);
	assert_true(other == 100000000000000);
	bh_job_free(job);
}

/* A slack factor of 1e308 was cast to an integer, which C leaves undefined. */
static void test_slack_factor_out_of_range(void **state)
{
	static const char *const odd[] = {"1e308", "1e999", "-1e308",
					  "99999999999999999999999"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
			"\"h\",\"path-prefix\":\"/\",\"service\":\"s\","
			"\"slack-factor\":%s,\"priority\":%s}]}",
			odd[i], "70000");
		bh_config_t *config = bh_decode_config(text, strlen(text));

		assert_non_null(config);
		assert_true(config->queues[0].slack_factor > 0);
		assert_true(config->queues[0].slack_factor <= 1000);
		assert_true(config->queues[0].priority <= UINT16_MAX);
		bh_config_free(config);
	}
}

static void test_invalid_jobs_return_an_error(void **state)
{
	static const char *const bad[] = {
		"",
		"[",
		"[]",
		"{}",
		"{\"spec\":1,\"steps\":[]}",
		"{\"spec\":\"x\"}",
		"{\"spec\":\"x\",\"steps\":[]}",
		"{\"spec\":\"x\",\"steps\":[1]}",
		"{\"spec\":\"x\",\"steps\":[{}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":-1}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":\"1\"}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1e300}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"after\":[\"a\"]}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":20000},{\"count\":1}]}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],"
		"\"first-run-ms\":1e999,\"repeat-count\":2}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],"
		"\"first-run-ms\":-1,\"repeat-count\":2}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],"
		"\"first-run-ms\":1,\"interval-ms\":\"1000\"}",
		"{\"spec\":\"x\",\"steps\":[{\"count\":1}],"
		"\"first-run-ms\":1,\"interval-ms\":99999999999999999999999}",
	};

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		const char *error = NULL;

		assert_null(decode_job(bad[i], &error));
		assert_non_null(error);
	}
}

static void test_config(void **state)
{
	const char *text =
		"{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.x\","
		"\"path-prefix\":\"/p/\",\"service\":\"s\",\"priority\":2,"
		"\"max-attempts\":4,\"slack-factor\":1.5,"
		"\"target-duration-ms\":300},{\"name\":\"b\",\"host\":\"h.x\","
		"\"path-prefix\":\"/p/q/\",\"service\":\"s\"}],"
		"\"services\":[{\"name\":\"s\",\"admission-check\":true}],"
		"\"limits\":{\"max-body-bytes\":1000}}";
	bh_config_t *config = bh_decode_config(text, strlen(text));

	(void)state;
	assert_non_null(config);
	assert_int_equal(config->version, 7);
	assert_string_equal(bh_config_match(config, "h.x:80", "/p/1")->name,
			    "a");
	assert_string_equal(bh_config_match(config, "H.x", "/p/q/1")->name,
			    "b");
	assert_null(bh_config_match(config, "h.y", "/p/1"));
	assert_null(bh_config_match(config, "h.x", "/q/1"));
	assert_int_equal(bh_config_queue(config, "a")->max_attempts, 4);
	bh_config_free(config);
	assert_null(bh_decode_config("{\"routes\":[]}", 13));
	assert_null(bh_decode_config("nonsense", 8));
}

static bool decode_announcement(const char *text, bh_announcement_t *out)
{
	return bh_decode_announcement("w", text, strlen(text), out);
}

#define WORKER(state)                                                          \
	"{\"service\":\"s\",\"state\":" state ",\"seq-no\":4,\"born\":12,"     \
	"\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0},"             \
	"\"labels\":[\"a\",\"r1-3\",5],\"drain-remaining-ms\":900}"

static void test_announcements(void **state)
{
	bh_announcement_t a;

	(void)state;
	assert_true(decode_announcement(WORKER("\"draining\""), &a));
	assert_int_equal(a.info.state, BH_WORKER_DRAINING);
	assert_int_equal(a.info.n_labels, 2);
	assert_int_equal(a.info.boot, 12);
	assert_int_equal(a.info.leaves_ms, 900);
	bh_worker_info_clear(&a.info);
	assert_false(decode_announcement(WORKER("\"asleep\""), &a));
	assert_false(decode_announcement(WORKER("3"), &a));
	assert_false(decode_announcement("{}", &a));
	assert_false(decode_announcement("\xff\xfe", &a));
	assert_false(
		decode_announcement("{\"service\":\"s\",\"state\":\"ready\","
				    "\"seq-no\":\"4\",\"capacity\":{}}",
				    &a));
}

static void test_task_names(void **state)
{
	bh_task_name_t name;
	char text[BH_TASK_NAME_BYTES];

	(void)state;
	assert_true(bh_task_name_parse("5c0e7a21d94b36f8.0.1.17", &name));
	assert_int_equal(name.index, 17);
	bh_task_name_format(&name, text);
	assert_string_equal(text, "5c0e7a21d94b36f8.0.1.17");
	assert_false(bh_task_name_parse("5c0e7a21d94b36f8.0.1", &name));
	assert_false(bh_task_name_parse("5c0e7a21d94b36f8.0.1.x", &name));
	assert_false(
		bh_task_name_parse("5c0e7a21d94b36f8.0.1.4294967296", &name));
	assert_false(bh_task_name_parse("zc0e7a21d94b36f8.0.1.1", &name));
	assert_false(bh_task_name_parse("short", &name));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job),
		cmocka_unit_test(test_interval_overflows_due_time),
		cmocka_unit_test(test_largest_amounts_overflow_work),
		cmocka_unit_test(test_slack_factor_out_of_range),
		cmocka_unit_test(test_invalid_jobs_return_an_error),
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_announcements),
		cmocka_unit_test(test_task_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
