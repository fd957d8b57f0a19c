#include "peer/message.h"

#include <string.h>

#include <msgpack.h>

/* Members of any one kind, the head's left out. */
#define MEMBERS_MAX 24
/* Members of the head, ahead of those of the kind. */
#define HEAD_MEMBERS 6
/* Elements that a list member may have. */
#define LIST_MAX_ITEMS 4096

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

struct kind {
	const char *name;
	struct member members[MEMBERS_MAX];
	size_t later; /* the last of them, which earlier builds don't send */
};

/* clang-format off */
#define M(type, member) { MEMBER_##type, offsetof(struct message, member) }

static const struct member head[] = {
	M(U32, kind), M(REQUEST, request), M(U32, attempt), M(U64, sequence),
	M(U64, config_version), M(I64, sent_ms), { MEMBER_END, 0 },
};

static const struct kind kinds[MESSAGE_KINDS] = {
	[MESSAGE_HELLO] = { "hello", {
		M(STRING, hello.process), M(U32, hello.role),
		M(STRING, hello.failure_domain), M(STRING, hello.address),
		M(U64, hello.incarnation), M(BYTES, hello.nonce),
		M(BYTES, hello.proof), M(BOOL, hello.leaving) } },
	[MESSAGE_PING] = { "ping", { { MEMBER_END, 0 } } },
	[MESSAGE_PONG] = { "pong", { M(I64, pong.ping_sent_ms) } },
	[MESSAGE_PROBE] = { "probe", {
		M(STRING, probe.organisation), M(STRING, probe.service),
		M(U32, probe.work), M(U32, probe.class),
		M(U64, probe.prompt_tokens), M(U64, probe.output_tokens),
		M(U32, probe.remaining_ms), M(U64_ARRAY, probe.prefixes) } },
	[MESSAGE_OFFER] = { "offer", {
		M(BOOL, offer.accepting), M(U32, offer.reason),
		M(U32, offer.wait_ms), M(U64, offer.cached_tokens),
		M(U64, offer.free_tokens), M(U64, offer.memory_tokens),
		M(U32, offer.running), M(U32, offer.queued),
		M(U32, offer.limit), M(U32, offer.retry_after_ms) } },
	[MESSAGE_SUBMIT] = { "submit", {
		M(STRING, submit.organisation), M(U32, submit.weight),
		M(STRING, submit.service), M(U32, submit.work),
		M(U32, submit.class), M(U32, submit.remaining_ms),
		M(U64, submit.prompt_tokens), M(U64, submit.output_tokens),
		M(U64_ARRAY, submit.prefixes), M(U64, submit.fingerprint),
		M(BOOL, submit.suspect), M(BOOL, submit.repeatable),
		M(U32, submit.window_bytes), M(STRING, submit.method),
		M(STRING, submit.path), M(STRING, submit.content_type),
		M(STRING, submit.idempotency_key), M(BYTES, submit.body),
		M(STRING_ARRAY, submit.imports) } },
	[MESSAGE_REJECT] = { "reject", {
		M(U32, reject.reason), M(U32, reject.retry_after_ms),
		M(STRING, reject.text) } },
	[MESSAGE_START] = { "start", {
		M(U32, start.queued_ms), M(U64, start.cached_tokens) } },
	[MESSAGE_CHUNK] = { "chunk", {
		M(U32, chunk.tokens), M(BYTES, chunk.data) } },
	[MESSAGE_FINISH] = { "finish", {
		M(U32, finish.outcome), M(U32, finish.status),
		M(STRING, finish.content_type), M(STRING, finish.text),
		M(U64, finish.prompt_tokens), M(U64, finish.output_tokens),
		M(U64, finish.cached_tokens), M(BOOL, finish.not_run),
		M(STRING, finish.kv) } },
	[MESSAGE_CANCEL] = { "cancel", { M(STRING, cancel.reason) } },
	[MESSAGE_RESUME] = { "resume", {
		M(STRING, resume.organisation), M(U64, resume.after),
		M(U32, resume.window_bytes) } },
	[MESSAGE_WINDOW] = { "window", { M(U32, window.bytes) } },
	[MESSAGE_HOLD] = { "hold", {
		M(STRING, hold.organisation), M(U64, hold.tokens),
		M(U32, hold.expires_ms) } },
	[MESSAGE_HELD] = { "held", {
		M(BOOL, held.granted), M(U32, held.retry_after_ms) } },
	[MESSAGE_RELEASE] = { "release", { { MEMBER_END, 0 } } },
	[MESSAGE_DIGEST] = { "digest", {
		M(STRING_ARRAY, digest.names), M(U64_ARRAY, digest.versions),
		M(BOOL, digest.reply) } },
	[MESSAGE_PULL] = { "pull", {
		M(STRING, pull.name), M(U64, pull.have),
		M(BOOL, pull.changes) }, .later = 1 },
	[MESSAGE_DOCUMENT] = { "document", {
		M(STRING, document.name), M(U64, document.version),
		M(BYTES, document.data), M(U64, document.base) },
		.later = 1 },
	[MESSAGE_CENSUS] = { "census", { { MEMBER_END, 0 } } },
	[MESSAGE_CENSUS_ANSWER] = { "census_answer", {
		M(STRING, census_answer.process), M(U32, census_answer.role),
		M(STRING, census_answer.failure_domain),
		M(U64, census_answer.config_version),
		M(BOOL, census_answer.leaving),
		M(STRING, census_answer.upstream),
		M(STRING, census_answer.model),
		M(STRING, census_answer.adapter),
		M(STRING, census_answer.model_version),
		M(BOOL, census_answer.warm),
		M(U64, census_answer.fencing) } },
	[MESSAGE_SUSPECT] = { "suspect", {
		M(U64, suspect.fingerprint), M(U64, suspect.reporter),
		M(U32, suspect.deaths), M(U32, suspect.age_ms) } },
	[MESSAGE_LOAD] = { "load", {
		M(BOOL, load.store_away), M(STRING_ARRAY, load.upstreams),
		M(U64_ARRAY, load.running),
		M(U64_ARRAY, load.short_streams),
		M(U64_ARRAY, load.medium_streams),
		M(U64_ARRAY, load.long_streams),
		M(U64_ARRAY, load.context_tokens),
		M(U64_ARRAY, load.reading_us) } },
	[MESSAGE_READING] = { "reading", {
		M(STRING_ARRAY, reading.upstreams),
		M(U64, reading.part_us) } },
};

