#include <string.h>

#include <msgpack.h>

#include "peer/message_internal.h"

/* Maximum elements of an array field. */
#define LIST_MAX_ITEMS 4096
/* Seconds to which rates refer, which are whole numbers. */
#define RATE_S 1e6

G_DEFINE_QUARK(message_error, message_error)

/* Returns a rate in requests per second as messages carry it. */
uint64_t
message_encode_rate(double per_s)
{
	return (uint64_t)(per_s * RATE_S + 0.5);
}

/* Returns the requests per second of a rate in a message. */
double
message_decode_rate(uint64_t rate)
{
	return (double)rate / RATE_S;
}

/* Writes packed bytes to a GByteArray, for msgpack. */
static int
write_bytes(void *data, const char *bytes, size_t length)
{
	g_byte_array_append(data, (const guint8 *)bytes, length);
	return 0;
}

/* Packs text; NULL becomes the empty string. */
static void
pack_string(msgpack_packer *packer, const char *text)
{
	size_t length = text != NULL ? strlen(text) : 0;

	msgpack_pack_str_with_body(packer, text != NULL ? text : "", length);
}

/* Packs one field of a message. */
static void
pack_field(msgpack_packer *packer, const struct message *message,
    const struct message_field *field)
{
	const void *at = (const char *)message + field->offset;
	const struct bytes *bytes = at;
	const struct u64_array *numbers = at;
	const struct string_array *strings = at;

	switch (field->type) {
	case FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_U32:
		msgpack_pack_uint32(packer, *(const uint32_t *)at);
		break;
	case FIELD_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case FIELD_I64:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case FIELD_STRING:
		pack_string(packer, *(char *const *)at);
		break;
	case FIELD_REQUEST:
		pack_string(packer, at);
		break;
	case FIELD_BYTES:
		msgpack_pack_bin_with_body(packer, bytes->data, bytes->length);
		break;
	case FIELD_U64_ARRAY:
		msgpack_pack_array(packer, numbers->count);
		for (size_t i = 0; i < numbers->count; i++)
			msgpack_pack_uint64(packer, numbers->items[i]);
		break;
	case FIELD_STRING_ARRAY:
		msgpack_pack_array(packer, strings->count);
		for (size_t i = 0; i < strings->count; i++)
			pack_string(packer, strings->items[i]);
		break;
	case FIELD_END:
		break;
	}
}

/*
 * Encodes a message as the body of a frame, without its length field. Returns
 * NULL with MESSAGE_ERROR if the kind is unknown or the frame too long; the
 * caller frees the array.
 */
GByteArray *
message_encode(const struct message *message, GError **error)
{
	GByteArray *out;
	msgpack_packer packer;
	const struct message_schema *schema = message_schema(message->kind);
	size_t count;

	if (schema == NULL) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_UNKNOWN_KIND,
		    "message kind %u is unknown", message->kind);
		return NULL;
	}
	count = message_schema_field_count(schema);
	out = g_byte_array_new();
	msgpack_packer_init(&packer, out, write_bytes);
	msgpack_pack_array(&packer, HEADER_FIELDS + count);
	for (size_t i = 0; i < HEADER_FIELDS; i++)
		pack_field(&packer, message, &message_header[i]);
	for (size_t i = 0; i < count; i++)
		pack_field(&packer, message, &schema->fields[i]);
	if (out->len > FRAME_MAX_BYTES) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_TOO_LONG,
		    "%s message of %u bytes passes the limit of %d",
		    schema->name, out->len, FRAME_MAX_BYTES);
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}

/* Unpacks text without NUL bytes; false for anything else. */
static bool
unpack_string(const msgpack_object *from, char **out)
{
	if (from->type != MSGPACK_OBJECT_STR)
		return false;
	if (from->via.str.size > 0 &&
	    memchr(from->via.str.ptr, '\0', from->via.str.size) != NULL)
		return false;
	*out = g_strndup(from->via.str.ptr, from->via.str.size);
	return true;
}

/* Unpacks a request id: empty, or text that fits. */
static bool
unpack_request(const msgpack_object *from, char *out)
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

