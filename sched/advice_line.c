#include "sched/advice_line.h"

/* Calls that are always of use: one is handled while the answer to the other
 * travels. */
#define CALLS_MIN 2

/* More are sent if the adviser would be done with them within this time. */
#define AHEAD_US  (100 * BH_USEC_PER_MS)
#define CALLS_MAX 16

/* A call is overdue after twice the predicted time and this. */
#define GRACE_US (500 * BH_USEC_PER_MS)

/* An overdue call stays open for this long: its answer counts. */
#define KEEP_OPEN_US (15 * BH_USEC_PER_SEC)

/* Calls that are sent at the same time may arrive in another order. */
#define REORDER_US (50 * BH_USEC_PER_MS)

/* A call takes at least this long, whatever the configuration says. */
#define COST_MIN_US (1 * BH_USEC_PER_MS)

/* Weight of a call in the observed slowness, and bounds of that. */
#define SLOWNESS_WEIGHT 0.3
#define SLOWNESS_MAX	50.0

/* While overdue calls are all there is, one call is sent at a time, first after
 * the shorter time. */
#define PROBE_MIN_US (1 * BH_USEC_PER_SEC)
#define PROBE_MAX_US (2 * BH_USEC_PER_SEC)

/* Pause after a call that failed, doubled with each further one. */
#define PAUSE_MIN_US (100 * BH_USEC_PER_MS)
#define PAUSE_MAX_US (1 * BH_USEC_PER_SEC)

/**
 * struct bh_advice_line - the calls under way
 * @calls: in the order in which they were sent
 * @slowness: recent time that calls took relative to the configuration's
 * @answered_at: when the last answer came
 * @probe_at: when the next call may be sent to an adviser that does not answer;
 *	0: it answers
 * @probe_us: time between two of these
 * @pause_until: no call is sent before
 * @pause_us: length of the last pause; 0: the last call was answered
 * @had_room: result of the last review
 */
struct bh_advice_line {
	bh_advice_calls_t calls;
	uint32_t n_calls;
	uint64_t last_number;
	double slowness;
	bh_usec_t answered_at;
	bh_usec_t probe_at;
	bh_usec_t probe_us;
	bh_usec_t pause_until;
	bh_usec_t pause_us;
	bool had_room;
};

bh_advice_line_t *bh_advice_line_new(void)
{
	bh_advice_line_t *line = g_new0(bh_advice_line_t, 1);

	TAILQ_INIT(&line->calls);
	line->slowness = 1;
	return line;
}

void bh_advice_call_free(bh_advice_call_t *call)
{
	g_ptr_array_unref(call->workers);
	g_free(call);
}

void bh_advice_line_free(bh_advice_line_t *line)
{
	bh_advice_call_t *call;

	while ((call = TAILQ_FIRST(&line->calls)) != NULL) {
		TAILQ_REMOVE(&line->calls, call, link);
		bh_advice_call_free(call);
	}
	g_free(line);
}

static bool is_current(const bh_advice_call_t *call)
{
	return !call->is_overdue && !call->is_lost;
}

static bh_usec_t predicted(const bh_advice_line_t *line,
			   const bh_advice_call_t *call)
{
	return (bh_usec_t)((double)call->cost * line->slowness);
}

/* Calls are handled in turn, so that each waits for those before it. */
static void predict_answers(bh_advice_line_t *line, bh_usec_t now)
{
	bh_advice_call_t *call;
	bh_usec_t wait = 0;

	TAILQ_FOREACH(call, &line->calls, link) {
		if (!is_current(call))
			continue;
		wait += predicted(line, call);
		call->overdue_at =
			MAX(call->overdue_at, now + 2 * wait + GRACE_US);
	}
}

