/*
 * One request at an upstream's admission, from its submission to its final
 * action.
 */
#ifndef POLICY_ADMISSION_JOB_H
#define POLICY_ADMISSION_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "policy/admission.h"
#include "policy/fair.h"

enum job_state {
	JOB_QUEUED,
	JOB_PREFILLING, /* started, no first token yet */
	JOB_GENERATING,
	JOB_REJECTED, /* its reject waits to be taken */
};

struct admission_job {
	struct fair_item item; /* first: a queued item is its job */
	uint64_t id;
	char request[REQUEST_ID_SIZE];
	uint32_t attempt;
	char *organisation;
	uint32_t weight;
	enum work_class class;
	uint64_t uncached_tokens; /* to be computed before the first token */
	uint64_t memory_tokens; /* that it needs; 0 under a hold */
	uint64_t reserved_tokens; /* of them, while it runs */
	uint64_t body_bytes;
	struct timespec deadline;
	struct timespec target; /* of a long's first token */
	bool suspect;
	char hold[REQUEST_ID_SIZE]; /* empty for none */
	void *owner;
	enum job_state state;
	bool cancelling;
	bool first_token_slow; /* its first token was late */
	bool overdue_reported; /* its overdue first token was taken as a sign */
	struct timespec queued_at;
	struct timespec started_at;
	int64_t expected_ms; /* to the first token, from its start */
	TAILQ_ENTRY(admission_job) entry; /* in the list of its state */
};

TAILQ_HEAD(admission_jobs, admission_job);

struct admission_job *admission_job_new(
    uint64_t id, const struct admission_request *, struct timespec now);
void admission_job_free(struct admission_job *);
bool admission_job_is_running(const struct admission_job *);

#endif
