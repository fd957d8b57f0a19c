/*
 * Memory that is set aside at several engines for one prompt that no engine
 * holds alone. All or nothing: a prompt whose memory is not had everywhere runs
 * nowhere. What is held is renewed while it is needed and given back at the
 * end; it lapses by itself soon after a gateway that dies.
 */
#ifndef GATEWAY_RESERVATIONS_H
#define GATEWAY_RESERVATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "base/http_client.h"

/* Time for an engine to answer an order; it does so in milliseconds. */
#define RESERVATIONS_ORDER_TIMEOUT_MS 300
/* Held memory is renewed so often: an answer or two may be lost. */
#define RESERVATIONS_RENEW_MS 1000
/* A release that is not answered is sent again, so many times. */
#define RESERVATIONS_RELEASE_TRIES 8

/* Memory wanted at one engine; texts are copied. */
struct reservation_request {
	const char *address; /* HOST:PORT */
	uint64_t tokens;
};

struct reservations;

/* Whether all were granted. Where not, the tickets are to be freed. */
typedef void reservations_fn(void *data, bool granted);

struct reservations *reservations_new(struct ev_loop *, struct http_client *,
    const char *request, int64_t hold_ms, const struct reservation_request *,
    size_t count, reservations_fn *, void *data);
void reservations_free(struct reservations *);
const char *reservations_id(const struct reservations *, size_t index);

#endif
