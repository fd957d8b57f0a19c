/*
 * Table of settings, shared by settings.c (loading), settings_parse.c (parsing)
 * and settings_check.c (printing).
 */
#ifndef BASE_SETTINGS_TABLE_H
#define BASE_SETTINGS_TABLE_H

#include "base/settings.h"

#define SETTINGS_MAX 40

/* Roles that have a setting. */
#define FOR_ENTRY   (1U << ROLE_ENTRY)
#define FOR_SIDECAR (1U << ROLE_SIDECAR)
#define FOR_GATEWAY (1U << ROLE_GATEWAY)
#define FOR_ALL	    (FOR_ENTRY | FOR_SIDECAR | FOR_GATEWAY)
#define FOR_CALLERS (FOR_ENTRY | FOR_GATEWAY)

enum setting_kind {
	SETTING_NAME, /* an id: letters, digits, '.', '_' and '-' */
	SETTING_LISTEN, /* HOST:PORT; port 0 for any free port */
	SETTING_ADDRESS, /* HOST:PORT */
	SETTING_ADDRESSES, /* HOST:PORT, separated by commas */
	SETTING_URL,
	SETTING_FILE,
	SETTING_SECRET, /* a non-empty file */
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
	const char *argument; /* placeholder for the value in help texts */
	const char *help;
};

/* Unparsed value and source of each setting, by index in setting_specs. */
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
