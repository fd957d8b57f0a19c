/* The reason phrases of HTTP statuses. */
#ifndef BASE_HTTP_REASON_H
#define BASE_HTTP_REASON_H

#include <stddef.h>

int http_reason_class(int status, const char *reason, size_t length);

#endif
