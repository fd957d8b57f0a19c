#include "store/hosts.h"

#include <string.h>

#include <jansson.h>

#include "base/list.h"
#include "base/metrics.h"

#define LOG_MODULE "hosts"
#include "base/log.h"

#define HOSTS_MAX_BYTES (1024 * 1024)
#define HTTP_OK		200

struct subscriber {
	hosts_changed_fn *callback;
	void *data;
	TAILQ_ENTRY(subscriber) entry;
};

struct hosts {
	struct ev_loop *loop;
	struct clock *clock;
	struct http_client *client;
	struct documents *documents;
	char *url;
	struct http_call *call; /* NULL if no poll is in progress */
	struct ev_timer timer;
	unsigned int failed_polls; /* consecutive */
	GPtrArray *list; /* struct host */
	TAILQ_HEAD(subscriber_list, subscriber) subscribers;
};

G_DEFINE_QUARK(hosts_error, hosts_error)

METRIC_DEFINE(polls_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"hosts\"", "calls to the platform's object API");
METRIC_DEFINE(hosts_gauge, METRIC_GAUGE, "heatherturn_hosts", NULL,
    "hosts on the platform's list as last seen");

/* Frees a host. */
static void
free_host(void *data)
{
	struct host *host = data;

	g_free(host->id);
	g_free(host->address);
	g_free(host->failure_domain);
	g_free(host);
}

/* Returns the role of a host by its name; 0 if it is unknown. */
static enum role
host_role(const char *name)
{
	if (strcmp(name, "entry") == 0)
		return ROLE_ENTRY;
	return strcmp(name, "sidecar") == 0 ? ROLE_SIDECAR : 0;
}

/* Parses a host; NULL if a member is missing or of the wrong type. */
static struct host *
parse_host(json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "id"));
	const char *address = json_string_value(
	    json_object_get(object, "address"));
	const char *role = json_string_value(json_object_get(object, "role"));
	const char *domain = json_string_value(
	    json_object_get(object, "failure_domain"));
	const char *state = json_string_value(json_object_get(object, "state"));
	struct host *host;

	if (id == NULL || address == NULL || role == NULL || domain == NULL ||
	    state == NULL)
		return NULL;
	host = g_new0(struct host, 1);
	host->id = g_strdup(id);
	host->address = g_strdup(address);
	host->role = host_role(role);
	host->failure_domain = g_strdup(domain);
	host->leaving = strcmp(state, "leaving") == 0;
	return host;
}

/*
 * Parses the platform's list into an array of struct host, which the array
 * owns. Returns NULL with HOSTS_ERROR_MALFORMED if it is invalid.
 */
GPtrArray *
hosts_parse(const uint8_t *text, size_t length, GError **error)
{
	json_t *root = json_loadb((const char *)text, length, 0, NULL);
	json_t *objects = json_object_get(root, "hosts");
	GPtrArray *list = g_ptr_array_new_with_free_func(free_host);
	json_t *object;
	size_t i;

	if (!json_is_array(objects))
		goto err;
	json_array_foreach (objects, i, object) {
		struct host *host = parse_host(object);

		if (host == NULL)
			goto err;
		if (host->role != 0) {
			g_ptr_array_add(list, host);
			continue;
		}
		LOG_WARN("host of an unknown role left out", "{s:s, s:s}",
		    "host", host->id, "role",
		    json_string_value(json_object_get(object, "role")));
		free_host(host);
	}
	json_decref(root);
	return list;
err:
	g_set_error_literal(error, HOSTS_ERROR, HOSTS_ERROR_MALFORMED,
	    "the platform's response is not a valid host list");
	json_decref(root);
	g_ptr_array_unref(list);
	return NULL;
}

/* Applies a newer list, polled or received from a peer. */
static void
on_document(void *data, uint64_t version, const uint8_t *text, size_t length)
{
	struct hosts *hosts = data;
	g_autoptr(GError) error = NULL;
	GPtrArray *list = hosts_parse(text, length, &error);
	struct subscriber *subscriber;

	if (list == NULL) {
		LOG_WARN("invalid host list ignored", "{s:s}", "why",
		    error->message);
		return;
	}
	g_ptr_array_unref(hosts->list);
	hosts->list = list;
	metric_set(&hosts_gauge, list->len);
	TAILQ_FOREACH (subscriber, &hosts->subscribers, entry)
		subscriber->callback(subscriber->data, hosts);
}

/* Returns whether a polled list equals the current one. */
static bool
is_unchanged(struct hosts *hosts, const GByteArray *body)
{
	size_t length = 0;
	const uint8_t *known = documents_get(
	    hosts->documents, DOCUMENT_HOSTS, &length);

	return known != NULL && length == body->len &&
	    memcmp(known, body->data, length) == 0;
}

/*
 * Returns whether a list of length bytes may replace the one of known_ms; both
 * times are wall time in milliseconds. Every process receives each complete
 * list, so the minimum interval between lists grows with their length. The
 * first change after a longer interval is sent at once.
 */
bool
hosts_may_update(uint64_t known_ms, uint64_t now_ms, size_t length)
{
	uint64_t min_interval_ms = (uint64_t)length * MS_PER_S /
	    HOSTS_BYTES_PER_S;

	return known_ms > now_ms || now_ms - known_ms >= min_interval_ms;
}

/*
 * Returns whether a poll's result has a list that is to be published. Sets an
 * error if the poll has failed.
 */
static bool
has_new_list(
    struct hosts *hosts, const struct http_result *result, GError **error)
{
	uint64_t now_ms = (uint64_t)time_to_ms(clock_wall(hosts->clock));
	uint64_t known_ms = documents_version(hosts->documents, DOCUMENT_HOSTS);
	GPtrArray *list;

