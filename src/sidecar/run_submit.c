#include <string.h>

#include "policy/quarantine.h"
#include "sidecar/run.h"

#define LOG_MODULE "submit"
#include "base/log.h"

/* Retry delay for rejections that the admission core does not decide. */
#define RETRY_AFTER_MS 1000

/* Copies a string; NULL stays NULL. */
static char *
copy_text(const char *text)
{
	return g_strdup(text);
}

/* Copies an array of strings. */
static struct string_array
copy_texts(const struct string_array *from)
{
	struct string_array to = {.count = from->count};

	to.items = g_new0(char *, from->count + 1);
	for (size_t i = 0; i < from->count; i++)
		to.items[i] = g_strdup(from->items[i]);
	return to;
}

/* Copies a submit for the lifetime of its run. */
static struct message *
copy_submit(const struct message *from)
{
	struct message *to = g_memdup2(from, sizeof(*from));
	const struct message_submit *s = &from->submit;

	to->submit.organisation = copy_text(s->organisation);
	to->submit.service = copy_text(s->service);
	to->submit.prefixes.items = g_memdup2(
	    s->prefixes.items, s->prefixes.count * sizeof(*s->prefixes.items));
	to->submit.method = copy_text(s->method);
	to->submit.path = copy_text(s->path);
	to->submit.content_type = copy_text(s->content_type);
	to->submit.idempotency_key = copy_text(s->idempotency_key);
	to->submit.body.data = g_memdup2(s->body.data, s->body.length);
	to->submit.imports = copy_texts(&s->imports);
	return to;
}

/* Answers a probe with the admission core's estimate for the request. */
void
runs_probe(struct runs *runs, void *peer, const struct message *message,
    int64_t age_ms)
{
	const struct message_probe *probe = &message->probe;
	uint64_t cached = cache_view_cached_tokens(
	    runs->cache, &probe->prefixes);
	struct admission_probe wanted = {.organisation = probe->organisation,
	    .weight = 1,
	    .class = probe->class,
	    .prompt_tokens = probe->prompt_tokens,
	    .cached_tokens = MIN(cached, probe->prompt_tokens),
	    .output_tokens = probe->output_tokens,
	    .remaining_ms = (int64_t)probe->remaining_ms - age_ms};
	struct admission_offer offer;
	struct message reply = {
	    .kind = MESSAGE_OFFER, .attempt = message->attempt};

	admission_estimate(runs->admission, &wanted, runs_now(runs), &offer);
	g_strlcpy(reply.request, message->request, sizeof(reply.request));
	reply.sequence = message->sequence;
	reply.offer = (struct message_offer){.accepting = offer.accepting,
	    .reason = offer.accepting ? 0 : offer.reason,
	    .wait_ms = (uint32_t)MAX(offer.wait_ms, 0),
	    .cached_tokens = wanted.cached_tokens,
	    .free_tokens = offer.free_tokens,
	    .memory_tokens = offer.memory_tokens,
	    .running = offer.running,
	    .queued = offer.queued,
	    .limit = offer.limit,
	    .retry_after_ms = (uint32_t)MAX(offer.retry_after_ms, 0)};
	runs->ops->send(runs->data, peer, &reply);
}

/*
 * Writes the key of a request's run: the request id, and for a shard the id
 * with its first character replaced, as a shard and a run of one request may
 * both be here.
 */
void
runs_write_key(
    char key[REQUEST_ID_SIZE], const char *request, enum work_kind work)
{
	g_strlcpy(key, request, REQUEST_ID_SIZE);
	if (work == WORK_SHARD)
		key[0] = 's';
}

/* Creates the run of a submit and adds it to the list and the table. */
struct run *
run_new(struct runs *runs, void *peer, const struct message *message,
    int64_t remaining_ms)
{
	struct run *run = g_new0(struct run, 1);

	run->runs = runs;
	run->attempt = message->attempt;
	run->work = (enum work_kind)message->submit.work;
	run->submit = copy_submit(message);
	run->state = RUN_QUEUED;
	run->deadline = time_add_ms(runs_now(runs), remaining_ms);
	g_strlcpy(run->request, message->request, sizeof(run->request));
	runs_write_key(run->key, run->request, run->work);
	unowned_runs_format_id(run->id, run->key, run->attempt,
	    message->submit.organisation,
	    time_to_ms(clock_wall(runs->clock)) + remaining_ms);
	run_set_peer(run, peer);
	replay_buffer_init(&run->replay, message->submit.window_bytes);
	TAILQ_INSERT_TAIL(&runs->list, run, entry);
	g_hash_table_replace(runs->table, run->key, run);
	return run;
}

