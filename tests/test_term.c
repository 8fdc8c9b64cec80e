/*
 * Leader election with a store that answers late or not at all. The store is an
 * HTTP server in this process, so that the test controls the order of replies.
 * Time is simulated: it stands still until each message that is under way has
 * arrived, so that the load of the machine does not matter.
 */
#include "daemon/term.h"
#include "platform/json.h"
#include "tests/test.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <sys/queue.h>

#define READ_REPLY_MS 30

/* In the first row. */
#define LEADER_ADDRESS "127.0.0.1:9"

/* Simulated time goes on in steps of at most this. */
#define STEP_MS 10

/* In real time, which no case waits for. No reply exceeds the timeout in
 * simulated time. */
#define CALL_TIMEOUT_MS 600000

/* Returned by bh_runtime_now(). */
static bh_usec_t clock_us;

bh_usec_t __wrap_bh_runtime_now(void);

bh_usec_t __wrap_bh_runtime_now(void)
{
	return clock_us;
}

typedef struct store_call {
	LIST_ENTRY(store_call) link;
	bh_usec_t times_out_at;
	bh_store_cb_t cb;
	void *user;
} store_call_t;

/* Calls to the store without a reply. */
static LIST_HEAD(, store_call) calls = LIST_HEAD_INITIALIZER(calls);

static size_t count_calls(void)
{
	const store_call_t *call;
	size_t n = 0;

	LIST_FOREACH(call, &calls, link)
		n++;
	return n;
}

static void store_call_free(store_call_t *call)
{
	LIST_REMOVE(call, link);
	g_free(call);
}

static store_call_t *store_call_new(int64_t timeout_ms, bh_store_cb_t cb,
				    void *user)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->times_out_at = clock_us + MS(timeout_ms);
	call->cb = cb;
	call->user = user;
	LIST_INSERT_HEAD(&calls, call, link);
	return call;
}

static void on_store_reply(void *user, const bh_store_reply_t *reply)
{
	store_call_t call = *(store_call_t *)user;

	store_call_free(user);
	assert_true(clock_us < call.times_out_at);
	call.cb(call.user, reply);
}

void __real_bh_store_commit(bh_store_t *store, bh_store_tx_t *tx,
			    int64_t timeout_ms, bh_store_cb_t cb, void *user);
void __wrap_bh_store_commit(bh_store_t *store, bh_store_tx_t *tx,
			    int64_t timeout_ms, bh_store_cb_t cb, void *user);
void __real_bh_store_list(bh_store_t *store, const char *table,
			  const char *part, const char *from, unsigned limit,
			  int64_t timeout_ms, bh_store_cb_t cb, void *user);
void __wrap_bh_store_list(bh_store_t *store, const char *table,
			  const char *part, const char *from, unsigned limit,
			  int64_t timeout_ms, bh_store_cb_t cb, void *user);

void __wrap_bh_store_commit(bh_store_t *store, bh_store_tx_t *tx,
			    int64_t timeout_ms, bh_store_cb_t cb, void *user)
{
	__real_bh_store_commit(store, tx, CALL_TIMEOUT_MS, on_store_reply,
			       store_call_new(timeout_ms, cb, user));
}

void __wrap_bh_store_list(bh_store_t *store, const char *table,
			  const char *part, const char *from, unsigned limit,
			  int64_t timeout_ms, bh_store_cb_t cb, void *user)
{
	__real_bh_store_list(store, table, part, from, limit, CALL_TIMEOUT_MS,
			     on_store_reply,
			     store_call_new(timeout_ms, cb, user));
}

/**
 * struct fake_store - the store, which holds one row
 * @commit_reply_ms: delay of the reply to a transaction, which is applied at
 *	once
 * @drops: number of transactions to apply without a reply
 * @last_puts: rows that the last transaction wrote
 * @won: term that was passed to the callback won()
 * @stored: term in the store at the time of that call
 * @delayed: replies that have not been sent
 */
typedef struct fake_store {
	struct event_base *base;
	struct evhttp *http;
	char address[32];
	char *value;
	uint64_t version;
	int commit_reply_ms;
	int drops;
	size_t last_puts;
	uint64_t won;
	uint64_t stored;
	LIST_HEAD(, delayed_reply) delayed;
} fake_store_t;

