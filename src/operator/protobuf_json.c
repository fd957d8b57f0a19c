#include "operator/protobuf_json.h"

#include <stdbool.h>
#include <string.h>

G_DEFINE_QUARK(json_error, protobuf_json_error)

/* Sets an error whose message starts with the member's path; returns false. */
static bool
set_error(GError **error, enum protobuf_json_error code, const char *path,
    const char *reason)
{
	g_set_error(error, PROTOBUF_JSON_ERROR, (int)code, "%s: %s",
	    path[0] == '\0' ? "body" : path, reason);
	return false;
}

/*
 * Parses one JSON value of length bytes; no bytes at all give an empty object.
 * The message of the error, PROTOBUF_JSON_ERROR_SYNTAX, has the line and
 * column. Objects with duplicate keys are rejected.
 */
json_t *
protobuf_json_parse(const char *text, size_t length, GError **error)
{
	json_error_t reason;
	json_t *value;

	if (length == 0)
		return json_object();
	value = json_loadb(text, length, JSON_REJECT_DUPLICATES, &reason);
	if (value == NULL)
		g_set_error(error, PROTOBUF_JSON_ERROR,
		    PROTOBUF_JSON_ERROR_SYNTAX, "body: line %d column %d: %s",
		    reason.line, reason.column, reason.text);
	return value;
}

/* Returns the member path that an error's message starts with; NULL for errors
 * of other domains. Free with g_free(). */
char *
protobuf_json_error_field(const GError *error)
{
	const char *colon = strchr(error->message, ':');

	if (error->domain != PROTOBUF_JSON_ERROR || colon == NULL)
		return NULL;
	return g_strndup(error->message, (gsize)(colon - error->message));
}

/* Returns the common prefix of an enum's value names: FAILURE_DOMAIN_STATE_ for
 * FailureDomainState. */
static char *
enum_prefix(const ProtobufCEnumDescriptor *descriptor)
{
	GString *prefix = g_string_new(NULL);

	for (const char *c = descriptor->short_name; *c != '\0'; c++) {
		if (g_ascii_isupper(*c) && prefix->len > 0)
			g_string_append_c(prefix, '_');
		g_string_append_c(prefix, g_ascii_toupper(*c));
	}
	g_string_append_c(prefix, '_');
	return g_string_free(prefix, FALSE);
}

/* Returns the name of an enum value without its prefix, in lower case; NULL for
 * an unknown number. Free with g_free(). */
char *
protobuf_json_enum_name(const ProtobufCEnumDescriptor *descriptor, int value)
{
	const ProtobufCEnumValue *enum_value =
	    protobuf_c_enum_descriptor_get_value(descriptor, value);
	g_autofree char *prefix = enum_prefix(descriptor);

	if (enum_value == NULL)
		return NULL;
	return g_ascii_strdown(g_str_has_prefix(enum_value->name, prefix)
		? enum_value->name + strlen(prefix)
		: enum_value->name,
	    -1);
}

/* Encodes a string; invalid UTF-8, possible in protobuf bodies, is replaced. */
static json_t *
encode_string(const char *text)
{
	g_autofree char *valid = g_utf8_make_valid(text, -1);

	return json_string(valid);
}

/* Encodes an integer, as a string above jansson's maximum of INT64_MAX. */
static json_t *
encode_number(uint64_t value)
{
	g_autofree char *text = NULL;

	if (value <= INT64_MAX)
		return json_integer((json_int_t)value);
	text = g_strdup_printf("%" G_GUINT64_FORMAT, value);
	return json_string(text);
}

/* Encodes an enum value by name; NULL for 0, the unspecified value. */
static json_t *
encode_enum(const ProtobufCEnumDescriptor *descriptor, int value)
{
	g_autofree char *name = protobuf_json_enum_name(descriptor, value);

	if (value == 0)
		return NULL;
	return name == NULL ? json_integer(value) : json_string(name);
}

/* Encodes the value at an address; NULL for an unset message or enum. */
static json_t *
encode_value(const ProtobufCFieldDescriptor *field, const void *at)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return encode_string(*(const char *const *)at);
	case PROTOBUF_C_TYPE_BOOL:
		return json_boolean(*(const protobuf_c_boolean *)at);
	case PROTOBUF_C_TYPE_UINT64:
		return encode_number(*(const uint64_t *)at);
	case PROTOBUF_C_TYPE_UINT32:
		return encode_number(*(const uint32_t *)at);
	case PROTOBUF_C_TYPE_ENUM:
		return encode_enum(field->descriptor, *(const int *)at);
	case PROTOBUF_C_TYPE_MESSAGE:
		if (*(const ProtobufCMessage *const *)at == NULL)
			return NULL;
		return protobuf_json_encode(
		    *(const ProtobufCMessage *const *)at);
	default:
		/* The schema has no other types. */
		g_assert_not_reached();
	}
}

