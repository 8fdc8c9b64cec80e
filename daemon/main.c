#include "daemon/agent.h"
#include "daemon/entry.h"
#include "daemon/http_guard.h"
#include "daemon/sched_agent.h"
#include "daemon/sched_entry.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_USAGE 2

#ifndef BH_VERSION
#define BH_VERSION "unknown"
#endif

typedef struct process {
	bh_runtime_t rt;
	bh_entry_role_t *entry;
	bh_agent_role_t *agent;
	bh_sched_entry_t *sched_entry;
	bh_sched_agent_t *sched_agent;
	const char *settings_path;
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
	if (p->sched_entry)
		bh_sched_entry_drain(p->sched_entry);
	if (p->sched_agent)
		bh_sched_agent_drain(p->sched_agent);
	bh_log_event(&p->rt.log, BH_LOG_INFO, "stopping", NULL);
}

/*
 * Settings only take effect at the start of a process. SIGHUP checks the file,
 * so that errors show up before the next restart.
 */
static void on_hup(evutil_socket_t fd, short what, void *arg)
{
	process_t *p = arg;
	g_autoptr(GError) err = NULL;
	bh_settings_t *settings = bh_settings_load(p->settings_path, &err);

	(void)fd;
	(void)what;
	if (settings)
		bh_log_event(&p->rt.log, BH_LOG_INFO, "reloaded", "path",
			     p->settings_path, NULL);
	else
		bh_log_event(&p->rt.log, BH_LOG_ERROR, "settings are invalid",
			     "path", p->settings_path, "why", err->message,
			     NULL);
	bh_settings_free(settings);
}

static bool start_role(process_t *p)
{
	const bh_settings_t *s = p->rt.settings;
	bool is_entry = strcmp(s->role, "entry") == 0;

	if (*s->store && is_entry)
		p->sched_entry = bh_sched_entry_start(&p->rt);
	else if (*s->store)
		p->sched_agent = bh_sched_agent_start(&p->rt);
	else if (is_entry)
		p->entry = bh_entry_role_start(&p->rt);
	else
		p->agent = bh_agent_role_start(&p->rt);
	return p->entry || p->agent || p->sched_entry || p->sched_agent;
}

static void open_log(bh_log_t *log, const bh_settings_t *s)
{
	/*
	 * With a store, on-call engineers read the log from standard output.
	 * It is non-blocking, so that a full pipe cannot block the process.
	 */
	log->out = *s->store ? stdout : stderr;
	if (*s->store)
		fcntl(STDOUT_FILENO, F_SETFL,
		      fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	log->process = g_strdup(s->name);
	log->format = g_strcmp0(s->log_format, "json") == 0 ? BH_LOG_JSON
							    : BH_LOG_TEXT;
	bh_log_level_parse(s->log_level, &log->level);
}

static int run(const bh_settings_t *s, const char *settings_path)
{
	process_t p = {.rt = {.settings = s}, .settings_path = settings_path};
	struct event *signals[3];
	int status = EXIT_FAILURE;

	p.rt.base = event_base_new();
	p.rt.incarnation = (uint64_t)g_get_real_time();
	open_log(&p.rt.log, s);
	signals[0] = evsignal_new(p.rt.base, SIGTERM, on_term, &p);
	signals[1] = evsignal_new(p.rt.base, SIGINT, on_term, &p);
	signals[2] = evsignal_new(p.rt.base, SIGHUP, on_hup, &p);
	for (int i = 0; i < 3; i++)
		event_add(signals[i], NULL);
	bh_log_event(&p.rt.log, BH_LOG_INFO, "starting", "role", s->role,
		     "zone", s->zone, "version", BH_VERSION, NULL);
	if (start_role(&p)) {
		event_base_dispatch(p.rt.base);
		bh_log_event(&p.rt.log, BH_LOG_INFO, "stopped", NULL);
		status = EXIT_SUCCESS;
	}
	if (p.entry)
		bh_entry_role_free(p.entry);
	if (p.agent)
		bh_agent_role_free(p.agent);
	if (p.sched_entry)
		bh_sched_entry_free(p.sched_entry);
	if (p.sched_agent)
		bh_sched_agent_free(p.sched_agent);
	bh_http_guard_free(&p.rt);
	for (int i = 0; i < 3; i++)
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
	const char *settings_path;
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
	settings_path = argc == 2 ? argv[1] : g_getenv("BORAGEHOLD_BOOT");
	if (argc > 2 || !settings_path) {
		fprintf(stderr, "borageholdd: expected one settings file\n");
		return EXIT_USAGE;
	}
	settings = bh_settings_load(settings_path, &err);
	if (!settings) {
		fprintf(stderr, "borageholdd: %s: %s\n", settings_path,
			err->message);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	status = check_only ? EXIT_SUCCESS : run(settings, settings_path);
	bh_settings_free(settings);
	return status;
}
