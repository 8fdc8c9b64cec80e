/*
 * Calls to the adviser that are under way. It handles the calls of a machine
 * one at a time, in turn, and the configuration tells how long each takes, so
 * that the time of an answer is predicted. Few calls are under way at a time: a
 * call that is sent early only waits in the adviser's queue, and the choice of
 * what to ask first is made when it is sent.
 *
 * A call that is overdue no longer holds back others, but its answer counts
 * whenever it comes: the work for it was done. As calls are handled in turn, an
 * answer shows that those sent before it are lost.
 *
 * Load pattern: a burst of steps that need advice, more than the adviser can
 * answer for some seconds; one that is slow, silent or has no room for calls.
 */
#ifndef BH_SCHED_ADVICE_LINE_H
#define BH_SCHED_ADVICE_LINE_H

#include "sched/sched.h"

#include <sys/queue.h>

/* Calls that may be open at a time, overdue ones included. The adviser refuses
 * calls when 32 wait. */
#define BH_ADVICE_OPEN_MAX 24

/**
 * struct bh_advice_call - a call without an answer
 * @workers: ids that it names
 * @cost: time that the adviser takes for it, by the configuration
 * @overdue_at: by when its answer should have come
 * @is_overdue: it has not
 * @is_lost: nor will it: a call that was sent later has been answered
 */
typedef struct bh_advice_call {
	TAILQ_ENTRY(bh_advice_call) link;
	uint64_t number;
	char phase[BH_TASK_NAME_BYTES];
	GPtrArray *workers;
	bh_usec_t cost;
	bh_usec_t sent_at;
	bh_usec_t overdue_at;
	bool is_overdue;
	bool is_lost;
} bh_advice_call_t;

typedef TAILQ_HEAD(bh_advice_calls, bh_advice_call) bh_advice_calls_t;

typedef struct bh_advice_line bh_advice_line_t;

bh_advice_line_t *bh_advice_line_new(void);
void bh_advice_line_free(bh_advice_line_t *line);

/**
 * bh_advice_line_review() - note which calls are overdue
 *
 * Return: whether a call may be sent that could not be sent at the last review.
 */
bool bh_advice_line_review(bh_advice_line_t *line, bh_usec_t now);

/**
 * bh_advice_line_has_room() - whether another call is of use now
 */
bool bh_advice_line_has_room(const bh_advice_line_t *line, bh_usec_t now);

/**
 * bh_advice_line_find_phase() - the last call for a phase that may still be
 * answered
 *
 * Return: NULL if there is none, or all are lost.
 */
const bh_advice_call_t *bh_advice_line_find_phase(const bh_advice_line_t *line,
						  const char *phase);

/**
 * bh_advice_line_add() - a call is sent
 * @cost: time that the adviser takes for it, by the configuration
 *
 * Return: owned by the line; the caller adds the workers.
 */
bh_advice_call_t *bh_advice_line_add(bh_advice_line_t *line, const char *phase,
				     bh_usec_t cost, bh_usec_t now);

/**
 * bh_advice_call_timeout() - time after which a call that was just sent may be
 * given up
 */
bh_usec_t bh_advice_call_timeout(const bh_advice_call_t *call);

/**
 * bh_advice_line_take() - a call has ended; adapts to how long it took
 *
 * Return: to be freed with bh_advice_call_free(); NULL if it is not known.
 */
bh_advice_call_t *bh_advice_line_take(bh_advice_line_t *line, uint64_t number,
				      bh_advice_outcome_t outcome,
				      bh_usec_t now);
void bh_advice_call_free(bh_advice_call_t *call);

#endif
