#include "base/http_field.h"

#include <string.h>

#include <glib.h>

/* Returns whether bytes are a token (RFC 9110, 5.6.2), as names are. */
bool
http_field_is_name(const char *bytes, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isalnum(bytes[i]) &&
		    (bytes[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", bytes[i]) == NULL))
			return false;
	}
	return length > 0;
}

/* Returns whether bytes have no NUL and no end of a line, as values may not. */
bool
http_field_is_value(const char *bytes, size_t length)
{
	return memchr(bytes, '\0', length) == NULL &&
	    memchr(bytes, '\r', length) == NULL &&
	    memchr(bytes, '\n', length) == NULL;
}
