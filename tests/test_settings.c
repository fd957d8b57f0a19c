/*
 * Settings: sources and their precedence; each error names the setting, the
 * value and the reason.
 */
#include <string.h>

#include <glib.h>

#include "base/settings_table.h"

#define ARGUMENTS_MAX 12

/* All required flags of an entry; the other roles need one more each. */
#define ENTRY_FLAGS                                               \
	"--id=e1", "--failure-domain=d1", "--listen=127.0.0.1:7", \
	    "--callers=127.0.0.1:8"
#define GATEWAY_FLAGS                                             \
	"--id=g1", "--failure-domain=d1", "--listen=127.0.0.1:7", \
	    "--callers=127.0.0.1:8"
#define SIDECAR_FLAGS                                             \
	"--id=s1", "--failure-domain=d1", "--listen=127.0.0.1:7", \
	    "--upstream=u1"

static const struct fault_case {
	const char *name;
	enum role role;
	const char *arguments[ARGUMENTS_MAX];
	int code;
	const char *text; /* part of the error message */
} fault_cases[] = {
    {"an id is required", ROLE_ENTRY, {"--listen=127.0.0.1:7"},
	SETTINGS_ERROR_MISSING, "--id: is required"},
    {"a flag of another role is unknown", ROLE_ENTRY,
	{ENTRY_FLAGS, "--upstream=u"}, SETTINGS_ERROR_FLAG, "--upstream"},
    {"an argument that is no flag is refused", ROLE_ENTRY, {ENTRY_FLAGS, "now"},
	SETTINGS_ERROR_FLAG, "'now'"},
    {"a host name is no address", ROLE_ENTRY,
	{ENTRY_FLAGS, "--http=localhost:80"}, SETTINGS_ERROR_VALUE,
	"--http: 'localhost:80'"},
    {"a port past 65535 is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--http=127.0.0.1:65536"}, SETTINGS_ERROR_VALUE, "65536"},
    {"one bad peer names that peer", ROLE_ENTRY,
	{ENTRY_FLAGS, "--peers=127.0.0.1:1,127.0.0.1"}, SETTINGS_ERROR_VALUE,
	"--peers: '127.0.0.1'"},
    {"a URL needs its scheme", ROLE_SIDECAR,
	{SIDECAR_FLAGS, "--upstream-url=127.0.0.1:9"}, SETTINGS_ERROR_VALUE,
	"--upstream-url"},
    {"a URL takes no host name", ROLE_SIDECAR,
	{SIDECAR_FLAGS, "--upstream-url=http://engine:9"}, SETTINGS_ERROR_VALUE,
	"http://engine:9"},
    {"an unknown dialect is refused", ROLE_SIDECAR,
	{SIDECAR_FLAGS, "--upstream-url=http://127.0.0.1:9", "--dialect=x"},
	SETTINGS_ERROR_VALUE, "engine|plain"},
    {"an unknown log level is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--log-level=loud"}, SETTINGS_ERROR_VALUE, "'loud'"},
    {"a gateway needs its object store", ROLE_GATEWAY, {GATEWAY_FLAGS},
	SETTINGS_ERROR_MISSING, "--objects"},
    {"a fraction out of bounds is refused", ROLE_GATEWAY,
	{GATEWAY_FLAGS, "--objects=127.0.0.1:9", "--retry-ratio=1.5"},
	SETTINGS_ERROR_VALUE, "--retry-ratio"},
    {"a fraction with a unit is refused", ROLE_GATEWAY,
	{GATEWAY_FLAGS, "--objects=127.0.0.1:9", "--grace-s=8s"},
	SETTINGS_ERROR_VALUE, "--grace-s"},
    {"a number out of bounds is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--body-max-bytes=1"}, SETTINGS_ERROR_VALUE, "1024"},
    {"a number with a unit is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--drain-notice-ms=2s"}, SETTINGS_ERROR_VALUE, "'2s'"},
    {"a missing file is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--cluster-key-file=/nonexistent"}, SETTINGS_ERROR_FILE,
	"--cluster-key-file: '/nonexistent'"},
    {"an empty secret is refused", ROLE_ENTRY,
	{ENTRY_FLAGS, "--cluster-key-file=/dev/null"}, SETTINGS_ERROR_FILE,
	"--cluster-key-file: '/dev/null' is empty"},
    {"a certificate needs its key", ROLE_ENTRY,
	{ENTRY_FLAGS, "--tls-certificate-file=/dev/null"},
	SETTINGS_ERROR_COMBINATION, "--tls-key-file"},
    {"operators need a token", ROLE_ENTRY,
	{ENTRY_FLAGS, "--operators=127.0.0.1:9"}, SETTINGS_ERROR_MISSING,
	"--operator-token-file"},
    {"the limit of all bodies allows at least one", ROLE_ENTRY,
	{ENTRY_FLAGS, "--bodies-max-bytes=4096"}, SETTINGS_ERROR_COMBINATION,
	"--bodies-max-bytes"},
    {"any port can't be advertised", ROLE_ENTRY,
	{"--id=e", "--failure-domain=d", "--callers=127.0.0.1:8",
	    "--listen=127.0.0.1:0"},
	SETTINGS_ERROR_MISSING, "--advertise"},
};

