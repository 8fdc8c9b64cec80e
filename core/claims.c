#include "core/claims.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

typedef enum bh_claim_phase {
	CLAIM_QUEUED,	     /* waiting for the next commit */
	CLAIM_IN_BATCH,	     /* in the commit in flight */
	CLAIM_WAITING,	     /* another request holds the key; polled */
	CLAIM_OWNED,	     /* holds the key; the request is in flight */
	CLAIM_SETTLE_QUEUED, /* outcome waiting for the next commit */
	CLAIM_SETTLE_BATCH,  /* outcome in the commit in flight */
} bh_claim_phase_t;

/**
 * struct bh_claim - the key of one request
 * @request: NULL once the request no longer waits for the claim
 * @is_delete: the next commit deletes the row
 * @is_unclear: an earlier commit of the claim may have taken effect
 * @is_reading: a read of the row is in flight
 */
typedef struct bh_claim {
	TAILQ_ENTRY(bh_claim) link;
	bh_claim_phase_t phase;
	bh_request_t *request;
	bh_claim_row_t row;
	bool is_delete;
	bool is_unclear;
	bool is_reading;
	bh_usec_t deadline;
	bh_usec_t poll_at;
	bh_usec_t poll_delay;
} bh_claim_t;

typedef TAILQ_HEAD(bh_claim_list, bh_claim) bh_claim_list_t;

struct bh_claims {
	const bh_claims_ops_t *ops;
	void *ctx;
	uint64_t incarnation;
	bh_usec_t interval;
	bh_claim_list_t queued;
	bh_claim_list_t batch;
	bh_claim_list_t waiting;
	bh_claim_list_t owned;
	GHashTable *active; /* row keys of all claims but the waiting ones */
	size_t n_pending;
	bool is_committing;
	bh_usec_t committed_at;
	bh_usec_t retry_at;
	bh_claims_counters_t counters;
};

static char *row_key(const bh_request_t *r)
{
	const char *key = bh_request_key(r);
	XXH128_hash_t h = XXH3_128bits(key, strlen(key));

	return g_strdup_printf("key/%s/%s/%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
			       bh_request_tenant(r), bh_request_service(r),
			       h.high64, h.low64);
}

static void set_answer(bh_claim_row_t *row, GBytes *answer)
{
	g_clear_pointer(&row->answer, g_bytes_unref);
	if (!answer)
		return;
	if (g_bytes_get_size(answer) <= BH_CLAIM_ANSWER_MAX_BYTES)
		row->answer = g_bytes_ref(answer);
	else if (row->state == BH_CLAIM_DONE)
		row->state = BH_CLAIM_DONE_UNKEPT;
}

static bh_claim_list_t *list_for_phase(bh_claims_t *c, bh_claim_phase_t phase)
{
	switch (phase) {
	case CLAIM_QUEUED:
	case CLAIM_SETTLE_QUEUED:
		return &c->queued;
	case CLAIM_IN_BATCH:
	case CLAIM_SETTLE_BATCH:
		return &c->batch;
	case CLAIM_WAITING:
		return &c->waiting;
	default:
		return &c->owned;
	}
}

static void set_phase(bh_claims_t *c, bh_claim_t *claim, bh_claim_phase_t phase)
{
	TAILQ_REMOVE(list_for_phase(c, claim->phase), claim, link);
	claim->phase = phase;
	TAILQ_INSERT_TAIL(list_for_phase(c, phase), claim, link);
}

static bool is_active(const bh_claim_t *claim)
{
	return claim->phase != CLAIM_WAITING;
}

static void claim_free(bh_claims_t *c, bh_claim_t *claim)
{
	TAILQ_REMOVE(list_for_phase(c, claim->phase), claim, link);
	if (is_active(claim))
		g_hash_table_remove(c->active, claim->row.key);
	g_clear_pointer(&claim->row.answer, g_bytes_unref);
	g_free(claim->row.key);
	g_free(claim);
	c->n_pending--;
}

/* Removes the claim and answers its request, which must not run. */
static void fail_claim(bh_claims_t *c, bh_claim_t *claim, bh_verdict_t verdict,
		       bh_reason_t reason)
{
	bh_result_t res = {
		.verdict = verdict,
		.reason = reason,
		.status = bh_reason_status(reason),
	};
	bh_request_t *request = claim->request;

	claim_free(c, claim);
	if (request)
		c->ops->claimed(c->ctx, request, &res);
}

