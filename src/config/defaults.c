#include <string.h>

#include "config/validate.h"

#define DEFAULT_WEIGHT		     100
#define DEFAULT_SHORT_DEADLINE_MS    30000
#define DEFAULT_LONG_DEADLINE_MS     600000
#define DEFAULT_LONG_THRESHOLD	     32768
#define DEFAULT_OUTPUT_TOKENS	     256
#define DEFAULT_SLOTS		     8
#define DEFAULT_COLD_SLOTS	     1
#define DEFAULT_PREFILL_TOKENS_PER_S 10000
#define FULL_ROLLOUT_PERCENT	     100

static const struct number_default {
	const ProtobufCMessageDescriptor *descriptor;
	const char *field;
	uint64_t value;
} number_defaults[] = {
    {&heatherturn__v1__organisation__descriptor, "weight", DEFAULT_WEIGHT},
    {&heatherturn__v1__service__descriptor, "short_deadline_ms",
	DEFAULT_SHORT_DEADLINE_MS},
    {&heatherturn__v1__service__descriptor, "long_deadline_ms",
	DEFAULT_LONG_DEADLINE_MS},
    {&heatherturn__v1__service__descriptor, "long_threshold_tokens",
	DEFAULT_LONG_THRESHOLD},
    {&heatherturn__v1__service__descriptor, "default_output_tokens",
	DEFAULT_OUTPUT_TOKENS},
    {&heatherturn__v1__failure_domain__descriptor, "state",
	HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_IN_SERVICE},
    {&heatherturn__v1__rollout__descriptor, "state",
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING},
    {&heatherturn__v1__upstream__descriptor, "state",
	HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_IN_SERVICE},
    {&heatherturn__v1__upstream__descriptor, "slots", DEFAULT_SLOTS},
    {&heatherturn__v1__upstream__descriptor, "cold_slots", DEFAULT_COLD_SLOTS},
    {&heatherturn__v1__upstream__descriptor, "prefill_tokens_per_s",
	DEFAULT_PREFILL_TOKENS_PER_S},
};

/* Sets a numeric field to its default if it is 0. */
static void
fill_number(ProtobufCMessage *object, const struct number_default *row)
{
	const ProtobufCFieldDescriptor
	    *field = protobuf_c_message_descriptor_get_field_by_name(
		object->descriptor, row->field);
	void *member = G_STRUCT_MEMBER_P(object, field->offset);

	if (field->type == PROTOBUF_C_TYPE_UINT64) {
		if (*(uint64_t *)member == 0)
			*(uint64_t *)member = row->value;
	} else if (*(uint32_t *)member == 0) {
		*(uint32_t *)member = (uint32_t)row->value;
	}
}

/* Gives a rollout without steps a single step to 100 %. */
static void
fill_rollout_steps(Heatherturn__V1__Rollout *rollout)
{
	if (rollout->n_step_percent > 0)
		return;
	rollout->step_percent = g_new(uint32_t, 1);
	rollout->step_percent[0] = FULL_ROLLOUT_PERCENT;
	rollout->n_step_percent = 1;
}

/* Sets an object's unset (zero or empty) fields that have a default. */
void
config_fill_defaults(ProtobufCMessage *object)
{
	Heatherturn__V1__Upstream *upstream;

	for (size_t i = 0; i < G_N_ELEMENTS(number_defaults); i++) {
		if (number_defaults[i].descriptor == object->descriptor)
			fill_number(object, &number_defaults[i]);
	}
	if (object->descriptor == &heatherturn__v1__rollout__descriptor)
		fill_rollout_steps((Heatherturn__V1__Rollout *)object);
	if (object->descriptor == &heatherturn__v1__upstream__descriptor) {
		upstream = (Heatherturn__V1__Upstream *)object;
		if (upstream->dialect[0] == '\0')
			upstream->dialect = g_strdup("engine");
	}
}
