#include "gateway/reservations.h"

#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "platform/engine_report.h"
#include "platform/orders.h"
#include "policy/reservation_use.h"

#define LOG_MODULE "tickets"
#include "base/log.h"

#define STATUS_OK	   200
#define STATUS_MISDIRECTED 421
/* An engine answers an order with a few members. */
#define ORDER_RESPONSE_MAX_BYTES ((size_t)64 * 1024)
/* A report lists the engine's models and up to 64 reservations. */
#define REPORT_MAX_BYTES ((size_t)256 * 1024)

METRIC_DEFINE(granted_count, METRIC_COUNTER, "heatherturn_gateway_tickets",
    NULL, "Memory reservations that engines granted.");
METRIC_DEFINE(refused_count, METRIC_COUNTER,
    "heatherturn_gateway_tickets_refused", NULL,
    "Memory reservations that engines did not grant.");
METRIC_DEFINE(unused_count, METRIC_COUNTER,
    "heatherturn_gateway_tickets_unused", NULL,
    "Prompts whose reserved memory was given up since nothing used it.");

/* Memory reserved at one engine. */
struct reservation {
	struct reservations *reservations;
	char *id;
	char *address;
	uint64_t tokens;
	struct http_call *call; /* pending order */
	unsigned int renewals; /* that were due since the last order */
	bool granted;
	bool refused; /* by the engine: nothing to release */
};

struct reservations {
	struct reservations_ops ops;
	struct reservations_settings settings;
	void *data;
	struct timespec since;
	struct reservation_use use;
	struct http_call *question; /* whether the memory is used */
	ev_timer renew;
	bool answered; /* all engines have answered */
	size_t pending; /* engines that have not answered yet */
	bool failed;
	size_t count;
	struct reservation *items;
};

/* A release, which continues after its reservations are freed. */
struct release {
	struct http_client *http;
	struct rate_sync *rate_sync;
	char *id;
	char *address;
	unsigned int tries;
};

static void send_release(struct release *);

/* Sends an order to an engine. */
static struct http_call *
send_order(struct http_client *http, const char *address, const char *body,
    const struct http_call_ops *ops, void *data)
{
	static const struct http_header json_type = {
	    "Content-Type", "application/json"};
	g_autofree char *url = g_strconcat(
	    "http://", address, ORDER_PATH, NULL);
	const struct http_call_request request = {
	    .method = "POST",
	    .url = url,
	    .headers = &json_type,
	    .header_count = 1,
	    .body = body,
	    .body_length = strlen(body),
	    .connect_timeout_ms = RESERVATIONS_ORDER_TIMEOUT_MS,
	    .timeout_ms = RESERVATIONS_ORDER_TIMEOUT_MS,
	    .response_max_bytes = ORDER_RESPONSE_MAX_BYTES,
	    .dedicated_connection = true,
	};

	return http_client_start(http, &request, ops, data);
}

/* Handles the result of a release; sends it again if it was not answered. */
static void
on_release_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct release *release = data;

	if (result->error != NULL && !result->refused &&
	    release->tries < RESERVATIONS_RELEASE_TRIES) {
		send_release(release);
		return;
	}
	if (result->error != NULL)
		LOG_WARN("could not release reserved memory", "{s:s, s:s, s:s}",
		    "ticket", release->id, "address", release->address, "why",
		    result->error->message);
	g_free(release->id);
	g_free(release->address);
	g_free(release);
}

/* Sends a release order, the first time or again. */
static void
send_release(struct release *release)
{
	static const struct http_call_ops ops = {.done = on_release_done};
	char *body = order_encode_release(release->id);

	release->tries++;
	rate_sync_charge(release->rate_sync, release->address);
	send_order(release->http, release->address, body, &ops, release);
	free(body);
}

/* Starts to release one reservation. */
static void
release_reservation(struct reservation *reservation)
{
	struct release *release = g_new0(struct release, 1);

	release->http = reservation->reservations->settings.http;
	release->rate_sync = reservation->reservations->settings.rate_sync;
	release->id = g_strdup(reservation->id);
	release->address = g_strdup(reservation->address);
	send_release(release);
}

/* Reports the result once all engines have answered. */
static void
on_first_answer(struct reservations *reservations)
{
	reservations->pending--;
	if (reservations->pending > 0 || reservations->answered)
		return;
	reservations->answered = true;
	reservations->ops.answered(reservations->data, !reservations->failed);
}

