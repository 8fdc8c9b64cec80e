#include "daemon/term.h"
#include "sched/grants.h"

#define TABLE "leader"
#define KEY   "leader"
#define PART  ""

/* A third of the time after which others take over. */
#define RENEW_EVERY_US (500 * BH_USEC_PER_MS)

/* No renewal for so long makes a leader replaceable. It is more than two
 * renewals, so that one that is refused does not cost a term. */
#define REPLACE_AFTER_US (1300 * BH_USEC_PER_MS)

/* A leader that answers but does not renew may only have a slow store, if this
 * host's own look at the row is slow; to replace it would gain little. */
#define REPLACE_ALIVE_US (2500 * BH_USEC_PER_MS)

/* A look that takes longer shows that the store is slow for all. */
#define SLOW_LOOK_US (150 * BH_USEC_PER_MS)

/* Between two looks at the row while there is doubt. */
#define LOOK_EVERY_US (300 * BH_USEC_PER_MS)

/* A leader whose own word is that it has not renewed for so long is doubted. */
#define DOUBT_AFTER_MS 900

/* Longer than the store takes on a slow day; a call that takes longer is
 * settled by reading. */
#define CALL_TIMEOUT_MS 1500

/* Ticks come every 100 ms; a longer gap means that the process stood still. */
#define PAUSE_US (1000 * BH_USEC_PER_MS)

/* Entries with little processor time wait so much longer before they stand. */
#define RANK_DELAY_MAX_US (250 * BH_USEC_PER_MS)
#define RANK_JITTER_US	  (60 * BH_USEC_PER_MS)

struct bh_term {
	bh_runtime_t *rt;
	bh_store_t *store;
	const bh_term_ops_t *ops;
	void *ctx;
	bh_leader_row_t row;
	uint64_t version;
	bool is_known;
	bool is_leader;
	bool is_busy;
	bool is_reading;
	bool is_unsure;
	bool is_resigning;
	bool is_resigned;
	bool is_confirmed;
	bool is_suspect;
	bool is_gone;
	bool is_answering;
	bh_usec_t doubt_since;
	bh_usec_t still_since;
	bh_usec_t stand_at;
	bh_usec_t looked_at;
	bh_usec_t look_took;
	bh_usec_t sent_at;
	bh_usec_t proven_at;
	bh_usec_t renewed_at;
	bh_usec_t ticked_at;
	bool has_put;
	bool must_put;
	uint64_t stood_for;
	bool is_predecessor_gone;
	int64_t predecessor_ms;
	bh_term_cb_t cb;
	void *user;
};

static bh_usec_t rank_delay(const bh_term_t *t)
{
	double share = t->rt->settings->processor_share;
	double lack = 1 - MIN(share * 2, 1);

	return (bh_usec_t)(lack * RANK_DELAY_MAX_US) +
	       g_random_int_range(0, RANK_JITTER_US);
}

static bool is_mine(const bh_term_t *t, const bh_leader_row_t *row)
{
	return g_strcmp0(row->name, t->rt->settings->name) == 0 &&
	       g_strcmp0(row->address, t->rt->settings->listen_frames) == 0;
}

/* Nobody leads: none has yet, the last one resigned, or it was an earlier life
 * of this process. */
static bool is_vacant(const bh_term_t *t)
{
	return !t->row.address || !*t->row.address || is_mine(t, &t->row);
}

static void lose(bh_term_t *t, const char *why)
{
	if (!t->is_leader)
		return;
	t->is_leader = false;
	t->ops->lost(t->ctx, why);
}

/* Takes over what the store says now. */
static void learn(bh_term_t *t, const bh_store_row_t *row)
{
	bh_leader_row_t next = {0};
	bool is_changed;
	uint64_t led = t->is_leader ? t->row.term : 0;

	if (row && !bh_leader_row_unpack(row->value, row->len, &next))
		bh_log_event(&t->rt->log, BH_LOG_ERROR,
			     "the leader's row cannot be read", NULL);
	is_changed = !t->is_known || next.term != t->row.term ||
		     g_strcmp0(next.address, t->row.address) != 0;
	if (!t->is_known || (row ? row->version : 0) != t->version)
		t->still_since = bh_runtime_now();
	t->version = row ? row->version : 0;
	t->is_known = true;
	if (!is_changed) {
		bh_leader_row_clear(&next);
		return;
	}
	bh_leader_row_clear(&t->row);
	t->row = next;
	t->is_suspect = false;
	t->is_gone = false;
	t->stand_at = 0;
	if (!is_mine(t, &t->row))
		lose(t, "another process leads");
	else if (led && led != t->row.term)
		lose(t, "the store holds another term");
	if (!t->is_leader)
		t->ops->changed(t->ctx, &t->row);
}

