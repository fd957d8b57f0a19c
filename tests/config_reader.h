/* Reads a configuration into a routing table at once, for tests. */
#ifndef TESTS_CONFIG_READER_H
#define TESTS_CONFIG_READER_H

#include <glib.h>
#include <jansson.h>

#include "platform/config_change.h"

bool config_reader_apply(struct config_change *, struct config_items *,
    const struct routing_table *in_force, GError **);
struct routing_table *config_reader_table(json_t *object, GError **);

#endif
