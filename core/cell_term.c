#include "core/cell_impl.h"

static bh_usec_t add_jitter(bh_cell_t *c, bh_usec_t span)
{
	return (bh_usec_t)((double)span *
			   g_rand_double_range(c->rand, 0.75, 1.25));
}

void cell_step_down(bh_cell_t *c, bh_usec_t now)
{
	c->role = BH_CELL_FOLLOWER;
	c->next_read_at =
		now + add_jitter(c, c->config.term_us / RENEWALS_PER_TERM);
	c->is_reading = false;
	c->is_resigning = false;
	cell_clear(c);
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

	c->attempts[c->n_attempts++ % COMMIT_ATTEMPTS_MAX] =
		(bh_commit_attempt_t){commit.nonce, now};
	c->commit_sent_at = now;
	c->commit_state = COMMIT_IN_FLIGHT;
	c->counters.commits++;
	c->counters.commit_rows += commit.n_rows;
	c->ops->commit(c->ctx, &commit);
}

static const bh_commit_attempt_t *find_attempt(const bh_cell_t *c,
					       uint64_t nonce)
{
	for (uint32_t i = 0; i < MIN(c->n_attempts, COMMIT_ATTEMPTS_MAX); i++) {
		if (c->attempts[i].nonce == nonce)
			return &c->attempts[i];
	}
	return NULL;
}

static void on_task_journalled(bh_cell_t *c, bh_task_t *t)
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

static void finish_commit(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
			  bh_usec_t now)
{
	c->version = version;
	c->commit_state = COMMIT_IDLE;
	c->committed_at = now;
	c->valid_until = sent_at + c->config.term_us;
	c->n_attempts = 0;
	for (guint i = 0; i < c->batch->len; i++)
		on_task_journalled(c, g_ptr_array_index(c->batch, i));
	g_ptr_array_set_size(c->batch, 0);
	g_array_set_size(c->rows, 0);
	if (c->role == BH_CELL_LEADING && now < c->valid_until)
		cell_push_starts(c, now);
}

static void become_leader(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
			  bh_usec_t now)
{
	c->term++;
	c->counters.terms++;
	c->role = BH_CELL_LOADING;
	finish_commit(c, version, sent_at, now);
	c->ops->load(c->ctx);
}

static void commit_ok(bh_cell_t *c, uint64_t version, bh_usec_t sent_at,
		      bh_usec_t now)
{
	if (c->is_resigning) {
		c->is_retired = true;
		cell_step_down(c, now);
	} else if (c->role == BH_CELL_ACQUIRING) {
		become_leader(c, version, sent_at, now);
	} else {
		finish_commit(c, version, sent_at, now);
	}
}

void cell_read_row(bh_cell_t *c)
{
	c->is_reading = true;
	c->ops->read(c->ctx);
}

/* The nonce in the row shows whether the commit was applied. */
static void resolve_commit(bh_cell_t *c, const bh_cell_row_t *row,
			   bh_usec_t now)
{
	const bh_commit_attempt_t *applied =
		row ? find_attempt(c, row->nonce) : NULL;

	if (!row) {
		c->commit_state = COMMIT_UNCLEAR;
		c->retry_at = now + COMMIT_RETRY_US;
	} else if (row->version && applied) {
		commit_ok(c, row->version, applied->sent_at, now);
	} else if (row->version != c->version) {
		c->counters.conflicts++;
		cell_step_down(c, now);
	} else {
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + add_jitter(c, COMMIT_RETRY_US);
	}
}

static bool is_vacant(const bh_cell_t *c, const bh_cell_row_t *row,
		      bh_usec_t now)
{
	return row->version == 0 || !row->holder || !*row->holder ||
	       now - c->observed_at >= cell_with_drift(c->config.term_us);
}

static void campaign_if_vacant(bh_cell_t *c, const bh_cell_row_t *row,
			       bh_usec_t now)
{
	if (row->version != c->observed_version || c->observed_at == 0) {
		c->observed_version = row->version;
		c->observed_at = now;
	}
	if (!is_vacant(c, row, now))
		return;
	c->role = BH_CELL_ACQUIRING;
	c->version = row->version;
	c->term = row->term;
	c->n_attempts = 0;
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
	if (now - c->committed_at >= c->config.term_us / RENEWALS_PER_TERM)
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
	c->next_read_at =
		now + add_jitter(c, c->config.term_us / RENEWALS_PER_TERM);
	if (row && !c->is_retired)
		campaign_if_vacant(c, row, now);
}

void bh_cell_committed(bh_cell_t *c, uint64_t nonce, bh_commit_status_t status,
		       uint64_t version, bh_usec_t now)
{
	if (c->commit_state != COMMIT_IN_FLIGHT || c->n_attempts == 0 ||
	    c->attempts[(c->n_attempts - 1) % COMMIT_ATTEMPTS_MAX].nonce !=
		    nonce)
		return;
	switch (status) {
	case BH_COMMIT_OK:
		commit_ok(c, version, c->commit_sent_at, now);
		break;
	case BH_COMMIT_REFUSED:
		c->commit_state = COMMIT_RETRY;
		c->retry_at = now + add_jitter(c, COMMIT_RETRY_US);
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

void bh_cell_note_leader_orders(bh_cell_t *c, bh_usec_t now)
{
	if (c->role != BH_CELL_FOLLOWER)
		return;
	c->next_read_at = now + add_jitter(c, c->config.term_us);
	c->observed_at = 0;
}

void bh_cell_resign(bh_cell_t *c)
{
	if (c->role >= BH_CELL_LOADING)
		c->is_resigning = true;
	else
		c->is_retired = true;
}
