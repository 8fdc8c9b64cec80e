/*
 * When an entry asks another one for its configuration. Entries read it from
 * the store; a copy is needed only while the store does not serve this host.
 * In a series of changes of a large configuration at many entries, copies that
 * nobody needs fill the links of the entry that sends them.
 */
#ifndef BH_SCHED_CONFIG_SYNC_H
#define BH_SCHED_CONFIG_SYNC_H

#include "core/types.h"

/* Time in which an entry that the store serves reads a change by itself. */
#define BH_CONFIG_READ_MS ((int64_t)600)

/* Time after which a copy that did not arrive is asked for again. */
#define BH_CONFIG_COPY_MS ((int64_t)1500)

/**
 * struct bh_config_sync - state of an entry; all zero at the start
 * @behind_since: when a version newer than the own one was first reported; 0:
 *	none has been since the last change was applied
 * @asked_at: when a copy was last asked for; 0: none is awaited
 */
typedef struct bh_config_sync {
	bh_usec_t behind_since;
	bh_usec_t asked_at;
} bh_config_sync_t;

/**
 * bh_config_sync_must_ask() - whether to ask the sender of a report for a copy
 * @own: version in use; 0: none
 * @reported: version that the sender has
 * @is_store_lost: the last read from the store failed
 *
 * Return: true at most once in BH_CONFIG_COPY_MS; the caller must then ask.
 */
bool bh_config_sync_must_ask(bh_config_sync_t *sync, uint64_t own,
			     uint64_t reported, bool is_store_lost,
			     bh_usec_t now);

/**
 * bh_config_sync_applied() - a newer configuration is in use
 */
void bh_config_sync_applied(bh_config_sync_t *sync);

#endif
