#include "policy/queue.h"

#include <glib.h>

#include "base/clock.h"

struct queue {
	size_t max_requests;
	uint64_t max_tokens;
	uint64_t max_bytes;
	int64_t aging_ms;
	struct fair *short_queue;
	struct fair *long_queue;
	struct admission_jobs jobs; /* all jobs, oldest first */
	size_t count;
	size_t suspects;
	uint64_t tokens;
	uint64_t bytes;
};

/* Creates an empty queue with the bounds in limits. */
struct queue *
queue_new(const struct admission_limits *limits)
{
	struct queue *queue = g_new0(struct queue, 1);

	queue->max_requests = limits->queue_max_requests;
	queue->max_tokens = limits->queue_max_tokens;
	queue->max_bytes = limits->queue_max_bytes;
	queue->aging_ms = limits->aging_ms;
	queue->short_queue = fair_new();
	queue->long_queue = fair_new();
	TAILQ_INIT(&queue->jobs);
	return queue;
}

/* Frees the queue with its jobs; NULL is allowed. */
void
queue_free(struct queue *queue)
{
	struct admission_job *job;

	if (queue == NULL)
		return;
	while ((job = TAILQ_FIRST(&queue->jobs)) != NULL) {
		queue_remove(queue, job);
		admission_job_free(job);
	}
	fair_free(queue->short_queue);
	fair_free(queue->long_queue);
	g_free(queue);
}

/* Returns the fair queue of a class. */
static struct fair *
fair_of(const struct queue *queue, enum work_class class)
{
	return class == WORK_LONG ? queue->long_queue : queue->short_queue;
}

/* Queues a job, even beyond the bounds; the calling module then drops jobs. */
void
queue_push(struct queue *queue, struct admission_job *job)
{
	TAILQ_INSERT_TAIL(&queue->jobs, job, entry);
	queue->count++;
	queue->tokens += job->item.cost;
	queue->bytes += job->body_bytes;
	if (job->suspect)
		queue->suspects++;
	else
		fair_push(fair_of(queue, job->class), job->organisation,
		    job->weight, &job->item);
}

/* Removes a job from the list and the counters. */
static void
unlink_job(struct queue *queue, struct admission_job *job)
{
	TAILQ_REMOVE(&queue->jobs, job, entry);
	queue->count--;
	queue->tokens -= job->item.cost;
	queue->bytes -= job->body_bytes;
	if (job->suspect)
		queue->suspects--;
}

/* Removes a job that will not be started. */
void
queue_remove(struct queue *queue, struct admission_job *job)
{
	if (!job->suspect)
		fair_remove(fair_of(queue, job->class), &job->item);
	unlink_job(queue, job);
}

/* Removes a job that is started and charges its organisation. */
void
queue_dequeue(struct queue *queue, struct admission_job *job)
{
	if (!job->suspect)
		fair_dequeue(fair_of(queue, job->class), &job->item);
	unlink_job(queue, job);
}

/* Returns the next job of that class, in fair order, among those that fit. */
struct admission_job *
queue_pick(const struct queue *queue, enum work_class class, fair_fits_fn *fits,
    void *data)
{
	return (struct admission_job *)fair_pick(
	    fair_of(queue, class), fits, data);
}

/* Returns whether the oldest long request has waited for at least aging_ms. */
bool
queue_has_aged_long(const struct queue *queue, struct timespec now)
{
	const struct admission_job *job;

	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (job->class == WORK_LONG && !job->suspect)
			return time_diff_ms(now, job->queued_at) >=
			    queue->aging_ms;
	}
	return false;
}

/*
 * Returns the long request with the earliest target among those that must start
 * within aging_ms to meet their target, or NULL.
 */
struct admission_job *
queue_urgent_long(const struct queue *queue, const struct prefill *prefill,
    struct timespec now)
{
	struct admission_job *job, *urgent = NULL;
	int64_t spare_ms;

	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (job->class != WORK_LONG || job->suspect)
			continue;
		spare_ms = time_diff_ms(job->target, now) -
		    prefill_long_ms(prefill, job->uncached_tokens);
		if (spare_ms < queue->aging_ms &&
		    (urgent == NULL ||
			time_before(job->target, urgent->target)))
			urgent = job;
	}
	return urgent;
}

