/*
 * What the stand-ins share: an HTTP server with JSON replies, query
 * parameters, an append-only log. For tests only, never installed.
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
	const char *path; /* a trailing * matches any rest */
	standin_handler_t handler;
} standin_route_t;

/**
 * standin_precise_base() - an event loop with timers finer than 1 ms
 */
struct event_base *standin_precise_base(void);
int64_t standin_now_us(void);
int64_t standin_unix_ms(void);

/**
 * standin_serve() - listen on "IP:PORT" and dispatch by a route table
 *
 * Return: NULL when the address is taken.
 */
struct evhttp *standin_serve(struct event_base *base, const char *address,
			     const standin_route_t *routes, size_t n,
			     void *ctx);

/**
 * standin_reply() - send a JSON object; it is freed
 */
void standin_reply(struct evhttp_request *req, int status, JsonObject *body);

/**
 * standin_body() - the request's body as a JSON object
 *
 * Return: NULL when it is not one; unref the result.
 */
JsonObject *standin_body(struct evhttp_request *req);

/**
 * standin_param() - a query parameter as newly allocated text
 */
char *standin_param(struct evhttp_request *req, const char *name,
		    const char *fallback);
int64_t standin_param_int(struct evhttp_request *req, const char *name,
			  int64_t fallback);

#endif
