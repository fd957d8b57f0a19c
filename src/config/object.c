#include "config/object.h"

#include <stdlib.h>
#include <string.h>

#define DOCUMENT_OFFSET(member) \
	offsetof(Heatherturn__V1__ConfigDocument, member)

/* In the order of enum ObjectKind, from 1. */
const struct object_kind object_kinds[OBJECT_KINDS] = {
    {HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_ORGANISATION, "organisation",
	"organisations", &heatherturn__v1__organisation__descriptor,
	DOCUMENT_OFFSET(n_organisations), DOCUMENT_OFFSET(organisations)},
    {HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_SERVICE, "service", "services",
	&heatherturn__v1__service__descriptor, DOCUMENT_OFFSET(n_services),
	DOCUMENT_OFFSET(services)},
    {HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_FAILURE_DOMAIN, "failure_domain",
	"failure_domains", &heatherturn__v1__failure_domain__descriptor,
	DOCUMENT_OFFSET(n_failure_domains), DOCUMENT_OFFSET(failure_domains)},
    {HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_ROLLOUT, "rollout", "rollouts",
	&heatherturn__v1__rollout__descriptor, DOCUMENT_OFFSET(n_rollouts),
	DOCUMENT_OFFSET(rollouts)},
    {HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_UPSTREAM, "upstream",
	"upstreams", &heatherturn__v1__upstream__descriptor,
	DOCUMENT_OFFSET(n_upstreams), DOCUMENT_OFFSET(upstreams)},
};

/* Returns a kind's row, or NULL for an unknown kind. */
const struct object_kind *
object_kind_find(Heatherturn__V1__ObjectKind kind)
{
	if ((int)kind < 1 || (int)kind > OBJECT_KINDS)
		return NULL;
	return &object_kinds[kind - 1];
}

/*
 * Returns the row of a kind by its name, singular or plural, with '-' or '_' as
 * separator; NULL for an unknown name.
 */
const struct object_kind *
object_kind_find_by_name(const char *name)
{
	g_autofree char *normalised = g_strdelimit(g_strdup(name), "-", '_');

	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		if (strcmp(object_kinds[i].name, normalised) == 0 ||
		    strcmp(object_kinds[i].plural, normalised) == 0)
			return &object_kinds[i];
	}
	return NULL;
}

/* Returns the number of objects of a kind in a document. */
size_t
object_count(const struct object_kind *kind,
    const Heatherturn__V1__ConfigDocument *document)
{
	return G_STRUCT_MEMBER(size_t, document, kind->count_offset);
}

/* Returns an object by its index in the list of its kind, borrowed. */
ProtobufCMessage *
object_at(const struct object_kind *kind,
    const Heatherturn__V1__ConfigDocument *document, size_t index)
{
	return G_STRUCT_MEMBER(
	    ProtobufCMessage **, document, kind->items_offset)[index];
}

/* Returns an object by its id, borrowed, or NULL. */
ProtobufCMessage *
object_find(const struct object_kind *kind,
    const Heatherturn__V1__ConfigDocument *document, const char *id)
{
	for (size_t i = 0; i < object_count(kind, document); i++) {
		ProtobufCMessage *object = object_at(kind, document, i);

		if (strcmp(object_id(kind, object), id) == 0)
			return object;
	}
	return NULL;
}

/* Appends an object to the list of its kind; the document takes ownership. */
void
object_append(const struct object_kind *kind,
    Heatherturn__V1__ConfigDocument *document, ProtobufCMessage *object)
{
	size_t *count = G_STRUCT_MEMBER_P(document, kind->count_offset);
	ProtobufCMessage ***items = G_STRUCT_MEMBER_P(
	    document, kind->items_offset);

	*items = g_renew(ProtobufCMessage *, *items, *count + 1);
	(*items)[(*count)++] = object;
}

/* Replaces an object at its position in the list, and frees the old one. */
void
object_replace(const struct object_kind *kind,
    Heatherturn__V1__ConfigDocument *document, ProtobufCMessage *old,
    ProtobufCMessage *object)
{
	for (size_t i = 0; i < object_count(kind, document); i++) {
		ProtobufCMessage **slot = &G_STRUCT_MEMBER(
		    ProtobufCMessage **, document, kind->items_offset)[i];

		if (*slot != old)
			continue;
		*slot = object;
		protobuf_c_message_free_unpacked(old, NULL);
		return;
	}
}

/* Removes an object by its id and frees it; false if there is none. */
bool
object_remove(const struct object_kind *kind,
    Heatherturn__V1__ConfigDocument *document, const char *id)
{
	size_t *count = G_STRUCT_MEMBER_P(document, kind->count_offset);
	ProtobufCMessage **items = G_STRUCT_MEMBER(
	    ProtobufCMessage **, document, kind->items_offset);

	for (size_t i = 0; i < *count; i++) {
		if (strcmp(object_id(kind, items[i]), id) != 0)
			continue;
		protobuf_c_message_free_unpacked(items[i], NULL);
		memmove(&items[i], &items[i + 1],
		    (*count - i - 1) * sizeof(void *));
		(*count)--;
		return true;
	}
	return false;
}

/* Returns the address of an object's field by its name in the schema. */
static void *
field_address(const struct object_kind *kind, const ProtobufCMessage *object,
    const char *name)
{
	const ProtobufCFieldDescriptor
	    *field = protobuf_c_message_descriptor_get_field_by_name(
		kind->descriptor, name);

	return G_STRUCT_MEMBER_P(object, field->offset);
}

/* Returns an object's id; borrowed, never NULL. */
const char *
object_id(const struct object_kind *kind, const ProtobufCMessage *object)
{
	return *(char **)field_address(kind, object, "id");
}

/* Returns the configuration version of an object's last change. */
uint64_t
object_version(const struct object_kind *kind, const ProtobufCMessage *object)
{
	return *(uint64_t *)field_address(kind, object, "version");
}

/* Sets the configuration version of an object's last change. */
void
object_set_version(
    const struct object_kind *kind, ProtobufCMessage *object, uint64_t version)
{
	*(uint64_t *)field_address(kind, object, "version") = version;
}

/* Returns a deep copy, to be freed by protobuf_c_message_free_unpacked(). */
ProtobufCMessage *
object_copy(const ProtobufCMessage *object)
{
	size_t length = protobuf_c_message_get_packed_size(object);
	g_autofree uint8_t *packed = g_malloc(length + 1);

	protobuf_c_message_pack(object, packed);
	return protobuf_c_message_unpack(
	    object->descriptor, NULL, length, packed);
}

/* Returns a new Object message that contains and owns an object. */
Heatherturn__V1__Object *
object_wrap(const struct object_kind *kind, ProtobufCMessage *object)
{
	Heatherturn__V1__Object *wrapped = g_new(Heatherturn__V1__Object, 1);

	heatherturn__v1__object__init(wrapped);
	wrapped->kind_case = (Heatherturn__V1__Object__KindCase)kind->kind;
	wrapped->organisation = (Heatherturn__V1__Organisation *)object;
	return wrapped;
}

/* Returns the object in an Object message, borrowed, and its kind; or NULL. */
ProtobufCMessage *
object_unwrap(
    const Heatherturn__V1__Object *object, const struct object_kind **kind)
{
	if (object == NULL ||
	    object->kind_case == HEATHERTURN__V1__OBJECT__KIND__NOT_SET ||
	    object->organisation == NULL)
		return NULL;
	*kind = object_kind_find(
	    (Heatherturn__V1__ObjectKind)object->kind_case);
	return (ProtobufCMessage *)object->organisation;
}
