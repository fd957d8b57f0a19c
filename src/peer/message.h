/*
 * The messages between our processes, and their codec. A message is one struct
 * with a kind and the fields of that kind; message_kinds.c holds one table of
 * fields per kind, from which encoding, decoding and freeing are derived.
 */
#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define MESSAGE_ERROR (message_error_quark())

/* Longest frame that is sent or accepted, without its length field. */
#define FRAME_MAX_BYTES (16 * 1024 * 1024)
/* A request id as text with its NUL: 32 hex digits. */
#define REQUEST_ID_SIZE 33

enum message_error {
	MESSAGE_ERROR_MALFORMED,
	MESSAGE_ERROR_TOO_LONG,
	MESSAGE_ERROR_UNKNOWN_KIND,
};

enum message_kind {
	MESSAGE_HELLO = 1, /* first message of each side */
	MESSAGE_PING,
	MESSAGE_PONG,
	MESSAGE_PROBE, /* asks how an upstream would serve a request */
	MESSAGE_OFFER, /* the answer to a probe */
	MESSAGE_SUBMIT, /* a request to be queued and run */
	MESSAGE_REJECT, /* a submit that was not run */
	MESSAGE_START, /* the request was sent to the upstream */
	MESSAGE_CHUNK, /* a part of the response, numbered by sequence */
	MESSAGE_FINISH, /* the end of the response */
	MESSAGE_CANCEL,
	MESSAGE_RESUME, /* send a stream again after a sequence number */
	MESSAGE_WINDOW, /* the receiver of chunks accepts more bytes */
	MESSAGE_HOLD, /* reserve memory for a prompt across engines */
	MESSAGE_HELD, /* the answer to a hold */
	MESSAGE_RELEASE, /* free a hold and the blocks computed under it */
	MESSAGE_DIGEST, /* versions of the sender's documents */
	MESSAGE_PULL, /* send a document if newer than this version */
	MESSAGE_DOCUMENT,
	MESSAGE_STATUS_QUERY, /* asks for configuration and state */
	MESSAGE_STATUS_ANSWER,
	MESSAGE_SUSPECT, /* a request that was running when an upstream died */
	MESSAGE_LOAD, /* the sender's requests at each upstream */
	MESSAGE_PREFILL, /* a prompt that the sender has just sent */
	MESSAGE_CRASHES, /* prompt parts with which upstreams died or not */
	MESSAGE_PERMIT_ASK, /* for a request to an upstream that names a rate */
	MESSAGE_PERMIT, /* the answer to it */
	MESSAGE_RATE, /* whether a response of such an upstream named it */
	MESSAGE_RETRY_ASK, /* for retry slack of a service */
	MESSAGE_RETRY_LOAN, /* the answer to it */
	MESSAGE_KINDS,
};

enum role {
	ROLE_ENTRY = 1,
	ROLE_SIDECAR,
	ROLE_CTL,
	ROLE_GATEWAY,
};

enum work_kind {
	WORK_GENERATE = 1,
	WORK_CALL, /* to a plain service */
	WORK_SHARD, /* prefill of a group member's part of a prompt */
};

enum work_class {
	WORK_SHORT = 1,
	WORK_LONG,
};

enum reject_reason {
	REJECT_BUSY = 1, /* queue full, or deadline can't be met */
	REJECT_DRAINING, /* upstream or failure domain accepts no new work */
	REJECT_TOO_LARGE, /* needs more memory than the engine has */
	REJECT_QUARANTINED,
	REJECT_EXPIRED, /* deadline passed before it started */
	REJECT_DOWN, /* upstream does not answer */
	REJECT_UNKNOWN, /* no such run to resume */
	REJECT_CANCELLED, /* cancelled before it started */
	REJECT_STALE, /* attempt older than the latest known */
};

enum finish_outcome {
	FINISH_OK = 1,
	FINISH_FAILED, /* the upstream answered with an error */
	FINISH_LOST, /* the upstream died or timed out; outcome unknown */
	FINISH_EXPIRED, /* deadline passed while it ran */
	FINISH_CANCELLED,
};

struct bytes {
	uint8_t *data;
	size_t length;
};

struct u64_array {
	uint64_t *items;
	size_t count;
};

struct string_array {
	char **items;
	size_t count;
};

