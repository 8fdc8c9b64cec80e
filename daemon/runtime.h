/*
 * State shared by the modules of a process: event loop, settings, log, clock
 * and identity. It is passed as a parameter, never global.
 */
#ifndef BH_DAEMON_RUNTIME_H
#define BH_DAEMON_RUNTIME_H

#include "core/types.h"
#include "daemon/log.h"
#include "daemon/settings.h"

#include <event2/event.h>
#include <event2/http.h>
#include <json-glib/json-glib.h>

struct bh_http_scan;
struct bh_http_guard;

/**
 * struct bh_runtime - shared state of a process
 * @incarnation: start time, Unix microseconds; increases with each restart
 * @guard: of the HTTP servers, see daemon/http_guard.h; NULL without any
 */
typedef struct bh_runtime {
	struct event_base *base;
	const bh_settings_t *settings;
	bh_log_t log;
	uint64_t incarnation;
	struct bh_http_guard *guard;
} bh_runtime_t;

/**
 * bh_runtime_now() - monotonic time including suspend, microseconds
 */
bh_usec_t bh_runtime_now(void);
uint64_t bh_runtime_unix_ms(void);

/**
 * bh_runtime_every() - call a function periodically
 *
 * Return: the timer; free it with event_free().
 */
struct event *bh_runtime_every(bh_runtime_t *rt, int64_t interval_ms,
			       event_callback_fn cb, void *arg);

/**
 * bh_http_listen() - start an HTTP server with the limits of the settings
 * @socket: set to the listening socket; may be NULL
 *
 * Return: NULL if the address cannot be bound; the error is logged.
 */
struct evhttp *bh_http_listen(bh_runtime_t *rt, const char *address,
			      void (*cb)(struct evhttp_request *, void *),
			      void *arg, struct evhttp_bound_socket **socket);

/**
 * bh_http_listen_guarded() - like bh_http_listen()
 * @is_small: for probes and metrics, with a limit of its own on connections
 * @check: decides on requests with a body before it is read; may be NULL. It
 *         gets @arg.
 */
struct evhttp *
bh_http_listen_guarded(bh_runtime_t *rt, const char *address,
		       void (*cb)(struct evhttp_request *, void *), void *arg,
		       bool is_small,
		       int (*check)(void *arg, const struct bh_http_scan *head),
		       struct evhttp_bound_socket **socket);

/**
 * bh_http_refuse_body() - check of a server that takes no bodies
 *
 * Return: 413.
 */
int bh_http_refuse_body(void *arg, const struct bh_http_scan *head);

/**
 * bh_http_reply_json() - send a JSON document and free it
 */
void bh_http_reply_json(struct evhttp_request *req, int status,
			JsonObject *body);
void bh_http_reply_error(struct evhttp_request *req, int status,
			 const char *reason);
void bh_http_reply_text(struct evhttp_request *req, int status,
			const char *type, const char *text);

#endif
