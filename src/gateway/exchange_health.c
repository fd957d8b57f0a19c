#include <string.h>

#include "gateway/exchange_internal.h"
#include "policy/part_quarantine.h"
#include "policy/quarantine.h"

#define LOG_MODULE "verdict"
#include "base/log.h"

/*
 * Back-off after a failure; doubles with each consecutive one up to the
 * maximum.
 */
#define AVOID_MIN_MS 250
#define AVOID_MAX_MS 4000
/* An upstream that rejected a request has no free slot at the moment. */
#define AVOID_FULL_MS 30
/* Timeout for connecting; an upstream that is alive accepts within it. */
#define DEATH_CHECK_MS	    300
#define STATUS_SUCCESS_MIN  200
#define STATUS_REDIRECT_MIN 300
/* Weight of one response in the moving average of failures. */
#define ERROR_WEIGHT 0.1

/* Avoids an upstream for a time that grows with its consecutive failures. */
static void
avoid(struct exchange *exchange, struct fleet_upstream *upstream)
{
	struct timespec now = clock_monotonic(exchange->context->clock);
	int64_t wait_ms = MIN(
	    (int64_t)AVOID_MIN_MS << MIN(upstream->process.failures, 8U),
	    AVOID_MAX_MS);

	upstream->process.failures++;
	upstream->process.avoid_until = time_add_ms(now, wait_ms);
	/* It may have restarted by then. */
	upstream->cold_until = time_add_ms(
	    upstream->process.avoid_until, exchange->profile->cold_ms);
	LOG_INFO("upstream avoided", "{s:s, s:i, s:I}", "upstream",
	    upstream->id, "failures", (int)upstream->process.failures, "for_ms",
	    (json_int_t)wait_ms);
}

/*
 * Returns whether the current response is the upstream's own, so that what it
 * does not say counts too.
 */
static bool
is_own_response(
    const struct exchange *exchange, const struct fleet_upstream *upstream)
{
	const struct response_headers *response = &exchange->response;

	return upstream == exchange->upstream &&
	    (response->not_run ||
		(response->mismatch == NULL && response->has_server_seal));
}

/* Applies what an upstream says of itself in the headers of a response. */
void
exchange_apply_notice(struct exchange *exchange,
    struct fleet_upstream *upstream, const struct upstream_notice *notice)
{
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (notice->invalid_rate != NULL)
		LOG_WARN("upstream named a rate that is no number",
		    "{s:s, s:s}", "upstream", upstream->id, "value",
		    notice->invalid_rate);
	else if (notice->names_rate || is_own_response(exchange, upstream))
		rate_sync_observe(exchange->context->rate_sync, upstream,
		    notice->names_rate, notice->rate_per_s, exchange->sent_at);
	if (notice->leaving)
		fleet_upstream_on_leaving(upstream, "response", now);
	if (notice->quiet_ms > 0)
		fleet_upstream_on_quiet(upstream, notice->quiet_ms, now);
}

/* Returns the helper of the current send with this id or address; or NULL. */
static const struct send_helper *
find_helper(const struct exchange *exchange, const char *id_or_address)
{
	for (size_t i = 0; i < exchange->helper_count; i++) {
		const struct send_helper *helper = &exchange->helpers[i];

		if (strcmp(helper->upstream, id_or_address) == 0 ||
		    strcmp(helper->address, id_or_address) == 0)
			return helper;
	}
	return NULL;
}

/* Logs a report of an upstream that does not help, unless it reports itself. */
static void
log_no_helper(const struct exchange *exchange, const char *faulty_upstream)
{
	const struct fleet_upstream *upstream = exchange->upstream;

	if (strcmp(upstream->id, faulty_upstream) == 0 ||
	    strcmp(upstream->address, faulty_upstream) == 0)
		return;
	LOG_INFO("upstream reported as faulty does not help with the request",
	    "{s:s, s:s, s:s}", "request", exchange->caller_headers.request_id,
	    "upstream", upstream->id, "reported", faulty_upstream);
}

/*
 * Avoids the helper that the current upstream reported, by id or address, as
 * unable to prefill with it. The request depends on no other upstream: none is
 * marked, and the current one is not either.
 */
void
exchange_mark_faulty(struct exchange *exchange, const char *faulty_upstream)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	const struct send_helper *helper;
	struct fleet_upstream *upstream;

	g_clear_pointer(&exchange->faulty_upstream, g_free);
	if (faulty_upstream == NULL)
		return;
	helper = find_helper(exchange, faulty_upstream);
	if (helper == NULL) {
		log_no_helper(exchange, faulty_upstream);
		return;
	}
	upstream = fleet_find(fleet, helper->upstream);
	if (upstream == NULL)
		return;
	exchange->faulty_upstream = g_strdup(upstream->id);
	avoid(exchange, upstream);
	upstream->process.faulty_until = time_add_ms(
	    clock_monotonic(exchange->context->clock), FLEET_FAULTY_MS);
}