static void on_read(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;
	const bh_store_row_t *row = bh_store_row(reply, TABLE, KEY);
	bh_leader_row_t found = {0};

	t->is_reading = false;
	t->look_took = bh_runtime_now() - t->looked_at;
	if (reply->status != BH_STORE_OK)
		return;
	if (t->is_leader && row &&
	    bh_leader_row_unpack(row->value, row->len, &found) &&
	    found.term == t->row.term && is_mine(t, &found)) {
		t->version = row->version;
		t->is_unsure = false;
	} else {
		t->is_unsure = false;
		learn(t, row);
	}
	bh_leader_row_clear(&found);
}

static void look(bh_term_t *t)
{
	if (t->is_reading)
		return;
	t->is_reading = true;
	t->looked_at = bh_runtime_now();
	bh_store_list(t->store, TABLE, PART, KEY, 1, CALL_TIMEOUT_MS, on_read,
		      t);
}

static void put_row(bh_term_t *t, bh_store_tx_t *tx, uint64_t term,
		    const char *address)
{
	bh_leader_row_t row = {
		.term = term,
		.address = (char *)address,
		.name = t->rt->settings->name,
	};
	GBytes *bytes = bh_leader_row_pack(&row);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	bh_store_tx_put(tx, TABLE, PART, KEY, data, len);
	g_bytes_unref(bytes);
}

/* A look may have shown the written row before the write was answered, so that
 * the row that is known says nothing of the term that was written. */
static void take_post(bh_term_t *t, uint64_t version)
{
	bh_leader_row_t row = {
		.term = t->stood_for,
		.address = g_strdup(t->rt->settings->listen_frames),
		.name = g_strdup(t->rt->settings->name),
	};

	bh_leader_row_clear(&t->row);
	t->row = row;
	t->version = version;
	t->is_leader = true;
	t->is_confirmed = true;
	t->is_unsure = false;
	t->must_put = false;
	t->proven_at = t->sent_at;
	t->renewed_at = t->sent_at;
	t->predecessor_ms =
		t->is_predecessor_gone
			? 0
			: bh_grant_remaining_ms(
				  (bh_runtime_now() - t->still_since) / 1000);
	t->ops->won(t->ctx, row.term);
}

static void on_stand(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;

	t->is_busy = false;
	if (reply->status == BH_STORE_OK) {
		take_post(t, reply->version);
		return;
	}
	if (reply->status == BH_STORE_CONFLICT)
		learn(t, bh_store_row(reply, TABLE, KEY));
	t->stand_at = 0;
	t->looked_at = 0;
}

static void stand(bh_term_t *t)
{
	bh_store_tx_t *tx = bh_store_tx_new();

	t->stood_for = t->row.term + 1;
	t->is_predecessor_gone = t->is_gone || is_vacant(t);
	bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
	put_row(t, tx, t->stood_for, t->rt->settings->listen_frames);
	t->is_busy = true;
	t->sent_at = bh_runtime_now();
	bh_store_commit(t->store, tx, CALL_TIMEOUT_MS, on_stand, t);
}

static bh_term_verdict_t settle(bh_term_t *t, const bh_store_reply_t *reply)
{
	const bh_store_row_t *row;
	bh_leader_row_t found = {0};

	switch (reply->status) {
	case BH_STORE_OK:
		t->proven_at = t->sent_at;
		t->is_confirmed = true;
		if (t->has_put) {
			t->version = reply->version;
			t->renewed_at = t->sent_at;
			t->must_put = false;
		}
		return BH_TERM_STORED;
	case BH_STORE_CONFLICT:
		row = bh_store_row(reply, TABLE, KEY);
		if (row && bh_leader_row_unpack(row->value, row->len, &found) &&
		    found.term == t->row.term && is_mine(t, &found)) {
			t->version = row->version;
			bh_leader_row_clear(&found);
			return BH_TERM_AGAIN;
		}
		bh_leader_row_clear(&found);
		learn(t, row);
		return BH_TERM_LOST;
	case BH_STORE_UNKNOWN:
		/* It may come late; a changed row makes its condition fail, so
		 * that it cannot put old progress over newer. */
		t->is_unsure = true;
		t->must_put = true;
		return BH_TERM_AGAIN;
	default:
		return BH_TERM_AGAIN;
	}
}

static void on_commit(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;
	bh_term_cb_t cb = t->cb;
	bh_term_verdict_t verdict;

	t->is_busy = false;
	t->cb = NULL;
	verdict = t->is_leader ? settle(t, reply) : BH_TERM_LOST;
	if (cb)
		cb(t->user, verdict);
	if (t->is_resigning)
		bh_term_tick(t);
}

static void on_resigned(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;

	t->is_busy = false;
	t->is_resigned = true;
	bh_log_event(&t->rt->log, BH_LOG_INFO, "resigned", "outcome",
		     bh_store_status_name(reply->status), NULL);
	lose(t, "it stops");
}

static void tick_leader(bh_term_t *t, bh_usec_t now)
{
	bh_store_tx_t *tx;

	if (t->is_unsure) {
		if (now - t->looked_at > LOOK_EVERY_US)
			look(t);
		return;
	}
	if (t->is_busy)
		return;
	if (t->is_resigning && !t->is_resigned) {
		tx = bh_store_tx_new();
		bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
		put_row(t, tx, t->row.term, "");
		t->is_busy = true;
		bh_store_commit(t->store, tx, CALL_TIMEOUT_MS, on_resigned, t);
		return;
	}
	if (now - t->renewed_at >= RENEW_EVERY_US)
		bh_term_commit(t, bh_store_tx_new(), NULL, NULL);
}

