/*
 * A job's state, shared by the files that implement it: job.c starts and
 * cancels jobs, job_probe.c chooses an upstream, job_response.c handles the
 * sidecar's messages and retries, job_state.c has the timer and the failures.
 *
 * job_fail() and its variants free the job, and so may each function that
 * probes, evaluates offers, retries, resumes or handles a message: callers must
 * not use the job after them.
 */
#ifndef ENTRY_JOB_STATE_H
#define ENTRY_JOB_STATE_H

#include "entry/job.h"

enum job_phase {
	PHASE_PROBING, /* waits for offers */
	PHASE_SENT, /* submitted, waits for a start or a reject */
	PHASE_RUNNING,
	PHASE_RESUMING, /* waits for the sidecar to resume the stream */
};

struct job_candidate {
	char *upstream;
	char *address;
	struct link *link;
	bool answered;
	struct router_offer offer;
	uint32_t retry_after_ms;
};

struct job {
	struct dispatch_exchange exchange;
	struct dispatch *dispatch;
	struct job_spec spec;
	char **spec_strings; /* copies that spec points to */
	uint64_t *prefixes;
	const struct job_ops *ops;
	void *data;
	struct timespec started_at; /* unset for a resumed stream */

	enum job_phase phase;
	struct timespec phase_end;
	struct timespec resume_until; /* set while resuming */
	struct ev_timer timer;
	struct job_candidate candidates[ROUTER_CANDIDATES];
	size_t candidate_count;
	GHashTable *tried; /* upstream ids */
	uint32_t probe_rounds;
	bool probe_extended; /* no candidate answered in the first timeout */
	uint32_t rejection_count;
	int64_t retry_after_ms; /* the shortest of any rejection */

	char *address; /* of the attempt's sidecar */
	struct link *link;
	uint64_t incarnation; /* of the sidecar process that it was sent to */
	uint64_t sequence; /* of the last chunk received */
	size_t unreported_bytes; /* bytes consumed since the last window */
	bool earlier_attempt_may_have_run;
	bool attempt_may_have_run;
	bool suspect; /* may have crashed an upstream */
};

struct timespec job_now(const struct job *);
int64_t job_remaining_ms(const struct job *);
struct timespec job_time_limit(const struct job *);
void job_set_timer(struct job *);
void job_enter_phase(struct job *, enum job_phase, int64_t ms);
void job_clear_candidates(struct job *);
void job_set_link(struct job *, struct link *);
void job_clear_attempt(struct job *);
void job_release_body(struct job *);
void job_free(struct job *);
struct message job_make_message(const struct job *, enum message_kind);
void job_dump(const void *, GString *);
void job_record_rejection(struct job *, uint32_t retry_after_ms);
void job_check_final_time(const struct job *);
void job_send_cancel(struct job *, const char *reason);
void job_fail(struct job *, enum caller_error, const char *why);
void job_fail_lost(struct job *, const char *why);
void job_fail_no_upstream(struct job *);
bool job_check_drain(struct job *);
void job_fail_exiting(struct job *);
void job_fail_expired(struct job *);
void job_probe_candidates(struct job *);
struct job_candidate *job_find_candidate(struct job *, const struct link *);
void job_evaluate_offers(struct job *);
void job_on_offer(struct job *, struct link *, const struct message *);
void job_on_probe_timeout(struct job *);
void job_retry(struct job *, const char *why);
void job_send_resume(struct job *);
void job_on_message(
    struct dispatch_exchange *, struct link *, const struct message *);
void job_on_link_lost(struct dispatch_exchange *, struct link *);

#endif
