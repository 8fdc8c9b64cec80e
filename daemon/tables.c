#include "daemon/tables.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static const char *const part_names[BH_TABLE_PARTS] = {
	"0", "1", "2", "3", "4", "5", "6", "7",
	"8", "9", "a", "b", "c", "d", "e", "f",
};

/* Tables that the leader writes share one part with the leader row: a
 * transaction is confined to one part, and the leader's have to check that row,
 * so that they fail once another process leads. */
static bool is_partitioned(const char *table)
{
	return strcmp(table, BH_TABLE_JOBS) == 0;
}

const char *bh_table_part(const char *table, const char *key)
{
	if (!is_partitioned(table))
		return "";
	return part_names[XXH32(key, strlen(key), 0) % BH_TABLE_PARTS];
}

void bh_segment_key_format(const char *id, unsigned segment,
			   char out[BH_SEGMENT_KEY_BYTES])
{
	if (segment)
		g_snprintf(out, BH_SEGMENT_KEY_BYTES, "%s/%u", id, segment);
	else
		g_strlcpy(out, id, BH_SEGMENT_KEY_BYTES);
}

char *bh_segment_key_job(const char *key)
{
	return g_strndup(key, strcspn(key, "/"));
}

const char *bh_table_part_name(const char *table, unsigned index)
{
	if (!is_partitioned(table))
		return index ? NULL : "";
	return index < BH_TABLE_PARTS ? part_names[index] : NULL;
}
