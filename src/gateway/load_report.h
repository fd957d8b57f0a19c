/*
 * What a gateway reports to its peers: its load on the upstreams, and what it
 * has learned of them. The ids are borrowed from the fleet.
 */
#ifndef GATEWAY_LOAD_REPORT_H
#define GATEWAY_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "peer/message.h"
#include "routing/fleet.h"

/* Rows of a report; the arrays have room for all upstreams. */
struct load_report {
	char **ids;
	uint64_t *running;
	uint64_t *streams[STREAM_CLASSES];
	uint64_t *context_tokens;
	uint64_t *prefill_us;
	size_t rows;
	char **faulty;
	size_t faulty_count;
	char **leaving;
	uint64_t *leaving_starts;
	size_t leaving_count;
	char **rated;
	uint64_t *rated_starts;
	uint64_t *rates;
	uint64_t *rate_ages_ms;
	size_t rated_count;
};

void load_report_init(struct load_report *, size_t max);
void load_report_clear(struct load_report *);
void load_report_add_load(struct load_report *, struct fleet_upstream *);
void load_report_add_rate(
    struct load_report *, const struct fleet_upstream *, struct timespec now);
bool load_report_is_idle(const struct upstream_load *);
bool load_report_is_known(const struct fleet_upstream *);

#endif
