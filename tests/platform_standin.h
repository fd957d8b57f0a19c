/*
 * A stand-in for the platform in one process: its object store, and upstreams
 * that speak its formats and behave as a test says.
 */
#ifndef PLATFORM_STANDIN_H
#define PLATFORM_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/httpd.h"

#define STANDIN_UPSTREAMS 3
#define STANDIN_STEPS	  4
#define STANDIN_HEADERS	  16

/* What an upstream does with one request. */
enum standin_step {
	STANDIN_ANSWER, /* 200, whole */
	STANDIN_FAIL, /* 500 of its own */
	STANDIN_FULL, /* 503 that says it did not run */
	STANDIN_MOVED, /* 421: another process has the address */
	STANDIN_UNMARKED, /* 503 that says nothing */
	STANDIN_BREAK, /* runs, and the connection ends */
	STANDIN_UNSEALED, /* 200 without its signature */
	STANDIN_FOREIGN, /* the answer to another request */
	STANDIN_DIE, /* ends, and nobody listens there any more */
	STANDIN_HANG, /* nothing, until the caller leaves */
	STANDIN_EVENTS, /* a stream of three events from the one asked for */
	STANDIN_CUT, /* the same, broken off inside the second */
};

/* A request as an upstream saw it. */
struct standin_arrival {
	size_t upstream;
	char *headers[STANDIN_HEADERS]; /* "name: value" */
	size_t header_count;
	char *target;
	char *body;
	bool left; /* its connection closed before an answer */
};

struct standin;

struct standin *standin_new(struct ev_loop *);
void standin_free(struct standin *);
const char *standin_store(const struct standin *);
void standin_set_config(struct standin *, const char *spec);
void standin_set_steps(struct standin *, const enum standin_step *, size_t);
size_t standin_arrivals(const struct standin *);
const struct standin_arrival *standin_arrival(const struct standin *, size_t);
const char *standin_header(const struct standin_arrival *, const char *name);
void standin_drop_upstreams(struct standin *);

#endif