struct message_hello {
	char *process;
	uint32_t role; /* enum role */
	char *failure_domain;
	char *address; /* listening address; empty for none */
	uint64_t incarnation;
	struct bytes nonce;
	struct bytes proof; /* keyed hash over both nonces */
	bool draining;
};

struct message_pong {
	int64_t ping_sent_ms; /* copied from the ping's header */
};

struct message_probe {
	char *organisation;
	char *service;
	uint32_t work; /* enum work_kind */
	uint32_t class; /* enum work_class */
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint32_t remaining_ms;
	struct u64_array prefixes;
};

struct message_offer {
	bool accepting;
	uint32_t reason; /* enum reject_reason if not accepting */
	uint32_t wait_ms; /* expected time to the first token */
	uint64_t cached_tokens;
	uint64_t free_tokens;
	uint64_t memory_tokens;
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* concurrent requests, as ramped up now */
	uint32_t retry_after_ms;
};

struct message_submit {
	char *organisation;
	uint32_t weight; /* of the organisation, in fair queueing */
	char *service;
	uint32_t work; /* enum work_kind */
	uint32_t class; /* enum work_class */
	uint32_t remaining_ms; /* to the deadline, when sent */
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	struct u64_array prefixes;
	uint64_t fingerprint; /* of organisation and prompt */
	bool suspect; /* was running when an upstream died; run alone */
	bool repeatable;
	uint32_t window_bytes; /* bytes of chunks to send before a WINDOW */
	char *method; /* plain services */
	char *path;
	char *content_type;
	char *idempotency_key;
	struct bytes body; /* a prompt, or a plain service's body */
	struct string_array imports; /* KVID@HOST:PORT of a group's shards */
};

struct message_reject {
	uint32_t reason; /* enum reject_reason */
	uint32_t retry_after_ms;
	char *text;
};

struct message_start {
	uint32_t queued_ms;
	uint64_t cached_tokens;
};

struct message_chunk {
	uint32_t tokens;
	struct bytes data;
};

struct message_finish {
	uint32_t outcome; /* enum finish_outcome */
	uint32_t status; /* HTTP status of a plain service */
	char *content_type;
	char *text; /* finish reason, or error text */
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t cached_tokens;
	bool not_run; /* certain that it never reached the upstream */
	char *kv; /* of a shard: KVID@HOST:PORT */
};

struct message_cancel {
	char *reason;
};

struct message_resume {
	char *organisation;
	uint64_t after; /* sequence of the last chunk received */
	uint32_t window_bytes;
};

struct message_window {
	uint32_t bytes;
};

struct message_hold {
	char *organisation;
	uint64_t tokens;
	uint32_t expires_ms;
};

struct message_held {
	bool granted;
	uint32_t retry_after_ms;
};

struct message_digest {
	struct string_array names;
	struct u64_array versions;
	bool reply; /* answers a digest; is not answered */
};

struct message_pull {
	char *name;
	uint64_t have;
	bool changes; /* changes since then are enough */
	struct u64_array sums; /* checksums of what differs from that */
};

struct message_document {
	char *name;
	uint64_t version;
	struct bytes data;
	uint64_t base; /* version that data changes; 0 for a whole document */
};

struct message_status_answer {
	char *process;
	uint32_t role;
	char *failure_domain;
	uint64_t config_version;
	bool draining;
	char *upstream; /* a sidecar's upstream if up, else empty */
	char *model; /* loaded on the upstream, as the next two */
	char *adapter;
	char *model_version;
	bool warm;
	uint64_t fencing; /* of the newest order applied by the upstream */
};

struct message_suspect {
	uint64_t fingerprint;
	uint64_t death; /* id; 0 for a survival */
	uint32_t deaths; /* 1, or 0 if an upstream has survived the request */
	uint32_t age_ms; /* since then */
};

/* An age of the configuration in a load report that is not known. */
#define LOAD_AGE_UNKNOWN UINT32_MAX

