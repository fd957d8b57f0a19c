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
	for (size_t i = 0; i < LOAD_REPORT_RETURNING; i++)
		g_free(report->returning[i]);
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
	const struct named_rate *rate = &upstream->named_rate;
	size_t row = report->rated_count++;

	report->rated[row] = upstream->id;
	report->rated_starts[row] = (uint64_t)upstream->start_wall_ms;
	report->rates[row] = rate->named ? message_encode_rate(rate->per_s) : 0;
	report->rate_ages_ms[row] = (uint64_t)MAX(
	    time_diff_ms(now, rate->seen_at), 0);
}

/*
 * Adds the turns of rejected callers that are new since the last report, or all
 * of this gateway's.
 */
void
load_report_add_returning(struct load_report *report,
    struct return_queue *queue, bool changes, struct timespec now)
{
	struct return_row rows[RETURN_QUEUE_REPORT_MAX];
	size_t count = return_queue_collect(queue, changes, rows, now);

	for (size_t i = 0; i < LOAD_REPORT_RETURNING && count > 0; i++)
		report->returning[i] = g_new(uint64_t, count);
	for (size_t i = 0; i < count; i++) {
		report->returning[0][i] = rows[i].ticket;
		report->returning[1][i] = rows[i].fingerprint;
		report->returning[2][i] = (uint64_t)rows[i].class.service *
			RETURN_RANKS +
		    MIN(rows[i].class.rank, RETURN_RANKS - 1);
		report->returning[3][i] = rows[i].lapse_ms;
		report->returning[4][i] = rows[i].work_ms;
	}
	report->returning_count = count;
}

/* Applies the turns of rejected callers that a peer has reported. */
void
load_report_apply_returning(const struct message_load *message,
    struct return_queue *queue, struct timespec now)
{
	size_t count = MIN(
	    message->returning.count, message->returning_requests.count);

	count = MIN(count, message->returning_classes.count);
	count = MIN(count, message->returning_lapses_ms.count);
	count = MIN(count, message->returning_work_ms.count);
	for (size_t i = 0; i < count; i++) {
		uint64_t class = message->returning_classes.items[i];
		const struct return_row row = {
		    .ticket = (uint32_t)message->returning.items[i],
		    .fingerprint = message->returning_requests.items[i],
		    .class =
			{
			    .service = (uint32_t)(class / RETURN_RANKS),
			    .rank = (uint32_t)(class % RETURN_RANKS),
			},
		    .lapse_ms = message->returning_lapses_ms.items[i],
		    .work_ms = message->returning_work_ms.items[i],
		};

		return_queue_on_report(queue, &row, now);
	}
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
