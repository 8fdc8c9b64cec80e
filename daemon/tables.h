/*
 * Names of the store's tables and of their special keys, the parts that hold a
 * table's rows, and the kinds of orders in frames.
 */
#ifndef BH_DAEMON_TABLES_H
#define BH_DAEMON_TABLES_H

/* Jobs by id; written by the entry that accepts or cancels one. */
#define BH_TABLE_JOBS "jobs"

/* Progress and outcome of jobs, written by the leader. The first segment of a
 * job's progress has the job's id for a key, which suffices for most jobs;
 * further ones have the number of the segment behind it, see
 * bh_segment_key_format(). */
#define BH_TABLE_PROGRESS "progress"

/* Key in the progress table for what the leader learned about interference
 * between images. */
#define BH_KEY_LEARNED "~learned"

/* Agents by the address at which they accept frames. Each writes its own row;
 * the leader removes those of agents that are gone for good. */
#define BH_TABLE_AGENTS "agents"

/* The row of the leader, which it renews, see daemon/term.h. */
#define BH_TABLE_LEADER "leader"
#define BH_KEY_LEADER	"leader"

/* Rows that the operator writes. */
#define BH_TABLE_OPERATOR      "op"
#define BH_KEY_OPERATOR_CONFIG "config"
/* Rows "evacuate/ZONE": see sched/evacuation.h. */

/* Number of parts of a table that many hosts write to. The store runs the
 * transactions of a part one after another, so that the number of parts limits
 * the throughput while it is slow. */
#define BH_TABLE_PARTS 16

/**
 * bh_table_part() - the part that holds a row
 */
const char *bh_table_part(const char *table, const char *key);

/**
 * bh_table_part_name() - name of a table's part
 *
 * Return: NULL if @index is beyond the last part.
 */
const char *bh_table_part_name(const char *table, unsigned index);

#define BH_SEGMENT_KEY_BYTES 32

/**
 * bh_segment_key_format() - key of the row of a segment of a job's progress
 */
void bh_segment_key_format(const char *id, unsigned segment,
			   char out[BH_SEGMENT_KEY_BYTES]);

/**
 * bh_segment_key_job() - the job of a row's key in the progress table
 *
 * Return: owned by the caller.
 */
char *bh_segment_key_job(const char *key);

enum {
	BH_ORDER_KIND_START = 1,
	BH_ORDER_KIND_STOP = 2,
	BH_ORDER_KIND_PACE = 3,
};

#endif
