#include <string.h>

#include "base/invariant.h"
#include "entry/job_state.h"
#include "policy/quarantine.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* Offers that have not come by then are not waited for. */
#define ASK_MS 60
/* No sidecar has answered by then: its link is as good as lost. */
#define ASK_MAX_MS 600
/* Once one offer accepts, the others get this long. */
#define ASK_MORE_MS 5
/* Submits of one job, however many upstreams there are. */
#define ATTEMPTS_MAX 5
/* Rounds of asking candidates. */
#define ROUNDS_MAX 4

INVARIANT_DEFINE(sent_once, "unrepeatable_sent_once");

/* Fills the submit of the next attempt from the specification. */
static struct message
make_submit(struct job *job)
{
	struct message message = job_message(job, MESSAGE_SUBMIT);
	const struct job_spec *spec = &job->spec;
	gsize length = 0;
	const uint8_t *body = NULL;

	if (spec->body != NULL)
		body = g_bytes_get_data(spec->body, &length);
	message.submit = (struct message_submit){
	    .organisation = (char *)spec->organisation,
	    .weight = spec->weight,
	    .service = (char *)spec->service,
	    .work = spec->work,
	    .class = spec->class,
	    .remaining_ms = (uint32_t)job_remaining_ms(job),
	    .prompt_tokens = spec->prompt_tokens,
	    .output_tokens = spec->output_tokens,
	    .prefixes = {job->prefixes, spec->prefix_count},
	    .fingerprint = spec->fingerprint,
	    .suspect = job->suspect,
	    .repeatable = spec->repeatable,
	    .window_bytes = JOB_WINDOW_BYTES,
	    .method = (char *)spec->method,
	    .path = (char *)spec->path,
	    .content_type = (char *)spec->content_type,
	    .idempotency_key = (char *)spec->idempotency_key,
	    .body = {(uint8_t *)body, length},
	};
	return message;
}

/* Writes the line that says which upstream was chosen among which, and why. */
static void
log_choice(const struct job *job, const struct job_candidate *chosen)
{
	json_t *figures;

	if (!log_enabled(LOG_LEVEL_INFO))
		return;
	figures = json_array();
	for (size_t i = 0; i < job->candidate_count; i++) {
		const struct job_candidate *one = &job->candidates[i];

		json_array_append_new(figures,
		    json_pack("{s:s, s:b, s:b, s:i, s:I, s:i, s:i, s:i}",
			"upstream", one->upstream, "answered", one->answered,
			"accepting", one->offer.accepting, "wait_ms",
			(int)one->offer.wait_ms, "cached_tokens",
			(json_int_t)one->offer.cached_tokens, "running",
			(int)one->offer.running, "queued",
			(int)one->offer.queued, "limit",
			(int)one->offer.limit));
	}
	LOG_INFO("upstream chosen",
	    "{s:s, s:s, s:s, s:s, s:i, s:I, s:s, s:o, s:s, s:I}", "request",
	    job->exchange.request, "organisation", job->spec.organisation,
	    "service", job->spec.service, "class",
	    work_class_name(job->spec.class), "attempt",
	    (int)job->exchange.attempt, "prompt_tokens",
	    (json_int_t)job->spec.prompt_tokens, "upstream", chosen->upstream,
	    "candidates", figures, "reason",
	    router_asks(dispatch_router(job->dispatch)) ? "least expected wait"
							: "baseline",
	    "remaining_ms", (json_int_t)job_remaining_ms(job));
}

/* Sends the work to a candidate. */
static void
submit(struct job *job, size_t index)
{
	struct job_candidate *chosen = &job->candidates[index];
	const struct message_hello *peer = link_peer(chosen->link);
	struct message message;

	if (job->exchange.attempt >= ATTEMPTS_MAX) {
		job_fail_untaken(job);
		return;
	}
	job->exchange.attempt++;
	job->exchange.upstream = g_strdup(chosen->upstream);
	job->address = g_strdup(chosen->address);
	job_use_link(job, chosen->link);
	job->incarnation = peer != NULL ? peer->incarnation : 0;
	job->sequence = 0;
	job->unacknowledged = 0;
	g_hash_table_add(job->tried, g_strdup(job->exchange.upstream));
	log_choice(job, chosen);
	job_drop_candidates(job);
	message = make_submit(job);
	invariant_check(&sent_once, job->spec.repeatable || !job->sent_before,
	    job_dump, job);
	job->in_doubt = true;
	router_note_sent(
	    dispatch_router(job->dispatch), job->exchange.upstream);
	if (!link_send(job->link, &message)) {
		job->in_doubt = false;
		job_drop_attempt(job);
		job_note_refusal(job, 0);
		job_ask(job);
		return;
	}
	job_enter(job, PHASE_SENT, 0);
}

