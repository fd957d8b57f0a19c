#include "config/validate.h"

#include <string.h>

#include "base/address.h"
#include "config/config.h"
#include "config/object.h"
#include "config/validate_rules.h"

#define NAME_MAX_BYTES	     63
#define SHA256_HEX_DIGITS    64
#define FULL_ROLLOUT_PERCENT 100

#define NAME_CHARACTERS                                                   \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789." \
	"_-"

#define SERVICE_KIND(name) HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_##name
#define OBJECT_KIND(name)  HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_##name

/* What is being validated, for lookups and error messages. */
struct context {
	const Heatherturn__V1__ConfigDocument *document;
	const struct object_kind *kind;
	const char *id;
	const char *field;
};

/* Sets an error whose message starts with the setting; returns false. */
static bool G_GNUC_PRINTF(3, 4) reject(
    const struct context *context, GError **error, const char *format, ...)
{
	g_autofree char *why = NULL;
	va_list arguments;

	va_start(arguments, format);
	why = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_INVALID,
	    "%s.%s: invalid in '%s': %s", context->kind->plural, context->field,
	    context->id, why);
	return false;
}

/* Returns whether the document has an object of this kind and id. */
static bool
object_exists(const struct context *context, Heatherturn__V1__ObjectKind kind,
    const char *id)
{
	return object_find(object_kind_find(kind), context->document, id) !=
	    NULL;
}

/* Checks a string by its rule. */
static bool
check_text(const struct context *context, const struct field_rule *rule,
    const char *text, GError **error)
{
	size_t length = strlen(text);
	uint16_t port;

	switch (rule->check) {
	case RULE_NAME:
		if (length > 0 && length <= NAME_MAX_BYTES &&
		    strspn(text, NAME_CHARACTERS) == length)
			return true;
		return reject(context, error,
		    "'%s' is not a name of 1 to %d letters, digits, '.', "
		    "'_' or '-'",
		    text, NAME_MAX_BYTES);
	case RULE_TEXT:
		if (!g_utf8_validate(text, -1, NULL))
			return reject(context, error, "not valid UTF-8");
		if (length <= rule->max)
			return true;
		return reject(context, error,
		    "longer than %" G_GUINT64_FORMAT " bytes", rule->max);
	case RULE_DIGEST:
		if (length == SHA256_HEX_DIGITS &&
		    strspn(text, "0123456789abcdef") == length)
			return true;
		return reject(context, error,
		    "a digest must have %d lower-case hex digits",
		    SHA256_HEX_DIGITS);
	case RULE_ADDRESS:
		if (address_parse(text, NULL, &port) && port != 0)
			return true;
		return reject(context, error,
		    "'%s' is not HOST:PORT with a numeric host", text);
	case RULE_SERVICE:
		if (object_exists(context, OBJECT_KIND(SERVICE), text))
			return true;
		return reject(context, error, "no service has id '%s'", text);
	case RULE_FAILURE_DOMAIN:
		if (object_exists(context, OBJECT_KIND(FAILURE_DOMAIN), text))
			return true;
		return reject(
		    context, error, "no failure domain has id '%s'", text);
	default:
		g_assert_not_reached();
	}
}

/* Checks a number or enum value by its rule. */
static bool
check_number(const struct context *context, const struct field_rule *rule,
    const ProtobufCFieldDescriptor *field, uint64_t value, GError **error)
{
	if (rule->check == RULE_ENUM) {
		if (value != 0 &&
		    protobuf_c_enum_descriptor_get_value(
			field->descriptor, (int)value) != NULL)
			return true;
		return reject(context, error, "not set to a known value");
	}
	if (value >= rule->min && value <= rule->max)
		return true;
	return reject(context, error,
	    "%" G_GUINT64_FORMAT " is not in the range %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT,
	    value, rule->min, rule->max);
}

/* Checks the value at an address by its rule. */
static bool
check_value(const struct context *context, const struct field_rule *rule,
    const ProtobufCFieldDescriptor *field, const void *value, GError **error)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return check_text(
		    context, rule, *(const char *const *)value, error);
	case PROTOBUF_C_TYPE_UINT64:
		return check_number(
		    context, rule, field, *(const uint64_t *)value, error);
	default:
		return check_number(
		    context, rule, field, *(const uint32_t *)value, error);
	}
}