/*
 * Submits a run to the admission core. deaths is the known number of upstream
 * deaths while its request ran; above 0 the run is a suspect.
 */
void
run_admit(struct run *run, uint32_t deaths)
{
	struct runs *runs = run->runs;
	const struct message_submit *submit = &run->submit->submit;
	bool grouped = run->work == WORK_SHARD || submit->imports.count > 0;
	struct admission_request request = {.request = run->key,
	    .attempt = run->attempt,
	    .organisation = submit->organisation,
	    .weight = MAX(submit->weight, 1),
	    .class = submit->class,
	    .prompt_tokens = submit->prompt_tokens,
	    .output_tokens = submit->output_tokens,
	    .body_bytes = submit->body.length,
	    .deadline = run->deadline,
	    .suspect = submit->suspect || deaths > 0,
	    .hold = grouped ? run->request : NULL,
	    .owner = run};

	/*
	 * The engine has already processed the prompt of an adopted run, or is
	 * doing so.
	 */
	run->cached_tokens = run->adopted
	    ? submit->prompt_tokens
	    : MIN(cache_view_cached_tokens(runs->cache, &submit->prefixes),
		  submit->prompt_tokens);
	request.cached_tokens = run->cached_tokens;
	run->suspect = request.suspect;
	run->job = admission_submit(runs->admission, &request, runs_now(runs));
}

/*
 * Answers a submit that arrived before. A frame may be delivered twice, and an
 * entry may resend a submit whose delivery is uncertain; neither must run it
 * twice.
 */
static void
answer_duplicate(struct runs *runs, void *peer, const struct message *message,
    const char *key)
{
	const struct run *run = g_hash_table_lookup(runs->table, key);

	if (run != NULL && run->attempt == message->attempt)
		return;
	if (attempt_table_is_not_run(runs->attempts, key)) {
		runs_reply_reject(runs, peer, message, REJECT_CANCELLED, 0,
		    "was cancelled before it started");
		return;
	}
	runs_reply_lost(runs, peer, message,
	    "duplicate attempt; its answer is no longer kept");
}

/* Accepts or rejects a submit; either way its entry gets one final answer. */
void
runs_submit(struct runs *runs, void *peer, const struct message *message,
    int64_t age_ms)
{
	int64_t remaining_ms = (int64_t)message->submit.remaining_ms - age_ms;
	uint32_t deaths = runs->ops->deaths(
	    runs->data, message->submit.fingerprint);
	char key[REQUEST_ID_SIZE];
	enum attempt_verdict verdict;

	runs_write_key(
	    key, message->request, (enum work_kind)message->submit.work);
	verdict = attempt_table_record(runs->attempts, key, message->attempt,
	    time_add_ms(runs_now(runs), remaining_ms), runs_now(runs));
	if (verdict == ATTEMPT_DUPLICATE) {
		answer_duplicate(runs, peer, message, key);
		return;
	}
	if (verdict == ATTEMPT_STALE) {
		runs_reply_reject(runs, peer, message, REJECT_STALE, 0,
		    "superseded by a later attempt");
		return;
	}
	if (remaining_ms <= 0) {
		runs_reply_reject(runs, peer, message, REJECT_EXPIRED, 0,
		    "deadline exceeded before the submit arrived");
	} else if (age_ms > SUBMIT_AGE_MAX_MS) {
		runs_reply_reject(runs, peer, message, REJECT_BUSY,
		    RETRY_AFTER_MS, "came too late");
	} else if (deaths >= QUARANTINE_DEATHS) {
		runs_reply_reject(runs, peer, message, REJECT_QUARANTINED, 0,
		    "upstreams died while this request ran");
	} else if (runs->draining) {
		runs_reply_reject(runs, peer, message, REJECT_DRAINING,
		    RETRY_AFTER_MS, "takes no new work");
	} else {
		run_admit(run_new(runs, peer, message, remaining_ms), deaths);
	}
}
