/*
 * Client of the store of model weights, which limits the rate of model loads:
 * each load needs a permit. A permit is requested before an upstream is ordered
 * to load a model.
 */
#ifndef STORE_WEIGHTS_H
#define STORE_WEIGHTS_H

#include <stdint.h>

#include <glib.h>

#include "base/http_client.h"

#define WEIGHTS_ERROR (weights_error_quark())

enum weights_error {
	WEIGHTS_ERROR_RATE_LIMITED, /* retry after retry_after_ms */
	WEIGHTS_ERROR_UNAVAILABLE,
};

struct weights;
struct weights_call;

typedef void weights_done_fn(
    void *data, const GError *, int64_t retry_after_ms);

GQuark weights_error_quark(void);
struct weights *weights_new(struct http_client *, const char *base_url);
void weights_free(struct weights *);
struct weights_call *weights_request_permit(struct weights *, const char *model,
    const char *version, const char *upstream, weights_done_fn *, void *data);
void weights_call_cancel(struct weights_call *);

#endif