/* Unpacks a number no larger than max. */
static bool
unpack_unsigned(const msgpack_object *from, uint64_t max, uint64_t *out)
{
	if (from->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = from->via.u64;
	return *out <= max;
}

/* Unpacks an array of numbers. */
static bool
unpack_numbers(const msgpack_object *from, struct u64_array *out)
{
	if (from->type != MSGPACK_OBJECT_ARRAY ||
	    from->via.array.size > LIST_MAX_ITEMS)
		return false;
	out->items = g_new0(uint64_t, from->via.array.size);
	out->count = from->via.array.size;
	for (size_t i = 0; i < out->count; i++) {
		if (!unpack_unsigned(
			&from->via.array.ptr[i], UINT64_MAX, &out->items[i]))
			return false;
	}
	return true;
}

/* Unpacks an array of strings. */
static bool
unpack_strings(const msgpack_object *from, struct string_array *out)
{
	if (from->type != MSGPACK_OBJECT_ARRAY ||
	    from->via.array.size > LIST_MAX_ITEMS)
		return false;
	out->items = g_new0(char *, from->via.array.size);
	out->count = from->via.array.size;
	for (size_t i = 0; i < out->count; i++) {
		if (!unpack_string(&from->via.array.ptr[i], &out->items[i]))
			return false;
	}
	return true;
}

/* Unpacks a signed number. */
static bool
unpack_signed(const msgpack_object *from, int64_t *out)
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

/* Unpacks binary data. */
static bool
unpack_bytes(const msgpack_object *from, struct bytes *out)
{
	if (from->type != MSGPACK_OBJECT_BIN)
		return false;
	out->data = g_memdup2(from->via.bin.ptr, from->via.bin.size);
	out->length = from->via.bin.size;
	return true;
}

/* Unpacks one field of a message; false if its type is wrong. */
static bool
unpack_field(const msgpack_object *from, struct message *message,
    const struct message_field *field)
{
	void *at = (char *)message + field->offset;
	uint64_t number = 0;

	switch (field->type) {
	case FIELD_BOOL:
		if (from->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = from->via.boolean;
		return true;
	case FIELD_U32:
		if (!unpack_unsigned(from, UINT32_MAX, &number))
			return false;
		*(uint32_t *)at = (uint32_t)number;
		return true;
	case FIELD_U64:
		return unpack_unsigned(from, UINT64_MAX, at);
	case FIELD_I64:
		return unpack_signed(from, at);
	case FIELD_STRING:
		return unpack_string(from, at);
	case FIELD_REQUEST:
		return unpack_request(from, at);
	case FIELD_BYTES:
		return unpack_bytes(from, at);
	case FIELD_U64_ARRAY:
		return unpack_numbers(from, at);
	case FIELD_STRING_ARRAY:
		return unpack_strings(from, at);
	case FIELD_END:
		break;
	}
	return false;
}

/*
 * Unpacks consecutive fields; false at the first that is missing or invalid.
 * The last optional_count may be missing and are zero then.
 */
static bool
unpack_fields(const msgpack_object_array *from, size_t first,
    struct message *message, const struct message_field *fields, size_t count,
    size_t optional_count)
{
	if (from->size < first + count - optional_count)
		return false;
	count = MIN(count, from->size - first);
	for (size_t i = 0; i < count; i++) {
		if (!unpack_field(&from->ptr[first + i], message, &fields[i]))
			return false;
	}
	return true;
}

/* Builds a message from an unpacked array; NULL if it is invalid. */
static struct message *
unpack_message(const msgpack_object *root, GError **error)
{
	struct message *message = g_new0(struct message, 1);
	const struct message_schema *schema;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    !unpack_fields(&root->via.array, 0, message, message_header,
		HEADER_FIELDS, 0)) {
		g_set_error_literal(error, MESSAGE_ERROR,
		    MESSAGE_ERROR_MALFORMED, "message has no valid header");
		g_free(message);
		return NULL;
	}
	schema = message_schema(message->kind);
	if (schema == NULL) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_UNKNOWN_KIND,
		    "message kind %u is unknown", message->kind);
		g_free(message);
		return NULL;
	}
	if (!unpack_fields(&root->via.array, HEADER_FIELDS, message,
		schema->fields, message_schema_field_count(schema),
		schema->optional_count)) {
		g_set_error(error, MESSAGE_ERROR, MESSAGE_ERROR_MALFORMED,
		    "%s message has a missing or invalid field", schema->name);
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
 * Returns whether no array or string in a frame declares more elements than
 * bytes are left. The library allocates by the declared count, so that a short
 * frame could otherwise ask for gigabytes. Maps and extensions are never used
 * here.
 */
static bool
element_counts_fit(const uint8_t *data, size_t length)
{
	/*
	 * Bytes after each type byte from 0xc0 on; 255 for types not used here.
	 */
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
 * Decodes a frame's body, without its length field. Returns NULL with
 * MESSAGE_ERROR if it is not a valid message of a known kind; the caller frees
 * the message with message_free().
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
	if (!element_counts_fit(data, length)) {
		g_set_error_literal(error, MESSAGE_ERROR,
		    MESSAGE_ERROR_MALFORMED,
		    "frame declares more elements than it has bytes");
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
	message = unpack_message(&unpacked.data, error);
out:
	msgpack_unpacked_destroy(&unpacked);
	return message;
}

/* Frees the memory of one field. */
static void
free_field(struct message *message, const struct message_field *field)
{
	void *at = (char *)message + field->offset;
	struct string_array *strings = at;

	switch (field->type) {
	case FIELD_STRING:
		g_free(*(char **)at);
		break;
	case FIELD_BYTES:
		g_free(((struct bytes *)at)->data);
		break;
	case FIELD_U64_ARRAY:
		g_free(((struct u64_array *)at)->items);
		break;
	case FIELD_STRING_ARRAY:
		for (size_t i = 0; i < strings->count; i++)
			g_free(strings->items[i]);
		g_free(strings->items);
		break;
	default:
		break;
	}
}

/* Frees a message from message_decode(); NULL is allowed. */
void
message_free(struct message *message)
{
	const struct message_schema *schema;

	if (message == NULL)
		return;
	schema = message_schema(message->kind);
	for (size_t i = 0; i < message_schema_field_count(schema); i++)
		free_field(message, &schema->fields[i]);
	g_free(message);
}
