/*
 * Availability zones that the operator evacuates: the set of zones with the
 * version of the store at which it was read, and whether a leader whose copy of
 * the set is old may start tasks.
 *
 * Load: the operator evacuates one or two of three zones while jobs run, while
 * the leader cannot reach the store, or right before the leader is killed.
 */
#ifndef BH_SCHED_EVACUATION_H
#define BH_SCHED_EVACUATION_H

#include "core/types.h"

/* Zones beyond this number are ignored, as the set goes along with every ping.
 */
#define BH_EVACUATION_ZONES_MAX 64

/* Longest name of a zone in bytes, which is that of the setting "zone". */
#define BH_EVACUATION_ZONE_BYTES_MAX 255

typedef struct bh_evacuation bh_evacuation_t;

bh_evacuation_t *bh_evacuation_new(void);
void bh_evacuation_free(bh_evacuation_t *e);

/**
 * bh_evacuation_zone_of() - the zone that the key of an operator's row names
 *
 * Return: NULL if the key does not name a zone to evacuate.
 */
const char *bh_evacuation_zone_of(const char *key);

/**
 * bh_evacuation_begin_listing() - the operator's table is read from its start
 */
void bh_evacuation_begin_listing(bh_evacuation_t *e);

/**
 * enum bh_evacuation_row_kind - what a row says
 * @BH_EVACUATION_ROW_VALID: its value is a JSON object: the zone is evacuated
 * @BH_EVACUATION_ROW_MALFORMED: its value is another: a zone that is evacuated
 *	stays so, as only the removal of the row ends that; others are not
 * @BH_EVACUATION_ROW_REMOVED: there is no such row any more
 */
typedef enum bh_evacuation_row_kind {
	BH_EVACUATION_ROW_VALID,
	BH_EVACUATION_ROW_MALFORMED,
	BH_EVACUATION_ROW_REMOVED,
} bh_evacuation_row_kind_t;

/**
 * bh_evacuation_row() - a row of a listing or of the feed
 * @version: version of the store at the row's last change
 *
 * Takes effect with the next bh_evacuation_read().
 */
void bh_evacuation_row(bh_evacuation_t *e, const char *key,
		       bh_evacuation_row_kind_t kind, uint64_t version);

/**
 * bh_evacuation_read() - all rows up to a version of the store have been passed
 * to bh_evacuation_row()
 * @read_at: rows acknowledged by then are among them; 0: not known
 */
void bh_evacuation_read(bh_evacuation_t *e, uint64_t version, bh_usec_t read_at,
			bh_usec_t now);

/**
 * bh_evacuation_adopt() - use the set of another process if it is newer
 * @read_at: rows acknowledged by then are in it, on the caller's clock; 0: not
 *	known
 */
void bh_evacuation_adopt(bh_evacuation_t *e, uint64_t version,
			 char *const *zones, size_t n, bh_usec_t read_at,
			 bh_usec_t now);

/**
 * bh_evacuation_has() - whether a zone is evacuated
 * @zone: may be NULL
 */
bool bh_evacuation_has(const bh_evacuation_t *e, const char *zone);

/**
 * bh_evacuation_since() - when this process learned of a zone's evacuation
 *
 * Return: 0 if the zone is not evacuated.
 */
bh_usec_t bh_evacuation_since(const bh_evacuation_t *e, const char *zone);

/**
 * bh_evacuation_zones() - list the evacuated zones in byte order
 * @out: array of BH_EVACUATION_ZONES_MAX elements, valid until the next change
 *
 * Return: number of elements of @out that were set.
 */
uint32_t bh_evacuation_zones(const bh_evacuation_t *e, const char **out);
uint64_t bh_evacuation_version(const bh_evacuation_t *e);

/**
 * bh_evacuation_changes() - number of changes of the set so far
 */
uint64_t bh_evacuation_changes(const bh_evacuation_t *e);

/**
 * bh_evacuation_read_at() - rows acknowledged by then are in the set; 0: never
 * read
 */
bh_usec_t bh_evacuation_read_at(const bh_evacuation_t *e);

/**
 * bh_evacuation_own_read_at() - the same, by this process's own reads alone
 */
bh_usec_t bh_evacuation_own_read_at(const bh_evacuation_t *e);

/**
 * bh_evacuation_order_max_ms() - time after which an agent no longer passes on
 * an order to start a task
 * @evacuate_ms: bound within which starts in an evacuated zone end
 */
int64_t bh_evacuation_order_max_ms(int64_t evacuate_ms);

/**
 * bh_evacuation_copy_max_ms() - age up to which a leader's copy of the set may
 * be used without further evidence
 */
int64_t bh_evacuation_copy_max_ms(int64_t evacuate_ms);

/**
 * bh_evacuation_refresh_ms() - age of its copy from which a leader reads the
 * set again, or asks other entries to do so
 */
int64_t bh_evacuation_refresh_ms(int64_t evacuate_ms);

/**
 * struct bh_evacuation_evidence - what a leader knows of the set and the store
 * @evacuate_ms: the bound; 0: there are no evacuations
 * @read_ago_ms: age of its copy of the set
 * @has_resumed: the process was paused, and has not read the table since
 * @others_answered_ago_ms: time since the store last answered another entry, as
 *	far as that is known
 * @is_other_lost: the connection to another entry was lost; it may reach the
 *	store
 */
typedef struct bh_evacuation_evidence {
	int64_t evacuate_ms;
	int64_t read_ago_ms;
	bool has_resumed;
	int64_t others_answered_ago_ms;
	bool is_other_lost;
} bh_evacuation_evidence_t;

/**
 * bh_evacuation_may_start() - whether a leader may start tasks
 *
 * While the store answers no entry it cannot have acknowledged an evacuation,
 * so that starts continue.
 */
bool bh_evacuation_may_start(const bh_evacuation_evidence_t *known);

#endif
