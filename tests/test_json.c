/*
 * Parsing of untrusted JSON: documents nested too deeply, in all parsers that
 * take documents from other writers.
 */
#include "daemon/settings.h"
#include "platform/decode.h"
#include "platform/json.h"
#include "tests/test.h"
#include "wire/record.h"

#include <math.h>

/* Enough to overflow the stack of a recursive parser. */
#define DEEP_LEVELS 100000

/* Return: @levels times @open, then @close as often. */
static char *nest(const char *open, const char *close, size_t levels)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < levels; i++)
		g_string_append(text, open);
	if (*close == '}')
		g_string_append(text, "1");
	for (size_t i = 0; i < levels; i++)
		g_string_append(text, close);
	return g_string_free(text, FALSE);
}

static void assert_all_refuse(const char *text)
{
	size_t len = strlen(text);
	const char *error = NULL;
	bh_announcement_t announcement;

	assert_null(bh_json_parse(text, len));
	assert_null(bh_decode_job(text, len, &error));
	assert_non_null(error);
	assert_null(bh_decode_config(text, len));
	assert_false(bh_decode_announcement("w", text, len, &announcement));
	assert_null(bh_settings_parse(text, (gssize)len, NULL));
	for (int kind = 0; kind < BH_RECORD_KINDS; kind++)
		assert_null(bh_record_parse((bh_record_kind_t)kind, text,
					    (gssize)len, NULL));
}

/* A body of nested brackets overflowed the stack of the recursive parser: the
 * process that read it ended, and again after its restart. */
static void test_deep_nesting_ends_process(void **state)
{
	static const struct {
		const char *open;
		const char *close;
	} shapes[] = {
		{"[", "]"},
		{"[", ""},
		{"{\"a\":", "}"},
		{"{\"a\":", ""},
		{"[{\"a\":", "}]"},
		{" [\n", "]\t"},
		{"[\"]\\\"]\",", "]"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		g_autofree char *text =
			nest(shapes[i].open, shapes[i].close, DEEP_LEVELS);

		assert_all_refuse(text);
	}
}

/* JSON has no comments and no single quotes, but json-glib skips the former.
 * A quote in a comment hid the brackets after it from the check of the depth.
 */
static void test_brackets_hidden_by_comments(void **state)
{
	static const char *const hiding[] = {"/*\"*/", "//\"\n", "'\"'",
					     "[1]/*\"*/", "#\"\n"};
	g_autofree char *deep = nest("[", "]", DEEP_LEVELS);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(hiding); i++) {
		g_autofree char *text = g_strconcat(hiding[i], deep, NULL);

		assert_all_refuse(text);
	}
}

static void test_depth_limit(void **state)
{
	g_autofree char *allowed = nest("[", "]", BH_JSON_DEPTH_MAX);
	g_autofree char *refused = nest("[", "]", BH_JSON_DEPTH_MAX + 1);
	g_autoptr(GError) err = NULL;
	JsonNode *node = bh_json_parse(allowed, strlen(allowed));

	(void)state;
	assert_non_null(node);
	bh_json_free(node);
	assert_null(bh_json_load(refused, strlen(refused), &err));
	assert_string_equal(err->message, "the document is nested deeper than "
					  "64 levels");
}

/* Brackets in strings do not nest, and closed ones no longer do. */
static void test_flat_documents_with_many_brackets(void **state)
{
	g_autofree char *brackets = nest("[", "", 1000);
	g_autofree char *quoted =
		g_strdup_printf("[\"%s\",\"\\\"%s\\\\\",{\"%s\":1}]", brackets,
				brackets, brackets);
	GString *wide = g_string_new("[[]");
	JsonNode *node = bh_json_parse(quoted, strlen(quoted));

	(void)state;
	assert_int_equal(bh_json_size(node), 3);
	bh_json_free(node);
	for (int i = 0; i < 1000; i++)
		g_string_append(wide, ",[{}]");
	g_string_append(wide, "]");
	node = bh_json_parse(wide->str, wide->len);
	assert_int_equal(bh_json_size(node), 1001);
	bh_json_free(node);
	g_string_free(wide, TRUE);
}

/* A text ended at an escaped NUL, so that what was left of an odd address or
 * name passed for a valid one. */
