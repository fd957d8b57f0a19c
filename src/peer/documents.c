#include "peer/documents.h"

#include <sodium.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "peer/documents_internal.h"

#define LOG_MODULE "documents"
#include "base/log.h"

METRIC_DEFINE(taken_count, METRIC_COUNTER, "heatherturn_documents_taken", NULL,
    "Newer documents that were applied.");
METRIC_DEFINE(refused_count, METRIC_COUNTER, "heatherturn_documents_refused",
    NULL, "Documents that could not be decoded or applied.");
METRIC_DEFINE(sent_count, METRIC_COUNTER, "heatherturn_documents_sent", NULL,
    "Documents sent to peers.");
METRIC_DEFINE(config_version_gauge, METRIC_GAUGE, "heatherturn_config_version",
    NULL, "Version of the configuration in force.");

/* Sends a message to the target of an action. */
static void
send_to_target(struct documents *documents, const struct gossip_action *action,
    struct message *message)
{
	const char *const *peers;
	size_t count;

	if (action->link != NULL) {
		link_send(action->link, message);
		return;
	}
	peers = mesh_peers(documents->mesh, &count);
	if (action->peer < count)
		mesh_send(documents->mesh, peers[action->peer], message);
}

/* Sends the versions of all documents here. */
static void
send_digest(struct documents *documents, const struct gossip_action *action)
{
	uint64_t versions[DOCUMENTS];
	struct message message = {
	    .kind = MESSAGE_DIGEST,
	    .digest =
		{
		    .names = {(char **)documents_names, DOCUMENTS},
		    .versions = {versions, DOCUMENTS},
		    .reply = action->reply,
		},
	};

	for (size_t i = 0; i < DOCUMENTS; i++)
		versions[i] = gossip_version(documents->spread, i);
	send_to_target(documents, action, &message);
}

/*
 * Requests a document, or the changes to the version here. If what is here is
 * not that version, its checksums tell what to send.
 */
static void
send_pull(struct documents *documents, const struct gossip_action *action)
{
	const struct codec *codec = &documents->codecs[action->document];
	uint64_t sums[DOCUMENTS_SUMS_MAX];
	struct message message = {
	    .kind = MESSAGE_PULL,
	    .pull =
		{
		    .name = (char *)documents_names[action->document],
		    .have = gossip_version(documents->spread, action->document),
		    .changes = true,
		},
	};

	if (codec->needs_repair)
		message.pull.sums = (struct u64_array){
		    sums, codec->describe(codec->data, sums)};
	send_to_target(documents, action, &message);
}

/* Sends a document, or the changes since the version that the peer has. */
static void
send_document(struct documents *documents, const struct gossip_action *action)
{
	const struct codec *codec = &documents->codecs[action->document];
	struct message message = {
	    .kind = MESSAGE_DOCUMENT,
	    .document =
		{
		    .name = (char *)documents_names[action->document],
		    .version = gossip_version(
			documents->spread, action->document),
		},
	};
	GString *text = NULL;

	if (codec->encode != NULL) {
		text = codec->encode(
		    codec->data, action->have, &message.document.base);
		if (text == NULL)
			return;
		message.document.data.data = (uint8_t *)text->str;
		message.document.data.length = text->len;
	} else {
		message.document.data.data = (uint8_t *)g_bytes_get_data(
		    documents->bytes[action->document],
		    &message.document.data.length);
	}
	metric_add(&sent_count, 1);
	send_to_target(documents, action, &message);
	if (text != NULL)
		g_string_free(text, TRUE);
}

/* Carries out the actions chosen by the gossip. */
static void
run_actions(struct documents *documents, const struct gossip_actions *actions)
{
	for (size_t i = 0; i < actions->count; i++) {
		switch (actions->items[i].kind) {
		case GOSSIP_SEND_DIGEST:
			send_digest(documents, &actions->items[i]);
			break;
		case GOSSIP_SEND_PULL:
			send_pull(documents, &actions->items[i]);
			break;
		case GOSSIP_SEND_DOCUMENT:
			send_document(documents, &actions->items[i]);
			break;
		}
	}
}

