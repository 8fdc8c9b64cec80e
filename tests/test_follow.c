/*
 * Following a table of a store that ends its replies at 1 MB. The store is an
 * HTTP server in this process.
 */
#include "daemon/follow.h"
#include "daemon/tables.h"
#include "tests/test.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>

#define ROW_BYTES     4000
#define ROWS_IN_REPLY 200

/**
 * struct fake_store - a store whose table has changed since it was listed
 * @polls: polls for changes so far
 * @first_rows: number of rows in the reply to the first one
 * @holds_polls: those that may wait get no reply
 */
typedef struct fake_store {
	struct event_base *base;
	struct evhttp *http;
	char address[32];
	int polls;
	int first_rows;
	bool holds_polls;
} fake_store_t;

static void add_row(GString *out, int n)
{
	char value[ROW_BYTES] = {0};
	g_autofree char *text = g_base64_encode((guchar *)value, ROW_BYTES);

	g_string_append_printf(out,
			       "%s{\"table\":\"t\",\"part\":\"\","
			       "\"key\":\"%d\",\"value\":\"%s\","
			       "\"schema-version\":%d}",
			       n > 0 ? "," : "", n, text, n + 2);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	fake_store_t *fake = arg;
	bool is_poll =
		g_str_has_prefix(evhttp_request_get_uri(req), "/rows-feed");
	int n = 0;
	GString *out;
	struct evbuffer *body;

	if (fake->holds_polls && is_poll &&
	    !g_str_has_suffix(evhttp_request_get_uri(req), "wait-ms=0")) {
		fake->polls++;
		event_base_loopbreak(fake->base);
		return;
	}
	out = g_string_new("{\"rows\":[");
	body = evbuffer_new();
	if (is_poll)
		n = fake->polls++ ? 1 : fake->first_rows;
	for (int i = 0; i < n; i++)
		add_row(out, i);
	g_string_append_printf(
		out, "],\"schema-version\":%d,\"has-more\":false}", n + 1);
	evbuffer_add(body, out->str, out->len);
	evhttp_send_reply(req, 200, NULL, body);
	evbuffer_free(body);
	g_string_free(out, TRUE);
	if (is_poll)
		event_base_loopbreak(fake->base);
}

static void fake_store_open(fake_store_t *fake, int first_rows)
{
	struct evhttp_bound_socket *socket;
	struct sockaddr_in at;
	socklen_t at_len = sizeof(at);

	memset(fake, 0, sizeof(*fake));
	fake->first_rows = first_rows;
	fake->base = event_base_new();
	fake->http = evhttp_new(fake->base);
	evhttp_set_gencb(fake->http, on_request, fake);
	socket = evhttp_bind_socket_with_handle(fake->http, "127.0.0.1", 0);
	assert_non_null(socket);
	getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&at,
		    &at_len);
	g_snprintf(fake->address, sizeof(fake->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

static void on_row(void *ctx, const bh_store_row_t *row)
{
	(void)row;
	(*(int *)ctx)++;
}

static void on_loaded(void *ctx)
{
	(void)ctx;
}

static const bh_follow_ops_t ops = {.row = on_row, .loaded = on_loaded};

/* Return: whether the table counted as read once the reply to the first poll
 * had come, and before that to the second. */
static bool is_current_after_first_poll(int first_rows)
{
	fake_store_t fake;
	bh_settings_t settings = {.name = (char *)"me"};
	bh_runtime_t rt = {.settings = &settings};
	bh_store_t *store;
	bh_follow_t *follow;
	int rows = 0;
	bool is_current;

	fake_store_open(&fake, first_rows);
	rt.base = fake.base;
	rt.log.level = BH_LOG_ERROR;
	rt.log.out = stderr;
	store = bh_store_new(fake.base, fake.address);
	follow =
		bh_follow_new(&rt, store, BH_TABLE_PROGRESS, 1000, &ops, &rows);
	while (rows < first_rows)
		event_base_loop(fake.base, EVLOOP_ONCE);
	is_current = bh_follow_current_at(follow) > 0;
	while (rows < first_rows + 1)
		event_base_loop(fake.base, EVLOOP_ONCE);
	assert_true(bh_follow_current_at(follow) > 0);
	bh_store_close(store);
	bh_follow_free(follow);
	bh_store_free(store);
	evhttp_free(fake.http);
	event_base_free(fake.base);
	return is_current;
}

/* The end of a task whose job was in the part that is left out counted as that
 * of a job that does not exist: it was acknowledged, and the task ran again. */
static void test_reply_cut_by_its_size_may_not_be_all(void **state)
{
	(void)state;
	assert_false(is_current_after_first_poll(ROWS_IN_REPLY));
}

static void test_small_reply_is_all(void **state)
{
	(void)state;
	assert_true(is_current_after_first_poll(1));
}

/* A leader that resumes after a pause waited for a poll that the store may hold
 * for a second, or went on without the changes that were stored meanwhile. */
static void test_refresh_does_not_wait_for_the_poll(void **state)
{
	fake_store_t fake;
	bh_settings_t settings = {.name = (char *)"me"};
	bh_runtime_t rt = {.settings = &settings};
	bh_store_t *store;
	bh_follow_t *follow;
	bh_usec_t began;
	int rows = 0;

	(void)state;
	fake_store_open(&fake, 1);
	fake.holds_polls = true;
	rt.base = fake.base;
	rt.log.level = BH_LOG_ERROR;
	rt.log.out = stderr;
	store = bh_store_new(fake.base, fake.address);
	follow =
		bh_follow_new(&rt, store, BH_TABLE_PROGRESS, 1000, &ops, &rows);
	bh_follow_refresh(follow);
	/* A leader held starts for an entry that had not reached the store. */
	assert_false(bh_follow_has_answered(follow));
	while (fake.polls == 0)
		event_base_loop(fake.base, EVLOOP_ONCE);
	assert_int_equal(rows, 0);
	began = bh_runtime_now();
	bh_follow_refresh(follow);
	bh_follow_refresh(follow);
	while (rows == 0)
		event_base_loop(fake.base, EVLOOP_ONCE);
	assert_int_equal(rows, 1);
	assert_true(bh_follow_current_at(follow) >= began);
	assert_true(bh_follow_has_answered(follow));
	bh_store_close(store);
	bh_follow_free(follow);
	bh_store_free(store);
	evhttp_free(fake.http);
	event_base_free(fake.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reply_cut_by_its_size_may_not_be_all),
		cmocka_unit_test(test_small_reply_is_all),
		cmocka_unit_test(test_refresh_does_not_wait_for_the_poll),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
