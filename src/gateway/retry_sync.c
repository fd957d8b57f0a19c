#include "gateway/retry_sync.h"

#include <string.h>

#include <jansson.h>

#include "base/metrics.h"

#define LOG_MODULE "retry_budget"
#include "base/log.h"

/* Questions whose answers can still be used. */
#define ASKS_MAX 32

METRIC_DEFINE(retries_count, METRIC_COUNTER, "heatherturn_gateway_repeats",
    NULL, "Sends beyond a request's first.");
METRIC_DEFINE(budget_denied_count, METRIC_COUNTER,
    "heatherturn_gateway_repeats_denied_budget", NULL,
    "Requests not sent again because the service's retry budget is used up.");
METRIC_DEFINE(share_ppm, METRIC_GAUGE, "heatherturn_retry_slack_share_ppm",
    NULL, "This gateway's share of the retry slack, in millionths.");
METRIC_DEFINE(borrowed_count, METRIC_COUNTER,
    "heatherturn_retry_slack_borrowed", NULL,
    "Tokens of retry slack that other gateways have lent this one.");
METRIC_DEFINE(lent_count, METRIC_COUNTER, "heatherturn_retry_slack_lent", NULL,
    "Tokens of retry slack lent to other gateways.");

/* A service's budget and the peers that may lend to it. */
struct service_budget {
	struct retry_quota quota;
	struct timespec asked_at;
	GHashTable *refusing; /* addresses of peers that lent nothing */
	struct timespec refusing_since; /* when the table was last emptied */
};

/* A question that a peer has been asked. */
struct ask {
	uint64_t id; /* 0: none */
	char *service;
	char *address;
	struct timespec asked_at;
};

struct retry_sync {
	struct clock *clock;
	struct mesh *mesh;
	struct load_sync *load_sync;
	const struct retry_limits *limits;
	struct mesh_handler handler;
	GHashTable *services; /* name -> struct service_budget */
	struct retry_share share;
	struct retry_view view; /* that the share was worked out from */
	double fraction; /* of the slack */
	struct timespec fraction_since;
	struct timespec updated_at; /* of the share */
	struct ask asks[ASKS_MAX]; /* the newest ones */
	uint64_t last_id;
	size_t next_peer; /* to be asked */
};

/* Frees a service's budget. */
static void
service_budget_free(void *data)
{
	struct service_budget *service = data;

	g_hash_table_unref(service->refusing);
	g_free(service);
}

/*
 * Returns a service's budget; creates it if needed. NULL if there are too many.
 */
static struct service_budget *
get_budget(struct retry_sync *sync, const char *name)
{
	struct service_budget *service = g_hash_table_lookup(
	    sync->services, name);

	if (service != NULL)
		return service;
	if (g_hash_table_size(sync->services) >= RETRY_SYNC_SERVICES_MAX) {
		LOG_WARN("too many services with a retry budget", "{s:s}",
		    "service", name);
		return NULL;
	}
	service = g_new0(struct service_budget, 1);
	if (sync->fraction > 0.0)
		retry_quota_init(
		    &service->quota, sync->fraction, sync->fraction_since);
	service->refusing = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(sync->services, g_strdup(name), service);
	return service;
}

/* Logs a new share and what it follows from. */
static void
log_share(const struct retry_sync *sync)
{
	const struct retry_view *view = &sync->view;

	LOG_INFO("share of the retry slack changed",
	    "{s:f, s:i, s:i, s:i, s:b, s:b, s:I}", "share", sync->fraction,
	    "known", (int)view->known, "live", (int)view->live, "agreeing",
	    (int)view->agreeing, "settled", view->is_settled, "holder_known",
	    view->has_holder, "uptime_ms",
	    (json_int_t)load_sync_uptime_ms(sync->load_sync));
	if (!retry_quota_is_divisible(sync->limits, sync->fraction))
		LOG_WARN("the retry slack is less than one for each gateway",
		    "{s:f, s:i}", "slack", sync->limits->slack, "known",
		    (int)view->known);
}

/* Returns the share of the slack that this gateway has now, from 0 to 1. */
double
retry_sync_share(struct retry_sync *sync)
{
	struct timespec now = clock_monotonic(sync->clock);
	double fraction;

	if (time_is_set(sync->updated_at) &&
	    time_diff_ms(now, sync->updated_at) < RETRY_SYNC_SHARE_MS)
		return sync->fraction;
	sync->updated_at = now;
	load_sync_retry_view(sync->load_sync, &sync->view);
	fraction = retry_share_update(&sync->share, &sync->view, now);
	load_sync_set_retry_holder(sync->load_sync, sync->share.holds);
	if (fraction != sync->fraction) {
		sync->fraction = fraction;
		sync->fraction_since = now;
		metric_set(&share_ppm, (int64_t)(fraction * 1e6));
		log_share(sync);
	}
	return fraction;
}