/*
 * Decodes a configuration; it must contain the version that it was sent with.
 */
static struct config *
decode_config(uint64_t version, const uint8_t *data, size_t length)
{
	g_autoptr(GError) error = NULL;
	struct config *config = config_decode(data, length, &error);

	if (config != NULL && config_version(config) == version)
		return config;
	LOG_ERROR("configuration refused", "{s:I, s:s}", "version",
	    (json_int_t)version, "reason",
	    error != NULL
		? error->message
		: "version in the document differs from the announced one");
	metric_add(&refused_count, 1);
	if (config != NULL)
		config_unref(config);
	return NULL;
}

/* Calls the subscribers of a document that is now in force. */
static void
notify_subscribers(struct documents *documents, size_t index)
{
	struct subscriber *subscriber, *next;
	uint64_t version = gossip_version(documents->spread, index);
	g_autoptr(GBytes) bytes = g_bytes_ref(documents->bytes[index]);
	struct config *config = config_ref(documents->config);
	gsize length;
	const uint8_t *data = g_bytes_get_data(bytes, &length);

	TAILQ_FOREACH_SAFE (subscriber, &documents->subscribers, entry, next) {
		if (subscriber->document != index)
			continue;
		if (subscriber->callback != NULL)
			subscriber->callback(
			    subscriber->data, version, data, length);
		else
			subscriber->config_callback(subscriber->data, config);
	}
	config_unref(config);
}

/* Returns whether a peer could be reached last. */
static bool
is_reachable(const void *data, size_t peer)
{
	const struct documents *documents = data;
	size_t count;
	const char *const *peers = mesh_peers(documents->mesh, &count);

	return peer < count && mesh_is_reachable(documents->mesh, peers[peer]);
}

/* Passes the number of known peers to the gossip. */
static void
update_peer_count(struct documents *documents)
{
	size_t count;

	mesh_peers(documents->mesh, &count);
	gossip_set_peers(
	    documents->spread, count, mesh_near_count(documents->mesh));
}

/* Sets the version in force here; notifies a few peers if it is newer. */
static void
announce_version(struct documents *documents, size_t index, uint64_t version)
{
	struct gossip_actions actions = {0};

	update_peer_count(documents);
	if (!gossip_accept_document(documents->spread, index, version,
		clock_monotonic(documents->clock), &actions))
		return;
	metric_add(&taken_count, 1);
	LOG_INFO("document in force", "{s:s, s:I}", "name",
	    documents_names[index], "version", (json_int_t)version);
	run_actions(documents, &actions);
}

/* Applies a document from any source; true if it is newer and now in force. */
static bool
apply_document(struct documents *documents, size_t index, uint64_t version,
    const uint8_t *data, size_t length)
{
	struct config *config = NULL;

	if (version <= gossip_version(documents->spread, index))
		return false;
	if (index == CONFIG_INDEX) {
		config = decode_config(version, data, length);
		if (config == NULL) {
			documents_reject_index(documents, index, version);
			return false;
		}
		config_unref(documents->config);
		documents->config = config;
		documents->identity->config_version = version;
		metric_set(&config_version_gauge, (int64_t)version);
	}
	if (documents->bytes[index] != NULL)
		g_bytes_unref(documents->bytes[index]);
	documents->bytes[index] = g_bytes_new(data, length);
	announce_version(documents, index, version);
	notify_subscribers(documents, index);
	return true;
}

/* Handles a document from a peer. */
static void
handle_document(
    struct documents *documents, const struct message_document *sent)
{
	size_t index = documents_find_index(sent->name);
	const struct codec *codec;

