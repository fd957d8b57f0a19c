#include "base/http_reason.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <microhttpd.h>

#define STATUS_MIN	 100
#define STATUS_MAX	 599
#define STATUS_PER_CLASS 100
/* What the library returns for a status without a phrase. */
#define NO_REASON "Unknown"

/* Returns whether this is a status's standard reason phrase, ignoring case. */
static bool
is_reason_of(unsigned int status, const char *reason, size_t length)
{
	const char *standard = MHD_get_reason_phrase_for(status);

	return strlen(standard) == length &&
	    g_ascii_strncasecmp(standard, reason, length) == 0 &&
	    strcmp(standard, NO_REASON) != 0;
}

/*
 * Returns the first digit of a status whose standard reason phrase this is, of
 * the status before it if it is that one's; 0 if it is that of none.
 */
int
http_reason_class(int status, const char *reason, size_t length)
{
	if (length == 0)
		return 0;
	if (is_reason_of((unsigned int)status, reason, length))
		return status / STATUS_PER_CLASS;
	for (unsigned int other = STATUS_MIN; other <= STATUS_MAX; other++) {
		if (is_reason_of(other, reason, length))
			return (int)other / STATUS_PER_CLASS;
	}
	return 0;
}