static void test_escaped_nul_cuts_text(void **state)
{
	static const char text[] =
		"[\"127.0.0.1:80\\u0000x\",\"\\\\u0000\",\"\\\\\\u0000\","
		"\"\\u00001\"]";
	JsonNode *node = bh_json_parse(text, strlen(text));

	(void)state;
	assert_int_equal(bh_json_size(node), 4);
	assert_string_equal(bh_json_text(bh_json_at(node, 0)),
			    "127.0.0.1:80\xef\xbf\xbdx");
	assert_string_equal(bh_json_text(bh_json_at(node, 1)), "\\u0000");
	assert_string_equal(bh_json_text(bh_json_at(node, 2)),
			    "\\\xef\xbf\xbd");
	assert_string_equal(bh_json_text(bh_json_at(node, 3)), "\xef\xbf\xbd"
							       "1");
	bh_json_free(node);
}

/* json-glib clamps integers to 64 bits without a sign: a large negative number
 * became 1, and a large positive one -1. */
static void test_huge_integers_wrap_around(void **state)
{
	static const char *const low[] = {
		"-99999999999999999999999", "-18446744073709551615",
		"-18446744073709550616",    "-9223372036854775809",
		"-10000000000000000000",
	};
	static const char *const high[] = {
		"99999999999999999999999",
		"18446744073709551615",
		"9223372036854775808",
		"10000000000000000000",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(low); i++) {
		g_autofree char *text =
			g_strdup_printf("{\"a\":%s,\"b\":[%s],\"%s\":7}",
					low[i], low[i], low[i]);
		JsonNode *node = bh_json_parse(text, strlen(text));

		assert_true(bh_json_number(bh_json_get(node, "a")) < -9e18);
		assert_true(bh_json_number(bh_json_at(bh_json_get(node, "b"),
						      0)) < -9e18);
		assert_int_equal(bh_json_u64(bh_json_get(node, "a")), 0);
		assert_int_equal(bh_json_u64(bh_json_get(node, low[i])), 7);
		bh_json_free(node);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(high); i++) {
		g_autofree char *text = g_strdup_printf("[%s]", high[i]);
		JsonNode *node = bh_json_parse(text, strlen(text));

		assert_true(bh_json_number(bh_json_at(node, 0)) > 9e18);
		assert_int_equal(bh_json_u64(bh_json_at(node, 0)), 0);
		bh_json_free(node);
	}
}

static void test_integers_of_64_bits_stay(void **state)
{
	static const char text[] =
		"[9223372036854775807,-9223372036854775807,"
		"0.12345678901234567890123,1e5,12345678901234567890.5]";
	JsonNode *node = bh_json_parse(text, strlen(text));

	(void)state;
	assert_true(json_node_get_int(bh_json_at(node, 0)) == INT64_MAX);
	assert_true(json_node_get_int(bh_json_at(node, 1)) == -INT64_MAX);
	assert_true(bh_json_is_integer(bh_json_at(node, 1)));
	assert_true(fabs(bh_json_number(bh_json_at(node, 2)) - 0.123456789) <
		    1e-9);
	assert_true(bh_json_number(bh_json_at(node, 3)) == 1e5);
	assert_true(fabs(bh_json_number(bh_json_at(node, 4)) /
				 12345678901234567890.5 -
			 1) < 1e-9);
	bh_json_free(node);
	assert_null(bh_json_parse("[0xffffffffffffffffff]", 22));
}

static void test_unreadable_bytes(void **state)
{
	static const struct {
		const char *text;
		size_t len;
	} bad[] = {
		{"", 0},	   {"[1]\0[", 5},     {"\0", 1},
		{"\xff\xff", 2},   {"[\"\xff\"]", 5}, {"]", 1},
		{"]]]]", 4},	   {"\"", 1},	      {"[\"\\", 3},
		{"[\"a\0b\"]", 7}, {"[1]]", 4},	      {"{\"a\":1}}", 8},
	};

	(void)state;
	assert_null(bh_json_parse(NULL, 0));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_null(bh_json_parse(bad[i].text, bad[i].len));
}

/* A body of 1 MiB with 75,000 members took 22 MB as a tree and most of a
 * processor; 150 of them held up all other callers for 10 s. They are refused
 * before a tree is built, in objects of any shape. */