typedef struct delayed_reply {
	LIST_ENTRY(delayed_reply) link;
	fake_store_t *fake;
	bh_usec_t due;
	struct evhttp_request *req;
	int status;
	char *body;
} delayed_reply_t;

static char *rows_json(const fake_store_t *fake)
{
	if (!fake->value)
		return g_strdup("{\"rows\":[],\"schema-version\":1,"
				"\"has-more\":false}");
	return g_strdup_printf("{\"rows\":[{\"table\":\"leader\",\"part\":\"\","
			       "\"key\":\"leader\",\"value\":\"%s\","
			       "\"schema-version\":%" G_GUINT64_FORMAT
			       "}],\"schema-version\":%" G_GUINT64_FORMAT
			       ",\"has-more\":false}",
			       fake->value, fake->version, fake->version);
}

static void send_now(struct evhttp_request *req, int status, const char *body)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add(out, body, strlen(body));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

static void delayed_reply_free(delayed_reply_t *l)
{
	LIST_REMOVE(l, link);
	g_free(l->body);
	g_free(l);
}

static void send_delayed(delayed_reply_t *l)
{
	g_autofree char *now = l->body ? NULL : rows_json(l->fake);

	send_now(l->req, l->status, l->body ? l->body : now);
	delayed_reply_free(l);
}

static void reply_after(fake_store_t *fake, struct evhttp_request *req,
			int status, char *body, int ms)
{
	delayed_reply_t *l = g_new0(delayed_reply_t, 1);

	l->fake = fake;
	l->req = req;
	l->status = status;
	l->body = body;
	l->due = clock_us + MS(ms);
	LIST_INSERT_HEAD(&fake->delayed, l, link);
}

/* A read returns the row as of when the reply is sent. */
static void on_get(fake_store_t *fake, struct evhttp_request *req)
{
	reply_after(fake, req, 200, NULL, READ_REPLY_MS);
}

static bool apply_tx(fake_store_t *fake, JsonNode *body)
{
	JsonNode *checks = bh_json_get(body, "expected-rev");
	JsonNode *puts = bh_json_get(body, "puts");

	fake->last_puts = bh_json_size(puts);
	for (size_t i = 0; i < bh_json_size(checks); i++) {
		if (bh_json_u64(bh_json_get(bh_json_at(checks, i),
					    "schema-version")) != fake->version)
			return false;
	}
	for (size_t i = 0; i < bh_json_size(puts); i++) {
		g_free(fake->value);
		fake->value = g_strdup(bh_json_text(
			bh_json_get(bh_json_at(puts, i), "value")));
		fake->version++;
	}
	return true;
}

