/*
 * An entry's answer to a completion, with a fake in place of the job: the time
 * to the first token is counted once for each request.
 */
#include <string.h>

#include <glib.h>

#include "base/metrics.h"
#include "config/config.h"
#include "entry/generation.h"
#include "entry/group_run.h"
#include "entry/job.h"

#define STREAM_ID    "00000000000000000000000000000000"
#define COUNT_PREFIX "heatherturn_first_token_ms_count{class=\"short\"} "
#define STEPS_MAX    6

/* What the job does next. */
enum step {
	STEP_END, /* finishes, and ends the case */
	STEP_CHUNK, /* the attempt's next chunk */
	STEP_RESTART,
};

static const struct generation_case {
	const char *name;
	bool resumed;
	enum step steps[STEPS_MAX];
	uint64_t count; /* of first tokens */
} cases[] = {
    {"an answer without chunks has no first token", false, {STEP_END}, 0},
    {"an answer's first chunk is counted once", false,
	{STEP_CHUNK, STEP_CHUNK, STEP_END}, 1},
    {"a restart before the first chunk is counted once", false,
	{STEP_RESTART, STEP_CHUNK, STEP_END}, 1},
    {"a restart after the first chunk is counted once", false,
	{STEP_CHUNK, STEP_RESTART, STEP_CHUNK, STEP_END}, 1},
    {"a stream that is resumed was counted before", true,
	{STEP_CHUNK, STEP_END}, 0},
};

static struct {
	struct clock_manual clock;
	struct config *config;
	const struct job_ops *ops;
	void *data;
	struct dispatch_exchange exchange;
	bool resumed;
	bool responded;
} fake;

struct clock *
dispatch_clock(const struct dispatch *dispatch)
{
	return &fake.clock.clock;
}

struct config *
dispatch_config(const struct dispatch *dispatch)
{
	return fake.config;
}

void
dispatch_report_demand(
    struct dispatch *dispatch, const char *service, uint64_t tokens)
{
}

void
dispatch_exchange_cancel(struct dispatch_exchange *exchange, const char *reason)
{
}

void
dispatch_exchange_detach(struct dispatch_exchange *exchange)
{
}

void
dispatch_exchange_add_consumed(struct dispatch_exchange *exchange, size_t bytes)
{
}

struct dispatch *
frontend_dispatch(const struct frontend *frontend)
{
	return NULL;
}

bool
frontend_is_allowed(const struct frontend_request *request,
    const Heatherturn__V1__Service *service)
{
	return true;
}

bool
frontend_parse_deadline(const struct frontend_request *request,
    int64_t default_ms, struct timespec *deadline, GError **error)
{
	*deadline = time_add_ms(request->arrived, default_ms);
	return true;
}

void
frontend_respond(struct httpd_request *http, const char *id, int status,
    const char *content_type, const void *body, size_t length)
{
	g_assert_cmpint(status, ==, 200);
	fake.responded = true;
}

void
frontend_respond_error(struct httpd_request *http, const char *id,
    const GError *error, int64_t retry_after_ms)
{
	g_error("%s", error->message);
}

void
frontend_respond_error_code(struct httpd_request *http, const char *id,
    enum caller_error code, int64_t retry_after_ms, const char *why)
{
	g_error("%s", why);
}

struct dispatch_exchange *
job_start(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_ops *ops, void *data)
{
	fake.ops = ops;
	fake.data = data;
	return &fake.exchange;
}

struct dispatch_exchange *
job_resume(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_stream_position *position, const struct job_ops *ops,
    void *data)
{
	fake.ops = ops;
	fake.data = data;
	return &fake.exchange;
}

struct dispatch_exchange *
group_run_start(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_ops *ops, void *data)
{
	g_assert_not_reached();
}

uint64_t
group_run_largest_engine_tokens(
    const struct dispatch *dispatch, const char *service, uint64_t *total)
{
	return 0;
}

const char *
httpd_request_header(const struct httpd_request *http, const char *name)
{
	return strcmp(name, "Last-Event-ID") == 0 ? "u1.1.0" : NULL;
}

const char *
httpd_request_query(const struct httpd_request *http, const char *name)
{
	return NULL;
}

const uint8_t *
httpd_request_body(const struct httpd_request *http, size_t *length)
{
	static const char body[] = "{\"model\":\"verse\",\"prompt\":\"p\"}";

	*length = strlen(body);
	return (const uint8_t *)body;
}

void
httpd_request_drop_body(struct httpd_request *http)
{
}

void
httpd_request_set_data(struct httpd_request *http, void *data)
{
}

void
httpd_stream_begin(struct httpd_request *http, int status,
    const struct http_header *headers, size_t count)
{
}

void
httpd_stream_write(struct httpd_request *http, const void *bytes, size_t length)
{
}

void
httpd_stream_end(struct httpd_request *http)
{
	fake.responded = true;
}

/* Returns a configuration with one service. */
static struct config *
make_config(void)
{
	Heatherturn__V1__Service service = HEATHERTURN__V1__SERVICE__INIT;
	Heatherturn__V1__Service *services[] = {&service};
	Heatherturn__V1__ConfigDocument document =
	    HEATHERTURN__V1__CONFIG_DOCUMENT__INIT;
	g_autofree uint8_t *packed = NULL;

	service.id = "verse";
	service.kind = HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_MODEL;
	document.version = 1;
	document.services = services;
	document.n_services = 1;
	packed = g_malloc(
	    heatherturn__v1__config_document__get_packed_size(&document));
	return config_decode(packed,
	    heatherturn__v1__config_document__pack(&document, packed), NULL);
}

/* Returns how many first tokens of short prompts were counted so far. */
static uint64_t
count_first_tokens(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const char *line;

	metrics_write(text);
	line = strstr(text->str, COUNT_PREFIX);
	return line == NULL
	    ? 0
	    : g_ascii_strtoull(line + strlen(COUNT_PREFIX), NULL, 10);
}

/* Makes the steps of a case. */
static void
run_steps(const enum step *steps)
{
	uint64_t sequence = 0;

	for (; *steps != STEP_END; steps++) {
		if (*steps == STEP_CHUNK) {
			fake.ops->chunk(
			    fake.data, ++sequence, (const uint8_t *)"x", 1, 1);
			continue;
		}
		g_assert_true(fake.ops->restart(fake.data));
		sequence = 0;
	}
	fake.ops->finished(fake.data, &(struct message_finish){.text = ""});
}

static void
test_first_token(gconstpointer data)
{
	const struct generation_case *c = data;
	Heatherturn__V1__Organisation organisation =
	    HEATHERTURN__V1__ORGANISATION__INIT;
	struct frontend_request request = {
	    .id = "r1", .organisation = &organisation};
	uint64_t before = count_first_tokens();

	memset(&fake, 0, sizeof(fake));
	clock_manual_init(&fake.clock, 1000000);
	fake.config = make_config();
	fake.exchange.upstream = "u1";
	organisation.id = "o";
	if (c->resumed)
		generation_resume(NULL, &request, STREAM_ID);
	else
		generation_serve(NULL, &request, false);
	run_steps(c->steps);
	g_assert_true(fake.responded);
	g_assert_cmpuint(count_first_tokens() - before, ==, c->count);
	config_unref(fake.config);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/generation/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_first_token);
	}
	return g_test_run();
}