	if (result->error != NULL) {
		g_propagate_error(error, g_error_copy(result->error));
		return false;
	}
	if (result->status != HTTP_OK) {
		g_set_error(error, HOSTS_ERROR, HOSTS_ERROR_STATUS,
		    "the platform responded with HTTP status %d",
		    result->status);
		return false;
	}
	if (is_unchanged(hosts, result->body) ||
	    !hosts_may_update(known_ms, now_ms, result->body->len))
		return false;
	list = hosts_parse(result->body->data, result->body->len, error);
	if (list == NULL)
		return false;
	g_ptr_array_unref(list);
	return true;
}

/* Logs the first failed poll of a row, and the end of the row. */
static void
log_poll(struct hosts *hosts, const GError *error)
{
	if (error != NULL) {
		if (hosts->failed_polls++ == 0)
			LOG_WARN("host list not polled", "{s:s}", "why",
			    error->message);
		return;
	}
	if (hosts->failed_polls > 0)
		LOG_INFO("host list polled again", "{s:I}", "failed_polls",
		    (json_int_t)hosts->failed_polls);
	hosts->failed_polls = 0;
}

/* Handles the result of a poll; publishes a changed list as a document. */
static void
on_poll_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct hosts *hosts = data;
	uint64_t now_ms = (uint64_t)time_to_ms(clock_wall(hosts->clock));
	uint64_t known_ms = documents_version(hosts->documents, DOCUMENT_HOSTS);
	g_autoptr(GError) error = NULL;
	bool is_new = has_new_list(hosts, result, &error);

	hosts->call = NULL;
	log_poll(hosts, error);
	if (!is_new)
		return;
	documents_update(hosts->documents, DOCUMENT_HOSTS,
	    MAX(now_ms, known_ms + 1), result->body->data, result->body->len);
}

static const struct http_call_ops http_ops = {
    .done = on_poll_done,
};

/* Polls the platform, unless the last poll is still in progress. */
static void
on_poll_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct hosts *hosts = timer->data;
	const struct http_call_request request = {
	    .method = "GET",
	    .url = hosts->url,
	    .timeout_ms = HOSTS_POLL_MS,
	    .response_max_bytes = HOSTS_MAX_BYTES,
	    .repeatable = true,
	    .background = true,
	};

	if (hosts->call != NULL)
		return;
	metric_add(&polls_count, 1);
	hosts->call = http_client_start(
	    hosts->client, &request, &http_ops, hosts);
}

/*
 * Creates an empty list, which is filled by polls or by documents from peers.
 * The client and the documents are borrowed and must outlive it.
 */
struct hosts *
hosts_new(struct ev_loop *loop, struct clock *clock, struct http_client *client,
    struct documents *documents, const char *base_url)
{
	struct hosts *hosts = g_new0(struct hosts, 1);

	hosts->loop = loop;
	hosts->clock = clock;
	hosts->client = client;
	hosts->documents = documents;
	hosts->url = g_strdup_printf("%s/hosts", base_url);
	hosts->list = g_ptr_array_new_with_free_func(free_host);
	TAILQ_INIT(&hosts->subscribers);
	ev_timer_init(&hosts->timer, on_poll_timer, 0, HOSTS_POLL_MS / 1e3);
	hosts->timer.data = hosts;
	documents_subscribe(documents, DOCUMENT_HOSTS, on_document, hosts);
	return hosts;
}

/* Frees the list, before the documents are freed. NULL is allowed. */
void
hosts_free(struct hosts *hosts)
{
	struct subscriber *subscriber;

	if (hosts == NULL)
		return;
	hosts_set_polling(hosts, false);
	while ((subscriber = TAILQ_FIRST(&hosts->subscribers)) != NULL) {
		TAILQ_REMOVE(&hosts->subscribers, subscriber, entry);
		g_free(subscriber);
	}
	g_ptr_array_unref(hosts->list);
	g_free(hosts->url);
	g_free(hosts);
}

/* Starts or stops polling the platform each HOSTS_POLL_MS. */
void
hosts_set_polling(struct hosts *hosts, bool on)
{
	if (on == (bool)ev_is_active(&hosts->timer))
		return;
	if (on) {
		ev_timer_set(&hosts->timer, 0, HOSTS_POLL_MS / 1e3);
		ev_timer_start(hosts->loop, &hosts->timer);
		return;
	}
	ev_timer_stop(hosts->loop, &hosts->timer);
	if (hosts->call != NULL)
		http_call_cancel(hosts->call);
	hosts->call = NULL;
}

/* Registers a callback for each newer list, until hosts_free(). */
void
hosts_subscribe(struct hosts *hosts, hosts_changed_fn *callback, void *data)
{
	struct subscriber *subscriber = g_new0(struct subscriber, 1);

	subscriber->callback = callback;
	subscriber->data = data;
	TAILQ_INSERT_TAIL(&hosts->subscribers, subscriber, entry);
}

/* Returns all hosts as an array, which is valid until the next list. */
const struct host *const *
hosts_list(const struct hosts *hosts, size_t *count)
{
	*count = hosts->list->len;
	return (const struct host *const *)hosts->list->pdata;
}

/* Returns the host with this address for peer links, borrowed, or NULL. */
const struct host *
hosts_find_by_address(const struct hosts *hosts, const char *address)
{
	for (guint i = 0; i < hosts->list->len; i++) {
		const struct host *host = g_ptr_array_index(hosts->list, i);

		if (strcmp(host->address, address) == 0)
			return host;
	}
	return NULL;
}