static void replay(bh_claims_t *c, bh_claim_t *claim, const bh_claim_row_t *row)
{
	bh_result_t res = {
		.verdict = BH_RAN,
		.status = row->status,
		.body = row->answer,
	};
	bh_request_t *request = claim->request;

	c->counters.replayed++;
	claim_free(c, claim);
	c->ops->claimed(c->ctx, request, &res);
}

static void wait_for_holder(bh_claims_t *c, bh_claim_t *claim, bh_usec_t now)
{
	if (claim->phase != CLAIM_WAITING) {
		g_hash_table_remove(c->active, claim->row.key);
		set_phase(c, claim, CLAIM_WAITING);
		claim->poll_delay = BH_CLAIM_POLL_MIN_US;
	}
	claim->poll_at = now + claim->poll_delay;
	claim->poll_delay = MIN(claim->poll_delay * 2, BH_CLAIM_POLL_MAX_US);
}

/* Handles a row that another request with the same key has written. */
static void resolve_from_row(bh_claims_t *c, bh_claim_t *claim,
			     const bh_claim_row_t *row, bh_usec_t now)
{
	if (row->body_checksum != claim->row.body_checksum) {
		fail_claim(c, claim, BH_NOT_RUN, BH_REASON_KEY_REUSED);
		return;
	}
	switch (row->state) {
	case BH_CLAIM_DONE:
		replay(c, claim, row);
		break;
	case BH_CLAIM_DONE_UNKEPT:
		fail_claim(c, claim, BH_RAN, BH_REASON_ANSWER_UNKEPT);
		break;
	case BH_CLAIM_UNKNOWN:
		fail_claim(c, claim, BH_MAYBE_RUN, BH_REASON_KEY_UNKNOWN);
		break;
	case BH_CLAIM_HELD:
		if (now >= claim->deadline)
			fail_claim(c, claim, BH_MAYBE_RUN,
				   BH_REASON_KEY_IN_USE);
		else
			wait_for_holder(c, claim, now);
		break;
	}
}

static bool is_own_row(const bh_claims_t *c, const bh_claim_t *claim,
		       const bh_claim_row_t *row)
{
	return row->version && row->entry == c->incarnation &&
	       row->number == claim->row.number;
}

static void on_claim_won(bh_claims_t *c, bh_claim_t *claim, uint64_t version)
{
	claim->row.version = version;
	claim->is_unclear = false;
	if (claim->request) {
		set_phase(c, claim, CLAIM_OWNED);
		c->ops->claimed(c->ctx, claim->request, NULL);
		return;
	}
	/* The request has been refused in the meantime; release its key. */
	claim->is_delete = true;
	set_phase(c, claim, CLAIM_SETTLE_QUEUED);
}

static void finish_settle(bh_claims_t *c, bh_claim_t *claim)
{
	bh_request_t *request = claim->request;

	claim_free(c, claim);
	if (request)
		c->ops->settled(c->ctx, request);
}

static void on_row_written(bh_claims_t *c, bh_claim_t *claim, uint64_t version)
{
	if (claim->phase == CLAIM_IN_BATCH)
		on_claim_won(c, claim, version);
	else
		finish_settle(c, claim);
}

static void on_row_conflict(bh_claims_t *c, bh_claim_t *claim,
			    const bh_claim_row_t *row, bh_usec_t now)
{
	c->counters.conflicts++;
	if (claim->phase == CLAIM_SETTLE_BATCH)
		finish_settle(c, claim);
	else if (is_own_row(c, claim, row))
		on_claim_won(c, claim, row->version);
	else
		resolve_from_row(c, claim, row, now);
}

static const bh_claim_row_t *find_row(const bh_claim_row_t *rows, size_t n,
				      const char *key)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(rows[i].key, key) == 0)
			return &rows[i];
	}
	return NULL;
}

static void requeue_first(bh_claims_t *c, bh_claim_t *claim)
{
	TAILQ_REMOVE(&c->batch, claim, link);
	claim->phase = claim->phase == CLAIM_IN_BATCH ? CLAIM_QUEUED
						      : CLAIM_SETTLE_QUEUED;
	TAILQ_INSERT_HEAD(&c->queued, claim, link);
}

