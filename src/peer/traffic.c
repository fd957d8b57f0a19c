#include "peer/traffic.h"

#include "base/metrics.h"
#include "peer/message.h"

/* Messages and bytes of one sort, in both directions. */
struct traffic {
	struct metric sent_messages;
	struct metric sent_bytes;
	struct metric received_messages;
	struct metric received_bytes;
};

#define COUNTER(metric_name, metric_labels, text)              \
	{                                                      \
		.kind = METRIC_COUNTER, .name = (metric_name), \
		.labels = (metric_labels), .help = (text)      \
	}

#define TRAFFIC(sort)                                                         \
	{                                                                     \
		.sent_messages = COUNTER("heatherturn_link_messages",         \
		    "sort=\"" sort "\",direction=\"sent\"",                   \
		    "Messages on peer links, by sort and direction."),        \
		.sent_bytes = COUNTER("heatherturn_link_bytes",               \
		    "sort=\"" sort "\",direction=\"sent\"",                   \
		    "Bytes of frames on peer links, by sort and direction."), \
		.received_messages = COUNTER("heatherturn_link_messages",     \
		    "sort=\"" sort "\",direction=\"received\"",               \
		    "Messages on peer links, by sort and direction."),        \
		.received_bytes = COUNTER("heatherturn_link_bytes",           \
		    "sort=\"" sort "\",direction=\"received\"",               \
		    "Bytes of frames on peer links, by sort and direction."), \
	}

static struct traffic handshakes = TRAFFIC("handshake");
static struct traffic heartbeats = TRAFFIC("heartbeat");
static struct traffic offers = TRAFFIC("offer");
static struct traffic work = TRAFFIC("work");
static struct traffic documents = TRAFFIC("document");

/* Returns the sort of a message kind. */
static struct traffic *
traffic_for_kind(uint32_t kind)
{
	switch (kind) {
	case MESSAGE_HELLO:
		return &handshakes;
	case MESSAGE_PING:
	case MESSAGE_PONG:
		return &heartbeats;
	case MESSAGE_PROBE:
	case MESSAGE_OFFER:
	case MESSAGE_HOLD:
	case MESSAGE_HELD:
	case MESSAGE_RELEASE:
		return &offers;
	case MESSAGE_DIGEST:
	case MESSAGE_PULL:
	case MESSAGE_DOCUMENT:
	case MESSAGE_STATUS_QUERY:
	case MESSAGE_STATUS_ANSWER:
	case MESSAGE_SUSPECT:
	case MESSAGE_CRASHES:
		return &documents;
	default:
		return &work;
	}
}

/* Counts a queued frame; bytes include its length field. */
void
traffic_count_sent(uint32_t kind, size_t bytes)
{
	struct traffic *traffic = traffic_for_kind(kind);

	metric_add(&traffic->sent_messages, 1);
	metric_add(&traffic->sent_bytes, (int64_t)bytes);
}

/* Counts a received frame; bytes include its length field. */
void
traffic_count_received(uint32_t kind, size_t bytes)
{
	struct traffic *traffic = traffic_for_kind(kind);

	metric_add(&traffic->received_messages, 1);
	metric_add(&traffic->received_bytes, (int64_t)bytes);
}
