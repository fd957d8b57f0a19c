#include "entry/dispatch.h"

#include <string.h>

#include "base/metrics.h"

/* Interval of the timer that detects stalls of the event loop. */
#define STALL_CHECK_MS 50
/* A stall excuses late answers for this long after its end. */
#define STALL_RECENT_MS 1000

/* How long requests of a service last. */
struct durations {
	struct duration short_prompts;
	struct duration long_prompts;
};

struct dispatch {
	struct dispatch_settings settings;
	struct ev_timer stall_timer;
	struct timespec last_stall_check;
	struct timespec last_stall_end;
	int64_t last_stall_ms;
	struct mesh_handler handler;
	struct router *router;
	struct drain drain;
	GRand *random;
	GHashTable *exchanges; /* request id -> struct dispatch_exchange */
	GHashTable *budgets; /* service id -> struct retry_budget */
	GHashTable *durations; /* service id -> struct durations */
	dispatch_demand_fn *on_demand; /* NULL for none */
	void *on_demand_data;
};

METRIC_DEFINE(loop_stalls, METRIC_COUNTER, "heatherturn_stalls", NULL,
    "times that the loop stood still, as when the process was stopped");
METRIC_DEFINE(stray_messages, METRIC_COUNTER, "heatherturn_stray_messages",
    NULL, "messages for requests that this entry no longer has");

/*
 * Passes a message to its exchange. One for a request that has ended is counted
 * and dropped.
 */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct dispatch *dispatch = data;
	struct dispatch_exchange *exchange;

	exchange = g_hash_table_lookup(dispatch->exchanges, message->request);
	if (exchange == NULL) {
		metric_add(&stray_messages, 1);
		return;
	}
	exchange->ops->message(exchange, link, message);
}

typedef void exchange_fn(struct dispatch_exchange *, void *data);

/*
 * Calls a function for every exchange. An exchange may end in it, so the ids
 * are copied first and each is looked up again.
 */
static void
for_each_exchange(struct dispatch *dispatch, exchange_fn *visit, void *data)
{
	g_autofree char **ids = NULL;
	guint count;

	ids = (char **)g_hash_table_get_keys_as_array(
	    dispatch->exchanges, &count);
	for (guint i = 0; i < count; i++)
		ids[i] = g_strdup(ids[i]);
	for (guint i = 0; i < count; i++) {
		struct dispatch_exchange *exchange = g_hash_table_lookup(
		    dispatch->exchanges, ids[i]);

		if (exchange != NULL)
			visit(exchange, data);
		g_free(ids[i]);
	}
}

/* Notifies an exchange that a link is lost. */
static void
notify_lost(struct dispatch_exchange *exchange, void *link)
{
	exchange->ops->lost(exchange, link);
}

/* Notifies every exchange that a link is lost. */
static void
on_link_lost(void *data, struct link *link, const GError *error)
{
	for_each_exchange(data, notify_lost, link);
}

static const struct mesh_ops handler_ops = {
    .message = on_message,
    .lost = on_link_lost,
};

/* Returns how many milliseconds the stall timer is overdue. */
static int64_t
current_stall_ms(const struct dispatch *dispatch)
{
	struct timespec now = clock_monotonic(dispatch->settings.clock);
	int64_t overdue_ms = time_diff_ms(now, dispatch->last_stall_check) -
	    STALL_CHECK_MS;

	return MAX(overdue_ms, 0);
}

/* Records a stall if the timer fired too late. */
static void
on_stall_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct dispatch *dispatch = timer->data;
	int64_t stall = current_stall_ms(dispatch);

	dispatch->last_stall_check = clock_monotonic(dispatch->settings.clock);
	if (stall < STALL_CHECK_MS)
		return;
	metric_add(&loop_stalls, 1);
	dispatch->last_stall_ms = stall;
	dispatch->last_stall_end = dispatch->last_stall_check;
}

/*
 * Returns the length in milliseconds of a stall of the event loop that is going
 * on or ended within the last second, 0 for none. No answer can be in time
 * while the process is stopped.
 */
int64_t
dispatch_recent_stall_ms(const struct dispatch *dispatch)
{
	struct timespec now = clock_monotonic(dispatch->settings.clock);
	int64_t stall = current_stall_ms(dispatch);

	if (time_diff_ms(now, dispatch->last_stall_end) <= STALL_RECENT_MS)
		stall = MAX(stall, dispatch->last_stall_ms);
	return stall;
}

