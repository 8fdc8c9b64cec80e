/*
 * Records that operators write: services, jobs, watchers, tenants. JSON with a
 * schema version; unknown fields are kept when a record is rewritten.
 */
#ifndef BH_WIRE_RECORD_H
#define BH_WIRE_RECORD_H

#include "core/msg.h"

#include <json-glib/json-glib.h>

#define BH_RECORD_ERROR (bh_record_error_quark())

typedef enum bh_record_error {
	BH_RECORD_ERROR_SYNTAX,
	BH_RECORD_ERROR_SCHEMA,
	BH_RECORD_ERROR_FIELD,
	BH_RECORD_ERROR_NAME,
} bh_record_error_t;

GQuark bh_record_error_quark(void);

/* Supported schema versions. Version 2 has cpu_milli, mem_mb and accel in an
 * object "need". */
#define BH_SCHEMA_OLDEST 1
#define BH_SCHEMA_NEWEST 2

typedef enum bh_record_kind {
	BH_RECORD_SERVICE,
	BH_RECORD_JOB,
	BH_RECORD_WATCHER,
	BH_RECORD_TENANT,
	BH_RECORD_KINDS,
} bh_record_kind_t;

/**
 * struct bh_record - a valid record; which fields are set depends on @kind
 * @tasks: tasks of a job, replicas of a service, 1 for a watcher
 * @json: the whole document including unknown fields; owned
 */
typedef struct bh_record {
	bh_record_kind_t kind;
	int64_t schema_version;
	char *tenant;
	char *cell;
	char *family;
	bh_class_t cls;
	int64_t tasks;
	bh_resources_t need;
	int64_t run_ms;
	int64_t deadline_unix_ms;
	bool is_idempotent;
	bool is_cancelled;
	double rate;
	double burst;
	int64_t max_in_flight;
	int64_t quota_cpu_milli;
	JsonNode *json;
} bh_record_t;

/**
 * bh_record_collection() - "services", "jobs", "watchers" or "tenants"
 */
const char *bh_record_collection(bh_record_kind_t kind);
bool bh_record_kind_parse(const char *collection, bh_record_kind_t *kind);

/**
 * bh_record_name_is_valid() - check for 1 to 63 of a-z, 0-9, '-', '_' and '.'
 */
bool bh_record_name_is_valid(const char *name);

/**
 * bh_record_parse() - parse and validate a document
 *
 * Return: NULL on error; @err then names the field, its value and what is
 * allowed.
 */
bh_record_t *bh_record_parse(bh_record_kind_t kind, const char *text,
			     gssize len, GError **err);
void bh_record_free(bh_record_t *record);

/**
 * bh_record_set_text() - set a field of the document, not of @record itself
 */
void bh_record_set_text(bh_record_t *record, const char *field,
			const char *value);
char *bh_record_text(const bh_record_t *record);

#endif
