/*
 * Compares the engine model with logs of gateways: it serves the prompts as
 * they were sent, and its first events are compared with the logged ones.
 */
#ifndef EXPERIMENT_REPLAY_H
#define EXPERIMENT_REPLAY_H

#include <stdbool.h>

#include <glib.h>

#include "policy/engine_profile.h"

bool replay_log(const struct engine_profile *, const char *path, GError **);

#endif
