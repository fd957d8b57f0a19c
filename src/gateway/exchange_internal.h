/*
 * What the files of an exchange share: exchange.c, its life; _choice.c, who may
 * serve it; _parts.c, who reads and keeps its prompt; _send.c, what is sent;
 * _answer.c, what comes back; _verdict.c, what an upstream's ends say of it;
 * _retry.c, whether it is sent once more.
 */
#ifndef GATEWAY_EXCHANGE_INTERNAL_H
#define GATEWAY_EXCHANGE_INTERNAL_H

#include "gateway/event_cut.h"
#include "gateway/exchange.h"
#include "gateway/tickets.h"
#include "platform/headers.h"
#include "policy/balance.h"

/* Upstreams that one request can be sent to, whatever its route says. */
#define EXCHANGE_SENDS_MAX 4
/* Tries to connect, which count as no send, beyond those. */
#define EXCHANGE_TRIES_MAX 8

/* A request that can't be sent anywhere is told to come back after this. */
#define EXCHANGE_COME_BACK_MS 500

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
enum send_end {
	SEND_OPEN,
	SEND_ANSWERED, /* the answer is being passed on, or was */
	SEND_NEVER, /* nothing left this host */
	SEND_NOT_RUN, /* the upstream says that it did not run */
	SEND_FAILED, /* the upstream answered with a failure of its own */
	SEND_LOST, /* broke off or was given up: may have run */
};

/* An upstream that reads a part of the prompt of a send. */
struct send_helper {
	char *address;
	char *upstream;
	uint64_t held_tokens; /* set aside there; 0 for none */
	size_t ticket; /* index of its ticket */
};

/* An upstream that reads a part of the prompt, as long as it is expected to. */
struct reader {
	char *upstream;
	struct timespec done;
};

struct exchange {
	struct exchanges *all;
	struct httpd_request *http;
	struct timespec arrived;
	struct timespec deadline; /* nobody waits any longer */
	ev_timer timer; /* at the deadline */
	ev_timer stall; /* an upstream that says nothing is given up */
	ev_timer wait; /* before its prompt is planned once more */
	struct caller_headers head;
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
	struct reader
	    readers[BALANCE_HELPERS_MAX + 1]; /* until they have read */
	size_t reader_count;
	uint64_t part_us; /* that each of them reads */
	ev_timer reading; /* until the next of them has read */
	struct send_helper helpers[BALANCE_HELPERS_MAX];
	size_t helper_count;
	struct tickets *tickets; /* memory that is set aside; or NULL */
	unsigned int ticket_refusals;
	uint32_t *stream_count; /* of its sort at that upstream; or NULL */
	enum send_end send_end;
	bool broke; /* its connection ended under it */
	const char *send_why; /* why an answer was not passed on; or NULL */

	/* The answer. */
	int status; /* that the caller got; 0 before */
	struct response_headers answer;
	GByteArray *body; /* a whole answer that is being read */
	GArray *headers; /* that go with it */
	bool begun; /* a streamed answer has begun */
	bool
	    events; /* it is a stream of events, which another can go on with */
	bool ended;
	struct event_cut cut;
	bool has_last_event;
	uint64_t last_event; /* that the caller has */
	struct timespec first_event_at;
	struct timespec last_event_at;
	int64_t longest_pause_ms; /* between two events */
};

void exchange_answer_refusal(
    struct exchange *, enum refusal, int64_t retry_after_ms, const char *why);
void exchange_send(struct exchange *);
struct retry_window *exchange_retry_window(struct exchange *);
void exchange_drop_helpers(struct exchange *);
size_t exchange_sends_max(const struct exchange *);
bool exchange_may_repeat(struct exchange *, size_t sends, bool repeat);
void exchange_send_ended(struct exchange *, enum send_end);
void exchange_stop_send(struct exchange *);
void exchange_prompt_read(struct exchange *);
void exchange_part_due(struct ev_loop *, ev_timer *, int events);
void exchange_forget_partial(struct exchange *);
void exchange_expect_progress(struct exchange *);
void exchange_stalled(struct ev_loop *, ev_timer *, int events);
void exchange_blame(struct exchange *, const char *at_fault);
void exchange_next(struct exchange *, enum send_end, const char *why);
void exchange_give_up(struct exchange *, enum refusal not_run,
    int64_t retry_after_ms, const char *why);
void exchange_finish(struct exchange *, const char *how);
int64_t exchange_left_ms(const struct exchange *);
int64_t exchange_age_ms(const struct exchange *);
void exchange_waited(struct ev_loop *, ev_timer *, int events);

extern const struct http_call_ops exchange_call_ops;

#endif