/*
 * Returns the share of the prefill speed that the queued long requests need to
 * meet their targets if they are computed one after the other behind ahead
 * tokens: the largest share that any of them needs together with those before
 * it.
 */
double
queue_long_share(const struct queue *queue, const struct prefill *prefill,
    uint64_t ahead, struct timespec now)
{
	const struct admission_job *job;
	double share = 0, needed;

	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (job->class != WORK_LONG)
			continue;
		ahead += job->uncached_tokens;
		needed = prefill_share(
		    prefill, ahead, time_diff_ms(job->target, now));
		share = MAX(share, needed);
	}
	return share;
}

/* Returns the suspect that has waited longest, or NULL. */
struct admission_job *
queue_oldest_suspect(const struct queue *queue)
{
	struct admission_job *job;

	if (queue->suspects == 0)
		return NULL;
	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (job->suspect)
			return job;
	}
	return NULL;
}

/*
 * Returns a job that would miss its deadline even if it ran alone now, or NULL.
 */
struct admission_job *
queue_find_unmeetable(const struct queue *queue, const struct prefill *prefill,
    struct timespec now)
{
	struct admission_job *job;

	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (time_diff_ms(job->deadline, now) <=
		    prefill_ms(prefill, job->uncached_tokens))
			return job;
	}
	return NULL;
}

/* Returns the newest suspect, or NULL. */
static struct admission_job *
newest_suspect(const struct queue *queue)
{
	struct admission_job *job;

	TAILQ_FOREACH_REVERSE (job, &queue->jobs, admission_jobs, entry) {
		if (job->suspect)
			return job;
	}
	return NULL;
}

/* Returns the fair queue with the larger part of the exceeded bound. */
static const struct fair *
larger_class(const struct queue *queue)
{
	bool longs;

	if (queue->count > queue->max_requests)
		longs = fair_count(queue->long_queue) >
		    fair_count(queue->short_queue);
	else
		longs = fair_cost(queue->long_queue) >
		    fair_cost(queue->short_queue);
	return longs ? queue->long_queue : queue->short_queue;
}

/*
 * Returns the job to drop if the queue exceeds its bounds, or NULL. A job that
 * cannot meet its deadline goes first, then the newest one of the organisation
 * with the most queued for its weight, in the class that fills the queue.
 */
struct admission_job *
queue_drop_candidate(const struct queue *queue, const struct prefill *prefill,
    struct timespec now)
{
	struct admission_job *job;

	if (queue->suspects > QUEUE_SUSPECTS_MAX)
		return newest_suspect(queue);
	if (queue->count <= queue->max_requests &&
	    queue->tokens <= queue->max_tokens &&
	    queue->bytes <= queue->max_bytes)
		return NULL;
	job = queue_find_unmeetable(queue, prefill, now);
	if (job == NULL)
		job = (struct admission_job *)fair_newest_of_largest(
		    larger_class(queue));
	return job != NULL ? job : TAILQ_LAST(&queue->jobs, admission_jobs);
}

/* Returns the job that has waited longest, or NULL. */
struct admission_job *
queue_oldest(const struct queue *queue)
{
	return TAILQ_FIRST(&queue->jobs);
}

/*
 * Sets the load that would be served before a job of that class that the
 * organisation would queue now.
 */
void
queue_load_ahead(const struct queue *queue, const char *organisation,
    uint32_t weight, enum work_class class, struct fair_load *ahead)
{
	fair_load_ahead(fair_of(queue, class), organisation, weight, ahead);
}

/* Sets the whole queued load of a class. */
void
queue_load(
    const struct queue *queue, enum work_class class, struct fair_load *load)
{
	load->tokens = fair_cost(fair_of(queue, class));
	load->items = fair_count(fair_of(queue, class));
}

/* Returns the number of queued jobs. */
size_t
queue_count(const struct queue *queue)
{
	return queue->count;
}

/*
 * Returns the earliest deadline of the queued jobs, or zero if there are none.
 */
struct timespec
queue_next_deadline(const struct queue *queue)
{
	const struct admission_job *job;
	struct timespec next = {0};

	TAILQ_FOREACH (job, &queue->jobs, entry) {
		if (!time_is_set(next) || time_before(job->deadline, next))
			next = job->deadline;
	}
	return next;
}