#undef M
/* clang-format on */

static const char *const reject_names[] = {
    [REJECT_BUSY] = "busy",
    [REJECT_DRAINING] = "draining",
    [REJECT_TOO_LARGE] = "too_large",
    [REJECT_QUARANTINED] = "quarantined",
    [REJECT_EXPIRED] = "expired",
    [REJECT_DOWN] = "down",
    [REJECT_UNKNOWN] = "unknown",
    [REJECT_CANCELLED] = "cancelled",
    [REJECT_STALE] = "stale",
};

static const char *const finish_names[] = {
    [FINISH_OK] = "ok",
    [FINISH_FAILED] = "failed",
    [FINISH_LOST] = "lost",
    [FINISH_EXPIRED] = "expired",
    [FINISH_CANCELLED] = "cancelled",
};

G_DEFINE_QUARK(message_error, message_error)

/* Returns a value's name from a sparse table, or "unknown". */
static const char *
name_of(const char *const *names, size_t count, uint32_t value)
{
	if (value >= count || names[value] == NULL)
		return "unknown";
	return names[value];
}

/* Returns a message kind's name, for logs. */
const char *
message_kind_name(uint32_t kind)
{
	if (kind >= MESSAGE_KINDS || kinds[kind].name == NULL)
		return "unknown";
	return kinds[kind].name;
}

/* Returns a reject reason's name, for logs and callers. */
const char *
reject_reason_name(uint32_t reason)
{
	return name_of(reject_names, G_N_ELEMENTS(reject_names), reason);
}

/* Returns a finish outcome's name, for logs. */
const char *
finish_outcome_name(uint32_t outcome)
{
	return name_of(finish_names, G_N_ELEMENTS(finish_names), outcome);
}

/* Returns a kind of work's name, for logs. */
const char *
work_kind_name(uint32_t kind)
{
	static const char *const names[] = {
	    [WORK_GENERATE] = "generate",
	    [WORK_CALL] = "call",
	    [WORK_SHARD] = "shard",
	};

	return name_of(names, G_N_ELEMENTS(names), kind);
}

