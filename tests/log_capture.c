#include "log_capture.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/log.h"

/* Lets the log write to a pipe, at level info. */
void
log_capture_start(struct log_capture *capture)
{
	int fds[2];

	fflush(stdout);
	g_assert_cmpint(pipe(fds), ==, 0);
	capture->saved_fd = dup(STDOUT_FILENO);
	dup2(fds[1], STDOUT_FILENO);
	close(fds[1]);
	capture->read_fd = fds[0];
	fcntl(capture->read_fd, F_SETFL, O_NONBLOCK);
	log_init(LOG_LEVEL_INFO, &(struct log_identity){.process = "p"});
}

/* Gives standard output back. */
void
log_capture_stop(struct log_capture *capture)
{
	dup2(capture->saved_fd, STDOUT_FILENO);
	close(capture->saved_fd);
	close(capture->read_fd);
}

/* Returns what was written since the last call; free it with g_free(). */
char *
log_capture_read(const struct log_capture *capture)
{
	GString *text = g_string_new(NULL);
	char bytes[8192];
	ssize_t length;

	while ((length = read(capture->read_fd, bytes, sizeof(bytes))) > 0)
		g_string_append_len(text, bytes, length);
	return g_string_free(text, FALSE);
}

/* Returns the log's line with this text; NULL if there is none. */
json_t *
log_capture_find(const char *log, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(log, "\n", -1);

	for (size_t i = 0; lines[i] != NULL; i++) {
		json_t *line = json_loads(lines[i], 0, NULL);

		if (g_strcmp0(json_string_value(json_object_get(line, "text")),
			text) == 0)
			return line;
		json_decref(line);
	}
	return NULL;
}

/* Runs the loop until the log has a line with this text. */
void
log_capture_wait(
    const struct log_capture *capture, struct ev_loop *loop, const char *text)
{
	json_t *line = NULL;

	while (line == NULL) {
		g_autofree char *log = NULL;

		ev_run(loop, EVRUN_ONCE);
		log = log_capture_read(capture);
		line = log_capture_find(log, text);
	}
	json_decref(line);
}
