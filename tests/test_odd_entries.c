/*
 * Documents, rows and frames of another writer: each field of a valid one is
 * replaced by odd values, and its bytes are changed at random. A decoder
 * refuses the result or yields values within their limits.
 */
#include "daemon/settings.h"
#include "platform/address.h"
#include "platform/decode.h"
#include "platform/json.h"
#include "platform/runner.h"
#include "tests/test.h"
#include "wire/frame.h"
#include "wire/record.h"
#include "wire/sched_codec.h"

#include <math.h>

#define SEEDS_DEFAULT	 400
#define DEEP_LEVELS	 20000
#define LONG_TEXT_BYTES	 5000
#define MUTATIONS_MAX	 4
#define VARINT_MAX_BYTES 10

static const char *const odd_values[] = {
	NULL,
	"null",
	"true",
	"0",
	"-1",
	"1.5",
	"70000",
	"4294967297",
	"9223372036854775807",
	"-9223372036854775808",
	"99999999999999999999999",
	"-99999999999999999999999",
	"1e308",
	"-1e308",
	"1e999",
	"NaN",
	"0xff",
	"[]",
	"{}",
	"[[[[[[[[[[[[1]]]]]]]]]]]]",
	"{\"a\":{\"a\":{\"a\":{}}}}",
	"\"\"",
	"\"x\"",
	"\"\\u0000\"",
	"\"127.0.0.1:70000\"",
	"\"\xff\xfe\"",
	"\xff\xff\xff\xff",
	"/*\"*/[",
};

/* A printed document in which the node with the number @target is replaced. */
typedef struct substitution {
	GString *out;
	int target;
	int n_nodes;
	const char *odd;
} substitution_t;

static void print_node(substitution_t *sub, JsonNode *node);

static void print_members(substitution_t *sub, JsonObject *object)
{
	g_autoptr(GList) names = json_object_get_members(object);
	bool is_first = true;

	for (GList *l = names; l; l = l->next) {
		/* A missing value leaves out its name. */
		if (sub->n_nodes == sub->target && !sub->odd) {
			sub->n_nodes++;
			continue;
		}
		g_string_append_printf(sub->out,
				       "%s\"%s\":", is_first ? "" : ",",
				       (char *)l->data);
		is_first = false;
		print_node(sub, json_object_get_member(object, l->data));
	}
}

static void print_elements(substitution_t *sub, JsonArray *array)
{
	for (guint i = 0; i < json_array_get_length(array); i++) {
		if (i > 0)
			g_string_append_c(sub->out, ',');
		print_node(sub, json_array_get_element(array, i));
	}
}

static void print_node(substitution_t *sub, JsonNode *node)
{
	g_autofree char *text = NULL;

	if (sub->n_nodes++ == sub->target) {
		g_string_append(sub->out, sub->odd ? sub->odd : "");
		return;
	}
	if (JSON_NODE_HOLDS_OBJECT(node)) {
		g_string_append_c(sub->out, '{');
		print_members(sub, json_node_get_object(node));
		g_string_append_c(sub->out, '}');
	} else if (JSON_NODE_HOLDS_ARRAY(node)) {
		g_string_append_c(sub->out, '[');
		print_elements(sub, json_node_get_array(node));
		g_string_append_c(sub->out, ']');
	} else {
		text = json_to_string(node, FALSE);
		g_string_append(sub->out, text);
	}
}

/* Return: false when the document has no such node. */
static bool substitute(JsonNode *root, int target, const char *odd,
		       GString *out)
{
	substitution_t sub = {.out = out, .target = target, .odd = odd};

	g_string_truncate(out, 0);
	print_node(&sub, root);
	return target < sub.n_nodes;
}

static uint32_t n_seeds(void)
{
	const char *text = g_getenv("BH_SEEDS");

	return text ? (uint32_t)atoi(text) : SEEDS_DEFAULT;
}

static void put_varint_max(GRand *rand, GByteArray *bytes)
{
	guint at = (guint)g_rand_int_range(rand, 0, (gint32)bytes->len);

	for (guint i = 0; i < VARINT_MAX_BYTES && at + i < bytes->len; i++)
		bytes->data[at + i] = i + 1 < VARINT_MAX_BYTES ? 0xff : 1;
}