struct message_load {
	bool cannot_watch; /* the store: disconnected or just started */
	struct string_array upstreams; /* as many as in each array below */
	struct u64_array running; /* requests */
	struct u64_array short_streams; /* of running, as the next two */
	struct u64_array medium_streams;
	struct u64_array long_streams;
	struct u64_array context_tokens; /* of all running requests */
	struct u64_array prefill_us; /* prompts without a first token */
	struct string_array faulty; /* not reached by another upstream */
	struct string_array leaving; /* have announced that they leave */
	struct u64_array leaving_starts; /* wall ms of their starts, or 0 */
	bool changes; /* upstreams not listed are as in the last message */
	bool relay; /* to be passed on in the receiver's failure domain */
	char *origin; /* process whose message a relay passes on; or empty */
	bool may_coordinate; /* shared rates */
	uint64_t view; /* of those that may, see policy/shared_rate.h */
	struct string_array rated; /* upstreams whose named rates follow */
	struct u64_array rated_starts; /* wall ms of their starts, or 0 */
	struct u64_array rates; /* per 1,000,000 s; 0: no longer named */
	struct u64_array rate_ages_ms; /* since they were observed */
	char *address; /* of the process; empty in most reports of changes */
	uint32_t cpu_permille; /* of a core that its host has; 0: unknown */
	struct u64_array waiting; /* unused, like the next: of earlier builds */
	struct u64_array returning;
	uint32_t gateways; /* that the sender knows, itself included */
	bool holds_retry_share; /* of the retry slack */
	bool is_new; /* cannot_watch only because it has just started */
	struct u64_array queued; /* by rank; rows as of gateway/rank_sync.h */
	/* Newest configuration by the store's answer; 0: the sender has none.
	 */
	uint64_t routes_version;
	uint32_t routes_age_ms; /* since that was the newest; or unknown */
};

struct message_prefill {
	struct string_array upstreams; /* one prefill part each */
	uint64_t part_us; /* prefill time of each part */
	uint32_t stream; /* 1 + enum stream_class, decoded by the first one */
	uint64_t context_tokens; /* of that stream */
	bool relay; /* as of a load, like the next one */
	char *origin;
};

struct message_crashes {
	struct u64_array parts; /* as many as in each array below */
	struct u64_array kinds; /* enum part_event_kind */
	struct u64_array depths; /* positions in a prompt */
	struct u64_array deaths; /* ids */
	struct u64_array ages_ms;
	uint64_t digest; /* of all charges that the sender knows */
	uint32_t request; /* whether to send more if the digest differs */
};

struct message_permit_ask {
	char *upstream;
	uint64_t start; /* wall ms of its start, or 0 */
	uint64_t rate; /* that it names, per 1,000,000 s */
	uint64_t rate_age_ms; /* since it was observed */
};

struct message_permit {
	bool granted;
	uint64_t wait_ms; /* if not, until the next one is free */
};

struct message_rate {
	char *upstream;
	uint64_t start; /* wall ms of its start, or 0 */
	bool named;
	uint64_t rate; /* if named, per 1,000,000 s */
	uint64_t sent_age_ms; /* since the request was sent */
};

struct message_retry_ask {
	char *service;
	uint32_t tokens;
};

struct message_retry_loan {
	uint32_t tokens; /* 0 to that of the question */
};

struct message {
	uint32_t kind; /* enum message_kind */
	char request[REQUEST_ID_SIZE]; /* empty for none */
	uint32_t attempt;
	uint64_t sequence;
	uint64_t config_version; /* the sender's */
	int64_t sent_ms; /* the sender's monotonic clock */
	union {
		struct message_hello hello;
		struct message_pong pong;
		struct message_probe probe;
		struct message_offer offer;
		struct message_submit submit;
		struct message_reject reject;
		struct message_start start;
		struct message_chunk chunk;
		struct message_finish finish;
		struct message_cancel cancel;
		struct message_resume resume;
		struct message_window window;
		struct message_hold hold;
		struct message_held held;
		struct message_digest digest;
		struct message_pull pull;
		struct message_document document;
		struct message_status_answer status_answer;
		struct message_suspect suspect;
		struct message_load load;
		struct message_prefill prefill;
		struct message_crashes crashes;
		struct message_permit_ask permit_ask;
		struct message_permit permit;
		struct message_rate rate;
		struct message_retry_ask retry_ask;
		struct message_retry_loan retry_loan;
	};
};

GQuark message_error_quark(void);
const char *message_kind_name(uint32_t kind);
const char *reject_reason_name(uint32_t reason);
const char *finish_outcome_name(uint32_t outcome);
const char *work_kind_name(uint32_t kind);
const char *work_class_name(uint32_t class);
GByteArray *message_encode(const struct message *, GError **);
uint64_t message_encode_rate(double per_s);
double message_decode_rate(uint64_t rate);
struct message *message_decode(const uint8_t *, size_t, GError **);
void message_free(struct message *);

#endif
