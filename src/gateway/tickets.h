/*
 * Memory that is set aside at several engines for one prompt that no engine
 * holds alone. All or nothing: a prompt whose memory is not had everywhere runs
 * nowhere. What is held is renewed while it is needed and given back at the
 * end; it lapses by itself soon after a gateway that dies.
 */
#ifndef GATEWAY_TICKETS_H
#define GATEWAY_TICKETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "base/http_client.h"

/* Time for an engine to answer an order; it does so in milliseconds. */
#define TICKETS_ORDER_MS 300
/* Held memory is renewed so often: an answer or two may be lost. */
#define TICKETS_RENEW_MS 1000
/* A release that is not answered is sent again, so many times. */
#define TICKETS_RELEASE_TRIES 8

/* Memory wanted at one engine; texts are copied. */
struct ticket_wish {
	const char *address; /* HOST:PORT */
	uint64_t tokens;
};

struct tickets;

/* Whether all were granted. Where not, the tickets are to be freed. */
typedef void tickets_fn(void *data, bool granted);

struct tickets *tickets_ask(struct ev_loop *, struct http_client *,
    const char *request, int64_t hold_ms, const struct ticket_wish *,
    size_t count, tickets_fn *, void *data);
void tickets_free(struct tickets *);
const char *tickets_id(const struct tickets *, size_t index);

#endif