static void on_tx(fake_store_t *fake, struct evhttp_request *req)
{
	GBytes *bytes = bh_http_take_body(req);
	JsonNode *body = bh_json_parse_bytes(bytes);
	bool is_applied = apply_tx(fake, body);

	bh_json_free(body);
	g_bytes_unref(bytes);
	if (fake->drops > 0) {
		fake->drops--;
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	if (is_applied)
		reply_after(fake, req, 200,
			    g_strdup_printf("{\"schema-version\":"
					    "%" G_GUINT64_FORMAT "}",
					    fake->version),
			    fake->commit_reply_ms);
	else
		reply_after(fake, req, 412, rows_json(fake), 1);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	if (g_str_has_prefix(evhttp_request_get_uri(req), "/rows-tx"))
		on_tx(arg, req);
	else
		on_get(arg, req);
}

static uint64_t stored_term(const fake_store_t *fake)
{
	gsize len;
	g_autofree guchar *data = g_base64_decode(fake->value, &len);
	bh_leader_row_t row = {0};
	uint64_t term;

	assert_true(bh_leader_row_unpack(data, len, &row));
	term = row.term;
	bh_leader_row_clear(&row);
	return term;
}

static void on_changed(void *ctx, const bh_leader_row_t *row)
{
	(void)ctx;
	(void)row;
}

static void on_won(void *ctx, uint64_t term)
{
	fake_store_t *fake = ctx;

	fake->won = term;
	fake->stored = stored_term(fake);
}

static void on_lost(void *ctx, const char *why)
{
	(void)ctx;
	(void)why;
}

static const bh_term_ops_t ops = {
	.changed = on_changed,
	.won = on_won,
	.lost = on_lost,
};

static void fake_store_open(fake_store_t *fake, uint64_t term)
{
	bh_leader_row_t row = {.term = term,
			       .address = (char *)LEADER_ADDRESS,
			       .name = (char *)"another"};
	GBytes *bytes = bh_leader_row_pack(&row);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	struct evhttp_bound_socket *socket;
	struct sockaddr_in at;
	socklen_t at_len = sizeof(at);

	memset(fake, 0, sizeof(*fake));
	fake->base = event_base_new();
	fake->value = g_base64_encode(data, len);
	fake->version = 10;
	g_bytes_unref(bytes);
	fake->http = evhttp_new(fake->base);
	evhttp_set_gencb(fake->http, on_request, fake);
	socket = evhttp_bind_socket_with_handle(fake->http, "127.0.0.1", 0);
	assert_non_null(socket);
	getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&at,
		    &at_len);
	g_snprintf(fake->address, sizeof(fake->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

static size_t count_delayed(const fake_store_t *fake)
{
	const delayed_reply_t *l;
	size_t n = 0;

	LIST_FOREACH(l, &fake->delayed, link)
		n++;
	return n;
}

/* Until each call waits for a reply that is due later. */
static void deliver(fake_store_t *fake)
{
	while (count_calls() != count_delayed(fake))
		event_base_loop(fake->base, EVLOOP_ONCE);
}

/* Return: NULL when none is due. */
static delayed_reply_t *first_due(const fake_store_t *fake)
{
	delayed_reply_t *l;
	delayed_reply_t *first = NULL;

	LIST_FOREACH(l, &fake->delayed, link) {
		if (l->due <= clock_us && (!first || l->due <= first->due))
			first = l;
	}
	return first;
}

static void run_for(fake_store_t *fake, bh_term_t *term, int ms)
{
	bh_usec_t until = clock_us + MS(ms);
	delayed_reply_t *l;

	while (clock_us < until) {
		bh_term_tick(term);
		deliver(fake);
		clock_us = MIN(clock_us + MS(STEP_MS), until);
		while ((l = first_due(fake)) != NULL) {
			send_delayed(l);
			deliver(fake);
		}
	}
}

typedef struct fixture {
	fake_store_t fake;
	bh_settings_t settings;
	bh_runtime_t rt;
	bh_store_t *store;
	bh_term_t *term;
} fixture_t;

static void setup(fixture_t *f, uint64_t term)
{
	memset(f, 0, sizeof(*f));
	clock_us = MS(1000000);
	LIST_INIT(&calls); /* a case that failed leaves some */
	fake_store_open(&f->fake, term);
	f->settings.name = (char *)"me";
	f->settings.listen_frames = (char *)"127.0.0.1:8";
	f->settings.processor_share = 1;
	f->rt.base = f->fake.base;
	f->rt.settings = &f->settings;
	f->rt.log.level = BH_LOG_ERROR;
	f->rt.log.out = stderr;
	f->store = bh_store_new(f->fake.base, f->fake.address);
	f->term = bh_term_new(&f->rt, f->store, &ops, &f->fake);
}

static void teardown(fixture_t *f)
{
	bh_store_close(f->store);
	bh_term_free(f->term);
	bh_store_free(f->store);
	while (!LIST_EMPTY(&calls))
		store_call_free(LIST_FIRST(&calls));
	evhttp_free(f->fake.http);
	while (!LIST_EMPTY(&f->fake.delayed))
		delayed_reply_free(LIST_FIRST(&f->fake.delayed));
	g_free(f->fake.value);
	event_base_free(f->fake.base);
}

/* A read returns the new row before the write of it is acknowledged. The leader
 * took a term one higher than the stored one, so that two leaders could use the
 * same fencing token. */
static void test_read_overtakes_write(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	f.fake.commit_reply_ms = 400;
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	run_for(&f.fake, f.term, 1500);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(f.fake.won, 4);
	assert_int_equal(f.fake.stored, 4);
	assert_int_equal(bh_term_number(f.term), stored_term(&f.fake));
	assert_true(bh_term_is_confirmed(f.term));
	teardown(&f);
}

static void on_commit_result(void *user, bh_term_commit_result_t result)
{
	*(int *)user = result;
}

/* A transaction without a reply may still be applied late. The next one has to
 * write the leader row, so that the precondition of the late one fails and it
 * cannot overwrite newer progress. */
static void test_after_an_unclear_commit_the_row_changes(void **state)
{
	fixture_t f;
	int result = -1;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	for (int i = 0; i < 200 && !bh_term_can_commit(f.term); i++)
		run_for(&f.fake, f.term, 10);
	assert_true(bh_term_can_commit(f.term));
	f.fake.drops = 1;
	bh_term_commit(f.term, bh_store_tx_new(), on_commit_result, &result);
	for (int i = 0; i < 300 && (result < 0 || !bh_term_can_commit(f.term));
	     i++)
		run_for(&f.fake, f.term, 5);
	assert_int_equal(result, BH_TERM_RETRY);
	result = -1;
	bh_term_commit(f.term, bh_store_tx_new(), on_commit_result, &result);
	run_for(&f.fake, f.term, 60);
	assert_int_equal(result, BH_TERM_STORED);
	assert_int_equal(f.fake.last_puts, 1);
	teardown(&f);
}

static void commit_again(void *user, bh_term_commit_result_t result)
{
	bh_term_t *term = user;

	(void)result;
	if (bh_term_can_commit(term))
		bh_term_commit(term, bh_store_tx_new(), commit_again, term);
}

static bool is_vacant(const fake_store_t *fake)
{
	gsize len;
	g_autofree guchar *data = g_base64_decode(fake->value, &len);
	bh_leader_row_t row = {0};
	bool is_empty;

	assert_true(bh_leader_row_unpack(data, len, &row));
	is_empty = !row.address || !*row.address;
	bh_leader_row_clear(&row);
	return is_empty;
}

/* A leader under constant load resigns as soon as it is asked to. It went on
 * committing, and the next leader had to wait for three seconds. */
static void test_a_busy_leader_resigns(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	for (int i = 0; i < 200 && !bh_term_can_commit(f.term); i++)
		run_for(&f.fake, f.term, 10);
	f.fake.commit_reply_ms = 50;
	commit_again(f.term, BH_TERM_STORED);
	run_for(&f.fake, f.term, 100);
	bh_term_resign(f.term);
	run_for(&f.fake, f.term, 200);
	assert_true(is_vacant(&f.fake));
	bh_term_cancel_callback(f.term);
	teardown(&f);
}

static void adopt(bh_term_t *term, uint64_t number)
{
	bh_leader_row_t row = {.term = number,
			       .address = (char *)"127.0.0.1:7",
			       .name = (char *)"third"};

	bh_term_adopt(term, &row);
}

/* A leader that the store rejects is told of its successor by another entry. It
 * led on, and missed changes, until the store accepted it again. */
static void test_replaced_leader_learns_of_its_successor(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	run_for(&f.fake, f.term, 300);
	assert_true(bh_term_is_leader(f.term));
	adopt(f.term, 3);
	adopt(f.term, 4);
	assert_true(bh_term_is_leader(f.term));
	adopt(f.term, 5);
	assert_false(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 5);
	assert_string_equal(bh_term_row(f.term)->address, "127.0.0.1:7");
	teardown(&f);
}

/* An entry hears of a later leader while the answer to its own election is
 * under way. */
static void test_late_answer_to_a_campaign_does_not_win(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	f.fake.commit_reply_ms = 400;
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	for (int i = 0; i < 200 && f.fake.version == 10; i++)
		run_for(&f.fake, f.term, 10);
	adopt(f.term, 9);
	for (int i = 0; i < 60; i++) {
		run_for(&f.fake, f.term, 10);
		assert_false(bh_term_is_leader(f.term));
	}
	assert_int_equal(f.fake.won, 0);
	teardown(&f);
}

static void put_leader_bytes(fake_store_t *fake, const void *data, size_t len)
{
	g_free(fake->value);
	fake->value = g_base64_encode(data, len);
	fake->version++;
}

static void put_leader_row(fake_store_t *fake, uint64_t term,
			   const char *address)
{
	bh_leader_row_t row = {.term = term,
			       .address = (char *)address,
			       .name = (char *)"odd"};
	GBytes *bytes = bh_leader_row_pack(&row);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	put_leader_bytes(fake, data, len);
	g_bytes_unref(bytes);
}

/* Another writer's leader row names an address that cannot be dialled, or the
 * highest term there is. No entry suspected that leader or could exceed its
 * term, so that nobody led again. */
static void test_odd_leader_row_prevents_elections(void **state)
{
	static const struct {
		uint64_t term;
		const char *address;
	} odd[] = {
		{3, "127.0.0.1:70000"},	   {3, "127.0.0.1:0"},
		{3, "127.0.0.1"},	   {3, "worker-7:80"},
		{3, "127.0.0.1:-1"},	   {UINT64_MAX, "127.0.0.1:9"},
		{UINT64_MAX - 1, "odd:9"}, {(uint64_t)INT64_MAX, ""},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		fixture_t f;

		setup(&f, 3);
		put_leader_row(&f.fake, odd[i].term, odd[i].address);
		run_for(&f.fake, f.term, 1000);
		assert_true(bh_term_is_leader(f.term));
		assert_true(bh_term_number(f.term) > 0);
		assert_int_equal(bh_term_number(f.term), stored_term(&f.fake));
		teardown(&f);
	}
}

/* An entry that starts finds a leader row that cannot be read. It led with term
 * 1, which agents refuse for ever, and did not wait for leases that the last
 * leader may still grant. */
static void test_entry_starts_beside_unreadable_leader_row(void **state)
{
	uint8_t bytes[300];
	fixture_t f;

	(void)state;
	memset(bytes, 0xff, sizeof(bytes));
	setup(&f, 0);
	put_leader_bytes(&f.fake, bytes, sizeof(bytes));
	run_for(&f.fake, f.term, 1000);
	assert_true(bh_term_is_leader(f.term));
	assert_true(bh_term_predecessor_grant_ms(f.term) > 0);
	bh_term_observe(f.term, 42);
	run_for(&f.fake, f.term, 2000);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 43);
	assert_int_equal(stored_term(&f.fake), 43);
	teardown(&f);
}

/* The answer to a campaign is lost, and the entry finds its own row. It took
 * the leader before, which may still grant leases, for one that has ended, and
 * did not wait for these leases. */
static void test_lost_answer_to_a_campaign_keeps_the_wait(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_SILENT);
	f.fake.drops = 1;
	for (int i = 0; i < 400 && !bh_term_is_leader(f.term); i++)
		run_for(&f.fake, f.term, 10);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 5);
	assert_true(bh_term_predecessor_grant_ms(f.term) > 1000);
	teardown(&f);
}

