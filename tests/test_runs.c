/*
 * Runs of a sidecar, with a manual clock. A case is a script of events from
 * entries, the upstream and the clock, and the log of what the sidecar does.
 */
#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "base/list.h"
#include "base/log.h"
#include "sidecar/runs.h"
#include "sidecar/unowned_runs.h"

#define START_MS	     1000000
#define TICK_MS		     50
#define DEFAULT_REMAINING_MS 20000
#define WINDOW_BYTES	     1000

struct script_case {
	const char *name;
	bool plain;
	/*
	 * Steps, separated by ';'. ID is a run's or a block's at the upstream.
	 * Messages of the current entry: submit REQUEST ATTEMPT [DEADLINE_MS],
	 * shard, cancel, resume REQUEST ATTEMPT AFTER, window, hold, release.
	 * Upstream: event ID DATA, big ID BYTES (a large event), end ID
	 * OUTCOME, deleted ID, delete-failed ID, status START_COUNT, cold,
	 * listed REQUEST ATTEMPT DEADLINE_MS (a run of an earlier process).
	 * Others: wait MS, age MS (time that messages spent in the socket),
	 * peer NAME (current entry), organisation, deaths, disconnect (the
	 * entry's link), block and unblock (its send queue), connecting,
	 * stopped (this process was, for a while), drain, exit (it is about
	 * to).
	 */
	const char *steps;
	const char *expected;
};

