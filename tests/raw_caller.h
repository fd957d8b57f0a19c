/* A caller whose connection is its own, and that shows how the response ends.
 */
#ifndef TESTS_RAW_CALLER_H
#define TESTS_RAW_CALLER_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "gateway_fixture.h"

/* Lines of a request's head, and a GET request. */
#define KEY_LINE "Authorization: " FIXTURE_KEY "\r\n"
#define ID_LINE	 "Heatherturn-Attempt-Id: r1\r\n"
#define GET(path, host, rest)                              \
	"GET " path " HTTP/1.1\r\nHost: " host "\r\n" rest \
	"Heatherturn-Deadline-Remaining-Ms: 4000\r\nConnection: close\r\n\r\n"

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
int raw_caller_call(struct fixture *, const char *request);
bool raw_caller_is_cut(const struct raw_caller *);

#endif