/* Works the share out in each round of load reports. */
static void
on_round(void *data)
{
	retry_sync_share(data);
}

/* Remembers a question in place of the oldest one. */
static void
add_ask(struct retry_sync *sync, uint64_t id, const char *service,
    const char *address)
{
	struct ask *ask = &sync->asks[id % ASKS_MAX];

	g_free(ask->service);
	g_free(ask->address);
	*ask = (struct ask){
	    .id = id,
	    .service = g_strdup(service),
	    .address = g_strdup(address),
	    .asked_at = clock_monotonic(sync->clock),
	};
}

/* Asks a peer for tokens, unless it has just lent none. */
static bool
ask_peer(struct retry_sync *sync, const char *name,
    const struct service_budget *service, const char *address)
{
	struct message message = {
	    .kind = MESSAGE_RETRY_ASK,
	    .sequence = sync->last_id + 1,
	    .retry_ask = {.service = (char *)name,
		.tokens = RETRY_SYNC_ASK_TOKENS},
	};

	if (g_hash_table_contains(service->refusing, address) ||
	    !mesh_is_connected(sync->mesh, address) ||
	    !mesh_send(sync->mesh, address, &message))
		return false;
	add_ask(sync, ++sync->last_id, name, address);
	return true;
}

/*
 * Asks some peers for tokens in turn, if the last round of questions was some
 * time ago.
 */
static void
ask_peers(
    struct retry_sync *sync, const char *name, struct service_budget *service)
{
	struct timespec now = clock_monotonic(sync->clock);
	size_t asked = 0;
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);

	if (time_is_set(service->asked_at) &&
	    time_diff_ms(now, service->asked_at) < RETRY_SYNC_ASK_MS)
		return;
	service->asked_at = now;
	if (time_diff_ms(now, service->refusing_since) >=
	    RETRY_SYNC_REFUSED_MS) {
		g_hash_table_remove_all(service->refusing);
		service->refusing_since = now;
	}
	for (size_t i = 0; i < count && asked < RETRY_SYNC_ASK_PEERS; i++) {
		if (ask_peer(
			sync, name, service, peers[sync->next_peer++ % count]))
			asked++;
	}
}

/* Asks for tokens if the next retry would be denied. */
static void
ask_if_needed(
    struct retry_sync *sync, const char *name, struct service_budget *service)
{
	if (retry_quota_check(&service->quota, sync->limits,
		retry_sync_share(sync),
		clock_monotonic(sync->clock)) == RETRY_DENIED)
		ask_peers(sync, name, service);
}

/* Counts a request to a service when its first send has ended. */
void
retry_sync_count_request(struct retry_sync *sync, const char *name)
{
	struct service_budget *service = get_budget(sync, name);

	if (service != NULL)
		retry_quota_count_request(&service->quota, sync->limits,
		    retry_sync_share(sync), clock_monotonic(sync->clock));
}

/* Logs a decision on a retry with what it was based on. */
static void
log_decision(struct retry_sync *sync, const char *name,
    struct service_budget *service, const char *request, size_t sends,
    enum retry_verdict verdict)
{
	const struct retry_quota *quota = &service->quota;
	int64_t oldest_ms;
	size_t peers = load_sync_report_ages(sync->load_sync, &oldest_ms);

	LOG_INFO(verdict == RETRY_DENIED ? "retry denied by the budget"
					 : "retry allowed",
	    "{s:s, s:s, s:i, s:s, s:f, s:f, s:f, s:i, s:i, s:I, s:I}",
	    "request", request, "service", name, "sends", (int)sends, "by",
	    retry_verdict_name(verdict), "tokens", quota->tokens, "borrowed",
	    quota->borrowed.tokens, "share", sync->fraction, "gateways",
	    (int)sync->view.known, "peers", (int)peers, "oldest_report_ms",
	    (json_int_t)oldest_ms, "uptime_ms",
	    (json_int_t)load_sync_uptime_ms(sync->load_sync));
}

/*
 * Takes one retry of a request that was sent that many times from the budget of
 * its service; false if there is none left.
 */
