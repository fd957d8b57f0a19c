/*
 * Event streams of runs, resumable from any event. The text of an event depends
 * only on the prompt and the event's number, so nothing is buffered.
 */
#include "engine.h"

#define PENDING_MAX_BYTES (size_t)(64 * 1024)

struct run_stream {
	struct pending_request pending;
	struct httpd_request *request;
	struct run *run;
	uint64_t next;
	TAILQ_ENTRY(run_stream) entry;
};

/* Detaches a stream from its run. */
static void
run_stream_free(struct run_stream *stream)
{
	httpd_request_set_data(stream->request, NULL);
	TAILQ_REMOVE(&stream->run->streams, stream, entry);
	g_free(stream);
}

/* The client disconnected: the run goes on, an unfinished block is cancelled.
 */
static void
on_closed(struct pending_request *pending)
{
	struct run_stream *stream = (struct run_stream *)pending;
	struct run *run = stream->run;

	run_stream_free(stream);
	if (run->block && run->state != RUN_DONE)
		engine_model_remove(&engine.model, run);
}

/* Returns the number of text events so far. */
static uint64_t
count_events(const struct run *run)
{
	uint64_t tokens_per_event = engine.model.settings.event_tokens;

	if (run->state == RUN_DONE)
		return (run->emitted + tokens_per_event - 1) / tokens_per_event;
	return run->emitted / tokens_per_event;
}

/* Writes one event of text. */
static void
write_text(struct run_stream *stream)
{
	const struct run *run = stream->run;
	uint64_t tokens_per_event = engine.model.settings.event_tokens;
	uint64_t tokens = MIN(tokens_per_event,
	    run->emitted - (stream->next - 1) * tokens_per_event);
	char text[256];
	int length = g_snprintf(text, sizeof(text),
	    "id: %" G_GUINT64_FORMAT "\ndata: {\"seq\":%" G_GUINT64_FORMAT
	    ",\"text\":\"%08x:%" G_GUINT64_FORMAT
	    " \",\"tokens\":%" G_GUINT64_FORMAT "}\n\n",
	    stream->next, stream->next, run->digest, stream->next, tokens);

	httpd_stream_write(stream->request, text, (size_t)length);
	stream->next++;
}

/* Writes the last event and ends the stream. */
static void
write_end(struct run_stream *stream)
{
	const struct run *run = stream->run;
	char text[320];
	int length = g_snprintf(text, sizeof(text),
	    "id: %" G_GUINT64_FORMAT "\ndata: {\"seq\":%" G_GUINT64_FORMAT
	    ",\"done\":true,\"finish_reason\":\"length\",\"prompt_tokens\":"
	    "%" G_GUINT64_FORMAT ",\"output_tokens\":%" G_GUINT64_FORMAT
	    ",\"cached_tokens\":%" G_GUINT64_FORMAT "}\n\n",
	    stream->next, stream->next, run->prompt_tokens, run->emitted,
	    run->cached_tokens);

	httpd_stream_write(stream->request, text, (size_t)length);
	httpd_stream_end(stream->request);
	run_stream_free(stream);
}

/* Writes the available events, up to the client's backlog limit. */
static void
write_events(struct run_stream *stream)
{
	uint64_t count = count_events(stream->run);

	while (stream->next <= count) {
		if (httpd_stream_pending(stream->request) > PENDING_MAX_BYTES)
			return;
		write_text(stream);
	}
	if (stream->run->state == RUN_DONE)
		write_end(stream);
}

/* Responds to the request for a block once it is computed. */
static void
respond_block(struct run_stream *stream)
{
	const struct run *run = stream->run;

	if (run->state != RUN_DONE)
		return;
	standin_respond_json(stream->request, 200,
	    json_pack("{s:s, s:I}", "id", run->id, "tokens",
		(json_int_t)run->prompt_tokens));
	run_stream_free(stream);
}

/* Streams a run's events after a number, or waits for a block. */
void
run_stream_start(struct run *run, struct httpd_request *request, uint64_t after)
{
	static const struct http_header headers[] = {
	    {"Content-Type", "text/event-stream"}};
	struct run_stream *stream = g_new0(struct run_stream, 1);

	stream->pending.closed = on_closed;
	stream->request = request;
	stream->run = run;
	stream->next = after + 1;
	TAILQ_INSERT_TAIL(&run->streams, stream, entry);
	httpd_request_set_data(request, stream);
	if (run->block) {
		respond_block(stream);
		return;
	}
	httpd_stream_begin(request, 200, headers, 1);
	write_events(stream);
}

/* A run has made progress. */
void
run_streams_on_progress(struct run *run)
{
	struct run_stream *stream, *next;

	TAILQ_FOREACH_SAFE (stream, &run->streams, entry, next) {
		if (run->block)
			respond_block(stream);
		else
			write_events(stream);
	}
}

/* A run was dropped: aborts its streams. */
void
run_streams_on_dropped(struct run *run)
{
	struct run_stream *stream, *next;

	TAILQ_FOREACH_SAFE (stream, &run->streams, entry, next) {
		httpd_abort(stream->request);
		run_stream_free(stream);
	}
}

/* The client has read its backlog: continues the stream. */
void
run_stream_on_drained(struct httpd_request *request)
{
	struct run_stream *stream = httpd_request_data(request);

	if (stream != NULL)
		write_events(stream);
}