/* Connections to the leader are refused, as they are after its end, but also in
 * a partition that rejects them. Its successor took it for ended, and did not
 * wait for the leases that it may still grant behind the partition. */
static void test_refused_leader_may_still_grant(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	/* An entry that has just started waits for leaders before. */
	run_for(&f.fake, f.term, 5000);
	f.fake.version++; /* The leader renews its row. */
	bh_term_suspect(f.term, BH_TERM_REFUSED);
	run_for(&f.fake, f.term, 500);
	assert_true(bh_term_is_leader(f.term));
	assert_true(bh_term_predecessor_grant_ms(f.term) > 3000);
	teardown(&f);
}

/* The predecessor was killed, and its next process follows the new leader,
 * which waited for its grants all the same. Leaders before it are another
 * matter. */
static void test_predecessor_that_follows_has_ended(void **state)
{
	fixture_t f;

	(void)state;
	for (int is_young = 0; is_young <= 1; is_young++) {
		setup(&f, 3);
		run_for(&f.fake, f.term, is_young ? 100 : 5000);
		f.fake.version++;
		bh_term_suspect(f.term, BH_TERM_REFUSED);
		run_for(&f.fake, f.term, 500);
		assert_true(bh_term_predecessor_grant_ms(f.term) > 3000);
		assert_false(bh_term_note_follower(f.term, "127.0.0.1:7"));
		assert_true(bh_term_predecessor_grant_ms(f.term) > 3000);
		assert_true(bh_term_note_follower(f.term, LEADER_ADDRESS));
		if (is_young)
			assert_in_range(bh_term_predecessor_grant_ms(f.term),
					3000, 3700);
		else
			assert_int_equal(bh_term_predecessor_grant_ms(f.term),
					 0);
		assert_false(bh_term_note_follower(f.term, LEADER_ADDRESS));
		teardown(&f);
	}
}

