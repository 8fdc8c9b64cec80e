#include "core/wheel.h"

static int64_t tick_of(bh_usec_t at)
{
	return at / BH_WHEEL_SLOT_US;
}

static bh_timer_list_t *slot_of(bh_wheel_t *wheel, bh_usec_t at)
{
	int64_t tick = MAX(tick_of(at), wheel->tick);

	return &wheel->slots[tick % BH_WHEEL_SLOTS];
}

void bh_wheel_init(bh_wheel_t *wheel, bh_usec_t now)
{
	for (int i = 0; i < BH_WHEEL_SLOTS; i++)
		TAILQ_INIT(&wheel->slots[i]);
	wheel->tick = tick_of(now);
	wheel->armed = 0;
}

void bh_wheel_disarm(bh_wheel_t *wheel, bh_timer_t *timer)
{
	if (!timer->is_armed)
		return;
	TAILQ_REMOVE(timer->list, timer, link);
	timer->is_armed = false;
	wheel->armed--;
}

void bh_wheel_arm(bh_wheel_t *wheel, bh_timer_t *timer, bh_usec_t at)
{
	bh_wheel_disarm(wheel, timer);
	timer->at = at;
	timer->list = slot_of(wheel, at);
	timer->is_armed = true;
	TAILQ_INSERT_TAIL(timer->list, timer, link);
	wheel->armed++;
}

static bh_timer_t *first_due(bh_timer_list_t *slot, bh_usec_t now)
{
	bh_timer_t *timer;

	TAILQ_FOREACH(timer, slot, link) {
		if (timer->at <= now)
			return timer;
	}
	return NULL;
}

bh_timer_t *bh_wheel_pop(bh_wheel_t *wheel, bh_usec_t now)
{
	int64_t last = tick_of(now);

	if (wheel->armed == 0)
		wheel->tick = MAX(wheel->tick, last);
	if (last - wheel->tick > BH_WHEEL_SLOTS)
		wheel->tick = last - BH_WHEEL_SLOTS;
	for (; wheel->tick <= last; wheel->tick++) {
		bh_timer_t *timer = first_due(
			&wheel->slots[wheel->tick % BH_WHEEL_SLOTS], now);

		if (timer) {
			bh_wheel_disarm(wheel, timer);
			return timer;
		}
		if (wheel->tick == last)
			break;
	}
	return NULL;
}