static void mutate(GRand *rand, GByteArray *bytes)
{
	int n = g_rand_int_range(rand, 1, MUTATIONS_MAX + 1);

	for (int i = 0; i < n && bytes->len > 1; i++) {
		guint at = (guint)g_rand_int_range(rand, 0, (gint32)bytes->len);

		switch (g_rand_int_range(rand, 0, 6)) {
		case 0:
			bytes->data[at] = (uint8_t)g_rand_int(rand);
			break;
		case 1:
			bytes->data[at] ^=
				(uint8_t)(1 << (g_rand_int(rand) % 8));
			break;
		case 2:
			g_byte_array_remove_index(bytes, at);
			break;
		case 3:
			g_byte_array_set_size(bytes, at + 1);
			break;
		case 4:
			bytes->data[at] = 0xff;
			break;
		default:
			put_varint_max(rand, bytes);
			break;
		}
	}
}

static void check_job(const bh_job_t *job)
{
	uint64_t other;
	uint64_t path = bh_job_critical_path_ms(job);

	assert_null(bh_job_check(job));
	assert_true(job->n_steps <= BH_JOB_TASKS_MAX);
	assert_true(bh_job_occurrences(job) <= BH_JOB_TASKS_MAX);
	assert_true(job->first_due_ms +
			    bh_job_occurrences(job) * job->interval_ms <=
		    BH_JOB_TIME_MAX_MS);
	assert_true(bh_job_objective_ms(job, path) <= INT64_MAX / 300);
	assert_true(bh_job_work_ms(job, &other) <= INT64_MAX);
	assert_true(other <= INT64_MAX);
}

static void decode_job(const char *text, size_t len)
{
	const char *error = NULL;
	bh_job_t *job = bh_decode_job(text, len, &error);

	assert_true(!job == !!error);
	if (job) {
		assert_true(strlen(job->spec) <= 4000);
		check_job(job);
	}
	bh_job_free(job);
}

static void decode_config(const char *text, size_t len)
{
	bh_config_t *config = bh_decode_config(text, len);

	if (!config)
		return;
	assert_true(config->version > 0 && config->version < 9007199254740992);
	for (uint32_t i = 0; i < config->n_queues; i++) {
		const bh_queue_t *queue = &config->queues[i];

		assert_non_null(queue->name);
		assert_non_null(queue->prefix);
		assert_true(queue->priority <= BH_QUEUE_PRIORITY_MAX);
		assert_true(queue->slack_factor > 0);
		assert_true(queue->slack_factor <= BH_SLACK_FACTOR_MAX);
		assert_true(queue->target_ms <= BH_JOB_AMOUNT_MAX);
		assert_true(queue->advice_valid_ms <= BH_JOB_AMOUNT_MAX);
	}
	bh_config_match(config, "jobs.example", "/batch/x");
	bh_config_free(config);
}

static void decode_announcement(const char *text, size_t len)
{
	bh_announcement_t a;

	if (!bh_decode_announcement("w", text, len, &a))
		return;
	assert_true(a.info.state == BH_WORKER_READY ||
		    a.info.state == BH_WORKER_DRAINING);
	assert_true(a.info.cpu_milli <= BH_JOB_AMOUNT_MAX);
	assert_true(a.info.memory_mb <= BH_JOB_AMOUNT_MAX);
	assert_true(a.info.accelerators <= BH_JOB_AMOUNT_MAX);
	assert_true(a.info.leaves_ms <= BH_JOB_AMOUNT_MAX);
	assert_true(a.info.cold_ms <= BH_JOB_AMOUNT_MAX);
	assert_true(a.info.n_labels <= BH_WORKER_LABELS_MAX);
	assert_true(a.info.boot <= BH_JOB_TIME_MAX_MS);
	assert_true(a.number <= BH_JOB_TIME_MAX_MS);
	bh_worker_info_clear(&a.info);
}

