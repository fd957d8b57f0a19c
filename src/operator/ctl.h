/*
 * heatherturn ctl: the operators' calls from a shell. The parts share one
 * struct of what was asked for and one domain of errors, each with its exit
 * code.
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
	CTL_ERROR_USAGE,
	CTL_ERROR_FILE, /* can't be read, or not JSON */
	CTL_ERROR_REJECTED, /* the entry said no */
	CTL_ERROR_UNREACHABLE, /* no entry, or the platform behind it */
	CTL_ERROR_DENIED,
	CTL_ERROR_CONFLICT,
	CTL_ERROR_OUTCOME_UNKNOWN, /* stored or not */
	CTL_ERROR_TIMEOUT, /* not in force in time */
	CTL_ERROR_BAD_RESPONSE, /* the answer is not the interface's */
};

/* The entries that are called, one after the other. */
struct ctl_client;

/* What the command line asks for. */
struct ctl {
	struct ev_loop *loop;
	GString *out; /* what goes to standard output */
	GString *diagnostics; /* and to standard error */
	char **entries; /* HOST:PORT */
	char *token_file;
	char *ca_file; /* calls go by https where it is set */
	char *file; /* an object's members as JSON; - for standard input */
	gint64 version;
	gint timeout_s;
	gboolean json;
	gboolean wait;
	gboolean help;
	const char *verb;
	const struct object_kind *kind;
	const char *id;
	json_t *fields; /* members that were given */
};

/* What a verb does; takes says which words follow it. */
struct ctl_verb {
	const char *name;
	bool takes_kind; /* a kind, then an id */
	bool takes_id; /* an id alone */
	json_t *(*run)(struct ctl *, struct ctl_client *, GError **);
	const char *done_text; /* what a change did; NULL for no change */
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
int ctl_main(struct ev_loop *, int argc, char **argv, GString *out,
    GString *diagnostics);

void ctl_print_json(const struct ctl *, const json_t *);
void ctl_print_objects(GString *, json_t *objects);
void ctl_print_object(GString *, json_t *object);
void ctl_print_status(GString *, json_t *status);
void ctl_print_completion(GString *);

#endif