/* Returns a class of work's name, for logs. */
const char *
work_class_name(uint32_t class)
{
	static const char *const names[] = {
	    [WORK_SHORT] = "short",
	    [WORK_LONG] = "long",
	};

	return name_of(names, G_N_ELEMENTS(names), class);
}

/* Appends what msgpack packs to a GByteArray. */
static int
write_bytes(void *data, const char *bytes, size_t length)
{
	g_byte_array_append(data, (const guint8 *)bytes, length);
	return 0;
}

/* Packs text; NULL goes as the empty string. */
static void
pack_string(msgpack_packer *packer, const char *text)
{
	size_t length = text != NULL ? strlen(text) : 0;

	msgpack_pack_str_with_body(packer, text != NULL ? text : "", length);
}

/* Packs one member of a message. */
static void
pack_member(msgpack_packer *packer, const struct message *message,
    const struct member *member)
{
	const void *at = (const char *)message + member->offset;
	const struct bytes *bytes = at;
	const struct u64_array *numbers = at;
	const struct string_array *strings = at;

	switch (member->type) {
	case MEMBER_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case MEMBER_U32:
		msgpack_pack_uint32(packer, *(const uint32_t *)at);
		break;
	case MEMBER_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case MEMBER_I64:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case MEMBER_STRING:
		pack_string(packer, *(char *const *)at);
		break;
	case MEMBER_REQUEST:
		pack_string(packer, at);
		break;
	case MEMBER_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->length);
		break;
	case MEMBER_U64_ARRAY:
		msgpack_pack_array(packer, numbers->count);
		for (size_t i = 0; i < numbers->count; i++)
			msgpack_pack_uint64(packer, numbers->items[i]);
		break;
	case MEMBER_STRING_ARRAY:
		msgpack_pack_array(packer, strings->count);
		for (size_t i = 0; i < strings->count; i++)
			pack_string(packer, strings->items[i]);
		break;
	case MEMBER_END:
		break;
	}
}

/* Returns how many members a table names. */
static size_t
count_members(const struct member *members, size_t max)
{
	size_t count = 0;

	while (count < max && members[count].type != MEMBER_END)
		count++;
	return count;
}

/*
 * Encodes a message as the body of a frame, its length word left out. Returns
 * NULL with MESSAGE_ERROR where the kind is unknown or the frame too long; the
 * caller frees the array.
 */
GByteArray *
message_encode(const struct message *message, GError **error)
{
	GByteArray *out;
	msgpack_packer packer;
	const struct member *members;
	size_t count;

	if (message->kind >= MESSAGE_KINDS ||
	    kinds[message->kind].name == NULL) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_UNKNOWN_KIND,
		    "message kind %u is unknown", message->kind);
		return NULL;
	}
	members = kinds[message->kind].members;
	count = count_members(members, MEMBERS_MAX);
	out = g_byte_array_new();
	msgpack_packer_init(&packer, out, write_bytes);
	msgpack_pack_array(&packer, HEAD_MEMBERS + count);
	for (size_t i = 0; i < HEAD_MEMBERS; i++)
		pack_member(&packer, message, &head[i]);
	for (size_t i = 0; i < count; i++)
		pack_member(&packer, message, &members[i]);
	if (out->len > FRAME_MAX_BYTES) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_TOO_LONG,
		    "%s message of %u bytes passes the limit of %d",
		    kinds[message->kind].name, out->len, FRAME_MAX_BYTES);
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}

/* Takes text without NUL bytes; false for anything else. */
static bool
take_string(const msgpack_object *from, char **out)
{
	if (from->type != MSGPACK_OBJECT_STR)
		return false;
	if (from->via.str.size > 0 &&
	    memchr(from->via.str.ptr, '\0', from->via.str.size) != NULL)
		return false;
	*out = g_strndup(from->via.str.ptr, from->via.str.size);
	return true;
}

/* Takes a request id: empty, or text that fits. */
static bool
take_request(const msgpack_object *from, char *out)
{
	if (from->type != MSGPACK_OBJECT_STR)
		return false;
	if (from->via.str.size >= REQUEST_ID_SIZE)
		return false;
	if (from->via.str.size > 0)
		memcpy(out, from->via.str.ptr, from->via.str.size);
	out[from->via.str.size] = '\0';
	return true;
}

