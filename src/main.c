/*
 * Entry point of the binary: runs the subcommand named by argv[1]. Each of the
 * roles entry, gateway and sidecar is a process of its own; see commands[].
 */
#include <stdio.h>
#include <string.h>

#include "base/exit_code.h"
#include "commands.h"

static const struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} commands[] = {
    {"entry", command_entry, "serve callers and operators"},
    {"gateway", command_gateway,
	"serve callers directly from upstreams, by the platform's objects"},
    {"sidecar", command_sidecar,
	"run beside one upstream and serve its requests"},
    {"ctl", command_ctl, "call the operator API"},
    {"check", command_check, "print the effective settings and their errors"},
    {"explain", command_explain,
	"print one request's timeline, or a summary, from log files"},
};

/* Prints the list of subcommands. */
static void
print_usage(FILE *out)
{
	fprintf(out, "Usage: heatherturn COMMAND [OPTION...]\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(
		    out, "  %-8s %s\n", commands[i].name, commands[i].summary);
	fprintf(out,
	    "\nheatherturn COMMAND --help lists a command's options.\n"
	    "heatherturn --version prints the version.\n");
}

int
main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return EXIT_CODE_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_usage(stdout);
		return EXIT_CODE_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		puts("heatherturn " HEATHERTURN_VERSION);
		return EXIT_CODE_OK;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr,
	    "heatherturn: '%s' is not a command; see heatherturn --help\n",
	    argv[1]);
	return EXIT_CODE_USAGE;
}
