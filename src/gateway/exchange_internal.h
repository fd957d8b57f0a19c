/*
 * What the files of an exchange share: exchange.c, its life; _choice.c, who may
 * serve it; _parts.c, who reads and keeps its prompt; _send.c, what is sent;
 * _answer.c, what comes back; _verdict.c, what an upstream's ends say of it;
 * _retry.c, whether it is sent once more.
 */
#ifndef GATEWAY_EXCHANGE_INTERNAL_H
#define GATEWAY_EXCHANGE_INTERNAL_H

#include "gateway/event_splitter.h"
#include "gateway/exchange.h"
#include "gateway/reservations.h"
#include "platform/headers.h"
#include "policy/balance.h"

/* Upstreams that one request can be sent to, whatever its route says. */
#define EXCHANGE_SENDS_MAX 4
/* Tries to connect, which count as no send, beyond those. */
#define EXCHANGE_TRIES_MAX 8

/* A request that can't be sent anywhere is told to come back after this. */
#define EXCHANGE_RETRY_AFTER_MS 500

/* Why a request is answered by ourselves. */
enum refusal {
	REFUSAL_NOT_READY, /* no routing table yet */
	REFUSAL_BAD_REQUEST,
	REFUSAL_NO_ROUTE,
	REFUSAL_NO_KEY,
	REFUSAL_NO_UPSTREAM, /* none takes new work now; not run */
	REFUSAL_OVERLOADED, /* can't be served in time; not run */
	REFUSAL_QUARANTINED, /* killed the upstreams that ran it */
	REFUSAL_NOT_RUN, /* upstreams turned it away; not run */
	REFUSAL_LOST, /* sent, and what came of it is unknown */
	REFUSAL_TIMEOUT, /* sent, and no answer in time */
	REFUSALS,
};

/* How a send ended, as far as the request's fate goes. */
enum send_outcome {
	SEND_OPEN,
	SEND_ANSWERED, /* the answer is being passed on, or was */
	SEND_NOT_SENT, /* nothing left this host */
	SEND_NOT_RUN, /* the upstream says that it did not run */
	SEND_FAILED, /* the upstream answered with a failure of its own */
	SEND_LOST, /* broke off or was given up: may have run */
};

/* An upstream that reads a part of the prompt of a send. */
struct send_helper {
	char *address;
	char *upstream;
	uint64_t held_tokens; /* set aside there; 0 for none */
	size_t reservation; /* index of its ticket */
};

/* An upstream that reads a part of the prompt, as long as it is expected to. */
struct prefill_part {
	char *upstream;
	struct timespec done;
};

struct exchange {
	struct exchange_context *context;
	struct httpd_request *http;
	struct timespec arrived;
	struct timespec deadline; /* nobody waits any longer */
	ev_timer deadline_timer; /* at the deadline */
	ev_timer stall_timer; /* an upstream that says nothing is given up */
	ev_timer wait_timer; /* before its prompt is planned once more */
	struct caller_head head;
	uint64_t fingerprint; /* of organisation, target and body */
	struct routing_table *table; /* that it was routed by */
	const struct route *route;
	const struct organisation *organisation; /* NULL on public routes */
	const struct service_profile *profile;

	/* Sends. */
	char *tried[EXCHANGE_TRIES_MAX]; /* ids of upstreams */
	size_t tries;
	char *at_fault; /* id of one that an upstream blamed; or NULL */
	size_t sends; /* tries on which something left this host */
	bool may_have_run;
	struct http_call *call; /* NULL between two sends */
	struct upstream *upstream; /* of the send that is open */
	uint64_t context_tokens; /* counted at that upstream */
	struct prefill_part
	    prefill_parts[BALANCE_HELPERS_MAX + 1]; /* until they have read */
	size_t prefill_part_count;
	uint64_t prefill_part_us; /* that each of them reads */
	ev_timer prefill_timer; /* until the next of them has read */
	struct send_helper helpers[BALANCE_HELPERS_MAX];
	size_t helper_count;
	struct reservations
	    *reservations; /* memory that is set aside; or NULL */
	unsigned int reservation_refusals;
	uint32_t *stream_count; /* of its sort at that upstream; or NULL */
	enum send_outcome send_outcome;
	bool disconnected; /* its connection ended under it */
	const char *send_error; /* why an answer was not passed on; or NULL */

	/* The answer. */
	int status; /* that the caller got; 0 before */
	struct answer_head response;
	GByteArray *body; /* a whole answer that is being read */
	GArray *headers; /* that go with it */
	bool streaming; /* a streamed answer has begun */
	bool is_event_stream; /* it is a stream of events, which another can go
				 on with */
	bool finished;
	struct event_splitter splitter;
	bool has_last_event;
	uint64_t last_event; /* that the caller has */
	struct timespec first_event_at;
	struct timespec last_event_at;
	int64_t longest_gap_ms; /* between two events */
};

void exchange_refuse(
    struct exchange *, enum refusal, int64_t retry_after_ms, const char *why);
void exchange_send(struct exchange *);
struct retry_window *exchange_retry_window(struct exchange *);
void exchange_clear_helpers(struct exchange *);
size_t exchange_sends_max(const struct exchange *);
bool exchange_may_retry(struct exchange *, size_t sends, bool repeat);
void exchange_send_ended(struct exchange *, enum send_outcome);
void exchange_stop_send(struct exchange *);
void exchange_clear_prefill(struct exchange *);
void exchange_on_prefill_timer(struct ev_loop *, ev_timer *, int events);
void exchange_discard_partial(struct exchange *);
void exchange_restart_stall_timer(struct exchange *);
void exchange_on_stall_timeout(struct ev_loop *, ev_timer *, int events);
void exchange_mark_faulty(struct exchange *, const char *at_fault);
void exchange_retry_or_fail(
    struct exchange *, enum send_outcome, const char *why);
void exchange_fail(struct exchange *, enum refusal not_run,
    int64_t retry_after_ms, const char *why);
void exchange_finish(struct exchange *, const char *how);
int64_t exchange_remaining_ms(const struct exchange *);
int64_t exchange_age_ms(const struct exchange *);
void exchange_on_wait_timer(struct ev_loop *, ev_timer *, int events);

extern const struct http_call_ops exchange_call_ops;

#endif
