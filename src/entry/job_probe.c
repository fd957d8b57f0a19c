#include <string.h>

#include "base/invariant.h"
#include "entry/job_state.h"
#include "policy/quarantine.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* After this time, the best of the offers received is taken. */
#define PROBE_TIMEOUT_MS 60
/* Without any offer, all candidates count as failed after this time. */
#define PROBE_TIMEOUT_MAX_MS 600
/* Time for more offers after the first that accepts. */
#define MORE_OFFERS_MS 5
/* Maximum submits of one job, however many upstreams there are. */
#define ATTEMPTS_MAX 5
/* Maximum rounds of probes; the count starts again with each retry. */
#define PROBE_ROUNDS_MAX 4

INVARIANT_DEFINE(non_idempotent_sent_once, "unrepeatable_sent_once");

/* Returns the submit of the current attempt. */
static struct message
make_submit(struct job *job)
{
	struct message message = job_make_message(job, MESSAGE_SUBMIT);
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

/* Logs the chosen upstream, the offers of all candidates and the reason. */
static void
log_choice(const struct job *job, const struct job_candidate *chosen)
{
	json_t *candidates_json;

	if (!log_enabled(LOG_LEVEL_INFO))
		return;
	candidates_json = json_array();
	for (size_t i = 0; i < job->candidate_count; i++) {
		const struct job_candidate *candidate = &job->candidates[i];

		json_array_append_new(candidates_json,
		    json_pack("{s:s, s:b, s:b, s:i, s:I, s:i, s:i, s:i}",
			"upstream", candidate->upstream, "answered",
			candidate->answered, "accepting",
			candidate->offer.accepting, "wait_ms",
			(int)candidate->offer.wait_ms, "cached_tokens",
			(json_int_t)candidate->offer.cached_tokens, "running",
			(int)candidate->offer.running, "queued",
			(int)candidate->offer.queued, "limit",
			(int)candidate->offer.limit));
	}
	LOG_INFO("upstream chosen",
	    "{s:s, s:s, s:s, s:s, s:i, s:I, s:s, s:o, s:s, s:I}", "request",
	    job->exchange.request, "organisation", job->spec.organisation,
	    "service", job->spec.service, "class",
	    work_class_name(job->spec.class), "attempt",
	    (int)job->exchange.attempt, "prompt_tokens",
	    (json_int_t)job->spec.prompt_tokens, "upstream", chosen->upstream,
	    "candidates", candidates_json, "reason",
	    router_uses_offers(dispatch_router(job->dispatch))
		? "least expected wait"
		: "baseline",
	    "remaining_ms", (json_int_t)job_remaining_ms(job));
}

/* Submits the job to a candidate; probes others if the send fails. */
static void
submit_to(struct job *job, size_t index)
{
	struct job_candidate *chosen = &job->candidates[index];
	const struct message_hello *peer = link_peer(chosen->link);
	struct message message;

	if (job->exchange.attempt >= ATTEMPTS_MAX) {
		job_fail_no_upstream(job);
		return;
	}
	if (!job_check_drain(job))
		return;
	job->exchange.attempt++;
	job->exchange.upstream = g_strdup(chosen->upstream);
	job->address = g_strdup(chosen->address);
	job_set_link(job, chosen->link);
	job->incarnation = peer != NULL ? peer->incarnation : 0;
	job->sequence = 0;
	job->unreported_bytes = 0;
	g_hash_table_add(job->tried, g_strdup(job->exchange.upstream));
	log_choice(job, chosen);
	job_clear_candidates(job);
	message = make_submit(job);
	invariant_check(&non_idempotent_sent_once,
	    job->spec.repeatable || !job->earlier_attempt_may_have_run,
	    job_dump, job);
	job->attempt_may_have_run = true;
	router_record_sent(
	    dispatch_router(job->dispatch), job->exchange.upstream);
	if (!link_send(job->link, &message)) {
		job->attempt_may_have_run = false;
		job_clear_attempt(job);
		job_record_rejection(job, 0);
		job_probe_candidates(job);
		return;
	}
	job_enter_phase(job, PHASE_SENT, 0);
}

/* Submits to the candidate with the best offer, or probes others. */
static void
choose_offer(struct job *job)
{
	struct router_offer offers[ROUTER_CANDIDATES];
	ssize_t best;

	for (size_t i = 0; i < job->candidate_count; i++) {
		struct job_candidate *candidate = &job->candidates[i];

		offers[i] = candidate->offer;
		if (candidate->answered && !candidate->offer.accepting) {
			g_hash_table_add(
			    job->tried, g_strdup(candidate->upstream));
			job_record_rejection(job, candidate->retry_after_ms);
		}
	}
	best = router_choose_offer(offers, job->candidate_count);
	if (best >= 0)
		submit_to(job, (size_t)best);
	else
		job_probe_candidates(job);
}

/*
 * Sends a probe to an upstream; the baseline policies choose without. Returns
 * false if there is no link or the send fails.
 */
static bool
probe_candidate(struct job *job, struct job_candidate *candidate,
    const Heatherturn__V1__Upstream *upstream)
{
	struct message message = job_make_message(job, MESSAGE_PROBE);
	struct mesh *mesh = dispatch_mesh(job->dispatch);

	candidate->upstream = g_strdup(upstream->id);
	candidate->address = g_strdup(upstream->sidecar_address);
	candidate->link = mesh_get_link(mesh, upstream->sidecar_address);
	if (candidate->link == NULL)
		return false;
	if (!router_uses_offers(dispatch_router(job->dispatch)))
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
	return link_send(candidate->link, &message);
}

/*
 * Chooses the upstream that runs all suspects of this fingerprint, even if it
 * was tried before: on several, copies of the request could crash all of them
 * at once.
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
	return quarantine_choose_upstream(
	    job->spec.fingerprint, ids, upstreams->len);
}

/* Chooses candidates among a service's upstreams; returns their count. */
static size_t
choose_candidates(struct job *job, GPtrArray *upstreams, size_t *chosen)
{
	g_autofree struct router_upstream *choices = g_new0(
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

		choices[i].id = upstream->id;
		choices[i].tried = g_hash_table_contains(
		    job->tried, upstream->id);
	}
	return router_choose_candidates(dispatch_router(job->dispatch), key,
	    choices, upstreams->len, job_now(job), chosen);
}

/*
 * Marks the job as a suspect if upstreams died while running its request. If
 * too many did, fails the job and returns false.
 */
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
	    "requests with the same content have crashed upstreams");
	return false;
}

