#include "gateway/load_report.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Allocates the arrays of a report. */
void
load_report_init(struct load_report *report, size_t max)
{
	*report = (struct load_report){
	    .ids = g_new(char *, max + 1),
	    .running = g_new(uint64_t, max + 1),
	    .context_tokens = g_new(uint64_t, max + 1),
	    .prefill_us = g_new(uint64_t, max + 1),
	    .faulty = g_new(char *, max + 1),
	    .leaving = g_new(char *, max + 1),
	    .leaving_starts = g_new(uint64_t, max + 1),
	    .rated = g_new(char *, max + 1),
	    .rated_starts = g_new(uint64_t, max + 1),
	    .rates = g_new(uint64_t, max + 1),
	    .rate_ages_ms = g_new(uint64_t, max + 1),
	};
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		report->streams[i] = g_new(uint64_t, max + 1);
}

/* Frees the arrays of a report. */
void
load_report_clear(struct load_report *report)
{
	g_free(report->ids);
	g_free(report->running);
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		g_free(report->streams[i]);
	g_free(report->context_tokens);
	g_free(report->prefill_us);
	g_free(report->faulty);
	g_free(report->leaving);
	g_free(report->leaving_starts);
	g_free(report->rated);
	g_free(report->rated_starts);
	g_free(report->rates);
	g_free(report->rate_ages_ms);
}

/* Adds our load on an upstream to a report. */
void
load_report_add_load(
    struct load_report *report, struct fleet_upstream *upstream)
{
	size_t row = report->rows++;

	report->ids[row] = upstream->id;
	report->running[row] = upstream->own.running;
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		report->streams[i][row] = upstream->own.streams[i];
	report->context_tokens[row] = upstream->own.context_tokens;
	report->prefill_us[row] = upstream->own.prefill_us;
	upstream->reported = upstream->own;
}

/* Adds the rate that an upstream names, or that it no longer does. */
void
load_report_add_rate(struct load_report *report,
    const struct fleet_upstream *upstream, struct timespec now)
{
	const struct named_rate *rate = &upstream->process.named_rate;
	size_t row = report->rated_count++;

	report->rated[row] = upstream->id;
	report->rated_starts[row] = (uint64_t)upstream->process.start_wall_ms;
	report->rates[row] = rate->named ? message_encode_rate(rate->per_s) : 0;
	report->rate_ages_ms[row] = (uint64_t)MAX(
	    time_diff_ms(now, rate->seen_at), 0);
}

/* Returns whether there is no load. */
bool
load_report_is_idle(const struct upstream_load *load)
{
	return load->running == 0 && load->prefill_us == 0 &&
	    load->context_tokens == 0;
}

/* Returns whether the peers know our load on an upstream. */
bool
load_report_is_known(const struct fleet_upstream *upstream)
{
	const struct upstream_load *own = &upstream->own;
	const struct upstream_load *reported = &upstream->reported;

	return own->running == reported->running &&
	    memcmp(own->streams, reported->streams, sizeof(own->streams)) ==
	    0 &&
	    own->context_tokens == reported->context_tokens &&
	    own->prefill_us == reported->prefill_us;
}