/* Checks one field of an object; of a repeated field, each item. */
static bool
check_field(struct context *context, const struct field_rule *rule,
    const ProtobufCMessage *object, GError **error)
{
	const ProtobufCFieldDescriptor
	    *field = protobuf_c_message_descriptor_get_field_by_name(
		object->descriptor, rule->field);
	const uint8_t *member = G_STRUCT_MEMBER_P(object, field->offset);
	size_t size = field->type == PROTOBUF_C_TYPE_STRING ? sizeof(char *)
							    : sizeof(uint32_t);
	size_t count;

	context->field = rule->field;
	if (field->label != PROTOBUF_C_LABEL_REPEATED)
		return check_value(context, rule, field, member, error);
	count = G_STRUCT_MEMBER(size_t, object, field->quantifier_offset);
	for (size_t i = 0; i < count; i++) {
		if (!check_value(context, rule, field,
			*(const uint8_t *const *)(const void *)member +
			    i * size,
			error))
			return false;
	}
	return true;
}

/* Checks a service: the path prefix for its kind, and the deadlines' order. */
static bool
check_service(struct context *context, const Heatherturn__V1__Service *service,
    GError **error)
{
	context->field = "path_prefix";
	if (service->kind == SERVICE_KIND(MODEL) &&
	    service->path_prefix[0] != '\0')
		return reject(
		    context, error, "only allowed for plain services");
	if (service->kind == SERVICE_KIND(PLAIN) &&
	    (service->path_prefix[0] != '/' || service->path_prefix[1] == '\0'))
		return reject(context, error,
		    "'%s' must start with '/' and have at least 2 characters",
		    service->path_prefix);
	if (g_str_has_prefix(service->path_prefix, "/v1/") ||
	    strcmp(service->path_prefix, "/v1") == 0)
		return reject(
		    context, error, "/v1 is reserved for model services");
	context->field = "long_deadline_ms";
	if (service->long_deadline_ms < service->short_deadline_ms)
		return reject(context, error, "less than short_deadline_ms");
	return true;
}

/* Checks a rollout: of a model service, with increasing steps up to 100 %. */
static bool
check_rollout(struct context *context, const Heatherturn__V1__Rollout *rollout,
    GError **error)
{
	const Heatherturn__V1__Service
	    *service = (const Heatherturn__V1__Service *)object_find(
		object_kind_find(OBJECT_KIND(SERVICE)), context->document,
		rollout->id);
	size_t count = rollout->n_step_percent;

	context->field = "id";
	if (service->kind != SERVICE_KIND(MODEL))
		return reject(context, error, "not a model service");
	context->field = "step_percent";
	if (count == 0 ||
	    rollout->step_percent[count - 1] != FULL_ROLLOUT_PERCENT)
		return reject(context, error, "the last step must be 100");
	for (size_t i = 1; i < count; i++) {
		if (rollout->step_percent[i] <= rollout->step_percent[i - 1])
			return reject(context, error, "steps must increase");
	}
	context->field = "step";
	if (rollout->step >= count)
		return reject(context, error,
		    "step %u does not exist; there are %zu steps, counted from "
		    "0",
		    rollout->step, count);
	context->field = "previous_model_version";
	if (rollout->state ==
		HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK &&
	    rollout->previous_model_version[0] == '\0')
		return reject(context, error, "required to roll back");
	return true;
}

/* Checks an upstream: the dialect for its service, and its limits. */
static bool
check_upstream(struct context *context,
    const Heatherturn__V1__Upstream *upstream, GError **error)
{
	const Heatherturn__V1__Service
	    *service = (const Heatherturn__V1__Service *)object_find(
		object_kind_find(OBJECT_KIND(SERVICE)), context->document,
		upstream->service);
	bool model = service->kind == SERVICE_KIND(MODEL);

	context->field = "dialect";
	if (strcmp(upstream->dialect, model ? "engine" : "plain") != 0)
		return reject(context, error,
		    "'%s' does not fit the service, which requires '%s'",
		    upstream->dialect, model ? "engine" : "plain");
	context->field = "memory_tokens";
	if (model && upstream->memory_tokens == 0)
		return reject(context, error, "required for an engine");
	context->field = "cold_slots";
	if (upstream->cold_slots > upstream->slots)
		return reject(context, error, "greater than slots");
	return true;
}

