/*
 * Shared by the stand-ins: an HTTP server with a route table, JSON bodies and
 * query parameters, and clocks. For tests only, never installed.
 */
#ifndef BH_STANDINS_COMMON_H
#define BH_STANDINS_COMMON_H

#include <event2/event.h>
#include <event2/http.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef void (*standin_handler_t)(struct evhttp_request *req, void *ctx);

typedef struct standin_route {
	enum evhttp_cmd_type method;
	const char *path; /* a trailing * matches any suffix */
	standin_handler_t handler;
} standin_route_t;

/**
 * standin_precise_base() - create an event loop with sub-millisecond timers
 */
struct event_base *standin_precise_base(void);
int64_t standin_now_us(void);
int64_t standin_unix_ms(void);

/**
 * standin_serve() - listen on "IP:PORT" and dispatch requests by a route table
 *
 * Return: NULL when the address cannot be bound.
 */
struct evhttp *standin_serve(struct event_base *base, const char *address,
			     const standin_route_t *routes, size_t n,
			     void *ctx);

/**
 * standin_reply() - send a JSON object as the response
 * @body: ownership passes to this function
 */
void standin_reply(struct evhttp_request *req, int status, JsonObject *body);

/**
 * standin_body() - parse the request body as a JSON object
 *
 * Return: a new reference, or NULL when the body is not a JSON object.
 */
JsonObject *standin_body(struct evhttp_request *req);

/**
 * standin_param() - get a query parameter as a newly allocated string
 * @fallback: returned when the parameter is missing; may be NULL
 */
char *standin_param(struct evhttp_request *req, const char *name,
		    const char *fallback);
int64_t standin_param_int(struct evhttp_request *req, const char *name,
			  int64_t fallback);

#endif
