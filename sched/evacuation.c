#include "sched/evacuation.h"

#include <glib.h>
#include <string.h>

#define KEY_PREFIX "evacuate/"

/* Rows beyond the zones that fit into the set count once others are removed.
 * The bound on memory is far above what an operator writes. */
#define ROWS_MAX 1024

/* Division of the bound, in percent. A task starts at most as long after the
 * acknowledgement as the leader's copy of the set is old plus the lifetime of
 * its order. Of 5 s the four tries of a start, which are sent within 1.1 s,
 * have 2.2 s, and a copy may be 1.8 s old: a poll of the store takes 1.3 s. The
 * rest covers two pauses of less than 500 ms, which processes do not notice. */
#define ORDER_PERCENT 44
#define COPY_PERCENT  36

/* An entry whose connection was lost may reach the store. A leader that is cut
 * off grants no leases 4 s after its last renewal, and its last leases of 5 s
 * end within this time. It counts from the leader's last knowledge of the
 * table, as the loss may have been long before its own cut-off. */
#define LOST_READ_AGE_MS ((int64_t)10000)

/**
 * struct bh_evacuation - set of evacuated zones
 * @rows: zones of the valid rows that this process has read
 * @rows_version: version of the store up to which they were read
 * @is_listing: @rows is not complete
 * @zones: the set in force, by zone the time since when (bh_usec_t)
 * @version: version of the store at which it was read, here or elsewhere
 * @changes: number of changes of the set
 * @read_at: rows acknowledged by then are in the set, by reads here or of
 *	another entry; 0: never read
 * @own_read_at: the same, by reads here alone
 */
struct bh_evacuation {
	GHashTable *rows;
	uint64_t rows_version;
	bool is_listing;
	GHashTable *zones;
	uint64_t version;
	uint64_t changes;
	bh_usec_t read_at;
	bh_usec_t own_read_at;
};

bh_evacuation_t *bh_evacuation_new(void)
{
	bh_evacuation_t *e = g_new0(bh_evacuation_t, 1);

	e->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

void bh_evacuation_free(bh_evacuation_t *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->rows);
	g_hash_table_destroy(e->zones);
	g_free(e);
}

static bool is_zone(const char *zone)
{
	return *zone && strlen(zone) <= BH_EVACUATION_ZONE_BYTES_MAX &&
	       g_utf8_validate(zone, -1, NULL);
}

const char *bh_evacuation_zone_of(const char *key)
{
	const char *zone;

	if (!key || !g_str_has_prefix(key, KEY_PREFIX))
		return NULL;
	zone = key + strlen(KEY_PREFIX);
	return is_zone(zone) ? zone : NULL;
}

void bh_evacuation_begin_listing(bh_evacuation_t *e)
{
	e->is_listing = true;
	e->rows_version = 0;
	g_hash_table_remove_all(e->rows);
}

void bh_evacuation_row(bh_evacuation_t *e, const char *key,
		       bh_evacuation_row_kind_t kind, uint64_t version)
{
	const char *zone = bh_evacuation_zone_of(key);

	/* Replies of the feed may come in another order than they were made. */
	if (!zone || (!e->is_listing && version <= e->rows_version))
		return;
	if (kind == BH_EVACUATION_ROW_REMOVED)
		g_hash_table_remove(e->rows, zone);
	else if (kind == BH_EVACUATION_ROW_MALFORMED &&
		 !bh_evacuation_has(e, zone))
		return;
	else if (g_hash_table_size(e->rows) < ROWS_MAX)
		g_hash_table_add(e->rows, g_strdup(zone));
}

static gboolean is_gone(gpointer zone, gpointer value, gpointer wanted)
{
	(void)value;
	return !g_hash_table_contains(wanted, zone);
}

/* Zones that stay in the set keep the time since when they are. */
static void set_zones(bh_evacuation_t *e, GHashTable *wanted, bh_usec_t now)
{
	bool is_changed =
		g_hash_table_foreach_remove(e->zones, is_gone, wanted) > 0;
	GHashTableIter it;
	gpointer zone;

	g_hash_table_iter_init(&it, wanted);
	while (g_hash_table_iter_next(&it, &zone, NULL)) {
		if (g_hash_table_contains(e->zones, zone))
			continue;
		g_hash_table_insert(e->zones, g_strdup(zone),
				    g_memdup2(&now, sizeof(now)));
		is_changed = true;
	}
	e->changes += is_changed;
}

