/*
 * Frames and records: round trips, and rejection of malformed input.
 */
#include "tests/test.h"
#include "wire/frame.h"
#include "wire/record.h"

#include <stdlib.h>

static void fill_sample(bh_msg_t *msg)
{
	msg->type = BH_MSG_REPORT;
	msg->incarnation = UINT64_MAX - 1;
	msg->entry = 7;
	msg->generation = 8;
	msg->seq = 9;
	msg->floor = 3;
	msg->name = g_strdup("agent");
	msg->service = g_strdup("roster");
	msg->cls = BH_CLASS_LOW;
	msg->budget_us = 12345;
	msg->idempotent = true;
	msg->verdict = BH_MAYBE_RUN;
	msg->reason = BH_REASON_AGENT_LOST;
	msg->body = g_bytes_new("body\0more", 9);
	msg->checksum = bh_body_checksum(msg->body);
	msg->load = (bh_load_t){8, 7, 6, 5, 4, true};
	msg->capacity = (bh_resources_t){16000, 60000, 2};
	msg->n_tasks = 1;
	msg->tasks = g_new0(bh_task_info_t, 1);
	msg->tasks[0].id = g_strdup("job/1");
	msg->tasks[0].epoch = 3;
	msg->tasks[0].state = BH_TASK_FROZEN;
	msg->n_orders = 1;
	msg->orders = g_new0(bh_order_t, 1);
	msg->orders[0].id = g_strdup("job/2");
	msg->orders[0].kind = BH_ORDER_THROTTLE;
	msg->orders[0].permille = 250;
	msg->entries = g_strsplit("10.0.0.1:1,10.0.0.2:1", ",", -1);
	msg->entries_hash = 77;
	msg->n_endpoints = 1;
	msg->endpoints = g_new0(bh_endpoint_info_t, 1);
	msg->endpoints[0].service = g_strdup("roster");
	msg->endpoints[0].load.slots = 8;
}

static GByteArray *pack_sample(void)
{
	GByteArray *bytes = g_byte_array_new();
	bh_msg_t msg = {0};

	fill_sample(&msg);
	bh_frame_pack(&msg, bytes);
	bh_msg_clear(&msg);
	return bytes;
}

static void test_frame_round_trip(void **state)
{
	g_autoptr(GByteArray) bytes = pack_sample();
	g_autoptr(GByteArray) again = g_byte_array_new();
	bh_msg_t msg;

	(void)state;
	assert_int_equal(bh_frame_unpack(bytes->data, bytes->len, &msg, NULL),
			 bytes->len);
	assert_string_equal(msg.tasks[0].id, "job/1");
	assert_int_equal(msg.orders[0].permille, 250);
	assert_int_equal(msg.load.yours, 4);
	assert_string_equal(msg.entries[1], "10.0.0.2:1");
	assert_int_equal(msg.checksum, bh_body_checksum(msg.body));
	bh_frame_pack(&msg, again);
	assert_int_equal(again->len, bytes->len);
	assert_memory_equal(again->data, bytes->data, bytes->len);
	bh_msg_clear(&msg);
}

static void test_truncated_frame_waits_for_more(void **state)
{
	g_autoptr(GByteArray) bytes = pack_sample();
	bh_msg_t msg;

	(void)state;
	for (guint len = 0; len < bytes->len; len++)
		assert_int_equal(bh_frame_unpack(bytes->data, len, &msg, NULL),
				 0);
}

static void test_every_flipped_bit_is_detected(void **state)
{
	g_autoptr(GByteArray) bytes = pack_sample();

	(void)state;
	for (guint i = 4 * 8; i < bytes->len * 8; i++) {
		bh_msg_t msg;

		bytes->data[i / 8] ^= (uint8_t)(1u << i % 8);
		assert_int_equal(
			bh_frame_unpack(bytes->data, bytes->len, &msg, NULL),
			-1);
		bytes->data[i / 8] ^= (uint8_t)(1u << i % 8);
	}
}

static void test_oversize_frame_is_rejected(void **state)
{
	uint8_t header[8] = {0xff, 0xff, 0xff, 0xff};
	g_autoptr(GError) err = NULL;
	bh_msg_t msg;

	(void)state;
	assert_int_equal(bh_frame_unpack(header, sizeof(header), &msg, &err),
			 -1);
	assert_true(g_error_matches(err, BH_FRAME_ERROR, BH_FRAME_ERROR_SIZE));
}