/* Returns what of the request may crash upstreams; borrows from it. */
struct crash_subjects
exchange_crash_subjects(const struct exchange *exchange)
{
	return (struct crash_subjects){
	    .request = exchange->fingerprint,
	    .parts = exchange->caller_headers.parts,
	    .part_count = exchange->caller_headers.part_count,
	};
}

/* Checks whether an upstream died when its connection ended. */
struct death_check {
	struct crash_sync *crash_sync;
	char *upstream; /* id */
	uint64_t death; /* id of its death, if it died */
	uint64_t parts[PROMPT_PARTS_MAX];
	struct crash_subjects subjects;
	struct part_death_stage stage;
	struct timespec ended_at; /* of a success; or unset */
};

/*
 * If the upstream refuses connections, reports to all gateways that it died
 * while it ran the request. One that accepts them has survived a success.
 */
static void
on_death_check_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct death_check *check = data;

	if (result->refused) {
		LOG_INFO("upstream crashed during a request",
		    "{s:s, s:I, s:b, s:i, s:b, s:b}", "upstream",
		    check->upstream, "fingerprint",
		    (json_int_t)check->subjects.request, "begun",
		    check->stage.begun, "events", (int)check->stage.events,
		    "alone", check->stage.alone, "leaving",
		    check->stage.leaving);
		crash_sync_report_death(check->crash_sync, check->death,
		    &check->subjects, &check->stage);
	} else if (result->error == NULL && time_is_set(check->ended_at)) {
		check->subjects.part_count = 0;
		crash_sync_report_survival(
		    check->crash_sync, &check->subjects, check->ended_at);
	}
	g_free(check->upstream);
	g_free(check);
}

/*
 * Returns whether no other request is known to run at the request's upstream.
 * When connections of several end, each of them is reported by itself.
 */
static bool
is_alone(struct exchange *exchange, struct timespec now)
{
	struct fleet_upstream *upstream = exchange->upstream;
	bool is_first = !time_is_set(upstream->process.broken_at) ||
	    time_diff_ms(now, upstream->process.broken_at) >= DEATH_CHECK_MS;

	upstream->process.broken_at = now;
	return is_first && upstream->own.running <= 1 &&
	    upstream->peers.running == 0;
}

/*
 * Connects to the upstream, whose connection ended during the request or with
 * its response, to find out whether it died. Deaths are reported to all
 * gateways, so that a request which crashes every upstream that runs it is not
 * sent to all of them.
 */
void
exchange_check_death(struct exchange *exchange, bool is_success)
{
	const struct fleet_upstream *upstream = exchange->upstream;
	static const struct http_call_ops ops = {.done = on_death_check_done};
	struct death_check *check = g_new0(struct death_check, 1);
	struct timespec now = clock_monotonic(exchange->context->clock);
	g_autofree char *url = g_strconcat(
	    "http://", upstream->address, "/", NULL);
	const struct http_call_request request = {
	    .method = "GET",
	    .url = url,
	    .connect_timeout_ms = DEATH_CHECK_MS,
	    .timeout_ms = DEATH_CHECK_MS,
	    .connect_only = true,
	    .dedicated_connection = true,
	};

	check->upstream = g_strdup(upstream->id);
	check->crash_sync = exchange->context->crash_sync;
	check->death = quarantine_death_id(
	    upstream->id, (uint64_t)upstream->process.start_wall_ms);
	check->stage = (struct part_death_stage){
	    .begun = time_is_set(exchange->begun_at),
	    .alone = is_alone(exchange, now),
	    .leaving = fleet_upstream_is_leaving(
		routing_state_fleet(exchange->context->routing_state), upstream,
		now),
	    .events = exchange->send_events,
	};
	memcpy(
	    check->parts, exchange->caller_headers.parts, sizeof(check->parts));
	check->subjects = exchange_crash_subjects(exchange);
	check->subjects.parts = check->parts;
	if (is_success)
		check->ended_at = now;
	http_client_start(exchange->context->http, &request, &ops, check);
}

/* Reports that the upstream has survived the begin of its answer. */
void
exchange_report_begin_survival(struct exchange *exchange)
{
	struct crash_subjects parts = exchange_crash_subjects(exchange);

	parts.request = 0;
	crash_sync_report_survival(
	    exchange->context->crash_sync, &parts, exchange->begun_at);
}

/*
 * Checks whether the upstream has survived the request, whose response is
 * complete, and the prompt, if the response has fewer events than show that. An
 * upstream that fails or refuses a request has not begun to answer it, and one
 * may have died in a short unframed response.
 */