/* Returns the size in bytes of one item of a repeated field. */
static size_t
item_size(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_UINT64:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_ENUM:
		return sizeof(uint32_t);
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	default:
		return sizeof(void *);
	}
}

/* Encodes a repeated field as an array. */
static json_t *
encode_array(
    const ProtobufCFieldDescriptor *field, const ProtobufCMessage *message)
{
	size_t count = G_STRUCT_MEMBER(
	    size_t, message, field->quantifier_offset);
	const uint8_t *items = G_STRUCT_MEMBER(
	    const uint8_t *, message, field->offset);
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
		    array, encode_value(field, items + i * item_size(field)));
	return array;
}

/* Returns whether a field belongs to a oneof in which it is not the one set. */
static bool
is_unset_oneof_member(
    const ProtobufCFieldDescriptor *field, const ProtobufCMessage *message)
{
	return (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 &&
	    G_STRUCT_MEMBER(uint32_t, message, field->quantifier_offset) !=
	    field->id;
}

/*
 * Encodes a message as an object with all its fields, except unset messages,
 * unspecified enum values and unset members of a oneof.
 */
json_t *
protobuf_json_encode(const ProtobufCMessage *message)
{
	json_t *object = json_object();

	for (unsigned int i = 0; i < message->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &message->descriptor
							     ->fields[i];
		json_t *value;

		if (is_unset_oneof_member(field, message))
			continue;
		value = field->label == PROTOBUF_C_LABEL_REPEATED
		    ? encode_array(field, message)
		    : encode_value(
			  field, G_STRUCT_MEMBER_P(message, field->offset));
		if (value != NULL)
			json_object_set_new(object, field->name, value);
	}
	return object;
}

/* Decodes an integer from 0 to max, given as a number or as a string. */
static bool
decode_number(json_t *value, uint64_t max, const char *path, uint64_t *out,
    GError **error)
{
	json_int_t number = json_integer_value(value);
	guint64 parsed;

	if (json_is_string(value)) {
		if (g_ascii_string_to_unsigned(
			json_string_value(value), 10, 0, max, &parsed, NULL)) {
			*out = parsed;
			return true;
		}
		return set_error(error, PROTOBUF_JSON_ERROR_RANGE, path,
		    "is not a number within its range");
	}
	if (!json_is_integer(value))
		return set_error(error, PROTOBUF_JSON_ERROR_TYPE, path,
		    "must be an integer");
	if (number < 0 || (uint64_t)number > max)
		return set_error(
		    error, PROTOBUF_JSON_ERROR_RANGE, path, "is out of range");
	*out = (uint64_t)number;
	return true;
}

/* Decodes an enum value from its name, with or without prefix, in any case. */
static bool
decode_enum(const ProtobufCEnumDescriptor *descriptor, json_t *value,
    const char *path, int *out, GError **error)
{
	const char *name = json_string_value(value);
	g_autofree char *reason = NULL;

	if (name == NULL)
		return set_error(error, PROTOBUF_JSON_ERROR_TYPE, path,
		    "must be the name of an enum value");
	for (unsigned int i = 0; i < descriptor->n_values; i++) {
		const ProtobufCEnumValue *enum_value = &descriptor->values[i];
		g_autofree char *short_name = protobuf_json_enum_name(
		    descriptor, enum_value->value);

		if (g_ascii_strcasecmp(short_name, name) == 0 ||
		    g_ascii_strcasecmp(enum_value->name, name) == 0) {
			*out = enum_value->value;
			return true;
		}
	}
	reason = g_strdup_printf("'%s' is not one of its values", name);
	return set_error(error, PROTOBUF_JSON_ERROR_VALUE, path, reason);
}

static ProtobufCMessage *decode_message(
    const ProtobufCMessageDescriptor *, json_t *, const char *path, GError **);

/* Decodes a string; an empty one is left as protobuf-c's default. */
static bool
decode_string(json_t *value, const char *path, char **out, GError **error)
{
	if (!json_is_string(value))
		return set_error(
		    error, PROTOBUF_JSON_ERROR_TYPE, path, "must be a string");
	if (json_string_length(value) > 0)
		*out = g_strdup(json_string_value(value));
	return true;
}

/* Decodes one value to an address. */
static bool
decode_value(const ProtobufCFieldDescriptor *field, json_t *value,
    const char *path, void *at, GError **error)
{
	uint64_t number = 0;

	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return decode_string(value, path, at, error);
	case PROTOBUF_C_TYPE_BOOL:
		if (!json_is_boolean(value))
			return set_error(error, PROTOBUF_JSON_ERROR_TYPE, path,
			    "must be true or false");
		*(protobuf_c_boolean *)at = json_is_true(value);
		return true;
	case PROTOBUF_C_TYPE_UINT64:
		return decode_number(value, UINT64_MAX, path, at, error);
	case PROTOBUF_C_TYPE_UINT32:
		if (!decode_number(value, UINT32_MAX, path, &number, error))
			return false;
		*(uint32_t *)at = (uint32_t)number;
		return true;
	case PROTOBUF_C_TYPE_ENUM:
		return decode_enum(field->descriptor, value, path, at, error);
	case PROTOBUF_C_TYPE_MESSAGE:
		*(ProtobufCMessage **)at = decode_message(
		    field->descriptor, value, path, error);
		return *(ProtobufCMessage **)at != NULL;
	default:
		/* The schema has no other types. */
		g_assert_not_reached();
	}
}

