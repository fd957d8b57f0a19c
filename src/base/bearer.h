/* Bearer tokens in Authorization headers (RFC 6750, 2.1). */
#ifndef BASE_BEARER_H
#define BASE_BEARER_H

const char *bearer_token(const char *authorization);

#endif