static void decode_lists(const char *text, size_t len)
{
	bh_worker_lists_t lists;

	bh_runner_decode_lists(text, len, &lists);
	assert_true(lists.clock_ms <= BH_JOB_TIME_MAX_MS);
	for (uint32_t i = 0; i < lists.n_active; i++) {
		assert_non_null(lists.active[i].task);
		assert_true(lists.active[i].attempt >= 1);
		assert_true(lists.active[i].percent <= 100);
		assert_true(lists.active[i].gauge <= BH_JOB_AMOUNT_MAX);
	}
	for (uint32_t i = 0; i < lists.n_ended; i++) {
		assert_non_null(lists.ended[i].task);
		assert_true(lists.ended[i].attempt >= 1);
		assert_true(lists.ended[i].number >= 1);
		assert_true(lists.ended[i].how <= BH_END_ALONE);
	}
	bh_worker_lists_clear(&lists);
}

static void decode_settings(const char *text, size_t len)
{
	g_autoptr(GError) err = NULL;
	bh_settings_t *s = bh_settings_parse(text, (gssize)len, &err);

	assert_true(!s == !!err);
	if (s) {
		assert_true(bh_address_is_valid(s->listen_http));
		assert_true(bh_address_is_valid(s->listen_frames));
		assert_true(!*s->store || bh_address_is_valid(s->store));
		assert_true(s->lease_ms >= 500 && s->lease_ms <= 3600000);
	}
	bh_settings_free(s);
}

static void decode_records(const char *text, size_t len)
{
	for (int kind = 0; kind < BH_RECORD_KINDS; kind++) {
		bh_record_t *r = bh_record_parse((bh_record_kind_t)kind, text,
						 (gssize)len, NULL);

		if (r && kind != BH_RECORD_TENANT) {
			assert_true(r->need.cpu_milli <= 1000000);
			assert_true(r->tasks >= 0 && r->tasks <= 10000);
		}
		bh_record_free(r);
	}
}

/**
 * struct document - a valid document and what reads it
 */
typedef struct document {
	const char *text;
	void (*decode)(const char *text, size_t len);
} document_t;

static const document_t documents[] = {
	{"{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem-mb\":256,"
	 "\"gpu\":1,\"estimate-ms\":900,\"affinity\":\"r1\",\"image\":\"i\","
	 "\"requirements\":\"l\",\"max-per-server\":2,\"target-ms\":50,"
	 "\"max-unavailable\":1},{\"count\":2,\"after\":[0],\"fills\":true,"
	 "\"gang\":true,\"long-running\":false}],\"first-run-ms\":1000,"
	 "\"interval-ms\":5000,\"repeat-count\":3}",
	 decode_job},
	{"{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"jobs.example\","
	 "\"path-prefix\":\"/batch/\",\"service\":\"s\",\"priority\":1,"
	 "\"max-attempts\":3,\"slack-factor\":2.5,\"target-duration-ms\":1000,"
	 "\"advice\":{\"decision-ms\":5,\"per-worker-ms\":1,\"valid-ms\":900}}]"
	 ","
	 "\"services\":[{\"name\":\"s\",\"admission-check\":true,"
	 "\"standby\":false}],\"limits\":{\"max-body-bytes\":65536}}",
	 decode_config},
	{"{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	 "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,"
	 "\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"seq-no\":4,\"born\":77,"
	 "\"cold-remaining-ms\":10,\"drain-remaining-ms\":20}",
	 decode_announcement},
	{"{\"clock-ms\":482113,\"born\":7,\"active\":[[\"t\",2,\"c\",41,9],"
	 "[\"u\",1,\"\",0]],\"finished\":[[58,\"v\",1,\"done\",\"\"],"
	 "[59,\"w\",3,\"failed\",\"c\"]]}",
	 decode_lists},
	{"{\"role\":\"entry\",\"name\":\"e\",\"zone\":\"z\","
	 "\"listen_http\":\"127.0.0.1:1\",\"listen_frames\":\"127.0.0.1:2\","
	 "\"store\":\"127.0.0.1:3\",\"lease_ms\":3000,\"stop_within_s\":5}",
	 decode_settings},
	{"{\"schema_version\":2,\"tenant\":\"t\",\"tasks\":3,\"class\":"
	 "\"high\","
	 "\"need\":{\"cpu_milli\":500,\"mem_mb\":100,\"accel\":0},"
	 "\"run_ms\":10,\"deadline_unix_ms\":5,\"idempotent\":true}",
	 decode_records},
	{"{\"schema_version\":1,\"rate\":5,\"burst\":10,\"max_in_flight\":3,"
	 "\"quota_cpu_milli\":1000}",
	 decode_records},
};

