/*
 * Measures what a stream event and a request cost a gateway in processor time,
 * and with how many bytes of memory: a gateway process of its own between
 * callers and an upstream that this program plays. Run by hand:
 *
 *	bench_stream_cost [STREAMS] [EVENTS] [INTERVAL_MS] [DATA_BYTES]
 *
 * Each stream has EVENTS events, one per interval, evenly spread over the
 * interval. Streams begin one after the other within the first interval.
 */
#include <sys/prctl.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "commands.h"
#include "fake_platform.h"
#include "stop_fixture.h"

#define STREAMS_DEFAULT	    100
#define EVENTS_DEFAULT	    200
#define INTERVAL_DEFAULT_MS 50
#define DATA_DEFAULT_BYTES  60
#define DATA_MAX_BYTES	    4000
#define RUN_TIMEOUT_S	    120.0

#define CONFIG                                                            \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"stream\",\"Host\":\"h\"," \
	"\"PathPrefix\":\"/stream/\",\"Kind\":\"stream\","                \
	"\"TimeoutMs\":100000,\"Attempts\":3,\"CanResume\":true,"         \
	"\"GapTargetMs\":250,\"Service\":\"s\"}],"                        \
	"\"Services\":[{\"Name\":\"s\"}]}"

/* One stream, from its start by the caller until its end. */
struct stream {
	struct bench *bench;
	struct httpd_request *http; /* at the upstream; NULL before */
	int written; /* events so far */
};

struct bench {
	struct stop_fixture process;
	struct fake_platform *platform;
	struct httpd *upstream;
	struct http_client *client;
	struct ev_timer tick;
	clockid_t cpu; /* of the gateway */
	struct stream *streams;
	int stream_count;
	int event_count;
	int interval_ms;
	int data_bytes;
	int started; /* streams that callers have asked for */
	int arrived; /* at the upstream */
	int ended;
	int failed;
	size_t received_bytes;
	struct timespec begin;
};

/* Returns the gateway's processor time in microseconds. */
static double
cpu_us(const struct bench *bench)
{
	struct timespec used;

	clock_gettime(bench->cpu, &used);
	return (double)used.tv_sec * 1e6 + (double)used.tv_nsec / 1e3;
}

/* Returns the milliseconds since the first stream began. */
static double
elapsed_ms(const struct bench *bench)
{
	struct timespec now = clock_monotonic(clock_system());

	return (double)time_diff_us(now, bench->begin) / 1e3;
}

/* The upstream has received a request: its stream begins. */
static void
on_request(void *data, struct httpd_request *http)
{
	struct bench *bench = data;
	const struct http_header headers[] = {
	    {"Heatherturn-Attempt-Id",
		httpd_request_header(http, "Heatherturn-Attempt-Id")},
	    {"Heatherturn-Server-Seal", "seal"},
	    {"Content-Type", "text/event-stream"},
	};
	struct stream *stream;

	if (bench->arrived == bench->stream_count) {
		httpd_respond(http, 503, headers, 2, "", 0);
		return;
	}
	stream = &bench->streams[bench->arrived++];
	stream->http = http;
	httpd_request_set_data(http, stream);
	httpd_stream_begin(http, 200, headers, G_N_ELEMENTS(headers));
}

/* The upstream's connection has ended. */
static void
on_closed(void *data, struct httpd_request *http, bool complete)
{
	struct stream *stream = httpd_request_data(http);

	if (stream != NULL)
		stream->http = NULL;
}

static const struct httpd_ops upstream_ops = {
    .request = on_request,
    .closed = on_closed,
};

/* The caller has received a part of its stream. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct stream *stream = data;

	stream->bench->received_bytes += length;
	return true;
}

/* The caller's stream has ended. */
static void
on_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct stream *stream = data;

	stream->bench->ended++;
	if (result->error != NULL || result->status != 200)
		stream->bench->failed++;
}

static const struct http_call_ops caller_ops = {
    .chunk = on_chunk,
    .done = on_done,
};

/* Asks the gateway for the next stream. */
static void
start_stream(struct bench *bench)
{
	const struct http_header headers[] = {
	    {"Host", "h"}, {"Heatherturn-Attempt-Id", "r1"}};
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%d/stream/1",
	    bench->process.ports[STOP_PORT_CALLERS]);
	const struct http_call_request request = {
	    .method = "POST",
	    .url = url,
	    .headers = headers,
	    .header_count = G_N_ELEMENTS(headers),
	    .body = "asked",
	    .body_length = 5,
	    .dedicated_connection = true,
	};
	struct stream *stream = &bench->streams[bench->started++];

	http_client_start(bench->client, &request, &caller_ops, stream);
}

/* Writes the events of a stream that are due. */
static void
write_due(struct bench *bench, struct stream *stream, int due)
{
	char event[DATA_MAX_BYTES + 64];

	while (stream->http != NULL && stream->written < due) {
		stream->written++;
		snprintf(event, sizeof(event), "id: %d\ndata: %0*d\n\n",
		    stream->written, bench->data_bytes, stream->written);
		httpd_stream_write(stream->http, event, strlen(event));
	}
	if (stream->http != NULL && stream->written == bench->event_count) {
		stream->written++;
		httpd_stream_end(stream->http);
	}
}

