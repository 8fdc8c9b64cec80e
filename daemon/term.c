#include "daemon/term.h"
#include "daemon/tables.h"
#include "platform/address.h"
#include "sched/fence.h"
#include "sched/grants.h"

#define TABLE BH_TABLE_LEADER
#define KEY   BH_KEY_LEADER
#define PART  ""

/* Interval of renewals; more than two fit into LEADER_TIMEOUT_US. */
#define RENEW_INTERVAL_US (500 * BH_USEC_PER_MS)

/* A leader that has not renewed its row for this long may be replaced. Longer
 * than two renewal intervals, so that one refused renewal costs no term. */
#define LEADER_TIMEOUT_US (1300 * BH_USEC_PER_MS)

/* Timeout for a leader that responds but does not renew, while this host's own
 * reads of the row are slow too: the store is probably slow for every host, and
 * a new leader would fare no better. */
#define RESPONSIVE_LEADER_TIMEOUT_US (2500 * BH_USEC_PER_MS)

/* A read of the row that takes longer shows that the store is slow for all. */
#define SLOW_READ_US (150 * BH_USEC_PER_MS)

/* Minimum time between two reads of the row while its state is in doubt. */
#define READ_INTERVAL_US (300 * BH_USEC_PER_MS)

/* A leader is suspect when the store has not confirmed it for this long. */
#define SUSPECT_AFTER_MS 900

/* Longer than the store takes when it is slow. The outcome of a write that
 * exceeds it is unknown and is resolved by reading the row. */
#define STORE_TIMEOUT_MS 1500

/* Ticks come every 100 ms; a longer gap means that the process was paused. */
#define PAUSE_THRESHOLD_US (1000 * BH_USEC_PER_MS)

/* Fencing tokens hold the term. */
#define TERM_MAX BH_FENCE_TERM_MAX

/* Attempt numbers, which grow with the term, exceed 32 bits soon after. */
#define SEEN_TERM_MAX 1000000u

/* Delay before a campaign. It grows as the processor share falls below one
 * half, so that entries with more processor time are elected first. */
#define CAMPAIGN_DELAY_MAX_US (250 * BH_USEC_PER_MS)
#define CAMPAIGN_JITTER_US    (60 * BH_USEC_PER_MS)

/**
 * struct bh_term - the election as seen by one entry
 * @row: the leader's row as last read or written
 * @version: version of the row in the store
 * @is_write_unclear: the outcome of the last write is unknown
 * @is_confirmed: the store confirmed this leader since the last pause
 * @is_suspect: the leader does not respond, or does not renew its row
 * @doubt: why, as last reported
 * @is_responsive: the suspect leader responds, but does not renew its row
 * @suspect_since: when the leader became suspect
 * @unchanged_since: when the row was first seen at @version
 * @campaign_at: when to campaign; 0: not planned
 * @read_at: when the last read of the row was sent
 * @sent_at: when the last write was sent
 * @confirmed_at: when the last transaction that succeeded was sent
 * @row_written_at: when the last write of the row that succeeded was sent
 * @has_row_write: the transaction in flight writes the row
 * @must_write_row: the next transaction has to write the row
 * @campaign_term: term that the last campaign asked for
 * @is_row_odd: another writer's row is in the place of the leader's, so that
 *	neither the last term nor who leads is known
 * @seen_term: the latest term that others have reported
 * @is_predecessor_gone: the previous leader can grant no more leases
 * @predecessor: its address, while it may; else NULL
 * @earlier_grants_until: by then the leaders before the one that the row names
 *	can grant no more leases
 * @before_predecessor_until: the same for those before the predecessor
 */
struct bh_term {
	bh_runtime_t *rt;
	bh_store_t *store;
	const bh_term_ops_t *ops;
	void *ctx;
	bh_leader_row_t row;
	uint64_t version;
	bool is_row_known;
	bool is_leader;
	bool is_writing;
	bool is_reading;
	bool is_write_unclear;
	bool is_resigning;
	bool is_resigned;
	bool is_confirmed;
	bool is_suspect;
	bh_term_doubt_t doubt;
	bool is_responsive;
	bh_usec_t suspect_since;
	bh_usec_t unchanged_since;
	bh_usec_t campaign_at;
	bh_usec_t read_at;
	bh_usec_t read_duration;
	bh_usec_t sent_at;
	bh_usec_t confirmed_at;
	bh_usec_t row_written_at;
	bh_usec_t ticked_at;
	bool has_row_write;
	bool must_write_row;
	uint64_t campaign_term;
	bool is_row_odd;
	uint64_t seen_term;
	bool is_predecessor_gone;
	char *predecessor;
	int64_t predecessor_grant_ms;
	bh_usec_t earlier_grants_until;
	bh_usec_t before_predecessor_until;
	bh_term_cb_t cb;
	void *user;
};