static int by_name(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The first zones in byte order, so that all processes ignore the same ones. */
static GHashTable *first_rows(const bh_evacuation_t *e)
{
	GHashTable *wanted = g_hash_table_new(g_str_hash, g_str_equal);
	const char *names[ROWS_MAX];
	GHashTableIter it;
	gpointer zone;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, e->rows);
	while (n < ROWS_MAX && g_hash_table_iter_next(&it, &zone, NULL))
		names[n++] = zone;
	if (n > 1)
		qsort(names, n, sizeof(names[0]), by_name);
	for (uint32_t i = 0; i < MIN(n, BH_EVACUATION_ZONES_MAX); i++)
		g_hash_table_add(wanted, (gpointer)names[i]);
	return wanted;
}

void bh_evacuation_read(bh_evacuation_t *e, uint64_t version, bh_usec_t read_at,
			bh_usec_t now)
{
	g_autoptr(GHashTable) wanted = NULL;

	e->is_listing = false;
	e->rows_version = MAX(e->rows_version, version);
	e->own_read_at = MAX(e->own_read_at, read_at);
	e->read_at = MAX(e->read_at, read_at);
	if (e->rows_version < e->version)
		return;
	e->version = e->rows_version;
	wanted = first_rows(e);
	set_zones(e, wanted, now);
}

void bh_evacuation_adopt(bh_evacuation_t *e, uint64_t version,
			 char *const *zones, size_t n, bh_usec_t read_at,
			 bh_usec_t now)
{
	g_autoptr(GHashTable) wanted = NULL;

	/* A process with an older version that has read later knows that
	 * nothing has changed since. */
	e->read_at = MAX(e->read_at, read_at);
	if (version <= e->version)
		return;
	wanted = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < MIN(n, BH_EVACUATION_ZONES_MAX); i++) {
		if (is_zone(zones[i]))
			g_hash_table_add(wanted, zones[i]);
	}
	e->version = version;
	set_zones(e, wanted, now);
}

bool bh_evacuation_has(const bh_evacuation_t *e, const char *zone)
{
	return zone && g_hash_table_contains(e->zones, zone);
}

bh_usec_t bh_evacuation_since(const bh_evacuation_t *e, const char *zone)
{
	const bh_usec_t *since =
		zone ? g_hash_table_lookup(e->zones, zone) : NULL;

	return since ? *since : 0;
}

uint32_t bh_evacuation_zones(const bh_evacuation_t *e, const char **out)
{
	GHashTableIter it;
	gpointer zone;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, e->zones);
	while (n < BH_EVACUATION_ZONES_MAX &&
	       g_hash_table_iter_next(&it, &zone, NULL))
		out[n++] = zone;
	if (n > 1)
		qsort(out, n, sizeof(out[0]), by_name);
	return n;
}

uint64_t bh_evacuation_version(const bh_evacuation_t *e)
{
	return e->version;
}

uint64_t bh_evacuation_changes(const bh_evacuation_t *e)
{
	return e->changes;
}

bh_usec_t bh_evacuation_read_at(const bh_evacuation_t *e)
{
	return e->read_at;
}

bh_usec_t bh_evacuation_own_read_at(const bh_evacuation_t *e)
{
	return e->own_read_at;
}

int64_t bh_evacuation_order_max_ms(int64_t evacuate_ms)
{
	return evacuate_ms * ORDER_PERCENT / 100;
}

int64_t bh_evacuation_copy_max_ms(int64_t evacuate_ms)
{
	return evacuate_ms * COPY_PERCENT / 100;
}

int64_t bh_evacuation_refresh_ms(int64_t evacuate_ms)
{
	/* With a store that answers after 900 ms the copy is not yet too old
	 * when the next answer comes. */
	return bh_evacuation_copy_max_ms(evacuate_ms) / 4;
}

bool bh_evacuation_may_start(const bh_evacuation_evidence_t *known)
{
	int64_t max = bh_evacuation_copy_max_ms(known->evacuate_ms);

	if (!known->evacuate_ms)
		return true;
	if (known->has_resumed)
		return false;
	if (known->read_ago_ms <= max)
		return true;
	if (known->is_other_lost && known->read_ago_ms <= LOST_READ_AGE_MS)
		return false;
	return known->others_answered_ago_ms > max;
}
