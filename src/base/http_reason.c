#include "base/http_reason.h"

#include <string.h>

#include <glib.h>
#include <microhttpd.h>

#define STATUS_MIN	 100
#define STATUS_MAX	 599
#define STATUS_PER_CLASS 100
/* What the library returns for a status without a phrase. */
#define NO_REASON "Unknown"

/*
 * Returns the first digit of the status whose standard reason phrase this is,
 * ignoring case; 0 if it is that of none.
 */
int
http_reason_class(const char *reason, size_t length)
{
	for (unsigned int status = STATUS_MIN; status <= STATUS_MAX; status++) {
		const char *standard = MHD_get_reason_phrase_for(status);

		if (strcmp(standard, NO_REASON) != 0 &&
		    strlen(standard) == length &&
		    g_ascii_strncasecmp(standard, reason, length) == 0)
			return (int)(status / STATUS_PER_CLASS);
	}
	return 0;
}
