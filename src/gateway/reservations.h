/*
 * Reservations of KV cache memory at several engines for one prompt that is too
 * long for any single engine. The engines themselves keep them, unlike a hold,
 * which a sidecar keeps for a group (policy/memory.h). If one engine refuses,
 * the prompt is not run. Reservations are renewed while they are needed and
 * released at the end; if the gateway dies they expire soon afterwards. Memory
 * that stays unused is given up (policy/reservation_use.h).
 */
#ifndef GATEWAY_RESERVATIONS_H
#define GATEWAY_RESERVATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "gateway/rate_sync.h"
#include "platform/headers.h"

/* Timeout of an order; engines answer within milliseconds. */
#define RESERVATIONS_ORDER_TIMEOUT_MS 300
/* Renewal interval; a reservation survives one or two lost responses. */
#define RESERVATIONS_RENEW_MS 1000
/* Maximum number of times that an unanswered release is sent. */
#define RESERVATIONS_RELEASE_TRIES 8

/* Memory to be reserved at one engine; the strings are copied. */
struct reservation_request {
	const char *address; /* HOST:PORT */
	uint64_t tokens;
};

struct reservations;

/* What the reservations of a request use, and how long they last. */
struct reservations_settings {
	struct ev_loop *loop;
	struct http_client *http;
	struct clock *clock;
	struct rate_sync *rate_sync;
	int64_t hold_ms; /* for which an engine keeps memory after a renewal */
	int64_t unused_max_ms; /* for which memory may go unused */
	int64_t expected_ms; /* from the reservation to the first token */
};

/* Callbacks to the owner of reservations, which may free them. */
struct reservations_ops {
	/* Called once, when all engines have answered. */
	void (*answered)(void *data, bool granted);
	/*
	 * What the engine of a reservation says of itself in any response, by
	 * the reservation's index.
	 */
	void (*notice)(
	    void *data, size_t index, const struct upstream_notice *);
	/* No request has used the memory for too long: it must be freed. */
	void (*unused)(void *data);
};

struct reservations *reservations_new(const struct reservations_settings *,
    const char *prefix, const struct reservation_request *, size_t count,
    const struct reservations_ops *, void *data);
void reservations_set_used(struct reservations *);
void reservations_free(struct reservations *);
const char *reservations_id(const struct reservations *, size_t index);

#endif
