#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/exit_code.h"
#include "commands.h"
#include "operator/timeline.h"

static const char usage_text[] =
    "Usage: heatherturn explain REQUEST-ID FILE...\n"
    "       heatherturn explain --upstream ID FILE...\n\n"
    "Prints the timeline of one request or of one upstream from the log files "
    "of\n"
    "any number of processes; - stands for standard input.\n";

/* Adds the lines of a file to a timeline; false if it can't be opened. */
static bool
read_file(struct timeline *timeline, const char *path)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (file == NULL) {
		fprintf(stderr, "heatherturn explain: '%s' can't be read: %s\n",
		    path, strerror(errno));
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		timeline_add_line(timeline, line);
	free(line);
	if (file != stdin)
		fclose(file);
	return true;
}

/* Prints a timeline; returns the exit code. */
static int
print_timeline(struct timeline *timeline, const char *id)
{
	g_autoptr(GString) text = g_string_new(NULL);

	timeline_write(timeline, text);
	fputs(text->str, stdout);
	if (timeline_unreadable_count(timeline) > 0)
		fprintf(stderr,
		    "heatherturn explain: skipped %zu lines that could not "
		    "be parsed\n",
		    timeline_unreadable_count(timeline));
	if (timeline_line_count(timeline) > 0)
		return EXIT_CODE_OK;
	fprintf(
	    stderr, "heatherturn explain: no log line has the id '%s'\n", id);
	return EXIT_CODE_FAILED;
}

/* heatherturn explain: prints the timeline of one request or upstream. */
int
command_explain(int argc, char **argv)
{
	const char *member = "request";
	struct timeline *timeline;
	int first = 1;
	int code;

	if (argc > 1 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		fputs(usage_text, stdout);
		return EXIT_CODE_OK;
	}
	if (argc > 1 && strcmp(argv[1], "--upstream") == 0) {
		member = "upstream";
		first = 2;
	}
	if (argc < first + 2 || argv[first][0] == '\0' ||
	    argv[first][0] == '-') {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	timeline = timeline_new(member, argv[first]);
	for (int i = first + 1; i < argc; i++) {
		if (!read_file(timeline, argv[i])) {
			timeline_free(timeline);
			return EXIT_CODE_USAGE;
		}
	}
	code = print_timeline(timeline, argv[first]);
	timeline_free(timeline);
	return code;
}
