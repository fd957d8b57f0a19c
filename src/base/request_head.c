#include "base/request_head.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base/http_field.h"

/* What the lines up to now have. */
struct head_check {
	const char *fault; /* NULL if there is none */
	const char *length; /* Content-Length; or NULL */
	bool has_coding; /* Transfer-Encoding */
	bool has_host;
};

/* Checks one header line, and against those before; MHD_NO ends the check. */
static enum MHD_Result
check_line(void *data, enum MHD_ValueKind kind, const char *name,
    size_t name_length, const char *value, size_t value_length)
{
	struct head_check *check = data;

	if (!http_field_is_name(name, name_length)) {
		check->fault = "a header line without a valid name";
	} else if (value == NULL) {
		return MHD_YES;
	} else if (!http_field_is_value(value, value_length)) {
		check->fault = "a header with NUL, CR or LF in its value";
	} else if (g_ascii_strcasecmp(name, MHD_HTTP_HEADER_HOST) == 0) {
		if (check->has_host)
			check->fault = "several hosts";
		check->has_host = true;
	} else if (g_ascii_strcasecmp(
		       name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
		if (check->has_coding)
			check->fault = "several transfer codings";
		check->has_coding = true;
	} else if (g_ascii_strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) ==
	    0) {
		if (check->length != NULL && strcmp(check->length, value) != 0)
			check->fault = "several lengths";
		check->length = value;
	}
	return check->fault == NULL ? MHD_YES : MHD_NO;
}

/*
 * Returns why the header lines of a request are ambiguous (RFC 9112, 3.2, 5.1,
 * 6.1 and 6.3); NULL if they are not.
 */
const char *
request_head_find_fault(struct MHD_Connection *connection, const char *version)
{
	struct head_check check = {NULL};

	MHD_get_connection_values_n(
	    connection, MHD_HEADER_KIND, check_line, &check);
	if (check.fault != NULL)
		return check.fault;
	if (check.has_coding && check.length != NULL)
		return "both a length and chunks";
	if (check.has_coding && strcmp(version, MHD_HTTP_VERSION_1_1) != 0)
		return "chunks before HTTP/1.1";
	return NULL;
}