static void decode_text(const document_t *d, const GString *text)
{
	/* A copy of the exact length lets the sanitizer see reads beyond. */
	char *copy = g_memdup2(text->str, text->len);

	d->decode(copy ? copy : "", text->len);
	g_free(copy);
}

/* A field of another writer's document ended the process, or was cut to a value
 * that passed for valid. */
static void test_each_field_odd(void **state)
{
	g_autofree char *deep = g_strnfill(DEEP_LEVELS, '[');
	g_autofree char *long_bytes = g_strnfill(LONG_TEXT_BYTES, 'a');
	g_autofree char *long_text = g_strdup_printf("\"%s\"", long_bytes);
	g_autofree char *long_number = g_strnfill(LONG_TEXT_BYTES, '9');
	GString *text = g_string_new(NULL);

	(void)state;
	for (size_t d = 0; d < G_N_ELEMENTS(documents); d++) {
		JsonNode *root = bh_json_parse(documents[d].text,
					       strlen(documents[d].text));
		const char *more[] = {deep, long_text, long_number};

		assert_non_null(root);
		decode_text(&documents[d],
			    g_string_assign(text, documents[d].text));
		for (int at = 0; substitute(root, at, "null", text); at++) {
			for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
				substitute(root, at, odd_values[i], text);
				decode_text(&documents[d], text);
			}
			for (size_t i = 0; i < G_N_ELEMENTS(more); i++) {
				substitute(root, at, more[i], text);
				decode_text(&documents[d], text);
			}
		}
		bh_json_free(root);
	}
	g_string_free(text, TRUE);
}

static void test_documents_with_changed_bytes(void **state)
{
	(void)state;
	for (uint32_t seed = 0; seed < n_seeds(); seed++) {
		GRand *rand = g_rand_new_with_seed(seed);

		for (size_t d = 0; d < G_N_ELEMENTS(documents); d++) {
			GByteArray *bytes = g_byte_array_new();

			g_byte_array_append(bytes,
					    (const uint8_t *)documents[d].text,
					    (guint)strlen(documents[d].text));
			mutate(rand, bytes);
			documents[d].decode((char *)bytes->data, bytes->len);
			g_byte_array_free(bytes, TRUE);
		}
		g_rand_free(rand);
	}
}

static void op_start(void *ctx, const char *host, const bh_start_t *start)
{
	(void)ctx;
	(void)host;
	(void)start;
}

static void op_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
}

static void op_pace(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt, uint32_t percent)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
	assert_true(percent <= 100);
}

static void op_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)expires_ms;
	(void)ack;
}

static void op_advise(void *ctx, const bh_advice_request_t *request)
{
	(void)ctx;
	(void)request;
}

static void op_event(void *ctx, const char *what, const char *job,
		     const char *detail)
{
	(void)ctx;
	(void)what;
	(void)job;
	(void)detail;
}

static const bh_sched_ops_t ops = {
	.start = op_start,
	.stop = op_stop,
	.pace = op_pace,
	.grant = op_grant,
	.advise = op_advise,
	.event = op_event,
};

#define NOW	    ((bh_usec_t)1000 * BH_USEC_PER_SEC)
#define UNIX_NOW_MS 1700000000000u

