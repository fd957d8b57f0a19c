#include <stddef.h>

#include "peer/message_internal.h"

/* clang-format off */
#define M(type, field) { FIELD_##type, offsetof(struct message, field) }

const struct message_field message_header[HEADER_FIELDS] = {
	M(U32, kind), M(REQUEST, request), M(U32, attempt), M(U64, sequence),
	M(U64, config_version), M(I64, sent_ms),
};

static const struct message_schema schemas[MESSAGE_KINDS] = {
	[MESSAGE_HELLO] = { "hello", {
		M(STRING, hello.process), M(U32, hello.role),
		M(STRING, hello.failure_domain), M(STRING, hello.address),
		M(U64, hello.incarnation), M(BYTES, hello.nonce),
		M(BYTES, hello.proof), M(BOOL, hello.draining) } },
	[MESSAGE_PING] = { "ping", { { FIELD_END, 0 } } },
	[MESSAGE_PONG] = { "pong", { M(I64, pong.ping_sent_ms) } },
	[MESSAGE_PROBE] = { "probe", {
		M(STRING, probe.organisation), M(STRING, probe.service),
		M(U32, probe.work), M(U32, probe.class),
		M(U64, probe.prompt_tokens), M(U64, probe.output_tokens),
		M(U32, probe.remaining_ms), M(U64_ARRAY, probe.prefixes) } },
	[MESSAGE_OFFER] = { "offer", {
		M(BOOL, offer.accepting), M(U32, offer.reason),
		M(U32, offer.wait_ms), M(U64, offer.cached_tokens),
		M(U64, offer.free_tokens), M(U64, offer.memory_tokens),
		M(U32, offer.running), M(U32, offer.queued),
		M(U32, offer.limit), M(U32, offer.retry_after_ms) } },
	[MESSAGE_SUBMIT] = { "submit", {
		M(STRING, submit.organisation), M(U32, submit.weight),
		M(STRING, submit.service), M(U32, submit.work),
		M(U32, submit.class), M(U32, submit.remaining_ms),
		M(U64, submit.prompt_tokens), M(U64, submit.output_tokens),
		M(U64_ARRAY, submit.prefixes), M(U64, submit.fingerprint),
		M(BOOL, submit.suspect), M(BOOL, submit.repeatable),
		M(U32, submit.window_bytes), M(STRING, submit.method),
		M(STRING, submit.path), M(STRING, submit.content_type),
		M(STRING, submit.idempotency_key), M(BYTES, submit.body),
		M(STRING_ARRAY, submit.imports) } },
	[MESSAGE_REJECT] = { "reject", {
		M(U32, reject.reason), M(U32, reject.retry_after_ms),
		M(STRING, reject.text) } },
	[MESSAGE_START] = { "start", {
		M(U32, start.queued_ms), M(U64, start.cached_tokens) } },
	[MESSAGE_CHUNK] = { "chunk", {
		M(U32, chunk.tokens), M(BYTES, chunk.data) } },
	[MESSAGE_FINISH] = { "finish", {
		M(U32, finish.outcome), M(U32, finish.status),
		M(STRING, finish.content_type), M(STRING, finish.text),
		M(U64, finish.prompt_tokens), M(U64, finish.output_tokens),
		M(U64, finish.cached_tokens), M(BOOL, finish.not_run),
		M(STRING, finish.kv) } },
	[MESSAGE_CANCEL] = { "cancel", { M(STRING, cancel.reason) } },
	[MESSAGE_RESUME] = { "resume", {
		M(STRING, resume.organisation), M(U64, resume.after),
		M(U32, resume.window_bytes) } },
	[MESSAGE_WINDOW] = { "window", { M(U32, window.bytes) } },
	[MESSAGE_HOLD] = { "hold", {
		M(STRING, hold.organisation), M(U64, hold.tokens),
		M(U32, hold.expires_ms) } },
	[MESSAGE_HELD] = { "held", {
		M(BOOL, held.granted), M(U32, held.retry_after_ms) } },
	[MESSAGE_RELEASE] = { "release", { { FIELD_END, 0 } } },
	[MESSAGE_DIGEST] = { "digest", {
		M(STRING_ARRAY, digest.names), M(U64_ARRAY, digest.versions),
		M(BOOL, digest.reply) } },
	[MESSAGE_PULL] = { "pull", {
		M(STRING, pull.name), M(U64, pull.have),
		M(BOOL, pull.changes), M(U64_ARRAY, pull.sums) },
		.optional_count = 2 },
	[MESSAGE_DOCUMENT] = { "document", {
		M(STRING, document.name), M(U64, document.version),
		M(BYTES, document.data), M(U64, document.base) },
		.optional_count = 1 },
	[MESSAGE_STATUS_QUERY] = { "census", { { FIELD_END, 0 } } },
	[MESSAGE_STATUS_ANSWER] = { "census_answer", {
		M(STRING, status_answer.process), M(U32, status_answer.role),
		M(STRING, status_answer.failure_domain),
		M(U64, status_answer.config_version),
		M(BOOL, status_answer.draining),
		M(STRING, status_answer.upstream),
		M(STRING, status_answer.model),
		M(STRING, status_answer.adapter),
		M(STRING, status_answer.model_version),
		M(BOOL, status_answer.warm),
		M(U64, status_answer.fencing) } },
	[MESSAGE_SUSPECT] = { "suspect", {
		M(U64, suspect.fingerprint), M(U64, suspect.death),
		M(U32, suspect.deaths), M(U32, suspect.age_ms) } },
	[MESSAGE_LOAD] = { "load", {
		M(BOOL, load.cannot_watch), M(STRING_ARRAY, load.upstreams),
		M(U64_ARRAY, load.running),
		M(U64_ARRAY, load.short_streams),
		M(U64_ARRAY, load.medium_streams),
		M(U64_ARRAY, load.long_streams),
		M(U64_ARRAY, load.context_tokens),
		M(U64_ARRAY, load.prefill_us),
		M(STRING_ARRAY, load.faulty), M(STRING_ARRAY, load.leaving),
		M(U64_ARRAY, load.leaving_starts), M(BOOL, load.changes),
		M(BOOL, load.relay), M(STRING, load.origin),
		M(BOOL, load.may_coordinate), M(U64, load.view),
		M(STRING_ARRAY, load.rated), M(U64_ARRAY, load.rated_starts),
		M(U64_ARRAY, load.rates), M(U64_ARRAY, load.rate_ages_ms),
		M(STRING, load.address), M(U32, load.cpu_permille),
		M(U64_ARRAY, load.waiting), M(U64_ARRAY, load.returning),
		M(U32, load.gateways), M(BOOL, load.holds_retry_share),
		M(BOOL, load.is_new), M(U64_ARRAY, load.queued),
		M(U64, load.routes_version), M(U32, load.routes_age_ms) },
		.optional_count = 22 },
	[MESSAGE_PREFILL] = { "reading", {
		M(STRING_ARRAY, prefill.upstreams),
		M(U64, prefill.part_us), M(U32, prefill.stream),
		M(U64, prefill.context_tokens), M(BOOL, prefill.relay),
		M(STRING, prefill.origin) }, .optional_count = 4 },
	[MESSAGE_CRASHES] = { "crashes", {
		M(U64_ARRAY, crashes.parts), M(U64_ARRAY, crashes.kinds),
		M(U64_ARRAY, crashes.depths), M(U64_ARRAY, crashes.deaths), M(U64_ARRAY, crashes.ages_ms),
		M(U64, crashes.digest), M(U32, crashes.request) } },
	[MESSAGE_PERMIT_ASK] = { "permit_ask", {
		M(STRING, permit_ask.upstream), M(U64, permit_ask.start),
		M(U64, permit_ask.rate), M(U64, permit_ask.rate_age_ms) } },
	[MESSAGE_PERMIT] = { "permit", {
		M(BOOL, permit.granted), M(U64, permit.wait_ms) } },
	[MESSAGE_RATE] = { "rate", {
		M(STRING, rate.upstream), M(U64, rate.start),
		M(BOOL, rate.named), M(U64, rate.rate),
		M(U64, rate.sent_age_ms) } },
	[MESSAGE_RETRY_ASK] = { "retry_ask", {
		M(STRING, retry_ask.service), M(U32, retry_ask.tokens) } },
	[MESSAGE_RETRY_LOAN] = { "retry_loan", {
		M(U32, retry_loan.tokens) } },
};