/* Takes a number no larger than max. */
static bool
take_unsigned(const msgpack_object *from, uint64_t max, uint64_t *out)
{
	if (from->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = from->via.u64;
	return *out <= max;
}

/* Takes a list of numbers. */
static bool
take_numbers(const msgpack_object *from, struct u64_array *out)
{
	if (from->type != MSGPACK_OBJECT_ARRAY ||
	    from->via.array.size > LIST_MAX_ITEMS)
		return false;
	out->items = g_new0(uint64_t, from->via.array.size);
	out->count = from->via.array.size;
	for (size_t i = 0; i < out->count; i++) {
		if (!take_unsigned(
			&from->via.array.ptr[i], UINT64_MAX, &out->items[i]))
			return false;
	}
	return true;
}

/* Takes a list of strings. */
static bool
take_strings(const msgpack_object *from, struct string_array *out)
{
	if (from->type != MSGPACK_OBJECT_ARRAY ||
	    from->via.array.size > LIST_MAX_ITEMS)
		return false;
	out->items = g_new0(char *, from->via.array.size);
	out->count = from->via.array.size;
	for (size_t i = 0; i < out->count; i++) {
		if (!take_string(&from->via.array.ptr[i], &out->items[i]))
			return false;
	}
	return true;
}

/* Takes a signed number. */
static bool
take_signed(const msgpack_object *from, int64_t *out)
{
	if (from->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    from->via.u64 > INT64_MAX)
		return false;
	if (from->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    from->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	*out = from->via.i64;
	return true;
}

/* Takes a binary string. */
static bool
take_bytes(const msgpack_object *from, struct bytes *out)
{
	if (from->type != MSGPACK_OBJECT_BIN)
		return false;
	out->data = g_memdup2(from->via.bin.ptr, from->via.bin.size);
	out->length = from->via.bin.size;
	return true;
}

/* Takes one member of a message; false where its type is wrong. */
static bool
take_member(const msgpack_object *from, struct message *message,
    const struct member *member)
{
	void *at = (char *)message + member->offset;
	uint64_t number = 0;

	switch (member->type) {
	case MEMBER_BOOL:
		if (from->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = from->via.boolean;
		return true;
	case MEMBER_U32:
		if (!take_unsigned(from, UINT32_MAX, &number))
			return false;
		*(uint32_t *)at = (uint32_t)number;
		return true;
	case MEMBER_U64:
		return take_unsigned(from, UINT64_MAX, at);
	case MEMBER_I64:
		return take_signed(from, at);
	case MEMBER_STRING:
		return take_string(from, at);
	case MEMBER_REQUEST:
		return take_request(from, at);
	case MEMBER_BYTES:
		return take_bytes(from, at);
	case MEMBER_U64_ARRAY:
		return take_numbers(from, at);
	case MEMBER_STRING_ARRAY:
		return take_strings(from, at);
	case MEMBER_END:
		break;
	}
	return false;
}

/*
 * Takes a row of members; false at the first that is missing or wrong. The last
 * ones, as many as later says, may be missing and are zero then.
 */
static bool
take_members(const msgpack_object_array *from, size_t first,
    struct message *message, const struct member *members, size_t count,
    size_t later)
{
	if (from->size < first + count - later)
		return false;
	count = MIN(count, from->size - first);
	for (size_t i = 0; i < count; i++) {
		if (!take_member(&from->ptr[first + i], message, &members[i]))
			return false;
	}
	return true;
}

/* Builds a message from an unpacked array; NULL where it is not one. */
static struct message *
build_message(const msgpack_object *root, GError **error)
{
	struct message *message = g_new0(struct message, 1);
	const struct member *members;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    !take_members(
		&root->via.array, 0, message, head, HEAD_MEMBERS, 0)) {
		g_set_error_literal(error, MESSAGE_ERROR,
		    MESSAGE_ERROR_MALFORMED, "frame has no valid head");
		g_free(message);
		return NULL;
	}
	if (message->kind >= MESSAGE_KINDS ||
	    kinds[message->kind].name == NULL) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_UNKNOWN_KIND,
		    "message kind %u is unknown", message->kind);
		g_free(message);
		return NULL;
	}
	members = kinds[message->kind].members;
	if (!take_members(&root->via.array, HEAD_MEMBERS, message, members,
		count_members(members, MEMBERS_MAX),
		kinds[message->kind].later)) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_MALFORMED,
		    "%s frame has a missing or wrong member",
		    kinds[message->kind].name);
		message_free(message);
		return NULL;
	}
	return message;
}

