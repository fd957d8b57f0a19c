/*
 * What a caller is told when a request does not succeed: one typed error per
 * reason, and one table that maps each to HTTP, to the OpenAI error type and to
 * what is known of the outcome.
 */
#ifndef CALLER_FAILURE_H
#define CALLER_FAILURE_H

#include <stdint.h>

#include <glib.h>

#define CALLER_ERROR (caller_error_quark())

/* When to come back where nothing better is known. */
#define RETRY_AFTER_DEFAULT_MS 1000

enum caller_error {
	CALLER_ERROR_MALFORMED_JSON, /* body is not JSON */
	CALLER_ERROR_INVALID_VALUE, /* a member's value is not allowed */
	CALLER_ERROR_NO_API_KEY,
	CALLER_ERROR_INVALID_API_KEY,
	CALLER_ERROR_NOT_ALLOWED, /* key is right, service is not theirs */
	CALLER_ERROR_MODEL_NOT_FOUND,
	CALLER_ERROR_PATH_NOT_FOUND,
	CALLER_ERROR_METHOD_NOT_ALLOWED,
	CALLER_ERROR_PROMPT_TOO_LONG,
	CALLER_ERROR_BUSY, /* no upstream can serve it in time */
	CALLER_ERROR_NO_UPSTREAM, /* none is in service */
	CALLER_ERROR_DRAINING, /* this entry takes no new work */
	CALLER_ERROR_QUARANTINED, /* it crashes what runs it */
	CALLER_ERROR_DEADLINE_BEFORE_START, /* deadline passed before it ran */
	CALLER_ERROR_DEADLINE, /* deadline passed while it ran */
	CALLER_ERROR_UPSTREAM_LOST, /* the upstream died while it ran */
	CALLER_ERROR_UPSTREAM_FAILED, /* the upstream answered with an error */
	CALLER_ERROR_OUTCOME_UNKNOWN, /* a call may or may not have run */
	CALLER_ERROR_CLAIM_UNAVAILABLE, /* the order key can't be claimed */
	CALLER_ERROR_ALREADY_RUNNING, /* the same order key is running */
	CALLER_ERROR_IDEMPOTENCY_KEY_REUSED, /* the same order key, another body
					      */
	CALLER_ERROR_STREAM_GONE, /* nothing left to resume */
	CALLER_ERROR_COUNT,
};

/* What is known of whether the request took effect. */
enum outcome {
	OUTCOME_NOT_RUN, /* provably */
	OUTCOME_FAILED, /* it ran, at least in part, and failed */
	OUTCOME_UNKNOWN,
};

GQuark caller_error_quark(void);
int failure_status(enum caller_error);
const char *failure_code(enum caller_error);
const char *failure_type(enum caller_error);
const char *failure_outcome(enum caller_error);
char *failure_body(const GError *);

#endif