/* Resolves the rows in conflict; all others go into the next commit. */
static void on_conflict(bh_claims_t *c, const bh_claim_row_t *rows, size_t n,
			bh_usec_t now)
{
	bh_claim_t *claim;
	bh_claim_t *next;

	TAILQ_FOREACH_SAFE(claim, &c->batch, link, next) {
		const bh_claim_row_t *row = find_row(rows, n, claim->row.key);

		if (row)
			on_row_conflict(c, claim, row, now);
		else
			requeue_first(c, claim);
	}
}

/*
 * The commit was refused. If an earlier commit of the claim may have taken
 * effect, the claim stays queued without its request until a commit succeeds or
 * conflicts.
 */
static void refuse_claim(bh_claims_t *c, bh_claim_t *claim)
{
	bh_result_t res = {
		.verdict = BH_NOT_RUN,
		.reason = BH_REASON_STORE_UNAVAILABLE,
		.status = bh_reason_status(BH_REASON_STORE_UNAVAILABLE),
	};
	bh_request_t *request = claim->request;

	if (!claim->is_unclear) {
		fail_claim(c, claim, res.verdict, res.reason);
		return;
	}
	claim->request = NULL;
	requeue_first(c, claim);
	if (request)
		c->ops->claimed(c->ctx, request, &res);
}

static void on_refused(bh_claims_t *c, bh_usec_t now)
{
	bh_claim_t *claim;
	bh_claim_t *next;

	c->retry_at = now + BH_CLAIM_RETRY_DELAY_US;
	TAILQ_FOREACH_SAFE(claim, &c->batch, link, next) {
		if (claim->phase == CLAIM_IN_BATCH)
			refuse_claim(c, claim);
		else
			requeue_first(c, claim);
	}
}

/*
 * Sends the same rows again until the store answers. A claim that may have
 * taken effect cannot be withdrawn earlier.
 */
static void on_no_answer(bh_claims_t *c, bh_usec_t now)
{
	bh_claim_t *claim;
	bh_claim_t *next;

	c->counters.unclear++;
	c->retry_at = now + BH_CLAIM_RETRY_DELAY_US;
	TAILQ_FOREACH_SAFE(claim, &c->batch, link, next) {
		claim->is_unclear = true;
		requeue_first(c, claim);
	}
}

static void fill_write(const bh_claim_t *claim, bh_claim_write_t *w)
{
	w->row = claim->row;
	w->is_delete = claim->is_delete;
}

static void send_commit(bh_claims_t *c, bh_usec_t now)
{
	bh_claim_write_t writes[BH_CLAIMS_BATCH_MAX];
	bh_claim_t *claim;
	size_t n = 0;

	while (n < BH_CLAIMS_BATCH_MAX &&
	       (claim = TAILQ_FIRST(&c->queued)) != NULL) {
		set_phase(c, claim,
			  claim->phase == CLAIM_QUEUED ? CLAIM_IN_BATCH
						       : CLAIM_SETTLE_BATCH);
		fill_write(claim, &writes[n++]);
	}
	c->is_committing = true;
	c->committed_at = now;
	c->counters.commits++;
	c->counters.commit_rows += n;
	c->ops->commit(c->ctx, writes, n);
}

static void poll_waiting(bh_claims_t *c, bh_usec_t now)
{
	bh_claim_t *claim;
	bh_claim_t *next;

	TAILQ_FOREACH_SAFE(claim, &c->waiting, link, next) {
		if (now >= claim->deadline) {
			fail_claim(c, claim, BH_MAYBE_RUN,
				   BH_REASON_KEY_IN_USE);
		} else if (!claim->is_reading && now >= claim->poll_at) {
			claim->is_reading = true;
			c->ops->read(c->ctx, claim->row.key);
		}
	}
}

static void free_list(bh_claims_t *c, bh_claim_list_t *list)
{
	while (!TAILQ_EMPTY(list))
		claim_free(c, TAILQ_FIRST(list));
}

static bh_claim_t *find_owned(bh_claims_t *c, const bh_request_t *request)
{
	bh_claim_t *claim;

	TAILQ_FOREACH(claim, &c->owned, link) {
		if (claim->request == request)
			return claim;
	}
	return NULL;
}

static void enqueue_claim(bh_claims_t *c, bh_claim_t *claim)
{
	claim->phase = CLAIM_QUEUED;
	claim->row.version = 0;
	g_hash_table_add(c->active, claim->row.key);
	TAILQ_INSERT_TAIL(&c->queued, claim, link);
}

