/*
 * Internal state of one upstream's admission control, shared by admission.c,
 * advance.c, schedule.c and estimate.c.
 */
#ifndef POLICY_ADMISSION_STATE_H
#define POLICY_ADMISSION_STATE_H

#include <glib.h>

#include "policy/admission.h"
#include "policy/admission_job.h"
#include "policy/memory.h"
#include "policy/prefill.h"
#include "policy/queue.h"
#include "policy/ramp.h"

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 30000

struct pending_action {
	struct admission_action action;
	struct admission_job *rejected; /* freed when the action is fetched */
	TAILQ_ENTRY(pending_action) entry;
};

TAILQ_HEAD(pending_actions, pending_action);

struct admission {
	struct admission_limits limits;
	struct ramp ramp;
	struct memory *memory;
	struct prefill prefill;
	struct queue *queue;
	struct admission_jobs running;
	uint32_t running_count;
	uint32_t running_long_count;
	uint64_t short_memory; /* reserved by running short requests */
	uint64_t long_memory;
	struct admission_job *suspect; /* the suspect that is running */
	struct timespec suspect_drain_since; /* zero: no suspect waits */
	struct timespec suspect_ended;
	bool draining;
	bool down;
	uint64_t start_count;
	bool start_count_known;
	double service_ms[WORK_LONG + 1]; /* average by class; 0: unknown */
	uint64_t last_id;
	uint64_t submitted;
	uint64_t rejected;
	uint64_t finished;
	GHashTable *jobs; /* queued and running jobs, by &id */
	GHashTable *requests; /* the same jobs, by request id */
	struct pending_actions actions;
};

void admission_reject(struct admission *, struct admission_job *,
    enum reject_reason, int64_t retry_after_ms);
struct pending_action *admission_push_action(struct admission *,
    enum admission_action_kind, const struct admission_job *);

void admission_reject_queued(struct admission *, struct admission_job *,
    enum reject_reason, struct timespec now);

void admission_advance(struct admission *, struct timespec now);
void admission_cancel_running(
    struct admission *, struct admission_job *, enum admission_cancel_reason);
void admission_cancel_hold_users(struct admission *, const char *id);
struct timespec admission_run_deadline(
    const struct admission *, const struct admission_job *);

void schedule_start_jobs(struct admission *, struct timespec now);
uint64_t schedule_short_reserve(const struct admission *);

int64_t estimate_wait_ms(const struct admission *,
    const struct admission_probe *, struct timespec now);
int64_t estimate_retry_after_ms(
    const struct admission *, enum work_class, struct timespec now);
bool estimate_accepts(const struct admission *, const struct admission_probe *,
    int64_t wait_ms, enum reject_reason *);

#endif
