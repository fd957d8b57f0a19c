/*
 * A fake platform within the test process: an object store, and upstreams that
 * use the platform's formats and behave as the test specifies.
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

/* How an upstream handles one request. */
enum fake_platform_step {
	FAKE_STEP_OK, /* 200, complete */
	FAKE_STEP_ERROR, /* 500 with a signature */
	FAKE_STEP_NOT_RUN, /* 503 with Heatherturn-Not-Executed */
	FAKE_STEP_WRONG_INSTANCE, /* 421: another process has the address */
	FAKE_STEP_UNMARKED_503, /* 503 without Heatherturn-Not-Executed */
	FAKE_STEP_DISCONNECT, /* runs, then closes the connection */
	FAKE_STEP_UNSIGNED, /* 200 without a signature */
	FAKE_STEP_WRONG_ATTEMPT, /* 200 with another attempt id */
	FAKE_STEP_STOP, /* stops listening, without a response */
	FAKE_STEP_HANG, /* no response */
	FAKE_STEP_STREAM, /* the events after Last-Event-Id, of three */
	FAKE_STEP_CUT_STREAM, /* the same, cut off in the second event */
	FAKE_STEP_SLOW_STREAM, /* the same, silent after the first event */
	FAKE_STEP_LEAVING, /* 200, complete, and says that it leaves */
	FAKE_STEP_LEAVING_STREAM, /* FAKE_STEP_STREAM, and says so */
	FAKE_STEP_LEAVING_NOT_RUN, /* FAKE_STEP_NOT_RUN, and says so */
	FAKE_STEP_BEGIN, /* begins a stream, then FAKE_STEP_HANG */
	FAKE_STEP_CRASH, /* begins a stream, then FAKE_STEP_STOP */
	FAKE_STEP_QUIET, /* FAKE_STEP_NOT_RUN with a Retry-After */
};

/* How long the stream of FAKE_STEP_SLOW_STREAM is silent. */
#define FAKE_SILENCE_MS 1700

/* Retry-After of FAKE_STEP_QUIET. */
#define FAKE_QUIET_S  "0.6"
#define FAKE_QUIET_MS 600

/* A request that an upstream received. */
struct fake_platform_request {
	size_t upstream;
	char *headers[FAKE_PLATFORM_HEADERS_MAX]; /* "name: value" */
	size_t header_count;
	char *target;
	char *body;
	bool closed_early; /* connection closed before the response ended */
};

struct fake_platform;

struct fake_platform *fake_platform_new(struct ev_loop *);
void fake_platform_free(struct fake_platform *);
const char *fake_platform_store_address(const struct fake_platform *);
void fake_platform_set_config(struct fake_platform *, const char *spec);
void fake_platform_change_config(struct fake_platform *, const char *spec);
void fake_platform_raise_revision(struct fake_platform *);
void fake_platform_end_watches(struct fake_platform *, int64_t ms);
void fake_platform_set_era(struct fake_platform *, int era);
void fake_platform_restore(struct fake_platform *, const char *spec);
void fake_platform_set_steps(
    struct fake_platform *, const enum fake_platform_step *, size_t);
void fake_platform_repeat_step(struct fake_platform *, enum fake_platform_step);
void fake_platform_grant_orders(struct fake_platform *);
const GPtrArray *fake_platform_orders(const struct fake_platform *);
void fake_platform_name_rate(struct fake_platform *, const char *value);
size_t fake_platform_request_count(const struct fake_platform *);
const struct fake_platform_request *fake_platform_request(
    const struct fake_platform *, size_t);
const char *fake_platform_request_header(
    const struct fake_platform_request *, const char *name);
void fake_platform_restart_upstreams(struct fake_platform *);
void fake_platform_remove_upstreams(struct fake_platform *);
void fake_platform_set_upstream_port(
    struct fake_platform *, size_t index, int port);

#endif
