/*
 * One piece of work on its way: candidates are asked, the best offer is taken,
 * the work is submitted, its answer comes back in order, and what fails is
 * tried again where that is safe, within the retry budget and the deadline.
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

/* Bytes of the answer that may be on their way to this entry. */
#define JOB_WINDOW_BYTES 65536

/* What is to be done; all is copied or referenced. */
struct job_spec {
	const char *request;
	const char *organisation;
	uint32_t weight;
	const char *service;
	enum work_kind work;
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	const uint64_t *prefixes;
	size_t prefix_count;
	uint64_t fingerprint;
	GBytes *body;
	const char *method;
	const char *path;
	const char *content_type;
	const char *idempotency_key;
	bool repeatable;
	bool streamed; /* once a part has come, it is never begun again */
	struct timespec deadline;
};

/* Where a stream that another entry began is found again. */
struct job_stream_position {
	const char *upstream;
	uint32_t attempt;
	uint64_t sequence; /* of the last part that arrived */
};

/* Each job ends with one finished or one failed, unless it is cancelled. */
struct job_ops {
	void (*started)(void *data);
	void (*chunk)(void *data, uint64_t sequence, const uint8_t *,
	    size_t length, uint32_t tokens);
	/* May the answer begin again? True drops what came so far. */
	bool (*restart)(void *data);
	void (*finished)(void *data, const struct message_finish *);
	void (*failed)(void *data, enum caller_error, int64_t retry_after_ms,
	    const char *why);
};

struct exchange *job_start(struct dispatch *, const struct job_spec *,
    const struct job_ops *, void *data);
struct exchange *job_resume(struct dispatch *, const struct job_spec *,
    const struct job_stream_position *, const struct job_ops *, void *data);

#endif
