/*
 * A process's settings. One table of specifications defines the flags, the
 * HEATHERTURN_* environment variables, the help text, the output of check and
 * the man page's list. A flag takes precedence over its variable, and that over
 * the default. Secrets are read from files only and never printed.
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
	SETTINGS_ERROR_FLAG, /* unknown flag or unexpected argument */
	SETTINGS_ERROR_MISSING, /* required but not given */
	SETTINGS_ERROR_VALUE, /* invalid value */
	SETTINGS_ERROR_FILE, /* unreadable file, or an empty secret */
	SETTINGS_ERROR_COMBINATION, /* invalid combination of settings */
};

/*
 * The effective settings. Strings that were not given are NULL if the setting
 * has no default; addresses are numeric HOST:PORT.
 */
struct settings {
	enum role role;
	char *id;
	char *failure_domain;
	char *listen; /* for links from other processes */
	char *advertise; /* address of listen as other processes reach it */
	char *http; /* metrics and health; NULL for none */
	char *platform; /* URL of the platform; NULL for none */
	char **peers; /* never NULL */
	enum log_level log_level;
	char *cluster_key_file;
	char *tls_certificate_file;
	char *tls_key_file;
	bool fatal_invariants;
	int64_t drain_notice_ms;
	double grace_s; /* from SIGTERM to SIGKILL */

	/* Entries only, or entries and gateways. */
	char *callers;
	char *operators; /* NULL for none */
	char *operator_token_file;
	int64_t body_max_bytes; /* of one request */
	int64_t bodies_max_bytes; /* of all open requests together */
	char *policy;

	/* Gateways only. */
	char *objects; /* the platform's object store */
	int64_t config_max_age_ms; /* see policy/freshness.h */
	double retry_ratio;
	double retry_window_s;
	double retry_slack; /* beyond the ratio, over all gateways */
	double cold_ratio;
	double cold_slack; /* requests per second */
	int64_t hold_ms; /* duration of one memory reservation */
	int64_t unused_memory_ms; /* for which reserved memory may go unused */
	double cpu_share; /* cores that this host has; 0 if unknown */
	int64_t memory_mb; /* of the host; 0 for unknown */
	double link_mbps; /* of the host; 0 for unknown */
	int64_t prompt_cache_ms; /* engines keep a prompt; 0: they don't */

	/* Sidecars only. */
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
