/*
 * One attempt of a request at the sidecar, and the functions that the files
 * behind runs.h share.
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
	RUN_CANCELLING, /* final answer set; the upstream has yet to end it */
	RUN_ENDED, /* no longer at the upstream */
};

struct run {
	struct runs *runs;
	char request[REQUEST_ID_SIZE];
	char key[REQUEST_ID_SIZE]; /* in the table; shards have their own */
	char id[UPSTREAM_RUN_ID_SIZE]; /* at the upstream */
	uint32_t attempt;
	enum work_kind work;
	struct message *submit; /* its SUBMIT; body freed at the start */
	void *peer; /* NULL while no entry is attached */
	bool blocked; /* the link's send queue is full */
	enum run_state state;
	uint64_t job; /* id from admission_submit(); 0 once it ended there */
	struct timespec deadline;
	struct timespec orphan_deadline; /* unset while linked */
	struct timespec ended_at;
	struct timespec cancel_deadline; /* of a cancelled shard */
	struct timespec started_at;
	uint64_t cached_tokens; /* estimated when it was admitted */
	bool suspect;
	bool has_first_event;
	struct upstream_call *call;
	bool reached_upstream; /* may have been received by the upstream */
	bool adopted; /* started by an earlier sidecar process, resumed here */
	bool is_upstream_paused;
	struct timespec unpaused_since; /* not paused since then */
	struct replay_buffer replay;
	struct message *start; /* not sent yet; NULL once sent */
	struct message *answer; /* the final one: REJECT or FINISH */
	bool answer_sent; /* the final answer was sent */
	TAILQ_ENTRY(run) entry;
};

/* A run that ended without a response or a sign that the upstream died. */
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
	GHashTable *table; /* key -> struct run of the latest attempt */
	TAILQ_HEAD(run_list, run) list;
	GArray *lost_runs; /* struct lost_run */
	GHashTable *crash_times; /* fingerprint -> last death, in ms */
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

void runs_write_key(
    char key[REQUEST_ID_SIZE], const char *request, enum work_kind);
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
