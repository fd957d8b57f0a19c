/*
 * The methods of the operator API, without I/O: lookup, decoding of requests
 * and encoding of responses. A read is served from the configuration that is
 * passed in. A change becomes a config_edit, which operator_api.c applies at
 * the platform; for Status, operator_api.c queries the other processes.
 */
#ifndef OPERATOR_RPC_H
#define OPERATOR_RPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config/config.h"
#include "config/edit.h"
#include "peer/mesh.h"

enum rpc_encoding {
	RPC_ENCODING_JSON,
	RPC_ENCODING_PROTOBUF,
};

struct rpc_method {
	const char *name;
	const ProtobufCMessageDescriptor *request;
	/* Exactly one of the three members below is set. */
	ProtobufCMessage *(*read)(
	    const ProtobufCMessage *, const struct config *, GError **);
	struct config_edit *(*change)(const ProtobufCMessage *, GError **);
	bool is_status_query;
};

const struct rpc_method *rpc_method_find(const char *path, GError **);
bool rpc_encoding_parse(
    const char *content_type, enum rpc_encoding *, GError **);
const char *rpc_encoding_content_type(enum rpc_encoding);
ProtobufCMessage *rpc_decode_request(const struct rpc_method *,
    enum rpc_encoding, const uint8_t *, size_t, GError **);
GByteArray *rpc_encode_response(enum rpc_encoding, const ProtobufCMessage *);
ProtobufCMessage *rpc_object_response_new(
    const struct config_edit *, uint64_t config_version);
ProtobufCMessage *rpc_status_response_new(
    uint64_t config_version, const struct mesh_peer_status *, size_t count);

#endif
