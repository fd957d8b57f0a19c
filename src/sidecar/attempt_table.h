/*
 * The latest attempt of each request that came and may still run, so that an
 * older, repeated or late submit never does. An attempt is remembered until
 * its deadline at least, after which its submit is refused for its age.
 */
#ifndef SIDECAR_ATTEMPT_TABLE_H
#define SIDECAR_ATTEMPT_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Remembered for this long at least. */
#define ATTEMPT_RETENTION_MS 60000

enum attempt_verdict {
	ATTEMPT_LATEST, /* the latest attempt by now */
	ATTEMPT_DUPLICATE, /* the attempt has come before */
	ATTEMPT_STALE, /* a later attempt has come before */
};

struct attempt_table;

struct attempt_table *attempt_table_new(void);
void attempt_table_free(struct attempt_table *);
enum attempt_verdict attempt_table_record(struct attempt_table *,
    const char *key, uint32_t attempt, struct timespec deadline,
    struct timespec now);
void attempt_table_set_not_run(
    struct attempt_table *, const char *key, uint32_t attempt, bool not_run);
bool attempt_table_is_not_run(const struct attempt_table *, const char *key);
void attempt_table_expire(struct attempt_table *, struct timespec now);

#endif
