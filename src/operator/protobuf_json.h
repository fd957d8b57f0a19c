/*
 * JSON of the schema file's messages, by their descriptors. Members have their
 * names of the schema; enum values are written short and in lower case, e.g.
 * "taken_out". Reading also takes camel case names, full enum names and numbers
 * as strings. A member that the message lacks is an error, so that a slip in a
 * setting's name is not passed over.
 */
#ifndef OPERATOR_PROTOBUF_JSON_H
#define OPERATOR_PROTOBUF_JSON_H

#include <stddef.h>

#include <glib.h>
#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

#define PROTOBUF_JSON_ERROR (protobuf_json_error_quark())

enum protobuf_json_error {
	PROTOBUF_JSON_ERROR_SYNTAX, /* not JSON; the message has line and column
				     */
	PROTOBUF_JSON_ERROR_FIELD, /* no such member */
	PROTOBUF_JSON_ERROR_TYPE, /* a member of another type */
	PROTOBUF_JSON_ERROR_RANGE, /* a number that doesn't fit */
	PROTOBUF_JSON_ERROR_VALUE, /* no such enum value */
	PROTOBUF_JSON_ERROR_ONEOF, /* two members of which one may be set */
};

GQuark protobuf_json_error_quark(void);
json_t *protobuf_json_parse(const char *, size_t length, GError **);
json_t *protobuf_json_encode(const ProtobufCMessage *);
ProtobufCMessage *protobuf_json_decode(
    const ProtobufCMessageDescriptor *, json_t *, GError **);
char *protobuf_json_error_field(const GError *);
char *protobuf_json_enum_name(const ProtobufCEnumDescriptor *, int value);

#endif
