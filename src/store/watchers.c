#include "store/watchers.h"

#include <string.h>

#include <xxhash.h>

#include "base/metrics.h"
#include "store/claims_collector.h"

#define LOG_MODULE "watchers"
#include "base/log.h"

/* Interval of elections. */
#define RANK_INTERVAL_MS 500
/*
 * Timeout of a watch. Also limits how long a watch on a broken connection can
 * delay a newer version.
 */
#define WATCH_TIMEOUT_MS 5000
/* Retry interval for an object that does not exist yet. */
#define ABSENT_RETRY_MS 500
/* Limits of the exponential back-off after a failure. */
#define WATCH_RETRY_MIN_MS 250
#define WATCH_RETRY_MAX_MS 4000

/* One watched object. */
struct watch {
	struct watchers *watchers;
	const char *name;
	struct store_call *call; /* NULL while waiting for retry_timer */
	struct ev_timer retry_timer;
	int64_t retry_delay_ms;
};

struct watchers {
	struct ev_loop *loop;
	struct clock *clock;
	struct store *store;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	const struct link_identity *identity;
	struct ev_timer rank_timer;
	struct watch watches[2];
	bool watching;
	bool first; /* no other entry of the failure domain ranks higher */
	struct claims_collector *collector;
};

METRIC_DEFINE(watching_gauge, METRIC_GAUGE, "heatherturn_watching", NULL,
    "1 while this process watches the platform for its failure domain");

static void start_watch(struct watch *);

/* Starts the next watch at the end of a wait. */
static void
on_retry_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	start_watch(timer->data);
}

/* Schedules the next watch. */
static void
schedule_watch(struct watch *watch, int64_t ms)
{
	ev_timer_set(&watch->retry_timer, (double)ms / MS_PER_S, 0);
	ev_timer_start(watch->watchers->loop, &watch->retry_timer);
}

/* Returns whether a call ended with this error. */
static bool
has_code(const struct store_result *result, enum store_error code)
{
	return g_error_matches(result->error, STORE_ERROR, (int)code);
}

/* Handles the result of a watch and starts or schedules the next one. */
static void
on_watch_done(void *data, const struct store_result *result)
{
	struct watch *watch = data;
	struct documents *documents = watch->watchers->documents;

	watch->call = NULL;
	if (result->error == NULL) {
		documents_update(documents, watch->name, result->version,
		    result->value, result->length);
		if (documents_version(documents, watch->name) >=
		    result->version) {
			watch->retry_delay_ms = WATCH_RETRY_MIN_MS;
			start_watch(watch);
			return;
		}
		/* It was not applied; a watch would return it again at once. */
	}
	if (has_code(result, STORE_ERROR_UNCHANGED)) {
		watch->retry_delay_ms = WATCH_RETRY_MIN_MS;
		start_watch(watch);
		return;
	}
	if (has_code(result, STORE_ERROR_NOT_FOUND)) {
		schedule_watch(watch, ABSENT_RETRY_MS);
		return;
	}
	schedule_watch(
	    watch, MAX(watch->retry_delay_ms, result->retry_after_ms));
	watch->retry_delay_ms = MIN(
	    watch->retry_delay_ms * 2, WATCH_RETRY_MAX_MS);
}

/* Starts a watch for a version newer than the current one. */
static void
start_watch(struct watch *watch)
{
	struct watchers *watchers = watch->watchers;
	const struct store_request request = {
	    .verb = STORE_WATCH,
	    .key = watch->name,
	    .version = documents_version(watchers->documents, watch->name),
	    .timeout_ms = WATCH_TIMEOUT_MS,
	};

	watch->call = store_start(
	    watchers->store, &request, on_watch_done, watch);
}

/* Starts or stops all watches and polls. */
static void
set_watching(struct watchers *watchers, bool on)
{
	if (watchers->watching == on)
		return;
	watchers->watching = on;
	metric_set(&watching_gauge, on);
	LOG_INFO(on ? "watches the platform" : "stopped watching the platform",
	    "{s:s}", "failure_domain", watchers->identity->failure_domain);
	hosts_set_polling(watchers->hosts, on);
	for (size_t i = 0; i < G_N_ELEMENTS(watchers->watches); i++) {
		struct watch *watch = &watchers->watches[i];

		ev_timer_stop(watchers->loop, &watch->retry_timer);
		watch->retry_delay_ms = WATCH_RETRY_MIN_MS;
		if (watch->call != NULL)
			store_call_cancel(watchers->store, watch->call);
		watch->call = NULL;
		if (on)
			start_watch(watch);
	}
}

