/*
 * An exchange is one caller's request, from its arrival to the end of its
 * response: it is routed and sent to an upstream, sent to another one on
 * failure if that is allowed, and answered exactly once.
 */
#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/httpd.h"
#include "base/list.h"
#include "gateway/crash_sync.h"
#include "gateway/host_monitor.h"
#include "gateway/load_sync.h"
#include "gateway/prompt_cache.h"
#include "gateway/rate_sync.h"
#include "gateway/registry.h"
#include "gateway/retry_sync.h"
#include "gateway/routing_state.h"
#include "policy/drain.h"
#include "policy/return_slots.h"

struct exchange;

/* State and settings that all exchanges share. */
struct exchange_context {
	struct ev_loop *loop;
	struct clock *clock;
	struct http_client *http;
	struct routing_state *routing_state;
	struct registry *registry;
	const char *address; /* of this gateway, for its peers */
	const char *failure_domain; /* of this gateway */
	struct load_sync *load_sync;
	struct crash_sync *crash_sync;
	struct rate_sync *rate_sync;
	struct prompt_cache *prompt_cache; /* NULL: engines keep no prompts */
	struct mesh *mesh; /* shares which requests crash upstreams */
	GRand *random;
	struct retry_limits retry; /* slack for all gateways */
	struct retry_sync *retry_sync;
	double cold_ratio;
	double cold_slack;
	int64_t hold_ms; /* reservation lifetime between renewals */
	int64_t unused_max_ms; /* for which reserved memory may go unused */
	GHashTable *durations; /* route -> struct duration */
	GHashTable *return_slots; /* service -> struct return_slots */
	struct host_monitor *host; /* NULL if no limits are known */
	struct drain drain;
	TAILQ_HEAD(exchange_list, exchange) exchanges; /* open ones */
	bool exiting; /* open requests are cut */
	size_t open;
};

void exchange_context_init(struct exchange_context *);
void exchange_context_clear(struct exchange_context *);

void exchange_start(struct exchange_context *, struct httpd_request *);
struct httpd_limits exchange_limits(const struct exchange_context *);
void exchange_end_unanswered(struct exchange_context *);
void exchange_on_rejected(
    void *data, const struct httpd_request *, int status, const char *code);
void exchange_on_closed(void *data, struct httpd_request *, bool complete);
void exchange_on_drained(void *data, struct httpd_request *);

#endif