	if (index == DOCUMENTS)
		return;
	codec = &documents->codecs[index];
	if (codec->apply == NULL) {
		apply_document(documents, index, sent->version, sent->data.data,
		    sent->data.length);
		return;
	}
	if (sent->version <= gossip_version(documents->spread, index)) {
		LOG_DEBUG("document dropped as not newer", "{s:s, s:I}", "name",
		    documents_names[index], "version",
		    (json_int_t)sent->version);
		return;
	}
	if (codec->apply(codec->data, sent->base, sent->version,
		sent->data.data, sent->data.length))
		return;
	LOG_WARN("document refused", "{s:s, s:I, s:I}", "name",
	    documents_names[index], "version", (json_int_t)sent->version,
	    "base", (json_int_t)sent->base);
	metric_add(&refused_count, 1);
	documents_reject_index(documents, index, sent->version);
}

/*
 * Handles the versions of a peer's documents. From a peer that has the routes
 * as items, the routes are not requested as a whole too.
 */
static void
handle_digest(struct documents *documents, struct link *link,
    const struct message_digest *digest, struct gossip_actions *actions)
{
	uint64_t versions[GOSSIP_DOCUMENTS_MAX] = {0};
	size_t routes = documents_find_index(DOCUMENT_ROUTES);
	size_t items = documents_find_index(DOCUMENT_ROUTING_ITEMS);
	bool has_items = false;

	for (size_t i = 0; i < digest->names.count; i++) {
		size_t index = documents_find_index(digest->names.items[i]);

		if (index < DOCUMENTS && i < digest->versions.count)
			versions[index] = digest->versions.items[i];
		if (index == items)
			has_items = true;
	}
	if (has_items)
		versions[routes] = gossip_version(documents->spread, routes);
	gossip_on_digest(documents->spread, link, versions, digest->reply,
	    clock_monotonic(documents->clock), actions);
}

/*
 * Handles a message; of other kinds, the configuration version in the header.
 */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct documents *documents = data;
	enum loop_work previous = loop_work_begin(LOOP_WORK_DIGEST);
	struct gossip_actions actions = {0};
	size_t index;

	switch (message->kind) {
	case MESSAGE_DIGEST:
		handle_digest(documents, link, &message->digest, &actions);
		break;
	case MESSAGE_PULL:
		index = documents_find_index(message->pull.name);
		if (index < DOCUMENTS && message->pull.sums.count > 0 &&
		    message->pull.have > 0 &&
		    documents->codecs[index].repair != NULL)
			documents_send_repair(
			    documents, link, index, &message->pull);
		else if (index < DOCUMENTS)
			gossip_on_pull(documents->spread, link, index,
			    message->pull.have, message->pull.changes,
			    &actions);
		break;
	case MESSAGE_DOCUMENT:
		handle_document(documents, &message->document);
		break;
	default:
		gossip_on_version(documents->spread, link, CONFIG_INDEX,
		    message->config_version, clock_monotonic(documents->clock),
		    &actions);
		break;
	}
	run_actions(documents, &actions);
	loop_work_end(previous);
}

static const struct mesh_ops documents_ops = {
    .message = on_message,
};

/* Runs a gossip round if one is due. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct documents *documents = watcher->data;
	enum loop_work previous = loop_work_begin(LOOP_WORK_DIGEST);
	struct gossip_actions actions = {0};

	update_peer_count(documents);
	gossip_tick(
	    documents->spread, clock_monotonic(documents->clock), &actions);
	run_actions(documents, &actions);
	loop_work_end(previous);
}

/*
 * Creates the set with all documents empty, and starts to request them from
 * peers. Sets the identity's configuration version to the one in force.
 */
struct documents *
documents_new(struct ev_loop *loop, struct clock *clock, struct mesh *mesh,
    struct link_identity *identity)
{
	struct documents *documents = g_new0(struct documents, 1);

