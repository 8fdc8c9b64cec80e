#include "cli/explain.h"
#include "platform/json.h"

#include <stdio.h>
#include <string.h>

#define EXIT_NOTHING_FOUND 1
#define EXIT_UNREADABLE	   2

typedef struct log_line {
	char *time;
	char *process;
	char *text;
} log_line_t;

/* Printed at the start of each line, or not needed there. */
static const char *const omitted_keys[] = {"time", "level", "process", "event",
					   "job"};

static void log_line_free(gpointer data)
{
	log_line_t *e = data;

	g_free(e->time);
	g_free(e->process);
	g_free(e->text);
	g_free(e);
}

static bool is_omitted(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(omitted_keys); i++) {
		if (strcmp(name, omitted_keys[i]) == 0)
			return true;
	}
	return false;
}

static bool is_about_job(JsonNode *line, const char *id)
{
	const char *job = bh_json_text(bh_json_get(line, "job"));
	const char *task = bh_json_text(bh_json_get(line, "task"));

	return g_strcmp0(job, id) == 0 || (task && g_str_has_prefix(task, id));
}

static char *describe(JsonNode *line)
{
	JsonObject *object = json_node_get_object(line);
	g_autoptr(GList) names = json_object_get_members(object);
	GString *out = g_string_new(bh_json_text(bh_json_get(line, "event")));

	for (GList *l = names; l; l = l->next) {
		const char *value = bh_json_text(bh_json_get(line, l->data));

		if (!is_omitted(l->data) && value)
			g_string_append_printf(out, " %s=%s",
					       (const char *)l->data, value);
	}
	return g_string_free(out, FALSE);
}

/*
 * Skips what precedes the JSON object: log collectors prepend timestamps and
 * host names of their own.
 */
static void add_matching_line(GPtrArray *matches, const char *text,
			      const char *id)
{
	const char *brace = strchr(text, '{');
	JsonNode *line;
	log_line_t *e;

	if (!brace || !strstr(brace, id))
		return;
	line = bh_json_parse(brace, strlen(brace));
	if (line && bh_json_is_object(line) && is_about_job(line, id)) {
		e = g_new0(log_line_t, 1);
		e->time = g_strdup(bh_json_text(bh_json_get(line, "time")));
		e->process =
			g_strdup(bh_json_text(bh_json_get(line, "process")));
		e->text = describe(line);
		g_ptr_array_add(matches, e);
	}
	bh_json_free(line);
}

static bool read_log(GPtrArray *matches, const char *path, const char *id)
{
	FILE *in = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *text = NULL;
	size_t capacity = 0;

	if (!in) {
		fprintf(stderr, "boragehold: cannot read %s\n", path);
		return false;
	}
	while (getline(&text, &capacity, in) >= 0)
		add_matching_line(matches, text, id);
	free(text);
	if (in != stdin)
		fclose(in);
	return true;
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	const log_line_t *x = *(log_line_t *const *)a;
	const log_line_t *y = *(log_line_t *const *)b;

	return g_strcmp0(x->time, y->time);
}

int cli_explain(cli_context_t *cli, char **args)
{
	g_autoptr(GPtrArray) matches =
		g_ptr_array_new_with_free_func(log_line_free);
	bool is_ok = true;

	(void)cli;
	if (!args[1])
		is_ok = read_log(matches, "-", args[0]);
	for (int i = 1; args[i]; i++)
		is_ok = read_log(matches, args[i], args[0]) && is_ok;
	g_ptr_array_sort(matches, compare_times);
	for (guint i = 0; i < matches->len; i++) {
		const log_line_t *e = matches->pdata[i];

		printf("%s %s %s\n", e->time ? e->time : "-",
		       e->process ? e->process : "-", e->text);
	}
	if (!is_ok)
		return EXIT_UNREADABLE;
	if (matches->len == 0)
		fprintf(stderr, "boragehold: no log line about job %s\n",
			args[0]);
	return matches->len ? 0 : EXIT_NOTHING_FOUND;
}