static bh_job_t *make_job(void)
{
	static const char text[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,"
		"\"mem-mb\":256,\"estimate-ms\":900,\"image\":\"i\"},{"
		"\"count\":2,"
		"\"after\":[0],\"fills\":true,\"image\":\"j\"}],"
		"\"first-run-ms\":1000,\"interval-ms\":5000,"
		"\"repeat-count\":3}";
	const char *error;
	bh_job_t *job = bh_decode_job(text, strlen(text), &error);

	g_strlcpy(job->id, "00000000000000aa", sizeof(job->id));
	job->queue = g_strdup("q");
	job->accepted_ms = UNIX_NOW_MS;
	job->terms.service = g_strdup("s");
	job->terms.slack_percent = 200;
	return job;
}

static GBytes *make_progress(void)
{
	uint8_t done = 5;
	uint32_t failed[] = {1, 2};
	bh_task_progress_t task = {
		.index = 1,
		.n_failed = 2,
		.failed = failed,
		.checkpoint = (char *)"c",
		.blame = {.crashes = 2, .suspicion = 0.5, .age = NOW},
	};
	bh_step_progress_t steps[] = {
		{.step = 0,
		 .n_done_bytes = 1,
		 .done = &done,
		 .n_tasks = 1,
		 .tasks = &task},
		{.occurrence = 1, .step = 1, .n_done_bytes = 1, .done = &done},
	};
	bh_progress_t progress = {
		.state = BH_JOB_RUNNING, .n_steps = 2, .steps = steps};

	return bh_progress_pack(&progress);
}

static bh_sched_t *sched_open(void)
{
	bh_sched_bounds_t bounds = {.term = 3,
				    .lease_ms = 3000,
				    .restore_ms = 100,
				    .impact_ms = 100,
				    .status_ms = 60000};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, NULL, NOW, UNIX_NOW_MS);

	bh_sched_add_host(s, "127.0.0.1:9", false, NOW);
	bh_sched_host_linked(s, "127.0.0.1:9", true, NOW);
	return s;
}

static void sched_close(bh_sched_t *s)
{
	const char *id;
	bh_backlog_t loads[4];

	for (int i = 1; i <= 3; i++)
		bh_sched_run(s, NOW + i * 100 * BH_USEC_PER_MS,
			     UNIX_NOW_MS + (uint64_t)i * 100);
	bh_sched_load(s, loads, G_N_ELEMENTS(loads), NOW);
	bh_sched_expired(s, UNIX_NOW_MS, &id, 1);
	bh_sched_free(s);
}

static void read_job_row(const uint8_t *data, size_t len)
{
	bh_job_t *job = bh_job_unpack(data, len);
	bh_sched_t *s;

	if (!job)
		return;
	check_job(job);
	s = sched_open();
	bh_sched_add_job(s, job, NULL, NOW);
	sched_close(s);
}

static void read_progress_row(const uint8_t *data, size_t len)
{
	bh_progress_t *progress = bh_progress_unpack(data, len);
	bh_sched_t *s;

	if (!progress)
		return;
	assert_true(progress->state <= BH_JOB_CANCELLED);
	assert_true(progress->ended_ms <= BH_JOB_TIME_MAX_MS);
	for (uint32_t i = 0; i < progress->n_steps; i++) {
		for (uint32_t k = 0; k < progress->steps[i].n_tasks; k++)
			assert_true(
				progress->steps[i].tasks[k].blame.suspicion <=
				1);
	}
	s = sched_open();
	bh_sched_add_job(s, make_job(), progress, NOW);
	bh_progress_free(progress);
	sched_close(s);
}

static void check_pair(void *ctx, const char *filler, const char *lasting,
		       double harm, double doubt)
{
	(void)ctx;
	(void)filler;
	(void)lasting;
	assert_true(harm >= 0 && harm < 1e6);
	assert_true(doubt >= 0 && doubt < 1e6);
}

static void read_learned_row(const uint8_t *data, size_t len)
{
	bh_sched_t *s = sched_open();

	bh_learned_unpack(data, len, s);
	bh_sched_each_pair(s, check_pair, NULL);
	sched_close(s);
}

static void read_leader_row(const uint8_t *data, size_t len)
{
	bh_leader_row_t row;

	if (bh_leader_row_unpack(data, len, &row)) {
		assert_non_null(row.address);
		bh_address_is_valid(row.address);
	}
	bh_leader_row_clear(&row);
}

