/*
 * The platform's list of hosts, live and leaving. Only watchers poll it; all
 * other processes receive it as a document over the mesh. The list lags behind:
 * it gives addresses to connect to, but is no proof that a process is up or
 * down.
 */
#ifndef STORE_HOSTS_H
#define STORE_HOSTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "peer/documents.h"
#include "peer/message.h"

#define HOSTS_ERROR (hosts_error_quark())

#define HOSTS_POLL_MS 2000
/* Limit for the average rate of list bytes that each process receives. */
#define HOSTS_BYTES_PER_S 8192

enum hosts_error {
	HOSTS_ERROR_MALFORMED,
	HOSTS_ERROR_STATUS, /* not 200 */
};

struct host {
	char *id;
	char *address; /* for peer links */
	enum role role;
	char *failure_domain;
	bool leaving;
};

struct hosts;
typedef void hosts_changed_fn(void *data, struct hosts *);

GQuark hosts_error_quark(void);
struct hosts *hosts_new(struct ev_loop *, struct clock *, struct http_client *,
    struct documents *, const char *base_url);
void hosts_free(struct hosts *);
void hosts_set_polling(struct hosts *, bool);
void hosts_subscribe(struct hosts *, hosts_changed_fn *, void *data);
const struct host *const *hosts_list(const struct hosts *, size_t *count);
const struct host *hosts_find_by_address(const struct hosts *, const char *);
bool hosts_may_update(uint64_t known_ms, uint64_t now_ms, size_t length);
GPtrArray *hosts_parse(const uint8_t *, size_t, GError **);

#endif
