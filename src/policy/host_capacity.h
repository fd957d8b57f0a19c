/*
 * Whether the host of this process is short of processor time, memory or link,
 * and what follows for callers: how many bytes are buffered for each, which are
 * disconnected, whether new requests are accepted and whether connections are
 * kept. A limit that is not known (0) has no consequences.
 */
#ifndef POLICY_HOST_CAPACITY_H
#define POLICY_HOST_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the settings say about the host; 0 for unknown. */
struct host_limits {
	double cpu_share; /* of one core */
	int64_t memory_mb;
	double link_mbps;
};

/* What is measured. */
struct host_use {
	double cpu_share; /* used in the last second, of one core */
	double delay_ms; /* of timers, a mean that follows the last second */
	size_t open_requests;
	size_t buffered_bytes; /* of requests and responses, all callers */
	size_t queued_bytes; /* of these, waiting to be sent */
};

/* A caller with bytes that it has not read. */
struct host_reader {
	int64_t unread_ms; /* since it has last read anything */
	int64_t gap_ms; /* limit of the gaps of its stream; 0 for none */
	bool is_paused; /* its upstream is not read meanwhile */
};

/* Why a request is not accepted. */
enum host_shortage {
	HOST_SHORTAGE_NONE,
	HOST_SHORTAGE_CPU,
	HOST_SHORTAGE_MEMORY,
	HOST_SHORTAGE_LINK,
};

bool host_limits_are_known(const struct host_limits *);
size_t host_capacity_buffer_max(
    const struct host_limits *, const struct host_use *, size_t default_bytes);
bool host_capacity_disconnects(const struct host_limits *,
    const struct host_use *, const struct host_reader *);
enum host_shortage host_capacity_check_request(
    const struct host_limits *, const struct host_use *, double target_ms);
bool host_capacity_closes_connections(
    const struct host_limits *, const struct host_use *, bool closes_now);
const char *host_shortage_name(enum host_shortage);

#endif