static bh_usec_t campaign_delay(const bh_term_t *t)
{
	double share = t->rt->settings->processor_share;
	double shortfall = 1 - MIN(share * 2, 1);

	return (bh_usec_t)(shortfall * CAMPAIGN_DELAY_MAX_US) +
	       g_random_int_range(0, CAMPAIGN_JITTER_US);
}

static bool is_own_row(const bh_term_t *t, const bh_leader_row_t *row)
{
	return g_strcmp0(row->name, t->rt->settings->name) == 0 &&
	       g_strcmp0(row->address, t->rt->settings->listen_frames) == 0;
}

/* Whether no process leads: none has been elected yet, the last leader
 * resigned, or the row names an earlier run of this process. */
static bool is_vacant(const bh_term_t *t)
{
	return !t->row.address || !*t->row.address || is_own_row(t, &t->row);
}

static void step_down(bh_term_t *t, const char *why)
{
	if (!t->is_leader)
		return;
	t->is_leader = false;
	t->ops->lost(t->ctx, why);
}

static void trust_leader(bh_term_t *t)
{
	t->is_suspect = false;
	t->doubt = BH_TERM_SILENT;
}

static void replace_row(bh_term_t *t, bh_leader_row_t *next)
{
	bh_leader_row_clear(&t->row);
	t->row = *next;
	trust_leader(t);
	t->campaign_at = 0;
}

/* Whether the process that the row names can grant no more leases. */
static bool is_leader_gone(const bh_term_t *t)
{
	return t->doubt == BH_TERM_ENDED || (is_vacant(t) && !t->is_row_odd);
}

/* A leader that has been replaced may grant leases for some time, whatever
 * becomes of its successor. Leaders between two rows are not known, nor the one
 * before the first row that a process reads. */
static void note_replaced(bh_term_t *t, bool was_gone, uint64_t next_term)
{
	if (t->is_row_known && was_gone && next_term <= t->row.term + 1)
		return;
	/* The same leader has resigned. */
	if (t->is_row_known && next_term == t->row.term && !t->is_row_odd)
		return;
	t->earlier_grants_until = bh_grants_over_at(bh_runtime_now());
}

bool bh_term_row_is_usable(const bh_leader_row_t *row)
{
	return row->term <= TERM_MAX &&
	       (!*row->address || bh_address_is_valid(row->address));
}

/* Another writer's row names no leader. The known term still holds, since
 * workers refuse lower ones. */
static void decode_row(bh_term_t *t, const bh_store_row_t *row,
		       bh_leader_row_t *out)
{
	t->is_row_odd = !bh_leader_row_unpack(row->value, row->len, out) ||
			!bh_term_row_is_usable(out);
	if (!t->is_row_odd)
		return;
	bh_log_event(&t->rt->log, BH_LOG_ERROR, "cannot decode the leader row",
		     NULL);
	bh_leader_row_clear(out);
	out->term = t->row.term;
}

/* Adopts the row as the store has it now. */
static void update_row(bh_term_t *t, const bh_store_row_t *row)
{
	bh_leader_row_t next = {0};
	bool is_changed;
	bool was_gone = is_leader_gone(t);
	uint64_t led = t->is_leader ? t->row.term : 0;

	if (row)
		decode_row(t, row, &next);
	is_changed = !t->is_row_known || next.term != t->row.term ||
		     g_strcmp0(next.address, t->row.address) != 0;
	if (!t->is_row_known || (row ? row->version : 0) != t->version)
		t->unchanged_since = bh_runtime_now();
	if (is_changed && row)
		note_replaced(t, was_gone, next.term);
	t->version = row ? row->version : 0;
	t->is_row_known = true;
	if (!is_changed) {
		bh_leader_row_clear(&next);
		return;
	}
	replace_row(t, &next);
	if (!is_own_row(t, &t->row))
		step_down(t, "another process leads");
	else if (led && led != t->row.term)
		step_down(t, "the store holds another term");
	if (!t->is_leader)
		t->ops->changed(t->ctx, &t->row);
}

