/*
 * What the codec of messages shares with the tables of their kinds.
 */
#ifndef PEER_MESSAGE_INTERNAL_H
#define PEER_MESSAGE_INTERNAL_H

#include "peer/message.h"

/* Members of any one kind, the head's left out. */
#define MEMBERS_MAX 24
/* Members of the head, ahead of those of the kind. */
#define HEAD_MEMBERS 6

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

struct message_form {
	const char *name;
	struct member members[MEMBERS_MAX];
	size_t later; /* the last of them, which earlier builds don't send */
};

extern const struct member message_head[HEAD_MEMBERS];

const struct message_form *message_form(uint32_t kind);
size_t message_form_members(const struct message_form *);

#endif