void
exchange_check_survival(struct exchange *exchange)
{
	bool is_short = exchange->send_events < PART_QUARANTINE_SURVIVED_EVENTS;
	bool is_success = exchange->status >= STATUS_SUCCESS_MIN &&
	    exchange->status < STATUS_REDIRECT_MIN;
	const struct crash_subjects request = {
	    .request = exchange->fingerprint};

	if (is_short && !exchange->response.framed) {
		exchange_check_death(exchange, is_success);
		return;
	}
	if (!is_success)
		return;
	if (is_short)
		exchange_report_begin_survival(exchange);
	crash_sync_report_survival(exchange->context->crash_sync, &request,
	    clock_monotonic(exchange->context->clock));
}

/* Returns whether the request is one, or its prompt has a part. */
static bool
has_subject(const struct exchange *exchange, uint64_t subject)
{
	if (exchange->fingerprint == subject)
		return true;
	for (size_t i = 0; i < exchange->caller_headers.part_count; i++) {
		if (exchange->caller_headers.parts[i] == subject)
			return true;
	}
	return false;
}

/*
 * Cancels the sends of a request, or with a part, that is refused from now on,
 * before their upstreams crash too. Those whose responses have begun go on:
 * they survive, or it is too late.
 */
void
exchange_on_crashing_refused(void *data, uint64_t subject)
{
	struct exchange_context *context = data;
	struct exchange *exchange;

	TAILQ_FOREACH (exchange, &context->exchanges, entry) {
		if (exchange->upstream == NULL ||
		    !has_subject(exchange, subject) ||
		    time_is_set(exchange->begun_at))
			continue;
		/* Without a call, memory is being reserved and nothing sent. */
		exchange->may_have_run |= exchange->call != NULL;
		exchange_stop_send(exchange);
		exchange_discard_partial(exchange);
		exchange_refuse_crashing(exchange);
	}
}

/* Logs how far the response was that a broken connection has ended. */
static void
log_broken_send(
    const struct exchange *exchange, const struct fleet_upstream *upstream)
{
	LOG_INFO("connection to upstream broken", "{s:s, s:s, s:b, s:i}",
	    "request", exchange->caller_headers.request_id, "upstream",
	    upstream->id, "begun", time_is_set(exchange->begun_at), "events",
	    (int)exchange->send_events);
}

/* Updates the back-off and the share of failures of an upstream. */
static void
update_health(struct exchange *exchange, struct fleet_upstream *upstream,
    enum send_outcome outcome)
{
	double failed = outcome == SEND_FAILED || outcome == SEND_LOST ? 1.0
								       : 0.0;

	if (outcome == SEND_NOT_SENT || outcome == SEND_LOST)
		avoid(exchange, upstream);
	else if (outcome == SEND_NOT_RUN && exchange->faulty_upstream != NULL)
		return;
	else if (outcome == SEND_NOT_RUN)
		upstream->process.avoid_until = time_add_ms(
		    clock_monotonic(exchange->context->clock), AVOID_FULL_MS);
	else
		upstream->process.failures = 0;
	if (outcome == SEND_ANSWERED || failed > 0.0)
		upstream->process.error_share += ERROR_WEIGHT *
		    (failed - upstream->process.error_share);
}

/*
 * Ends the current send: removes it from the upstream's load and updates the
 * upstream's health.
 */
void
exchange_end_send(struct exchange *exchange, enum send_outcome outcome)
{
	struct fleet_upstream *upstream = exchange->upstream;
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (upstream == NULL)
		return;
	ev_timer_stop(exchange->context->loop, &exchange->stall_timer);
	permit_cancel(exchange->permit);
	exchange->permit = NULL;
	exchange_clear_prefill(exchange);
	exchange_clear_helpers(exchange);
	if (outcome == SEND_LOST && exchange->disconnected) {
		log_broken_send(exchange, upstream);
		exchange_check_death(exchange, false);
	}
	exchange->upstream = NULL;
	exchange->call = NULL;
	exchange->send_outcome = outcome;
	if (outcome != SEND_NOT_SENT && outcome != SEND_NO_PERMIT) {
		if (exchange->sends == 0)
			retry_sync_count_request(exchange->context->retry_sync,
			    exchange->profile->name);
		exchange->sends++;
		exchange->rejections += outcome == SEND_NOT_RUN;
	}
	if (outcome != SEND_OPEN && outcome != SEND_NO_PERMIT)
		update_health(exchange, upstream, outcome);
	upstream->own.context_tokens -= exchange->context_tokens;
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)--;
	exchange_end_prompt(exchange, upstream, outcome);
	fleet_remove_request(
	    routing_state_fleet(exchange->context->routing_state), upstream,
	    now);
}

/* Cancels the current send, if any; the upstream's health is not changed. */
void
exchange_stop_send(struct exchange *exchange)
{
	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange_end_send(exchange, SEND_OPEN);
}
