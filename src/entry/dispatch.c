#include "entry/dispatch.h"

#include <string.h>

#include "base/metrics.h"

/* How often the loop shows that it runs. */
#define STALL_CHECK_MS 50
/* A stall still explains late answers for this long after its end. */
#define STALL_RECENT_MS 1000

struct dispatch {
	struct dispatch_settings settings;
	struct ev_timer stall_timer;
	struct timespec last_stall_check;
	struct timespec last_stall_end;
	int64_t last_stall_ms; /* of the last stall */
	struct mesh_handler handler;
	struct router *router;
	GRand *random;
	GHashTable *exchanges; /* request id -> struct exchange */
	GHashTable *budgets; /* service id -> struct retry_budget */
	dispatch_demand_fn *on_demand; /* NULL for nobody */
	void *on_demand_data;
};

METRIC_DEFINE(loop_stalls, METRIC_COUNTER, "heatherturn_stalls", NULL,
    "times that the loop stood still, as when the process was stopped");
METRIC_DEFINE(stray_messages, METRIC_COUNTER, "heatherturn_stray_messages",
    NULL, "messages for requests that this entry no longer has");

/* Brings a message to its exchange; late ones are counted and dropped. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct dispatch *dispatch = data;
	struct exchange *exchange;

	exchange = g_hash_table_lookup(dispatch->exchanges, message->request);
	if (exchange == NULL) {
		metric_add(&stray_messages, 1);
		return;
	}
	exchange->ops->message(exchange, link, message);
}

/*
 * Tells every exchange that a link is gone. An exchange may end inside, so that
 * the register is copied first and each is looked up again.
 */
static void
on_link_lost(void *data, struct link *link, const GError *error)
{
	struct dispatch *dispatch = data;
	g_autofree char **ids = NULL;
	guint count;

	ids = (char **)g_hash_table_get_keys_as_array(
	    dispatch->exchanges, &count);
	for (guint i = 0; i < count; i++)
		ids[i] = g_strdup(ids[i]);
	for (guint i = 0; i < count; i++) {
		struct exchange *exchange = g_hash_table_lookup(
		    dispatch->exchanges, ids[i]);

		if (exchange != NULL)
			exchange->ops->lost(exchange, link);
		g_free(ids[i]);
	}
}

static const struct mesh_ops handler_ops = {
    .message = on_message,
    .lost = on_link_lost,
};

/* Returns how long the loop has stood still since its last pulse. */
static int64_t
current_stall_ms(const struct dispatch *dispatch)
{
	struct timespec now = clock_monotonic(dispatch->settings.clock);
	int64_t gap = time_diff_ms(now, dispatch->last_stall_check) -
	    STALL_CHECK_MS;

	return MAX(gap, 0);
}

/* Notes a pulse, and the stall that came before it. */
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
 * Returns how long this process stood still just now or within the last second,
 * in milliseconds: nothing can be answered in time while it is stopped.
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

/* Makes the shared part; mesh and documents must outlive it. */
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

/* Frees the shared part, which no exchange may be using; NULL is allowed. */
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
	g_free(dispatch);
}

/* Registers an exchange under its request id. */
void
dispatch_add_exchange(struct dispatch *dispatch, struct exchange *exchange)
{
	g_hash_table_insert(dispatch->exchanges, exchange->request, exchange);
}

/* Takes an exchange off the register: messages for it are dropped from now. */
void
dispatch_remove_exchange(struct dispatch *dispatch, struct exchange *exchange)
{
	g_hash_table_remove(dispatch->exchanges, exchange->request);
}

/* Returns how many exchanges are going on. */
size_t
dispatch_exchange_count(const struct dispatch *dispatch)
{
	return g_hash_table_size(dispatch->exchanges);
}

/* Returns the loop that all runs on. */
struct ev_loop *
dispatch_loop(const struct dispatch *dispatch)
{
	return dispatch->settings.loop;
}

/* Returns the clock. */
struct clock *
dispatch_clock(const struct dispatch *dispatch)
{
	return dispatch->settings.clock;
}

/* Returns the mesh. */
struct mesh *
dispatch_mesh(const struct dispatch *dispatch)
{
	return dispatch->settings.mesh;
}

/* Returns the router. */
struct router *
dispatch_router(const struct dispatch *dispatch)
{
	return dispatch->router;
}

/* Returns the source of random numbers. */
GRand *
dispatch_random(const struct dispatch *dispatch)
{
	return dispatch->random;
}

/* Returns the configuration in force; borrowed until the next wake. */
struct config *
dispatch_config(const struct dispatch *dispatch)
{
	return documents_config(dispatch->settings.documents);
}

/* Sets who is told what services are asked for. */
void
dispatch_set_demand_callback(
    struct dispatch *dispatch, dispatch_demand_fn *on_demand, void *data)
{
	dispatch->on_demand = on_demand;
	dispatch->on_demand_data = data;
}

/* Tells what a service is asked for, in tokens of prompt and answer. */
void
dispatch_report_demand(
    struct dispatch *dispatch, const char *service, uint64_t tokens)
{
	if (dispatch->on_demand != NULL)
		dispatch->on_demand(dispatch->on_demand_data, service, tokens);
}

/* Returns a service's retry budget, made on first sight. */
struct retry_budget *
dispatch_retry_budget(struct dispatch *dispatch, const char *service)
{
	struct retry_budget *budget;
	const Heatherturn__V1__Service *found;

	budget = g_hash_table_lookup(dispatch->budgets, service);
	if (budget != NULL)
		return budget;
	budget = g_new0(struct retry_budget, 1);
	found = config_service(dispatch_config(dispatch), service);
	retry_budget_init(
	    budget, found != NULL ? found->retry_share_percent : 0);
	g_hash_table_insert(dispatch->budgets, g_strdup(service), budget);
	return budget;
}

/*
 * Returns the upstreams of a service that take new work by the configuration in
 * force, in its order. The array is the caller's, its elements are borrowed.
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
		    config_upstream_takes_work(config, upstream))
			g_ptr_array_add(found, upstream);
	}
	return found;
}

/* Ends an exchange that nobody waits for; no callback comes after this. */
void
exchange_cancel(struct exchange *exchange, const char *reason)
{
	exchange->ops->cancel(exchange, reason);
}

/*
 * Leaves a stream to be taken up again: the sidecar keeps it until its deadline
 * while nobody reads on. No callback comes after this.
 */
void
exchange_detach(struct exchange *exchange)
{
	exchange->ops->detach(exchange);
}

/* Notes that the caller has taken so many bytes: more may be sent. */
void
exchange_add_consumed(struct exchange *exchange, size_t bytes)
{
	exchange->ops->consumed(exchange, bytes);
}
