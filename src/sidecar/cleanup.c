#include "sidecar/cleanup.h"

#include <string.h>

#include "base/list.h"
#include "base/metrics.h"

#define LOG_MODULE "cleanup"
#include "base/log.h"

METRIC_DEFINE(metric_deleted, METRIC_COUNTER,
    "heatherturn_sidecar_deleted_total", NULL,
    "Runs and blocks deleted at the upstream.");
METRIC_DEFINE(metric_pending, METRIC_GAUGE,
    "heatherturn_sidecar_deletions_pending", NULL,
    "Deletions that the upstream has yet to confirm.");

struct deletion {
	struct cleanup *cleanup;
	enum cleanup_kind kind;
	char *id;
	cleanup_done_fn *done;
	void *data;
	bool in_flight; /* a response is pending */
	struct timespec retry_at;
	TAILQ_ENTRY(deletion) entry;
};

struct cleanup {
	struct upstream *upstream;
	struct clock *clock;
	TAILQ_HEAD(deletion_list, deletion) deletions;
	size_t count;
};

/* Creates an empty list of deletions. */
struct cleanup *
cleanup_new(struct upstream *upstream, struct clock *clock)
{
	struct cleanup *cleanup = g_new0(struct cleanup, 1);

	cleanup->upstream = upstream;
	cleanup->clock = clock;
	TAILQ_INIT(&cleanup->deletions);
	return cleanup;
}

/* Removes a deletion from the list and frees it. */
static void
deletion_free(struct deletion *deletion)
{
	struct cleanup *cleanup = deletion->cleanup;

	TAILQ_REMOVE(&cleanup->deletions, deletion, entry);
	metric_set(&metric_pending, (int64_t)--cleanup->count);
	g_free(deletion->id);
	g_free(deletion);
}

/*
 * Frees the list without further callbacks; called after the upstream is freed.
 * NULL is allowed.
 */
void
cleanup_free(struct cleanup *cleanup)
{
	if (cleanup == NULL)
		return;
	while (!TAILQ_EMPTY(&cleanup->deletions))
		deletion_free(TAILQ_FIRST(&cleanup->deletions));
	g_free(cleanup);
}

/* Handles the response to a deletion: confirmed, or to be retried. */
static void
on_deletion_done(void *data, const GError *error)
{
	struct deletion *deletion = data;

	deletion->in_flight = false;
	if (error != NULL && error->code != UPSTREAM_ERROR_NOT_FOUND) {
		deletion->retry_at = time_add_ms(
		    clock_monotonic(deletion->cleanup->clock),
		    CLEANUP_RETRY_MS);
		LOG_DEBUG("deletion failed; will be retried", "{s:s, s:s}",
		    "id", deletion->id, "error", error->message);
		return;
	}
	metric_add(&metric_deleted, 1);
	LOG_DEBUG("deleted at the upstream", "{s:s}", "id", deletion->id);
	if (deletion->done != NULL)
		deletion->done(deletion->data, deletion->id);
	deletion_free(deletion);
}

/* Sends a deletion to the engine. */
static void
send_deletion(struct deletion *deletion)
{
	const struct upstream_ops *ops = deletion->cleanup->upstream->ops;

	deletion->in_flight = true;
	if (deletion->kind == CLEANUP_RUN)
		ops->cancel_run(deletion->cleanup->upstream, deletion->id,
		    on_deletion_done, deletion);
	else
		ops->delete_block(deletion->cleanup->upstream, deletion->id,
		    on_deletion_done, deletion);
}

/*
 * Deletes a run or block. done may be NULL; it is called once the engine has
 * confirmed the deletion.
 */
void
cleanup_delete(struct cleanup *cleanup, enum cleanup_kind kind, const char *id,
    cleanup_done_fn *done, void *data)
{
	struct deletion *deletion = g_new0(struct deletion, 1);

	deletion->cleanup = cleanup;
	deletion->kind = kind;
	deletion->id = g_strdup(id);
	deletion->done = done;
	deletion->data = data;
	TAILQ_INSERT_TAIL(&cleanup->deletions, deletion, entry);
	metric_set(&metric_pending, (int64_t)++cleanup->count);
	send_deletion(deletion);
}

/* Returns whether the deletion of a run or block is pending. */
bool
cleanup_has(
    const struct cleanup *cleanup, enum cleanup_kind kind, const char *id)
{
	const struct deletion *deletion;

	TAILQ_FOREACH (deletion, &cleanup->deletions, entry) {
		if (deletion->kind == kind && strcmp(deletion->id, id) == 0)
			return true;
	}
	return false;
}

/* Returns the number of deletions that the engine has yet to confirm. */
size_t
cleanup_count(const struct cleanup *cleanup)
{
	return cleanup->count;
}

/* Resends the failed deletions whose retry is due. */
void
cleanup_tick(struct cleanup *cleanup)
{
	struct timespec now = clock_monotonic(cleanup->clock);
	struct deletion *deletion, *next;

	TAILQ_FOREACH_SAFE (deletion, &cleanup->deletions, entry, next) {
		if (!deletion->in_flight &&
		    !time_before(now, deletion->retry_at))
			send_deletion(deletion);
	}
}
