#include "store/hosts.h"

#include <string.h>

#include <jansson.h>

#include "base/list.h"
#include "base/metrics.h"

#define LOG_MODULE "hosts"
#include "base/log.h"

#define HOSTS_MAX_BYTES (1024 * 1024)

struct subscriber {
	hosts_fn *callback;
	void *data;
	TAILQ_ENTRY(subscriber) entry;
};

struct hosts {
	struct ev_loop *loop;
	struct clock *clock;
	struct http_client *client;
	struct documents *documents;
	char *url;
	struct http_call *call; /* NULL while none goes on */
	struct ev_timer timer;
	GPtrArray *list; /* struct host */
	TAILQ_HEAD(subscriber_list, subscriber) subscribers;
};

G_DEFINE_QUARK(hosts_error, hosts_error)

METRIC_DEFINE(polls_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"hosts\"", "calls to the platform's object API");
METRIC_DEFINE(hosts_gauge, METRIC_GAUGE, "heatherturn_hosts", NULL,
    "hosts on the platform's list as last seen");

/* Frees one host of a list. */
static void
free_host(void *data)
{
	struct host *host = data;

	g_free(host->id);
	g_free(host->address);
	g_free(host->failure_domain);
	g_free(host);
}

/* Reads one host; NULL where a member is missing or wrong. */
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
	host->role = strcmp(role, "entry") == 0 ? ROLE_ENTRY : ROLE_SIDECAR;
	host->failure_domain = g_strdup(domain);
	host->leaving = strcmp(state, "leaving") == 0;
	return host;
}

/*
 * Reads the platform's list as an array of struct host, which the array frees.
 * NULL with HOSTS_ERROR_MALFORMED where it is not one.
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
		g_ptr_array_add(list, host);
	}
	json_decref(root);
	return list;
err:
	g_set_error_literal(error, HOSTS_ERROR, HOSTS_ERROR_MALFORMED,
	    "the platform's answer is no list of hosts");
	json_decref(root);
	g_ptr_array_unref(list);
	return NULL;
}

/* Takes a newer list, from the platform or from a peer. */
static void
take_document(void *data, uint64_t version, const uint8_t *text, size_t length)
{
	struct hosts *hosts = data;
	g_autoptr(GError) error = NULL;
	GPtrArray *list = hosts_parse(text, length, &error);
	struct subscriber *subscriber;

	if (list == NULL) {
		LOG_WARN(
		    "host list passed over", "{s:s}", "why", error->message);
		return;
	}
	g_ptr_array_unref(hosts->list);
	hosts->list = list;
	metric_set(&hosts_gauge, list->len);
	TAILQ_FOREACH (subscriber, &hosts->subscribers, entry)
		subscriber->callback(subscriber->data, hosts);
}

/* Says whether a polled list is the one that is had already. */
static bool
is_known(struct hosts *hosts, const GByteArray *body)
{
	size_t length = 0;
	const uint8_t *known = documents_get(
	    hosts->documents, DOCUMENT_HOSTS, &length);

	return known != NULL && length == body->len &&
	    memcmp(known, body->data, length) == 0;
}

/*
 * Says whether a list of so many bytes may follow the one of known_ms, both in
 * wall time: every process gets each list whole, so a long one may change the
 * more seldom. The first change after a quiet time goes out at once.
 */
bool
hosts_may_offer(uint64_t known_ms, uint64_t now_ms, size_t length)
{
	uint64_t apart_ms = (uint64_t)length * MS_PER_S / HOSTS_BYTES_PER_S;

	return known_ms > now_ms || now_ms - known_ms >= apart_ms;
}

/* Takes the platform's answer; a list that changed becomes a document. */
static void
take_answer(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct hosts *hosts = data;
	uint64_t now_ms = (uint64_t)time_to_ms(clock_wall(hosts->clock));
	uint64_t known_ms = documents_version(hosts->documents, DOCUMENT_HOSTS);
	GPtrArray *list;

	hosts->call = NULL;
	if (result->error != NULL || result->status != 200)
		return;
	if (is_known(hosts, result->body) ||
	    !hosts_may_offer(known_ms, now_ms, result->body->len))
		return;
	list = hosts_parse(result->body->data, result->body->len, NULL);
	if (list == NULL)
		return;
	g_ptr_array_unref(list);
	documents_update(hosts->documents, DOCUMENT_HOSTS,
	    MAX(now_ms, known_ms + 1), result->body->data, result->body->len);
}

static const struct http_call_ops http_ops = {
    .done = take_answer,
};

/* Asks the platform, unless the last question is not answered yet. */
static void
poll_platform(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct hosts *hosts = timer->data;
	const struct http_call_request request = {
	    .method = "GET",
	    .url = hosts->url,
	    .timeout_ms = HOSTS_POLL_MS,
	    .answer_max_bytes = HOSTS_MAX_BYTES,
	    .repeatable = true,
	};

	if (hosts->call != NULL)
		return;
	metric_add(&polls_count, 1);
	hosts->call = http_client_start(
	    hosts->client, &request, &http_ops, hosts);
}

/*
 * Makes the list, empty until a document comes or it is polled. The client and
 * the documents are borrowed and outlive it.
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
	ev_timer_init(&hosts->timer, poll_platform, 0, HOSTS_POLL_MS / 1e3);
	hosts->timer.data = hosts;
	documents_subscribe(documents, DOCUMENT_HOSTS, take_document, hosts);
	return hosts;
}

/* Frees the list; NULL is allowed. The documents may be gone only after. */
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

/* Polls the platform from now on, or no more. */
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

/* Calls back for each newer list. */
void
hosts_subscribe(struct hosts *hosts, hosts_fn *callback, void *data)
{
	struct subscriber *subscriber = g_new0(struct subscriber, 1);

	subscriber->callback = callback;
	subscriber->data = data;
	TAILQ_INSERT_TAIL(&hosts->subscribers, subscriber, entry);
}

/* Returns the hosts as one array; borrowed until the next list. */
const struct host *const *
hosts_list(const struct hosts *hosts, size_t *count)
{
	*count = hosts->list->len;
	return (const struct host *const *)hosts->list->pdata;
}

/* Finds a host by the address of its links; NULL for none. */
const struct host *
hosts_by_address(const struct hosts *hosts, const char *address)
{
	for (guint i = 0; i < hosts->list->len; i++) {
		const struct host *host = g_ptr_array_index(hosts->list, i);

		if (strcmp(host->address, address) == 0)
			return host;
	}
	return NULL;
}
