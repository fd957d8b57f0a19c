/*
 * Declarations shared by the message codec and the tables of message kinds.
 */
#ifndef PEER_MESSAGE_INTERNAL_H
#define PEER_MESSAGE_INTERNAL_H

#include "peer/message.h"

/* Most fields of a kind, without the header's. */
#define MESSAGE_FIELDS_MAX 32
/* Fields of the header, before those of the kind. */
#define HEADER_FIELDS 6

enum message_field_type {
	FIELD_END,
	FIELD_BOOL,
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_STRING,
	FIELD_REQUEST,
	FIELD_BYTES,
	FIELD_U64_ARRAY,
	FIELD_STRING_ARRAY,
};

struct message_field {
	enum message_field_type type;
	size_t offset;
};

struct message_schema {
	const char *name;
	struct message_field fields[MESSAGE_FIELDS_MAX];
	size_t optional_count; /* at the end; not sent by earlier builds */
};

extern const struct message_field message_header[HEADER_FIELDS];

const struct message_schema *message_schema(uint32_t kind);
size_t message_schema_field_count(const struct message_schema *);

#endif
