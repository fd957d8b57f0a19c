#include "gateway/tickets.h"

#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "platform/orders.h"

#define LOG_MODULE "tickets"
#include "base/log.h"

#define STATUS_OK 200

METRIC_DEFINE(granted_count, METRIC_COUNTER, "heatherturn_gateway_tickets",
    NULL, "Reservations of memory that engines granted.");
METRIC_DEFINE(refused_count, METRIC_COUNTER,
    "heatherturn_gateway_tickets_refused", NULL,
    "Reservations of memory that engines did not grant.");

/* Memory at one engine. */
struct ticket {
	struct tickets *tickets;
	char *id;
	char *address;
	uint64_t tokens;
	struct http_call *call; /* an order without an answer yet */
	bool granted;
	bool refused; /* the engine said no: nothing is to be given back */
};

struct tickets {
	struct ev_loop *loop;
	struct http_client *http;
	int64_t hold_ms;
	tickets_fn *done; /* NULL once it was called */
	void *data;
	ev_timer renew;
	size_t pending; /* first answers that are still to come */
	bool failed;
	size_t count;
	struct ticket *items;
};

/* A release that goes on after its tickets are freed. */
struct release {
	struct http_client *http;
	char *id;
	char *address;
	unsigned int tries;
};

static void send_release(struct release *);

/* Sends an order. */
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
	    .connect_timeout_ms = TICKETS_ORDER_MS,
	    .timeout_ms = TICKETS_ORDER_MS,
	    .dedicated_connection = true,
	};

	return http_client_start(http, &request, ops, data);
}

/* Takes what came of a release; one without an answer is sent again. */
static void
take_released(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct release *release = data;

	if (result->error != NULL && !result->refused &&
	    release->tries < TICKETS_RELEASE_TRIES) {
		send_release(release);
		return;
	}
	if (result->error != NULL)
		LOG_WARN("memory not given back", "{s:s, s:s, s:s}", "ticket",
		    release->id, "address", release->address, "why",
		    result->error->message);
	g_free(release->id);
	g_free(release->address);
	g_free(release);
}

/* Sends a release, once more. */
static void
send_release(struct release *release)
{
	static const struct http_call_ops ops = {.done = take_released};
	char *body = order_encode_release(release->id);

	release->tries++;
	send_order(release->http, release->address, body, &ops, release);
	free(body);
}

/* Gives one ticket's memory back. */
static void
release_ticket(struct ticket *ticket)
{
	struct release *release = g_new0(struct release, 1);

	release->http = ticket->tickets->http;
	release->id = g_strdup(ticket->id);
	release->address = g_strdup(ticket->address);
	send_release(release);
}

/* Tells the owner once all first answers are in. */
static void
answer_in(struct tickets *tickets)
{
	tickets_fn *done = tickets->done;

	tickets->pending--;
	if (tickets->pending > 0 || done == NULL)
		return;
	tickets->done = NULL;
	done(tickets->data, !tickets->failed);
}

/* Takes an engine's answer to a reservation. */
static void
take_reserved(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct ticket *ticket = data;
	struct tickets *tickets = ticket->tickets;
	bool first = !ticket->granted;

	ticket->call = NULL;
	if (result->error == NULL && result->status == STATUS_OK) {
		ticket->granted = true;
		metric_add(&granted_count, 1);
	} else {
		ticket->refused = first && result->error == NULL;
		metric_add(&refused_count, 1);
		LOG_INFO("memory not set aside",
		    "{s:s, s:s, s:I, s:i, s:s, s:b}", "ticket", ticket->id,
		    "address", ticket->address, "tokens",
		    (json_int_t)ticket->tokens, "status", result->status, "why",
		    result->error != NULL ? result->error->message : "",
		    "renewal", !first);
	}
	if (!first)
		return;
	tickets->failed |= !ticket->granted;
	answer_in(tickets);
}

/* Asks an engine to set memory aside, or to hold it on. */
static void
reserve(struct ticket *ticket)
{
	static const struct http_call_ops ops = {.done = take_reserved};
	struct tickets *tickets = ticket->tickets;
	char *body = order_encode_reserve(
	    ticket->id, ticket->tokens, tickets->hold_ms);

	ticket->call = send_order(
	    tickets->http, ticket->address, body, &ops, ticket);
	free(body);
}

/* Renews what is held. */
static void
renew_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct tickets *tickets = timer->data;

	for (size_t i = 0; i < tickets->count; i++) {
		if (tickets->items[i].granted && tickets->items[i].call == NULL)
			reserve(&tickets->items[i]);
	}
}

/*
 * Asks engines to set memory aside for a request, each for hold_ms at a time.
 * The callback comes once, unless the tickets are freed before.
 */
struct tickets *
tickets_ask(struct ev_loop *loop, struct http_client *http, const char *request,
    int64_t hold_ms, const struct ticket_wish *wishes, size_t count,
    tickets_fn *done, void *data)
{
	struct tickets *tickets = g_new0(struct tickets, 1);

	tickets->loop = loop;
	tickets->http = http;
	tickets->hold_ms = hold_ms;
	tickets->done = done;
	tickets->data = data;
	tickets->count = count;
	tickets->pending = count;
	tickets->items = g_new0(struct ticket, count);
	for (size_t i = 0; i < count; i++) {
		tickets->items[i] = (struct ticket){
		    .tickets = tickets,
		    .id = g_strdup_printf("%s-%zu", request, i),
		    .address = g_strdup(wishes[i].address),
		    .tokens = wishes[i].tokens,
		};
		reserve(&tickets->items[i]);
	}
	ev_timer_init(&tickets->renew, renew_due,
	    (double)TICKETS_RENEW_MS / MS_PER_S,
	    (double)TICKETS_RENEW_MS / MS_PER_S);
	tickets->renew.data = tickets;
	ev_timer_start(loop, &tickets->renew);
	return tickets;
}

/*
 * Gives back what is held, and what may be held: an engine whose answer was not
 * awaited or lost may have set it aside. NULL is allowed.
 */
void
tickets_free(struct tickets *tickets)
{
	if (tickets == NULL)
		return;
	ev_timer_stop(tickets->loop, &tickets->renew);
	for (size_t i = 0; i < tickets->count; i++) {
		if (tickets->items[i].call != NULL)
			http_call_cancel(tickets->items[i].call);
		if (!tickets->items[i].refused)
			release_ticket(&tickets->items[i]);
		g_free(tickets->items[i].id);
		g_free(tickets->items[i].address);
	}
	g_free(tickets->items);
	g_free(tickets);
}

/* Returns the id under which an engine knows its part. */
const char *
tickets_id(const struct tickets *tickets, size_t index)
{
	return tickets->items[index].id;
}