/* Takes the best offer there is, or asks others. */
static void
choose(struct job *job)
{
	struct router_offer offers[ROUTER_CANDIDATES];
	ssize_t best;

	for (size_t i = 0; i < job->candidate_count; i++) {
		struct job_candidate *one = &job->candidates[i];

		offers[i] = one->offer;
		if (one->answered && !one->offer.accepting) {
			g_hash_table_add(job->tried, g_strdup(one->upstream));
			job_note_refusal(job, one->retry_after_ms);
		}
	}
	best = router_pick(offers, job->candidate_count);
	if (best >= 0)
		submit(job, (size_t)best);
	else
		job_ask(job);
}

/* Sends a probe to one upstream; false where no link can be had. */
static bool
probe(struct job *job, struct job_candidate *one,
    const Heatherturn__V1__Upstream *upstream)
{
	struct message message = job_message(job, MESSAGE_PROBE);
	struct mesh *mesh = dispatch_mesh(job->dispatch);

	one->upstream = g_strdup(upstream->id);
	one->address = g_strdup(upstream->sidecar_address);
	one->link = mesh_get_link(mesh, upstream->sidecar_address);
	if (one->link == NULL)
		return false;
	if (!router_asks(dispatch_router(job->dispatch)))
		return true;
	message.probe = (struct message_probe){
	    .organisation = (char *)job->spec.organisation,
	    .service = (char *)job->spec.service,
	    .work = job->spec.work,
	    .class = job->spec.class,
	    .prompt_tokens = job->spec.prompt_tokens,
	    .output_tokens = job->spec.output_tokens,
	    .remaining_ms = (uint32_t)job_remaining_ms(job),
	    .prefixes = {job->prefixes, job->spec.prefix_count},
	};
	return link_send(one->link, &message);
}

/*
 * Chooses the one upstream that runs suspects of this fingerprint, also where
 * it was tried already: two upstreams could be lost to two copies at once.
 */
static size_t
choose_for_suspect(const struct job *job, GPtrArray *upstreams)
{
	g_autofree const char **ids = g_new0(const char *, upstreams->len);

	for (guint i = 0; i < upstreams->len; i++) {
		const Heatherturn__V1__Upstream *upstream = g_ptr_array_index(
		    upstreams, i);

		ids[i] = upstream->id;
	}
	return quarantine_upstream(job->spec.fingerprint, ids, upstreams->len);
}

/* Chooses the next candidates among a service's upstreams. */
static size_t
choose_candidates(struct job *job, GPtrArray *upstreams, size_t *chosen)
{
	g_autofree struct router_upstream *list = g_new0(
	    struct router_upstream, upstreams->len + 1);
	uint64_t key = job->spec.prefix_count > 0 ? job->prefixes[0] : 0;

	if (upstreams->len == 0)
		return 0;
	if (job->suspect) {
		chosen[0] = choose_for_suspect(job, upstreams);
		return 1;
	}
	for (guint i = 0; i < upstreams->len; i++) {
		const Heatherturn__V1__Upstream *upstream = g_ptr_array_index(
		    upstreams, i);

		list[i].id = upstream->id;
		list[i].tried = g_hash_table_contains(job->tried, upstream->id);
	}
	return router_candidates(dispatch_router(job->dispatch), key, list,
	    upstreams->len, job_now(job), chosen);
}

