/*
 * Small logger: one line per change of state, as key=value or JSON.
 * A module gets its own context with a name; the sink is shared.
 */
#ifndef BH_DAEMON_LOG_H
#define BH_DAEMON_LOG_H

#include <glib.h>
#include <stdio.h>

typedef enum bh_log_level {
	BH_LOG_ERROR,
	BH_LOG_WARN,
	BH_LOG_INFO,
	BH_LOG_DEBUG,
} bh_log_level_t;

typedef enum bh_log_format {
	BH_LOG_TEXT,
	BH_LOG_JSON,
} bh_log_format_t;

/**
 * struct bh_log - a sink; one per process, passed down
 * @tokens: lines that may be written at once; @dropped counts those left out
 * @process: name of this process, on every line
 */
typedef struct bh_log {
	FILE *out;
	double tokens;
	gint64 refilled_at;
	guint64 dropped;
	bh_log_level_t level;
	bh_log_format_t format;
	char *process;
} bh_log_t;

/**
 * bh_log_event() - write one line
 * @log: the sink
 * @level: dropped when above the sink's
 * @event: what happened, a short fixed text
 * @...: pairs of const char *key, const char *value, then NULL
 */
void bh_log_event(bh_log_t *log, bh_log_level_t level, const char *event,
		  ...) G_GNUC_NULL_TERMINATED;

/**
 * bh_log_pairs() - write one line from a text of pairs
 * @job: id of the job that it is about, or NULL
 * @pairs: "key=value" separated by blanks; the value of the last may hold
 *	blanks if its key is "why"
 */
void bh_log_pairs(bh_log_t *log, bh_log_level_t level, const char *event,
		  const char *job, const char *pairs);

gboolean bh_log_level_parse(const char *name, bh_log_level_t *out);

#endif
