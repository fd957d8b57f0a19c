/*
 * A whole gateway within the test process, between a caller and stand-ins of
 * the platform.
 */
#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H

#include "base/http_client.h"
#include "fake_platform.h"
#include "gateway/exchange.h"

#define FIXTURE_KEY "Bearer k1"

/* A clock that is ahead of another one. */
struct fixture_clock {
	struct clock clock;
	struct clock *other;
	int64_t ahead_ms;
};

struct fixture {
	struct ev_loop *loop;
	ev_timer timeout;
	struct fake_platform *fake_platform;
	struct http_client *http;
	struct mesh *mesh;
	struct link_identity identity;
	struct documents *documents;
	struct object_store *store;
	struct exchange_context exchange_context;
	struct httpd *callers;
	GByteArray *body; /* received by the caller */
	int status;
	bool done;
	bool aborted;
	char *retry_after;
	char *seal; /* received by the caller; or NULL */
	char *request_id; /* likewise */
	struct clock *clock; /* of the state shared with peers; NULL: system */
	const char *tokens; /* token count sent; NULL for none */
	const char *parts; /* prompt parts sent; NULL for none */
	struct fixture_clock late_clock; /* of what the retry budget goes by */
	bool just_started; /* the gateway has no share of the retry slack */
	const char *config; /* in place of the usual one, if not NULL */
};

/* Runs the loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                        \
	do {                                                 \
		while (!(condition))                         \
			ev_run((fixture)->loop, EVRUN_ONCE); \
	} while (0)

void fixture_set_up(struct fixture *);
void fixture_tear_down(struct fixture *);
void fixture_wait_for_routing_state(struct fixture *);
struct http_call *fixture_call(
    struct fixture *, const char *path, const char *key);

#endif