static void tick_follower(bh_term_t *t, bh_usec_t now);

static void on_read(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;
	const bh_store_row_t *row = bh_store_row(reply, TABLE, KEY);
	bh_leader_row_t found = {0};

	t->is_reading = false;
	t->read_duration = bh_runtime_now() - t->read_at;
	if (reply->status != BH_STORE_OK)
		return;
	if (t->is_leader && row &&
	    bh_leader_row_unpack(row->value, row->len, &found) &&
	    found.term == t->row.term && is_own_row(t, &found)) {
		t->version = row->version;
		t->is_write_unclear = false;
	} else {
		t->is_write_unclear = false;
		update_row(t, row);
	}
	bh_leader_row_clear(&found);
	/* The delay of a campaign counts from the read that allows it. */
	if (!t->is_leader)
		tick_follower(t, bh_runtime_now());
}

static void read_row(bh_term_t *t)
{
	if (t->is_reading)
		return;
	t->is_reading = true;
	t->read_at = bh_runtime_now();
	bh_store_list(t->store, TABLE, PART, KEY, 1, STORE_TIMEOUT_MS, on_read,
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

static void update_predecessor_grant(bh_term_t *t)
{
	t->predecessor_grant_ms =
		MAX(t->earlier_grants_until - bh_runtime_now() + 999, 0) /
		BH_USEC_PER_MS;
}

/* A read may have returned the new row before the write was acknowledged, so
 * the term is taken from the campaign and not counted up from the known row. */
static void become_leader(bh_term_t *t, uint64_t version)
{
	bh_leader_row_t row = {
		.term = t->campaign_term,
		.address = g_strdup(t->rt->settings->listen_frames),
		.name = g_strdup(t->rt->settings->name),
	};

	bh_leader_row_clear(&t->row);
	t->row = row;
	t->version = version;
	t->is_leader = true;
	t->is_confirmed = true;
	t->is_write_unclear = false;
	t->must_write_row = false;
	if (t->seen_term > 0 && row.term > t->seen_term)
		t->is_row_odd = false;
	t->confirmed_at = t->sent_at;
	t->row_written_at = t->sent_at;
	t->before_predecessor_until = t->earlier_grants_until;
	if (!t->is_predecessor_gone)
		t->earlier_grants_until =
			MAX(t->earlier_grants_until,
			    bh_grants_over_at(t->unchanged_since));
	update_predecessor_grant(t);
	t->ops->won(t->ctx, row.term);
}

static void on_campaign_reply(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;

	t->is_writing = false;
	if (reply->status == BH_STORE_OK && t->row.term <= t->campaign_term) {
		become_leader(t, reply->version);
		return;
	}
	if (reply->status == BH_STORE_CONFLICT)
		update_row(t, bh_store_row(reply, TABLE, KEY));
	t->campaign_at = 0;
	t->read_at = 0;
}

static void campaign(bh_term_t *t)
{
	bh_store_tx_t *tx = bh_store_tx_new();

	t->campaign_term = MAX(t->row.term, t->seen_term) + 1;
	t->is_predecessor_gone = is_leader_gone(t);
	g_free(t->predecessor);
	t->predecessor =
		t->is_predecessor_gone ? NULL : g_strdup(t->row.address);
	bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
	put_row(t, tx, t->campaign_term, t->rt->settings->listen_frames);
	t->is_writing = true;
	t->sent_at = bh_runtime_now();
	bh_store_commit(t->store, tx, STORE_TIMEOUT_MS, on_campaign_reply, t);
}

/* A store that is away or busy is logged by those who follow its tables. */
static void log_refused(const bh_term_t *t, const bh_store_reply_t *reply)
{
	g_autofree char *code = g_strdup_printf("%u", reply->code);

	if (reply->code && reply->code != 429 && reply->code != 503)
		bh_log_event(&t->rt->log, BH_LOG_ERROR, "commit refused",
			     "status", code, NULL);
}

static bh_term_commit_result_t
handle_commit_reply(bh_term_t *t, const bh_store_reply_t *reply)
{
	const bh_store_row_t *row;
	bh_leader_row_t found = {0};

	switch (reply->status) {
	case BH_STORE_OK:
		t->confirmed_at = t->sent_at;
		t->is_confirmed = true;
		if (t->has_row_write) {
			t->version = reply->version;
			t->row_written_at = t->sent_at;
			t->must_write_row = false;
		}
		return BH_TERM_STORED;
	case BH_STORE_CONFLICT:
		row = bh_store_row(reply, TABLE, KEY);
		if (row && bh_leader_row_unpack(row->value, row->len, &found) &&
		    found.term == t->row.term && is_own_row(t, &found)) {
			t->version = row->version;
			bh_leader_row_clear(&found);
			return BH_TERM_RETRY;
		}
		bh_leader_row_clear(&found);
		update_row(t, row);
		return BH_TERM_LOST;
	case BH_STORE_UNKNOWN:
		/* The transaction may still be applied late. Writing the row
		 * next changes its version, so that the precondition of the
		 * late one fails and it cannot overwrite newer progress. */
		t->is_write_unclear = true;
		t->must_write_row = true;
		return BH_TERM_RETRY;
	default:
		log_refused(t, reply);
		return BH_TERM_RETRY;
	}
}

static void on_commit(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;
	bh_term_cb_t cb = t->cb;
	bh_term_commit_result_t result;

	t->is_writing = false;
	t->cb = NULL;
	result = t->is_leader ? handle_commit_reply(t, reply) : BH_TERM_LOST;
	if (cb)
		cb(t->user, result);
	if (t->is_resigning)
		bh_term_tick(t);
}

static void on_resigned(void *user, const bh_store_reply_t *reply)
{
	bh_term_t *t = user;

	t->is_writing = false;
	t->is_resigned = true;
	bh_log_event(&t->rt->log, BH_LOG_INFO, "resigned", "outcome",
		     bh_store_status_name(reply->status), NULL);
	step_down(t, "shutting down");
}

static void tick_leader(bh_term_t *t, bh_usec_t now)
{
	bh_store_tx_t *tx;

	/* Agents refuse a term that began again after an odd row. */
	if (t->is_row_odd && t->seen_term > t->row.term) {
		step_down(t, "others have seen a later term");
		return;
	}
	if (t->is_write_unclear) {
		if (now - t->read_at > READ_INTERVAL_US)
			read_row(t);
		return;
	}
	if (t->is_writing)
		return;
	if (t->is_resigning && !t->is_resigned) {
		tx = bh_store_tx_new();
		bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
		put_row(t, tx, t->row.term, "");
		t->is_writing = true;
		bh_store_commit(t->store, tx, STORE_TIMEOUT_MS, on_resigned, t);
		return;
	}
	if (now - t->row_written_at >= RENEW_INTERVAL_US)
		bh_term_commit(t, bh_store_tx_new(), NULL, NULL);
}

static bh_usec_t leader_timeout(const bh_term_t *t)
{
	return t->is_responsive && t->read_duration > SLOW_READ_US
		       ? RESPONSIVE_LEADER_TIMEOUT_US
		       : LEADER_TIMEOUT_US;
}

static bool may_campaign(bh_term_t *t, bh_usec_t now)
{
	if (!t->is_row_known || t->is_writing || t->is_resigning)
		return false;
	if (is_vacant(t))
		return true;
	if (!t->is_suspect)
		return false;
	return t->doubt != BH_TERM_SILENT ||
	       now - MAX(t->unchanged_since, t->suspect_since) >
		       leader_timeout(t);
}

static void tick_follower(bh_term_t *t, bh_usec_t now)
{
	if ((!t->is_row_known || t->is_suspect ||
	     (t->row.address && !*t->row.address)) &&
	    now - t->read_at > READ_INTERVAL_US)
		read_row(t);
	if (!may_campaign(t, now)) {
		t->campaign_at = 0;
		return;
	}
	if (!t->campaign_at)
		t->campaign_at = now + campaign_delay(t);
	if (now >= t->campaign_at)
		campaign(t);
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
	read_row(t);
	return t;
}

void bh_term_free(bh_term_t *t)
{
	if (!t)
		return;
	bh_leader_row_clear(&t->row);
	g_free(t->predecessor);
	g_free(t);
}

void bh_term_tick(bh_term_t *t)
{
	bh_usec_t now = bh_runtime_now();

	if (now - t->ticked_at > PAUSE_THRESHOLD_US) {
		t->is_confirmed = false;
		t->row_written_at = 0;
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

void bh_term_suspect(bh_term_t *t, bh_term_doubt_t why)
{
	if (!t->is_suspect)
		t->suspect_since = bh_runtime_now();
	t->is_suspect = true;
	if (t->doubt != BH_TERM_ENDED)
		t->doubt = why;
	t->is_responsive = false;
}

void bh_term_note_leader_ping(bh_term_t *t, int64_t renewed_ago_ms)
{
	if (renewed_ago_ms < SUSPECT_AFTER_MS) {
		trust_leader(t);
	} else {
		bh_term_suspect(t, BH_TERM_SILENT);
		t->is_responsive = true;
	}
}

bool bh_term_note_follower(bh_term_t *t, const char *address)
{
	if (!t->is_leader || g_strcmp0(t->predecessor, address) != 0)
		return false;
	g_clear_pointer(&t->predecessor, g_free);
	t->earlier_grants_until = t->before_predecessor_until;
	update_predecessor_grant(t);
	return true;
}

void bh_term_observe(bh_term_t *t, uint64_t term)
{
	if (term > TERM_MAX)
		return;
	if (term <= SEEN_TERM_MAX)
		t->seen_term = MAX(t->seen_term, term);
	/* A later term means that another process has won an election. */
	if (term > t->row.term)
		t->is_confirmed = false;
	if (term > t->row.term &&
	    bh_runtime_now() - t->read_at > READ_INTERVAL_US)
		read_row(t);
}

const bh_leader_row_t *bh_term_row(const bh_term_t *t)
{
	return &t->row;
}

bool bh_term_is_vacant(const bh_term_t *t)
{
	return t->is_row_known && !t->is_leader && !t->is_row_odd &&
	       is_vacant(t);
}

void bh_term_adopt(bh_term_t *t, const bh_leader_row_t *row)
{
	bh_leader_row_t next = {
		.term = row->term,
		.address = g_strdup(row->address),
		.name = g_strdup(row->name),
	};

	if (row->term <= t->row.term || !*row->address ||
	    !bh_term_row_is_usable(row) || is_own_row(t, row)) {
		bh_leader_row_clear(&next);
		return;
	}
	t->unchanged_since = bh_runtime_now();
	note_replaced(t, is_leader_gone(t), next.term);
	replace_row(t, &next);
	step_down(t, "another entry knows a later leader");
	t->ops->changed(t->ctx, &t->row);
}

bool bh_term_can_commit(const bh_term_t *t)
{
	/* Once resigning, a leader under constant load would otherwise keep
	 * committing and never resign. */
	return t->is_leader && !t->is_writing && !t->is_write_unclear &&
	       !t->is_resigning;
}

void bh_term_commit(bh_term_t *t, bh_store_tx_t *tx, bh_term_cb_t cb,
		    void *user)
{
	bh_usec_t now = bh_runtime_now();

	bh_store_tx_check(tx, TABLE, PART, KEY, t->version);
	t->has_row_write = t->must_write_row ||
			   now - t->row_written_at >= RENEW_INTERVAL_US / 2;
	if (t->has_row_write)
		put_row(t, tx, t->row.term, t->rt->settings->listen_frames);
	t->is_writing = true;
	t->sent_at = now;
	t->cb = cb;
	t->user = user;
	bh_store_commit(t->store, tx, STORE_TIMEOUT_MS, on_commit, t);
}

void bh_term_cancel_callback(bh_term_t *t)
{
	t->cb = NULL;
}

bh_usec_t bh_term_confirmed_at(const bh_term_t *t)
{
	return t->confirmed_at;
}

int64_t bh_term_confirmed_ago_ms(const bh_term_t *t)
{
	return (bh_runtime_now() - t->confirmed_at) / 1000;
}

int64_t bh_term_row_written_ago_ms(const bh_term_t *t)
{
	return (bh_runtime_now() - t->row_written_at) / 1000;
}

int64_t bh_term_predecessor_grant_ms(const bh_term_t *t)
{
	return t->predecessor_grant_ms;
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
