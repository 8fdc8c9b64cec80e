/*
 * Calls to a stand-in that get no answer and are carried out late, after newer
 * ones. Pending calls are kept in a file: a process that is started at the same
 * address carries out those of the one before.
 */
#ifndef BH_STANDINS_LATE_CALLS_H
#define BH_STANDINS_LATE_CALLS_H

#include "standins/common.h"

typedef struct late_calls late_calls_t;

/**
 * struct late_call - a call without an answer
 * @target: its X-Target-Instance header, or NULL
 * @delay_ms: time from its receipt until it is carried out
 * @is_former: an earlier life of the worker has received it
 * @lease_ms: length of the lease that it grants, as of its receipt, if that
 *	counts from when it is carried out; otherwise 0
 */
typedef struct late_call {
	const char *path;
	const char *target;
	JsonNode *body;
	int64_t delay_ms;
	bool is_former;
	int64_t lease_ms;
} late_call_t;

typedef void (*late_call_cb_t)(void *ctx, const late_call_t *call);

/**
 * late_calls_new() - schedule or hold the calls that an earlier process has
 * left
 * @path: file with calls and rules; created when missing
 *
 * Return: NULL when the file cannot be written.
 */
late_calls_t *late_calls_new(struct event_base *base, const char *path,
			     late_call_cb_t cb, void *ctx);

/**
 * late_calls_add_rule() - choose which calls are late from now on
 * @req: its parameters are path (default: any), acking=1 (only calls that
 *	acknowledge ends), leasing=1 (only calls that grant a lease), for (how
 *	many ms), share (of the calls, in percent), seed, ms and to (range of
 *	the delay; ms=0: they are never carried out), counts=1 (late leases
 *	count from when they are carried out), held=1 (they wait for
 *	late_calls_carry_out(); the rule ends with this life), count (of calls
 *	after which the rule ends)
 */
void late_calls_add_rule(late_calls_t *l, struct evhttp_request *req);

/**
 * late_calls_carry_out() - carry out the held calls for a path
 */
void late_calls_carry_out(late_calls_t *l, const char *path);

/**
 * late_calls_end_rules() - answer the calls for a path from now on
 */
void late_calls_end_rules(late_calls_t *l, const char *path);

/**
 * late_calls_new_life() - the worker has started again in the same process
 */
void late_calls_new_life(late_calls_t *l);

/**
 * late_calls_take() - decide whether a call is late
 * @req: if the call is late, gets no reply, and its connection closes when the
 *	call is carried out
 * @lease_ms: time left of the lease that it grants
 */
bool late_calls_take(late_calls_t *l, struct evhttp_request *req,
		     const char *target, JsonNode *body, int64_t lease_ms);

#endif