bool
retry_sync_take(struct retry_sync *sync, const char *name, const char *request,
    size_t sends)
{
	struct service_budget *service = get_budget(sync, name);
	enum retry_verdict verdict;

	if (service == NULL)
		return false;
	verdict = retry_quota_take(&service->quota, sync->limits,
	    retry_sync_share(sync), clock_monotonic(sync->clock));
	log_decision(sync, name, service, request, sends, verdict);
	metric_add(
	    verdict == RETRY_DENIED ? &budget_denied_count : &retries_count, 1);
	ask_if_needed(sync, name, service);
	return verdict != RETRY_DENIED;
}

/*
 * Returns whether the budget of a service allows one more retry of a request
 * that was sent that many times. A retry that is not allowed counts as denied.
 */
bool
retry_sync_allows(struct retry_sync *sync, const char *name,
    const char *request, size_t sends)
{
	struct service_budget *service = get_budget(sync, name);

	if (service == NULL)
		return false;
	if (retry_quota_check(&service->quota, sync->limits,
		retry_sync_share(sync),
		clock_monotonic(sync->clock)) != RETRY_DENIED)
		return true;
	return retry_sync_take(sync, name, request, sends);
}

/* Answers a peer that asks for tokens. */
static void
on_ask(struct retry_sync *sync, struct link *link, const struct message *ask)
{
	struct message reply = {
	    .kind = MESSAGE_RETRY_LOAN, .sequence = ask->sequence};
	struct service_budget *service = get_budget(
	    sync, ask->retry_ask.service);

	if (service != NULL)
		reply.retry_loan.tokens = retry_quota_lend(&service->quota,
		    sync->limits, retry_sync_share(sync), ask->retry_ask.tokens,
		    clock_monotonic(sync->clock));
	metric_add(&lent_count, reply.retry_loan.tokens);
	link_send(link, &reply);
}

/* Handles a peer's answer: adds what it lends, or asks it no more for now. */
static void
on_loan(struct retry_sync *sync, const struct message *loan)
{
	struct ask *ask = &sync->asks[loan->sequence % ASKS_MAX];
	struct service_budget *service;
	uint32_t tokens = MIN(
	    loan->retry_loan.tokens, (uint32_t)RETRY_SYNC_ASK_TOKENS);

	if (ask->id == 0 || ask->id != loan->sequence)
		return;
	ask->id = 0; /* a second answer is not used */
	service = get_budget(sync, ask->service);
	if (service == NULL)
		return;
	if (tokens == 0) {
		g_hash_table_add(service->refusing, g_strdup(ask->address));
		return;
	}
	metric_add(&borrowed_count, tokens);
	retry_quota_borrow(&service->quota, tokens, ask->asked_at,
	    clock_monotonic(sync->clock));
	LOG_DEBUG("retry slack borrowed", "{s:s, s:s, s:i}", "service",
	    ask->service, "peer", ask->address, "tokens", (int)tokens);
}

/* Handles a peer's message. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	if (message->kind == MESSAGE_RETRY_ASK)
		on_ask(data, link, message);
	else
		on_loan(data, message);
}

static const struct mesh_ops retry_sync_ops = {.message = on_message};

/* Returns the number of services with a budget. */
size_t
retry_sync_service_count(const struct retry_sync *sync)
{
	return g_hash_table_size(sync->services);
}

/* Starts to share budgets with the peers; all must outlive it. */
struct retry_sync *
retry_sync_new(struct clock *clock, struct mesh *mesh,
    struct load_sync *load_sync, const struct retry_limits *limits)
{
	struct retry_sync *sync = g_new0(struct retry_sync, 1);

	sync->clock = clock;
	sync->mesh = mesh;
	sync->load_sync = load_sync;
	sync->limits = limits;
	sync->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_budget_free);
	sync->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_RETRY_ASK) |
		MESH_KIND(MESSAGE_RETRY_LOAN),
	    .ops = &retry_sync_ops,
	    .data = sync,
	};
	mesh_add_handler(mesh, &sync->handler);
	load_sync_set_round_callback(load_sync, on_round, sync);
	return sync;
}

/* Frees it; NULL is allowed. */
void
retry_sync_free(struct retry_sync *sync)
{
	if (sync == NULL)
		return;
	load_sync_set_round_callback(sync->load_sync, NULL, NULL);
	mesh_remove_handler(sync->mesh, &sync->handler);
	for (size_t i = 0; i < ASKS_MAX; i++) {
		g_free(sync->asks[i].service);
		g_free(sync->asks[i].address);
	}
	g_hash_table_unref(sync->services);
	g_free(sync);
}
