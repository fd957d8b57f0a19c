/*
 * The engine model held against what gateways logged: it gets the prompts as
 * they were sent, and its first events are compared with those that came.
 */
#ifndef EXPERIMENT_REPLAY_H
#define EXPERIMENT_REPLAY_H

#include <stdbool.h>

#include <glib.h>

#include "policy/engine_profile.h"

bool replay_log(const struct engine_profile *, const char *path, GError **);

#endif
