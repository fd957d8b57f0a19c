/*
 * The operator API of an entry: the RPC service of operator.proto as POST
 * /heatherturn.v1.Operator/METHOD over HTTP, with JSON or protobuf bodies.
 * Reads are served from the configuration in force in this process; writes are
 * conditional updates of the configuration at the platform.
 */
#ifndef OPERATOR_OPERATOR_API_H
#define OPERATOR_OPERATOR_API_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "peer/link.h"

/* Largest request body; the whole configuration is smaller. */
#define OPERATOR_API_BODY_MAX_BYTES (1024 * 1024)
/* Limit of the request bodies of all open calls together. */
#define OPERATOR_API_OPEN_CALLS_MAX_BYTES (4 * 1024 * 1024)
/* How long Status waits for the responses of the other processes. */
#define OPERATOR_API_STATUS_TIMEOUT_MS 1000

struct config_writer;
struct documents;
struct mesh;
struct operator_api;

/* All pointers are borrowed and must outlive the API. */
struct operator_api_settings {
	const char *address; /* HOST:PORT; port 0 for any free port */
	const char *token; /* text of the token file; see operator_tokens.h */
	const char *certificate_file; /* NULL for plain HTTP */
	const char *key_file;
	const struct link_identity *identity;
	struct documents *documents;
	struct mesh *mesh;
	struct config_writer *writer; /* NULL without a platform */
};

struct operator_api *operator_api_new(
    struct ev_loop *, const struct operator_api_settings *, GError **);
void operator_api_free(struct operator_api *);
int operator_api_port(const struct operator_api *);
bool operator_api_reload_certificate(struct operator_api *, GError **);
void operator_api_stop_accepting(struct operator_api *);

#endif
