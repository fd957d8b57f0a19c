/*
 * The kinds of object that operators manage, as a table: names, protobuf
 * messages and lists in the configuration document. The messages of all kinds
 * have the fields id and version.
 */
#ifndef CONFIG_OBJECT_H
#define CONFIG_OBJECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "heatherturn/v1/operator.pb-c.h"

#define OBJECT_KINDS 5

struct object_kind {
	Heatherturn__V1__ObjectKind kind;
	const char *name; /* as in Object, e.g. failure_domain */
	const char *plural; /* as in the document, e.g. failure_domains */
	const ProtobufCMessageDescriptor *descriptor;
	size_t count_offset; /* of the list's length in ConfigDocument */
	size_t items_offset; /* of the list in ConfigDocument */
};

extern const struct object_kind object_kinds[OBJECT_KINDS];

const struct object_kind *object_kind_find(Heatherturn__V1__ObjectKind);
const struct object_kind *object_kind_find_by_name(const char *);

size_t object_count(
    const struct object_kind *, const Heatherturn__V1__ConfigDocument *);
ProtobufCMessage *object_at(const struct object_kind *,
    const Heatherturn__V1__ConfigDocument *, size_t index);
ProtobufCMessage *object_find(const struct object_kind *,
    const Heatherturn__V1__ConfigDocument *, const char *id);
void object_append(const struct object_kind *,
    Heatherturn__V1__ConfigDocument *, ProtobufCMessage *);
void object_replace(const struct object_kind *,
    Heatherturn__V1__ConfigDocument *, ProtobufCMessage *old,
    ProtobufCMessage *);
bool object_remove(const struct object_kind *,
    Heatherturn__V1__ConfigDocument *, const char *id);

const char *object_id(const struct object_kind *, const ProtobufCMessage *);
uint64_t object_version(const struct object_kind *, const ProtobufCMessage *);
void object_set_version(
    const struct object_kind *, ProtobufCMessage *, uint64_t version);

ProtobufCMessage *object_copy(const ProtobufCMessage *);
Heatherturn__V1__Object *object_wrap(
    const struct object_kind *, ProtobufCMessage *);
ProtobufCMessage *object_unwrap(
    const Heatherturn__V1__Object *, const struct object_kind **);

#endif
