#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/exit_code.h"
#include "commands.h"
#include "operator/summary.h"
#include "operator/timeline.h"

/* A longer line is read as far as this and so counts as unreadable. */
#define LINE_MAX_BYTES	   (1024 * 1024)
#define LINES_PER_PROGRESS 20000

static const char usage_text[] =
    "Usage: heatherturn explain REQUEST-ID FILE...\n"
    "       heatherturn explain --upstream ID FILE...\n"
    "       heatherturn explain --summary [FILE...]\n\n"
    "Prints the timeline of one request or of one upstream from the log files "
    "of\n"
    "any number of processes, or counts how requests ended and why; - stands "
    "for\n"
    "standard input, which --summary reads if there are no files.\n";

/* What the lines of the files are added to. */
struct reader {
	void (*add_line)(void *data, const char *line);
	void *data;
	char *line; /* of LINE_MAX_BYTES */
	size_t line_count;
	bool shows_progress;
};

/* Adds a line to a timeline. */
static void
add_to_timeline(void *data, const char *line)
{
	timeline_add_line(data, line);
}

/* Adds a line to a summary. */
static void
add_to_summary(void *data, const char *line)
{
	summary_add_line(data, line);
}

/* Reads a line, and cuts it at LINE_MAX_BYTES; false at the end of the file. */
static bool
read_line(char *line, FILE *file)
{
	size_t length = 0;
	int c;

	while ((c = getc_unlocked(file)) != EOF && c != '\n') {
		if (length < LINE_MAX_BYTES - 1)
			line[length++] = (char)c;
	}
	line[length] = '\0';
	return c != EOF || length > 0;
}

/* Shows how far reading is, over what was shown before. */
static void
show_progress(const struct reader *reader, int file, int file_count)
{
	if (reader->shows_progress)
		fprintf(stderr, "\rfile %d of %d, %zu lines", file, file_count,
		    reader->line_count);
}

/* Reads one file; false if it can't be read. */
static bool
read_file(struct reader *reader, const char *path, int number, int file_count)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	bool failed = file == NULL;
	int error = errno;

	while (!failed && read_line(reader->line, file)) {
		reader->add_line(reader->data, reader->line);
		if (++reader->line_count % LINES_PER_PROGRESS == 0)
			show_progress(reader, number, file_count);
	}
	if (!failed && ferror(file)) {
		error = errno;
		failed = true;
	}
	if (file != NULL && file != stdin)
		fclose(file);
	if (failed)
		fprintf(stderr,
		    "%sheatherturn explain: '%s' can't be read: %s\n",
		    reader->shows_progress ? "\r\033[K" : "", path,
		    strerror(error));
	return !failed;
}

/* Reads all files, with progress on a terminal; false if one can't be read. */
static bool
read_files(
    void (*add_line)(void *, const char *), void *data, int count, char **paths)
{
	struct reader reader = {
	    .add_line = add_line,
	    .data = data,
	    .line = g_malloc(LINE_MAX_BYTES),
	    .shows_progress = isatty(STDERR_FILENO) == 1,
	};
	bool succeeded = true;

	for (int i = 0; i < count && succeeded; i++)
		succeeded = read_file(&reader, paths[i], i + 1, count);
	if (succeeded && reader.shows_progress)
		fputs("\r\033[K", stderr);
	g_free(reader.line);
	return succeeded;
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

/* Prints the timeline of an id; returns the exit code. */
static int
explain_id(const char *member, const char *id, int count, char **paths)
{
	struct timeline *timeline = timeline_new(member, id);
	int code = EXIT_CODE_USAGE;

	if (read_files(add_to_timeline, timeline, count, paths))
		code = print_timeline(timeline, id);
	timeline_free(timeline);
	return code;
}

/* Prints a summary; returns the exit code, a failure if no line was readable.
 */
static int
print_summary(const struct summary *summary)
{
	g_autoptr(GString) text = g_string_new(NULL);

	summary_write(summary, text);
	fputs(text->str, stdout);
	if (summary_line_count(summary) > summary_unreadable_count(summary))
		return EXIT_CODE_OK;
	fputs("heatherturn explain: no line could be read as a log line\n",
	    stderr);
	return EXIT_CODE_FAILED;
}

/* Prints the summary of files, or of standard input; returns the exit code. */
static int
explain_summary(int count, char **paths)
{
	char input[] = "-";
	char *input_paths[] = {input};
	struct summary *summary = summary_new();
	int code = EXIT_CODE_USAGE;

	if (count == 0) {
		count = 1;
		paths = input_paths;
	}
	if (read_files(add_to_summary, summary, count, paths))
		code = print_summary(summary);
	summary_free(summary);
	return code;
}

/* heatherturn explain: prints the timeline of one id, or a summary. */
int
command_explain(int argc, char **argv)
{
	const char *member = "request";
	int first = 1;

	if (argc > 1 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		fputs(usage_text, stdout);
		return EXIT_CODE_OK;
	}
	if (argc > 1 && strcmp(argv[1], "--summary") == 0)
		return explain_summary(argc - 2, argv + 2);
	if (argc > 1 && strcmp(argv[1], "--upstream") == 0) {
		member = "upstream";
		first = 2;
	}
	if (argc < first + 2 || argv[first][0] == '\0' ||
	    argv[first][0] == '-') {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	return explain_id(
	    member, argv[first], argc - first - 1, argv + first + 1);
}