static const struct script_case cases[] = {
    {"a response is passed on complete and in order", false,
	"submit r1 1;event r1-1 ab;event r1-1 c;end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 ab;A CHUNK r1/1 #2 c;"
	"A FINISH r1/1 ok"},
    {"a repeated submit runs once", false, "submit r1 1;submit r1 1",
	"run r1-1;A START r1/1"},
    {"an older attempt is rejected", false, "submit r1 2;submit r1 1",
	"run r1-2;A START r1/2;A REJECT r1/1 stale"},
    {"a later attempt replaces an older one", false,
	"submit r1 1;submit r1 2;deleted r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1;run r1-2;A START r1/2"},
    {"a submit that arrives after its entry stopped waiting is not run", false,
	"age 1001;submit r1 1;age 0;resume r1 1 0",
	"A REJECT r1/1 busy;A REJECT r1/1 cancelled"},
    {"a process that was stopped rejects queued requests and accepts new",
	false, "cold;submit r1 1;submit r2 1;stopped;end r1-1 ok;submit r3 1",
	"run r1-1;A START r1/1;A REJECT r2/1 draining;A FINISH r1/1 ok;"
	"run r3-1;A START r3/1"},
    {"one crash counts once for two runs of one fingerprint", false,
	"submit r0 1;end r0-1 ok;submit r1 1;submit r2 1;end r1-1 died;"
	"end r2-1 died",
	"run r0-1;A START r0/1;A FINISH r0/1 ok;run r1-1;A START r1/1;run "
	"r2-1;A START r2/1;died 1;"
	"A FINISH r1/1 lost;delete r1-1;A FINISH r2/1 lost;delete r2-1"},
    {"a submit that was in a socket past its deadline is not run", false,
	"age 5000;submit r1 1 4000", "A REJECT r1/1 expired"},
    {"the time of a submit in a socket counts towards its deadline", false,
	"age 900;submit r1 1 1900;age 0;wait 1000;deleted r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 expired;delete r1-1"},
    {"a run past its deadline is answered and cancelled", false,
	"submit r1 1 500;wait 500;deleted r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 expired;delete r1-1"},
    {"a cancel is answered and frees the engine", false,
	"submit r1 1;cancel r1 1;deleted r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1"},
    {"a cancel that arrives before its submit prevents the run", false,
	"cancel r1 1;submit r1 1", "A REJECT r1/1 cancelled"},
    {"a cancel that arrives before its shard prevents the shard", false,
	"hold r1 100 1000;cancel r1 1;shard r1 1",
	"A HELD granted;A REJECT r1/1 cancelled"},
    {"a cancel that arrives before its submit prevents the run although an "
     "earlier attempt is here",
	false, "submit r1 1;cancel r1 2;deleted r1-1;submit r1 2",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1;A REJECT r1/2 cancelled"},
    {"a deletion is retried until the engine confirms it", false,
	"submit r1 1;cancel r1 1;delete-failed r1-1;wait 500;deleted r1-1;wait "
	"1000",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1;delete r1-1"},
    {"another entry resumes a stream after the caller's last event", false,
	"submit r1 1;event r1-1 a;event r1-1 b;disconnect;peer B;resume r1 1 1;"
	"end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;A CHUNK r1/1 #2 b;"
	"B START r1/1;B CHUNK r1/1 #2 b;B FINISH r1/1 ok"},
    {"a finished response can be requested again", false,
	"submit r1 1;event r1-1 a;disconnect;end r1-1 ok;wait 3000;peer B;"
	"resume r1 1 0",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;B START r1/1;"
	"B CHUNK r1/1 #1 a;B FINISH r1/1 ok"},
    {"another organisation does not get the stream", false,
	"submit r1 1;event r1-1 a;peer B;organisation other;resume r1 1 0",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;B REJECT r1/1 unknown"},
    {"a submit after its rejected resume never runs", false,
	"resume r1 1 0;submit r1 1",
	"A REJECT r1/1 unknown;A REJECT r1/1 cancelled"},
    {"a submit after its rejected resume is answered although an earlier "
     "attempt is here",
	false, "submit r1 1;resume r1 2 0;submit r1 2",
	"run r1-1;A START r1/1;A REJECT r1/2 unknown;A REJECT r1/2 cancelled"},
    {"a run of an earlier process is resumed by its entry", false,
	"listed r1 1 20000;resume r1 1 2;event r1-1 c;end r1-1 ok",
	"A START r1/1;resume r1-1;A CHUNK r1/1 #3 c;A FINISH r1/1 ok"},
    {"a run of an earlier process is not given to other organisations", false,
	"listed r1 1 20000;organisation other;resume r1 1 0",
	"A REJECT r1/1 unknown"},
    {"a resumed run of an earlier process is cancelled at its deadline", false,
	"listed r1 1 1000;resume r1 1 2;wait 1000;deleted r1-1",
	"A START r1/1;resume r1-1;drop r1-1;A FINISH r1/1 expired;"
	"delete r1-1"},
    {"a run of an earlier process that can't be resumed is not reported as not "
     "run",
	false, "drain;listed r1 1 20000;resume r1 1 2;deleted r1-1",
	"A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a run of an earlier process that nobody resumes is deleted", false,
	"listed r1 1 20000;wait 3950;listed r1 1 16050;wait 50;listed r1 1 "
	"16000;"
	"deleted r1-1",
	"delete r1-1"},
    {"a run of an earlier process past its deadline is deleted at once", false,
	"listed r1 1 0;deleted r1-1", "delete r1-1"},
    {"a run with an owner is not an unowned run", false,
	"submit r1 1 20000;listed r1 1 20000;wait 5000;listed r1 1 15000",
	"run r1-1;A START r1/1"},
    {"a run whose link is lost is cancelled after the grace period", false,
	"submit r1 1;disconnect;wait 9950;wait 50;deleted r1-1",
	"run r1-1;A START r1/1;drop r1-1;delete r1-1"},
    {"a run whose link is lost continues if it is resumed", false,
	"submit r1 1;disconnect;wait 9000;peer B;resume r1 1 0;wait 9000;"
	"end r1-1 ok",
	"run r1-1;A START r1/1;B START r1/1;B FINISH r1/1 ok"},
    {"queued requests are cancelled when their link is lost", false,
	"cold;submit r1 1;submit r2 1;disconnect;peer B;resume r2 1 0",
	"run r1-1;A START r1/1;B REJECT r2/1 cancelled"},
    {"a full window holds back chunks and pauses the engine", false,
	"submit r1 1;big r1-1 1500;event r1-1 x;big r1-1 70000;"
	"window r1 1 800;window r1 1 200000;end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 1500 bytes;pause r1-1;"
	"A CHUNK r1/1 #2 x;A CHUNK r1/1 #3 65536 bytes;unpause r1-1;"
	"A CHUNK r1/1 #4 4464 bytes;A FINISH r1/1 ok"},
    {"a peer whose send queue is full gets the rest later", false,
	"submit r1 1;block;event r1-1 a;end r1-1 ok;unblock",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;A FINISH r1/1 ok"},
    {"a request refused as overload is not run", false,
	"submit r1 1;end r1-1 overloaded",
	"run r1-1;A START r1/1;A FINISH r1/1 failed not run"},
    {"a request that was never sent to the engine is not run", false,
	"submit r1 1;end r1-1 unsent",
	"run r1-1;A START r1/1;A FINISH r1/1 lost not run"},
    {"a death is reported before its requests are answered", false,
	"submit r1 1;end r1-1 died;deleted r1-1",
	"run r1-1;A START r1/1;died 1;A FINISH r1/1 lost;"
	"delete r1-1"},
    {"an unresponsive engine with a new start count has died", false,
	"status 5;submit r1 1;end r1-1 lost;deleted r1-1;status 5;status 6",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1;died 1"},
    {"an unresponsive engine with the same start count has not died", false,
	"status 5;submit r1 1;end r1-1 lost;deleted r1-1;status 5;wait 15000;"
	"status 5;status 6",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a fingerprint with two deaths is refused", false, "deaths 2;submit r1 1",
	"A REJECT r1/1 quarantined"},
    {"a suspect that ends well is reported to have survived", false,
	"deaths 1;submit r1 1;end r1-1 ok",
	"run r1-1;A START r1/1;survived;A FINISH r1/1 ok"},
    {"a suspect that fails is not reported to have survived", false,
	"deaths 1;submit r1 1;end r1-1 overloaded",
	"run r1-1;A START r1/1;A FINISH r1/1 failed not run"},
    {"a draining sidecar rejects new and queued requests and lets runs finish",
	false, "cold;submit r1 1;submit r2 1;drain;submit r3 1;end r1-1 ok",
	"run r1-1;A START r1/1;A REJECT r2/1 draining;"
	"A REJECT r3/1 draining;A FINISH r1/1 ok"},
    {"a shard's block is deleted when its hold expires", false,
	"hold r1 100 1000;shard r1 1;end s1-1 ok;wait 1000;deleted s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 ok s1-1;"
	"delete block s1-1"},
    {"a hold that is renewed keeps its block", false,
	"hold r1 100 1000;shard r1 1;end s1-1 ok;wait 900;hold r1 100 1000;"
	"wait 900;release r1;deleted s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 ok s1-1;"
	"A HELD granted;delete block s1-1"},
    {"a shard whose hold ends is deleted when it is computed", false,
	"hold r1 100 1000;shard r1 1;release r1;end s1-1 ok;deleted s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 cancelled;"
	"delete block s1-1"},
    {"a hold larger than the engine's memory is refused", false,
	"hold r1 2000000 1000", "A HELD refused"},
    {"a plain call that may have been sent is not reported as not run", true,
	"submit r1 1;end r1 lost", "run r1;A START r1/1;A FINISH r1/1 lost"},
    {"a plain call that may have been sent expires with unknown outcome", true,
	"submit r1 1 500;wait 500",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 expired"},
    {"a plain call that is still connecting expires as not run", true,
	"connecting;submit r1 1 500;wait 500",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 expired not run"},
    {"a lost run is answered once, even if its deadline passes", false,
	"submit r1 1 1000;end r1-1 lost;wait 1500;deleted r1-1",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a plain call that was never sent is not run", true,
	"submit r1 1;end r1 unsent",
	"run r1;A START r1/1;A FINISH r1/1 lost not run"},
    {"a plain call whose response has expired is lost, not rejected", true,
	"submit r1 1;event r1 a;end r1 ok;wait 11000;resume r1 1 0;submit r1 1",
	"run r1;A START r1/1;A CHUNK r1/1 #1 a;A FINISH r1/1 ok;"
	"A FINISH r1/1 lost;A FINISH r1/1 lost"},
    {"a plain call continues when its link is lost", true,
	"submit r1 1;disconnect;wait 12000;end r1 ok;peer B;resume r1 1 0",
	"run r1;A START r1/1;B START r1/1;B FINISH r1/1 ok"},
    {"a plain call without an answer is lost at the exit", true,
	"submit r1 1;drain;exit",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 lost"},
    {"a plain call that is still connecting at the exit is not run", true,
	"connecting;submit r1 1;drain;exit",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 lost not run"},
    {"a plain call that was answered is answered once, also at the exit", true,
	"submit r1 1;end r1 ok;drain;exit",
	"run r1;A START r1/1;A FINISH r1/1 ok"},
    {"a stream is left at the exit for the next process", false,
	"submit r1 1;event r1-1 a;drain;exit",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a"},
};

struct fake_call {
	struct upstream_call call;
	char *id;
	uint64_t sequence;
	const struct upstream_call_ops *ops;
	void *data;
	TAILQ_ENTRY(fake_call) entry;
};

struct fake_deletion {
	char *id;
	upstream_done_fn *done;
	void *data;
	TAILQ_ENTRY(fake_deletion) entry;
};

/* Fakes of the upstream, the mesh and the entries. */
struct fixture {
	struct upstream upstream; /* first member, for casts */
	struct clock_manual clock;
	struct runs *runs;
	GString *log;
	TAILQ_HEAD(fake_calls, fake_call) calls;
	TAILQ_HEAD(fake_deletions, fake_deletion) deletions;
	const char *peer;
	const char *organisation;
	int64_t age_ms;
	uint32_t deaths;
	bool send_blocked;
	bool connecting; /* calls are not sent yet */
	int keep_alive_count;
};

/* Appends to the log of the sidecar's actions. */
static void
log_action(struct fixture *f, const char *format, ...)
{
	va_list args;

	if (f->log->len > 0)
		g_string_append_c(f->log, ';');
	va_start(args, format);
	g_string_append_vprintf(f->log, format, args);
	va_end(args);
}

/* Returns whether an id at the upstream matches that in a script. */
static bool
matches_id(const char *id, const char *wanted)
{
	size_t length = strlen(wanted);

	return strncmp(id, wanted, length) == 0 &&
	    (id[length] == '\0' || id[length] == '-');
}

/* Returns the request and attempt of an id at the upstream; caller frees it. */
static char *
strip_id_suffix(const char *id)
{
	g_auto(GStrv) parts = g_strsplit(id, "-", 3);

	if (parts[0] == NULL || parts[1] == NULL)
		return g_strdup(id);
	return g_strconcat(parts[0], "-", parts[1], NULL);
}

/* Logs an action on an id at the upstream. */
static void
log_id_action(struct fixture *f, const char *what, const char *id)
{
	g_autofree char *text = strip_id_suffix(id);

	log_action(f, "%s %s", what, text);
}

/* Finds a running call by its id. */
static struct fake_call *
find_call(struct fixture *f, const char *id)
{
	struct fake_call *call;

	TAILQ_FOREACH (call, &f->calls, entry) {
		if (matches_id(call->id, id))
			return call;
	}
	g_error("the upstream has no call %s; so far: %s", id, f->log->str);
}

/* Removes and frees a call. */
static void
free_call(struct fixture *f, struct fake_call *call)
{
	TAILQ_REMOVE(&f->calls, call, entry);
	g_free(call->id);
	g_free(call);
}

/* Makes a call that runs until the script ends it. */
static struct upstream_call *
add_call(struct fixture *f, const char *id, uint64_t sequence,
    const struct upstream_call_ops *ops, void *data)
{
	struct fake_call *call = g_new0(struct fake_call, 1);

	call->call.upstream = &f->upstream;
	call->id = g_strdup(id);
	call->sequence = sequence;
	call->ops = ops;
	call->data = data;
	TAILQ_INSERT_TAIL(&f->calls, call, entry);
	return &call->call;
}

/* Starts a run. */
static struct upstream_call *
fake_start(struct upstream *upstream, const struct upstream_request *request,
    const struct upstream_call_ops *ops, void *data)
{
	struct fixture *f = (struct fixture *)upstream;

	log_id_action(f, "run", request->id);
	return add_call(f, request->id, 0, ops, data);
}

/* Resumes a run that exists at the upstream. */
static struct upstream_call *
fake_resume(struct upstream *upstream, const char *id, uint64_t after,
    const struct upstream_call_ops *ops, void *data)
{
	struct fixture *f = (struct fixture *)upstream;

	log_id_action(f, "resume", id);
	return add_call(f, id, after, ops, data);
}

/* Logs that a run is paused or unpaused. */
static void
fake_pause(struct upstream_call *base, bool on)
{
	log_id_action((struct fixture *)base->upstream,
	    on ? "pause" : "unpause", ((struct fake_call *)base)->id);
}

/* Drops a call; returns whether it may have been sent. */
static bool
fake_drop(struct upstream_call *base)
{
	struct fixture *f = (struct fixture *)base->upstream;

	log_id_action(f, "drop", ((struct fake_call *)base)->id);
	free_call(f, (struct fake_call *)base);
	return !f->connecting;
}

/* Adds a deletion that the script completes. */
static void
add_deletion(
    struct fixture *f, const char *id, upstream_done_fn *done, void *data)
{
	struct fake_deletion *deletion = g_new0(struct fake_deletion, 1);

	deletion->id = g_strdup(id);
	deletion->done = done;
	deletion->data = data;
	TAILQ_INSERT_TAIL(&f->deletions, deletion, entry);
}

/* Deletes a run. */
static void
fake_cancel_run(struct upstream *upstream, const char *id,
    upstream_done_fn *done, void *data)
{
	log_id_action((struct fixture *)upstream, "delete", id);
	add_deletion((struct fixture *)upstream, id, done, data);
}

/* Deletes a block. */
static void
fake_delete_block(struct upstream *upstream, const char *id,
    upstream_done_fn *done, void *data)
{
	log_id_action((struct fixture *)upstream, "delete block", id);
	add_deletion((struct fixture *)upstream, id, done, data);
}

/* Does nothing: the script lists the engine's runs. */
static void
fake_list_runs(struct upstream *upstream, upstream_list_fn *fn, void *data)
{
}

static const struct upstream_ops engine_ops = {
    .start = fake_start,
    .resume = fake_resume,
    .pause = fake_pause,
    .drop = fake_drop,
    .cancel_run = fake_cancel_run,
    .delete_block = fake_delete_block,
    .list_runs = fake_list_runs,
};

static const struct upstream_ops plain_ops = {
    .start = fake_start,
    .pause = fake_pause,
    .drop = fake_drop,
};

/* Logs a chunk. */
static void
log_chunk(struct fixture *f, const char *peer, const struct message *message)
{
	int length = (int)message->chunk.data.length;

	if (length > 9)
		log_action(f, "%s CHUNK %s/%u #%d %d bytes", peer,
		    message->request, message->attempt, (int)message->sequence,
		    length);
	else
		log_action(f, "%s CHUNK %s/%u #%d %.*s", peer, message->request,
		    message->attempt, (int)message->sequence, length,
		    (const char *)message->chunk.data.data);
}

/* Logs a message to an entry. */
static void
log_message(struct fixture *f, const char *peer, const struct message *message)
{
	const char *id = message->request;
	unsigned int attempt = message->attempt;
	g_autofree char *kv = message->kind == MESSAGE_FINISH
	    ? strip_id_suffix(message->finish.kv)
	    : NULL;

	switch (message->kind) {
	case MESSAGE_START:
		log_action(f, "%s START %s/%u", peer, id, attempt);
		break;
	case MESSAGE_CHUNK:
		log_chunk(f, peer, message);
		break;
	case MESSAGE_REJECT:
		log_action(f, "%s REJECT %s/%u %s", peer, id, attempt,
		    reject_reason_name(message->reject.reason));
		break;
	case MESSAGE_FINISH:
		log_action(f, "%s FINISH %s/%u %s%s%s%s", peer, id, attempt,
		    finish_outcome_name(message->finish.outcome),
		    message->finish.not_run ? " not run" : "",
		    message->finish.kv[0] != '\0' ? " " : "", kv);
		break;
	case MESSAGE_HELD:
		log_action(f, "%s HELD %s", peer,
		    message->held.granted ? "granted" : "refused");
		break;
	default:
		g_error("unexpected message %u", message->kind);
	}
}

/* Logs a message that the sidecar sends, after encoding and decoding it. */
static bool
on_send(void *data, void *peer, struct message *message)
{
	struct fixture *f = data;
	g_autoptr(GByteArray) frame = NULL;
	struct message *copy;

	if (f->send_blocked)
		return false;
	frame = message_encode(message, NULL);
	copy = message_decode(frame->data, frame->len, NULL);
	g_assert_nonnull(copy);
	log_message(f, peer, copy);
	message_free(copy);
	return true;
}

/* Counts the requests that keep a peer's link alive. */
static void
on_keep_alive(void *data, void *peer, bool on)
{
	struct fixture *f = data;

	f->keep_alive_count += on ? 1 : -1;
	g_assert_cmpint(f->keep_alive_count, >=, 0);
}

/* Returns the number of deaths of a fingerprint. */
static uint32_t
count_deaths(void *data, uint64_t fingerprint)
{
	return ((struct fixture *)data)->deaths;
}

/* Logs a death. */
static void
on_death(void *data, uint64_t fingerprint, uint32_t deaths)
{
	log_action(data, "died %u", deaths);
}

/* Logs a survival. */
static void
on_survival(void *data, uint64_t fingerprint)
{
	log_action(data, "survived");
}

/* Passes a message of the current peer to the sidecar. */
static void
send_to_sidecar(
    struct fixture *f, uint32_t kind, char **args, struct message *message)
{
	message->kind = kind;
	g_strlcpy(message->request, args[1], sizeof(message->request));
	message->attempt = args[2] != NULL
	    ? (uint32_t)strtoul(args[2], NULL, 10)
	    : 0;
	runs_on_message(f->runs, (void *)f->peer, message, f->age_ms);
}

/* Submits a request; the optional fourth argument is the time left in ms. */
static void
do_submit(struct fixture *f, char **args, enum work_kind work)
{
	const char *time_left = args[2] != NULL ? args[3] : NULL;
	struct message message = {.submit = {
				      .organisation = (char *)f->organisation,
				      .service = (char *)"s",
				      .work = work,
				      .class = WORK_SHORT,
				      .remaining_ms = DEFAULT_REMAINING_MS,
				      .prompt_tokens = 10,
				      .output_tokens = 10,
				      .fingerprint = 7,
				      .window_bytes = WINDOW_BYTES,
				  }};

	if (time_left != NULL)
		message.submit.remaining_ms = (uint32_t)strtoul(
		    time_left, NULL, 10);
	send_to_sidecar(f, MESSAGE_SUBMIT, args, &message);
}

/* Reports the next event of a call. */
static void
do_event(struct fixture *f, const char *id, const char *text, size_t length)
{
	struct fake_call *call = find_call(f, id);
	struct upstream_event event = {.sequence = ++call->sequence,
	    .tokens = 1,
	    .data = (const uint8_t *)text,
	    .length = length};

	call->ops->event(call->data, &event);
}

/* Ends a call with the outcome given. */
static void
do_end(struct fixture *f, const char *id, const char *outcome)
{
	static const struct {
		const char *outcome;
		enum upstream_error code;
		bool sent;
	} ends[] = {
	    {"overloaded", UPSTREAM_ERROR_OVERLOADED, true},
	    {"unsent", UPSTREAM_ERROR_DIED, false},
	    {"died", UPSTREAM_ERROR_DIED, true},
	    {"lost", UPSTREAM_ERROR_LOST, true},
	};
	struct fake_call *call = find_call(f, id);
	struct upstream_end end = {.sent = true};
	g_autoptr(GError) error = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		if (strcmp(ends[i].outcome, outcome) != 0)
			continue;
		error = g_error_new_literal(
		    UPSTREAM_ERROR, (gint)ends[i].code, outcome);
		end.error = error;
		end.sent = ends[i].sent;
	}
	call->ops->ended(call->data, &end);
	free_call(f, call);
}

/* Completes a deletion. */
static void
do_deleted(struct fixture *f, const char *id, bool deleted)
{
	struct fake_deletion *deletion;
	GError error = {UPSTREAM_ERROR, UPSTREAM_ERROR_LOST, (char *)"silent"};

	TAILQ_FOREACH (deletion, &f->deletions, entry) {
		if (matches_id(deletion->id, id))
			break;
	}
	g_assert_nonnull(deletion);
	TAILQ_REMOVE(&f->deletions, deletion, entry);
	deletion->done(deletion->data, deleted ? NULL : &error);
	g_free(deletion->id);
	g_free(deletion);
}

/* Advances the clock in small steps and runs the timers that are due. */
static void
do_wait(struct fixture *f, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += TICK_MS) {
		struct timespec wake = runs_next_wake(f->runs);

		clock_manual_advance(&f->clock, TICK_MS);
		if (time_is_set(wake) &&
		    !time_before(clock_monotonic(&f->clock.clock), wake))
			runs_tick(f->runs);
	}
}

/* Lists a run at the engine that an earlier process started for o1. */
static void
do_listed_run(struct fixture *f, char **args)
{
	int64_t left_ms = strtol(args[3], NULL, 10);
	char id[UPSTREAM_RUN_ID_SIZE];
	struct upstream_item item = {.id = id, .tokens = 100};

	unowned_runs_format_id(id, args[1],
	    (uint32_t)strtoul(args[2], NULL, 10), "o1",
	    time_to_ms(clock_wall(&f->clock.clock)) + left_ms);
	runs_check_listed_runs(f->runs, &item, 1);
}

/* Reports a status of the engine. */
static void
do_status(struct fixture *f, uint64_t start_count, bool warm)
{
	struct upstream_status status = {
	    .warm = warm, .start_count = start_count, .slots = 4};

	runs_update_status(f->runs, &status, NULL);
}

/* Runs a step that is an entry's message; returns false if it is not. */
static bool
do_message(struct fixture *f, char **args)
{
	struct message message = {0};
	uint32_t last = g_strv_length(args) > 3
	    ? (uint32_t)strtoul(args[3], NULL, 10)
	    : 0;

	if (strcmp(args[0], "submit") == 0) {
		do_submit(f, args,
		    f->upstream.ops == &plain_ops ? WORK_CALL : WORK_GENERATE);
	} else if (strcmp(args[0], "shard") == 0) {
		do_submit(f, args, WORK_SHARD);
	} else if (strcmp(args[0], "cancel") == 0) {
		message.cancel.reason = (char *)"";
		send_to_sidecar(f, MESSAGE_CANCEL, args, &message);
	} else if (strcmp(args[0], "resume") == 0) {
		message.resume.organisation = (char *)f->organisation;
		message.resume.after = last;
		message.resume.window_bytes = WINDOW_BYTES;
		send_to_sidecar(f, MESSAGE_RESUME, args, &message);
	} else if (strcmp(args[0], "window") == 0) {
		message.window.bytes = last;
		send_to_sidecar(f, MESSAGE_WINDOW, args, &message);
	} else if (strcmp(args[0], "hold") == 0) {
		message.hold.tokens = strtoul(args[2], NULL, 10);
		message.hold.expires_ms = last;
		send_to_sidecar(f, MESSAGE_HOLD, args, &message);
	} else if (strcmp(args[0], "release") == 0) {
		send_to_sidecar(f, MESSAGE_RELEASE, args, &message);
	} else {
		return false;
	}
	return true;
}

/* Runs a step of the upstream; returns false if it is not one. */
static bool
do_upstream(struct fixture *f, char **args)
{
	g_autofree char *big = NULL;

	if (strcmp(args[0], "event") == 0) {
		do_event(f, args[1], args[2], strlen(args[2]));
	} else if (strcmp(args[0], "big") == 0) {
		big = g_malloc0(strtoul(args[2], NULL, 10));
		do_event(f, args[1], big, strtoul(args[2], NULL, 10));
	} else if (strcmp(args[0], "end") == 0) {
		do_end(f, args[1], args[2]);
	} else if (strcmp(args[0], "deleted") == 0) {
		do_deleted(f, args[1], true);
	} else if (strcmp(args[0], "delete-failed") == 0) {
		do_deleted(f, args[1], false);
	} else if (strcmp(args[0], "status") == 0) {
		do_status(f, strtoul(args[1], NULL, 10), true);
	} else if (strcmp(args[0], "listed") == 0) {
		do_listed_run(f, args);
	} else if (strcmp(args[0], "cold") == 0) {
		do_status(f, 1, false);
	} else {
		return false;
	}
	return true;
}

/* Runs any other step. */
static void
do_other(struct fixture *f, char **args)
{
	if (strcmp(args[0], "wait") == 0) {
		do_wait(f, strtol(args[1], NULL, 10));
	} else if (strcmp(args[0], "age") == 0) {
		f->age_ms = strtol(args[1], NULL, 10);
	} else if (strcmp(args[0], "peer") == 0) {
		f->peer = g_intern_string(args[1]);
	} else if (strcmp(args[0], "organisation") == 0) {
		f->organisation = g_intern_string(args[1]);
	} else if (strcmp(args[0], "deaths") == 0) {
		f->deaths = (uint32_t)strtoul(args[1], NULL, 10);
	} else if (strcmp(args[0], "disconnect") == 0) {
		f->keep_alive_count = 0;
		runs_on_peer_lost(f->runs, (void *)f->peer);
	} else if (strcmp(args[0], "block") == 0) {
		f->send_blocked = true;
	} else if (strcmp(args[0], "unblock") == 0) {
		f->send_blocked = false;
		runs_on_peer_writable(f->runs, (void *)f->peer);
	} else if (strcmp(args[0], "connecting") == 0) {
		f->connecting = true;
	} else if (strcmp(args[0], "stopped") == 0) {
		runs_reject_queued(f->runs);
	} else if (strcmp(args[0], "drain") == 0) {
		runs_set_draining(f->runs, true);
	} else if (strcmp(args[0], "exit") == 0) {
		runs_end_calls(f->runs);
	} else {
		g_error("unknown step %s", args[0]);
	}
}

/* Makes the sidecar's runs: one slot while cold, four while warm. */
static void
set_up(struct fixture *f, bool plain)
{
	static const struct runs_ops ops = {.send = on_send,
	    .set_link_in_use = on_keep_alive,
	    .deaths = count_deaths,
	    .report_death = on_death,
	    .report_survival = on_survival};
	struct runs_settings settings = {.upstream = &f->upstream,
	    .clock = &f->clock.clock,
	    .upstream_address = "E"};

	clock_manual_init(&f->clock, START_MS);
	admission_limits_init(&settings.limits);
	settings.limits.slots = 4;
	settings.limits.cold_slots = 1;
	settings.limits.memory_tokens = plain ? 0 : 1000000;
	f->upstream.ops = plain ? &plain_ops : &engine_ops;
	f->log = g_string_new(NULL);
	f->peer = "A";
	f->organisation = "o1";
	TAILQ_INIT(&f->calls);
	TAILQ_INIT(&f->deletions);
	f->runs = runs_new(&settings, &ops, f);
	do_status(f, 1, true);
}

/* Frees the fixture. */
static void
tear_down(struct fixture *f)
{
	struct fake_deletion *deletion;

	runs_free(f->runs);
	g_assert_cmpint(f->keep_alive_count, ==, 0);
	while ((deletion = TAILQ_FIRST(&f->deletions)) != NULL) {
		TAILQ_REMOVE(&f->deletions, deletion, entry);
		g_free(deletion->id);
		g_free(deletion);
	}
	g_string_free(f->log, TRUE);
}

/* The log of a script is as expected. */
static void
test_script(gconstpointer data)
{
	const struct script_case *c = data;
	g_auto(GStrv) steps = g_strsplit(c->steps, ";", -1);
	struct fixture f = {0};

	set_up(&f, c->plain);
	for (size_t i = 0; steps[i] != NULL; i++) {
		g_auto(GStrv) args = g_strsplit(steps[i], " ", -1);

		if (!do_message(&f, args) && !do_upstream(&f, args))
			do_other(&f, args);
	}
	g_assert_cmpstr(f.log->str, ==, c->expected);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	log_init(LOG_LEVEL_ERROR, &(struct log_identity){0});
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/runs/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_script);
	}
	return g_test_run();
}
