/*
 * Parsing of settings: defaults, error messages, and that docs/settings.md
 * lists the options as the code does.
 */
#include "daemon/settings.h"
#include "tests/test.h"

#include <string.h>

#define REQUIRED                                                               \
	"\"role\":\"entry\",\"name\":\"e\",\"zone\":\"z\","                    \
	"\"listen_http\":\"127.0.0.1:1\",\"listen_frames\":\"127.0.0.1:2\","   \
	"\"table\":\"127.0.0.1:3\""

static void assert_refused(const char *text, const char *message)
{
	g_autoptr(GError) err = NULL;

	assert_null(bh_settings_parse(text, -1, &err));
	assert_string_equal(err->message, message);
}

static void test_defaults(void **state)
{
	bh_settings_t *s = bh_settings_parse("{" REQUIRED "}", -1, NULL);

	(void)state;
	assert_non_null(s);
	assert_string_equal(s->policy, "expected-wait");
	assert_int_equal(s->lease_ms, 30000);
	bh_settings_free(s);
}

static void test_errors_name_key_value_and_range(void **state)
{
	(void)state;
	assert_refused("{" REQUIRED ",\"lease_ms\":1}",
		       "lease_ms: 1 is not allowed; expected integer, 500 to "
		       "3.6e+06");
	assert_refused("{" REQUIRED ",\"lease_ms\":2000.5}",
		       "lease_ms: 2000.5 is not allowed; expected integer, 500 "
		       "to 3.6e+06");
	assert_refused("{" REQUIRED ",\"policy\":\"best\"}",
		       "policy: \"best\" is not allowed; expected choice, "
		       "expected-wait|round-robin|least-outstanding");
	assert_refused("{" REQUIRED ",\"worker\":\"localhost:80\"}",
		       "worker: \"localhost:80\" is not allowed; expected "
		       "IP:PORT, an IP address and a port, such as "
		       "192.0.2.1:7000");
	assert_refused("{" REQUIRED ",\"colour\":1}", "colour: unknown option");
	assert_refused("{\"role\":\"entry\"}",
		       "name: required but missing (unique name of this "
		       "process)");
	assert_refused("[]", "settings are not a JSON object");
}

/* Guards against a bound that is too short to be kept. */
static void test_evacuate_ms_is_0_or_long_enough(void **state)
{
	static const int accepted[] = {0, 5000, 600000};

	(void)state;
	assert_refused("{" REQUIRED ",\"evacuate_ms\":4999}",
		       "evacuate_ms: 4999 is not allowed; expected 0, or 5000 "
		       "to 600000");
	assert_refused("{" REQUIRED ",\"evacuate_ms\":0.5}",
		       "evacuate_ms: 0.5 is not allowed; expected 0, or 5000 "
		       "to 600000");
	for (size_t i = 0; i < G_N_ELEMENTS(accepted); i++) {
		g_autofree char *text = g_strdup_printf(
			"{" REQUIRED ",\"evacuate_ms\":%d}", accepted[i]);
		bh_settings_t *s = bh_settings_parse(text, -1, NULL);

		assert_non_null(s);
		bh_settings_free(s);
	}
}

static void test_page_matches_the_table(void **state)
{
	g_autofree char *table = bh_options_markdown();
	g_autofree char *page = NULL;

	(void)state;
	assert_true(g_file_get_contents(SOURCE_DIR "/docs/settings.md", &page,
					NULL, NULL));
	assert_non_null(strstr(page, table));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults),
		cmocka_unit_test(test_errors_name_key_value_and_range),
		cmocka_unit_test(test_evacuate_ms_is_0_or_long_enough),
		cmocka_unit_test(test_page_matches_the_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
