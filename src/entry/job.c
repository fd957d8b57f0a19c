#include "entry/job.h"

#include <string.h>

#include "entry/job_state.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* Cancels a job, also at its sidecar, and frees it. */
static void
job_cancel(struct dispatch_exchange *exchange, const char *reason)
{
	struct job *job = (struct job *)exchange;

	job_send_cancel(job, reason);
	LOG_INFO("request cancelled", "{s:s, s:s}", "request",
	    job->exchange.request, "why", reason);
	job_free(job);
}

/* Detaches from the stream, which stays at the sidecar; frees the job. */
static void
job_detach(struct dispatch_exchange *exchange)
{
	struct job *job = (struct job *)exchange;

	LOG_INFO("stream detached", "{s:s, s:I}", "request",
	    job->exchange.request, "sequence", (json_int_t)job->sequence);
	job_free(job);
}

/* Adds to the sidecar's flow-control window what the caller has read. */
static void
job_consumed(struct dispatch_exchange *exchange, size_t bytes)
{
	struct job *job = (struct job *)exchange;
	struct message message = job_make_message(job, MESSAGE_WINDOW);

	job->unreported_bytes += bytes;
	if (job->unreported_bytes < JOB_WINDOW_BYTES / 2 || job->link == NULL)
		return;
	message.window.bytes = (uint32_t)job->unreported_bytes;
	if (link_send(job->link, &message))
		job->unreported_bytes = 0;
}

/*
 * The process exits. A stream that its caller can resume stays at its sidecar,
 * also while this entry looks for it; so does a call, whose sidecar ends it.
 */
static void
job_end(struct dispatch_exchange *exchange)
{
	struct job *job = (struct job *)exchange;

	if (job->ops->keeps != NULL && job->ops->keeps(job->data))
		return;
	if (job->spec.work == WORK_GENERATE && job->phase != PHASE_RESUMING)
		job_send_cancel(job, "entry exits");
	job_fail_exiting(job);
}

static const struct dispatch_exchange_ops job_exchange_ops = {
    .message = job_on_message,
    .lost = job_on_link_lost,
    .cancel = job_cancel,
    .detach = job_detach,
    .end = job_end,
    .consumed = job_consumed,
};

/* The deadline has passed or the phase has timed out. */
static void
on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct job *job = timer->data;
	struct timespec now = job_now(job);

	if (!time_before(now, job_time_limit(job)))
		job_fail_expired(job);
	else if (!time_is_set(job->phase_end) ||
	    time_before(now, job->phase_end))
		job_set_timer(job);
	else if (job->phase == PHASE_PROBING)
		job_on_probe_timeout(job);
	else if (job->phase == PHASE_RESUMING && job->link == NULL)
		job_send_resume(job);
	else
		job_retry(job, "sidecar did not resume the stream in time");
}

/* Copies the specification's strings; NULL becomes "". */
static void
copy_spec_strings(struct job *job)
{
	const char **fields[] = {&job->spec.organisation, &job->spec.service,
	    &job->spec.method, &job->spec.path, &job->spec.content_type,
	    &job->spec.idempotency_key};

	job->spec_strings = g_new0(char *, G_N_ELEMENTS(fields) + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const char *text = *fields[i] != NULL ? *fields[i] : "";

		job->spec_strings[i] = g_strdup(text);
		*fields[i] = job->spec_strings[i];
	}
}

/* Creates a job that has sent nothing yet. */
static struct job *
job_new(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_ops *ops, void *data)
{
	struct job *job = g_new0(struct job, 1);

	job->exchange.ops = &job_exchange_ops;
	g_strlcpy(job->exchange.request, spec->request,
	    sizeof(job->exchange.request));
	job->dispatch = dispatch;
	job->spec = *spec;
	job->spec.request = job->exchange.request;
	copy_spec_strings(job);
	job->prefixes = g_memdup2(
	    spec->prefixes, spec->prefix_count * sizeof(*spec->prefixes));
	if (spec->body != NULL)
		g_bytes_ref(spec->body);
	job->ops = ops;
	job->data = data;
	job->tried = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&job->timer, on_timer, 0, 0);
	job->timer.data = job;
	dispatch_add_exchange(dispatch, &job->exchange);
	return job;
}

/* Sends the job's first message, from the event loop. */
static void
on_start_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct job *job = timer->data;

	ev_set_cb(&job->timer, on_timer);
	if (job->phase == PHASE_RESUMING)
		job_send_resume(job);
	else
		job_probe_candidates(job);
}

/*
 * Starts a job from the event loop, so that no callback is called before
 * job_start() or job_resume() has returned.
 */
static void
schedule_start(struct job *job, enum job_phase phase)
{
	job->phase = phase;
	ev_set_cb(&job->timer, on_start_timer);
	ev_timer_set(&job->timer, 0, 0);
	ev_timer_start(dispatch_loop(job->dispatch), &job->timer);
}

/*
 * Starts a job. Its callbacks are called from the event loop, none before this
 * returns. The job is freed after finished or failed.
 */
struct dispatch_exchange *
job_start(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_ops *ops, void *data)
{
	struct job *job = job_new(dispatch, spec, ops, data);

	job->started_at = job_now(job);
	schedule_start(job, PHASE_PROBING);
	return &job->exchange;
}

/*
 * Resumes a stream at the upstream that has it. The specification needs no
 * body, since a stream that is not found there is not restarted. Returns NULL
 * if the upstream is unknown.
 */
struct dispatch_exchange *
job_resume(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_stream_position *position, const struct job_ops *ops,
    void *data)
{
	const Heatherturn__V1__Upstream *upstream = config_find_upstream(
	    dispatch_config(dispatch), position->upstream);
	struct job *job;

	if (upstream == NULL)
		return NULL;
	job = job_new(dispatch, spec, ops, data);
	job->exchange.upstream = g_strdup(upstream->id);
	job->address = g_strdup(upstream->sidecar_address);
	job->exchange.attempt = position->attempt;
	job->sequence = position->sequence;
	job->attempt_may_have_run = true;
	schedule_start(job, PHASE_RESUMING);
	return &job->exchange;
}