/* Returns a candidate's rank; the highest are elected. */
static uint64_t
rank_of(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

/* Returns whether one candidate is preferred to another one. */
static bool
is_ahead(const struct watcher_candidate *a, const struct watcher_candidate *b)
{
	if (a->cpu_permille != b->cpu_permille)
		return a->cpu_permille > b->cpu_permille;
	return rank_of(a->id) > rank_of(b->id);
}

/*
 * Returns whether self is one of the wanted number of candidates that answer
 * and have the most CPU time or, of equal ones, rank highest: watchers parse
 * each configuration as a whole. One whose CPU time is unknown comes last. Self
 * counts as answering even if it is not listed.
 */
bool
watchers_is_preferred(const struct watcher_candidate *candidates, size_t count,
    const struct watcher_candidate *self, size_t wanted)
{
	size_t ahead = 0;

	for (size_t i = 0; i < count; i++)
		ahead += candidates[i].answers &&
		    strcmp(candidates[i].id, self->id) != 0 &&
		    is_ahead(&candidates[i], self);
	return ahead < wanted;
}

/*
 * Returns whether self is one of the wanted number of highest-ranked candidates
 * among those that answer, all of which have the same CPU time.
 */
bool
watchers_is_elected(const struct watcher_candidate *candidates, size_t count,
    const char *self, size_t wanted)
{
	const struct watcher_candidate own = {.id = self, .answers = true};

	return watchers_is_preferred(candidates, count, &own, wanted);
}

/*
 * Returns whether a link to a host is open. The ping counts as use of the link,
 * so that its heartbeats continue until the next election.
 */
static bool
is_reachable(struct watchers *watchers, const struct host *host)
{
	struct message ping = {.kind = MESSAGE_PING};
	struct link *link = mesh_get_link(watchers->mesh, host->address);

	link_send(link, &ping);
	return link_is_open(link);
}

/* Returns whether a host is another candidate of our failure domain. */
static bool
is_candidate(const struct watchers *watchers, const struct host *host)
{
	const struct link_identity *self = watchers->identity;

	return host->role == ROLE_ENTRY && !host->leaving &&
	    strcmp(host->failure_domain, self->failure_domain) == 0 &&
	    strcmp(host->id, self->process) != 0;
}

/* Compares hosts for sorting by descending rank. */
static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	uint64_t rank_a = rank_of((*(const struct host *const *)a)->id);
	uint64_t rank_b = rank_of((*(const struct host *const *)b)->id);

	return (rank_a < rank_b) - (rank_a > rank_b);
}

/*
 * Returns whether this entry is the leader, which does work needed only once,
 * such as deleting expired claims: it ranks highest in its failure domain, and
 * the list has no entry of a failure domain with a smaller name. For a short
 * time two entries may both be leaders.
 */
bool
watchers_is_leader(const struct watchers *watchers)
{
	const char *domain = watchers->identity->failure_domain;
	size_t count;
	const struct host *const *list = hosts_list(watchers->hosts, &count);

	if (!watchers->first)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (list[i]->role == ROLE_ENTRY && !list[i]->leaving &&
		    strcmp(list[i]->failure_domain, domain) < 0)
			return false;
	}
	return true;
}

/*
 * Timer callback that repeats the election: an unreachable watcher is replaced,
 * and its replacement stops once it is reachable again. Links are opened only
 * to entries that rank higher than this one, and only until enough of them are
 * reachable: in a large failure domain nearly all entries link to the same two.
 */
static void
on_rank_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct watchers *watchers = timer->data;
	const char *self = watchers->identity->process;
	g_autoptr(GPtrArray) others = g_ptr_array_new();
	struct watcher_candidate ahead[WATCHERS_PER_DOMAIN];
	size_t found = 0;
	size_t count;
	const struct host *const *list = hosts_list(watchers->hosts, &count);

	for (size_t i = 0; i < count; i++) {
		if (is_candidate(watchers, list[i]))
			g_ptr_array_add(others, (void *)list[i]);
	}
	g_ptr_array_sort(others, compare_ranks);
	for (guint i = 0; i < others->len && found < WATCHERS_PER_DOMAIN; i++) {
		const struct host *host = g_ptr_array_index(others, i);

		if (rank_of(host->id) < rank_of(self))
			break;
		if (is_reachable(watchers, host))
			ahead[found++] = (struct watcher_candidate){
			    .id = host->id, .answers = true};
	}
	watchers->first = found == 0;
	claims_collector_set_active(
	    watchers->collector, watchers_is_leader(watchers));
	set_watching(watchers,
	    watchers_is_elected(ahead, found, self, WATCHERS_PER_DOMAIN));
}

/*
 * Starts the election and the watching. Until a host list is known, every entry
 * watches. All arguments are borrowed and must outlive the result.
 */
struct watchers *
watchers_new(struct ev_loop *loop, struct clock *clock, struct store *store,
    struct mesh *mesh, struct documents *documents, struct hosts *hosts,
    const struct link_identity *identity)
{
	static const char *const names[] = {
	    DOCUMENT_CONFIG,
	    DOCUMENT_PLACEMENT,
	};
	struct watchers *watchers = g_new0(struct watchers, 1);

	watchers->loop = loop;
	watchers->clock = clock;
	watchers->store = store;
	watchers->mesh = mesh;
	watchers->documents = documents;
	watchers->hosts = hosts;
	watchers->identity = identity;
	watchers->collector = claims_collector_new(loop, clock, store);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct watch *watch = &watchers->watches[i];

		watch->watchers = watchers;
		watch->name = names[i];
		ev_timer_init(&watch->retry_timer, on_retry_timer, 0, 0);
		watch->retry_timer.data = watch;
	}
	ev_timer_init(
	    &watchers->rank_timer, on_rank_timer, 0, RANK_INTERVAL_MS / 1e3);
	watchers->rank_timer.data = watchers;
	ev_timer_start(loop, &watchers->rank_timer);
	return watchers;
}

/* Stops watching and frees all; NULL is allowed. */
void
watchers_free(struct watchers *watchers)
{
	if (watchers == NULL)
		return;
	ev_timer_stop(watchers->loop, &watchers->rank_timer);
	set_watching(watchers, false);
	claims_collector_free(watchers->collector);
	g_free(watchers);
}

/* Returns whether this process is watching the platform. */
bool
watchers_is_watching(const struct watchers *watchers)
{
	return watchers->watching;
}
