/*
 * Hashed timing wheel for many short timers. A timer expires at the first
 * bh_wheel_pop() at or after its time.
 */
#ifndef BH_CORE_WHEEL_H
#define BH_CORE_WHEEL_H

#include "core/types.h"

#define BH_WHEEL_SLOTS	 1024
#define BH_WHEEL_SLOT_US (2 * BH_USEC_PER_MS)

typedef struct bh_timer bh_timer_t;
typedef TAILQ_HEAD(bh_timer_list, bh_timer) bh_timer_list_t;

/**
 * struct bh_timer - a timer, embedded in the owner's struct
 * @list: the slot that contains it
 * @at: expiry time
 * @is_armed: whether it is in a wheel
 * @user: owner's data
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
 * bh_wheel_arm() - arm a timer, or change the time of an armed one
 */
void bh_wheel_arm(bh_wheel_t *wheel, bh_timer_t *timer, bh_usec_t at);
void bh_wheel_disarm(bh_wheel_t *wheel, bh_timer_t *timer);

/**
 * bh_wheel_pop() - remove one expired timer
 *
 * Timers may be armed and disarmed between two calls.
 *
 * Return: the timer, disarmed, or NULL when none has expired at @now.
 */
bh_timer_t *bh_wheel_pop(bh_wheel_t *wheel, bh_usec_t now);

#endif
