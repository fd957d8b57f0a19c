/*
 * Reads a configuration into a routing table at once, and sends it among the
 * copies of several processes, for tests.
 */
#ifndef TESTS_CONFIG_READER_H
#define TESTS_CONFIG_READER_H

#include <glib.h>
#include <jansson.h>

#include "platform/config_change.h"

bool config_reader_apply(struct config_change *, struct config_items *,
    const struct routing_table *in_force, GError **);
struct routing_table *config_reader_table(json_t *object, GError **);

/* One process's copy of the configuration. */
struct copy {
	struct routing_table *table;
	struct config_items *items;
};

void copy_init(struct copy *);
void copy_clear(struct copy *);
bool copy_apply(struct copy *, uint64_t version, const char *spec);
bool copy_send_changes(
    struct copy *from, struct copy *to, size_t cut, uint64_t *base);
bool copy_send_repair(struct copy *from, struct copy *to, size_t *elements);
const char *copy_key_owner(const struct copy *, const char *key);

#endif
