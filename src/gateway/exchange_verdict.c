#include <string.h>

#include "gateway/exchange_internal.h"

#define LOG_MODULE "verdict"
#include "base/log.h"

/* Time off after a failure, doubled by each further one. */
#define AVOID_MIN_MS 250
#define AVOID_MAX_MS 4000
/* One that turned a request away has no place for the moment. */
#define AVOID_FULL_MS 30
/* Time for an upstream to refuse a connection; one that is there takes it. */
#define DEATH_CHECK_MS 300
/* Weight of one answer in the share of failures. */
#define ERROR_WEIGHT 0.1

/* Keeps away from an upstream for a time that grows with its failures. */
static void
avoid(struct exchange *exchange, struct upstream *upstream)
{
	struct timespec now = clock_monotonic(exchange->all->clock);
	int64_t wait_ms = MIN(
	    (int64_t)AVOID_MIN_MS << MIN(upstream->failures, 8U), AVOID_MAX_MS);

	upstream->failures++;
	upstream->avoid_until = time_add_ms(now, wait_ms);
	/* It may come back restarted. */
	upstream->cold_until = time_add_ms(
	    upstream->avoid_until, exchange->profile->cold_ms);
	LOG_INFO("upstream avoided", "{s:s, s:i, s:I}", "upstream",
	    upstream->id, "failures", (int)upstream->failures, "for_ms",
	    (json_int_t)wait_ms);
}

/*
 * Keeps away from an upstream that another one could not read with, by its id
 * or address; the one that says so is not to blame.
 */
void
exchange_blame(struct exchange *exchange, const char *at_fault)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	struct upstream *upstream;

	g_clear_pointer(&exchange->at_fault, g_free);
	if (at_fault == NULL)
		return;
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (upstream == exchange->upstream ||
		    (strcmp(upstream->id, at_fault) != 0 &&
			strcmp(upstream->address, at_fault) != 0))
			continue;
		exchange->at_fault = g_strdup(upstream->id);
		avoid(exchange, upstream);
		upstream->blamed_until = time_add_ms(
		    clock_monotonic(exchange->all->clock), FLEET_BLAMED_MS);
		return;
	}
}

/* A look at an upstream whose connection broke under a request. */
struct death_check {
	struct mesh *mesh;
	uint64_t fingerprint;
	char *upstream;
};

/* Nobody listens there: the upstream died of what it ran, or with it. */
static void
take_checked(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct death_check *check = data;

	if (result->refused) {
		LOG_INFO("upstream died under a request", "{s:s, s:I}",
		    "upstream", check->upstream, "fingerprint",
		    (json_int_t)check->fingerprint);
		mesh_report_upstream_death(check->mesh, check->fingerprint);
	}
	g_free(check->upstream);
	g_free(check);
}

/*
 * Looks whether an upstream is gone whose connection broke under a request, and
 * tells all gateways where it is: a request that kills each upstream that runs
 * it must not go round them all.
 */
static void
check_death(struct exchange *exchange, const struct upstream *upstream)
{
	static const struct http_call_ops ops = {.done = take_checked};
	struct death_check *check = g_new0(struct death_check, 1);
	g_autofree char *url = g_strconcat(
	    "http://", upstream->address, "/", NULL);
	const struct http_call_request request = {
	    .method = "GET",
	    .url = url,
	    .connect_timeout_ms = DEATH_CHECK_MS,
	    .timeout_ms = DEATH_CHECK_MS,
	    .connect_only = true,
	    .own_connection = true,
	};

	check->mesh = exchange->all->mesh;
	check->fingerprint = exchange->fingerprint;
	check->upstream = g_strdup(upstream->id);
	http_client_start(exchange->all->http, &request, &ops, check);
}

/* Learns from how a send ended. */
static void
update_health(
    struct exchange *exchange, struct upstream *upstream, enum send_end end)
{
	double failed = end == SEND_FAILED || end == SEND_LOST ? 1.0 : 0.0;

	if (end == SEND_NEVER || end == SEND_LOST)
		avoid(exchange, upstream);
	else if (end == SEND_NOT_RUN && exchange->at_fault != NULL)
		return;
	else if (end == SEND_NOT_RUN)
		upstream->avoid_until = time_add_ms(
		    clock_monotonic(exchange->all->clock), AVOID_FULL_MS);
	else
		upstream->failures = 0;
	if (end == SEND_ANSWERED || failed > 0.0)
		upstream->error_share += ERROR_WEIGHT *
		    (failed - upstream->error_share);
}

/* Takes a send that is over off the upstream's account. */
void
exchange_send_ended(struct exchange *exchange, enum send_end end)
{
	struct upstream *upstream = exchange->upstream;
	struct timespec now = clock_monotonic(exchange->all->clock);

	if (upstream == NULL)
		return;
	ev_timer_stop(exchange->all->loop, &exchange->stall);
	exchange_prompt_read(exchange);
	exchange_drop_helpers(exchange);
	exchange->upstream = NULL;
	exchange->call = NULL;
	exchange->send_end = end;
	if (end != SEND_NEVER) {
		if (exchange->sends == 0)
			retry_window_count(exchange_retry_window(exchange),
			    &exchange->all->retry, now);
		exchange->sends++;
	}
	if (end != SEND_OPEN)
		update_health(exchange, upstream, end);
	if (end == SEND_LOST && exchange->broke)
		check_death(exchange, upstream);
	upstream->own.context_tokens -= exchange->context_tokens;
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)--;
	fleet_ended(knowledge_fleet(exchange->all->knowledge), upstream, now);
}

/* Stops a send whose answer nobody waits for. */
void
exchange_stop_send(struct exchange *exchange)
{
	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange_send_ended(exchange, SEND_OPEN);
}
