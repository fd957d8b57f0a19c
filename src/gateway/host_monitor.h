/*
 * Measures this process's use of its host and applies what follows from the
 * host's limits (policy/host_capacity): buffers of slow callers, rejected
 * requests, connections that are closed. Without limits there is no monitor;
 * all functions take NULL, and nothing follows.
 */
#ifndef GATEWAY_HOST_MONITOR_H
#define GATEWAY_HOST_MONITOR_H

#include <stddef.h>

#include <ev.h>

#include "base/clock.h"
#include "base/httpd.h"
#include "policy/host_capacity.h"

/* Unsent bytes that the system buffers for each caller. */
#define HOST_MONITOR_UNSENT_MAX_BYTES (32 * 1024)

struct exchange_context;
struct host_monitor;

struct host_monitor *host_monitor_new(struct ev_loop *, struct clock *,
    const struct host_limits *, const struct httpd *callers,
    struct exchange_context *);
void host_monitor_free(struct host_monitor *);
size_t host_monitor_buffer_max(struct host_monitor *, size_t default_bytes);
int host_monitor_receive_buffer(const struct host_monitor *);
enum host_shortage host_monitor_check_request(
    struct host_monitor *, double target_ms);
bool host_monitor_closes_connections(const struct host_monitor *);

#endif
