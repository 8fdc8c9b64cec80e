/*
 * When a draining entry may exit: new connections have ceased, no request is in
 * flight, and the last answer has left the process. No input or output.
 */
#ifndef BH_DAEMON_DRAIN_H
#define BH_DAEMON_DRAIN_H

#include "core/types.h"

/**
 * struct bh_drain - state of a graceful shutdown
 * @since: when it began
 * @limit_us: time after which the process exits in any case
 * @in_flight: requests without an answer
 * @answered_at: when the last answer was passed to the HTTP library, which
 *	writes it to the socket later
 */
typedef struct bh_drain {
	bh_usec_t since;
	bh_usec_t limit_us;
	uint32_t in_flight;
	bh_usec_t answered_at;
} bh_drain_t;

bool bh_drain_is_done(const bh_drain_t *drain, bh_usec_t now);

#endif