/* Learns whether the request has crashed upstreams; false where it is over. */
static bool
check_quarantine(struct job *job)
{
	uint32_t deaths = mesh_suspect_deaths(
	    dispatch_mesh(job->dispatch), job->spec.fingerprint);

	if (job->spec.work == WORK_CALL)
		return true;
	job->suspect |= deaths > 0;
	if (deaths < QUARANTINE_DEATHS)
		return true;
	job_fail(job, CALLER_ERROR_QUARANTINED,
	    "requests like this one have crashed their upstreams");
	return false;
}

/* Begins a round: asks the next candidates, or ends where none is left. */
void
job_ask(struct job *job)
{
	g_autoptr(GPtrArray) upstreams = NULL;
	size_t chosen[ROUTER_CANDIDATES];
	size_t count;

	job_drop_candidates(job);
	job->patient = false;
	if (job_remaining_ms(job) == 0) {
		job_fail_late(job);
		return;
	}
	if (!check_quarantine(job))
		return;
	upstreams = dispatch_upstreams(job->dispatch, job->spec.service);
	count = choose_candidates(job, upstreams, chosen);
	if (count == 0 || job->rounds++ >= ROUNDS_MAX) {
		job_fail_untaken(job);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct job_candidate
		    *one = &job->candidates[job->candidate_count++];

		one->offer.upstream = chosen[i];
		if (!probe(job, one, g_ptr_array_index(upstreams, chosen[i])))
			one->answered = true;
	}
	if (!router_asks(dispatch_router(job->dispatch))) {
		submit(job, 0);
		return;
	}
	job_enter(job, PHASE_ASKING, ASK_MS);
}

/* Counts the candidates that have answered, and those that accept. */
static size_t
count_answers(const struct job *job, size_t *accepting)
{
	size_t answered = 0;

	*accepting = 0;
	for (size_t i = 0; i < job->candidate_count; i++) {
		answered += job->candidates[i].answered;
		*accepting += job->candidates[i].offer.accepting;
	}
	return answered;
}

/* Returns the candidate that a link leads to, NULL for none. */
struct job_candidate *
job_find_candidate(struct job *job, const struct link *link)
{
	for (size_t i = 0; i < job->candidate_count; i++) {
		if (job->candidates[i].link == link)
			return &job->candidates[i];
	}
	return NULL;
}

/* Decides whether to wait for more offers. */
void
job_weigh_answers(struct job *job)
{
	size_t accepting;
	size_t answered = count_answers(job, &accepting);
	struct timespec soon = time_add_ms(job_now(job), ASK_MORE_MS);

	if (answered == job->candidate_count) {
		choose(job);
		return;
	}
	if (accepting > 0 && time_before(soon, job->phase_end)) {
		job->phase_end = soon;
		job_set_timer(job);
	}
}

/* Takes an offer. */
void
job_take_offer(
    struct job *job, struct link *link, const struct message *message)
{
	const struct message_offer *offer = &message->offer;
	struct job_candidate *one = job_find_candidate(job, link);
	struct router *router = dispatch_router(job->dispatch);

	if (job->phase != PHASE_ASKING || one == NULL)
		return;
	router_note_answer(router, one->upstream);
	one->answered = true;
	one->retry_after_ms = offer->retry_after_ms;
	one->offer = (struct router_offer){
	    .upstream = one->offer.upstream,
	    .accepting = offer->accepting,
	    .wait_ms = offer->wait_ms,
	    .cached_tokens = offer->cached_tokens,
	    .running = offer->running,
	    .queued = offer->queued,
	    .limit = offer->limit,
	};
	job_weigh_answers(job);
}

/* Gives up candidates that stay silent although their links are open. */
void
job_end_asking(struct job *job)
{
	size_t accepting;
	size_t answered = count_answers(job, &accepting);

	if (answered == 0 && !job->patient) {
		job->patient = true;
		job_enter(job, PHASE_ASKING, ASK_MAX_MS - ASK_MS);
		return;
	}
	for (size_t i = 0; i < job->candidate_count; i++) {
		struct job_candidate *one = &job->candidates[i];

		if (one->answered)
			continue;
		router_note_failure(dispatch_router(job->dispatch),
		    one->upstream, job_now(job));
		g_hash_table_add(job->tried, g_strdup(one->upstream));
	}
	choose(job);
}
