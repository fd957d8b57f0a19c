/*
 * A stand-in for the platform in one process: its object store, and upstreams
 * that speak its formats and behave as a test says.
 */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/httpd.h"

#define FAKE_PLATFORM_UPSTREAMS	  3
#define FAKE_PLATFORM_STEPS_MAX	  4
#define FAKE_PLATFORM_HEADERS_MAX 16

/* What an upstream does with one request. */
enum fake_platform_step {
	FAKE_STEP_OK, /* 200, whole */
	FAKE_STEP_ERROR, /* 500 of its own */
	FAKE_STEP_NOT_RUN, /* 503 that says it did not run */
	FAKE_STEP_WRONG_INSTANCE, /* 421: another process has the address */
	FAKE_STEP_UNMARKED_503, /* 503 that says nothing */
	FAKE_STEP_DISCONNECT, /* runs, and the connection ends */
	FAKE_STEP_UNSIGNED, /* 200 without its signature */
	FAKE_STEP_WRONG_ATTEMPT, /* the answer to another request */
	FAKE_STEP_STOP, /* ends, and nobody listens there any more */
	FAKE_STEP_HANG, /* nothing, until the caller leaves */
	FAKE_STEP_STREAM, /* a stream of three events from the one asked for */
	FAKE_STEP_CUT_STREAM, /* the same, broken off inside the second */
};

/* A request as an upstream saw it. */
struct fake_platform_request {
	size_t upstream;
	char *headers[FAKE_PLATFORM_HEADERS_MAX]; /* "name: value" */
	size_t header_count;
	char *target;
	char *body;
	bool closed_early; /* its connection closed before an answer */
};

struct fake_platform;

struct fake_platform *fake_platform_new(struct ev_loop *);
void fake_platform_free(struct fake_platform *);
const char *fake_platform_store_address(const struct fake_platform *);
void fake_platform_set_config(struct fake_platform *, const char *spec);
void fake_platform_set_steps(
    struct fake_platform *, const enum fake_platform_step *, size_t);
size_t fake_platform_request_count(const struct fake_platform *);
const struct fake_platform_request *fake_platform_request(
    const struct fake_platform *, size_t);
const char *fake_platform_request_header(
    const struct fake_platform_request *, const char *name);
void fake_platform_remove_upstreams(struct fake_platform *);

#endif
