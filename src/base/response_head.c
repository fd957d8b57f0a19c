#include "base/response_head.h"

#include <string.h>

#include "base/http_field.h"
#include "base/http_reason.h"

#define VERSION_1_0	  "HTTP/1.0 "
#define VERSION_1_1	  "HTTP/1.1 "
#define VERSION_LENGTH	  strlen(VERSION_1_1)
#define STATUS_DIGITS	  3
#define STATUS_NO_CONTENT 204
#define CONTENT_LENGTH	  "Content-Length"
#define TRANSFER_ENCODING "Transfer-Encoding"
#define CHUNKED		  "chunked"
#define TRAILER		  "Trailer"

/* Frees a header's strings. */
static void
header_clear(void *item)
{
	struct http_header *header = item;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

/* Initialises a head without any line. */
void
response_head_init(struct response_head *head)
{
	*head = (struct response_head){
	    .headers = g_array_new(FALSE, FALSE, sizeof(struct http_header))};
	g_array_set_clear_func(head->headers, header_clear);
}

/* Frees the headers. */
void
response_head_clear(struct response_head *head)
{
	if (head->headers != NULL)
		g_array_unref(head->headers);
	head->headers = NULL;
}

/* Records why a line is invalid. */
static enum response_line
reject(struct response_head *head, const char *fault)
{
	head->fault = fault;
	return RESPONSE_LINE_INVALID;
}

/* Removes a line's end, of one or two characters. */
static size_t
without_line_end(const char *line, size_t length)
{
	if (length > 0 && line[length - 1] == '\n')
		length--;
	if (length > 0 && line[length - 1] == '\r')
		length--;
	return length;
}

/*
 * Parses a status line (RFC 9112, 4); false if it is none. The blank before the
 * reason phrase may be missing where there is no phrase.
 */
static bool
read_status_line(struct response_head *head, const char *line, size_t length)
{
	const char *status = line + VERSION_LENGTH;
	size_t start = VERSION_LENGTH + STATUS_DIGITS;

	if (length < start ||
	    (memcmp(line, VERSION_1_1, VERSION_LENGTH) != 0 &&
		memcmp(line, VERSION_1_0, VERSION_LENGTH) != 0))
		return false;
	head->status = 0;
	for (size_t i = 0; i < STATUS_DIGITS; i++) {
		if (!g_ascii_isdigit(status[i]))
			return false;
		head->status = head->status * 10 + (status[i] - '0');
	}
	if (length > start && line[start++] != ' ')
		return false;
	head->reason_class = http_reason_class(
	    head->status, line + start, length - start);
	return true;
}

/* Begins the head of an interim or the final response. */
static enum response_line
begin(struct response_head *head, const char *line, size_t length)
{
	if (!read_status_line(head, line, without_line_end(line, length)))
		return reject(head, "no valid status line");
	g_array_set_size(head->headers, 0);
	head->in_head = true;
	head->complete = false;
	head->has_length = false;
	head->length = 0;
	head->chunked = false;
	return RESPONSE_LINE_PART;
}

/*
 * Parses a Content-Length. It may be a list that repeats one length, also over
 * several lines; any other text makes the framing invalid (RFC 9112, 6.3).
 */
static bool
add_length(struct response_head *head, const char *value)
{
	g_auto(GStrv) parts = g_strsplit(value, ",", -1);
	uint64_t length;

	if (parts[0] == NULL)
		return false;
	for (size_t i = 0; parts[i] != NULL; i++) {
		const char *text = g_strstrip(parts[i]);

		if (!g_ascii_isdigit(text[0]) ||
		    !g_ascii_string_to_unsigned(
			text, 10, 0, INT64_MAX, &length, NULL) ||
		    (head->has_length && head->length != length))
			return false;
		head->has_length = true;
		head->length = length;
	}
	return true;
}

/*
 * Checks a header that frames the body; any other one is valid. One with blanks
 * after its name is not known to libcurl, which reads the body without it.
 */
static enum response_line
check_framing(struct response_head *head, const struct http_header *header,
    bool has_blanks)
{
	if (has_blanks &&
	    (g_ascii_strcasecmp(header->name, CONTENT_LENGTH) == 0 ||
		g_ascii_strcasecmp(header->name, TRANSFER_ENCODING) == 0))
		return reject(head, "a blank before the colon of the framing");
	if (g_ascii_strcasecmp(header->name, CONTENT_LENGTH) == 0) {
		if (!add_length(head, header->value))
			return reject(head, "invalid Content-Length");
	} else if (g_ascii_strcasecmp(header->name, TRANSFER_ENCODING) == 0) {
		if (head->chunked ||
		    g_ascii_strcasecmp(header->value, CHUNKED) != 0)
			return reject(
			    head, "Transfer-Encoding other than chunked");
		head->chunked = true;
	}
	if (head->has_length && head->chunked)
		return reject(head, "both a length and chunks");
	return RESPONSE_LINE_PART;
}

/*
 * Adds a header line without its line end. Blanks after the name are removed
 * (RFC 9112, 5.1).
 */
static enum response_line
add_field(struct response_head *head, const char *line, size_t length)
{
	const char *colon = memchr(line, ':', length);
	size_t start = colon == NULL ? 0 : (size_t)(colon - line);
	size_t name_length = start;
	struct http_header header;

	while (name_length > 0 &&
	    (line[name_length - 1] == ' ' || line[name_length - 1] == '\t'))
		name_length--;
	if (!http_field_is_name(line, name_length))
		return reject(head, "a header line without a valid name");
	if (!http_field_is_value(line, length))
		return reject(head, "a header with NUL or CR in its value");
	header.name = g_strndup(line, name_length);
	header.value = g_strstrip(g_strndup(colon + 1, length - start - 1));
	g_array_append_val(head->headers, header);
	return check_framing(head, &header, name_length < start);
}

/*
 * Checks a line of the trailer, which is ignored. Behind a chunk whose size is
 * 0 by a wrong byte, the rest of the body reads as a trailer; no head announces
 * that one (RFC 9110, 6.6.2).
 */
static enum response_line
check_trailer(struct response_head *head, size_t length)
{
	const char *names;

	if (length > 0 &&
	    response_head_find(head, TRAILER, &names) == HEADER_ABSENT)
		return reject(head, "a trailer that was not announced");
	return RESPONSE_LINE_PART;
}

/* Adds a line of the head or of the trailer, its line end included. */
enum response_line
response_head_add_line(
    struct response_head *head, const char *line, size_t length)
{
	head->bytes += length;
	if (head->bytes > RESPONSE_HEAD_MAX_BYTES)
		return RESPONSE_LINE_TOO_LARGE;
	if (!head->in_head && !head->complete)
		return begin(head, line, length);
	length = without_line_end(line, length);
	if (head->complete)
		return check_trailer(head, length);
	if (length > 0)
		return add_field(head, line, length);
	if (head->status == STATUS_NO_CONTENT &&
	    (head->chunked || head->length > 0))
		return reject(head, "a length for a status without a body");
	head->in_head = false;
	return RESPONSE_LINE_END;
}

/*
 * Finds the headers of this name, ignoring case. The value is that of the last
 * one; NULL if there is none.
 */
enum header_match
response_head_find(
    const struct response_head *head, const char *name, const char **value)
{
	enum header_match match = HEADER_ABSENT;
	const struct http_header *header;

	*value = NULL;
	for (guint i = 0; i < head->headers->len; i++) {
		header = &g_array_index(head->headers, struct http_header, i);
		if (g_ascii_strcasecmp(header->name, name) != 0)
			continue;
		if (*value != NULL && strcmp(*value, header->value) != 0)
			match = HEADER_CONTRADICTORY;
		else if (match == HEADER_ABSENT)
			match = HEADER_ONE_VALUE;
		*value = header->value;
	}
	return match;
}
