/*
 * One operator's call: its request decoded, its answer made. Calls that only
 * read the configuration are answered here; a change is made into a
 * config_edit, and a status into the version it asks about, for operator.c to
 * take to the platform and to the other processes.
 */
#ifndef OPERATOR_CALL_H
#define OPERATOR_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config/config.h"
#include "config/edit.h"
#include "peer/mesh.h"

enum call_form {
	CALL_FORM_JSON,
	CALL_FORM_PROTOBUF,
};

struct call_method {
	const char *name;
	const ProtobufCMessageDescriptor *request;
	/* Exactly one of these is set. */
	ProtobufCMessage *(*read)(
	    const ProtobufCMessage *, const struct config *, GError **);
	struct config_edit *(*change)(const ProtobufCMessage *, GError **);
	bool status;
};

const struct call_method *call_method_find(const char *path, GError **);
bool call_form_parse(const char *content_type, enum call_form *, GError **);
const char *call_form_type(enum call_form);
ProtobufCMessage *call_decode(const struct call_method *, enum call_form,
    const uint8_t *, size_t, GError **);
GByteArray *call_encode(enum call_form, const ProtobufCMessage *);
ProtobufCMessage *call_object_response(
    const struct config_edit *, uint64_t config_version);
ProtobufCMessage *call_status_response(
    uint64_t config_version, const struct mesh_peer_status *, size_t count);

#endif
