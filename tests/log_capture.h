/* Reads what the log of the test process writes, in place of its output. */
#ifndef TESTS_LOG_CAPTURE_H
#define TESTS_LOG_CAPTURE_H

/* The log's output, and where standard output went before. */
struct log_capture {
	int read_fd;
	int saved_fd;
};

void log_capture_start(struct log_capture *);
void log_capture_stop(struct log_capture *);
char *log_capture_read(const struct log_capture *);

#endif
