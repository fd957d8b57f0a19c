#include <string.h>

#include "base/address.h"
#include "base/settings_table.h"

#define NAME_MAX_BYTES 63

static const struct flag_text {
	const char *word;
	bool value;
} flag_texts[] = {
    {"true", true},
    {"yes", true},
    {"1", true},
    {"false", false},
    {"no", false},
    {"0", false},
};

/* Sets an error with the setting, its value and the reason; returns false. */
static bool
set_value_error(const struct setting_spec *spec, const char *text,
    const char *why, GError **error)
{
	g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_VALUE,
	    "--%s: '%s' %s", spec->name, text, why);
	return false;
}

/* Returns whether a text is a valid id: letters, digits, '.', '_' and '-'. */
static bool
is_name(const char *text)
{
	size_t length = strspn(text,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	    "._-");

	return length > 0 && length <= NAME_MAX_BYTES && text[length] == '\0';
}

/*
 * Returns whether a text is http(s)://HOST:PORT with a numeric host and no path
 * except an optional slash.
 */
static bool
is_url(const char *text)
{
	g_autofree char *address = NULL;
	const char *rest = NULL;
	size_t length;
	uint16_t port;

	if (g_str_has_prefix(text, "http://"))
		rest = text + strlen("http://");
	else if (g_str_has_prefix(text, "https://"))
		rest = text + strlen("https://");
	else
		return false;
	length = strcspn(rest, "/");
	if (rest[length] == '/' && rest[length + 1] != '\0')
		return false;
	address = g_strndup(rest, length);
	return address_parse(address, NULL, &port) && port != 0;
}

/* Stores a copy of a valid text in the setting's member. */
static bool
store_text(const struct setting_spec *spec, const char *text,
    struct settings *settings)
{
	char **member = G_STRUCT_MEMBER_P(settings, spec->offset);

	g_free(*member);
	*member = g_strdup(text);
	return true;
}

/* Parses HOST:PORT; port 0 is valid only for listening. */
static bool
parse_address(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	uint16_t port;

	if (!address_parse(text, NULL, &port))
		return set_value_error(spec, text,
		    "is not HOST:PORT with a numeric host and port 0 to 65535",
		    error);
	if (port == 0 && spec->kind != SETTING_LISTEN)
		return set_value_error(spec, text,
		    "has port 0, which can't be connected to", error);
	return store_text(spec, text, settings);
}

/* Parses a list of addresses separated by commas or spaces. */
static bool
parse_addresses(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	char ***member = G_STRUCT_MEMBER_P(settings, spec->offset);
	g_auto(GStrv) parts = g_strsplit_set(text, ", ", -1);
	g_autoptr(GStrvBuilder) kept = g_strv_builder_new();
	uint16_t port;

	for (size_t i = 0; parts[i] != NULL; i++) {
		if (parts[i][0] == '\0')
			continue;
		if (!address_parse(parts[i], NULL, &port) || port == 0)
			return set_value_error(spec, parts[i],
			    "is not HOST:PORT with a numeric host", error);
		g_strv_builder_add(kept, parts[i]);
	}
	g_strfreev(*member);
	*member = g_strv_builder_end(kept);
	return true;
}

/* Parses an integer within the setting's range. */
static bool
parse_number(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	g_autofree char *why = NULL;
	gint64 value;

	if (!g_ascii_string_to_signed(
		text, 10, spec->min, spec->max, &value, NULL)) {
		why = g_strdup_printf("is not an integer from "
				      "%" G_GINT64_FORMAT
				      " to %" G_GINT64_FORMAT,
		    spec->min, spec->max);
		return set_value_error(spec, text, why, error);
	}
	G_STRUCT_MEMBER(int64_t, settings, spec->offset) = value;
	return true;
}

/* Parses a decimal number within the setting's range. */
static bool
parse_fraction(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	g_autofree char *why = NULL;
	char *end = NULL;
	double value = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(value >= (double)spec->min) ||
	    !(value <= (double)spec->max)) {
		why = g_strdup_printf("is not a number from "
				      "%" G_GINT64_FORMAT
				      " to %" G_GINT64_FORMAT,
		    spec->min, spec->max);
		return set_value_error(spec, text, why, error);
	}
	G_STRUCT_MEMBER(double, settings, spec->offset) = value;
	return true;
}

/* Parses a boolean. */
static bool
parse_flag(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	for (size_t i = 0; i < G_N_ELEMENTS(flag_texts); i++) {
		if (strcmp(flag_texts[i].word, text) != 0)
			continue;
		G_STRUCT_MEMBER(
		    bool, settings, spec->offset) = flag_texts[i].value;
		return true;
	}
	return set_value_error(spec, text, "is neither true nor false", error);
}

/* Parses one of the setting's choices. */
static bool
parse_choice(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	g_auto(GStrv) choices = g_strsplit(spec->choices, "|", -1);
	g_autofree char *why = NULL;

	if (!g_strv_contains((const char *const *)choices, text)) {
		why = g_strdup_printf("is not one of %s", spec->choices);
		return set_value_error(spec, text, why, error);
	}
	if (spec->kind == SETTING_LOG_LEVEL)
		return log_level_parse(
		    text, G_STRUCT_MEMBER_P(settings, spec->offset));
	return store_text(spec, text, settings);
}

/* Checks that a file is readable, and stores its path. */
static bool
parse_file(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	g_autofree char *contents = NULL;
	g_autoptr(GError) reason = NULL;

	if (!g_file_get_contents(text, &contents, NULL, &reason)) {
		g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_FILE,
		    "--%s: '%s' can't be read: %s", spec->name, text,
		    reason->message);
		return false;
	}
	return store_text(spec, text, settings);
}

/* Checks that a file contains a secret, and stores only its path. */
static bool
parse_secret(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	g_autofree char *secret = settings_read_secret(text, error);

	if (secret == NULL) {
		g_prefix_error(error, "--%s: ", spec->name);
		return false;
	}
	return store_text(spec, text, settings);
}

/*
 * Parses one setting's text into its member. The error, of SETTINGS_ERROR, has
 * the setting, its value and the reason.
 */
bool
setting_parse(const struct setting_spec *spec, const char *text,
    struct settings *settings, GError **error)
{
	switch (spec->kind) {
	case SETTING_NAME:
		if (!is_name(text))
			return set_value_error(spec, text,
			    "is not a name of letters, digits, '.', '_', '-'",
			    error);
		return store_text(spec, text, settings);
	case SETTING_URL:
		if (!is_url(text))
			return set_value_error(spec, text,
			    "is not http://HOST:PORT with a numeric host",
			    error);
		return store_text(spec, text, settings);
	case SETTING_LISTEN:
	case SETTING_ADDRESS:
		return parse_address(spec, text, settings, error);
	case SETTING_ADDRESSES:
		return parse_addresses(spec, text, settings, error);
	case SETTING_FILE:
		return parse_file(spec, text, settings, error);
	case SETTING_SECRET:
		return parse_secret(spec, text, settings, error);
	case SETTING_CHOICE:
	case SETTING_LOG_LEVEL:
		return parse_choice(spec, text, settings, error);
	case SETTING_NUMBER:
		return parse_number(spec, text, settings, error);
	case SETTING_FRACTION:
		return parse_fraction(spec, text, settings, error);
	case SETTING_FLAG:
		return parse_flag(spec, text, settings, error);
	}
	g_assert_not_reached();
}
