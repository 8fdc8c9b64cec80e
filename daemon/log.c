#include "daemon/log.h"

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static void append_json_string(GString *s, const char *text)
{
	g_string_append_c(s, '"');
	for (const unsigned char *p = (const unsigned char *)text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(s, "\\%c", *p);
		else if (*p < 0x20)
			g_string_append_printf(s, "\\u%04x", *p);
		else
			g_string_append_c(s, (char)*p);
	}
	g_string_append_c(s, '"');
}

static gboolean needs_quotes(const char *text)
{
	return *text == 0 || strpbrk(text, " \"=\\\n\r\t") != NULL;
}

static void append_pair(GString *s, bh_log_format_t format, const char *key,
			const char *value)
{
	if (!value)
		value = "";
	if (format == BH_LOG_JSON) {
		g_string_append(s, s->len > 1 ? "," : "");
		append_json_string(s, key);
		g_string_append_c(s, ':');
		append_json_string(s, value);
		return;
	}
	g_string_append_printf(s, "%s%s=", s->len ? " " : "", key);
	if (needs_quotes(value))
		append_json_string(s, value);
	else
		g_string_append(s, value);
}

/* Rate limit and burst size; bound what a burst of work writes. */
#define LOG_LINES_PER_S 400.0
#define LOG_BURST_LINES 2000.0

/* Return: FALSE if the rate limit drops the line; not warnings or errors. */
static gboolean take_token(bh_log_t *log, bh_log_level_t level)
{
	gint64 now = g_get_monotonic_time();

	if (log->refilled_at == 0)
		log->tokens = LOG_BURST_LINES;
	else
		log->tokens =
			MIN(log->tokens + (double)(now - log->refilled_at) *
						  LOG_LINES_PER_S / 1e6,
			    LOG_BURST_LINES);
	log->refilled_at = now;
	if (log->tokens < 1 && level > BH_LOG_WARN) {
		log->dropped++;
		return FALSE;
	}
	log->tokens -= log->tokens >= 1 ? 1 : 0;
	return TRUE;
}

static GString *line_begin(const bh_log_t *log, bh_log_level_t level,
			   const char *event)
{
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *time =
		g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	GString *line = g_string_new(log->format == BH_LOG_JSON ? "{" : "");

	append_pair(line, log->format, "time", time);
	append_pair(line, log->format, "level", level_names[level]);
	append_pair(line, log->format, "process", log->process);
	append_pair(line, log->format, "event", event);
	return line;
}

/* A full pipe must not block the process: the line is dropped. */
static void line_end(bh_log_t *log, GString *line)
{
	g_string_append(line, log->format == BH_LOG_JSON ? "}\n" : "\n");
	if (write(fileno(log->out), line->str, line->len) != (gssize)line->len)
		log->dropped++;
	g_string_free(line, TRUE);
}

static void append_pairs(GString *line, bh_log_format_t format,
			 const char *pairs)
{
	g_autofree char *copy = g_strdup(pairs);
	char *p = copy;

	while (*p) {
		char *equals = strchr(p, '=');
		char *end;

		if (!equals)
			return;
		*equals = 0;
		end = strcmp(p, "why") == 0 ? NULL : strchr(equals + 1, ' ');
		if (end)
			*end = 0;
		append_pair(line, format, p, equals + 1);
		if (!end)
			return;
		p = end + 1;
	}
}

void bh_log_event(bh_log_t *log, bh_log_level_t level, const char *event, ...)
{
	GString *line;
	const char *key;
	va_list args;

	if (level > log->level || !take_token(log, level))
		return;
	line = line_begin(log, level, event);
	va_start(args, event);
	while ((key = va_arg(args, const char *)) != NULL)
		append_pair(line, log->format, key, va_arg(args, const char *));
	va_end(args);
	line_end(log, line);
}

void bh_log_pairs(bh_log_t *log, bh_log_level_t level, const char *event,
		  const char *job, const char *pairs)
{
	GString *line;

	if (level > log->level || !take_token(log, level))
		return;
	line = line_begin(log, level, event);
	if (job)
		append_pair(line, log->format, "job", job);
	append_pairs(line, log->format, pairs);
	line_end(log, line);
}

gboolean bh_log_level_parse(const char *name, bh_log_level_t *out)
{
	for (guint i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (g_strcmp0(name, level_names[i]) == 0) {
			*out = (bh_log_level_t)i;
			return TRUE;
		}
	}
	return FALSE;
}