bool bh_advice_line_review(bh_advice_line_t *line, bh_usec_t now)
{
	bool had_room = line->had_room;
	bh_advice_call_t *call;

	TAILQ_FOREACH(call, &line->calls, link) {
		if (call->is_overdue || now < call->overdue_at)
			continue;
		call->is_overdue = true;
		if (line->probe_at || call->is_lost)
			continue;
		line->probe_us = PROBE_MIN_US;
		line->probe_at = now;
	}
	line->had_room = bh_advice_line_has_room(line, now);
	return line->had_room && !had_room;
}

bool bh_advice_line_has_room(const bh_advice_line_t *line, bh_usec_t now)
{
	const bh_advice_call_t *call;
	bh_usec_t ahead = 0;
	uint32_t n = 0;

	if (now < line->pause_until || now < line->probe_at ||
	    line->n_calls >= BH_ADVICE_OPEN_MAX)
		return false;
	TAILQ_FOREACH(call, &line->calls, link) {
		if (!is_current(call))
			continue;
		ahead += predicted(line, call);
		n++;
	}
	if (line->probe_at)
		return n == 0;
	return n < CALLS_MIN || (n < CALLS_MAX && ahead < AHEAD_US);
}

const bh_advice_call_t *bh_advice_line_find_phase(const bh_advice_line_t *line,
						  const char *phase)
{
	const bh_advice_call_t *call;

	TAILQ_FOREACH_REVERSE(call, &line->calls, bh_advice_calls, link)
	{
		if (!call->is_lost && strcmp(call->phase, phase) == 0)
			return call;
	}
	return NULL;
}

bh_advice_call_t *bh_advice_line_add(bh_advice_line_t *line, const char *phase,
				     bh_usec_t cost, bh_usec_t now)
{
	bh_advice_call_t *call = g_new0(bh_advice_call_t, 1);

	call->number = ++line->last_number;
	g_strlcpy(call->phase, phase, sizeof(call->phase));
	call->workers = g_ptr_array_new_with_free_func(g_free);
	call->cost = MAX(cost, COST_MIN_US);
	call->sent_at = now;
	TAILQ_INSERT_TAIL(&line->calls, call, link);
	line->n_calls++;
	predict_answers(line, now);
	if (line->probe_at) {
		line->probe_at = now + line->probe_us;
		line->probe_us = MIN(line->probe_us * 2, PROBE_MAX_US);
	}
	return call;
}

bh_usec_t bh_advice_call_timeout(const bh_advice_call_t *call)
{
	return call->overdue_at - call->sent_at + KEEP_OPEN_US;
}

/* The adviser has worked on the call since it was sent or, if that is later,
 * since its last answer. */
static void note_answer(bh_advice_line_t *line, const bh_advice_call_t *call,
			bh_usec_t now)
{
	bh_usec_t took = now - MAX(call->sent_at, line->answered_at);
	double ratio = (double)took / (double)call->cost;
	bh_advice_call_t *other;

	line->slowness += SLOWNESS_WEIGHT * (ratio - line->slowness);
	line->slowness = CLAMP(line->slowness, 1, SLOWNESS_MAX);
	line->answered_at = now;
	line->probe_at = 0;
	line->pause_us = 0;
	TAILQ_FOREACH(other, &line->calls, link) {
		if (other->sent_at + REORDER_US < call->sent_at)
			other->is_lost = true;
	}
}

bh_advice_call_t *bh_advice_line_take(bh_advice_line_t *line, uint64_t number,
				      bh_advice_outcome_t outcome,
				      bh_usec_t now)
{
	bh_advice_call_t *call;

	TAILQ_FOREACH(call, &line->calls, link) {
		if (call->number == number)
			break;
	}
	if (!call)
		return NULL;
	TAILQ_REMOVE(&line->calls, call, link);
	line->n_calls--;
	if (outcome == BH_ADVICE_ANSWERED) {
		note_answer(line, call, now);
	} else if (!call->is_overdue) {
		line->pause_us =
			CLAMP(line->pause_us * 2, PAUSE_MIN_US, PAUSE_MAX_US);
		line->pause_until = now + line->pause_us;
	}
	predict_answers(line, now);
	line->had_room = false;
	return call;
}
