/*
 * Operators' records over HTTP: conditional writes to the table service, and
 * the status of jobs read from the journal. The only state kept is the revision
 * of each record in effect, so that an older one is never applied.
 */
#ifndef BH_DAEMON_RECORDS_H
#define BH_DAEMON_RECORDS_H

#include "daemon/runtime.h"
#include "platform/table.h"
#include "wire/record.h"

typedef struct bh_records bh_records_t;

/**
 * struct bh_records_ops - callbacks to the owner
 * @updated: a record of a higher revision took effect; NULL if it was deleted
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
 * Return: false, without a response, if the path is not a record or list.
 */
bool bh_records_handle(bh_records_t *records, struct evhttp_request *req,
		       char **path);

/**
 * bh_records_pushed() - apply a row that another process committed
 *
 * It takes effect even if the table service fails right afterwards.
 */
void bh_records_pushed(bh_records_t *records, const bh_row_t *row);

/**
 * bh_records_poll() - poll the table service for changes
 */
void bh_records_poll(bh_records_t *records);
uint64_t bh_records_revision(const bh_records_t *records);

#endif
