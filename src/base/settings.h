/*
 * A process's settings. One table of specifications makes the flags, the
 * HEATHERTURN_* environment variables, the help text, the output of check and
 * the man page's list; a flag goes before its variable, and that before the
 * default. Secrets are given as files only and are never printed.
 */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/exit_code.h"
#include "base/log.h"
#include "peer/message.h"

#define SETTINGS_ERROR (settings_error_quark())

enum settings_error {
	SETTINGS_ERROR_FLAG, /* not a flag of this command */
	SETTINGS_ERROR_MISSING, /* required and not given */
	SETTINGS_ERROR_VALUE, /* not a value that this setting takes */
	SETTINGS_ERROR_FILE, /* a file that can't be read */
	SETTINGS_ERROR_COMBINATION, /* two settings don't go together */
};

/*
 * The effective settings. Texts that were not given are NULL where the setting
 * has no default; addresses are numeric HOST:PORT.
 */
struct settings {
	enum role role;
	char *id;
	char *failure_domain;
	char *listen; /* own links */
	char *advertise; /* where others reach the own links */
	char *http; /* metrics and health; NULL for none */
	char *platform; /* URL of the platform; NULL for none */
	char **peers; /* never NULL */
	enum log_level log_level;
	char *cluster_key_file;
	char *tls_certificate_file;
	char *tls_key_file;
	bool fatal_invariants;
	int64_t drain_notice_ms;

	/* Entries alone. */
	char *callers;
	char *operators; /* NULL for none */
	char *operator_token_file;
	int64_t body_max_bytes; /* of one request */
	int64_t bodies_max_bytes; /* of all open requests together */
	char *policy;

	/* Gateways alone. */
	char *objects; /* the platform's object store */
	double grace_s; /* from SIGTERM to SIGKILL */
	double retry_ratio;
	double retry_window_s;
	double retry_slack; /* of all gateways together */
	double cold_ratio;
	double cold_slack; /* requests a second */
	int64_t hold_ms; /* memory that is set aside is held for at a time */

	/* Sidecars alone. */
	char *upstream;
	char *upstream_url;
	char *dialect; /* engine or plain */
};

GQuark settings_error_quark(void);
bool settings_load(
    struct settings *, enum role, int *argc, char ***argv, GError **);
bool settings_load_or_report(
    struct settings *, enum role, int argc, char **argv, enum exit_code *);
void settings_clear(struct settings *);
char *settings_read_secret(const char *path, GError **);

int settings_check(enum role, int argc, char **argv);
void settings_write_man(GString *);

#endif
