/*
 * Tables of the platform's store, the parts that their rows lie in, and what
 * the frames' numbers mean.
 */
#ifndef BH_DAEMON_TABLES_H
#define BH_DAEMON_TABLES_H

/* Jobs by id; written by the entry that accepts or cancels one. */
#define BH_TABLE_JOBS "jobs"

/* What became of a job, by its id; written by the leader. */
#define BH_TABLE_PROGRESS "progress"

/* The leader's progress table also keeps what it learned, under this key. */
#define BH_KEY_LEARNED "~learned"

/* Agents by the address of their frames; each writes its own. */
#define BH_TABLE_AGENTS "agents"

/* The operator's rows. */
#define BH_TABLE_OPERATOR      "op"
#define BH_KEY_OPERATOR_CONFIG "config"

/* Parts of a table that many hosts write to. The store runs a part's
 * transactions one after another, so that parts bound how many it takes while
 * it is slow. */
#define BH_TABLE_PARTS 16

/**
 * bh_table_part() - the part that a row lies in
 */
const char *bh_table_part(const char *table, const char *key);

/**
 * bh_table_part_name() - the parts of a table, in order
 *
 * Return: NULL when it has no more.
 */
const char *bh_table_part_name(const char *table, unsigned index);

enum {
	BH_ORDER_KIND_START = 1,
	BH_ORDER_KIND_STOP = 2,
	BH_ORDER_KIND_PACE = 3,
};

#endif