/* Reads a big-endian number of up to four bytes. */
static uint64_t
read_number(const uint8_t *at, size_t bytes)
{
	uint64_t number = 0;

	for (size_t i = 0; i < bytes; i++)
		number = number << 8 | at[i];
	return number;
}

/*
 * Says whether each list in a frame claims no more elements than there are
 * bytes left. The library allocates by the claimed count, so that a short frame
 * could otherwise ask for gigabytes. Maps and extensions are never ours.
 */
static bool
counts_fit(const uint8_t *data, size_t length)
{
	/* Bytes after each first byte from 0xc0 on; 255 for not ours. */
	static const uint8_t extra[] = {0, 255, 0, 0, 1, 2, 4, 255, 255, 255, 4,
	    8, 1, 2, 4, 8, 1, 2, 4, 8, 255, 255, 255, 255, 255, 1, 2, 4, 2, 4,
	    255, 255};
	size_t at = 0;

	while (at < length) {
		uint8_t first = data[at++];
		size_t bytes;
		uint64_t count;

		if (first < 0x80 || first >= 0xe0)
			continue;
		if (first < 0x90)
			return false;
		if (first < 0xa0) {
			if ((first & 0x0fU) > length - at)
				return false;
			continue;
		}
		bytes = first < 0xc0 ? 0 : extra[first - 0xc0];
		if (bytes > length - at)
			return false;
		count = first < 0xc0 ? first & 0x1fU
				     : read_number(&data[at], MIN(bytes, 4));
		at += bytes;
		if (first >= 0xc0 && !(first >= 0xc4 && first <= 0xc6) &&
		    !(first >= 0xd9 && first <= 0xdd))
			continue;
		if (count > length - at)
			return false;
		if (first != 0xdc && first != 0xdd)
			at += count;
	}
	return true;
}

/*
 * Decodes a frame's body, its length word left out. Returns NULL with
 * MESSAGE_ERROR where it is not a whole message of a known kind; the caller
 * frees the message with message_free().
 */
struct message *
message_decode(const uint8_t *data, size_t length, GError **error)
{
	msgpack_unpacked unpacked;
	struct message *message = NULL;
	size_t offset = 0;

	if (length > FRAME_MAX_BYTES) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_TOO_LONG,
		    "frame of %zu bytes passes the limit of %d", length,
		    FRAME_MAX_BYTES);
		return NULL;
	}
	if (!counts_fit(data, length)) {
		g_set_error_literal(error, MESSAGE_ERROR,
		    MESSAGE_ERROR_MALFORMED,
		    "frame claims more elements than it has bytes");
		return NULL;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, length,
		&offset) != MSGPACK_UNPACK_SUCCESS ||
	    offset != length) {
		g_set_error_literal(error, MESSAGE_ERROR,
		    MESSAGE_ERROR_MALFORMED, "frame is not one msgpack value");
		goto out;
	}
	message = build_message(&unpacked.data, error);
out:
	msgpack_unpacked_destroy(&unpacked);
	return message;
}

/* Frees what one member points to. */
static void
free_member(struct message *message, const struct member *member)
{
	void *at = (char *)message + member->offset;
	struct string_array *strings = at;

	switch (member->type) {
	case MEMBER_STRING:
		g_free(*(char **)at);
		break;
	case MEMBER_BYTES:
		g_free(((struct bytes *)at)->data);
		break;
	case MEMBER_U64_ARRAY:
		g_free(((struct u64_array *)at)->items);
		break;
	case MEMBER_STRING_ARRAY:
		for (size_t i = 0; i < strings->count; i++)
			g_free(strings->items[i]);
		g_free(strings->items);
		break;
	default:
		break;
	}
}

/* Frees a message that message_decode() made; NULL is allowed. */
void
message_free(struct message *message)
{
	const struct member *member;

	if (message == NULL)
		return;
	member = kinds[message->kind].members;
	for (size_t i = 0; i < MEMBERS_MAX && member[i].type != MEMBER_END; i++)
		free_member(message, &member[i]);
	g_free(message);
}
