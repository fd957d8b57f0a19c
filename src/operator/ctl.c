#include "operator/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"

#define WAIT_TIMEOUT_S 10

#define ENTRY_VARIABLE "HEATHERTURN_ENTRY"
#define TOKEN_VARIABLE "HEATHERTURN_OPERATOR_TOKEN_FILE"
#define CA_VARIABLE    "HEATHERTURN_CA_FILE"

static const char usage_text[] =
    "Usage: heatherturn ctl VERB [KIND] [ID] [FLAG...]\n\n"
    "  create KIND ID [MEMBERS]      make an object\n"
    "  get KIND ID                   show an object\n"
    "  list [KIND]                   show all objects\n"
    "  update KIND ID [MEMBERS]      change the members that are given\n"
    "  delete KIND ID                remove an object\n"
    "  take-out FAILURE-DOMAIN       let no new work start there\n"
    "  bring-back FAILURE-DOMAIN     let work start there again\n"
    "  status                        show what is in force where\n"
    "  key new | key digest [FILE]   make an API key, or its digest\n"
    "  completion bash               print the shell's completion\n\n"
    "Kinds: organisation, service, failure-domain, rollout, upstream.\n"
    "heatherturn ctl create KIND --help lists the kind's members.\n\n"
    "  --entry=HOST:PORT     operators' address of an entry; may be given\n"
    "                        several times, or in HEATHERTURN_ENTRY\n"
    "  --token-file=FILE     operator token, or in\n"
    "                        HEATHERTURN_OPERATOR_TOKEN_FILE\n"
    "  --ca-file=FILE        authorities of the entries' certificates, PEM;\n"
    "                        calls go by https; or in HEATHERTURN_CA_FILE\n"
    "  --json                print answers and errors as JSON\n"
    "  --wait                after a change: until it is in force everywhere\n"
    "  --timeout=SECONDS     of --wait; default 10\n"
    "  --file=FILE           an object's members as JSON; - for stdin\n"
    "  --version=N           version to change; default: the present one\n"
    "  --help                print this help, or that of a kind's members\n";

/* Reads the flags that all verbs have; others stay in argv. */
static bool
read_flags(struct ctl *ctl, int *argc, char ***argv, GError **error)
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

/* Takes the next word of argv that is no flag; NULL where there is none. */
static const char *
next_word(int *argc, char ***argv)
{
	const char *word;

	if (*argc < 2 || (*argv)[1][0] == '-')
		return NULL;
	word = (*argv)[1];
	(*argv)[1] = (*argv)[0];
	(*argv)++;
	(*argc)--;
	return word;
}

/* Reads the words and the members' flags that follow a verb. */
static bool
read_words(struct ctl *ctl, const struct ctl_verb *verb, int *argc,
    char ***argv, GError **error)
{
	const char *kind = verb->takes_id ? "failure-domain"
					  : next_word(argc, argv);

	if (kind != NULL) {
		ctl->kind = object_kind_by_name(kind);
		if (ctl->kind == NULL) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
			    "'%s' is not a kind of object; see heatherturn ctl "
			    "--help",
			    kind);
			return false;
		}
	}
	if (verb->takes_kind || verb->takes_id)
		ctl->id = next_word(argc, argv);
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
	    !ctl_read_fields(ctl, argc, argv, error))
		return false;
	if (*argc > 1) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "'%s' is not expected here; see heatherturn ctl --help",
		    (*argv)[1]);
		return false;
	}
	return true;
}

/* Prints the general help, or that of a kind's members. */
static int
print_help(const struct ctl *ctl)
{
	g_autofree char *members = ctl->kind == NULL
	    ? NULL
	    : ctl_fields_help(ctl->kind);

	g_string_append(ctl->out, members == NULL ? usage_text : members);
	return EXIT_CODE_OK;
}

/* Prints an error, as JSON where the entry sent one and --json is asked for. */
static int
fail(
    const struct ctl *ctl, const struct ctl_client *client, const GError *error)
{
	const json_t *message = client == NULL ? NULL
					       : ctl_client_error(client);

	if (ctl->json && message != NULL)
		ctl_print_json(ctl, message);
	g_string_append_printf(
	    ctl->notes, "heatherturn ctl: %s\n", error->message);
	return ctl_exit_code(error);
}

/* Finds the verb and does it. */
static int
run_command(struct ctl *ctl, int argc, char **argv)
{
	g_autoptr(GError) error = NULL;
	struct ctl_client *client = NULL;
	const struct ctl_verb *verb = NULL;
	int code = EXIT_CODE_OK;

	ctl->verb = next_word(&argc, &argv);
	if (ctl->verb != NULL)
		verb = ctl_verb_find(ctl->verb);
	if (verb == NULL) {
		if (ctl->help)
			return print_help(ctl);
		if (ctl->verb == NULL) {
			g_string_append(ctl->notes, usage_text);
			return EXIT_CODE_USAGE;
		}
		g_set_error(&error, CTL_ERROR, CTL_ERROR_USAGE,
		    "'%s' is no verb; see heatherturn ctl --help", ctl->verb);
		return fail(ctl, NULL, error);
	}
	if (!read_words(ctl, verb, &argc, &argv, &error))
		return fail(ctl, NULL, error);
	if (ctl->help)
		return print_help(ctl);
	client = ctl_client_new(ctl, &error);
	if (client == NULL || !ctl_verb_run(ctl, verb, client, &error))
		code = fail(ctl, client, error);
	ctl_client_free(client);
	return code;
}

/*
 * Does one ctl command on a loop, and writes what goes to standard output and
 * to standard error. Returns an exit code.
 */
int
ctl_main(
    struct ev_loop *loop, int argc, char **argv, GString *out, GString *notes)
{
	g_autoptr(GError) error = NULL;
	struct ctl ctl = {
	    .loop = loop,
	    .out = out,
	    .notes = notes,
	    .timeout_s = WAIT_TIMEOUT_S,
	};
	int code = EXIT_CODE_OK;

	if (!read_flags(&ctl, &argc, &argv, &error))
		code = fail(&ctl, NULL, error);
	else if (argc > 1 && strcmp(argv[1], "key") == 0)
		code = ctl_key(&ctl, argc, argv);
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

/* heatherturn ctl: one operator's call from a shell. */
int
command_ctl(int argc, char **argv)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GString) notes = g_string_new(NULL);
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int code = ctl_main(loop, argc, argv, out, notes);

	fputs(out->str, stdout);
	fputs(notes->str, stderr);
	ev_loop_destroy(loop);
	return code;
}