/* The next process of the leader has said that it does not lead, and is gone
 * itself: nothing is left to wait for. */
static void test_leader_that_has_ended_stays_ended(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 5000);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	bh_term_suspect(f.term, BH_TERM_REFUSED);
	run_for(&f.fake, f.term, 500);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_predecessor_grant_ms(f.term), 0);
	teardown(&f);
}

/* A successor that ends soon after its election does not end the grants of the
 * leader that it replaced. */
static void test_end_of_a_successor_keeps_the_wait(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 3);
	run_for(&f.fake, f.term, 100);
	put_leader_row(&f.fake, 4, "127.0.0.1:7");
	bh_term_suspect(f.term, BH_TERM_SILENT);
	run_for(&f.fake, f.term, 700);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	for (int i = 0; i < 400 && !bh_term_is_leader(f.term); i++)
		run_for(&f.fake, f.term, 10);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 5);
	assert_true(bh_term_predecessor_grant_ms(f.term) > 1000);
	teardown(&f);
}

/* Another writer overwrites the row of a leader with bytes that cannot be read.
 * The next election began again with term 1, which workers that had seen a
 * higher term refuse for ever. */
static void test_unreadable_leader_row_resets_the_term(void **state)
{
	uint8_t bytes[300];
	fixture_t f;

	(void)state;
	memset(bytes, 0xff, sizeof(bytes));
	setup(&f, 41);
	run_for(&f.fake, f.term, 100);
	bh_term_suspect(f.term, BH_TERM_ENDED);
	run_for(&f.fake, f.term, 1000);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 42);
	put_leader_bytes(&f.fake, bytes, sizeof(bytes));
	run_for(&f.fake, f.term, 2000);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 43);
	assert_int_equal(stored_term(&f.fake), 43);
	teardown(&f);
}

