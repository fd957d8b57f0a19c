#include "base/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/settings_table.h"

static const char *const role_names[] = {
    [ROLE_ENTRY] = "entry",
    [ROLE_SIDECAR] = "sidecar",
    [ROLE_GATEWAY] = "gateway",
};

G_DEFINE_QUARK(settings_error, settings_error)

/* Returns whether a role has a setting. */
static bool
is_for(const struct setting_spec *spec, enum role role)
{
	return (spec->roles & (1U << role)) != 0;
}

/*
 * Fills GLib's option entries from our table; flags take no value. Returns the
 * number of entries used.
 */
static size_t
fill_options(GOptionEntry *entries, enum role role, struct settings_raw *raw,
    gboolean *flags)
{
	size_t used = 0;

	for (size_t i = 0; i < setting_spec_count; i++) {
		const struct setting_spec *spec = &setting_specs[i];
		bool flag = spec->kind == SETTING_FLAG;

		if (!is_for(spec, role))
			continue;
		entries[used++] = (GOptionEntry){
		    .long_name = spec->name,
		    .arg = flag ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING,
		    .arg_data = flag ? (void *)&flags[i]
				     : (void *)&raw->texts[i],
		    .description = spec->help,
		    .arg_description = spec->argument,
		};
	}
	return used;
}

/*
 * Records the source of each value, and adds environment variables and
 * defaults.
 */
static void
add_sources(struct settings_raw *raw, enum role role, const gboolean *flags)
{
	for (size_t i = 0; i < setting_spec_count; i++) {
		const struct setting_spec *spec = &setting_specs[i];
		g_autofree char *variable = setting_variable(spec);

		if (!is_for(spec, role))
			continue;
		if (flags[i])
			raw->texts[i] = g_strdup("true");
		raw->sources[i] = "flag";
		if (raw->texts[i] != NULL)
			continue;
		raw->sources[i] = "environment";
		raw->texts[i] = g_strdup(g_getenv(variable));
		if (raw->texts[i] != NULL)
			continue;
		raw->sources[i] = "default";
		raw->texts[i] = g_strdup(spec->default_value);
	}
}

/* Prints the help as UTF-8 in any locale, and exits. */
static _Noreturn void
print_help(GOptionContext *context)
{
	g_autofree char *help = g_option_context_get_help(context, TRUE, NULL);

	fputs(help, stdout);
	exit(EXIT_CODE_OK);
}

/*
 * Collects the values of a role's settings from flags, environment and
 * defaults. Known flags are removed from argv; --help prints the help and
 * exits. False with SETTINGS_ERROR_FLAG for an unknown flag or argument.
 */
bool
settings_collect(struct settings_raw *raw, enum role role, int *argc,
    char ***argv, GError **error)
{
	GOptionEntry entries[SETTINGS_MAX + 3] = {{0}};
	gboolean flags[SETTINGS_MAX] = {0};
	gboolean check = FALSE;
	gboolean help = FALSE;
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) reason = NULL;
	g_autofree char *program = NULL;
	size_t used = fill_options(entries, role, raw, flags);

	entries[used++] = (GOptionEntry){
	    .long_name = "help",
	    .short_name = 'h',
	    .arg = G_OPTION_ARG_NONE,
	    .arg_data = &help,
	    .description = "print this help and exit",
	};
	entries[used] = (GOptionEntry){
	    .long_name = "check",
	    .arg = G_OPTION_ARG_NONE,
	    .arg_data = &check,
	    .description = "print the effective settings and faults and exit",
	};
	program = g_strdup_printf("heatherturn %s", role_names[role]);
	g_set_prgname(program);
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(context,
	    "Each flag may also be given as an environment variable, e.g.\n"
	    "--log-level as HEATHERTURN_LOG_LEVEL; the flag takes "
	    "precedence.\n");
	if (!g_option_context_parse(context, argc, argv, &reason)) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG,
		    "%s; see %s --help", reason->message, program);
		return false;
	}
	if (help)
		print_help(context);
	if (*argc > 1) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG,
		    "unexpected argument '%s'; see %s --help", (*argv)[1],
		    program);
		return false;
	}
	raw->check = check;
	add_sources(raw, role, flags);
	return true;
}

/* Frees the values collected by settings_collect(). */
void
settings_raw_clear(struct settings_raw *raw)
{
	for (size_t i = 0; i < SETTINGS_MAX; i++)
		g_clear_pointer(&raw->texts[i], g_free);
}

/* Adds a fault about a combination of settings. */
static void
add_fault(GPtrArray *faults, enum settings_error code, const char *text)
{
	g_ptr_array_add(
	    faults, g_error_new_literal(SETTINGS_ERROR, code, text));
}

