/*
 * Hashed timing wheel for many short timers. A timer fires at the first
 * advance at or after its time, at a resolution of one slot.
 */
#ifndef BH_CORE_WHEEL_H
#define BH_CORE_WHEEL_H

#include "core/types.h"

#define BH_WHEEL_SLOTS	 1024
#define BH_WHEEL_SLOT_US (2 * BH_USEC_PER_MS)

typedef struct bh_timer bh_timer_t;
typedef TAILQ_HEAD(bh_timer_list, bh_timer) bh_timer_list_t;

/**
 * struct bh_timer - embed it in what it wakes
 * @list: the slot it is in
 * @at: when it is due
 * @is_armed: whether it is in a wheel
 * @user: passed to the callback
 */
struct bh_timer {
	TAILQ_ENTRY(bh_timer) link;
	bh_timer_list_t *list;
	bh_usec_t at;
	bool is_armed;
	void *user;
};

typedef struct bh_wheel {
	bh_timer_list_t slots[BH_WHEEL_SLOTS];
	int64_t tick;
	size_t armed;
} bh_wheel_t;

void bh_wheel_init(bh_wheel_t *wheel, bh_usec_t now);

/**
 * bh_wheel_arm() - set a timer, or move one that is set
 */
void bh_wheel_arm(bh_wheel_t *wheel, bh_timer_t *timer, bh_usec_t at);
void bh_wheel_disarm(bh_wheel_t *wheel, bh_timer_t *timer);

/**
 * bh_wheel_pop() - take one timer that is due
 *
 * Return: the timer, disarmed, or NULL when none is due at @now. Callbacks of
 * one timer may arm and disarm any other between two calls.
 */
bh_timer_t *bh_wheel_pop(bh_wheel_t *wheel, bh_usec_t now);

#endif
