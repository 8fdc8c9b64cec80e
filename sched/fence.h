/*
 * The calls of an agent to its worker, and the process of the worker that they
 * are meant for. A call without an answer may be carried out seconds later, by
 * whichever process then has the worker's address and id; the clock of that
 * process and the numbers of its ends have begun anew. Therefore:
 *
 * - A fencing token is bound to the process that first answers a poll with it.
 *   Until then polls acknowledge nothing and set no lease. When another process
 *   answers or is expected the token is raised, so that a process whose lists
 *   count rejects all calls that were meant for earlier ones; what it had
 *   carried out before stands in these lists.
 * - Up to BH_ENDS_HELD_MAX ends are not acknowledged while a start may still be
 *   carried out late: a later process could carry out both and forget the end
 *   unseen, and would start an attempt again whose end was acknowledged.
 * - Calls for an earlier process that got no answer may have set the lease of a
 *   process. While it may be longer than one that a leader grants, this is
 *   reported. For that to be rare, leases are set by polls that are answered at
 *   once.
 * - A start without an answer is reported while a later process may carry it
 *   out.
 *
 * Load pattern: workers that crash with calls under way, are back at once under
 * their ids, and crash or are cut off again soon after.
 */
#ifndef BH_SCHED_FENCE_H
#define BH_SCHED_FENCE_H

#include "sched/worker.h"

/* A token is the leader's term and, in the lowest bits, a number that the agent
 * raises. Tokens stay below 2^53: each JSON parser keeps these exactly. */
#define BH_FENCE_NUMBER_BITS 32

/* The first number of a new agent is the time for which the leader has led, in
 * this unit: above those of the agent's former process, which raises its own
 * less often. Numbers last for 248 days of a term. */
#define BH_FENCE_NUMBER_UNIT_US (5 * BH_USEC_PER_MS)

/* Terms beyond this would not fit into a token. */
#define BH_FENCE_TERM_MAX ((UINT64_C(1) << (53 - BH_FENCE_NUMBER_BITS)) - 1)

typedef struct bh_fence bh_fence_t;

/**
 * struct bh_fence_poll - what a poll says, for bh_runner_lists()
 * @token: fencing token
 * @expires_ms: end of the lease on the worker's clock; 0: unchanged
 * @ack: ends up to this number may be forgotten; 0: none
 * @is_immediate: it is to be answered at once
 * @is_lease_only: it is not sent for the lists
 * @sent_at: when it is sent
 */
typedef struct bh_fence_poll {
	uint64_t token;
	uint64_t expires_ms;
	uint64_t ack;
	bool is_immediate;
	bool is_lease_only;
	bh_usec_t sent_at;
} bh_fence_poll_t;

/**
 * bh_fence_first_number() - number with which an agent that connects to the
 * leader begins
 * @led: time for which the leader has led
 */
uint64_t bh_fence_first_number(bh_usec_t led);

/**
 * bh_fence_new() - state of an agent that has not called its worker yet
 * @lease_max: length of the longest lease that a worker takes
 */
bh_fence_t *bh_fence_new(bh_usec_t lease_max, bh_usec_t now);
void bh_fence_free(bh_fence_t *f);

/**
 * bh_fence_note_new_host() - no earlier process of the agent has called the
 * worker
 */
void bh_fence_note_new_host(bh_fence_t *f);

/**
 * bh_fence_set_leader() - a leader has connected
 * @first_number: from bh_fence_first_number()
 * @lease: length of a lease that it grants
 */
void bh_fence_set_leader(bh_fence_t *f, uint64_t term, uint64_t first_number,
			 bh_usec_t lease);

/**
 * bh_fence_token() - token of calls that are sent now
 */
uint64_t bh_fence_token(const bh_fence_t *f);

/**
 * bh_fence_boot() - boot of the process whose lists last counted; 0: none
 */
uint64_t bh_fence_boot(const bh_fence_t *f);

/**
 * bh_fence_is_bound() - whether calls now reach only that process, unless they
 * are late
 */
bool bh_fence_is_bound(const bh_fence_t *f);

/**
 * bh_fence_expect_other() - the process that the token is bound to has probably
 * ended
 */
void bh_fence_expect_other(bh_fence_t *f);

/**
 * bh_fence_announced() - the worker has announced its id
 *
 * Calls that name another id are rejected.
 */
void bh_fence_announced(bh_fence_t *f, const char *id, uint64_t boot);

/**
 * bh_fence_drop_announcement() - the last announcement was another writer's
 */
void bh_fence_drop_announcement(bh_fence_t *f);