/* Creates the shared state; mesh and documents must outlive it. */
struct dispatch *
dispatch_new(const struct dispatch_settings *settings)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->settings = *settings;
	dispatch->router = router_new(settings->policy, settings->seed);
	dispatch->random = g_rand_new_with_seed(settings->seed);
	dispatch->exchanges = g_hash_table_new(g_str_hash, g_str_equal);
	dispatch->budgets = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	dispatch->durations = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	dispatch->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_OFFER) | MESH_KIND(MESSAGE_REJECT) |
		MESH_KIND(MESSAGE_START) | MESH_KIND(MESSAGE_CHUNK) |
		MESH_KIND(MESSAGE_FINISH) | MESH_KIND(MESSAGE_HELD),
	    .ops = &handler_ops,
	    .data = dispatch,
	};
	mesh_add_handler(settings->mesh, &dispatch->handler);
	dispatch->last_stall_check = clock_monotonic(settings->clock);
	ev_timer_init(&dispatch->stall_timer, on_stall_timer,
	    STALL_CHECK_MS / 1e3, STALL_CHECK_MS / 1e3);
	dispatch->stall_timer.data = dispatch;
	ev_timer_start(settings->loop, &dispatch->stall_timer);
	return dispatch;
}

/* Frees the shared state; no exchange may be left. NULL is allowed. */
void
dispatch_free(struct dispatch *dispatch)
{
	if (dispatch == NULL)
		return;
	ev_timer_stop(dispatch->settings.loop, &dispatch->stall_timer);
	mesh_remove_handler(dispatch->settings.mesh, &dispatch->handler);
	router_free(dispatch->router);
	g_rand_free(dispatch->random);
	g_hash_table_unref(dispatch->exchanges);
	g_hash_table_unref(dispatch->budgets);
	g_hash_table_unref(dispatch->durations);
	g_free(dispatch);
}

/* Adds an exchange under its request id, to receive messages. */
void
dispatch_add_exchange(
    struct dispatch *dispatch, struct dispatch_exchange *exchange)
{
	g_hash_table_insert(dispatch->exchanges, exchange->request, exchange);
}

/* Removes an exchange: later messages for its request are dropped. */
void
dispatch_remove_exchange(
    struct dispatch *dispatch, struct dispatch_exchange *exchange)
{
	g_hash_table_remove(dispatch->exchanges, exchange->request);
}

size_t
dispatch_exchange_count(const struct dispatch *dispatch)
{
	return g_hash_table_size(dispatch->exchanges);
}

struct ev_loop *
dispatch_loop(const struct dispatch *dispatch)
{
	return dispatch->settings.loop;
}

struct clock *
dispatch_clock(const struct dispatch *dispatch)
{
	return dispatch->settings.clock;
}

struct mesh *
dispatch_mesh(const struct dispatch *dispatch)
{
	return dispatch->settings.mesh;
}

struct router *
dispatch_router(const struct dispatch *dispatch)
{
	return dispatch->router;
}

GRand *
dispatch_random(const struct dispatch *dispatch)
{
	return dispatch->random;
}

/*
 * Returns the current configuration. It is borrowed and valid until control
 * returns to the event loop.
 */
struct config *
dispatch_config(const struct dispatch *dispatch)
{
	return documents_config(dispatch->settings.documents);
}

/* Ends one exchange. */
static void
end_exchange(struct dispatch_exchange *exchange, void *data)
{
	exchange->ops->end(exchange);
}

/*
 * The process is about to exit: gives each request its final answer, except
 * streams that their callers can resume through another entry.
 */
void
dispatch_end_exchanges(struct dispatch *dispatch)
{
	for_each_exchange(dispatch, end_exchange, NULL);
}

/* The process was asked to stop: from now on its time is limited. */
void
dispatch_start_draining(
    struct dispatch *dispatch, const struct drain_limits *limits)
{
	drain_start(&dispatch->drain, limits,
	    clock_monotonic(dispatch->settings.clock));
}

/* Returns how much time the process has. */
const struct drain *
dispatch_drain(const struct dispatch *dispatch)
{
	return &dispatch->drain;
}

