#include "config/config.h"

#include <string.h>

#include "config/object.h"

#define KIND_INDEX(kind) (HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_##kind - 1)

struct config {
	int references;
	Heatherturn__V1__ConfigDocument *document;
	GHashTable *by_id[OBJECT_KINDS]; /* objects, borrowed */
	GHashTable *by_key_digest; /* organisations, borrowed */
	GHashTable *by_service; /* GPtrArray of upstreams, borrowed */
};

G_DEFINE_QUARK(config_error, config_error)

/* Indexes the organisations by the SHA-256 digests of their API keys. */
static void
index_keys(struct config *config)
{
	config->by_key_digest = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < config->document->n_organisations; i++) {
		Heatherturn__V1__Organisation
		    *organisation = config->document->organisations[i];

		for (size_t j = 0; j < organisation->n_api_key_sha256; j++)
			g_hash_table_insert(config->by_key_digest,
			    organisation->api_key_sha256[j], organisation);
	}
}

/* Indexes the upstreams by service. */
static void
index_upstreams(struct config *config)
{
	config->by_service = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
	for (size_t i = 0; i < config->document->n_upstreams; i++) {
		Heatherturn__V1__Upstream *upstream = config->document
							  ->upstreams[i];
		GPtrArray *array = g_hash_table_lookup(
		    config->by_service, upstream->service);

		if (array == NULL) {
			array = g_ptr_array_new();
			g_hash_table_insert(
			    config->by_service, upstream->service, array);
		}
		g_ptr_array_add(array, upstream);
	}
}

/* Creates a snapshot, which takes ownership of the document. */
static struct config *
new_from_document(Heatherturn__V1__ConfigDocument *document)
{
	struct config *config = g_new0(struct config, 1);

	config->references = 1;
	config->document = document;
	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		const struct object_kind *kind = &object_kinds[i];

		config->by_id[i] = g_hash_table_new(g_str_hash, g_str_equal);
		for (size_t j = 0; j < object_count(kind, document); j++) {
			ProtobufCMessage *object = object_at(kind, document, j);

			g_hash_table_insert(config->by_id[i],
			    (char *)object_id(kind, object), object);
		}
	}
	index_keys(config);
	index_upstreams(config);
	return config;
}

/* Creates the configuration of version 0, which has no objects. */
struct config *
config_new_empty(void)
{
	Heatherturn__V1__ConfigDocument *document = g_new(
	    Heatherturn__V1__ConfigDocument, 1);

	heatherturn__v1__config_document__init(document);
	return new_from_document(document);
}

/*
 * Decodes a stored ConfigDocument without validating it. Its values were
 * validated when the change was accepted, and an accepted change must take
 * effect in every process, also in one of an older release with other rules.
 */
struct config *
config_decode(const uint8_t *bytes, size_t length, GError **error)
{
	Heatherturn__V1__ConfigDocument *document =
	    heatherturn__v1__config_document__unpack(NULL, length, bytes);

	if (document == NULL) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_MALFORMED,
		    "%zu bytes are not a ConfigDocument", length);
		return NULL;
	}
	return new_from_document(document);
}

/* Encodes the document for config_decode(). */
GByteArray *
config_encode(const struct config *config)
{
	size_t length = heatherturn__v1__config_document__get_packed_size(
	    config->document);
	GByteArray *bytes = g_byte_array_sized_new((guint)length);

	g_byte_array_set_size(bytes, (guint)length);
	heatherturn__v1__config_document__pack(config->document, bytes->data);
	return bytes;
}

/* Adds a reference to the snapshot and returns it. */
struct config *
config_ref(struct config *config)
{
	config->references++;
	return config;
}

/* Drops a reference; the last one frees the snapshot. NULL is allowed. */
void
config_unref(struct config *config)
{
	if (config == NULL || --config->references > 0)
		return;
	for (size_t i = 0; i < OBJECT_KINDS; i++)
		g_hash_table_unref(config->by_id[i]);
	g_hash_table_unref(config->by_key_digest);
	g_hash_table_unref(config->by_service);
	heatherturn__v1__config_document__free_unpacked(config->document, NULL);
	g_free(config);
}

