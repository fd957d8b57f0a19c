#include "peer/status_query.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define QUERY_ID_BYTES 16
/* Attempts per process, each on a new link after the last one was lost. */
#define QUERY_ATTEMPTS_MAX 2

/* State of the query to one process. */
struct query_target {
	const struct link *link; /* NULL when no answer is pending */
	unsigned int attempts;
};

struct status_query {
	struct status_query_list *list;
	struct mesh *mesh;
	struct ev_loop *loop;
	ev_timer timeout;
	char id[REQUEST_ID_SIZE]; /* copied into each answer */
	struct mesh_peer_status *entries;
	struct query_target *targets;
	size_t count;
	size_t answered;
	mesh_status_fn *callback;
	void *data;
	TAILQ_ENTRY(status_query) entry;
};

/* Frees a query. */
static void
free_query(struct status_query *query)
{
	ev_timer_stop(query->loop, &query->timeout);
	TAILQ_REMOVE(query->list, query, entry);
	for (size_t i = 0; i < query->count; i++) {
		g_free(query->entries[i].address);
		g_free(query->entries[i].process);
		g_free(query->entries[i].failure_domain);
		g_free(query->entries[i].upstream);
		g_free(query->entries[i].model);
		g_free(query->entries[i].adapter);
		g_free(query->entries[i].model_version);
	}
	g_free(query->entries);
	g_free(query->targets);
	g_free(query);
}

/* Passes the result to the callback and frees the query. */
static void
finish_query(struct status_query *query)
{
	ev_timer_stop(query->loop, &query->timeout);
	query->callback(query->data, query->entries, query->count);
	free_query(query);
}

/* The timeout has passed, or no other process was queried. */
static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	finish_query(watcher->data);
}

/*
 * Queries one process. The sequence is its index and is copied to the answer.
 */
static void
send_query(struct status_query *query, size_t index)
{
	struct message message = {
	    .kind = MESSAGE_STATUS_QUERY, .sequence = index};
	struct link *link = mesh_get_link(
	    query->mesh, query->entries[index].address);

	memcpy(message.request, query->id, sizeof(message.request));
	query->targets[index].attempts++;
	query->targets[index].link = link_send(link, &message) ? link : NULL;
}

/* Copies a process's answer into its entry. */
static void
fill_status(
    struct mesh_peer_status *entry, const struct message_status_answer *from)
{
	entry->answered = true;
	entry->process = g_strdup(from->process);
	entry->role = from->role;
	entry->failure_domain = g_strdup(from->failure_domain);
	entry->config_version = from->config_version;
	entry->draining = from->draining;
	entry->upstream = g_strdup(from->upstream);
	entry->model = g_strdup(from->model);
	entry->adapter = g_strdup(from->adapter);
	entry->model_version = g_strdup(from->model_version);
	entry->warm = from->warm;
	entry->fencing = from->fencing;
}

/* Fills in this process's own entry. */
static void
fill_own_status(struct status_query *query, size_t index,
    const struct link_identity *identity)
{
	struct message_status_answer own = {
	    .process = (char *)identity->process,
	    .role = identity->role,
	    .failure_domain = (char *)identity->failure_domain,
	    .config_version = identity->config_version,
	    .draining = identity->draining,
	};

	fill_status(&query->entries[index], &own);
	query->answered++;
}

/*
 * Starts a query. The callback is called from the loop, never from inside this
 * call: when all have answered, or after timeout_ms.
 */
void
status_query_start(struct status_query_list *list, struct mesh *mesh,
    struct ev_loop *loop, const struct link_identity *identity,
    const char *const *addresses, size_t count, int64_t timeout_ms,
    mesh_status_fn *callback, void *data)
{
	struct status_query *query = g_new0(struct status_query, 1);
	uint8_t id[QUERY_ID_BYTES];

	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(query->id, sizeof(query->id), id, sizeof(id));
	query->list = list;
	query->mesh = mesh;
	query->loop = loop;
	query->entries = g_new0(struct mesh_peer_status, count);
	query->targets = g_new0(struct query_target, count);
	query->count = count;
	query->callback = callback;
	query->data = data;
	TAILQ_INSERT_TAIL(list, query, entry);
	for (size_t i = 0; i < count; i++) {
		query->entries[i].address = g_strdup(addresses[i]);
		if (g_strcmp0(addresses[i], identity->address) == 0)
			fill_own_status(query, i, identity);
		else
			send_query(query, i);
	}
	ev_timer_init(&query->timeout, on_timeout,
	    query->answered == count ? 0.0 : (double)timeout_ms / MS_PER_S,
	    0.0);
	query->timeout.data = query;
	ev_timer_start(loop, &query->timeout);
}

/* Handles an answer; late and duplicate ones are ignored. */
void
status_query_handle_answer(
    struct status_query_list *list, const struct message *answer)
{
	struct status_query *query;

	TAILQ_FOREACH (query, list, entry) {
		if (strcmp(query->id, answer->request) == 0)
			break;
	}
	if (query == NULL || answer->sequence >= query->count ||
	    query->entries[answer->sequence].answered)
		return;
	fill_status(&query->entries[answer->sequence], &answer->status_answer);
	query->targets[answer->sequence].link = NULL;
	if (++query->answered == query->count)
		finish_query(query);
}

/* A link was lost: its unanswered queries are sent again on a new link. */
void
status_query_handle_lost_link(
    struct status_query_list *list, const struct link *link)
{
	struct status_query *query;

	TAILQ_FOREACH (query, list, entry) {
		for (size_t i = 0; i < query->count; i++) {
			if (query->targets[i].link != link)
				continue;
			query->targets[i].link = NULL;
			if (!query->entries[i].answered &&
			    query->targets[i].attempts < QUERY_ATTEMPTS_MAX)
				send_query(query, i);
		}
	}
}

/* Frees all queries without a callback. */
void
status_query_cancel_all(struct status_query_list *list)
{
	struct status_query *query, *next;

	TAILQ_FOREACH_SAFE (query, list, entry, next)
		free_query(query);
}
