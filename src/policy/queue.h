/*
 * The jobs that wait at one upstream: short and long requests in a fair queue
 * each. A suspect is a request whose fingerprint was running when an upstream
 * died. Suspects are in no fair queue, because each must run alone; the oldest
 * is chosen by queue_oldest_suspect(). Bounded in requests, tokens and bytes.
 * When a bound is exceeded, jobs that cannot meet their deadline are dropped
 * first, then those of the organisation with the most queued for its weight.
 */
#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "policy/admission_job.h"
#include "policy/fair.h"
#include "policy/prefill.h"

/* Limit of suspects that wait at one upstream. */
#define QUEUE_SUSPECTS_MAX 4

struct queue;

struct queue *queue_new(const struct admission_limits *);
void queue_free(struct queue *);
void queue_push(struct queue *, struct admission_job *);
void queue_remove(struct queue *, struct admission_job *);
void queue_dequeue(struct queue *, struct admission_job *);
struct admission_job *queue_pick(
    const struct queue *, enum work_class, fair_fits_fn *fits, void *data);
bool queue_has_aged_long(const struct queue *, struct timespec now);
struct admission_job *queue_urgent_long(
    const struct queue *, const struct prefill *, struct timespec now);
struct admission_job *queue_oldest_suspect(const struct queue *);
struct admission_job *queue_drop_candidate(
    const struct queue *, const struct prefill *, struct timespec now);
struct admission_job *queue_find_unmeetable(
    const struct queue *, const struct prefill *, struct timespec now);
double queue_long_share(const struct queue *, const struct prefill *,
    uint64_t ahead, struct timespec now);
struct admission_job *queue_oldest(const struct queue *);
void queue_load_ahead(const struct queue *, const char *organisation,
    uint32_t weight, enum work_class, struct fair_load *);
void queue_load(const struct queue *, enum work_class, struct fair_load *);
size_t queue_count(const struct queue *);
struct timespec queue_next_deadline(const struct queue *);

#endif