/* Returns a service's durations for a class; created on first use. */
struct duration *
dispatch_duration(
    struct dispatch *dispatch, const char *service, enum work_class class)
{
	struct durations *durations = g_hash_table_lookup(
	    dispatch->durations, service);

	if (durations == NULL) {
		durations = g_new0(struct durations, 1);
		g_hash_table_insert(
		    dispatch->durations, g_strdup(service), durations);
	}
	return class == WORK_LONG ? &durations->long_prompts
				  : &durations->short_prompts;
}

/*
 * Returns whether a request that has not run may be sent to an upstream, with
 * the time left until its deadline. A call to a plain service can't be repeated
 * if it is cut.
 */
bool
dispatch_may_begin(const struct dispatch *dispatch, enum work_kind work,
    const struct duration *duration, int64_t remaining_ms)
{
	return drain_may_begin(&dispatch->drain,
	    duration_expected_ms(duration, remaining_ms, work != WORK_CALL),
	    clock_monotonic(dispatch->settings.clock));
}

/* The same for a request that an upstream may have run. */
bool
dispatch_may_repeat(const struct dispatch *dispatch,
    const struct duration *duration, int64_t remaining_ms)
{
	return drain_may_repeat(&dispatch->drain,
	    duration_expected_ms(duration, remaining_ms, true),
	    clock_monotonic(dispatch->settings.clock));
}

/* Sets the callback for the demand on services; NULL for none. */
void
dispatch_set_demand_callback(
    struct dispatch *dispatch, dispatch_demand_fn *on_demand, void *data)
{
	dispatch->on_demand = on_demand;
	dispatch->on_demand_data = data;
}

/* Reports a request to a service, in tokens of prompt and answer. */
void
dispatch_report_demand(
    struct dispatch *dispatch, const char *service, uint64_t tokens)
{
	if (dispatch->on_demand != NULL)
		dispatch->on_demand(dispatch->on_demand_data, service, tokens);
}

/*
 * Returns a service's retry budget, which is created on first use. Its share is
 * that of the configuration at that time, 0 for an unknown service.
 */
struct retry_budget *
dispatch_retry_budget(struct dispatch *dispatch, const char *service)
{
	struct retry_budget *budget;
	const Heatherturn__V1__Service *found;

	budget = g_hash_table_lookup(dispatch->budgets, service);
	if (budget != NULL)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	found = config_find_service(dispatch_config(dispatch), service);
	retry_budget_init(
	    budget, found != NULL ? found->retry_share_percent : 0);
	g_hash_table_insert(dispatch->budgets, g_strdup(service), budget);
	return budget;
}

/*
 * Returns the upstreams of a service that accept new work by the current
 * configuration, in its order. Free the array with g_ptr_array_unref(); its
 * elements are borrowed.
 */
GPtrArray *
dispatch_eligible_upstreams(
    const struct dispatch *dispatch, const char *service)
{
	const struct config *config = dispatch_config(dispatch);
	const Heatherturn__V1__ConfigDocument *document = config_document(
	    config);
	GPtrArray *found = g_ptr_array_new();

	for (size_t i = 0; i < document->n_upstreams; i++) {
		Heatherturn__V1__Upstream *upstream = document->upstreams[i];

		if (strcmp(upstream->service, service) == 0 &&
		    config_upstream_accepts_work(config, upstream))
			g_ptr_array_add(found, upstream);
	}
	return found;
}

/*
 * Cancels an exchange and frees it. No callback is called for the request after
 * this; the sidecar gets the reason as text.
 */
void
dispatch_exchange_cancel(struct dispatch_exchange *exchange, const char *reason)
{
	exchange->ops->cancel(exchange, reason);
}

/*
 * Detaches from a stream, so that it can be resumed, and frees the exchange.
 * The sidecar keeps the stream until its deadline. No callback is called after
 * this.
 */
void
dispatch_exchange_detach(struct dispatch_exchange *exchange)
{
	exchange->ops->detach(exchange);
}

/* Adds bytes that the caller has read to the flow-control window. */
void
dispatch_exchange_add_consumed(struct dispatch_exchange *exchange, size_t bytes)
{
	exchange->ops->consumed(exchange, bytes);
}
