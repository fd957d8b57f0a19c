/*
 * The reconciler brings an engine to its assignment; with a manual clock and a
 * fake engine that logs its orders.
 */
#include <string.h>

#include "base/invariant.h"
#include "base/log.h"
#include "sidecar/reconciler.h"

#define START_MS 1000000

struct reconciler_case {
	const char *name;
	/*
	 * assign FENCING MODEL, report FENCING MODEL (the engine's), busy,
	 * idle, permit 0|1, wait MS, obeyed, stale (results of the last order).
	 */
	const char *steps;
	const char *expected;
};

static const struct reconciler_case cases[] = {
    {"nothing is ordered without an assignment", "report 0 m1", ""},
    {"an engine that matches its assignment gets no order",
	"assign 1 m1;report 0 m1", ""},
    {"a load needs a permit, then a drained engine",
	"busy;assign 1 m2;report 0 m1;permit 1;report 0 m1;idle;report 0 "
	"m1;obeyed;wait 2000;report 1 m2",
	"permit m2;drain;load m2 1;undrain"},
    {"a refused permit is requested again later",
	"assign 1 m2;report 0 m1;permit 0;report 0 m1;wait 1000;report 0 m1",
	"permit m2;permit m2"},
    {"a permit for a replaced assignment is not used",
	"assign 1 m2;report 0 m1;assign 2 m3;permit 1;report 0 m1;permit "
	"1;report 0 m1",
	"permit m2;permit m3;drain;load m3 2"},
    {"an old fencing number never takes effect",
	"assign 5 m1;assign 4 m2;report 0 m1", ""},
    {"an engine with a higher fencing number gets no order",
	"assign 5 m2;report 6 m1", ""},
    {"an order without visible effect is sent again",
	"assign 1 m2;report 0 m1;permit 1;report 0 m1;obeyed;report 0 m1;wait "
	"2000;report 0 m1",
	"permit m2;drain;load m2 1;load m2 1"},
    {"an order refused as stale is not sent again and the drain ends",
	"assign 1 m2;report 0 m1;permit 1;report 0 m1;stale;wait 2000;report 0 "
	"m1;report 0 m1",
	"permit m2;drain;load m2 1;undrain"},
};

struct fixture {
	struct upstream upstream; /* first member, for casts */
	struct clock_manual clock;
	struct reconciler *reconciler;
	GString *log;
	bool busy;
	upstream_done_fn *order_done;
	void *order_data;
};

/* Appends to the log of actions. */
static void
log_action(struct fixture *f, const char *format, ...)
{
	va_list args;

	if (f->log->len > 0)
		g_string_append_c(f->log, ';');
	va_start(args, format);
	g_string_append_vprintf(f->log, format, args);
	va_end(args);
}

/* Logs an order to the engine. */
static void
fake_order(struct upstream *upstream, const struct upstream_order *order,
    upstream_done_fn *done, void *data)
{
	struct fixture *f = (struct fixture *)upstream;

	log_action(
	    f, "%s %s %d", order->order, order->model, (int)order->fencing);
	f->order_done = done;
	f->order_data = data;
}

/* Logs a request for a permit. */
static void
on_permit_request(void *data, const char *model, const char *version)
{
	log_action(data, "permit %s", model);
}

/* Logs the start or the end of a drain. */
static void
on_set_draining(void *data, bool on)
{
	log_action(data, "%s", on ? "drain" : "undrain");
}

/* Returns whether nothing runs at the engine. */
static bool
is_idle(void *data)
{
	return !((struct fixture *)data)->busy;
}

/* Sets the assignment. */
static void
assign(struct fixture *f, uint64_t fencing, char *model)
{
	Heatherturn__V1__Assignment assignment =
	    HEATHERTURN__V1__ASSIGNMENT__INIT;

	assignment.fencing = fencing;
	assignment.model = model;
	reconciler_assign(f->reconciler, &assignment);
}

/* Reports a status of the engine. */
static void
report_status(struct fixture *f, uint64_t fencing, char *model)
{
	struct upstream_status status = {.model = model,
	    .adapter = (char *)"",
	    .version = (char *)"",
	    .role = (char *)"both",
	    .warm = true,
	    .fencing = fencing};

	reconciler_update(f->reconciler, &status);
}

/* Runs one step. */
static void
do_step(struct fixture *f, char **args)
{
	GError stale = {
	    UPSTREAM_ERROR, UPSTREAM_ERROR_STALE_FENCING, (char *)"old"};
	const char *step = args[0];
	uint64_t number = args[1] != NULL ? g_ascii_strtoull(args[1], NULL, 10)
					  : 0;

	if (strcmp(step, "assign") == 0)
		assign(f, number, args[2]);
	else if (strcmp(step, "report") == 0)
		report_status(f, number, args[2]);
	else if (strcmp(step, "permit") == 0)
		reconciler_set_permit(f->reconciler, number != 0, 1000);
	else if (strcmp(step, "wait") == 0)
		clock_manual_advance(&f->clock, (int64_t)number);
	else if (strcmp(step, "obeyed") == 0)
		f->order_done(f->order_data, NULL);
	else if (strcmp(step, "stale") == 0)
		f->order_done(f->order_data, &stale);
	else
		f->busy = strcmp(step, "busy") == 0;
}

/* The log of a case's steps is as expected. */
static void
test_reconciler(gconstpointer data)
{
	static const struct upstream_ops upstream_ops = {.order = fake_order};
	static const struct reconciler_ops ops = {
	    on_permit_request, on_set_draining, is_idle};
	const struct reconciler_case *c = data;
	g_auto(GStrv) steps = g_strsplit(c->steps, ";", -1);
	struct fixture f = {.upstream.ops = &upstream_ops};

	clock_manual_init(&f.clock, START_MS);
	f.log = g_string_new(NULL);
	f.reconciler = reconciler_new(&f.upstream, &f.clock.clock, &ops, &f);
	for (size_t i = 0; steps[i] != NULL; i++) {
		g_auto(GStrv) args = g_strsplit(steps[i], " ", -1);

		do_step(&f, args);
	}
	g_assert_cmpstr(f.log->str, ==, c->expected);
	reconciler_free(f.reconciler);
	g_string_free(f.log, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	log_init(LOG_LEVEL_ERROR, &(struct log_identity){0});
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/reconciler/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_reconciler);
	}
	return g_test_run();
}