	documents->loop = loop;
	documents->clock = clock;
	documents->mesh = mesh;
	documents->identity = identity;
	documents->random = g_rand_new_with_seed(randombytes_random());
	documents->spread = gossip_new(documents->random, DOCUMENTS);
	gossip_set_reachable(documents->spread, is_reachable, documents);
	if (identity->role == ROLE_GATEWAY)
		gossip_set_required(
		    documents->spread, documents_find_index(DOCUMENT_ROUTES));
	documents->config = config_new_empty();
	TAILQ_INIT(&documents->subscribers);
	documents->handler = (struct mesh_handler){
	    .kinds = ~UINT64_C(0), .ops = &documents_ops, .data = documents};
	mesh_add_handler(mesh, &documents->handler);
	ev_timer_init(
	    &documents->tick, on_tick, 0.0, (double)GOSSIP_TICK_MS / MS_PER_S);
	documents->tick.data = documents;
	ev_timer_start(loop, &documents->tick);
	return documents;
}

/* Frees the set; NULL is allowed. Must be called before mesh_free(). */
void
documents_free(struct documents *documents)
{
	struct subscriber *subscriber, *next;

	if (documents == NULL)
		return;
	ev_timer_stop(documents->loop, &documents->tick);
	mesh_remove_handler(documents->mesh, &documents->handler);
	TAILQ_FOREACH_SAFE (subscriber, &documents->subscribers, entry, next)
		g_free(subscriber);
	for (size_t i = 0; i < DOCUMENTS; i++) {
		if (documents->bytes[i] != NULL)
			g_bytes_unref(documents->bytes[i]);
	}
	config_unref(documents->config);
	gossip_free(documents->spread);
	g_rand_free(documents->random);
	g_free(documents);
}

/*
 * Updates a document from a source other than a peer, e.g. the platform. True
 * if it is newer than the current one and now in force.
 */
bool
documents_update(struct documents *documents, const char *name,
    uint64_t version, const uint8_t *data, size_t length)
{
	size_t index = documents_find_index(name);

	g_return_val_if_fail(index < DOCUMENTS, false);
	return apply_document(documents, index, version, data, length);
}

/* Announces a newer version of a document that has a codec. */
void
documents_announce(
    struct documents *documents, const char *name, uint64_t version)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	documents->codecs[index].needs_repair = false;
	announce_version(documents, index, version);
}

/* Returns the version in force here, 0 for none. */
uint64_t
documents_version(const struct documents *documents, const char *name)
{
	size_t index = documents_find_index(name);

	g_return_val_if_fail(index < DOCUMENTS, 0);
	return gossip_version(documents->spread, index);
}

/* Returns a document's bytes, valid until a newer version; NULL for none. */
const uint8_t *
documents_get(
    const struct documents *documents, const char *name, size_t *length)
{
	size_t index = documents_find_index(name);

	*length = 0;
	g_return_val_if_fail(index < DOCUMENTS, NULL);
	if (documents->bytes[index] == NULL)
		return NULL;
	return g_bytes_get_data(documents->bytes[index], length);
}

/* Adds a subscriber. */
static void
add_subscriber(struct documents *documents, const struct subscriber *from)
{
	struct subscriber *subscriber = g_memdup2(from, sizeof(*from));

	TAILQ_INSERT_TAIL(&documents->subscribers, subscriber, entry);
}

/*
 * Subscribes to newer versions of a document; not called for the current one.
 */
void
documents_subscribe(struct documents *documents, const char *name,
    documents_update_fn *callback, void *data)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	add_subscriber(documents,
	    &(struct subscriber){
		.document = index, .callback = callback, .data = data});
}

/* Returns the configuration in force; an empty one before the first. */
struct config *
documents_config(const struct documents *documents)
{
	return documents->config;
}

/* Subscribes to newer configurations; not called for the current one. */
void
documents_subscribe_config(
    struct documents *documents, documents_config_fn *callback, void *data)
{
	add_subscriber(documents,
	    &(struct subscriber){.document = CONFIG_INDEX,
		.config_callback = callback,
		.data = data});
}