static void read_report(bh_sched_t *s, const Bh__Sched__Report *from)
{
	bh_report_t report;

	bh_report_decode(from, &report);
	assert_true(report.info.state <= BH_WORKER_DOWN);
	assert_true(report.info.n_labels <= BH_WORKER_LABELS_MAX);
	bh_sched_report(s, "127.0.0.1:9", &report.info,
			report.has_lists ? &report.lists : NULL, true, NOW);
	bh_report_clear(&report);
}

static void read_frame(const uint8_t *data, size_t len)
{
	bh_frame_t *frame;
	bh_sched_t *s;
	bh_crash_t crash;

	if (len < BH_SCHED_FRAME_HEADER_BYTES)
		return;
	frame = bh__sched__frame__unpack(NULL,
					 len - BH_SCHED_FRAME_HEADER_BYTES,
					 data + BH_SCHED_FRAME_HEADER_BYTES);
	if (!frame)
		return;
	s = sched_open();
	bh_sched_add_job(s, make_job(), NULL, NOW);
	if (frame->body_case == BH__SCHED__FRAME__BODY_REPORT)
		read_report(s, frame->report);
	if (frame->body_case == BH__SCHED__FRAME__BODY_CRASH) {
		bh_crash_decode(frame->crash, &crash);
		bh_sched_crash(s, "127.0.0.1:9", &crash, NOW);
		bh_crash_clear(&crash);
	}
	bh__sched__frame__free_unpacked(frame, NULL);
	sched_close(s);
}

static GBytes *take_bytes(GByteArray *array)
{
	return g_byte_array_free_to_bytes(array);
}

static GBytes *make_report(void)
{
	bh_active_t active = {(char *)"00000000000000aa.0.0.1", 4097,
			      (char *)"c", 40, 900};
	bh_ended_t ended = {3, (char *)"00000000000000aa.0.0.2", 4097,
			    BH_END_DONE, (char *)""};
	bh_worker_lists_t lists = {.clock_ms = 5000,
				   .boot = 7,
				   .n_active = 1,
				   .active = &active,
				   .n_ended = 1,
				   .ended = &ended};
	bh_late_start_t late[] = {
		{(char *)"00000000000000aa.0.0.0", 4097, 12000},
		{(char *)"00000000000000bb.0.0.0", 4097, 5000},
	};
	bh_worker_info_t info = {
		.id = (char *)"w",
		.boot = 7,
		.service = (char *)"s",
		.zone = (char *)"z",
		.state = BH_WORKER_READY,
		.cpu_milli = 16000,
		.memory_mb = 32768,
		.lease_left_ms = 6000,
		.n_labels = 1,
		.labels = {(char *)"l"},
		.late_starts = {.n = G_N_ELEMENTS(late), .entries = late}};
	GByteArray *out = g_byte_array_new();

	bh_report_append(&info, &lists, 3, out);
	return take_bytes(out);
}

static GBytes *make_crash(void)
{
	bh_crashed_run_t run = {(char *)"00000000000000aa.0.0.1", 500, true};
	bh_crash_t crash = {
		.boot = 7, .ago_ms = 100, .n_runs = 1, .runs = &run};
	GByteArray *out = g_byte_array_new();

	bh_crash_append(&crash, 3, out);
	return take_bytes(out);
}

static GBytes *make_learned(void)
{
	bh_sched_t *s = sched_open();
	GBytes *bytes;

	bh_sched_set_pair(s, "j", "i", 0.5, 0.1);
	bytes = bh_learned_pack(s, 1000);
	sched_close(s);
	return bytes;
}

static GBytes *make_leader(void)
{
	bh_leader_row_t row = {7, (char *)"127.0.0.1:9", (char *)"e"};

	return bh_leader_row_pack(&row);
}

static GBytes *make_job_row(void)
{
	bh_job_t *job = make_job();
	GBytes *bytes = bh_job_pack(job);

	bh_job_free(job);
	return bytes;
}

static GBytes *pack(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(len);

	protobuf_c_message_pack(message, data);
	return g_bytes_new_take(data, len);
}

static void read_and_free(GBytes *bytes,
			  void (*read)(const uint8_t *data, size_t len))
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);

	read(data, len);
	g_bytes_unref(bytes);
}