bh_claims_t *bh_claims_new(uint64_t incarnation, bh_usec_t interval,
			   const bh_claims_ops_t *ops, void *ctx)
{
	bh_claims_t *c = g_new0(bh_claims_t, 1);

	c->ops = ops;
	c->ctx = ctx;
	c->incarnation = incarnation;
	c->interval = interval;
	c->active = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&c->queued);
	TAILQ_INIT(&c->batch);
	TAILQ_INIT(&c->waiting);
	TAILQ_INIT(&c->owned);
	return c;
}

void bh_claims_free(bh_claims_t *c)
{
	free_list(c, &c->queued);
	free_list(c, &c->batch);
	free_list(c, &c->waiting);
	free_list(c, &c->owned);
	g_hash_table_destroy(c->active);
	g_free(c);
}

void bh_claims_claim(bh_claims_t *c, bh_request_t *request, bh_usec_t now)
{
	bh_claim_t *claim = g_new0(bh_claim_t, 1);

	c->counters.claims++;
	c->n_pending++;
	claim->request = request;
	claim->row.key = row_key(request);
	claim->row.entry = c->incarnation;
	claim->row.number = bh_request_number(request);
	claim->row.body_checksum = bh_body_checksum(bh_request_body(request));
	claim->deadline = bh_request_deadline(request);
	claim->poll_delay = BH_CLAIM_POLL_MIN_US;
	if (c->n_pending > BH_CLAIMS_PENDING_MAX) {
		enqueue_claim(c, claim);
		fail_claim(c, claim, BH_NOT_RUN, BH_REASON_STORE_UNAVAILABLE);
		return;
	}
	if (!g_hash_table_contains(c->active, claim->row.key)) {
		enqueue_claim(c, claim);
		return;
	}
	claim->phase = CLAIM_WAITING;
	claim->poll_at = now + claim->poll_delay;
	TAILQ_INSERT_TAIL(&c->waiting, claim, link);
}

void bh_claims_settle(bh_claims_t *c, bh_request_t *request,
		      const bh_result_t *result)
{
	bh_claim_t *claim = find_owned(c, request);

	if (!claim)
		return;
	claim->is_delete = result->verdict == BH_NOT_RUN;
	claim->row.state = result->verdict == BH_RAN && !result->reason
				   ? BH_CLAIM_DONE
				   : BH_CLAIM_UNKNOWN;
	claim->row.status = result->status;
	set_answer(&claim->row, result->body);
	set_phase(c, claim, CLAIM_SETTLE_QUEUED);
}

void bh_claims_committed(bh_claims_t *c, bh_claims_status_t status,
			 const bh_claim_row_t *rows, size_t n, uint64_t version,
			 bh_usec_t now)
{
	bh_claim_t *claim;

	if (!c->is_committing)
		return;
	c->is_committing = false;
	switch (status) {
	case BH_CLAIMS_OK:
		while ((claim = TAILQ_FIRST(&c->batch)) != NULL)
			on_row_written(c, claim, version);
		break;
	case BH_CLAIMS_CONFLICT:
		on_conflict(c, rows, n, now);
		break;
	case BH_CLAIMS_REFUSED:
		on_refused(c, now);
		break;
	case BH_CLAIMS_NO_ANSWER:
		on_no_answer(c, now);
		break;
	}
}

void bh_claims_read(bh_claims_t *c, const char *key, const bh_claim_row_t *row,
		    bh_usec_t now)
{
	bh_claim_t *claim;
	bh_claim_t *next;

	TAILQ_FOREACH_SAFE(claim, &c->waiting, link, next) {
		if (strcmp(claim->row.key, key) != 0 || !claim->is_reading)
			continue;
		claim->is_reading = false;
		if (!row || g_hash_table_contains(c->active, key)) {
			wait_for_holder(c, claim, now);
		} else if (row->version) {
			resolve_from_row(c, claim, row, now);
		} else {
			TAILQ_REMOVE(&c->waiting, claim, link);
			enqueue_claim(c, claim);
		}
	}
}

void bh_claims_tick(bh_claims_t *c, bh_usec_t now)
{
	poll_waiting(c, now);
	if (!c->is_committing && !TAILQ_EMPTY(&c->queued) &&
	    now >= c->retry_at && now - c->committed_at >= c->interval)
		send_commit(c, now);
}

size_t bh_claims_pending(const bh_claims_t *c)
{
	return c->n_pending;
}

const bh_claims_counters_t *bh_claims_counters(const bh_claims_t *c)
{
	return &c->counters;
}