/* Checks combinations of settings, after each was parsed. */
static void
check_combinations(const struct settings *settings, GPtrArray *faults)
{
	uint16_t port;

	if ((settings->tls_certificate_file == NULL) !=
	    (settings->tls_key_file == NULL))
		add_fault(faults, SETTINGS_ERROR_COMBINATION,
		    "--tls-certificate-file and --tls-key-file: must be given "
		    "together");
	if (settings->role != ROLE_SIDECAR &&
	    settings->bodies_max_bytes < settings->body_max_bytes)
		add_fault(faults, SETTINGS_ERROR_COMBINATION,
		    "--bodies-max-bytes: must not be below --body-max-bytes");
	if (settings->operators != NULL &&
	    settings->operator_token_file == NULL)
		add_fault(faults, SETTINGS_ERROR_MISSING,
		    "--operator-token-file: is required with --operators");
	if (settings->listen == NULL || settings->advertise != NULL)
		return;
	address_parse(settings->listen, NULL, &port);
	if (port == 0 || address_is_any(settings->listen))
		add_fault(faults, SETTINGS_ERROR_MISSING,
		    "--advertise: is required if --listen has a wildcard "
		    "address or port 0");
}

/*
 * Parses all collected values into the settings, and adds a GError to faults
 * for each missing or invalid one.
 */
void
settings_apply(struct settings *settings, enum role role,
    const struct settings_raw *raw, GPtrArray *faults)
{
	memset(settings, 0, sizeof(*settings));
	settings->role = role;
	settings->peers = g_new0(char *, 1);
	for (size_t i = 0; i < setting_spec_count; i++) {
		const struct setting_spec *spec = &setting_specs[i];
		const char *text = raw->texts[i];
		GError *error = NULL;

		if (!is_for(spec, role))
			continue;
		if (text == NULL || text[0] == '\0') {
			if (spec->required)
				g_ptr_array_add(faults,
				    g_error_new(SETTINGS_ERROR,
					SETTINGS_ERROR_MISSING,
					"--%s: is required", spec->name));
			continue;
		}
		if (!setting_parse(spec, text, settings, &error))
			g_ptr_array_add(faults, error);
	}
	check_combinations(settings, faults);
	if (settings->advertise == NULL)
		settings->advertise = g_strdup(settings->listen);
}

/* Returns the first fault as the error, with a hint if there are more. */
static void
report_first_fault(const GPtrArray *faults, GError **error)
{
	const GError *first;

	if (faults->len == 0)
		return;
	first = faults->pdata[0];
	if (faults->len == 1)
		g_propagate_error(error, g_error_copy(first));
	else
		g_set_error(error, SETTINGS_ERROR, first->code,
		    "%s (and %u more faults; use --check to list all)",
		    first->message, faults->len - 1);
}

/*
 * Loads a role's settings from argv, removing its flags, the environment and
 * the defaults. The error, of SETTINGS_ERROR, is the first fault;
 * settings_check() shows all. Call settings_clear() in either case.
 */
bool
settings_load(struct settings *settings, enum role role, int *argc,
    char ***argv, GError **error)
{
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)g_error_free);
	struct settings_raw raw = {0};
	bool gathered;

	memset(settings, 0, sizeof(*settings));
	gathered = settings_collect(&raw, role, argc, argv, error);
	if (gathered) {
		settings_apply(settings, role, &raw, faults);
		report_first_fault(faults, error);
	}
	settings_raw_clear(&raw);
	return gathered && faults->len == 0;
}

/*
 * Loads the settings of a role's command. False with the exit code, after
 * --check or after printing an error.
 */
bool
settings_load_or_report(struct settings *settings, enum role role, int argc,
    char **argv, enum exit_code *code)
{
	g_autoptr(GError) error = NULL;

	memset(settings, 0, sizeof(*settings));
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--check") == 0) {
			*code = settings_check(role, argc, argv);
			return false;
		}
	}
	if (settings_load(settings, role, &argc, &argv, &error))
		return true;
	*code = g_error_matches(error, SETTINGS_ERROR, SETTINGS_ERROR_FLAG)
	    ? EXIT_CODE_USAGE
	    : EXIT_CODE_SETTING;
	fprintf(
	    stderr, "heatherturn %s: %s\n", role_names[role], error->message);
	settings_clear(settings);
	return false;
}

/* Frees the settings' strings. */
void
settings_clear(struct settings *settings)
{
	for (size_t i = 0; i < setting_spec_count; i++) {
		const struct setting_spec *spec = &setting_specs[i];
		void *member = G_STRUCT_MEMBER_P(settings, spec->offset);

		switch (spec->kind) {
		case SETTING_NUMBER:
		case SETTING_FRACTION:
		case SETTING_FLAG:
		case SETTING_LOG_LEVEL:
			break;
		case SETTING_ADDRESSES:
			g_clear_pointer((char ***)member, g_strfreev);
			break;
		default:
			g_clear_pointer((char **)member, g_free);
			break;
		}
	}
}

/*
 * Reads a secret from a file, without surrounding white space. Returns NULL
 * with a SETTINGS_ERROR, which names the file but never shows its contents.
 * Free with g_free().
 */
char *
settings_read_secret(const char *path, GError **error)
{
	g_autofree char *contents = NULL;
	g_autoptr(GError) reason = NULL;

	if (!g_file_get_contents(path, &contents, NULL, &reason)) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE,
		    "'%s' can't be read: %s", path, reason->message);
		return NULL;
	}
	g_strstrip(contents);
	if (contents[0] == '\0') {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE,
		    "'%s' is empty, but must contain a secret", path);
		return NULL;
	}
	return g_steal_pointer(&contents);
}
