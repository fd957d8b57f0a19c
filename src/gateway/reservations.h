/*
 * Reservations of KV cache memory at several engines for one prompt that is too
 * long for any single engine. The engines themselves keep them, unlike a hold,
 * which a sidecar keeps for a group (policy/memory.h). If one engine refuses,
 * the prompt is not run. Reservations are renewed while they are needed and
 * released at the end; if the gateway dies they expire soon afterwards.
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

/* Reports whether all reservations were granted. If not, free them. */
typedef void reservations_fn(void *data, bool granted);

/*
 * Reports what the engine of a reservation says of itself in any response, by
 * the reservation's index.
 */
typedef void reservations_notice_fn(
    void *data, size_t index, const struct upstream_notice *);

struct reservations *reservations_new(struct ev_loop *, struct http_client *,
    const char *request, struct rate_sync *, int64_t hold_ms,
    const struct reservation_request *, size_t count, reservations_fn *,
    reservations_notice_fn *, void *data);
void reservations_free(struct reservations *);
const char *reservations_id(const struct reservations *, size_t index);

#endif
