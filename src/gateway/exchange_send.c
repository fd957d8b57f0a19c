#include "base/metrics.h"
#include "gateway/exchange_choice.h"
#include "gateway/exchange_internal.h"

#define LOG_MODULE "send"
#include "base/log.h"

/* To an upstream on the same network; one that is cut off does not answer. */
#define CONNECT_MS 300
/* An upstream that acknowledges nothing for this long is not there. */
#define UNREACHABLE_MS 2000
/* Times that engines are asked for one prompt's memory before it is refused. */
#define TICKET_REFUSALS_MAX 2

METRIC_DEFINE(sends_count, METRIC_COUNTER, "heatherturn_gateway_sends", NULL,
    "Requests sent to upstreams.");

/* Counts a send at the upstreams that take part in it. */
static void
count_send(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	struct timespec now = clock_monotonic(exchange->all->clock);
	struct upstream *upstream = choice->upstreams[plan->first];

	exchange->upstream = upstream;
	exchange->send_end = SEND_OPEN;
	exchange->send_why = NULL;
	exchange->broke = false;
	exchange->tried[exchange->tries++] = g_strdup(upstream->id);
	fleet_began(knowledge_fleet(exchange->all->knowledge), upstream, now);
	exchange->context_tokens = exchange->head.prompt_tokens +
	    exchange->head.output_tokens - exchange_held_tokens(plan);
	upstream->own.context_tokens += exchange->context_tokens;
	exchange->stream_count = NULL;
	if (exchange->head.has_prompt)
		exchange->stream_count =
		    &upstream->own.streams[choice_stream_class(exchange)];
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)++;
	exchange_count_reading(exchange, choice, plan);
	metric_add(&sends_count, 1);
}

/* Names the upstreams that help, with spaces between; to be freed. */
static char *
name_helpers(const struct choice *choice, const struct balance_plan *plan)
{
	const char *ids[BALANCE_HELPERS_MAX + 1] = {NULL};

	for (size_t i = 0; i < plan->helper_count; i++)
		ids[i] = choice->upstreams[plan->helpers[i]]->id;
	return g_strjoinv(" ", (char **)ids);
}

/* Writes the line of a decision. */
static void
log_send(const struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	const struct balance_candidate *chosen = &choice
						      ->candidates[plan->first];
	g_autofree char *helpers = name_helpers(choice, plan);

	LOG_INFO("request sent",
	    "{s:s, s:s, s:s, s:i, s:I, s:i, s:s, s:f, s:i, s:i, s:i, s:i, s:I, "
	    "s:I, s:I}",
	    "request", exchange->head.request_id, "upstream",
	    choice->upstreams[plan->first]->id, "route", exchange->route->name,
	    "try", (int)exchange->tries, "prompt_tokens",
	    (json_int_t)exchange->head.prompt_tokens, "helpers",
	    (int)plan->helper_count, "helped_by", helpers, "part_ms",
	    plan->part_ms, "candidates", (int)choice->count, "running",
	    (int)chosen->running, "backlog_ms", (int)chosen->backlog_ms,
	    "expected_ms", (int)plan->first_token_ms, "left_ms",
	    (json_int_t)exchange_left_ms(exchange), "routes_version",
	    (json_int_t)exchange->table->version, "list_version",
	    (json_int_t)fleet->version);
}

/* Hands the request to the HTTP client. */
static void
start_call(struct exchange *exchange)
{
	struct helper helpers[BALANCE_HELPERS_MAX];
	const struct upstream_head head = {
	    .remaining_ms = exchange_left_ms(exchange),
	    .upstream = exchange->upstream->id,
	    .organisation = exchange->organisation != NULL
		? exchange->organisation->name
		: NULL,
	    .has_last_event = exchange->has_last_event,
	    .last_event = exchange->last_event,
	    .helpers = helpers,
	    .helper_count = exchange->helper_count,
	};
	g_autofree char *url = g_strconcat("http://",
	    exchange->upstream->address, httpd_request_target(exchange->http),
	    NULL);
	struct http_call_request request = {
	    .method = httpd_request_method(exchange->http),
	    .url = url,
	    .connect_timeout_ms = CONNECT_MS,
	    .unreachable_ms = UNREACHABLE_MS,
	    .own_connection = true,
	};
	g_autoptr(GArray) headers = NULL;

	for (size_t i = 0; i < exchange->helper_count; i++) {
		const struct send_helper *helper = &exchange->helpers[i];

		helpers[i] = (struct helper){
		    .address = helper->address,
		    .ticket = helper->held_tokens > 0
			? tickets_id(exchange->tickets, helper->ticket)
			: NULL,
		};
	}
	headers = headers_for_upstream(exchange->http, &head);
	request.headers = (const struct http_header *)(void *)headers->data;
	request.header_count = headers->len;
	request.body = httpd_request_body(exchange->http, &request.body_length);
	exchange->call = http_client_start(
	    exchange->all->http, &request, &exchange_call_ops, exchange);
	exchange_expect_progress(exchange);
}

