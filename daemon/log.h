/*
 * Logger: one line per event, as key=value pairs or JSON. The modules of a
 * process share one bh_log_t.
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
 * struct bh_log - the log of a process
 * @tokens: lines that the rate limit allows at once
 * @refilled_at: monotonic time of the last line, microseconds; 0 before any
 * @dropped: lines lost to the rate limit or to a full pipe
 * @process: name of the process, written on every line
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
 * @level: the line is skipped if this is above the level of @log
 * @event: what happened, a short fixed string
 * @...: pairs of const char *key, const char *value, then NULL
 */
void bh_log_event(bh_log_t *log, bh_log_level_t level, const char *event,
		  ...) G_GNUC_NULL_TERMINATED;

/**
 * bh_log_pairs() - write one line from a string of pairs
 * @job: id of the job that the line is about, or NULL
 * @pairs: "key=value" separated by spaces; the value of "why" extends to the
 *	end of the string and may contain spaces
 */
void bh_log_pairs(bh_log_t *log, bh_log_level_t level, const char *event,
		  const char *job, const char *pairs);

gboolean bh_log_level_parse(const char *name, bh_log_level_t *out);

#endif