static void test_many_short_members_are_refused(void **state)
{
	static const struct {
		const char *open;
		const char *value;
		const char *close;
	} shapes[] = {
		{"{\"a\":1", ",\"b\":1", "}"},
		{"{\"spec\":\"x\",\"steps\":[{}", ",{\"b\":1}", "]}"},
		{"{\"spec\":\"x\",\"steps\":[{\"after\":[1", ",1", "]}]}"},
		{"{\"spec\":\"x\",\"steps\":[[]", ",[]", "]}"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		GString *text = g_string_new(shapes[i].open);
		const char *error = NULL;
		GError *err = NULL;

		for (int k = 0; k < 75000; k++)
			g_string_append(text, shapes[i].value);
		g_string_append(text, shapes[i].close);
		assert_null(bh_json_parse_client(text->str, text->len, &err));
		assert_true(g_error_matches(err, BH_JSON_ERROR,
					    BH_JSON_ERROR_SIZE));
		assert_null(bh_decode_job(text->str, text->len, &error));
		assert_non_null(strstr(error, "members"));
		g_error_free(err);
		g_string_free(text, TRUE);
	}
}

/* Jobs within all other limits pass, and the store's lists have no such limit:
 * theirs are as long as the store is full. */
static void test_limits_of_values_spare_valid_documents(void **state)
{
	GString *text = g_string_new("{\"spec\":\"[,,{\",\"steps\":[");
	const char *error = NULL;
	bh_job_t *job;
	JsonNode *list;

	(void)state;
	for (int i = 0; i < 2000; i++)
		g_string_append(
			text, "{\"count\":1,\"cpu\":1,\"mem-mb\":1,\"gpu\":0,"
			      "\"estimate-ms\":1,\"max-per-server\":0,"
			      "\"target-ms\":0,\"gang\":false,\"fills\":false,"
			      "\"same-rack\":false,\"after\":[]},");
	text->str[text->len - 1] = ']';
	g_string_append_c(text, '}');
	job = bh_decode_job(text->str, text->len, &error);
	assert_null(error);
	bh_job_free(job);
	g_string_assign(text, "[0");
	for (int i = 0; i < 75000; i++)
		g_string_append(text, ",1");
	g_string_append_c(text, ']');
	list = bh_json_parse(text->str, text->len);
	assert_int_equal(bh_json_size(list), 75001);
	bh_json_free(list);
	g_string_free(text, TRUE);
}

/* Announcements of workers with many members or labels were refused by the
 * limits for clients, so that their hosts got no tasks. The limit on depth
 * holds. */
static void test_announcements_have_no_limit_of_members(void **state)
{
	g_autoptr(GString) text = g_string_new(
		"{\"state\":\"ready\",\"service\":\"s\",\"seq-no\":7,"
		"\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":0},"
		"\"labels\":[\"a\"");
	g_autofree char *deep = g_strnfill(100, '[');
	bh_announcement_t out;

	(void)state;
	for (int i = 0; i < 40000; i++)
		g_string_append(text, ",\"b\"");
	g_string_append_c(text, ']');
	for (int i = 0; i < 300; i++)
		g_string_append_printf(text, ",\"x%d\":1", i);
	assert_true(text->len < 1 << 20);
	g_string_append_c(text, '}');
	assert_true(bh_decode_announcement("w", text->str, text->len, &out));
	assert_true(out.number == 7);
	bh_worker_info_clear(&out.info);
	text->str[text->len - 1] = ',';
	g_string_append(text, "\"y\":");
	g_string_append(text, deep);
	memset(deep, ']', strlen(deep));
	g_string_append(text, deep);
	g_string_append_c(text, '}');
	assert_false(bh_decode_announcement("w", text->str, text->len, &out));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_deep_nesting_ends_process),
		cmocka_unit_test(test_brackets_hidden_by_comments),
		cmocka_unit_test(test_depth_limit),
		cmocka_unit_test(test_flat_documents_with_many_brackets),
		cmocka_unit_test(test_escaped_nul_cuts_text),
		cmocka_unit_test(test_huge_integers_wrap_around),
		cmocka_unit_test(test_integers_of_64_bits_stay),
		cmocka_unit_test(test_unreadable_bytes),
		cmocka_unit_test(test_many_short_members_are_refused),
		cmocka_unit_test(test_limits_of_values_spare_valid_documents),
		cmocka_unit_test(test_announcements_have_no_limit_of_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