/* Loads a role's settings from a list of arguments. */
static bool
load(struct settings *settings, enum role role, const char *const *arguments,
    GError **error)
{
	char *argv[ARGUMENTS_MAX + 1] = {(char *)"command"};
	char **arguments_left = argv;
	int argc = 1;

	while (argc <= ARGUMENTS_MAX && arguments[argc - 1] != NULL) {
		argv[argc] = (char *)arguments[argc - 1];
		argc++;
	}
	return settings_load(settings, role, &argc, &arguments_left, error);
}

/* The error has the expected code and text. */
static void
test_fault(gconstpointer data)
{
	const struct fault_case *fault = data;
	struct settings settings;
	GError *error = NULL;

	g_assert_false(load(&settings, fault->role, fault->arguments, &error));
	g_assert_error(error, SETTINGS_ERROR, fault->code);
	g_assert_nonnull(strstr(error->message, fault->text));
	g_error_free(error);
	settings_clear(&settings);
}

static const struct listen_case {
	const char *name;
	const char *argument;
	bool wildcard; /* needs --advertise */
} listen_cases[] = {
    {"0.0.0.0 can't be advertised", "--listen=0.0.0.0:7", true},
    {"the IPv6 wildcard can't be advertised", "--listen=[::]:7", true},
    {"nor the IPv6 wildcard with a zero", "--listen=[::0]:7", true},
    {"nor the IPv6 wildcard in full", "--listen=[0:0:0:0:0:0:0:0]:7", true},
    {"nor the IPv6 wildcard with an IPv4 ending", "--listen=[::0.0.0.0]:7",
	true},
    {"nor 0.0.0.0 mapped into IPv6", "--listen=[::ffff:0.0.0.0]:7", true},
    {"the IPv6 loopback address can be advertised", "--listen=[::1]:7", false},
    {"a mapped address can be advertised", "--listen=[::ffff:127.0.0.1]:7",
	false},
    {"an address that ends in zeros can be advertised", "--listen=[2001::]:7",
	false},
};

/* A listener on all addresses needs one to advertise. */
static void
test_listen(gconstpointer data)
{
	const struct listen_case *c = data;
	const char *const arguments[ARGUMENTS_MAX] = {"--id=e",
	    "--failure-domain=d", "--callers=127.0.0.1:8", c->argument};
	struct settings settings;
	g_autoptr(GError) error = NULL;

	g_assert_cmpint(
	    load(&settings, ROLE_ENTRY, arguments, &error), ==, !c->wildcard);
	if (c->wildcard)
		g_assert_error(error, SETTINGS_ERROR, SETTINGS_ERROR_MISSING);
	settings_clear(&settings);
}

/* Flags override environment variables, which override defaults. */
static void
test_precedence(void)
{
	static const char *const arguments[ARGUMENTS_MAX] = {ENTRY_FLAGS,
	    "--policy=two-choices", "--peers=127.0.0.1:1, [::1]:2"};
	struct settings settings;

	g_setenv("HEATHERTURN_POLICY", "round-robin", TRUE);
	g_setenv("HEATHERTURN_LOG_LEVEL", "debug", TRUE);
	g_setenv("HEATHERTURN_FATAL_INVARIANTS", "yes", TRUE);
	g_assert_true(load(&settings, ROLE_ENTRY, arguments, NULL));
	g_assert_cmpstr(settings.policy, ==, "two-choices");
	g_assert_cmpint(settings.log_level, ==, LOG_LEVEL_DEBUG);
	g_assert_true(settings.fatal_invariants);
	g_assert_cmpint(settings.body_max_bytes, ==, 8388608);
	g_assert_cmpstr(settings.advertise, ==, "127.0.0.1:7");
	g_assert_cmpstr(settings.peers[1], ==, "[::1]:2");
	g_assert_null(settings.peers[2]);
	g_assert_null(settings.platform);
	settings_clear(&settings);
	g_unsetenv("HEATHERTURN_POLICY");
	g_unsetenv("HEATHERTURN_LOG_LEVEL");
	g_unsetenv("HEATHERTURN_FATAL_INVARIANTS");
}

/* All errors are found in one pass. */
static void
test_all_faults(void)
{
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)g_error_free);
	struct settings_raw raw = {0};
	struct settings settings;

	settings_apply(&settings, ROLE_SIDECAR, &raw, faults);
	/* id, failure-domain, listen, upstream and upstream-url. */
	g_assert_cmpuint(faults->len, ==, 5);
	settings_clear(&settings);
}

/* The man page lists each setting with its environment variable. */
static void
test_man(void)
{
	g_autoptr(GString) page = g_string_new(NULL);

	settings_write_man(page);
	for (size_t i = 0; i < setting_spec_count; i++) {
		g_autofree char *variable = setting_variable(&setting_specs[i]);

		g_assert_nonnull(strstr(page->str, setting_specs[i].name));
		g_assert_nonnull(strstr(page->str, variable));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(listen_cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/settings/listen/", listen_cases[i].name, NULL);

		g_test_add_data_func(path, &listen_cases[i], test_listen);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/settings/fault/", fault_cases[i].name, NULL);

		g_test_add_data_func(path, &fault_cases[i], test_fault);
	}
	g_test_add_func(
	    "/settings/flags override variables, which override defaults",
	    test_precedence);
	g_test_add_func(
	    "/settings/all faults are reported at once", test_all_faults);
	g_test_add_func("/settings/the man page lists each setting", test_man);
	return g_test_run();
}
