/*
 * A job: one request of a caller that this entry sends to an upstream, whose
 * sidecar has a run for each attempt (sidecar/runs.h). A job owns the request's
 * exchange (entry/dispatch.h). It probes candidates, submits to the one with
 * the best offer, passes on the answer in order, and retries after a failure if
 * that is safe, within the retry budget and the deadline.
 */
#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#include "caller/failure.h"
#include "entry/dispatch.h"

/* Flow-control window: bytes of the answer that may be in flight. */
#define JOB_WINDOW_BYTES 65536

/* A request; the job copies it and takes a reference to the body. */
struct job_spec {
	const char *request;
	const char *organisation;
	uint32_t weight; /* of the organisation, for fair sharing */
	const char *service;
	enum work_kind work;
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	const uint64_t *prefixes; /* by prompt_hash_prefixes() */
	size_t prefix_count;
	uint64_t fingerprint; /* equal for repeats of the request */
	GBytes *body;
	const char *method;
	const char *path;
	const char *content_type;
	const char *idempotency_key;
	bool repeatable;
	bool streamed; /* not restarted once a chunk has arrived */
	struct timespec deadline;
};

/* Where to resume a stream; another entry may have started it. */
struct job_stream_position {
	const char *upstream;
	uint32_t attempt;
	uint64_t sequence; /* of the last chunk that the caller has */
};

/* Each job calls finished or failed once, unless cancelled or detached. */
struct job_ops {
	void (*started)(void *data);
	void (*chunk)(void *data, uint64_t sequence, const uint8_t *,
	    size_t length, uint32_t tokens);
	/* Returns true to discard the chunks so far and retry. */
	bool (*restart)(void *data);
	/* Returns whether the caller can resume the stream elsewhere. */
	bool (*keeps)(void *data);
	void (*finished)(void *data, const struct message_finish *);
	void (*failed)(void *data, enum caller_error, int64_t retry_after_ms,
	    const char *why);
};

struct dispatch_exchange *job_start(struct dispatch *, const struct job_spec *,
    const struct job_ops *, void *data);
struct dispatch_exchange *job_resume(struct dispatch *, const struct job_spec *,
    const struct job_stream_position *, const struct job_ops *, void *data);

#endif