/* Goes on once the engines have answered whether they set memory aside. */
static void
take_tickets(void *data, bool granted)
{
	struct exchange *exchange = data;

	if (granted) {
		start_call(exchange);
		return;
	}
	exchange_send_ended(exchange, SEND_NEVER);
	if (++exchange->ticket_refusals < TICKET_REFUSALS_MAX)
		exchange_next(
		    exchange, SEND_NEVER, "engines have no memory for it");
	else
		exchange_give_up(exchange, REFUSAL_OVERLOADED,
		    EXCHANGE_COME_BACK_MS, "engines have no memory for it now");
}

/* Asks helpers to set memory aside; false where none has to. */
static bool
ask_tickets(struct exchange *exchange)
{
	struct ticket_wish wishes[BALANCE_HELPERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < exchange->helper_count; i++) {
		if (exchange->helpers[i].held_tokens == 0)
			continue;
		wishes[count++] = (struct ticket_wish){
		    .address = exchange->helpers[i].address,
		    .tokens = exchange->helpers[i].held_tokens,
		};
	}
	if (count == 0)
		return false;
	exchange->tickets = tickets_ask(exchange->all->loop,
	    exchange->all->http, exchange->head.request_id,
	    exchange->all->hold_ms, wishes, count, take_tickets, exchange);
	return true;
}

/* Writes the line of a prompt that is turned away. */
static void
log_turned_away(const struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	LOG_INFO("prompt turned away",
	    "{s:s, s:I, s:f, s:f, s:i, s:i, s:i, s:i}", "request",
	    exchange->head.request_id, "prompt_tokens",
	    (json_int_t)exchange->head.prompt_tokens, "cost", plan->cost,
	    "worth", plan->worth, "backlog_ms", (int)plan->wait_ms,
	    "expected_ms", (int)plan->first_token_ms, "helpers",
	    (int)plan->helper_count, "candidates", (int)choice->count);
}

/* Answers a request that is not sent, or not sent once more. */
static void
refuse(struct exchange *exchange, const struct choice *choice,
    enum balance_verdict verdict, const struct balance_plan *plan)
{
	int64_t wait_ms = (int64_t)plan->wait_ms + EXCHANGE_COME_BACK_MS;

	if (verdict == BALANCE_TOO_COSTLY || verdict == BALANCE_NO_MEMORY)
		log_turned_away(exchange, choice, plan);
	switch (verdict) {
	case BALANCE_TOO_COSTLY:
		exchange_give_up(exchange, REFUSAL_OVERLOADED, wait_ms,
		    "the engines' time is worth more to other prompts now");
		break;
	case BALANCE_NO_MEMORY:
		exchange_give_up(exchange, REFUSAL_OVERLOADED, wait_ms,
		    "the engines have no memory for the prompt now");
		break;
	default:
		exchange_give_up(exchange, REFUSAL_NO_UPSTREAM,
		    EXCHANGE_COME_BACK_MS,
		    choice->listed > 0 ? "no upstream has room now"
				       : "no upstream takes new work now");
		break;
	}
}

/* Plans a prompt once more that has waited. */
void
exchange_waited(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_send(timer->data);
}

/* Has a prompt planned once more after a while. */
static void
plan_later(struct exchange *exchange)
{
	ev_timer_set(
	    &exchange->wait, (double)BALANCE_WAIT_INTERVAL_MS / MS_PER_S, 0.0);
	ev_timer_start(exchange->all->loop, &exchange->wait);
}

/* Sends the request to the upstream that serves it best. */
void
exchange_send(struct exchange *exchange)
{
	struct choice choice;
	struct balance_plan chosen = {0};
	enum balance_verdict verdict;

	choice_collect(exchange, CHOICE_SURE, &choice);
	for (int care = CHOICE_USABLE; care <= CHOICE_ANY && choice.count == 0;
	     care++) {
		choice_clear(&choice);
		choice_collect(exchange, (enum choice_care)care, &choice);
	}
	verdict = choice_plan(exchange, &choice, &chosen);
	/* One that has begun goes on, whatever it costs. */
	if (verdict == BALANCE_TOO_COSTLY && exchange->sends > 0)
		verdict = BALANCE_SERVE;
	if (exchange->tries == 0 && choice_may_wait(exchange, verdict)) {
		plan_later(exchange);
		goto out;
	}
	if (verdict != BALANCE_SERVE) {
		refuse(exchange, &choice, verdict, &chosen);
		goto out;
	}
	count_send(exchange, &choice, &chosen);
	log_send(exchange, &choice, &chosen);
	exchange_keep_helpers(exchange, &choice, &chosen);
	if (!ask_tickets(exchange))
		start_call(exchange);
out:
	choice_clear(&choice);
}
