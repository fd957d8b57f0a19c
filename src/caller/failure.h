/*
 * Errors that callers receive: an error code for each reason, mapped to its
 * HTTP status, OpenAI error type and outcome, which says whether the request
 * ran.
 */
#ifndef CALLER_FAILURE_H
#define CALLER_FAILURE_H

#include <stdint.h>

#include <glib.h>

#define CALLER_ERROR (caller_error_quark())

/* Retry-After if no better estimate is known. */
#define RETRY_AFTER_DEFAULT_MS 1000
/* Of an entry that shuts down: another one can serve the request at once. */
#define RETRY_AFTER_DRAINING_MS 20

enum caller_error {
	CALLER_ERROR_MALFORMED_JSON, /* body is not JSON */
	CALLER_ERROR_INVALID_VALUE, /* a member or header is invalid */
	CALLER_ERROR_NO_API_KEY,
	CALLER_ERROR_INVALID_API_KEY,
	CALLER_ERROR_NOT_ALLOWED, /* the API key may not call this service */
	CALLER_ERROR_MODEL_NOT_FOUND,
	CALLER_ERROR_PATH_NOT_FOUND,
	CALLER_ERROR_METHOD_NOT_ALLOWED,
	CALLER_ERROR_PROMPT_TOO_LONG,
	CALLER_ERROR_BUSY, /* no upstream can serve the request in time */
	CALLER_ERROR_NO_UPSTREAM, /* no upstream is in service */
	CALLER_ERROR_DRAINING, /* this entry process is shutting down */
	CALLER_ERROR_QUARANTINED, /* the request has crashed upstreams */
	CALLER_ERROR_DEADLINE_BEFORE_START, /* deadline passed before it ran */
	CALLER_ERROR_DEADLINE, /* deadline passed while it ran */
	CALLER_ERROR_UPSTREAM_LOST, /* upstream died or stopped responding */
	CALLER_ERROR_UPSTREAM_FAILED, /* the upstream answered with an error */
	CALLER_ERROR_OUTCOME_UNKNOWN, /* a call may or may not have run */
	CALLER_ERROR_CLAIM_UNAVAILABLE, /* idempotency key can't be claimed */
	CALLER_ERROR_ALREADY_RUNNING, /* a call with the same idempotency key */
	CALLER_ERROR_IDEMPOTENCY_KEY_REUSED, /* with another body */
	CALLER_ERROR_STREAM_GONE, /* the stream to resume no longer exists */
	CALLER_ERROR_COUNT,
};

/* Whether the request ran, as far as known. */
enum outcome {
	OUTCOME_NOT_RUN, /* certainly */
	OUTCOME_FAILED, /* it ran at least in part */
	OUTCOME_UNKNOWN,
};

GQuark caller_error_quark(void);
int failure_status(enum caller_error);
const char *failure_code(enum caller_error);
const char *failure_type(enum caller_error);
const char *failure_outcome(enum caller_error);
char *failure_body(const GError *);

#endif
