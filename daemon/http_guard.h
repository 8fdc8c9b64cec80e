/*
 * Checks what the HTTP servers of a process receive before libevent parses it:
 * libevent gets a request once it is complete and within all limits. What is
 * refused before that has not run. Limits are those of sched/intake.h and
 * sched/http_scan.h.
 */
#ifndef BH_DAEMON_HTTP_GUARD_H
#define BH_DAEMON_HTTP_GUARD_H

#include "daemon/runtime.h"
#include "sched/http_scan.h"

/**
 * bh_http_check_t - decides on a request whose head has arrived
 *
 * Called before a body is read, for requests that announce one.
 *
 * Return: 0 to read the body, or the status of the response that refuses it.
 */
typedef int (*bh_http_check_t)(void *arg, const bh_http_scan_t *head);

/**
 * bh_http_guard_attach() - guard the connections of a server
 * @socket: its listening socket
 * @is_small: one for probes and metrics, with a limit of its own on connections
 * @check: may be NULL: all bodies are read
 */
void bh_http_guard_attach(bh_runtime_t *rt, struct evhttp *http,
			  struct evhttp_bound_socket *socket, bool is_small,
			  bh_http_check_t check, void *arg);

/**
 * bh_http_guard_detach() - a listening socket is about to be closed
 */
void bh_http_guard_detach(bh_runtime_t *rt, struct evhttp_bound_socket *socket);

/**
 * bh_http_guard_set_held() - the handler has taken the body of a request and
 * holds @bytes for it until the response
 */
void bh_http_guard_set_held(bh_runtime_t *rt, struct evhttp_request *req,
			    size_t bytes);

/**
 * bh_http_guard_metrics() - append the metrics of the guard of @rt, if any
 */
void bh_http_guard_metrics(const bh_runtime_t *rt, GString *out);

/**
 * bh_http_guard_free() - free the guard of @rt, after all of its servers
 */
void bh_http_guard_free(bh_runtime_t *rt);

#endif
