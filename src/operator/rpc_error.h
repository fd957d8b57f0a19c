/*
 * Error responses of the operator API: one table maps the errors of the modules
 * it uses to an HTTP status and to the code in the Error message of
 * operator.proto.
 */
#ifndef OPERATOR_RPC_ERROR_H
#define OPERATOR_RPC_ERROR_H

#include <glib.h>

#include "config/edit.h"

#define RPC_ERROR (rpc_error_quark())

enum rpc_error {
	RPC_ERROR_NO_TOKEN, /* no bearer token in the request */
	RPC_ERROR_WRONG_TOKEN, /* unknown bearer token */
	RPC_ERROR_UNKNOWN_METHOD, /* no such RPC method */
	RPC_ERROR_HTTP_METHOD, /* the HTTP method is not POST */
	RPC_ERROR_CONTENT_TYPE, /* neither JSON nor protobuf */
	RPC_ERROR_MALFORMED, /* body is not the method's protobuf message */
	RPC_ERROR_UNKNOWN_KIND, /* unknown kind of object */
	RPC_ERROR_NOT_FOUND, /* no object with this id */
	RPC_ERROR_NO_PLATFORM, /* the entry runs without a platform */
};

GQuark rpc_error_quark(void);
int rpc_error_status(const GError *);
const char *rpc_error_code(const GError *);
Heatherturn__V1__Error *rpc_error_message_new(
    const GError *, const struct config_edit *, int64_t retry_after_ms);

#endif