/* Starts the streams and writes the events that are due by now. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct bench *bench = timer->data;
	double intervals = elapsed_ms(bench) / bench->interval_ms;

	while (bench->started < bench->stream_count &&
	    bench->started < intervals * bench->stream_count)
		start_stream(bench);
	for (int i = 0; i < bench->arrived; i++) {
		double since = intervals - (double)i / bench->stream_count;

		write_due(bench, &bench->streams[i],
		    MIN((int)since, bench->event_count));
	}
}

/* Returns the gateway's resident memory in KiB. */
static long
resident_kib(pid_t process)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", process);
	g_autofree char *text = NULL;
	long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*d %ld", &pages);
	return pages * 4;
}

/* Starts the gateway, the upstream and the callers. */
static void
set_up(struct bench *bench)
{
	struct stop_fixture *f = &bench->process;
	struct httpd_settings settings = {.address = "127.0.0.1:0",
	    .body_max_bytes = 65536,
	    .bodies_max_bytes = 64 * 1024 * 1024};
	g_autofree char *callers = NULL;
	g_autofree char *objects = NULL;

	stop_fixture_open(f);
	ev_timer_stop(f->loop, &f->timeout);
	ev_timer_set(&f->timeout, RUN_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	bench->platform = fake_platform_new(f->loop);
	fake_platform_set_config(bench->platform, CONFIG);
	bench->upstream = httpd_new(
	    f->loop, &settings, &upstream_ops, bench, NULL);
	g_assert_nonnull(bench->upstream);
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		fake_platform_set_upstream_port(
		    bench->platform, i, httpd_port(bench->upstream));
	bench->client = http_client_new(f->loop, NULL);
	callers = g_strdup_printf(
	    "--callers=127.0.0.1:%d", f->ports[STOP_PORT_CALLERS]);
	objects = g_strdup_printf(
	    "--objects=%s", fake_platform_store_address(bench->platform));
	stop_fixture_start(f, "gateway",
	    (const char *const[]){callers, objects, NULL}, STOP_PORT_CALLERS);
	clock_getcpuclockid(f->process, &bench->cpu);
}

/* Runs all streams and prints what they cost. */
static void
run(struct bench *bench)
{
	struct stop_fixture *f = &bench->process;
	double before, after;
	double events = (double)bench->stream_count * bench->event_count;
	long resident = resident_kib(f->process);

	ev_timer_init(&bench->tick, on_tick, 0.001, 0.001);
	bench->tick.data = bench;
	bench->begin = clock_monotonic(clock_system());
	before = cpu_us(bench);
	ev_timer_start(f->loop, &bench->tick);
	STOP_RUN_UNTIL(f, bench->ended == bench->stream_count);
	after = cpu_us(bench);
	ev_timer_stop(f->loop, &bench->tick);
	printf("streams %d, events %d, failed %d, received %zu bytes, "
	       "cpu %.1f us per event, %.1f us per request, %.1f ms in all, "
	       "took %.0f ms, memory %ld to %ld KiB\n",
	    bench->stream_count, bench->event_count, bench->failed,
	    bench->received_bytes, (after - before) / events,
	    (after - before) / bench->stream_count, (after - before) / 1e3,
	    elapsed_ms(bench), resident, resident_kib(f->process));
}

/* Returns a numeric argument, or its default. */
static int
number(int argc, char **argv, int index, int default_value)
{
	return argc > index ? MAX(atoi(argv[index]), 1) : default_value;
}

/* Runs as the gateway if it is started with a role, else as the benchmark. */
int
main(int argc, char **argv)
{
	struct bench bench = {0};

	if (argc > 1 && strcmp(argv[1], "gateway") == 0) {
		/* It does not outlive a benchmark that fails. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		return command_gateway(argc - 1, argv + 1);
	}
	bench.stream_count = number(argc, argv, 1, STREAMS_DEFAULT);
	bench.event_count = number(argc, argv, 2, EVENTS_DEFAULT);
	bench.interval_ms = number(argc, argv, 3, INTERVAL_DEFAULT_MS);
	bench.data_bytes = MIN(
	    number(argc, argv, 4, DATA_DEFAULT_BYTES), DATA_MAX_BYTES);
	bench.streams = g_new0(struct stream, bench.stream_count);
	for (int i = 0; i < bench.stream_count; i++)
		bench.streams[i].bench = &bench;
	set_up(&bench);
	fprintf(stderr, "gateway process %d\n", bench.process.process);
	run(&bench);
	kill(bench.process.process, SIGTERM);
	stop_fixture_close(&bench.process);
	http_client_free(bench.client);
	httpd_free(bench.upstream);
	fake_platform_free(bench.platform);
	g_free(bench.streams);
	return 0;
}
