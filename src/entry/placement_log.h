/*
 * Logs the changes of a placement, one line for each changed assignment with
 * its reason, and formats assignments as text.
 */
#ifndef ENTRY_PLACEMENT_LOG_H
#define ENTRY_PLACEMENT_LOG_H

#include <stdint.h>

#include "config/config.h"

char *model_spec_text(
    const char *model, const char *adapter, const char *version);
char *assignment_text(const Heatherturn__V1__Assignment *);
const Heatherturn__V1__Assignment *placement_find_assignment(
    const Heatherturn__V1__PlacementDocument *, const char *upstream);
void placement_log_changes(const struct config *,
    const Heatherturn__V1__PlacementDocument *current,
    const Heatherturn__V1__PlacementDocument *next, uint64_t version);

#endif
