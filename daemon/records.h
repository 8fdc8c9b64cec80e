/*
 * Operators' records over HTTP: conditional changes in the table service, and
 * the status of jobs read from the journal. Stateless but for the copy of
 * records in force, which never goes back to an older revision.
 */
#ifndef BH_DAEMON_RECORDS_H
#define BH_DAEMON_RECORDS_H

#include "daemon/runtime.h"
#include "platform/table.h"
#include "wire/record.h"

typedef struct bh_records bh_records_t;

/**
 * struct bh_records_ops - what the owner hears
 * @updated: a record of a higher revision than before; NULL when deleted
 * @committed: this process committed a change; @value is NULL for a deletion
 */
typedef struct bh_records_ops {
	void (*updated)(void *ctx, bh_record_kind_t kind, const char *name,
			const bh_record_t *record);
	void (*committed)(void *ctx, const char *key, const char *value,
			  uint64_t revision);
} bh_records_ops_t;

bh_records_t *bh_records_new(bh_runtime_t *rt, bh_table_t *table,
			     const bh_records_ops_t *ops, void *ctx);
void bh_records_free(bh_records_t *records);

/**
 * bh_records_handle() - serve a request below /v1/
 * @path: split at "/", without "v1"
 *
 * Return: false when the path is no record's.
 */
bool bh_records_handle(bh_records_t *records, struct evhttp_request *req,
		       char **path);

/**
 * bh_records_pushed() - another process committed this row
 *
 * It is in force here even if the table service fails right after.
 */
void bh_records_pushed(bh_records_t *records, const bh_row_t *row);

/**
 * bh_records_poll() - ask the table service for changes
 */
void bh_records_poll(bh_records_t *records);
uint64_t bh_records_revision(const bh_records_t *records);

#endif
