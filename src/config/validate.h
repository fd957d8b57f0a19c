/*
 * Validation of a configuration before it is accepted: all settings within
 * their limits, all references valid, and the document small enough to be
 * stored.
 */
#ifndef CONFIG_VALIDATE_H
#define CONFIG_VALIDATE_H

#include <stdbool.h>

#include <glib.h>

#include "heatherturn/v1/operator.pb-c.h"

/* The store's limit of 1 MiB, less 16 KiB for the ids of recent writes. */
#define CONFIG_MAX_BYTES (1024 * 1024 - 16 * 1024)

bool config_validate(const Heatherturn__V1__ConfigDocument *, GError **);
char *config_error_field(const GError *);
void config_fill_defaults(ProtobufCMessage *object);

#endif
