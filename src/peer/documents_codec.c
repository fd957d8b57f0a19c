/*
 * Documents that are encoded and applied by their owners: how changes are sent
 * and how a document is repaired that is not that of its version.
 */
#include <string.h>

#include "base/metrics.h"
#include "peer/documents_internal.h"

#define LOG_MODULE "documents"
#include "base/log.h"

const char *const documents_names[DOCUMENTS] = {
    DOCUMENT_CONFIG,
    DOCUMENT_PLACEMENT,
    DOCUMENT_HOSTS,
    DOCUMENT_ROUTES,
    DOCUMENT_UPSTREAMS,
    DOCUMENT_TAKEOUTS,
    DOCUMENT_ROUTING_ITEMS,
};
G_STATIC_ASSERT(DOCUMENTS <= GOSSIP_DOCUMENTS_MAX);

METRIC_DEFINE(repairs_count, METRIC_COUNTER, "heatherturn_documents_repaired",
    NULL, "Repairs of documents sent to peers.");

/* Returns a document's index, or DOCUMENTS if the name is unknown. */
size_t
documents_find_index(const char *name)
{
	size_t i = 0;

	while (i < DOCUMENTS && strcmp(documents_names[i], name) != 0)
		i++;
	return i;
}

/* Sends what differs from a document that a peer describes in its pull. */
void
documents_send_repair(struct documents *documents, struct link *link,
    size_t index, const struct message_pull *pull)
{
	const struct codec *codec = &documents->codecs[index];
	struct message message = {
	    .kind = MESSAGE_DOCUMENT,
	    .document =
		{
		    .name = (char *)documents_names[index],
		    .version = gossip_version(documents->spread, index),
		    .base = pull->have,
		},
	};
	GString *text;

	if (message.document.version <= pull->have)
		return;
	text = codec->repair(codec->data, pull->sums.items, pull->sums.count);
	if (text == NULL)
		return;
	message.document.data.data = (uint8_t *)text->str;
	message.document.data.length = text->len;
	metric_add(&repairs_count, 1);
	link_send(link, &message);
	g_string_free(text, TRUE);
}

/*
 * Sets the codec of a document, which encodes and applies it in place of bytes
 * stored here. Must be called before the first version.
 */
void
documents_set_codec(struct documents *documents, const char *name,
    documents_encode_fn *encode, documents_apply_fn *apply, void *data)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	documents->codecs[index] = (struct codec){
	    .encode = encode, .apply = apply, .data = data};
}

/*
 * Records a newer version of a document without an announcement, for one whose
 * peers learn of it by that of another document.
 */
void
documents_record(
    struct documents *documents, const char *name, uint64_t version)
{
	struct gossip_actions unused = {0};
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	gossip_accept_document(documents->spread, index, version,
	    clock_monotonic(documents->clock), &unused);
}

/* Sets how a document with a codec is described and repaired. */
void
documents_set_repair(struct documents *documents, const char *name,
    documents_describe_fn *describe, documents_repair_fn *repair)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	documents->codecs[index].describe = describe;
	documents->codecs[index].repair = repair;
}

/*
 * Describes what is here of a document in the next pulls, until a version of it
 * is announced here.
 */
void
documents_request_repair(struct documents *documents, const char *name)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	g_return_if_fail(documents->codecs[index].describe != NULL);
	documents->codecs[index].needs_repair = true;
}

/* Requests a version of a document that can't be used no more, and logs that.
 */
void
documents_reject_index(
    struct documents *documents, size_t index, uint64_t version)
{
	LOG_WARN("document version not requested any more", "{s:s, s:I, s:I}",
	    "name", documents_names[index], "version", (json_int_t)version,
	    "in_force", (json_int_t)gossip_version(documents->spread, index));
	gossip_reject_document(documents->spread, index, version);
}

/*
 * Returns the newest version that is known of, here or at a peer that has named
 * it within this time.
 */
uint64_t
documents_newest_version(
    const struct documents *documents, const char *name, int64_t within_ms)
{
	size_t index = documents_find_index(name);

	g_return_val_if_fail(index < DOCUMENTS, 0);
	return gossip_newest_version(documents->spread, index, within_ms,
	    clock_monotonic(documents->clock));
}

/* Requests this version of a document and earlier ones no more. */
void
documents_reject(
    struct documents *documents, const char *name, uint64_t version)
{
	size_t index = documents_find_index(name);

	g_return_if_fail(index < DOCUMENTS);
	documents_reject_index(documents, index, version);
}
