/*
 * Explains where a request would go now, without sending it: the same decisions
 * as for a caller's request, on the gateway's present state, which they do not
 * change. Not taken into account are what only a body shows (requests that
 * crash upstreams), and permits of upstreams that name a rate.
 */
#ifndef GATEWAY_EXCHANGE_EXPLAIN_H
#define GATEWAY_EXCHANGE_EXPLAIN_H

#include <stdbool.h>

#include <jansson.h>

#include "base/httpd.h"
#include "gateway/exchange.h"

/* The request to be explained; strings are NULL if not given. */
struct explain_request {
	const char *host;
	const char *path;
	const char *organisation; /* name, instead of a key */
	const char *key;
	const char *tokens; /* of the prompt */
	const char *output; /* most tokens of the answer */
	const char *parts; /* ID:TOKENS,... */
};

json_t *exchange_explain(const struct exchange_context *,
    const struct explain_request *, int *status);
bool exchange_serve_explain(
    const struct exchange_context *, struct httpd_request *);

#endif
