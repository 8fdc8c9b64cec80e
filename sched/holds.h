/*
 * Positions of callers that were refused and told when to come back.
 *
 * Load pattern: in a burst the callers that come first are refused, and come
 * back to find that later ones have taken the capacity that was predicted for
 * them. Refused work is therefore kept in mind until its caller is back, at
 * whichever entry, and goes before that of new callers.
 */
#ifndef BH_SCHED_HOLDS_H
#define BH_SCHED_HOLDS_H

#include "sched/forecast.h"

/* Bounds the size of a ping of the leader: about 20 bytes each. */
#define BH_HOLDS_MAX 256

/**
 * struct bh_hold - a refused job whose caller is expected back
 * @id: its id as a number
 * @refused_at: when it was refused first
 * @due_at: when it has to be accepted to end within its objective, counted from
 *	its first refusal
 * @returns_at: when its caller was told to come back
 * @refusals: how often it was refused
 */
typedef struct bh_hold {
	uint64_t id;
	uint32_t priority;
	bh_work_kind_t kind;
	uint64_t work_ms;
	bh_usec_t refused_at;
	bh_usec_t due_at;
	bh_usec_t returns_at;
	uint32_t refusals;
} bh_hold_t;

typedef struct bh_holds {
	uint32_t n;
	bh_hold_t items[BH_HOLDS_MAX];
} bh_holds_t;

/**
 * bh_hold_id() - a job's id as a number; 0 if it has another form
 */
uint64_t bh_hold_id(const char *id);

/**
 * bh_holds_refuse() - keep the position of a refused job
 *
 * One that was refused before keeps the time of its first refusal. If the list
 * is full, the job is not kept, and its caller counts as new.
 *
 * Return: the position, or NULL; valid until the next change of @holds.
 */
const bh_hold_t *bh_holds_refuse(bh_holds_t *holds, const bh_job_t *job,
				 uint64_t retry_after_ms, bh_usec_t now);

/**
 * bh_holds_add() - add a position that another process has made, or replace it
 */
void bh_holds_add(bh_holds_t *holds, const bh_hold_t *hold, bh_usec_t now);

/**
 * bh_holds_find() - the position of a caller that is back
 *
 * Return: NULL if it has none, has come back too early or too late.
 */
const bh_hold_t *bh_holds_find(const bh_holds_t *holds, const char *id,
			       bh_usec_t now);
void bh_holds_remove(bh_holds_t *holds, const char *id);

/**
 * bh_holds_expire() - forget callers that have not come back
 */
void bh_holds_expire(bh_holds_t *holds, bh_usec_t now);

/**
 * bh_holds_ahead_ms() - work of callers that come back by a time, of a priority
 * or a higher one, as far as it can then end within its objective
 *
 * What is late by then is worth 15 %, and must not make new jobs late too.
 */
uint64_t bh_holds_ahead_ms(const bh_holds_t *holds, bh_work_kind_t kind,
			   uint32_t priority, bh_usec_t until);

#endif
