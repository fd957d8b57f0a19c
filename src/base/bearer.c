#include "base/bearer.h"

#include <string.h>

#include <glib.h>

#define SCHEME "Bearer "

/*
 * Returns the token of an Authorization header's value, which any number of
 * blanks may precede (RFC 9110, 11.4); NULL if the value is NULL or has another
 * scheme. The scheme's case is ignored.
 */
const char *
bearer_token(const char *authorization)
{
	const char *token;

	if (authorization == NULL ||
	    g_ascii_strncasecmp(authorization, SCHEME, strlen(SCHEME)) != 0)
		return NULL;
	token = authorization + strlen(SCHEME);
	return token + strspn(token, " ");
}
