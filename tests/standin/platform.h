/*
 * Shared declarations of the stand-in platform.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "base/list.h"
#include "bucket.h"
#include "objects.h"
#include "standin.h"

/* Kinds of calls, which are counted separately. */
enum call_kind {
	CALL_READ,
	CALL_WATCH,
	CALL_LIST,
	CALL_WRITE,
	CALL_DELETE,
	CALL_HOSTS,
	CALL_PERMIT,
	CALL_KINDS,
};

struct watch;
TAILQ_HEAD(watches, watch);

struct platform {
	struct objects *objects;
	struct bucket reads;
	struct bucket writes;
	struct bucket permits;
	struct watches watches;
	json_t *hosts;
	json_t *pending_hosts;
	struct ev_timer hosts_timer;
	bool down;
	bool slow;
	bool lose_write_responses;
	double fault_percent;
	int64_t fault_ms;
	uint64_t calls[CALL_KINDS];
	uint64_t waiting; /* watches */
	uint64_t peak_waiting;
	uint64_t conflicts;
	uint64_t rate_limited;
	uint64_t refused_down;
	uint64_t lost_responses;
	GPtrArray *write_log;
	GPtrArray *permit_log;
};

extern struct platform platform;

/* platform.c */
struct standin_response *platform_response_new(
    struct httpd_request *, int status);
void platform_respond_json(struct httpd_request *, json_t *);
void platform_respond_status(struct httpd_request *, int status);
void platform_respond(struct standin_response *);
bool platform_fault_applies(bool fault_set);
bool platform_admit(struct httpd_request *, enum call_kind);

/* platform_objects.c */
void objects_on_request(struct httpd_request *, const char *key);
void objects_on_list(struct httpd_request *);
void watches_notify(const char *key);
bool watches_remove(struct httpd_request *);

#endif
