/*
 * Settings of borageholdd: a JSON object, checked against a table of options.
 */
#ifndef BH_DAEMON_SETTINGS_H
#define BH_DAEMON_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#define BH_SETTINGS_ERROR (bh_settings_error_quark())

typedef enum bh_settings_error {
	BH_SETTINGS_ERROR_READ,
	BH_SETTINGS_ERROR_SYNTAX,
	BH_SETTINGS_ERROR_UNKNOWN,
	BH_SETTINGS_ERROR_VALUE,
	BH_SETTINGS_ERROR_MISSING,
} bh_settings_error_t;

GQuark bh_settings_error_quark(void);

typedef enum bh_option_type {
	BH_OPTION_TEXT,
	BH_OPTION_CHOICE,  /* one of a fixed set of words */
	BH_OPTION_ADDRESS, /* IP:PORT */
	BH_OPTION_INT,
	BH_OPTION_NUMBER,
} bh_option_type_t;

/**
 * struct bh_settings - option values; strings are owned
 */
typedef struct bh_settings {
	char *role;
	char *name;
	char *zone;
	char *cell;
	char *listen_http;
	char *listen_operators;
	char *listen_frames;
	char *advertise_frames;
	char *table;
	char *worker;
	char *entries;
	char *log_level;
	char *log_format;
	char *policy;
	char *token_file;
	char *listen_ready;
	char *metrics;
	char *store;
	char *advice;
	int64_t max_body_bytes;
	int64_t max_in_flight;
	int64_t http_timeout_ms;
	int64_t max_attempts;
	int64_t default_deadline_ms;
	int64_t drain_grace_ms;
	int64_t drain_limit_ms;
	int64_t announce_ms;
	int64_t poll_ms;
	int64_t report_ms;
	int64_t lease_ms;
	int64_t term_ms;
	int64_t journal_ms;
	int64_t key_commit_ms;
	int64_t tenant_max_in_flight;
	double tenant_rate;
	double tenant_burst;
	double retry_share;
	double hedge_quantile;
	double lease_max_ms;
	double restore_ms;
	double impact_ms;
	double status_s;
	char *learn_run_times;
	double stop_within_s;
	double processor_share;
} bh_settings_t;

/**
 * struct bh_option - description of an option
 * @default_json: default as JSON text; NULL when the option is required
 * @choices: allowed words of BH_OPTION_CHOICE, separated by "|"
 */
typedef struct bh_option {
	const char *name;
	bh_option_type_t type;
	size_t offset;
	const char *unit;
	const char *default_json;
	double min;
	double max;
	const char *choices;
	const char *help;
} bh_option_t;

/**
 * bh_settings_load() - read and check a settings file
 *
 * Return: NULL on error; @err names the option, its value and the range.
 */
bh_settings_t *bh_settings_load(const char *path, GError **err);
bh_settings_t *bh_settings_parse(const char *text, gssize len, GError **err);
void bh_settings_free(bh_settings_t *settings);

/**
 * bh_options_markdown() - the Markdown table of options in docs/settings.md
 */
char *bh_options_markdown(void);

#endif
