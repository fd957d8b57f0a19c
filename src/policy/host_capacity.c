#include "policy/host_capacity.h"

#include <glib.h>

#define MEMORY_MB_BYTES 1e6
/* Share of the memory that the buffers of all callers together may take. */
#define BUFFERS_SHARE 0.25
/*
 * Share of the memory over which no request is accepted. The rest is for the
 * program itself (12 MB), the routes and what the allocator has not returned.
 */
#define MEMORY_SHARE 0.75
/*
 * Memory of one open request besides its buffers: both connections, curl's
 * handle and the exchange. Measured as 55 KB with 400 streams.
 */
#define REQUEST_BYTES ((size_t)56 * 1024)
/* Least buffer of a caller: a few events, so that it can make progress. */
#define BUFFER_MIN_BYTES ((size_t)4 * 1024)
/* Share of the buffers over which callers that read nothing are cut. */
#define PRESSURE_SHARE 0.5
/*
 * An upstream cuts off a response that stays unread for some seconds, and the
 * request would be taken for one whose upstream failed.
 */
#define PAUSE_MAX_MS 2000
/*
 * A caller that reads nothing for less than this may be repeating a lost
 * segment.
 */
#define UNREAD_MIN_MS 500
/* Share of the processor time over which the process is short of it. */
#define CPU_FULL_SHARE 0.9
/*
 * Share of a request's target that timers may be late before it is rejected:
 * each of its parts waits that long here (request, first event).
 */
#define DELAY_SHARE 0.5
/*
 * Connections are closed from the first pair of values on and kept again below
 * the second. Events must be passed on within 120 ms, so that the delay is a
 * third of that at the first.
 */
#define CLOSE_CPU_SHARE	     0.8
#define CLOSE_DELAY_MS	     40.0
#define KEEP_CPU_SHARE	     0.65
#define KEEP_DELAY_MS	     20.0
#define CLOSE_MEMORY_SHARE   0.6
#define KEEP_MEMORY_SHARE    0.5
#define BITS_PER_BYTE	     8.0
#define BITS_PER_MS_PER_MBPS 1000.0

/* Returns whether any limit of the host is known. */
bool
host_limits_are_known(const struct host_limits *limits)
{
	return limits->cpu_share > 0.0 || limits->memory_mb > 0 ||
	    limits->link_mbps > 0.0;
}

/* Returns a share of the memory in bytes. */
static size_t
memory_share(const struct host_limits *limits, double share)
{
	return (size_t)((double)limits->memory_mb * MEMORY_MB_BYTES * share);
}

/* Returns the memory that open requests take, in bytes. */
static size_t
used_memory(const struct host_use *use)
{
	return use->open_requests * REQUEST_BYTES + use->buffered_bytes;
}

/* Returns how long the queued bytes take on the link, in milliseconds. */
static double
link_delay_ms(const struct host_limits *limits, const struct host_use *use)
{
	if (limits->link_mbps <= 0.0)
		return 0.0;
	return (double)use->queued_bytes * BITS_PER_BYTE /
	    (limits->link_mbps * BITS_PER_MS_PER_MBPS);
}

/*
 * Returns how many bytes may be buffered for one caller before its upstream is
 * no longer read: the default, or an even part of what all may take, and the
 * minimum while all together take more than that.
 */
size_t
host_capacity_buffer_max(const struct host_limits *limits,
    const struct host_use *use, size_t default_bytes)
{
	size_t all = memory_share(limits, BUFFERS_SHARE);
	size_t each;

	if (limits->memory_mb <= 0)
		return default_bytes;
	if (use->buffered_bytes >= all)
		return MIN(BUFFER_MIN_BYTES, default_bytes);
	each = all / MAX(use->open_requests, (size_t)1);
	return MIN(MAX(each, BUFFER_MIN_BYTES), default_bytes);
}

/*
 * Returns whether a caller that reads nothing is disconnected: for longer than
 * the gaps of its stream may be while the buffers are filling up, or for so
 * long that its upstream would cut off the response.
 */
bool
host_capacity_disconnects(const struct host_limits *limits,
    const struct host_use *use, const struct host_reader *reader)
{
	size_t pressure = memory_share(limits, BUFFERS_SHARE * PRESSURE_SHARE);

	if (limits->memory_mb <= 0)
		return false;
	if (reader->is_paused && reader->unread_ms >= PAUSE_MAX_MS)
		return true;
	return use->buffered_bytes >= pressure &&
	    reader->unread_ms > MAX(reader->gap_ms, UNREAD_MIN_MS);
}

/*
 * Returns what this host lacks to serve a new request within its target, in
 * milliseconds (0 for none). Being busy alone is no reason: the processor time
 * is used up and what waits for it is late by a part of the target, or what is
 * queued takes the link for longer than the target, or there is no memory.
 */
enum host_shortage
host_capacity_check_request(const struct host_limits *limits,
    const struct host_use *use, double target_ms)
{
	if (limits->memory_mb > 0 &&
	    used_memory(use) > memory_share(limits, MEMORY_SHARE))
		return HOST_SHORTAGE_MEMORY;
	if (target_ms <= 0.0)
		return HOST_SHORTAGE_NONE;
	if (limits->cpu_share > 0.0 &&
	    use->cpu_share >= limits->cpu_share * CPU_FULL_SHARE &&
	    use->delay_ms > target_ms * DELAY_SHARE)
		return HOST_SHORTAGE_CPU;
	if (link_delay_ms(limits, use) > target_ms)
		return HOST_SHORTAGE_LINK;
	return HOST_SHORTAGE_NONE;
}

/* Returns whether the processor time is used up so far that events are late. */
static bool
is_cpu_short(const struct host_limits *limits, const struct host_use *use,
    bool closes_now)
{
	double share = closes_now ? KEEP_CPU_SHARE : CLOSE_CPU_SHARE;
	double delay_ms = closes_now ? KEEP_DELAY_MS : CLOSE_DELAY_MS;

	return limits->cpu_share > 0.0 &&
	    use->cpu_share >= limits->cpu_share * share &&
	    use->delay_ms >= delay_ms;
}

/*
 * Returns whether responses close their connections, so that callers reach
 * another host with their next request; closes_now is the last decision, which
 * holds until the use has fallen by some distance.
 */
bool
host_capacity_closes_connections(const struct host_limits *limits,
    const struct host_use *use, bool closes_now)
{
	double memory = closes_now ? KEEP_MEMORY_SHARE : CLOSE_MEMORY_SHARE;
	double delay_ms = closes_now ? KEEP_DELAY_MS : CLOSE_DELAY_MS;

	return is_cpu_short(limits, use, closes_now) ||
	    (limits->memory_mb > 0 &&
		used_memory(use) > memory_share(limits, memory)) ||
	    link_delay_ms(limits, use) > delay_ms;
}

/* Returns the name of a shortage, for log lines and responses. */
const char *
host_shortage_name(enum host_shortage shortage)
{
	static const char *const names[] = {
	    [HOST_SHORTAGE_NONE] = "none",
	    [HOST_SHORTAGE_CPU] = "processor time",
	    [HOST_SHORTAGE_MEMORY] = "memory",
	    [HOST_SHORTAGE_LINK] = "link",
	};

	return names[shortage];
}
