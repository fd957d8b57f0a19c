/* A caller whose connection is its own, and that shows how the response ends.
 */
#ifndef TESTS_RAW_CALLER_H
#define TESTS_RAW_CALLER_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "gateway_fixture.h"

struct raw_caller {
	ev_io io;
	GString *response;
	int error; /* of the connection; 0 if it was closed */
	bool ended;
};

void raw_caller_send(
    struct raw_caller *, struct fixture *, const char *request, size_t length);
void raw_caller_start(struct raw_caller *, struct fixture *, const char *path,
    const char *version, const char *header);
bool raw_caller_is_cut(const struct raw_caller *);

#endif