/* A leader on a small host restarts. Entries that reach it took it for the
 * leader until its row had not been renewed for 1.3 s. It tells them that it
 * does not lead, until it has been elected again. */
static void test_restarted_leader_does_not_lead(void **state)
{
	fixture_t f;

	(void)state;
	setup(&f, 0);
	f.settings.name = (char *)"odd";
	f.settings.processor_share = 0.1;
	put_leader_row(&f.fake, 7, "127.0.0.1:8");
	assert_false(bh_term_is_vacant(f.term));
	run_for(&f.fake, f.term, 100);
	assert_true(bh_term_is_vacant(f.term));
	run_for(&f.fake, f.term, 1000);
	assert_true(bh_term_is_leader(f.term));
	assert_int_equal(bh_term_number(f.term), 8);
	assert_false(bh_term_is_vacant(f.term));
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_read_overtakes_write),
		cmocka_unit_test(test_a_busy_leader_resigns),
		cmocka_unit_test(test_after_an_unclear_commit_the_row_changes),
		cmocka_unit_test(test_replaced_leader_learns_of_its_successor),
		cmocka_unit_test(test_late_answer_to_a_campaign_does_not_win),
		cmocka_unit_test(test_odd_leader_row_prevents_elections),
		cmocka_unit_test(test_unreadable_leader_row_resets_the_term),
		cmocka_unit_test(test_lost_answer_to_a_campaign_keeps_the_wait),
		cmocka_unit_test(test_end_of_a_successor_keeps_the_wait),
		cmocka_unit_test(test_refused_leader_may_still_grant),
		cmocka_unit_test(test_leader_that_has_ended_stays_ended),
		cmocka_unit_test(test_predecessor_that_follows_has_ended),
		cmocka_unit_test(
			test_entry_starts_beside_unreadable_leader_row),
		cmocka_unit_test(test_restarted_leader_does_not_lead),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