/* Estimates that are not numbers were kept, and spoiled every placement that
 * used them. */
static void test_learned_row_that_is_not_a_number(void **state)
{
	static const float odd[] = {NAN, INFINITY, -INFINITY, 1e38f, -1e38f};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		Bh__Sched__Learned m = BH__SCHED__LEARNED__INIT;
		Bh__Sched__Pair pair = BH__SCHED__PAIR__INIT;
		Bh__Sched__Pair *pairs[] = {&pair};

		pair.filler = (char *)"j";
		pair.lasting = (char *)"i";
		pair.harm = odd[i];
		pair.doubt = odd[i];
		m.n_pairs = 1;
		m.pairs = pairs;
		read_and_free(pack(&m.base), read_learned_row);
	}
}

/* A progress row that lists a step and a task twice leaked, and counted the
 * step as done twice; its times and suspicion were out of range. */
static void test_progress_row_out_of_range(void **state)
{
	Bh__Sched__Progress m = BH__SCHED__PROGRESS__INIT;
	Bh__Sched__StepNote step = BH__SCHED__STEP_NOTE__INIT;
	Bh__Sched__TaskNote task = BH__SCHED__TASK_NOTE__INIT;
	Bh__Sched__StepNote *steps[] = {&step, &step};
	Bh__Sched__TaskNote *tasks[] = {&task, &task};
	uint32_t failed[] = {1, UINT32_MAX};
	uint64_t ids[] = {1, 2, 3, 4, 5, 6, 7, 8, 9};
	uint8_t done[] = {0xfd, 0xff, 0xff};

	(void)state;
	task.index = 1;
	task.checkpoint = (char *)"c";
	task.n_failed = G_N_ELEMENTS(failed);
	task.failed = failed;
	task.crashes = UINT32_MAX;
	task.crashes_inferred = UINT32_MAX;
	task.suspicion_permille = UINT32_MAX;
	task.crash_age_ms = UINT32_MAX;
	task.n_crash_ids = G_N_ELEMENTS(ids);
	task.crash_ids = ids;
	step.done.data = done;
	step.done.len = sizeof(done);
	step.n_tasks = 2;
	step.tasks = tasks;
	m.n_steps = 2;
	m.steps = steps;
	for (int state_at = 0; state_at <= BH_JOB_CANCELLED + 1; state_at++) {
		m.state = (uint32_t)state_at;
		m.ended_ms = UINT64_MAX;
		read_and_free(pack(&m.base), read_progress_row);
	}
	done[0] = 0xff;
	read_and_free(pack(&m.base), read_progress_row);
}

/* Another writer's row, or a frame with values out of range, ended the process
 * that read it or passed values that overflow later. */
static void test_rows_and_frames_with_changed_bytes(void **state)
{
	static const struct {
		GBytes *(*make)(void);
		void (*read)(const uint8_t *data, size_t len);
	} kinds[] = {
		{make_job_row, read_job_row},
		{make_progress, read_progress_row},
		{make_learned, read_learned_row},
		{make_leader, read_leader_row},
		{make_report, read_frame},
		{make_crash, read_frame},
	};

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
		GBytes *valid = kinds[k].make();
		gsize len;
		const uint8_t *data = g_bytes_get_data(valid, &len);

		kinds[k].read(data, len);
		for (uint32_t seed = 0; seed < n_seeds(); seed++) {
			GRand *rand = g_rand_new_with_seed(seed);
			GByteArray *bytes = g_byte_array_new();

			g_byte_array_append(bytes, data, (guint)len);
			mutate(rand, bytes);
			kinds[k].read(bytes->data, bytes->len);
			g_byte_array_free(bytes, TRUE);
			g_rand_free(rand);
		}
		g_bytes_unref(valid);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_field_odd),
		cmocka_unit_test(test_documents_with_changed_bytes),
		cmocka_unit_test(test_learned_row_that_is_not_a_number),
		cmocka_unit_test(test_progress_row_out_of_range),
		cmocka_unit_test(test_rows_and_frames_with_changed_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
