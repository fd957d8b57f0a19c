/*
 * The configuration snapshot: look-ups by id, API key, path and service, and
 * which upstreams accept work.
 */
#include <glib.h>

#include "config/config.h"
#include "config/object.h"

#define DOMAIN_STATE(name) \
	HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_##name
#define UPSTREAM_STATE(name) \
	HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_##name

/* SHA-256 of "secret". */
#define SECRET_SHA256                      \
	"2bb80d537b1da3e38bd30361aa855686" \
	"bde0eacd7162fef6a25fe97bf527a25b"

/* Encodes a document and decodes it, as from the store. */
static struct config *
store_and_load(const Heatherturn__V1__ConfigDocument *document)
{
	ProtobufCMessage *copy = object_copy(&document->base);
	size_t length = protobuf_c_message_get_packed_size(copy);
	g_autofree uint8_t *packed = g_malloc(length);

	protobuf_c_message_pack(copy, packed);
	protobuf_c_message_free_unpacked(copy, NULL);
	return config_decode(packed, length, NULL);
}

/* Makes a configuration of two organisations and two services. */
static struct config *
make_config(void)
{
	char *digests[] = {(char *)SECRET_SHA256};
	Heatherturn__V1__Organisation serra =
	    HEATHERTURN__V1__ORGANISATION__INIT;
	Heatherturn__V1__Organisation other =
	    HEATHERTURN__V1__ORGANISATION__INIT;
	Heatherturn__V1__Organisation *organisations[] = {&serra, &other};
	Heatherturn__V1__Service orders = HEATHERTURN__V1__SERVICE__INIT;
	Heatherturn__V1__Service proofs = HEATHERTURN__V1__SERVICE__INIT;
	Heatherturn__V1__Service *services[] = {&orders, &proofs};
	Heatherturn__V1__Upstream upstream = HEATHERTURN__V1__UPSTREAM__INIT;
	Heatherturn__V1__Upstream *upstreams[] = {&upstream};
	Heatherturn__V1__ConfigDocument document =
	    HEATHERTURN__V1__CONFIG_DOCUMENT__INIT;

	serra.id = (char *)"serra";
	serra.n_api_key_sha256 = 1;
	serra.api_key_sha256 = digests;
	other.id = (char *)"other";
	orders.id = (char *)"orders";
	orders.kind = HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_PLAIN;
	orders.path_prefix = (char *)"/orders";
	proofs.id = (char *)"proofs";
	proofs.kind = HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_PLAIN;
	proofs.path_prefix = (char *)"/orders/proofs";
	upstream.id = (char *)"u1";
	upstream.service = (char *)"orders";
	document.version = 7;
	document.n_organisations = G_N_ELEMENTS(organisations);
	document.organisations = organisations;
	document.n_services = G_N_ELEMENTS(services);
	document.services = services;
	document.n_upstreams = 1;
	document.upstreams = upstreams;
	return store_and_load(&document);
}

/*
 * Objects are found by their keys, and the snapshot lives until its last
 * reference is dropped.
 */
static void
test_lookup(void)
{
	struct config *config = make_config();
	size_t count;

	config_ref(config);
	config_unref(config);
	g_assert_cmpuint(config_version(config), ==, 7);
	g_assert_nonnull(config_find_organisation(config, "other"));
	g_assert_null(config_find_organisation(config, "orders"));
	g_assert_cmpstr(
	    config_find_organisation_by_api_key(config, "secret")->id, ==,
	    "serra");
	g_assert_null(
	    config_find_organisation_by_api_key(config, SECRET_SHA256));
	g_assert_null(config_find_organisation_by_api_key(config, ""));
	g_assert_cmpstr(
	    config_service_upstreams(config, "orders", &count)[0]->id, ==,
	    "u1");
	g_assert_cmpuint(count, ==, 1);
	g_assert_null(config_service_upstreams(config, "proofs", &count));
	g_assert_cmpuint(count, ==, 0);
	config_unref(config);
	config_unref(NULL);
}