/**
 * bh_fence_granted() - the leader has extended the lease
 * @ack: ends up to this number may be acknowledged
 */
void bh_fence_granted(bh_fence_t *f, uint64_t boot, uint64_t expires_ms,
		      uint64_t ack);

/**
 * bh_fence_poll() - prepare a poll
 * @worker: id that it names; NULL: none
 * @is_led: a leader is connected; otherwise the poll only makes the worker's
 *	process reject calls for earlier ones
 */
void bh_fence_poll(bh_fence_t *f, const char *worker, bool is_led,
		   bh_usec_t now, bh_fence_poll_t *out);

/**
 * bh_fence_poll_lost() - the last poll got no answer
 * @is_sent: the worker may carry it out
 */
void bh_fence_poll_lost(bh_fence_t *f, const bh_fence_poll_t *poll,
			bool is_sent, bh_usec_t now);

/**
 * bh_fence_answered() - the worker has answered a poll with its lists
 * @unix_ms: current time of day
 *
 * Return: false if the lists do not count, and the worker has to be polled
 * again: they may be incomplete, or an earlier process may have made them.
 */
bool bh_fence_answered(bh_fence_t *f, const bh_fence_poll_t *poll,
		       const bh_worker_lists_t *lists, bh_usec_t now,
		       uint64_t unix_ms);

/**
 * bh_fence_lease_until() - time by which the lease of the process has certainly
 * expired; 0: unknown
 */
bh_usec_t bh_fence_lease_until(const bh_fence_t *f);

/**
 * bh_fence_outlives() - whether the process may hold a longer lease than one
 * that is granted now
 */
bool bh_fence_outlives(const bh_fence_t *f, bh_usec_t now);

/**
 * bh_fence_expires_ms() - end of the granted lease on the worker's clock
 */
uint64_t bh_fence_expires_ms(const bh_fence_t *f);

/**
 * bh_fence_ack() - ends up to this number may be acknowledged
 */
uint64_t bh_fence_ack(const bh_fence_t *f);

/**
 * bh_fence_holds_acks() - whether ends may not be acknowledged yet, since a
 * start may be carried out late
 */
bool bh_fence_holds_acks(const bh_fence_t *f, bh_usec_t now);

/**
 * bh_fence_may_be_past() - whether the clock of the bound process may have
 * reached @clock_ms
 *
 * Counts from when the last answered poll was sent, not from its answer, which
 * this process reads late after a pause.
 */
bool bh_fence_may_be_past(const bh_fence_t *f, uint64_t clock_ms,
			  bh_usec_t now);

/**
 * bh_fence_has_expired() - whether a lease that ends at @expires_ms on the
 * clock of the bound process is over
 */
bool bh_fence_has_expired(const bh_fence_t *f, uint64_t expires_ms,
			  bh_usec_t now);

/**
 * bh_fence_start_sent() - an order to start an attempt is sent
 * @worker: id that it names
 * @boot: of the process that it is meant for
 *
 * Return: its token.
 */
uint64_t bh_fence_start_sent(bh_fence_t *f, const char *task, uint32_t attempt,
			     const char *worker, uint64_t boot, bh_usec_t now);

/**
 * bh_fence_start_ended() - the outcome of a try of that order
 * @clock_ms: the clock of the process that has answered; 0: not known
 */
void bh_fence_start_ended(bh_fence_t *f, const char *task, uint32_t attempt,
			  bool is_answered, uint64_t clock_ms, bh_usec_t now);

/**
 * bh_fence_note_late_start() - an earlier process of the agent may have sent a
 * start that is carried out until @until
 * @worker: id that it names; "": not known
 */
void bh_fence_note_late_start(bh_fence_t *f, const char *task, uint32_t attempt,
			      const char *worker, bh_usec_t until);

/**
 * bh_fence_start_late_ms() - time for which a try of a start that got no answer
 * may still be carried out; 0: each was answered
 */
uint32_t bh_fence_start_late_ms(const bh_fence_t *f, const char *task,
				uint32_t attempt, bh_usec_t now);

/**
 * bh_fence_late_starts() - starts that a later process may carry out, or may
 * have carried out before it answers for the first time (left_ms is 0), or the
 * next one if the present one is down; also those under way that were ordered
 * over a former connection to a leader, which will not hear of their outcome
 * @out: to be freed with bh_late_starts_clear()
 */
void bh_fence_late_starts(const bh_fence_t *f, bool is_down, bh_usec_t now,
			  bh_late_starts_t *out);

#endif
