/*
 * Profile of the engines that our users deploy, from the published data sheet.
 */
#ifndef TESTS_USERS_ENGINE_H
#define TESTS_USERS_ENGINE_H

#include "policy/engine_profile.h"

static const struct engine_profile users_engine = {
    .slots = 16,
    .memory_tokens = 315000,
    .stride = 51,
    .step_ms = 0.85,
    .sequence_ms = 0.00425,
    .context_ms = 0.00285,
    .prefill_tokens_per_ms = 177.0,
    .pairs_ms = 0.184,
    .chunk_tokens = 2048,
    .hop_ms = 0.05,
};

/* Engines of the deployment whose kinds of prompts differ in rank. */
static const struct engine_profile ranked_engine = {
    .slots = 12,
    .memory_tokens = 197200,
    .stride = 48,
    .step_ms = 1.02,
    .sequence_ms = 0.00425,
    .context_ms = 0.00285,
    .prefill_tokens_per_ms = 206.0,
    .pairs_ms = 0.158,
    .chunk_tokens = 2048,
    .hop_ms = 0.05,
};

#endif