/* Passes on what the engine says of itself, unless it is another process. */
static void
report_notice(const struct reservation *reservation,
    const struct http_call *call, const struct http_result *result)
{
	struct reservations *reservations = reservation->reservations;
	struct upstream_notice notice;

	if (result->status == STATUS_MISDIRECTED)
		return;
	headers_parse_notice(call, result->status, &notice);
	if (notice.leaving || notice.quiet_ms > 0 || notice.names_rate ||
	    notice.invalid_rate != NULL)
		reservations->ops.notice(reservations->data,
		    (size_t)(reservation - reservations->items), &notice);
}

/* Handles an engine's response to a reservation or its renewal. */
static void
on_reserve_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct reservation *reservation = data;
	struct reservations *reservations = reservation->reservations;
	bool first = !reservation->granted;

	reservation->call = NULL;
	report_notice(reservation, call, result);
	if (result->error == NULL && result->status == STATUS_OK) {
		reservation->granted = true;
		metric_add(&granted_count, 1);
	} else {
		reservation->refused = first && result->error == NULL;
		metric_add(&refused_count, 1);
		LOG_INFO("memory reservation failed",
		    "{s:s, s:s, s:I, s:i, s:s, s:b}", "ticket", reservation->id,
		    "address", reservation->address, "tokens",
		    (json_int_t)reservation->tokens, "status", result->status,
		    "why", result->error != NULL ? result->error->message : "",
		    "renewal", !first);
	}
	if (!first)
		return;
	reservations->failed |= !reservation->granted;
	on_first_answer(reservations);
}

/* Asks an engine to reserve memory, or to renew a reservation. */
static void
reserve(struct reservation *reservation)
{
	static const struct http_call_ops ops = {.done = on_reserve_done};
	struct reservations *reservations = reservation->reservations;
	const struct reservations_settings *settings = &reservations->settings;
	char *body = order_encode_reserve(
	    reservation->id, reservation->tokens, settings->hold_ms);

	reservation->renewals = 0;
	rate_sync_charge(settings->rate_sync, reservation->address);
	reservation->call = send_order(
	    settings->http, reservation->address, body, &ops, reservation);
	free(body);
}

/*
 * Returns whether a reservation is to be renewed now: each time, or as late as
 * possible where the engine names a rate, since orders count as requests.
 */
static bool
is_renewal_due(struct reservation *reservation)
{
	const struct reservations_settings
	    *settings = &reservation->reservations->settings;
	int64_t age_ms = (int64_t)++reservation->renewals *
	    RESERVATIONS_RENEW_MS;

	return !rate_sync_is_named(settings->rate_sync, reservation->address) ||
	    age_ms + RESERVATIONS_RENEW_MS + RESERVATIONS_ORDER_TIMEOUT_MS >
	    settings->hold_ms;
}

/* Returns how old the reservations are, in milliseconds. */
static int64_t
reservations_age_ms(const struct reservations *reservations)
{
	return time_diff_ms(
	    clock_monotonic(reservations->settings.clock), reservations->since);
}

/* Handles an engine's report on the first reservation. */
static void
on_report(void *data, struct http_call *call, const struct http_result *result)
{
	static const char *const texts[] = {
	    [RESERVED_MEMORY_UNKNOWN] = "unknown",
	    [RESERVED_MEMORY_UNUSED] = "unused",
	    [RESERVED_MEMORY_USED] = "used",
	};
	struct reservations *reservations = data;
	const struct reservation *first = &reservations->items[0];
	enum reserved_memory memory = RESERVED_MEMORY_UNKNOWN;

	reservations->question = NULL;
	if (result->error == NULL && result->status == STATUS_OK)
		memory = engine_report_find_memory(
		    result->body->data, result->body->len, first->id);
	reservations->use.used |= memory == RESERVED_MEMORY_USED;
	LOG_INFO("use of reserved memory", "{s:s, s:s, s:s, s:I, s:i, s:s}",
	    "ticket", first->id, "address", first->address, "memory",
	    texts[memory], "age_ms",
	    (json_int_t)reservations_age_ms(reservations), "status",
	    result->status, "why",
	    result->error != NULL ? result->error->message : "");
}

/*
 * Asks the engine of the first reservation, whose memory is used first, whether
 * a request uses it.
 */
static void
ask_use(struct reservations *reservations)
{
	static const struct http_call_ops ops = {.done = on_report};
	const struct reservations_settings *settings = &reservations->settings;
	const char *address = reservations->items[0].address;
	g_autofree char *url = g_strconcat(
	    "http://", address, ENGINE_REPORT_PATH, NULL);
	const struct http_call_request request = {
	    .method = "GET",
	    .url = url,
	    .connect_timeout_ms = RESERVATIONS_ORDER_TIMEOUT_MS,
	    .timeout_ms = RESERVATIONS_ORDER_TIMEOUT_MS,
	    .response_max_bytes = REPORT_MAX_BYTES,
	    .dedicated_connection = true,
	};

	if (reservations->question != NULL)
		return;
	rate_sync_charge(settings->rate_sync, address);
	reservations->question = http_client_start(
	    settings->http, &request, &ops, reservations);
}