/* Checks the rules that concern several fields or objects. */
static bool
check_cross_fields(
    struct context *context, const ProtobufCMessage *object, GError **error)
{
	switch (context->kind->kind) {
	case OBJECT_KIND(SERVICE):
		return check_service(
		    context, (const Heatherturn__V1__Service *)object, error);
	case OBJECT_KIND(ROLLOUT):
		return check_rollout(
		    context, (const Heatherturn__V1__Rollout *)object, error);
	case OBJECT_KIND(UPSTREAM):
		return check_upstream(
		    context, (const Heatherturn__V1__Upstream *)object, error);
	default:
		return true;
	}
}

/* Checks that no earlier object of the kind has the same value. */
static bool
check_unique(struct context *context, const char *field,
    GHashTable *used_values, const char *value, GError **error)
{
	const char *owner = g_hash_table_lookup(used_values, value);

	context->field = field;
	if (owner != NULL)
		return reject(context, error, "already used by '%s'", owner);
	g_hash_table_insert(used_values, (char *)value, (char *)context->id);
	return true;
}

/* Checks the fields, besides id, that must be unique among their kind. */
static bool
check_unique_fields(struct context *context, const ProtobufCMessage *object,
    GHashTable *used_values, GError **error)
{
	const Heatherturn__V1__Organisation *organisation;
	const Heatherturn__V1__Service *service;

	switch (context->kind->kind) {
	case OBJECT_KIND(ORGANISATION):
		organisation = (const Heatherturn__V1__Organisation *)object;
		for (size_t i = 0; i < organisation->n_api_key_sha256; i++) {
			if (!check_unique(context, "api_key_sha256",
				used_values, organisation->api_key_sha256[i],
				error))
				return false;
		}
		return true;
	case OBJECT_KIND(SERVICE):
		service = (const Heatherturn__V1__Service *)object;
		return service->kind != SERVICE_KIND(PLAIN) ||
		    check_unique(context, "path_prefix", used_values,
			service->path_prefix, error);
	case OBJECT_KIND(UPSTREAM):
		return check_unique(context, "sidecar_address", used_values,
		    ((const Heatherturn__V1__Upstream *)object)
			->sidecar_address,
		    error);
	default:
		return true;
	}
}

/* Checks an object by all rules except uniqueness. */
static bool
check_all_rules(
    struct context *context, const ProtobufCMessage *object, GError **error)
{
	for (size_t i = 0; i < field_rule_count; i++) {
		if (field_rules[i].kind == context->kind->kind &&
		    !check_field(context, &field_rules[i], object, error))
			return false;
	}
	return check_cross_fields(context, object, error);
}

/* Checks all objects of a kind, including uniqueness. */
static bool
check_objects_of_kind(const Heatherturn__V1__ConfigDocument *document,
    const struct object_kind *kind, GError **error)
{
	g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable)
	    used_values = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < object_count(kind, document); i++) {
		const ProtobufCMessage *object = object_at(kind, document, i);
		struct context context = {
		    document, kind, object_id(kind, object), "id"};

		if (!check_unique(&context, "id", ids, context.id, error) ||
		    !check_all_rules(&context, object, error) ||
		    !check_unique_fields(&context, object, used_values, error))
			return false;
	}
	return true;
}

/*
 * Validates a whole document. The error, CONFIG_ERROR_INVALID, is for the first
 * invalid setting, which its message starts with: "organisations.weight: ...".
 */
bool
config_validate(const Heatherturn__V1__ConfigDocument *document, GError **error)
{
	size_t length = heatherturn__v1__config_document__get_packed_size(
	    document);

	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		if (!check_objects_of_kind(document, &object_kinds[i], error))
			return false;
	}
	if (length <= CONFIG_MAX_BYTES)
		return true;
	g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_INVALID,
	    "document: has %zu bytes with this change, above the limit of %d",
	    length, CONFIG_MAX_BYTES);
	return false;
}

/* Returns the setting that an error names, to be freed, or NULL. */
char *
config_error_field(const GError *error)
{
	const char *colon = strchr(error->message, ':');

	if (!g_error_matches(error, CONFIG_ERROR, CONFIG_ERROR_INVALID) ||
	    colon == NULL)
		return NULL;
	return g_strndup(error->message, (gsize)(colon - error->message));
}
