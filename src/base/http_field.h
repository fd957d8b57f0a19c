/* What header lines may consist of (RFC 9110, 5.1 and 5.5). */
#ifndef BASE_HTTP_FIELD_H
#define BASE_HTTP_FIELD_H

#include <stdbool.h>
#include <stddef.h>

bool http_field_is_name(const char *bytes, size_t length);
bool http_field_is_value(const char *bytes, size_t length);

#endif