/* Returns the snapshot's version, 0 for the empty one. */
uint64_t
config_version(const struct config *config)
{
	return config->document->version;
}

/* Returns the whole document, borrowed from the snapshot. */
const Heatherturn__V1__ConfigDocument *
config_document(const struct config *config)
{
	return config->document;
}

/* Returns the organisation with this id, borrowed, or NULL. */
const Heatherturn__V1__Organisation *
config_find_organisation(const struct config *config, const char *id)
{
	return g_hash_table_lookup(config->by_id[KIND_INDEX(ORGANISATION)], id);
}

/* Returns the organisation that has this API key, borrowed, or NULL. */
const Heatherturn__V1__Organisation *
config_find_organisation_by_api_key(
    const struct config *config, const char *api_key)
{
	g_autofree char *digest = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, api_key, -1);

	return g_hash_table_lookup(config->by_key_digest, digest);
}

/* Returns the service with this id, borrowed, or NULL. */
const Heatherturn__V1__Service *
config_find_service(const struct config *config, const char *id)
{
	return g_hash_table_lookup(config->by_id[KIND_INDEX(SERVICE)], id);
}

/* Returns whether a prefix matches a path, by whole segments. */
static bool
path_has_prefix(const char *path, const char *prefix)
{
	size_t length = strlen(prefix);

	if (length == 0 || strncmp(path, prefix, length) != 0)
		return false;
	return prefix[length - 1] == '/' || path[length] == '\0' ||
	    path[length] == '/' || path[length] == '?';
}

/*
 * Returns the plain service whose path prefix is the longest that matches a
 * request's path, borrowed, or NULL.
 */
const Heatherturn__V1__Service *
config_find_service_by_path(const struct config *config, const char *path)
{
	const Heatherturn__V1__Service *best = NULL;

	for (size_t i = 0; i < config->document->n_services; i++) {
		const Heatherturn__V1__Service *service = config->document
							      ->services[i];

		if (service->kind !=
			HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_PLAIN ||
		    !path_has_prefix(path, service->path_prefix))
			continue;
		if (best == NULL ||
		    strlen(service->path_prefix) > strlen(best->path_prefix))
			best = service;
	}
	return best;
}

/* Returns the failure domain with this id, borrowed, or NULL. */
const Heatherturn__V1__FailureDomain *
config_find_failure_domain(const struct config *config, const char *id)
{
	return g_hash_table_lookup(
	    config->by_id[KIND_INDEX(FAILURE_DOMAIN)], id);
}

/* Returns the rollout of the service with this id, borrowed, or NULL. */
const Heatherturn__V1__Rollout *
config_find_rollout(const struct config *config, const char *service)
{
	return g_hash_table_lookup(config->by_id[KIND_INDEX(ROLLOUT)], service);
}

/* Returns the upstream with this id, borrowed, or NULL. */
const Heatherturn__V1__Upstream *
config_find_upstream(const struct config *config, const char *id)
{
	return g_hash_table_lookup(config->by_id[KIND_INDEX(UPSTREAM)], id);
}

/*
 * Returns all upstreams of a service in the document's order, including those
 * that do not accept work; borrowed from the snapshot. NULL with a count of 0
 * if there are none.
 */
const Heatherturn__V1__Upstream *const *
config_service_upstreams(
    const struct config *config, const char *service, size_t *count)
{
	const GPtrArray *array = g_hash_table_lookup(
	    config->by_service, service);

	*count = array == NULL ? 0 : array->len;
	return array == NULL
	    ? NULL
	    : (const Heatherturn__V1__Upstream *const *)array->pdata;
}

/*
 * Returns whether an upstream may be sent new work: it is not leaving, and its
 * failure domain exists and is not taken out.
 */
bool
config_upstream_accepts_work(
    const struct config *config, const Heatherturn__V1__Upstream *upstream)
{
	const Heatherturn__V1__FailureDomain *domain =
	    config_find_failure_domain(config, upstream->failure_domain);

	if (upstream->state ==
	    HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_LEAVING)
		return false;
	return domain != NULL &&
	    domain->state !=
	    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_TAKEN_OUT;
}