#undef M
/* clang-format on */

static const char *const reject_names[] = {
    [REJECT_BUSY] = "busy",
    [REJECT_DRAINING] = "draining",
    [REJECT_TOO_LARGE] = "too_large",
    [REJECT_QUARANTINED] = "quarantined",
    [REJECT_EXPIRED] = "expired",
    [REJECT_DOWN] = "down",
    [REJECT_UNKNOWN] = "unknown",
    [REJECT_CANCELLED] = "cancelled",
    [REJECT_STALE] = "stale",
};

static const char *const finish_names[] = {
    [FINISH_OK] = "ok",
    [FINISH_FAILED] = "failed",
    [FINISH_LOST] = "lost",
    [FINISH_EXPIRED] = "expired",
    [FINISH_CANCELLED] = "cancelled",
};

/* Returns a value's name from a sparse table, or "unknown". */
static const char *
name_or_unknown(const char *const *names, size_t count, uint32_t value)
{
	if (value >= count || names[value] == NULL)
		return "unknown";
	return names[value];
}

/* Returns a kind's schema; NULL if the kind is unknown. */
const struct message_schema *
message_schema(uint32_t kind)
{
	if (kind >= MESSAGE_KINDS || schemas[kind].name == NULL)
		return NULL;
	return &schemas[kind];
}

/* Returns the number of a kind's fields, without the header's. */
size_t
message_schema_field_count(const struct message_schema *schema)
{
	size_t count = 0;

	while (count < MESSAGE_FIELDS_MAX &&
	    schema->fields[count].type != FIELD_END)
		count++;
	return count;
}

/* Returns a message kind's name, for logs. */
const char *
message_kind_name(uint32_t kind)
{
	const struct message_schema *schema = message_schema(kind);

	return schema != NULL ? schema->name : "unknown";
}

/* Returns a reject reason's name, for logs and callers. */
const char *
reject_reason_name(uint32_t reason)
{
	return name_or_unknown(
	    reject_names, G_N_ELEMENTS(reject_names), reason);
}

/* Returns a finish outcome's name, for logs. */
const char *
finish_outcome_name(uint32_t outcome)
{
	return name_or_unknown(
	    finish_names, G_N_ELEMENTS(finish_names), outcome);
}

/* Returns a kind of work's name, for logs. */
const char *
work_kind_name(uint32_t kind)
{
	static const char *const names[] = {
	    [WORK_GENERATE] = "generate",
	    [WORK_CALL] = "call",
	    [WORK_SHARD] = "shard",
	};

	return name_or_unknown(names, G_N_ELEMENTS(names), kind);
}

/* Returns a class of work's name, for logs. */
const char *
work_class_name(uint32_t class)
{
	static const char *const names[] = {
	    [WORK_SHORT] = "short",
	    [WORK_LONG] = "long",
	};

	return name_or_unknown(names, G_N_ELEMENTS(names), class);
}
