/*
 * Object store of the stand-in platform, in memory: a value and version per
 * key, in key order, with conditional writes.
 */
#ifndef STANDIN_OBJECTS_H
#define STANDIN_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Precondition of a write. */
struct condition {
	bool absent; /* If-None-Match: * */
	bool has_version; /* If-Match */
	uint64_t version;
};

struct object {
	char *key;
	GBytes *value; /* NULL if deleted */
	uint64_t version; /* of the last write; continues after a deletion */
};

struct objects;

struct objects *objects_new(void);
void objects_free(struct objects *);
const struct object *objects_get(struct objects *, const char *key);
bool objects_put(
    struct objects *, const char *key, const struct condition *, GBytes *value);
int objects_delete(struct objects *, const char *key, const struct condition *);
void objects_list(struct objects *, const char *prefix, const char *after,
    guint limit, GPtrArray *found);
guint objects_count(struct objects *);

#endif