static bh_record_t *parse(bh_record_kind_t kind, const char *text,
			  const char *message)
{
	g_autoptr(GError) err = NULL;
	bh_record_t *record = bh_record_parse(kind, text, -1, &err);

	if (message) {
		assert_null(record);
		assert_string_equal(err->message, message);
	} else {
		assert_non_null(record);
	}
	return record;
}

static void test_both_schema_versions_are_accepted(void **state)
{
	bh_record_t *one =
		parse(BH_RECORD_JOB,
		      "{\"schema_version\":1,\"tenant\":\"t\",\"tasks\":3,"
		      "\"cpu_milli\":500,\"mem_mb\":100,\"run_ms\":10}",
		      NULL);
	bh_record_t *two = parse(
		BH_RECORD_JOB,
		"{\"schema_version\":2,\"tenant\":\"t\",\"tasks\":3,"
		"\"need\":{\"cpu_milli\":500,\"mem_mb\":100},\"run_ms\":10}",
		NULL);

	(void)state;
	assert_int_equal(one->need.cpu_milli, 500);
	assert_memory_equal(&one->need, &two->need, sizeof(one->need));
	bh_record_free(one);
	bh_record_free(two);
}

static void test_unknown_fields_survive_a_rewrite(void **state)
{
	bh_record_t *r = parse(BH_RECORD_TENANT,
			       "{\"schema_version\":1,\"rate\":5,"
			       "\"colour\":{\"a\":[1,2]}}",
			       NULL);
	g_autofree char *text = NULL;

	(void)state;
	bh_record_set_text(r, "note", "x");
	text = bh_record_text(r);
	assert_non_null(strstr(text, "\"colour\":{\"a\":[1,2]}"));
	bh_record_free(r);
}

static void test_invalid_record_errors(void **state)
{
	(void)state;
	parse(BH_RECORD_TENANT, "[]", "the record is not a JSON object");
	parse(BH_RECORD_TENANT, "{\"schema_version\":3}",
	      "schema_version: 3 is not supported by this build; "
	      "expected 1 to 2");
	parse(BH_RECORD_TENANT, "{}",
	      "schema_version: required, an integer, 1 to 2");
	parse(BH_RECORD_TENANT, "{\"schema_version\":1,\"rate\":\"5\"}",
	      "rate: \"5\" is not allowed; expected a number, 0.1 to 1000000");
	parse(BH_RECORD_JOB,
	      "{\"schema_version\":2,\"tenant\":\"t\","
	      "\"tasks\":1,\"run_ms\":10}",
	      "need.cpu_milli: required but missing");
	parse(BH_RECORD_JOB, "{\"schema_version\":1,\"tenant\":\"A B\"}",
	      "tenant: \"A B\" is not allowed; expected 1 to 63 of a-z, 0-9, "
	      "'-', '_' and '.'");
	parse(BH_RECORD_JOB,
	      "{\"schema_version\":1,\"tenant\":\"t\",\"tasks\":0}",
	      "tasks: 0 is not allowed; expected an integer, 1 to 10000");
}

/* Inputs that a parser once failed on, and seeds of the fuzz targets. None may
 * crash a parser or trigger a sanitizer. */
static void test_corpus(void **state)
{
	const char *root = SOURCE_DIR "/tests/corpus";
	g_autoptr(GDir) dir = g_dir_open(root, 0, NULL);
	const char *name;
	int n = 0;

	(void)state;
	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path = g_build_filename(root, name, NULL);
		g_autofree char *data = NULL;
		bh_msg_t msg;
		gsize len;

		assert_true(g_file_get_contents(path, &data, &len, NULL));
		bh_frame_unpack((uint8_t *)data, len, &msg, NULL);
		bh_msg_clear(&msg);
		for (int kind = 0; kind < BH_RECORD_KINDS; kind++)
			bh_record_free(bh_record_parse((bh_record_kind_t)kind,
						       data, (gssize)len,
						       NULL));
		n++;
	}
	assert_true(n > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frame_round_trip),
		cmocka_unit_test(test_truncated_frame_waits_for_more),
		cmocka_unit_test(test_every_flipped_bit_is_detected),
		cmocka_unit_test(test_oversize_frame_is_rejected),
		cmocka_unit_test(test_both_schema_versions_are_accepted),
		cmocka_unit_test(test_unknown_fields_survive_a_rewrite),
		cmocka_unit_test(test_invalid_record_errors),
		cmocka_unit_test(test_corpus),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
