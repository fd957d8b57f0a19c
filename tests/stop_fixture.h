/*
 * A role's process that a test starts, calls on raw connections and stops.
 */
#ifndef STOP_FIXTURE_H
#define STOP_FIXTURE_H

#include <sys/types.h>

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

enum stop_port {
	STOP_PORT_PEERS,
	STOP_PORT_HTTP,
	STOP_PORT_CALLERS,
	STOP_PORT_COUNT,
};

struct stop_fixture {
	struct ev_loop *loop;
	int ports[STOP_PORT_COUNT];
	pid_t process;
	struct ev_child exit;
	bool exited;
	int status;
	struct ev_timer timeout;
};

/* Runs the loop until a condition holds. */
#define STOP_RUN_UNTIL(fixture, condition)                   \
	do {                                                 \
		while (!(condition))                         \
			ev_run((fixture)->loop, EVRUN_ONCE); \
	} while (0)

void stop_fixture_open(struct stop_fixture *);
void stop_fixture_spawn(
    struct stop_fixture *, const char *role, const char *const *arguments);
void stop_fixture_start(struct stop_fixture *, const char *role,
    const char *const *arguments, enum stop_port);
void stop_fixture_close(struct stop_fixture *);
int stop_fixture_connect(struct stop_fixture *, enum stop_port);
void stop_fixture_wait_for_port(
    struct stop_fixture *, enum stop_port, bool open);
void stop_fixture_send(int fd, const char *text);
void stop_fixture_read_until(
    struct stop_fixture *, int fd, GString *received, const char *text);

#endif
