#include <stdio.h>
#include <string.h>

#include "base/settings_table.h"
#include "commands.h"

static const char *const ctl_variables[] = {"HEATHERTURN_ENTRY",
    "HEATHERTURN_OPERATOR_TOKEN_FILE", "HEATHERTURN_CA_FILE"};

/* Prints each setting of a role with its value and source. */
static void
print_effective(enum role role, const struct settings_raw *raw)
{
	printf("%-22s %-28s %s\n", "SETTING", "VALUE", "SOURCE");
	for (size_t i = 0; i < setting_spec_count; i++) {
		const char *text = raw->texts[i];

		if ((setting_specs[i].roles & (1U << role)) == 0)
			continue;
		printf("%-22s %-28s %s\n", setting_specs[i].name,
		    text == NULL || text[0] == '\0' ? "-" : text,
		    raw->sources[i]);
	}
}

/* Returns whether a variable belongs to a setting of any role, or to ctl. */
static bool
is_known_variable(const char *variable)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ctl_variables); i++) {
		if (strcmp(ctl_variables[i], variable) == 0)
			return true;
	}
	for (size_t i = 0; i < setting_spec_count; i++) {
		g_autofree char *name = setting_variable(&setting_specs[i]);

		if (strcmp(name, variable) == 0)
			return true;
	}
	return false;
}

/* Prints environment variables with our prefix that are not settings. */
static void
print_unknown_variables(void)
{
	g_auto(GStrv) variables = g_listenv();

	for (size_t i = 0; variables[i] != NULL; i++) {
		if (g_str_has_prefix(variables[i], "HEATHERTURN_") &&
		    !is_known_variable(variables[i]))
			fprintf(stderr, "note: %s is not a known setting\n",
			    variables[i]);
	}
}

/*
 * Prints a role's effective settings and all faults. For files only the path is
 * shown. Returns an exit code.
 */
int
settings_check(enum role role, int argc, char **argv)
{
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)g_error_free);
	g_autoptr(GError) error = NULL;
	struct settings_raw raw = {0};
	struct settings settings;

	if (!settings_collect(&raw, role, &argc, &argv, &error)) {
		fprintf(stderr, "heatherturn check: %s\n", error->message);
		settings_raw_clear(&raw);
		return EXIT_CODE_USAGE;
	}
	settings_apply(&settings, role, &raw, faults);
	print_effective(role, &raw);
	fflush(stdout);
	for (guint i = 0; i < faults->len; i++) {
		const GError *fault = faults->pdata[i];

		fprintf(stderr, "fault: %s\n", fault->message);
	}
	print_unknown_variables();
	settings_clear(&settings);
	settings_raw_clear(&raw);
	return faults->len == 0 ? EXIT_CODE_OK : EXIT_CODE_SETTING;
}

/* Returns the roles of a setting as shown in the man page. */
static const char *
roles_text(unsigned int roles)
{
	static const struct {
		unsigned int roles;
		const char *text;
	} texts[] = {
	    {FOR_ALL, ""},
	    {FOR_ENTRY, " (entry)"},
	    {FOR_SIDECAR, " (sidecar)"},
	    {FOR_GATEWAY, " (gateway)"},
	    {FOR_CALLERS, " (entry, gateway)"},
	    {FOR_ENTRY | FOR_SIDECAR, " (entry, sidecar)"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		if (texts[i].roles == roles)
			return texts[i].text;
	}
	g_assert_not_reached();
}

/* Writes the man page's list of settings in scdoc markup. */
void
settings_write_man(GString *out)
{
	for (size_t i = 0; i < setting_spec_count; i++) {
		const struct setting_spec *spec = &setting_specs[i];
		g_autofree char *variable = setting_variable(spec);
		const char *role_names = roles_text(spec->roles);

		g_string_append_printf(out, "*--%s*", spec->name);
		if (spec->argument != NULL)
			g_string_append_printf(out, " _%s_", spec->argument);
		g_string_append_printf(out, ", *%s*%s\n\t%c%s.", variable,
		    role_names, g_ascii_toupper(spec->help[0]), spec->help + 1);
		if (spec->required)
			g_string_append(out, " Required.");
		if (spec->choices != NULL)
			g_string_append_printf(
			    out, " One of %s.", spec->choices);
		if (spec->default_value != NULL)
			g_string_append_printf(
			    out, " Default: %s.", spec->default_value);
		g_string_append(out, "\n\n");
	}
}

/* Runs heatherturn check entry|gateway|sidecar [FLAG...], or check --man. */
int
command_check(int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "";
	g_autoptr(GString) page = g_string_new(NULL);

	if (strcmp(what, "entry") == 0)
		return settings_check(ROLE_ENTRY, argc - 1, argv + 1);
	if (strcmp(what, "sidecar") == 0)
		return settings_check(ROLE_SIDECAR, argc - 1, argv + 1);
	if (strcmp(what, "gateway") == 0)
		return settings_check(ROLE_GATEWAY, argc - 1, argv + 1);
	if (strcmp(what, "--man") == 0) {
		settings_write_man(page);
		fputs(page->str, stdout);
		return EXIT_CODE_OK;
	}
	if (strcmp(what, "--help") == 0) {
		puts(
		    "Usage: heatherturn check entry|gateway|sidecar [FLAG...]\n"
		    "       heatherturn check --man\n\n"
		    "Prints the effective settings and all faults.");
		return EXIT_CODE_OK;
	}
	fputs("heatherturn check: expected entry, gateway or sidecar, then "
	      "its flags\n",
	    stderr);
	return EXIT_CODE_USAGE;
}