/* Renews the granted reservations. */
static void
renew(struct reservations *reservations)
{
	for (size_t i = 0; i < reservations->count; i++) {
		struct reservation *reservation = &reservations->items[i];

		if (reservation->granted && reservation->call == NULL &&
		    is_renewal_due(reservation))
			reserve(reservation);
	}
}

/* Reports memory that has been unused for too long. */
static void
give_up(struct reservations *reservations)
{
	metric_add(&unused_count, 1);
	LOG_INFO("reserved memory is not used", "{s:s, s:i, s:I, s:I}",
	    "ticket", reservations->items[0].id, "reservations",
	    (int)reservations->count, "age_ms",
	    (json_int_t)reservations_age_ms(reservations), "expected_ms",
	    (json_int_t)reservations->settings.expected_ms);
	reservations->ops.unused(reservations->data);
}

/* The reservations are due to be renewed. */
static void
on_renew_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct reservations *reservations = timer->data;

	switch (reservation_use_next(
	    &reservations->use, reservations_age_ms(reservations))) {
	case RESERVATION_RENEW_AND_ASK:
		ask_use(reservations);
		/* FALLTHROUGH */
	case RESERVATION_RENEW:
		renew(reservations);
		break;
	case RESERVATION_GIVE_UP:
		give_up(reservations);
		break;
	}
}

/*
 * Asks engines to reserve memory for a send of a request and renews it until it
 * is freed. The ids begin with the prefix, which no other send has. Calls back
 * as the operations say; the settings and operations are copied.
 */
struct reservations *
reservations_new(const struct reservations_settings *settings,
    const char *prefix, const struct reservation_request *wishes, size_t count,
    const struct reservations_ops *ops, void *data)
{
	struct reservations *reservations = g_new0(struct reservations, 1);

	reservations->ops = *ops;
	reservations->settings = *settings;
	reservations->data = data;
	reservations->since = clock_monotonic(settings->clock);
	reservations->use = (struct reservation_use){
	    .hold_ms = settings->hold_ms,
	    .renew_ms = RESERVATIONS_RENEW_MS,
	    .unused_max_ms = settings->unused_max_ms,
	    .expected_ms = settings->expected_ms,
	};
	reservations->count = count;
	reservations->pending = count;
	reservations->items = g_new0(struct reservation, count);
	for (size_t i = 0; i < count; i++) {
		reservations->items[i] = (struct reservation){
		    .reservations = reservations,
		    .id = g_strdup_printf("%s-%zu", prefix, i),
		    .address = g_strdup(wishes[i].address),
		    .tokens = wishes[i].tokens,
		};
		reserve(&reservations->items[i]);
	}
	ev_timer_init(&reservations->renew, on_renew_timer,
	    (double)RESERVATIONS_RENEW_MS / MS_PER_S,
	    (double)RESERVATIONS_RENEW_MS / MS_PER_S);
	reservations->renew.data = reservations;
	ev_timer_start(settings->loop, &reservations->renew);
	return reservations;
}

/*
 * The body of a response shows that the request uses the memory, which is then
 * kept until the reservations are freed. NULL is allowed.
 */
void
reservations_set_used(struct reservations *reservations)
{
	if (reservations != NULL)
		reservations->use.used = true;
}

/*
 * Releases all reservations that are or may be granted: an engine may have
 * reserved memory though its response was lost or not awaited. NULL is allowed.
 */
void
reservations_free(struct reservations *reservations)
{
	if (reservations == NULL)
		return;
	ev_timer_stop(reservations->settings.loop, &reservations->renew);
	if (reservations->question != NULL)
		http_call_cancel(reservations->question);
	for (size_t i = 0; i < reservations->count; i++) {
		if (reservations->items[i].call != NULL)
			http_call_cancel(reservations->items[i].call);
		if (!reservations->items[i].refused)
			release_reservation(&reservations->items[i]);
		g_free(reservations->items[i].id);
		g_free(reservations->items[i].address);
	}
	g_free(reservations->items);
	g_free(reservations);
}

/* Returns the id that a reservation has at its engine. */
const char *
reservations_id(const struct reservations *reservations, size_t index)
{
	return reservations->items[index].id;
}
