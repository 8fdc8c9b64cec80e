#include "core/cell_impl.h"

static bh_usec_t jittered(bh_cell_t *c, bh_usec_t span)
{
	return (bh_usec_t)((double)span *
			   g_rand_double_range(c->rand, 0.75, 1.25));
}

void cell_follow(bh_cell_t *c, bh_usec_t now)
{
	c->role = BH_CELL_FOLLOWER;
	c->read_at = now + jittered(c, c->config.term_us / RENEW_SHARE);
	c->is_reading = false;
	c->is_resigning = false;
	cell_forget_all(c);
}

void cell_fill_row(const bh_task_t *t, bh_task_row_t *row)
{
	static const bh_task_state_t states[] = {
		[PHASE_PENDING] = BH_TASK_PENDING,
		[PHASE_PLACING] = BH_TASK_STARTING,
		[PHASE_PLACED] = BH_TASK_STARTING,
		[PHASE_RUNNING] = BH_TASK_RUNNING,
		[PHASE_STOPPING] = BH_TASK_RUNNING,
		[PHASE_ENDING] = BH_TASK_DONE,
		[PHASE_ENDED] = BH_TASK_DONE,
	};

	memset(row, 0, sizeof(*row));
	row->id = t->id;
	row->state = states[t->phase];
	row->epoch = t->epoch;
	row->worker = t->member ? t->member->name : "";
	row->outcome = t->outcome;
	row->reason = t->reason ? t->reason : "";
	row->progress_ms = t->progress_ms;
	row->done_unix_ms = t->done_unix_ms;
	row->evictions = t->evictions;
}

void cell_fill_batch(bh_cell_t *c)
{
	bh_task_t *t;

	while (c->rows->len < BH_JOURNAL_ROWS_MAX &&
	       (t = TAILQ_FIRST(&c->dirty)) != NULL) {
		bh_task_row_t row;

		TAILQ_REMOVE(&c->dirty, t, in_dirty);
		t->is_dirty = false;
		t->is_in_batch = true;
		cell_fill_row(t, &row);
		g_array_append_val(c->rows, row);
		g_ptr_array_add(c->batch, t);
	}
}

static uint64_t new_nonce(bh_cell_t *c)
{
	return (uint64_t)g_rand_int(c->rand) << 32 | g_rand_int(c->rand);
}

void cell_send_commit(bh_cell_t *c, uint64_t term, bh_usec_t now)
{
	bh_cell_commit_t commit = {
		.version = c->version,
		.term = term,
		.nonce = new_nonce(c),
		.is_resigning = c->is_resigning,
		.n_rows = c->rows->len,
		.rows = (bh_task_row_t *)(void *)c->rows->data,
	};

	c->tries[c->n_tries++ % NONCES_MAX] = (bh_try_t){commit.nonce, now};
	c->commit_sent_at = now;
	c->commit_state = COMMIT_IN_FLIGHT;
	c->counters.commits++;
	c->counters.commit_rows += commit.n_rows;
	c->ops->commit(c->ctx, &commit);
}

static const bh_try_t *find_try(const bh_cell_t *c, uint64_t nonce)
{
	for (uint32_t i = 0; i < MIN(c->n_tries, NONCES_MAX); i++) {
		if (c->tries[i].nonce == nonce)
			return &c->tries[i];
	}
	return NULL;
}

static void journalled(bh_cell_t *c, bh_task_t *t)
{
	t->is_in_batch = false;
	if (t->is_dirty)
		return;
	if (t->phase == PHASE_PLACING) {
		cell_set_phase(t, PHASE_PLACED);
		t->member->needs_push = true;
	} else if (t->phase == PHASE_ENDING) {
		cell_set_phase(t, PHASE_ENDED);
		c->counters.outcomes[t->outcome]++;
	}
}

static void batch_done(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		       bh_usec_t now)
{
	c->version = version;
	c->commit_state = COMMIT_IDLE;
	c->committed_at = now;
	c->valid_until = sent_at + c->config.term_us;
	c->n_tries = 0;
	for (guint i = 0; i < c->batch->len; i++)
		journalled(c, g_ptr_array_index(c->batch, i));
	g_ptr_array_set_size(c->batch, 0);
	g_array_set_size(c->rows, 0);
	if (c->role == BH_CELL_LEADING && now < c->valid_until)
		cell_push_starts(c, now);
}

static void won(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		bh_usec_t now)
{
	c->term++;
	c->counters.terms++;
	c->role = BH_CELL_LOADING;
	batch_done(c, version, sent_at, now);
	c->ops->load(c->ctx);
}

