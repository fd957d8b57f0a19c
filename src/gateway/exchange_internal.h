/*
 * Shared by the files of an exchange: exchange.c, its start, end and refusals;
 * _selection.c, which upstreams it may use; _prefill.c, where its prompt is
 * prefilled and its KV cache kept; _prompt.c, which upstreams are believed to
 * hold a prefix of it; _rank.c, how urgent it is; _return.c, when it comes
 * back; _send.c, sending it; _response.c, forwarding the response;
 * _events.c, its events; _health.c, what the outcome says about an upstream;
 * _retry.c, whether it is sent again; _explain.c, where it would go.
 */
#ifndef GATEWAY_EXCHANGE_INTERNAL_H
#define GATEWAY_EXCHANGE_INTERNAL_H

#include "gateway/event_splitter.h"
#include "gateway/exchange.h"
#include "gateway/prompt_cache.h"
#include "gateway/reservations.h"
#include "platform/headers.h"
#include "policy/balance.h"
#include "policy/event_position.h"
#include "policy/precedence.h"
#include "routing/service_ranks.h"

/* Maximum number of upstreams that a request is sent to, on any route. */
#define EXCHANGE_SENDS_MAX 4
/* Maximum number of connection attempts; one that sent nothing is no send. */
#define EXCHANGE_TRIES_MAX 8

/* Used if neither the caller nor the route sets a time limit. */
#define EXCHANGE_DEADLINE_DEFAULT_MS 60000

/* Reasons for which the gateway itself answers a request. */
enum refusal {
	REFUSAL_NOT_READY, /* no routing table received yet */
	REFUSAL_BAD_REQUEST,
	REFUSAL_NO_ROUTE,
	REFUSAL_NO_KEY,
	REFUSAL_NOT_CURRENT, /* a newer configuration may allow it */
	REFUSAL_NO_UPSTREAM, /* none is available; not executed */
	REFUSAL_DRAINING, /* this process stops; not executed */
	REFUSAL_OVERLOADED, /* can't be served in time; not executed */
	REFUSAL_QUARANTINED, /* crashed the upstreams that ran it */
	REFUSAL_NOT_RUN, /* rejected by the upstreams; not executed */
	REFUSAL_LOST, /* sent, outcome unknown */
	REFUSAL_TIMEOUT, /* sent, no response in time */
	REFUSALS,
};

/* Who made the status of the response to a caller. */
enum status_origin {
	STATUS_FROM_NONE, /* no response yet */
	STATUS_FROM_GATEWAY,
	STATUS_FROM_UPSTREAM, /* with a seal */
	STATUS_FROM_UNSEALED_UPSTREAM,
};

/* Outcome of sending a request to one upstream. */
enum send_outcome {
	SEND_OPEN,
	SEND_ANSWERED, /* the response is or was forwarded to the caller */
	SEND_NOT_SENT, /* no byte of the request was sent */
	SEND_NO_PERMIT, /* the rate that the upstream names is used up */
	SEND_NOT_RUN, /* the upstream says that it did not execute it */
	SEND_FAILED, /* the upstream responded with an error of its own */
	SEND_LOST, /* disconnected or cancelled: may have been executed */
};

/* An upstream that helps to prefill the prompt of a send. */
struct send_helper {
	char *address;
	char *upstream;
	uint64_t reserved_tokens; /* of KV cache reserved there; 0 for none */
	size_t reservation; /* index of its reservation */
};

/* A part of the prompt at one upstream, until it should be prefilled. */
struct prefill_part {
	char *upstream;
	struct timespec done;
};

/* What upstreams are believed to hold of the prompt. */
struct exchange_prompt {
	struct prompt_prefixes prefixes;
	bool initialised; /* the prefixes are set */
	bool sent; /* the members below are those of the current send */
	bool kept; /* its upstream alone holds the prompt's KV cache */
	bool is_guess; /* its upstream is the home of the prefix */
	double saved_ms; /* prefill time that its upstream saves */
	double expected_ms; /* time to the first token, with that saved */
	struct prompt_cache_use use;
};

struct exchange {
	struct exchange_context *context;
	struct httpd_request *http;
	struct timespec arrived;
	struct timespec deadline; /* end of the time to respond */
	ev_timer deadline_timer; /* expires at the deadline */
	ev_timer stall_timer; /* expires if the upstream sends nothing */
	ev_timer wait_timer; /* delays the next attempt to place the prompt */
	struct caller_headers caller_headers;
	uint64_t fingerprint; /* hash of organisation, target and body */
	uint64_t routes_version; /* that it was routed with */
	struct route *route; /* references, like the next two; or NULL */
	struct organisation *organisation; /* NULL on public routes */
	struct service_profile *profile;
	struct precedence_ranks ranks; /* of the service */
	uint32_t rank; /* 0 is the most urgent */
	bool held_back; /* at least once, for more urgent streams */
	bool counted_waiting; /* among what waits by rank */
	struct exchange_prompt prompt;

