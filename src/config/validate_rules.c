#include "config/validate_rules.h"

#include <glib.h>

#define WEIGHT_MAX	   1000
#define DISPLAY_NAME_BYTES 200
#define PATH_BYTES	   200
#define DEADLINE_MIN_MS	   10
#define DEADLINE_MAX_MS	   (24U * 60 * 60 * 1000)
#define TOKENS_MAX	   (UINT64_C(1) << 40)
#define OUTPUT_TOKENS_MAX  10000000
#define PERCENT_MAX	   100
#define SLOTS_MAX	   65536
#define PREFILL_MAX	   UINT32_MAX

#define ORGANISATION   HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_ORGANISATION
#define SERVICE	       HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_SERVICE
#define FAILURE_DOMAIN HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_FAILURE_DOMAIN
#define ROLLOUT	       HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_ROLLOUT
#define UPSTREAM       HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_UPSTREAM

const struct field_rule field_rules[] = {
    {ORGANISATION, "id", RULE_NAME, 0, 0},
    {ORGANISATION, "display_name", RULE_TEXT, 0, DISPLAY_NAME_BYTES},
    {ORGANISATION, "weight", RULE_RANGE, 1, WEIGHT_MAX},
    {ORGANISATION, "api_key_sha256", RULE_DIGEST, 0, 0},
    {ORGANISATION, "services", RULE_SERVICE, 0, 0},
    {ORGANISATION, "max_prompt_tokens", RULE_RANGE, 0, TOKENS_MAX},
    {SERVICE, "id", RULE_NAME, 0, 0},
    {SERVICE, "kind", RULE_ENUM, 0, 0},
    {SERVICE, "path_prefix", RULE_TEXT, 0, PATH_BYTES},
    {SERVICE, "short_deadline_ms", RULE_RANGE, DEADLINE_MIN_MS,
	DEADLINE_MAX_MS},
    {SERVICE, "long_deadline_ms", RULE_RANGE, DEADLINE_MIN_MS, DEADLINE_MAX_MS},
    {SERVICE, "long_threshold_tokens", RULE_RANGE, 1, TOKENS_MAX},
    {SERVICE, "default_output_tokens", RULE_RANGE, 1, OUTPUT_TOKENS_MAX},
    {SERVICE, "retry_share_percent", RULE_RANGE, 0, PERCENT_MAX},
    {FAILURE_DOMAIN, "id", RULE_NAME, 0, 0},
    {FAILURE_DOMAIN, "region", RULE_NAME, 0, 0},
    {FAILURE_DOMAIN, "state", RULE_ENUM, 0, 0},
    {ROLLOUT, "id", RULE_SERVICE, 0, 0},
    {ROLLOUT, "model", RULE_NAME, 0, 0},
    {ROLLOUT, "adapter", RULE_TEXT, 0, DISPLAY_NAME_BYTES},
    {ROLLOUT, "model_version", RULE_NAME, 0, 0},
    {ROLLOUT, "previous_model_version", RULE_TEXT, 0, DISPLAY_NAME_BYTES},
    {ROLLOUT, "step_percent", RULE_RANGE, 0, PERCENT_MAX},
    {ROLLOUT, "state", RULE_ENUM, 0, 0},
    {UPSTREAM, "id", RULE_NAME, 0, 0},
    {UPSTREAM, "service", RULE_SERVICE, 0, 0},
    {UPSTREAM, "failure_domain", RULE_FAILURE_DOMAIN, 0, 0},
    {UPSTREAM, "sidecar_address", RULE_ADDRESS, 0, 0},
    {UPSTREAM, "state", RULE_ENUM, 0, 0},
    {UPSTREAM, "memory_tokens", RULE_RANGE, 0, TOKENS_MAX},
    {UPSTREAM, "slots", RULE_RANGE, 1, SLOTS_MAX},
    {UPSTREAM, "cold_slots", RULE_RANGE, 1, SLOTS_MAX},
    {UPSTREAM, "prefill_tokens_per_s", RULE_RANGE, 1, PREFILL_MAX},
};

const size_t field_rule_count = G_N_ELEMENTS(field_rules);
