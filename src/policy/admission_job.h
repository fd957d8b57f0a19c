/*
 * One request in an upstream's admission control, from its submission to its
 * final action.
 */
#ifndef POLICY_ADMISSION_JOB_H
#define POLICY_ADMISSION_JOB_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "policy/admission.h"
#include "policy/fair.h"

enum admission_job_state {
	ADMISSION_JOB_QUEUED,
	ADMISSION_JOB_PREFILLING, /* started, no first token yet */
	ADMISSION_JOB_GENERATING,
	ADMISSION_JOB_REJECTED, /* its reject action has not been fetched yet */
};

struct admission_job {
	struct fair_item item; /* must be first: cast to the job */
	uint64_t id;
	char request[REQUEST_ID_SIZE];
	uint32_t attempt;
	char *organisation;
	uint32_t weight;
	enum work_class class;
	uint64_t uncached_tokens; /* tokens to prefill */
	uint64_t memory_tokens; /* memory required; 0 if it runs under a hold */
	uint64_t reserved_tokens; /* memory reserved while it runs */
	uint64_t body_bytes;
	struct timespec deadline;
	struct timespec target; /* for a long request's first token */
	bool suspect;
	char hold[REQUEST_ID_SIZE]; /* id of its hold; empty if none */
	void *owner;
	enum admission_job_state state;
	bool cancelling;
	bool first_token_slow; /* its first token was late */
	bool overdue_reported; /* already reported to the ramp as overdue */
	struct timespec queued_at;
	struct timespec started_at;
	int64_t expected_ms; /* expected time from start to first token */
	TAILQ_ENTRY(admission_job) entry; /* in the list for its state */
};

TAILQ_HEAD(admission_jobs, admission_job);

struct admission_job *admission_job_new(
    uint64_t id, const struct admission_request *, struct timespec now);
void admission_job_free(struct admission_job *);
bool admission_job_is_running(const struct admission_job *);

#endif
