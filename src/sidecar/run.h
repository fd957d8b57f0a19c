/*
 * One request at the sidecar, and what the files of runs.h share.
 */
#ifndef SIDECAR_RUN_H
#define SIDECAR_RUN_H

#include <glib.h>

#include "base/list.h"
#include "sidecar/attempt_table.h"
#include "sidecar/block_table.h"
#include "sidecar/cache_view.h"
#include "sidecar/cleanup.h"
#include "sidecar/replay_buffer.h"
#include "sidecar/runs.h"
#include "sidecar/token_rate.h"
#include "sidecar/unowned_runs.h"

enum run_state {
	RUN_QUEUED,
	RUN_RUNNING,
	RUN_CANCELLING, /* answered; the upstream has yet to let go */
	RUN_ENDED, /* the upstream holds nothing of it */
};

struct run {
	struct runs *runs;
	char request[REQUEST_ID_SIZE];
	char key[REQUEST_ID_SIZE]; /* of the table: shards have their own */
	char id[UPSTREAM_RUN_ID_SIZE]; /* at the upstream */
	uint32_t attempt;
	enum work_kind work;
	struct message *submit; /* its body is dropped at the end */
	void *peer; /* NULL where the link is lost */
	bool blocked; /* the peer takes no more now */
	enum run_state state;
	uint64_t job; /* at the admission; 0 once it is done there */
	struct timespec deadline;
	struct timespec orphan_deadline; /* set while the link is lost */
	struct timespec ended_at;
	struct timespec
	    cancel_deadline; /* a cancelled shard is given up then */
	struct timespec started_at;
	uint64_t cached_tokens; /* as believed at the submit */
	bool suspect;
	bool has_first_event;
	struct upstream_call *call;
	bool reached_upstream; /* the upstream has been given it */
	bool adopted; /* by another process; it stands there already */
	bool is_upstream_paused;
	struct timespec unpaused_since; /* generates without pause */
	struct replay_buffer replay;
	struct message *start; /* to be sent; NULL once it was */
	struct message *answer; /* the final one */
	bool answer_sent; /* it was sent */
	TAILQ_ENTRY(run) entry;
};

/* A run that was lost without a sign that the upstream died. */
struct lost_run {
	uint64_t fingerprint;
	uint64_t start_count;
	struct timespec at;
};

struct runs {
	struct upstream *upstream;
	struct clock *clock;
	char *upstream_address;
	const struct runs_ops *ops;
	void *data;
	struct admission *admission;
	struct attempt_table *attempts;
	struct cache_view *cache;
	struct cleanup *cleanup;
	struct block_table *block_table;
	struct unowned_runs *unowned_runs;
	GHashTable *table; /* key -> the latest attempt's struct run */
	TAILQ_HEAD(run_list, run) list;
	GArray *lost_runs; /* struct lost_run */
	GHashTable
	    *crash_times; /* fingerprint -> time of its last death, in ms */
	uint64_t start_count;
	struct timespec ticked_at;
	struct token_rate token_rate;
	struct runs_capacity capacity; /* as configured */
	bool draining;
	bool dispatching;
	bool dispatch_again;
};

/* runs.c */
struct timespec runs_now(const struct runs *);
void run_destroy(struct run *);
void run_set_peer(struct run *, void *peer);
bool run_is_orphan(const struct run *);

/* run_submit.c */
void runs_probe(
    struct runs *, void *peer, const struct message *, int64_t age_ms);
void runs_submit(
    struct runs *, void *peer, const struct message *, int64_t age_ms);

struct run *run_new(struct runs *, void *peer, const struct message *message,
    int64_t remaining_ms);
void run_admit(struct run *, uint32_t deaths);

/* run_adopt.c */
bool runs_adopt(struct runs *, void *peer, const struct message *resume);

/* run_admission.c */
void runs_dispatch(struct runs *);
void run_set_ended(struct run *, enum admission_outcome);
void run_reject(
    struct run *, enum reject_reason, int64_t retry_after_ms, const char *text);

/* run_upstream.c */
void run_start(struct run *, uint32_t priority);
bool run_drop_call(struct run *);
void run_cancel_at_upstream(struct run *);
void run_abandon_shard(struct run *);
void runs_check_lost(
    struct runs *, const struct upstream_status *, const GError *);

/* run_output.c */
void run_flush(struct run *);
void run_queue_start(struct run *, int64_t queued_ms);
void run_finish(struct run *, enum finish_outcome, bool not_run,
    const struct upstream_end *, const char *text);
void runs_reply_reject(struct runs *, void *peer, const struct message *,
    enum reject_reason, int64_t retry_after_ms, const char *text);
void runs_reply_lost(
    struct runs *, void *peer, const struct message *, const char *text);

#endif