static const struct path_case {
	const char *path;
	const char *service; /* NULL for none */
} path_cases[] = {
    {"/orders", "orders"},
    {"/orders/1", "orders"},
    {"/orders?x=1", "orders"},
    {"/ordersx", NULL},
    {"/orders/proofs/2", "proofs"},
    {"/", NULL},
};

/* A path belongs to the service with the longest prefix of whole segments. */
static void
test_path(void)
{
	struct config *config = make_config();

	for (size_t i = 0; i < G_N_ELEMENTS(path_cases); i++) {
		const Heatherturn__V1__Service *service =
		    config_find_service_by_path(config, path_cases[i].path);

		g_assert_cmpstr(service == NULL ? NULL : service->id, ==,
		    path_cases[i].service);
	}
	config_unref(config);
}

static const struct accepts_work_case {
	const char *name;
	Heatherturn__V1__FailureDomainState domain;
	Heatherturn__V1__UpstreamState upstream;
	const char *failure_domain;
	bool accepts_work;
} accepts_work_cases[] = {
    {"an upstream in service accepts work", DOMAIN_STATE(IN_SERVICE),
	UPSTREAM_STATE(IN_SERVICE), "d1", true},
    {"an upstream in a domain taken out accepts no work",
	DOMAIN_STATE(TAKEN_OUT), UPSTREAM_STATE(IN_SERVICE), "d1", false},
    {"an upstream that is leaving accepts no work", DOMAIN_STATE(IN_SERVICE),
	UPSTREAM_STATE(LEAVING), "d1", false},
    {"an upstream in an unknown domain accepts no work",
	DOMAIN_STATE(IN_SERVICE), UPSTREAM_STATE(IN_SERVICE), "d2", false},
};

/* Runs one case of accepts_work_cases. */
static void
test_accepts_work(gconstpointer data)
{
	const struct accepts_work_case *test = data;
	Heatherturn__V1__FailureDomain domain =
	    HEATHERTURN__V1__FAILURE_DOMAIN__INIT;
	Heatherturn__V1__FailureDomain *domains[] = {&domain};
	Heatherturn__V1__Upstream upstream = HEATHERTURN__V1__UPSTREAM__INIT;
	Heatherturn__V1__Upstream *upstreams[] = {&upstream};
	Heatherturn__V1__ConfigDocument document =
	    HEATHERTURN__V1__CONFIG_DOCUMENT__INIT;
	struct config *config;

	domain.id = (char *)"d1";
	domain.state = test->domain;
	upstream.id = (char *)"u1";
	upstream.failure_domain = (char *)test->failure_domain;
	upstream.state = test->upstream;
	document.n_failure_domains = 1;
	document.failure_domains = domains;
	document.n_upstreams = 1;
	document.upstreams = upstreams;
	config = store_and_load(&document);
	g_assert_cmpint(config_upstream_accepts_work(
			    config, config_find_upstream(config, "u1")),
	    ==, test->accepts_work);
	config_unref(config);
}

/*
 * Bytes that are not a document give a typed error; the empty configuration has
 * no bytes.
 */
static void
test_malformed(void)
{
	static const uint8_t bytes[] = {0xff, 0xff, 0xff};
	struct config *empty = config_new_empty();
	g_autoptr(GByteArray) encoded = config_encode(empty);
	GError *error = NULL;

	g_assert_cmpuint(config_version(empty), ==, 0);
	g_assert_cmpuint(encoded->len, ==, 0);
	g_assert_null(config_decode(bytes, sizeof(bytes), &error));
	g_assert_error(error, CONFIG_ERROR, CONFIG_ERROR_MALFORMED);
	g_error_free(error);
	config_unref(empty);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/objects are found by their keys", test_lookup);
	g_test_add_func(
	    "/config/a path belongs to the service with the longest prefix",
	    test_path);
	g_test_add_func(
	    "/config/a malformed document is an error", test_malformed);
	for (size_t i = 0; i < G_N_ELEMENTS(accepts_work_cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/config/work/", accepts_work_cases[i].name, NULL);

		g_test_add_data_func(
		    path, &accepts_work_cases[i], test_accepts_work);
	}
	return g_test_run();
}
