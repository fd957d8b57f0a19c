/*
 * Declarations shared by the message codec and the tables of message kinds.
 */
#ifndef PEER_MESSAGE_INTERNAL_H
#define PEER_MESSAGE_INTERNAL_H

#include "peer/message.h"

/* Most members of a kind, without the header's. */
#define MEMBERS_MAX 24
/* Members of the header, before those of the kind. */
#define HEADER_MEMBERS 6

enum member_type {
	MEMBER_END,
	MEMBER_BOOL,
	MEMBER_U32,
	MEMBER_U64,
	MEMBER_I64,
	MEMBER_STRING,
	MEMBER_REQUEST,
	MEMBER_BYTES,
	MEMBER_U64_ARRAY,
	MEMBER_STRING_ARRAY,
};

struct member {
	enum member_type type;
	size_t offset;
};

struct message_schema {
	const char *name;
	struct member members[MEMBERS_MAX];
	size_t optional_count; /* at the end; not sent by earlier builds */
};

extern const struct member message_header[HEADER_MEMBERS];

const struct message_schema *message_schema(uint32_t kind);
size_t message_schema_member_count(const struct message_schema *);

#endif
