/*
 * heatherturn ctl: the command-line client of the operator API. Its source
 * files share struct ctl, which holds the parsed command line, and one error
 * domain, each error of which maps to an exit code.
 */
#ifndef OPERATOR_CTL_H
#define OPERATOR_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "base/exit_code.h"
#include "config/object.h"

#define CTL_ERROR (ctl_error_quark())

enum ctl_error {
	CTL_ERROR_USAGE, /* invalid command line */
	CTL_ERROR_FILE, /* input file unreadable or invalid */
	CTL_ERROR_REJECTED, /* the entry rejected the call */
	CTL_ERROR_UNREACHABLE, /* no entry, or no platform behind it */
	CTL_ERROR_DENIED, /* token missing or wrong */
	CTL_ERROR_CONFLICT, /* the object exists or has another version */
	CTL_ERROR_OUTCOME_UNKNOWN, /* the change may have been stored */
	CTL_ERROR_TIMEOUT, /* change not in force within --timeout */
	CTL_ERROR_BAD_RESPONSE, /* not a response of the operator API */
};

/* HTTP client that tries the entries in turn. */
struct ctl_client;

/* The parsed command line. */
struct ctl {
	struct ev_loop *loop;
	GString *out; /* for standard output */
	GString *diagnostics; /* for standard error */
	char **entries; /* HOST:PORT */
	char *token_file;
	char *ca_file; /* PEM; HTTPS is used when set */
	char *file; /* object fields as JSON; - for standard input */
	gint64 version; /* of --version; 0 if not given */
	gint timeout_s;
	gboolean json;
	gboolean wait;
	gboolean help;
	const char *verb;
	const struct object_kind *kind;
	const char *id;
	json_t *fields; /* object fields from --file and flags */
};

/* A verb, the arguments that it takes and its implementation. */
struct ctl_verb {
	const char *name;
	bool takes_kind; /* followed by a kind and an id */
	bool takes_id; /* followed by the id of a failure domain */
	bool may_take_kind; /* followed by a kind, or not */
	json_t *(*run)(struct ctl *, struct ctl_client *, GError **);
	const char *done_text; /* past participle printed after a change; NULL
				  for reads */
};

GQuark ctl_error_quark(void);
enum exit_code ctl_exit_code(const GError *);

struct ctl_client *ctl_client_new(const struct ctl *, GError **);
void ctl_client_free(struct ctl_client *);
json_t *ctl_client_call(struct ctl_client *, const char *method,
    json_t *request, bool is_change, GError **);
const json_t *ctl_client_error(const struct ctl_client *);
void ctl_client_sleep(struct ctl_client *, int64_t ms);

const struct ctl_verb *ctl_verb_find(const char *);
bool ctl_verb_run(
    struct ctl *, const struct ctl_verb *, struct ctl_client *, GError **);

bool ctl_parse_fields(struct ctl *, int *argc, char ***argv, GError **);
char *ctl_fields_help(const struct object_kind *);
char *ctl_compute_key_digest(const char *path, GError **);
int ctl_run_key(struct ctl *, int argc, char **argv);
int ctl_run_explain(struct ctl *, int argc, char **argv);
int ctl_main(struct ev_loop *, int argc, char **argv, GString *out,
    GString *diagnostics);

void ctl_print_json(const struct ctl *, const json_t *);
void ctl_print_objects(GString *, json_t *objects);
void ctl_print_object(GString *, json_t *object);
void ctl_print_status(GString *, json_t *status);
void ctl_print_completion(GString *);

#endif
