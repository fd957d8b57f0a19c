/*
 * Requests at the sidecar under a manual clock. A case is a script of what
 * entries, the upstream and time do, and what the sidecar must say to each.
 */
#include <stdlib.h>
#include <string.h>

#include "base/invariant.h"
#include "base/list.h"
#include "base/log.h"
#include "sidecar/runs.h"
#include "sidecar/unowned_runs.h"

#define START_MS	1000000
#define TICK_MS		50
#define DEFAULT_LEFT_MS 20000
#define WINDOW_BYTES	1000

struct script_case {
	const char *name;
	bool plain;
	const char *steps;
	const char *expected;
};

static const struct script_case cases[] = {
    {"an answer passes whole and in order", false,
	"submit r1 1;event r1-1 ab;event r1-1 c;end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 ab;A CHUNK r1/1 #2 c;"
	"A FINISH r1/1 ok"},
    {"a repeated submit runs once", false, "submit r1 1;submit r1 1",
	"run r1-1;A START r1/1"},
    {"an older attempt is refused", false, "submit r1 2;submit r1 1",
	"run r1-2;A START r1/2;A REJECT r1/1 stale"},
    {"a later attempt takes the place of an older one", false,
	"submit r1 1;submit r1 2;gone r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1;run r1-2;A START r1/2"},
    {"a submit that came too late for its entry is not run", false,
	"age 1001;submit r1 1;age 0;resume r1 1 0",
	"A REJECT r1/1 busy;A REJECT r1/1 cancelled"},
    {"a process that was stopped gives back what waits and takes new", false,
	"cold;submit r1 1;submit r2 1;stopped;end r1-1 ok;submit r3 1",
	"run r1-1;A START r1/1;A REJECT r2/1 draining;A FINISH r1/1 ok;"
	"run r3-1;A START r3/1"},
    {"one crash counts once for two requests alike", false,
	"submit r0 1;end r0-1 ok;submit r1 1;submit r2 1;end r1-1 died;"
	"end r2-1 died",
	"run r0-1;A START r0/1;A FINISH r0/1 ok;run r1-1;A START r1/1;run "
	"r2-1;A START r2/1;died 1;"
	"A FINISH r1/1 lost;delete r1-1;A FINISH r2/1 lost;delete r2-1"},
    {"a submit that sat in a socket past its deadline is not run", false,
	"age 5000;submit r1 1 4000", "A REJECT r1/1 expired"},
    {"a submit that sat in a socket has only the rest of its time", false,
	"age 900;submit r1 1 1900;age 0;wait 1000;gone r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 expired;delete r1-1"},
    {"a run past its deadline is answered and cancelled", false,
	"submit r1 1 500;wait 500;gone r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 expired;delete r1-1"},
    {"a cancel is answered and frees the engine", false,
	"submit r1 1;cancel r1 1;gone r1-1",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1"},
    {"a cancel that overtakes its submit keeps it from running", false,
	"cancel r1 1;submit r1 1", "A REJECT r1/1 cancelled"},
    {"a deletion is asked again until the engine confirms it", false,
	"submit r1 1;cancel r1 1;stuck r1-1;wait 500;gone r1-1;wait 1000",
	"run r1-1;A START r1/1;drop r1-1;A FINISH r1/1 cancelled;"
	"delete r1-1;delete r1-1"},
    {"another entry takes a stream up where the caller left it", false,
	"submit r1 1;event r1-1 a;event r1-1 b;lost;peer B;resume r1 1 1;"
	"end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;A CHUNK r1/1 #2 b;"
	"B START r1/1;B CHUNK r1/1 #2 b;B FINISH r1/1 ok"},
    {"a finished answer can be asked for again", false,
	"submit r1 1;event r1-1 a;lost;end r1-1 ok;wait 3000;peer B;"
	"resume r1 1 0",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;B START r1/1;"
	"B CHUNK r1/1 #1 a;B FINISH r1/1 ok"},
    {"another organisation does not get the stream", false,
	"submit r1 1;event r1-1 a;peer B;organisation other;resume r1 1 0",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;B REJECT r1/1 unknown"},
    {"a submit that comes after its resume was refused never runs", false,
	"resume r1 1 0;submit r1 1",
	"A REJECT r1/1 unknown;A REJECT r1/1 cancelled"},
    {"a run that an earlier process left is taken up by its entry", false,
	"left r1 1 20000;resume r1 1 2;event r1-1 c;end r1-1 ok",
	"A START r1/1;resume r1-1;A CHUNK r1/1 #3 c;A FINISH r1/1 ok"},
    {"a run that an earlier process left is kept from others", false,
	"left r1 1 20000;organisation other;resume r1 1 0",
	"A REJECT r1/1 unknown"},
    {"a run that is left and taken up is cancelled in time", false,
	"left r1 1 1000;resume r1 1 2;wait 1000;gone r1-1",
	"A START r1/1;resume r1-1;drop r1-1;A FINISH r1/1 expired;"
	"delete r1-1"},
    {"a run that is left and can't be taken up is no 'not run'", false,
	"drain;left r1 1 20000;resume r1 1 2;gone r1-1",
	"A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a run that nobody takes up is deleted", false,
	"left r1 1 20000;wait 3950;left r1 1 16050;wait 50;left r1 1 16000;"
	"gone r1-1",
	"delete r1-1"},
    {"a run that is left past its deadline is deleted at once", false,
	"left r1 1 0;gone r1-1", "delete r1-1"},
    {"a run that is owned is no stray", false,
	"submit r1 1 20000;left r1 1 20000;wait 5000;left r1 1 15000",
	"run r1-1;A START r1/1"},
    {"an orphan is cancelled after its grace", false,
	"submit r1 1;lost;wait 9950;wait 50;gone r1-1",
	"run r1-1;A START r1/1;drop r1-1;delete r1-1"},
    {"an orphan that is taken up again goes on", false,
	"submit r1 1;lost;wait 9000;peer B;resume r1 1 0;wait 9000;"
	"end r1-1 ok",
	"run r1-1;A START r1/1;B START r1/1;B FINISH r1/1 ok"},
    {"what waits is given up with its link", false,
	"cold;submit r1 1;submit r2 1;lost;peer B;resume r2 1 0",
	"run r1-1;A START r1/1;B REJECT r2/1 cancelled"},
    {"a full window holds chunks back and pauses the engine", false,
	"submit r1 1;big r1-1 1500;event r1-1 x;big r1-1 70000;"
	"window r1 1 800;window r1 1 200000;end r1-1 ok",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 1500 bytes;pause r1-1;"
	"A CHUNK r1/1 #2 x;A CHUNK r1/1 #3 65536 bytes;unpause r1-1;"
	"A CHUNK r1/1 #4 4464 bytes;A FINISH r1/1 ok"},
    {"a peer that takes no more gets the rest later", false,
	"submit r1 1;block;event r1-1 a;end r1-1 ok;unblock",
	"run r1-1;A START r1/1;A CHUNK r1/1 #1 a;A FINISH r1/1 ok"},
    {"an overload said before the run is not run", false,
	"submit r1 1;end r1-1 overloaded",
	"run r1-1;A START r1/1;A FINISH r1/1 failed not run"},
    {"an engine that was never reached has not run it", false,
	"submit r1 1;end r1-1 unsent",
	"run r1-1;A START r1/1;A FINISH r1/1 lost not run"},
    {"a death makes its requests suspect before it is answered", false,
	"submit r1 1;end r1-1 died;gone r1-1",
	"run r1-1;A START r1/1;died 1;A FINISH r1/1 lost;"
	"delete r1-1"},
    {"a silent engine that starts anew turns out to have died", false,
	"status 5;submit r1 1;end r1-1 lost;gone r1-1;status 5;status 6",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1;died 1"},
    {"a silent engine that did not start anew did not die", false,
	"status 5;submit r1 1;end r1-1 lost;gone r1-1;status 5;wait 15000;"
	"status 5;status 6",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a fingerprint with two deaths is refused", false, "deaths 2;submit r1 1",
	"A REJECT r1/1 quarantined"},
    {"a draining sidecar refuses and gives back, and ends what runs", false,
	"cold;submit r1 1;submit r2 1;drain;submit r3 1;end r1-1 ok",
	"run r1-1;A START r1/1;A REJECT r2/1 draining;"
	"A REJECT r3/1 draining;A FINISH r1/1 ok"},
    {"a shard is held and its block goes with the hold", false,
	"hold r1 100 1000;shard r1 1;end s1-1 ok;wait 1000;gone s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 ok s1-1;"
	"delete block s1-1"},
    {"a hold that is renewed keeps its block", false,
	"hold r1 100 1000;shard r1 1;end s1-1 ok;wait 900;hold r1 100 1000;"
	"wait 900;release r1;gone s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 ok s1-1;"
	"A HELD granted;delete block s1-1"},
    {"a shard whose hold ends is freed once its computation is over", false,
	"hold r1 100 1000;shard r1 1;release r1;end s1-1 ok;gone s1-1",
	"A HELD granted;run s1-1;A START r1/1;A FINISH r1/1 cancelled;"
	"delete block s1-1"},
    {"memory beyond the engine's is not held", false, "hold r1 2000000 1000",
	"A HELD refused"},
    {"a plain call that may have been sent is not called not run", true,
	"submit r1 1;end r1 lost", "run r1;A START r1/1;A FINISH r1/1 lost"},
    {"a plain call that may have been sent expires unknown", true,
	"submit r1 1 500;wait 500",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 expired"},
    {"a plain call that is still connecting expires not run", true,
	"connecting;submit r1 1 500;wait 500",
	"run r1;A START r1/1;drop r1;A FINISH r1/1 expired not run"},
    {"a lost run is answered once, though its deadline passes", false,
	"submit r1 1 1000;end r1-1 lost;wait 1500;gone r1-1",
	"run r1-1;A START r1/1;A FINISH r1/1 lost;delete r1-1"},
    {"a plain call that was never sent is not run", true,
	"submit r1 1;end r1 unsent",
	"run r1;A START r1/1;A FINISH r1/1 lost not run"},
    {"a plain call whose answer is forgotten is unknown, not refused", true,
	"submit r1 1;event r1 a;end r1 ok;wait 11000;resume r1 1 0;submit r1 1",
	"run r1;A START r1/1;A CHUNK r1/1 #1 a;A FINISH r1/1 ok;"
	"A FINISH r1/1 lost;A FINISH r1/1 lost"},
    {"a plain call outlives its link", true,
	"submit r1 1;lost;wait 12000;end r1 ok;peer B;resume r1 1 0",
	"run r1;A START r1/1;B START r1/1;B FINISH r1/1 ok"},
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

/* What stands in for the upstream, the mesh and the entries. */
struct fixture {
	struct upstream upstream; /* first: the fake is its upstream */
	struct clock_manual clock;
	struct runs *runs;
	GString *log;
	TAILQ_HEAD(fake_calls, fake_call) calls;
	TAILQ_HEAD(fake_deletions, fake_deletion) deletions;
	const char *peer;
	const char *organisation;
	int64_t age_ms;
	uint32_t deaths;
	bool blocked;
	bool connecting; /* no call has been sent yet */
	int watched;
};

/* Adds to the log of what the sidecar did. */
static void
note(struct fixture *f, const char *format, ...)
{
	va_list args;

	if (f->log->len > 0)
		g_string_append_c(f->log, ';');
	va_start(args, format);
	g_string_append_vprintf(f->log, format, args);
	va_end(args);
}

/* Whether an id at the upstream is the one that a script means. */
static bool
is_id(const char *id, const char *wanted)
{
	size_t length = strlen(wanted);

	return strncmp(id, wanted, length) == 0 &&
	    (id[length] == '\0' || id[length] == '-');
}

/* Cuts an id at the upstream down to its request and attempt; to be freed. */
static char *
shorten(const char *id)
{
	g_auto(GStrv) parts = g_strsplit(id, "-", 3);

	if (parts[0] == NULL || parts[1] == NULL)
		return g_strdup(id);
	return g_strconcat(parts[0], "-", parts[1], NULL);
}

/* Notes what is done with an id at the upstream. */
static void
note_id(struct fixture *f, const char *what, const char *id)
{
	g_autofree char *text = shorten(id);

	note(f, "%s %s", what, text);
}

/* Finds a running call by its id. */
static struct fake_call *
find_call(struct fixture *f, const char *id)
{
	struct fake_call *call;

	TAILQ_FOREACH (call, &f->calls, entry) {
		if (is_id(call->id, id))
			return call;
	}
	g_error("the upstream has no call %s; so far: %s", id, f->log->str);
}

/* Forgets a call. */
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

/* Takes a request as the upstream. */
static struct upstream_call *
fake_start(struct upstream *upstream, const struct upstream_request *request,
    const struct upstream_call_ops *ops, void *data)
{
	struct fixture *f = (struct fixture *)upstream;

	note_id(f, "run", request->id);
	return add_call(f, request->id, 0, ops, data);
}

/* Goes on with a run that stands at the upstream. */
static struct upstream_call *
fake_resume(struct upstream *upstream, const char *id, uint64_t after,
    const struct upstream_call_ops *ops, void *data)
{
	struct fixture *f = (struct fixture *)upstream;

	note_id(f, "resume", id);
	return add_call(f, id, after, ops, data);
}

/* Notes a pause. */
static void
fake_pause(struct upstream_call *base, bool on)
{
	note_id((struct fixture *)base->upstream, on ? "pause" : "unpause",
	    ((struct fake_call *)base)->id);
}

/* Forgets a call without its end. */
static bool
fake_drop(struct upstream_call *base)
{
	struct fixture *f = (struct fixture *)base->upstream;

	note_id(f, "drop", ((struct fake_call *)base)->id);
	free_call(f, (struct fake_call *)base);
	return !f->connecting;
}

/* Keeps a deletion until the script answers it. */
static void
keep_deletion(
    struct fixture *f, const char *id, upstream_done_fn *done, void *data)
{
	struct fake_deletion *deletion = g_new0(struct fake_deletion, 1);

	deletion->id = g_strdup(id);
	deletion->done = done;
	deletion->data = data;
	TAILQ_INSERT_TAIL(&f->deletions, deletion, entry);
}

/* Takes the deletion of a run. */
static void
fake_cancel_run(struct upstream *upstream, const char *id,
    upstream_done_fn *done, void *data)
{
	note_id((struct fixture *)upstream, "delete", id);
	keep_deletion((struct fixture *)upstream, id, done, data);
}

/* Takes the deletion of a block. */
static void
fake_delete_block(struct upstream *upstream, const char *id,
    upstream_done_fn *done, void *data)
{
	note_id((struct fixture *)upstream, "delete block", id);
	keep_deletion((struct fixture *)upstream, id, done, data);
}

/* Is never called: the script reports what the engine holds. */
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

/* Notes a chunk. */
static void
note_chunk(struct fixture *f, const char *peer, const struct message *message)
{
	int length = (int)message->chunk.data.length;

	if (length > 9)
		note(f, "%s CHUNK %s/%u #%d %d bytes", peer, message->request,
		    message->attempt, (int)message->sequence, length);
	else
		note(f, "%s CHUNK %s/%u #%d %.*s", peer, message->request,
		    message->attempt, (int)message->sequence, length,
		    (const char *)message->chunk.data.data);
}

/* Notes a message as its entry would read it. */
static void
note_message(struct fixture *f, const char *peer, const struct message *message)
{
	const char *id = message->request;
	unsigned int attempt = message->attempt;
	g_autofree char *kv = message->kind == MESSAGE_FINISH
	    ? shorten(message->finish.kv)
	    : NULL;

	switch (message->kind) {
	case MESSAGE_START:
		note(f, "%s START %s/%u", peer, id, attempt);
		break;
	case MESSAGE_CHUNK:
		note_chunk(f, peer, message);
		break;
	case MESSAGE_REJECT:
		note(f, "%s REJECT %s/%u %s", peer, id, attempt,
		    reject_reason_name(message->reject.reason));
		break;
	case MESSAGE_FINISH:
		note(f, "%s FINISH %s/%u %s%s%s%s", peer, id, attempt,
		    finish_outcome_name(message->finish.outcome),
		    message->finish.not_run ? " not run" : "",
		    message->finish.kv[0] != '\0' ? " " : "", kv);
		break;
	case MESSAGE_HELD:
		note(f, "%s HELD %s", peer,
		    message->held.granted ? "granted" : "refused");
		break;
	default:
		g_error("unexpected message %u", message->kind);
	}
}

/* Takes what the sidecar sends, by way of the codec. */
static bool
take_sent(void *data, void *peer, struct message *message)
{
	struct fixture *f = data;
	g_autoptr(GByteArray) frame = NULL;
	struct message *copy;

	if (f->blocked)
		return false;
	frame = message_encode(message, NULL);
	copy = message_decode(frame->data, frame->len, NULL);
	g_assert_nonnull(copy);
	note_message(f, peer, copy);
	message_free(copy);
	return true;
}

/* Counts the requests that need the peer's link. */
static void
count_watch(void *data, void *peer, bool on)
{
	struct fixture *f = data;

	f->watched += on ? 1 : -1;
	g_assert_cmpint(f->watched, >=, 0);
}

/* Says how many upstreams died under the fingerprint. */
static uint32_t
count_deaths(void *data, uint64_t fingerprint)
{
	return ((struct fixture *)data)->deaths;
}

/* Notes a death. */
static void
take_death(void *data, uint64_t fingerprint, uint32_t deaths)
{
	note(data, "died %u", deaths);
}

/* Makes and sends a message from the current peer. */
static void
say(struct fixture *f, uint32_t kind, char **words, struct message *message)
{
	message->kind = kind;
	g_strlcpy(message->request, words[1], sizeof(message->request));
	message->attempt = words[2] != NULL
	    ? (uint32_t)strtoul(words[2], NULL, 10)
	    : 0;
	runs_on_message(f->runs, (void *)f->peer, message, f->age_ms);
}

/* Submits a request; the fourth word is the time left. */
static void
do_submit(struct fixture *f, char **words, enum work_kind work)
{
	const char *left = words[2] != NULL ? words[3] : NULL;
	struct message message = {.submit = {
				      .organisation = (char *)f->organisation,
				      .service = (char *)"s",
				      .work = work,
				      .class = WORK_SHORT,
				      .remaining_ms = DEFAULT_LEFT_MS,
				      .prompt_tokens = 10,
				      .output_tokens = 10,
				      .fingerprint = 7,
				      .window_bytes = WINDOW_BYTES,
				  }};

	if (left != NULL)
		message.submit.remaining_ms = (uint32_t)strtoul(left, NULL, 10);
	say(f, MESSAGE_SUBMIT, words, &message);
}

/* Sends an event of a call. */
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

/* Ends a call as the script says. */
static void
do_end(struct fixture *f, const char *id, const char *how)
{
	static const struct {
		const char *how;
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
		if (strcmp(ends[i].how, how) != 0)
			continue;
		error = g_error_new_literal(
		    UPSTREAM_ERROR, (gint)ends[i].code, how);
		end.error = error;
		end.sent = ends[i].sent;
	}
	call->ops->ended(call->data, &end);
	free_call(f, call);
}

/* Answers a deletion. */
static void
do_deleted(struct fixture *f, const char *id, bool gone)
{
	struct fake_deletion *deletion;
	GError error = {UPSTREAM_ERROR, UPSTREAM_ERROR_LOST, (char *)"silent"};

	TAILQ_FOREACH (deletion, &f->deletions, entry) {
		if (is_id(deletion->id, id))
			break;
	}
	g_assert_nonnull(deletion);
	TAILQ_REMOVE(&f->deletions, deletion, entry);
	deletion->done(deletion->data, gone ? NULL : &error);
	g_free(deletion->id);
	g_free(deletion);
}

/* Lets time pass in small steps, and wakes the requests when they asked to. */
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

/* The engine lists a run of o1's that an earlier process has left. */
static void
do_left(struct fixture *f, char **words)
{
	int64_t left_ms = strtol(words[3], NULL, 10);
	char id[UPSTREAM_RUN_ID_SIZE];
	struct upstream_item item = {.id = id, .tokens = 100};

	unowned_runs_format_id(id, words[1],
	    (uint32_t)strtoul(words[2], NULL, 10), "o1",
	    time_to_ms(clock_wall(&f->clock.clock)) + left_ms);
	runs_check_listed_runs(f->runs, &item, 1);
}

/* Reports the engine's status. */
static void
do_status(struct fixture *f, uint64_t start_count, bool warm)
{
	struct upstream_status status = {
	    .warm = warm, .start_count = start_count, .slots = 4};

	runs_update_status(f->runs, &status, NULL);
}

/* Does a step that an entry's message makes; false where it is none. */
static bool
do_message(struct fixture *f, char **words)
{
	struct message message = {0};
	uint32_t last = g_strv_length(words) > 3
	    ? (uint32_t)strtoul(words[3], NULL, 10)
	    : 0;

	if (strcmp(words[0], "submit") == 0) {
		do_submit(f, words,
		    f->upstream.ops == &plain_ops ? WORK_CALL : WORK_GENERATE);
	} else if (strcmp(words[0], "shard") == 0) {
		do_submit(f, words, WORK_SHARD);
	} else if (strcmp(words[0], "cancel") == 0) {
		message.cancel.reason = (char *)"";
		say(f, MESSAGE_CANCEL, words, &message);
	} else if (strcmp(words[0], "resume") == 0) {
		message.resume.organisation = (char *)f->organisation;
		message.resume.after = last;
		message.resume.window_bytes = WINDOW_BYTES;
		say(f, MESSAGE_RESUME, words, &message);
	} else if (strcmp(words[0], "window") == 0) {
		message.window.bytes = last;
		say(f, MESSAGE_WINDOW, words, &message);
	} else if (strcmp(words[0], "hold") == 0) {
		message.hold.tokens = strtoul(words[2], NULL, 10);
		message.hold.expires_ms = last;
		say(f, MESSAGE_HOLD, words, &message);
	} else if (strcmp(words[0], "release") == 0) {
		say(f, MESSAGE_RELEASE, words, &message);
	} else {
		return false;
	}
	return true;
}

/* Does a step of the upstream; false where it is none. */
static bool
do_upstream(struct fixture *f, char **words)
{
	g_autofree char *big = NULL;

	if (strcmp(words[0], "event") == 0) {
		do_event(f, words[1], words[2], strlen(words[2]));
	} else if (strcmp(words[0], "big") == 0) {
		big = g_malloc0(strtoul(words[2], NULL, 10));
		do_event(f, words[1], big, strtoul(words[2], NULL, 10));
	} else if (strcmp(words[0], "end") == 0) {
		do_end(f, words[1], words[2]);
	} else if (strcmp(words[0], "gone") == 0) {
		do_deleted(f, words[1], true);
	} else if (strcmp(words[0], "stuck") == 0) {
		do_deleted(f, words[1], false);
	} else if (strcmp(words[0], "status") == 0) {
		do_status(f, strtoul(words[1], NULL, 10), true);
	} else if (strcmp(words[0], "left") == 0) {
		do_left(f, words);
	} else if (strcmp(words[0], "cold") == 0) {
		do_status(f, 1, false);
	} else {
		return false;
	}
	return true;
}

/* Does any other step. */
static void
do_other(struct fixture *f, char **words)
{
	if (strcmp(words[0], "wait") == 0) {
		do_wait(f, strtol(words[1], NULL, 10));
	} else if (strcmp(words[0], "age") == 0) {
		f->age_ms = strtol(words[1], NULL, 10);
	} else if (strcmp(words[0], "peer") == 0) {
		f->peer = g_intern_string(words[1]);
	} else if (strcmp(words[0], "organisation") == 0) {
		f->organisation = g_intern_string(words[1]);
	} else if (strcmp(words[0], "deaths") == 0) {
		f->deaths = (uint32_t)strtoul(words[1], NULL, 10);
	} else if (strcmp(words[0], "lost") == 0) {
		f->watched = 0;
		runs_on_peer_lost(f->runs, (void *)f->peer);
	} else if (strcmp(words[0], "block") == 0) {
		f->blocked = true;
	} else if (strcmp(words[0], "unblock") == 0) {
		f->blocked = false;
		runs_on_peer_writable(f->runs, (void *)f->peer);
	} else if (strcmp(words[0], "connecting") == 0) {
		f->connecting = true;
	} else if (strcmp(words[0], "stopped") == 0) {
		runs_reject_queued(f->runs);
	} else if (strcmp(words[0], "drain") == 0) {
		runs_set_draining(f->runs, true);
	} else {
		g_error("unknown step %s", words[0]);
	}
}

/* Makes a sidecar's requests with room for one cold and four warm. */
static void
set_up(struct fixture *f, bool plain)
{
	static const struct runs_ops ops = {.send = take_sent,
	    .set_link_in_use = count_watch,
	    .deaths = count_deaths,
	    .report_death = take_death};
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

/* Frees what is left of a case. */
static void
tear_down(struct fixture *f)
{
	struct fake_deletion *deletion;

	runs_free(f->runs);
	g_assert_cmpint(f->watched, ==, 0);
	while ((deletion = TAILQ_FIRST(&f->deletions)) != NULL) {
		TAILQ_REMOVE(&f->deletions, deletion, entry);
		g_free(deletion->id);
		g_free(deletion);
	}
	g_string_free(f->log, TRUE);
}

/* Runs one script. */
static void
test_script(gconstpointer data)
{
	const struct script_case *c = data;
	g_auto(GStrv) steps = g_strsplit(c->steps, ";", -1);
	struct fixture f = {0};

	set_up(&f, c->plain);
	for (size_t i = 0; steps[i] != NULL; i++) {
		g_auto(GStrv) words = g_strsplit(steps[i], " ", -1);

		if (!do_message(&f, words) && !do_upstream(&f, words))
			do_other(&f, words);
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
		    "/sidecar/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_script);
	}
	return g_test_run();
}