static void commit_ok(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		      bh_usec_t now)
{
	if (c->is_resigning) {
		c->is_retired = true;
		cell_follow(c, now);
	} else if (c->role == BH_CELL_ACQUIRING) {
		won(c, version, sent_at, now);
	} else {
		batch_done(c, version, sent_at, now);
	}
}

void cell_read_row(bh_cell_t *c)
{
	c->is_reading = true;
	c->ops->read(c->ctx);
}

/* The row tells whether the commit of unclear outcome took effect. */
static void resolve_commit(bh_cell_t *c, const bh_cell_row_t *row,
			   bh_usec_t now)
{
	const bh_try_t *landed = row ? find_try(c, row->nonce) : NULL;

	if (!row) {
		c->commit_state = COMMIT_UNCLEAR;
		c->retry_at = now + RETRY_US;
	} else if (row->version && landed) {
		commit_ok(c, row->version, landed->sent_at, now);
	} else if (row->version != c->version) {
		c->counters.conflicts++;
		cell_follow(c, now);
	} else {
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + jittered(c, RETRY_US);
	}
}

static bool is_leaderless(const bh_cell_t *c, const bh_cell_row_t *row,
			  bh_usec_t now)
{
	return row->version == 0 || !row->holder || !*row->holder ||
	       now - c->seen_at >= cell_with_drift(c->config.term_us);
}

static void consider_leading(bh_cell_t *c, const bh_cell_row_t *row,
			     bh_usec_t now)
{
	if (row->version != c->seen_version || c->seen_at == 0) {
		c->seen_version = row->version;
		c->seen_at = now;
	}
	if (!is_leaderless(c, row, now))
		return;
	c->role = BH_CELL_ACQUIRING;
	c->version = row->version;
	c->term = row->term;
	c->n_tries = 0;
	cell_send_commit(c, row->term + 1, now);
}

void cell_continue_commit(bh_cell_t *c, bh_usec_t now)
{
	if (now < c->retry_at)
		return;
	if (c->commit_state == COMMIT_UNCLEAR) {
		c->commit_state = COMMIT_READING;
		cell_read_row(c);
	} else if (c->commit_state == COMMIT_RETRY) {
		cell_send_commit(
			c, c->role == BH_CELL_ACQUIRING ? c->term + 1 : c->term,
			now);
	}
}

bool cell_is_commit_due(const bh_cell_t *c, bh_usec_t now)
{
	if (c->is_resigning)
		return true;
	if (now - c->committed_at >= c->config.term_us / RENEW_SHARE)
		return true;
	return !TAILQ_EMPTY(&c->dirty) &&
	       now - c->commit_sent_at >= c->config.journal_us;
}

void bh_cell_row_read(bh_cell_t *c, const bh_cell_row_t *row, bh_usec_t now)
{
	if (!c->is_reading)
		return;
	c->is_reading = false;
	if (c->role != BH_CELL_FOLLOWER) {
		if (c->commit_state == COMMIT_READING)
			resolve_commit(c, row, now);
		return;
	}
	c->read_at = now + jittered(c, c->config.term_us / RENEW_SHARE);
	if (row && !c->is_retired)
		consider_leading(c, row, now);
}

void bh_cell_committed(bh_cell_t *c, uint64_t nonce, bh_commit_status_t status,
		       uint64_t version, bh_usec_t now)
{
	if (c->commit_state != COMMIT_IN_FLIGHT || c->n_tries == 0 ||
	    c->tries[(c->n_tries - 1) % NONCES_MAX].nonce != nonce)
		return;
	switch (status) {
	case BH_COMMIT_OK:
		commit_ok(c, version, c->commit_sent_at, now);
		break;
	case BH_COMMIT_REFUSED:
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + jittered(c, RETRY_US);
		break;
	case BH_COMMIT_UNKNOWN:
	case BH_COMMIT_CONFLICT:
		c->counters.unclear_commits += status == BH_COMMIT_UNKNOWN;
		c->commit_state = COMMIT_UNCLEAR;
		c->retry_at = now;
		cell_continue_commit(c, now);
		break;
	}
}

void bh_cell_heard(bh_cell_t *c, bh_usec_t now)
{
	if (c->role != BH_CELL_FOLLOWER)
		return;
	c->read_at = now + jittered(c, c->config.term_us);
	c->seen_at = 0;
}

void bh_cell_resign(bh_cell_t *c)
{
	if (c->role >= BH_CELL_LOADING)
		c->is_resigning = true;
	else
		c->is_retired = true;
}
