#include "base/log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"

#define TIMESTAMP_MAX_BYTES 40
/*
 * Lines per second at levels info and debug; warnings and errors have the same
 * limit of their own. A request logs two or three lines, and a process serves
 * some hundreds of requests per second.
 */
#define LOG_LINES_PER_S_MAX 2000

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static enum log_level threshold = LOG_LEVEL_INFO;
static struct log_identity identity;
static int output = STDERR_FILENO; /* until log_init() */

/* Lines counted in the current second. */
static struct {
	time_t second;
	unsigned int lines;
	unsigned int warnings; /* of levels error and warn */
} rate;

static uint64_t unreported_drops; /* that no line written has reported */

/* Lines that are written together. */
static struct {
	bool deferred; /* until log_flush() */
	char text[PIPE_BUF];
	size_t length;
	unsigned int lines;
	uint64_t drops; /* of unreported_drops, reported by these lines */
} batch;

METRIC_DEFINE(dropped_lines, METRIC_COUNTER, "heatherturn_log_lines_dropped",
    NULL, "Log lines that were over the rate or that nobody took.");

/*
 * Sets the least severe level that is logged and the identity in each line, and
 * switches the log from standard error to standard output. The identity's
 * strings must outlive the last log line.
 */
void
log_init(enum log_level level, const struct log_identity *process_identity)
{
	threshold = level;
	identity = *process_identity;
	output = STDOUT_FILENO;
}

/* Returns whether lines of this level are logged. */
bool
log_enabled(enum log_level level)
{
	return level <= threshold;
}

/* Parses a level's name; false if it is unknown. */
bool
log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* Formats the wall time as RFC 3339 with microseconds. */
static void
format_timestamp(char *out, size_t size)
{
	struct timespec now;
	struct tm utc;
	size_t used;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	used = strftime(out, size, "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(out + used, size - used, ".%06ldZ", now.tv_nsec / 1000);
}

/* Creates a line with the members that every line has. */
static json_t *
make_line(enum log_level level, const char *module, const char *text)
{
	char timestamp[TIMESTAMP_MAX_BYTES];

	format_timestamp(timestamp, sizeof(timestamp));
	return json_pack("{s:s, s:s, s:s*, s:s*, s:s*, s:s, s:s}", "time",
	    timestamp, "level", level_names[level], "process", identity.process,
	    "role", identity.role, "failure_domain", identity.failure_domain,
	    "module", module, "text", text);
}

/* Counts a line and returns whether it is within the rate limit. */
static bool
is_within_rate(enum log_level level)
{
	struct timespec now;
	unsigned int *lines = level <= LOG_LEVEL_WARN ? &rate.warnings
						      : &rate.lines;

	clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec != rate.second) {
		rate.second = now.tv_sec;
		rate.lines = 0;
		rate.warnings = 0;
	}
	return ++*lines <= LOG_LINES_PER_S_MAX;
}

/*
 * Writes the batch if that doesn't block: a pipe that polls as writable accepts
 * PIPE_BUF bytes. Returns false if it was not written.
 */
static bool
write_batch(void)
{
	struct pollfd ready = {.fd = output, .events = POLLOUT};

	if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
		return false;
	return write(output, batch.text, batch.length) == (ssize_t)batch.length;
}

/* Counts dropped lines. */
static void
drop_lines(unsigned int count)
{
	unreported_drops += count;
	if (count > 0)
		metric_add(&dropped_lines, count);
}

/* Writes the lines that wait, or drops them if that would block. */
void
log_flush(void)
{
	enum loop_work previous = loop_work_begin(LOOP_WORK_LOG);

	if (batch.length > 0 && write_batch())
		unreported_drops -= batch.drops;
	else
		drop_lines(batch.lines);
	batch.length = 0;
	batch.lines = 0;
	batch.drops = 0;
	loop_work_end(previous);
}

/*
 * Sets whether lines wait for log_flush(), so that one write takes all lines of
 * an iteration of the event loop. Errors never wait.
 */
void
log_set_deferred(bool deferred)
{
	batch.deferred = deferred;
	if (!deferred)
		log_flush();
}

/* Adds a line to the batch; drops it if it is longer than one write. */
static void
add_to_batch(const char *line, uint64_t reported_drops)
{
	size_t length = strlen(line);

	if (length > sizeof(batch.text)) {
		drop_lines(1);
		return;
	}
	if (batch.length + length > sizeof(batch.text))
		log_flush();
	memcpy(batch.text + batch.length, line, length);
	batch.length += length;
	batch.lines++;
	batch.drops += reported_drops;
}

/* Encodes a line with its fields; free with g_free(). */
static char *
render(json_t *line, uint64_t drops, const char *format, va_list args)
{
	json_error_t error;
	json_t *fields = json_vpack_ex(&error, 0, format, args);
	char *json;
	char *out;

	if (fields != NULL)
		json_object_update(line, fields);
	else
		json_object_set_new(line, "log_fault", json_string(error.text));
	if (drops > 0)
		json_object_set_new(
		    line, "lines_dropped", json_integer((json_int_t)drops));
	json = json_dumps(line, JSON_COMPACT);
	out = json == NULL ? NULL : g_strconcat(json, "\n", NULL);
	free(json);
	json_decref(fields);
	return out;
}

/*
 * Writes one line. The fields are packed with jansson's format; an invalid
 * format is reported in the line itself. Never blocks: lines over the rate
 * limit, and those that can't be written at once, are dropped and counted.
 */
void
log_write(enum log_level level, const char *module, const char *text,
    const char *format, ...)
{
	enum loop_work previous = loop_work_begin(LOOP_WORK_LOG);
	uint64_t drops = unreported_drops - batch.drops;
	json_t *line;
	va_list args;
	g_autofree char *out = NULL;

	if (!is_within_rate(level)) {
		drop_lines(1);
		goto out;
	}
	line = make_line(level, module, text);
	va_start(args, format);
	out = render(line, drops, format, args);
	va_end(args);
	json_decref(line);
	if (out != NULL)
		add_to_batch(out, drops);
	else
		drop_lines(1);
	if (!batch.deferred || level == LOG_LEVEL_ERROR)
		log_flush();
out:
	loop_work_end(previous);
}