	/* Sends. */
	char *tried[EXCHANGE_TRIES_MAX]; /* upstream ids */
	size_t tries;
	char *faulty_upstream; /* reported by another upstream; or NULL */
	size_t sends; /* tries that sent at least a part of the request */
	size_t rejections; /* of sends: the upstream did not execute it */
	bool may_have_run;
	bool is_dry_run; /* is only planned, and must change nothing */
	bool is_probe; /* tests whether it, or a refused part, crashes */
	struct http_call *call; /* NULL while nothing is being sent */
	struct fleet_upstream *upstream; /* of the current send */
	uint64_t context_tokens; /* added to the load of that upstream */
	struct prefill_part
	    prefill_parts[BALANCE_HELPERS_MAX + 1]; /* not yet prefilled */
	size_t prefill_part_count;
	uint64_t prefill_part_us; /* predicted prefill time of each part */
	ev_timer prefill_timer; /* expires when the next part should be done */
	struct send_helper helpers[BALANCE_HELPERS_MAX];
	size_t helper_count;
	struct permit *permit; /* that is waited for; or NULL */
	struct reservations *reservations; /* reserved KV cache; or NULL */
	unsigned int reservation_refusals;
	uint32_t *stream_count; /* of its stream class; or NULL */
	enum send_outcome send_outcome;
	struct timespec sent_at; /* start of this send */
	int64_t expected_ms; /* from then to the first event */
	struct timespec begun_at; /* response of this send; or unset */
	uint32_t send_events; /* of the run, in this send */
	bool continues; /* this send continues a stream that has begun */
	bool disconnected; /* the connection broke during the send */
	const char *send_error; /* why not forwarded; or NULL */

	/* Response. */
	int status; /* sent to the caller; 0 before that */
	enum status_origin status_origin;
	struct response_headers response;
	GByteArray *body; /* response that is being buffered */
	GArray *headers; /* of the response to the caller */
	bool streaming; /* a streamed response has begun */
	bool is_event_stream; /* the response has events of a stream route */
	bool had_other_type; /* a run responded with no event stream */
	int doubted_status; /* of the run before, not believed; 0 for none */
	bool finished;
	bool paused; /* the upstream is not read, as the caller is slow */
	uint64_t taken_bytes; /* of the response, when last looked at */
	struct timespec taken_at; /* when the caller was last seen to read */
	struct event_splitter splitter;
	struct event_position position; /* of the events sent to the caller */
	GByteArray *held; /* event that is in doubt until the next one */
	struct timespec first_event_at;
	struct timespec last_event_at;
	int64_t longest_gap_ms; /* longest time between two events */
	uint32_t events; /* passed on to the caller */
	uint32_t events_in_doubt; /* held back */
	TAILQ_ENTRY(exchange) entry;
};

void exchange_refuse(
    struct exchange *, enum refusal, int64_t retry_after_ms, const char *why);
bool exchange_find_route(struct exchange *, const struct routing_table *);
void exchange_release_route(struct exchange *);
void exchange_send(struct exchange *);
void exchange_set_rank(struct exchange *, const struct service_ranks *);
void exchange_describe_rank(const struct exchange *, struct balance_prompt *);
void exchange_set_urgency(const struct exchange *, struct upstream_headers *);
void exchange_describe_order(
    struct exchange *, size_t engines, struct balance_prompt *);
enum balance_verdict exchange_hold_back(
    struct exchange *, enum balance_verdict, const struct balance_plan *);
void exchange_count_waiting(struct exchange *);
void exchange_end_waiting(struct exchange *);
void exchange_schedule_plan(struct exchange *);
bool exchange_may_begin(struct exchange *);
bool exchange_refuse_crashing(struct exchange *);
bool exchange_reject_if_host_short(struct exchange *);
struct crash_subjects exchange_crash_subjects(const struct exchange *);
void exchange_report_begin_survival(struct exchange *);
void exchange_check_survival(struct exchange *);
void exchange_check_death(struct exchange *, bool is_success);
crash_sync_refused_fn exchange_on_crashing_refused;
void exchange_clear_helpers(struct exchange *);
size_t exchange_sends_max(const struct exchange *);
size_t exchange_used_attempts(
    const struct exchange *, size_t sends, bool may_have_run);
bool exchange_may_wait_to_resume(const struct exchange *);
bool exchange_may_retry(struct exchange *, size_t sends, bool may_have_run);
void exchange_end_send(struct exchange *, enum send_outcome);
void exchange_stop_send(struct exchange *);
void exchange_clear_prefill(struct exchange *);
void exchange_check_prompt(struct exchange *);
void exchange_end_prompt(
    struct exchange *, const struct fleet_upstream *, enum send_outcome);
void exchange_on_prefill_timer(struct ev_loop *, ev_timer *, int events);
void exchange_discard_partial(struct exchange *);
event_splitter_fn exchange_forward_event;
bool exchange_end_held(struct exchange *);
void exchange_restart_stall_timer(struct exchange *);
void exchange_on_stall_timeout(struct ev_loop *, ev_timer *, int events);
void exchange_apply_notice(
    struct exchange *, struct fleet_upstream *, const struct upstream_notice *);
void exchange_mark_faulty(struct exchange *, const char *faulty_upstream);
void exchange_retry_or_fail(
    struct exchange *, enum send_outcome, const char *why);
int64_t exchange_retry_after_ms(struct exchange *);
int64_t exchange_return_after_ms(
    const struct exchange *, double room_ms, const struct balance_plan *);
double exchange_mean_backlog_ms(const struct exchange *);
void exchange_fail(struct exchange *, enum refusal not_run,
    int64_t retry_after_ms, const char *why);
void exchange_finish(struct exchange *, const char *how);
int64_t exchange_remaining_ms(const struct exchange *);
int64_t exchange_age_ms(const struct exchange *);
void exchange_on_wait_timer(struct ev_loop *, ev_timer *, int events);

extern const struct http_call_ops exchange_call_ops;

#endif
