/*
 * Head of an HTTP response, from the lines that libcurl passes on, and the
 * framing of its body (RFC 9112, 6.3). libcurl is lenient: it reads a length up
 * to the first byte that is no digit and takes the last of several lengths. A
 * response is rejected here if its head does not say unambiguously where the
 * body ends; it would look complete with a part of it.
 */
#ifndef BASE_RESPONSE_HEAD_H
#define BASE_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Limit on all lines of a call together: those of interim responses, of the
 * final one and of its trailer.
 */
#define RESPONSE_HEAD_MAX_BYTES ((size_t)64 * 1024)

struct http_header {
	const char *name;
	const char *value;
};

/* What the headers of one name say together. */
enum header_match {
	HEADER_ABSENT,
	HEADER_ONE_VALUE, /* also if it is repeated */
	HEADER_CONTRADICTORY, /* several values */
};

enum response_line {
	RESPONSE_LINE_PART, /* more lines follow */
	RESPONSE_LINE_END, /* empty: the head is complete */
	RESPONSE_LINE_INVALID,
	RESPONSE_LINE_TOO_LARGE, /* exceeds RESPONSE_HEAD_MAX_BYTES */
};

struct response_head {
	GArray *headers; /* of struct http_header, in the order received */
	size_t bytes; /* of all lines so far */
	int status; /* of the last status line */
	int reason_class; /* first digit of the status it is of; 0: unknown */
	bool in_head; /* after a status line, before the empty line */
	bool complete; /* that of the final response */
	bool has_length;
	uint64_t length; /* of the body */
	bool chunked;
	const char *fault; /* why a line is invalid; NULL if none was */
};

void response_head_init(struct response_head *);
void response_head_clear(struct response_head *);
enum response_line response_head_add_line(
    struct response_head *, const char *line, size_t length);
enum header_match response_head_find(
    const struct response_head *, const char *name, const char **value);

#endif
