/* Reads what the log of the test process writes, in place of its output. */
#ifndef TESTS_LOG_CAPTURE_H
#define TESTS_LOG_CAPTURE_H

#include <ev.h>
#include <jansson.h>

/* The log's output, and where standard output went before. */
struct log_capture {
	int read_fd;
	int saved_fd;
};

void log_capture_start(struct log_capture *);
void log_capture_stop(struct log_capture *);
char *log_capture_read(const struct log_capture *);
json_t *log_capture_find(const char *log, const char *text);
void log_capture_wait(
    const struct log_capture *, struct ev_loop *, const char *text);

#endif
