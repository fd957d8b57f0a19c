#include "operator/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"

#define WAIT_TIMEOUT_DEFAULT_S 10

#define ENTRY_VARIABLE "HEATHERTURN_ENTRY"
#define TOKEN_VARIABLE "HEATHERTURN_OPERATOR_TOKEN_FILE"
#define CA_VARIABLE    "HEATHERTURN_CA_FILE"

static const char usage_text[] =
    "Usage: heatherturn ctl VERB [KIND] [ID] [FLAG...]\n\n"
    "  create KIND ID [FIELDS]       create an object\n"
    "  get KIND ID                   show an object\n"
    "  list [KIND]                   show all objects\n"
    "  update KIND ID [FIELDS]       change the given fields\n"
    "  delete KIND ID                delete an object\n"
    "  take-out FAILURE-DOMAIN       stop new work from starting there\n"
    "  bring-back FAILURE-DOMAIN     let work start there again\n"
    "  status                        show the configuration version per "
    "process\n"
    "  explain --gateway=HOST:PORT --host=NAME --path=PATH [REQUEST]\n"
    "                                show where a gateway would send a "
    "request\n"
    "  key new | key digest [FILE]   generate an API key, or print its digest\n"
    "  completion bash               print the completion script for bash\n\n"
    "Kinds: organisation, service, failure-domain, rollout, upstream.\n"
    "heatherturn ctl create KIND --help lists the kind's fields.\n\n"
    "  --entry=HOST:PORT     operator API address of an entry; may be given\n"
    "                        several times, or in HEATHERTURN_ENTRY\n"
    "  --token-file=FILE     file with an operator token, or in\n"
    "                        HEATHERTURN_OPERATOR_TOKEN_FILE\n"
    "  --ca-file=FILE        CA certificates for the entries, PEM;\n"
    "                        enables HTTPS; or in HEATHERTURN_CA_FILE\n"
    "  --json                print responses and errors as JSON\n"
    "  --wait                after a change, wait until it is in force on all\n"
    "                        processes\n"
    "  --timeout=SECONDS     limit for --wait; default 10\n"
    "  --file=FILE           object fields as JSON; - for stdin\n"
    "  --version=N           object version to change, or configuration "
    "version\n"
    "                        for status; default: the current one\n"
    "  --organisation=NAME, --key-file=FILE, --tokens=N, --output=N,\n"
    "  --parts=ID:TOKENS,...\n"
    "                        with explain: what describes the request; "
    "--gateway\n"
    "                        is the gateway's own --http\n"
    "  --help                print this help, or the fields of a kind\n";

/* Parses the flags common to all verbs and removes them from argv. */
static bool
parse_flags(struct ctl *ctl, int *argc, char ***argv, GError **error)
{
	GOptionEntry entries[] = {
	    {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &ctl->entries, NULL,
		NULL},
	    {"token-file", 0, 0, G_OPTION_ARG_STRING, &ctl->token_file, NULL,
		NULL},
	    {"ca-file", 0, 0, G_OPTION_ARG_STRING, &ctl->ca_file, NULL, NULL},
	    {"file", 0, 0, G_OPTION_ARG_STRING, &ctl->file, NULL, NULL},
	    {"version", 0, 0, G_OPTION_ARG_INT64, &ctl->version, NULL, NULL},
	    {"timeout", 0, 0, G_OPTION_ARG_INT, &ctl->timeout_s, NULL, NULL},
	    {"json", 0, 0, G_OPTION_ARG_NONE, &ctl->json, NULL, NULL},
	    {"wait", 0, 0, G_OPTION_ARG_NONE, &ctl->wait, NULL, NULL},
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &ctl->help, NULL, NULL},
	    {NULL},
	};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) reason = NULL;

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_ignore_unknown_options(context, TRUE);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &reason)) {
		g_set_error(
		    error, CTL_ERROR, CTL_ERROR_USAGE, "%s", reason->message);
		return false;
	}
	if (ctl->entries == NULL && g_getenv(ENTRY_VARIABLE) != NULL)
		ctl->entries = g_strsplit(g_getenv(ENTRY_VARIABLE), ",", -1);
	if (ctl->token_file == NULL)
		ctl->token_file = g_strdup(g_getenv(TOKEN_VARIABLE));
	if (ctl->ca_file == NULL)
		ctl->ca_file = g_strdup(g_getenv(CA_VARIABLE));
	return true;
}

/* Removes and returns the next argument; NULL if it is a flag or missing. */
static const char *
next_argument(int *argc, char ***argv)
{
	const char *argument;

	if (*argc < 2 || (*argv)[1][0] == '-')
		return NULL;
	argument = (*argv)[1];
	(*argv)[1] = (*argv)[0];
	(*argv)++;
	(*argc)--;
	return argument;
}

