/* JSON calls to one base URL. Errors are of the domain UPSTREAM_ERROR. */
#ifndef UPSTREAM_JSON_CLIENT_H
#define UPSTREAM_JSON_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/http_client.h"

struct json_client;

/* The response is borrowed; NULL if it is empty or with an error. */
typedef void json_client_fn(void *data, json_t *response, const GError *);

struct json_request {
	const char *method;
	const char *path;
	json_t *body; /* its reference is consumed; NULL for none */
	int64_t timeout_ms;
	bool repeatable;
};

struct json_client *json_client_new(struct http_client *, const char *url);
void json_client_free(struct json_client *);
void json_client_call(struct json_client *, const struct json_request *,
    json_client_fn *, void *data);

GError *upstream_error_from_result(const struct http_result *);

#endif
