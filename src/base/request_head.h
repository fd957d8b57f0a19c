/*
 * Checks of the header lines of a request. libmicrohttpd is lenient: it takes
 * the first of several lengths, chunks before a length, and passes on a name
 * with blanks behind it. An upstream may take another one, and see a second
 * request in the body of the first, or a header of the caller's beside the one
 * of this name that is added here. What is ambiguous is rejected.
 */
#ifndef BASE_REQUEST_HEAD_H
#define BASE_REQUEST_HEAD_H

#include <microhttpd.h>

const char *request_head_find_fault(
    struct MHD_Connection *, const char *version);

#endif