/* Probes the next candidates, or fails the job if none is left. */
void
job_probe_candidates(struct job *job)
{
	g_autoptr(GPtrArray) upstreams = NULL;
	size_t chosen[ROUTER_CANDIDATES];
	size_t count;

	job_clear_candidates(job);
	job->probe_extended = false;
	if (job_remaining_ms(job) == 0) {
		job_fail_expired(job);
		return;
	}
	if (!job_check_drain(job) || !check_quarantine(job))
		return;
	upstreams = dispatch_eligible_upstreams(
	    job->dispatch, job->spec.service);
	count = choose_candidates(job, upstreams, chosen);
	if (count == 0 || job->probe_rounds++ >= PROBE_ROUNDS_MAX) {
		job_fail_no_upstream(job);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		struct job_candidate
		    *candidate = &job->candidates[job->candidate_count++];

		candidate->offer.upstream = chosen[i];
		if (!probe_candidate(job, candidate,
			g_ptr_array_index(upstreams, chosen[i])))
			candidate->answered = true;
	}
	if (!router_uses_offers(dispatch_router(job->dispatch))) {
		submit_to(job, 0);
		return;
	}
	job_enter_phase(job, PHASE_PROBING, PROBE_TIMEOUT_MS);
}

/* Counts the candidates that answered, and in *accepting those that accept. */
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

/* Returns the candidate of a link, NULL for none. */
struct job_candidate *
job_find_candidate(struct job *job, const struct link *link)
{
	for (size_t i = 0; i < job->candidate_count; i++) {
		if (job->candidates[i].link == link)
			return &job->candidates[i];
	}
	return NULL;
}

/* Chooses if all candidates have answered, else waits for more offers. */
void
job_evaluate_offers(struct job *job)
{
	size_t accepting;
	size_t answered = count_answers(job, &accepting);
	struct timespec soon = time_add_ms(job_now(job), MORE_OFFERS_MS);

	if (answered == job->candidate_count) {
		choose_offer(job);
		return;
	}
	if (accepting > 0 && time_before(soon, job->phase_end)) {
		job->phase_end = soon;
		job_set_timer(job);
	}
}

/* Handles an offer; late ones are ignored. */
void
job_on_offer(struct job *job, struct link *link, const struct message *message)
{
	const struct message_offer *offer = &message->offer;
	struct job_candidate *candidate = job_find_candidate(job, link);
	struct router *router = dispatch_router(job->dispatch);

	if (job->phase != PHASE_PROBING || candidate == NULL)
		return;
	router_record_answer(router, candidate->upstream);
	candidate->answered = true;
	candidate->retry_after_ms = offer->retry_after_ms;
	candidate->offer = (struct router_offer){
	    .upstream = candidate->offer.upstream,
	    .accepting = offer->accepting,
	    .wait_ms = offer->wait_ms,
	    .cached_tokens = offer->cached_tokens,
	    .running = offer->running,
	    .queued = offer->queued,
	    .limit = offer->limit,
	};
	job_evaluate_offers(job);
}

/* Counts silent candidates as failed and chooses among the others. */
void
job_on_probe_timeout(struct job *job)
{
	size_t accepting;
	size_t answered = count_answers(job, &accepting);

	if (answered == 0 && !job->probe_extended) {
		job->probe_extended = true;
		job_enter_phase(job, PHASE_PROBING,
		    PROBE_TIMEOUT_MAX_MS - PROBE_TIMEOUT_MS);
		return;
	}
	for (size_t i = 0; i < job->candidate_count; i++) {
		struct job_candidate *candidate = &job->candidates[i];

		if (candidate->answered)
			continue;
		router_record_failure(dispatch_router(job->dispatch),
		    candidate->upstream, job_now(job));
		g_hash_table_add(job->tried, g_strdup(candidate->upstream));
	}
	choose_offer(job);
}