static bh_usec_t patience(const bh_term_t *t)
{
	return t->is_answering && t->look_took > SLOW_LOOK_US
		       ? REPLACE_ALIVE_US
		       : REPLACE_AFTER_US;
}

static bool may_stand(bh_term_t *t, bh_usec_t now)
{
	if (!t->is_known || t->is_busy || t->is_resigning)
		return false;
	if (is_vacant(t))
		return true;
	if (!t->is_suspect)
		return false;
	return t->is_gone ||
	       now - MAX(t->still_since, t->doubt_since) > patience(t);
}

static void tick_follower(bh_term_t *t, bh_usec_t now)
{
	if ((!t->is_known || t->is_suspect ||
	     (t->row.address && !*t->row.address)) &&
	    now - t->looked_at > LOOK_EVERY_US)
		look(t);
	if (!may_stand(t, now)) {
		t->stand_at = 0;
		return;
	}
	if (!t->stand_at)
		t->stand_at = now + rank_delay(t);
	if (now >= t->stand_at)
		stand(t);
}

bh_term_t *bh_term_new(bh_runtime_t *rt, bh_store_t *store,
		       const bh_term_ops_t *ops, void *ctx)
{
	bh_term_t *t = g_new0(bh_term_t, 1);

	t->rt = rt;
	t->store = store;
	t->ops = ops;
	t->ctx = ctx;
	t->ticked_at = bh_runtime_now();
	look(t);
	return t;
}

void bh_term_free(bh_term_t *t)
{
	if (!t)
		return;
	bh_leader_row_clear(&t->row);
	g_free(t);
}

void bh_term_tick(bh_term_t *t)
{
	bh_usec_t now = bh_runtime_now();

	if (now - t->ticked_at > PAUSE_US) {
		t->is_confirmed = false;
		t->renewed_at = 0;
		bh_log_event(&t->rt->log, BH_LOG_WARN, "paused", NULL);
	}
	t->ticked_at = now;
	if (t->is_leader)
		tick_leader(t, now);
	else
		tick_follower(t, now);
}

bool bh_term_is_leader(const bh_term_t *t)
{
	return t->is_leader;
}

uint64_t bh_term_number(const bh_term_t *t)
{
	return t->row.term;
}

void bh_term_suspect(bh_term_t *t, bool is_gone)
{
	if (!t->is_suspect)
		t->doubt_since = bh_runtime_now();
	t->is_suspect = true;
	t->is_gone = is_gone;
	t->is_answering = false;
}

void bh_term_trust(bh_term_t *t, int64_t renewed_ago_ms)
{
	if (renewed_ago_ms < DOUBT_AFTER_MS) {
		t->is_suspect = false;
		t->is_gone = false;
	} else {
		bh_term_suspect(t, false);
		t->is_answering = true;
	}
}

void bh_term_heard(bh_term_t *t, uint64_t term)
{
	/* Whoever knows a later term has it from its leader. */
	if (term > t->row.term)
		t->is_confirmed = false;
	if (term > t->row.term &&
	    bh_runtime_now() - t->looked_at > LOOK_EVERY_US)
		look(t);
}

bool bh_term_can_commit(const bh_term_t *t)
{
	/* A busy leader that stops would commit on and on instead of resigning.
	 */
	return t->is_leader && !t->is_busy && !t->is_unsure && !t->is_resigning;
}

void bh_term_commit(bh_term_t *t, bh_store_tx_t *tx, bh_term_cb_t cb,
		    void *user)
{
	bh_usec_t now = bh_runtime_now();

	bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
	t->has_put = t->must_put || now - t->renewed_at >= RENEW_EVERY_US / 2;
	if (t->has_put)
		put_row(t, tx, t->row.term, t->rt->settings->listen_frames);
	t->is_busy = true;
	t->sent_at = now;
	t->cb = cb;
	t->user = user;
	bh_store_commit(t->store, tx, CALL_TIMEOUT_MS, on_commit, t);
}

void bh_term_forget(bh_term_t *t)
{
	t->cb = NULL;
}

int64_t bh_term_renewed_ago_ms(const bh_term_t *t)
{
	return (bh_runtime_now() - t->proven_at) / 1000;
}

int64_t bh_term_put_ago_ms(const bh_term_t *t)
{
	return (bh_runtime_now() - t->renewed_at) / 1000;
}

int64_t bh_term_predecessor_ms(const bh_term_t *t)
{
	return t->predecessor_ms;
}

bool bh_term_is_confirmed(const bh_term_t *t)
{
	return t->is_confirmed && !t->is_resigning;
}

void bh_term_resign(bh_term_t *t)
{
	t->is_resigning = true;
	bh_term_tick(t);
}
