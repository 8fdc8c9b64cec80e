#include "daemon/log.h"

#include <stdarg.h>
#include <string.h>

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static void append_json_text(GString *s, const char *text)
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
		append_json_text(s, key);
		g_string_append_c(s, ':');
		append_json_text(s, value);
		return;
	}
	g_string_append_printf(s, "%s%s=", s->len ? " " : "", key);
	if (needs_quotes(value))
		append_json_text(s, value);
	else
		g_string_append(s, value);
}

void bh_log_event(const bh_log_t *log, bh_log_level_t level, const char *event,
		  ...)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *time = NULL;
	GString *line;
	const char *key;
	va_list args;

	if (level > log->level)
		return;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_string_new(log->format == BH_LOG_JSON ? "{" : "");
	append_pair(line, log->format, "time", time);
	append_pair(line, log->format, "level", level_names[level]);
	append_pair(line, log->format, "process", log->process);
	append_pair(line, log->format, "event", event);
	va_start(args, event);
	while ((key = va_arg(args, const char *)) != NULL)
		append_pair(line, log->format, key, va_arg(args, const char *));
	va_end(args);
	g_string_append(line, log->format == BH_LOG_JSON ? "}\n" : "\n");
	fwrite(line->str, 1, line->len, log->out);
	fflush(log->out);
	g_string_free(line, TRUE);
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
