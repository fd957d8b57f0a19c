/*
 * The table of settings, for settings.c, which loads by it, and check.c, which
 * prints by it.
 */
#ifndef BASE_SETTINGS_TABLE_H
#define BASE_SETTINGS_TABLE_H

#include "base/settings.h"

#define SETTINGS_MAX 40

/* For which roles a setting is. */
#define FOR_ENTRY   (1U << ROLE_ENTRY)
#define FOR_SIDECAR (1U << ROLE_SIDECAR)
#define FOR_GATEWAY (1U << ROLE_GATEWAY)
#define FOR_ALL	    (FOR_ENTRY | FOR_SIDECAR | FOR_GATEWAY)
#define FOR_CALLERS (FOR_ENTRY | FOR_GATEWAY)

enum setting_kind {
	SETTING_NAME, /* an id: letters, digits, '.', '_' and '-' */
	SETTING_LISTEN, /* HOST:PORT, port 0 for any */
	SETTING_ADDRESS, /* HOST:PORT */
	SETTING_ADDRESSES, /* HOST:PORT, separated by commas */
	SETTING_URL,
	SETTING_FILE,
	SETTING_SECRET, /* a file that must not be empty */
	SETTING_CHOICE,
	SETTING_LOG_LEVEL,
	SETTING_NUMBER,
	SETTING_FRACTION,
	SETTING_FLAG,
};

struct setting_spec {
	const char *name;
	enum setting_kind kind;
	unsigned int roles;
	size_t offset; /* in struct settings */
	bool required;
	const char *default_value; /* NULL for none */
	int64_t min;
	int64_t max;
	const char *choices; /* separated by '|' */
	const char *argument; /* what help calls the value */
	const char *help;
};

/* What was given for each setting of the table, as text. */
struct settings_raw {
	char *texts[SETTINGS_MAX];
	const char *sources[SETTINGS_MAX];
	bool check;
};

extern const struct setting_spec setting_specs[];
extern const size_t setting_spec_count;

char *setting_variable(const struct setting_spec *);
bool setting_parse(const struct setting_spec *, const char *text,
    struct settings *, GError **);
bool settings_collect(
    struct settings_raw *, enum role, int *argc, char ***argv, GError **);
void settings_raw_clear(struct settings_raw *);
void settings_apply(struct settings *, enum role, const struct settings_raw *,
    GPtrArray *faults);

#endif