/* Parses the arguments and field flags that follow a verb. */
static bool
parse_arguments(struct ctl *ctl, const struct ctl_verb *verb, int *argc,
    char ***argv, GError **error)
{
	const char *kind = NULL;

	if (verb->takes_id)
		kind = "failure-domain";
	else if (verb->takes_kind || verb->may_take_kind)
		kind = next_argument(argc, argv);
	if (kind != NULL) {
		ctl->kind = object_kind_find_by_name(kind);
		if (ctl->kind == NULL) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
			    "'%s' is not a kind of object; see heatherturn ctl "
			    "--help",
			    kind);
			return false;
		}
	}
	if (verb->takes_kind || verb->takes_id)
		ctl->id = next_argument(argc, argv);
	if (ctl->help) {
		if (verb->takes_id)
			ctl->kind = NULL;
		return true;
	}
	if ((verb->takes_kind || verb->takes_id) && ctl->id == NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "%s needs %s; see heatherturn ctl --help", verb->name,
		    verb->takes_kind ? "a kind and an id" : "an id");
		return false;
	}
	if ((strcmp(verb->name, "create") == 0 ||
		strcmp(verb->name, "update") == 0) &&
	    !ctl_parse_fields(ctl, argc, argv, error))
		return false;
	if (*argc > 1) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "'%s' is not expected here; see heatherturn ctl --help",
		    (*argv)[1]);
		return false;
	}
	return true;
}

/* Prints the general help, or that of a kind's fields. */
static int
print_help(const struct ctl *ctl)
{
	g_autofree char *fields_help = ctl->kind == NULL
	    ? NULL
	    : ctl_fields_help(ctl->kind);

	g_string_append(
	    ctl->out, fields_help == NULL ? usage_text : fields_help);
	return EXIT_CODE_OK;
}

/* Prints an error, with --json also the entry's Error message; returns the exit
 * code. */
static int
report_error(
    const struct ctl *ctl, const struct ctl_client *client, const GError *error)
{
	const json_t *message = client == NULL ? NULL
					       : ctl_client_error(client);

	if (ctl->json && message != NULL)
		ctl_print_json(ctl, message);
	g_string_append_printf(
	    ctl->diagnostics, "heatherturn ctl: %s\n", error->message);
	return ctl_exit_code(error);
}

/* Parses and runs a verb; returns the exit code. */
static int
run_command(struct ctl *ctl, int argc, char **argv)
{
	g_autoptr(GError) error = NULL;
	struct ctl_client *client = NULL;
	const struct ctl_verb *verb = NULL;
	int code = EXIT_CODE_OK;

	ctl->verb = next_argument(&argc, &argv);
	if (ctl->verb != NULL)
		verb = ctl_verb_find(ctl->verb);
	if (verb == NULL) {
		if (ctl->help)
			return print_help(ctl);
		if (ctl->verb == NULL) {
			g_string_append(ctl->diagnostics, usage_text);
			return EXIT_CODE_USAGE;
		}
		g_set_error(&error, CTL_ERROR, CTL_ERROR_USAGE,
		    "'%s' is not a verb; see heatherturn ctl --help",
		    ctl->verb);
		return report_error(ctl, NULL, error);
	}
	if (!parse_arguments(ctl, verb, &argc, &argv, &error))
		return report_error(ctl, NULL, error);
	if (ctl->help)
		return print_help(ctl);
	client = ctl_client_new(ctl, &error);
	if (client == NULL || !ctl_verb_run(ctl, verb, client, &error))
		code = report_error(ctl, client, error);
	ctl_client_free(client);
	return code;
}

/*
 * Runs one ctl command on a loop and appends to out and diagnostics the texts
 * for standard output and standard error. Returns an exit code.
 */
int
ctl_main(struct ev_loop *loop, int argc, char **argv, GString *out,
    GString *diagnostics)
{
	g_autoptr(GError) error = NULL;
	struct ctl ctl = {
	    .loop = loop,
	    .out = out,
	    .diagnostics = diagnostics,
	    .timeout_s = WAIT_TIMEOUT_DEFAULT_S,
	};
	int code = EXIT_CODE_OK;

	if (!parse_flags(&ctl, &argc, &argv, &error))
		code = report_error(&ctl, NULL, error);
	else if (argc > 1 && strcmp(argv[1], "key") == 0)
		code = ctl_run_key(&ctl, argc, argv);
	else if (argc > 1 && strcmp(argv[1], "explain") == 0 && !ctl.help)
		code = ctl_run_explain(&ctl, argc, argv);
	else if (argc == 3 && strcmp(argv[1], "completion") == 0 &&
	    strcmp(argv[2], "bash") == 0)
		ctl_print_completion(out);
	else
		code = run_command(&ctl, argc, argv);
	g_strfreev(ctl.entries);
	g_free(ctl.token_file);
	g_free(ctl.ca_file);
	g_free(ctl.file);
	json_decref(ctl.fields);
	return code;
}

/* heatherturn ctl: calls the operator API from a shell. */
int
command_ctl(int argc, char **argv)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GString) diagnostics = g_string_new(NULL);
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int code = ctl_main(loop, argc, argv, out, diagnostics);

	fputs(out->str, stdout);
	fputs(diagnostics->str, stderr);
	ev_loop_destroy(loop);
	return code;
}
