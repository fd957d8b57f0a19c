/*
 * What an operator is told when a call does not succeed: one table that maps
 * every typed error of the modules below to an HTTP status and to the code of
 * the schema's Error message.
 */
#ifndef OPERATOR_RPC_ERROR_H
#define OPERATOR_RPC_ERROR_H

#include <glib.h>

#include "config/edit.h"

#define RPC_ERROR (rpc_error_quark())

enum rpc_error {
	RPC_ERROR_NO_TOKEN,
	RPC_ERROR_WRONG_TOKEN,
	RPC_ERROR_UNKNOWN_METHOD, /* no such call */
	RPC_ERROR_HTTP_METHOD, /* not a POST */
	RPC_ERROR_CONTENT_TYPE, /* neither JSON nor protobuf */
	RPC_ERROR_MALFORMED, /* not the call's protobuf message */
	RPC_ERROR_UNKNOWN_KIND, /* no such kind of object */
	RPC_ERROR_NOT_FOUND,
	RPC_ERROR_NO_PLATFORM, /* this entry has no place to store */
};

GQuark rpc_error_quark(void);
int rpc_error_status(const GError *);
const char *rpc_error_code(const GError *);
Heatherturn__V1__Error *rpc_error_message_new(
    const GError *, const struct config_edit *, int64_t retry_after_ms);

#endif
