/*
 * JSON encoding of protobuf messages, driven by their descriptors. Members have
 * the field names of the schema; enum values are written without their common
 * prefix and in lower case, e.g. "taken_out". The decoder also accepts camel
 * case names, full enum names and numbers as strings. It rejects unknown
 * members, so that a misspelt setting is not silently ignored.
 */
#ifndef OPERATOR_PROTOBUF_JSON_H
#define OPERATOR_PROTOBUF_JSON_H

#include <stddef.h>

#include <glib.h>
#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

#define PROTOBUF_JSON_ERROR (protobuf_json_error_quark())

enum protobuf_json_error {
	PROTOBUF_JSON_ERROR_SYNTAX, /* not JSON; message has line and column */
	PROTOBUF_JSON_ERROR_FIELD, /* unknown member, or one given twice */
	PROTOBUF_JSON_ERROR_TYPE, /* value of the wrong type */
	PROTOBUF_JSON_ERROR_RANGE, /* number out of range */
	PROTOBUF_JSON_ERROR_VALUE, /* unknown enum value */
	PROTOBUF_JSON_ERROR_ONEOF, /* more than one member of a oneof */
};

GQuark protobuf_json_error_quark(void);
json_t *protobuf_json_parse(const char *, size_t length, GError **);
json_t *protobuf_json_encode(const ProtobufCMessage *);
ProtobufCMessage *protobuf_json_decode(
    const ProtobufCMessageDescriptor *, json_t *, GError **);
char *protobuf_json_error_field(const GError *);
char *protobuf_json_enum_name(const ProtobufCEnumDescriptor *, int value);

#endif
