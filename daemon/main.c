#include "daemon/agent.h"
#include "daemon/entry.h"

#include <signal.h>
#include <stdlib.h>

#define EXIT_USAGE 2

#ifndef BH_VERSION
#define BH_VERSION "unknown"
#endif

typedef struct process {
	bh_runtime_t rt;
	bh_entry_role_t *entry;
	bh_agent_role_t *agent;
} process_t;

static void on_term(evutil_socket_t fd, short what, void *arg)
{
	process_t *p = arg;

	(void)fd;
	(void)what;
	if (p->entry)
		bh_entry_role_drain(p->entry);
	if (p->agent)
		bh_agent_role_drain(p->agent);
}

static void open_log(bh_log_t *log, const bh_settings_t *s)
{
	log->out = stderr;
	log->process = g_strdup(s->name);
	log->format = g_strcmp0(s->log_format, "json") == 0 ? BH_LOG_JSON
							    : BH_LOG_TEXT;
	bh_log_level_parse(s->log_level, &log->level);
}

static int run(const bh_settings_t *s)
{
	process_t p = {.rt = {.settings = s}};
	struct event *signals[2];
	int status = EXIT_FAILURE;

	p.rt.base = event_base_new();
	p.rt.incarnation = (uint64_t)g_get_real_time();
	open_log(&p.rt.log, s);
	signals[0] = evsignal_new(p.rt.base, SIGTERM, on_term, &p);
	signals[1] = evsignal_new(p.rt.base, SIGINT, on_term, &p);
	for (int i = 0; i < 2; i++)
		event_add(signals[i], NULL);
	if (strcmp(s->role, "entry") == 0)
		p.entry = bh_entry_role_start(&p.rt);
	else
		p.agent = bh_agent_role_start(&p.rt);
	if (p.entry || p.agent) {
		event_base_dispatch(p.rt.base);
		bh_log_event(&p.rt.log, BH_LOG_INFO, "stopped", NULL);
		status = EXIT_SUCCESS;
	}
	if (p.entry)
		bh_entry_role_free(p.entry);
	if (p.agent)
		bh_agent_role_free(p.agent);
	for (int i = 0; i < 2; i++)
		event_free(signals[i]);
	event_base_free(p.rt.base);
	g_free(p.rt.log.process);
	return status;
}

int main(int argc, char **argv)
{
	gboolean show_version = FALSE;
	gboolean check_only = FALSE;
	GOptionEntry entries[] = {
		{"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
		 "print the version and exit", NULL},
		{"check", 0, 0, G_OPTION_ARG_NONE, &check_only,
		 "check the settings and exit", NULL},
		{0},
	};
	g_autoptr(GOptionContext) options =
		g_option_context_new("SETTINGS-FILE");
	g_autoptr(GError) err = NULL;
	bh_settings_t *settings;
	int status;

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &err)) {
		fprintf(stderr, "borageholdd: %s\n", err->message);
		return EXIT_USAGE;
	}
	if (show_version) {
		puts("borageholdd " BH_VERSION);
		return EXIT_SUCCESS;
	}
	if (argc != 2) {
		fprintf(stderr, "borageholdd: expected one settings file\n");
		return EXIT_USAGE;
	}
	settings = bh_settings_load(argv[1], &err);
	if (!settings) {
		fprintf(stderr, "borageholdd: %s: %s\n", argv[1], err->message);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	status = check_only ? EXIT_SUCCESS : run(settings);
	bh_settings_free(settings);
	return status;
}