/* Decodes an array into a repeated field. */
static bool
decode_array(const ProtobufCFieldDescriptor *field, json_t *value,
    const char *path, ProtobufCMessage *message, GError **error)
{
	size_t *count = G_STRUCT_MEMBER_P(message, field->quantifier_offset);
	uint8_t *items;
	size_t size = item_size(field);

	if (!json_is_array(value))
		return set_error(
		    error, PROTOBUF_JSON_ERROR_TYPE, path, "must be an array");
	if (json_array_size(value) == 0)
		return true;
	items = g_malloc0(json_array_size(value) * size);
	G_STRUCT_MEMBER(uint8_t *, message, field->offset) = items;
	for (size_t i = 0; i < json_array_size(value); i++) {
		g_autofree char *item_path = g_strdup_printf(
		    "%s[%zu]", path, i);

		if (field->type == PROTOBUF_C_TYPE_STRING)
			*(char **)(void *)(items +
			    i * size) = (char *)protobuf_c_empty_string;
		if (!decode_value(field, json_array_get(value, i), item_path,
			items + i * size, error))
			return false;
		(*count)++;
	}
	return true;
}

/* Returns a descriptor's field by its schema or camel case name, or NULL. */
static const ProtobufCFieldDescriptor *
find_field(const ProtobufCMessageDescriptor *descriptor, const char *name)
{
	GString *snake = g_string_new(NULL);
	const ProtobufCFieldDescriptor *field;

	for (const char *c = name; *c != '\0'; c++) {
		if (g_ascii_isupper(*c))
			g_string_append_c(snake, '_');
		g_string_append_c(snake, g_ascii_tolower(*c));
	}
	field = protobuf_c_message_descriptor_get_field_by_name(
	    descriptor, snake->str);
	g_string_free(snake, TRUE);
	return field;
}

/*
 * Decodes one member of an object; null is the same as an absent member. A
 * field has two spellings, so it can be given twice under different keys.
 */
static bool
decode_member(ProtobufCMessage *message, const char *name, json_t *value,
    const char *parent, uint64_t *seen_fields, GError **error)
{
	const ProtobufCFieldDescriptor *field = find_field(
	    message->descriptor, name);
	g_autofree char *path = parent[0] == '\0'
	    ? g_strdup(name)
	    : g_strdup_printf("%s.%s", parent, name);
	uint32_t *oneof_case;
	uint64_t bit;

	if (field == NULL)
		return set_error(error, PROTOBUF_JSON_ERROR_FIELD, path,
		    "is not a known member");
	bit = UINT64_C(1) << (field - message->descriptor->fields);
	if ((*seen_fields & bit) != 0)
		return set_error(
		    error, PROTOBUF_JSON_ERROR_FIELD, path, "is given twice");
	*seen_fields |= bit;
	if (json_is_null(value))
		return true;
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return decode_array(field, value, path, message, error);
	if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0) {
		oneof_case = G_STRUCT_MEMBER_P(
		    message, field->quantifier_offset);
		if (*oneof_case != 0)
			return set_error(error, PROTOBUF_JSON_ERROR_ONEOF, path,
			    "is set together with another kind");
		*oneof_case = field->id;
	}
	return decode_value(field, value, path,
	    G_STRUCT_MEMBER_P(message, field->offset), error);
}

/* Decodes an object as a message; path is that of the object. */
static ProtobufCMessage *
decode_message(const ProtobufCMessageDescriptor *descriptor, json_t *object,
    const char *path, GError **error)
{
	ProtobufCMessage *message;
	const char *name;
	json_t *value;
	uint64_t seen_fields = 0;

	if (!json_is_object(object)) {
		set_error(
		    error, PROTOBUF_JSON_ERROR_TYPE, path, "must be an object");
		return NULL;
	}
	message = g_malloc0(descriptor->sizeof_message);
	protobuf_c_message_init(descriptor, message);
	json_object_foreach (object, name, value) {
		if (!decode_member(
			message, name, value, path, &seen_fields, error)) {
			protobuf_c_message_free_unpacked(message, NULL);
			return NULL;
		}
	}
	return message;
}

/*
 * Decodes a message from JSON; free it with protobuf_c_message_free_unpacked().
 * The message of the error, PROTOBUF_JSON_ERROR, starts with the path of the
 * invalid member.
 */
ProtobufCMessage *
protobuf_json_decode(const ProtobufCMessageDescriptor *descriptor,
    json_t *object, GError **error)
{
	return decode_message(descriptor, object, "", error);
}
