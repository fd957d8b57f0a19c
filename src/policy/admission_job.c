#include "policy/admission_job.h"

#include <glib.h>

#include "base/clock.h"
#include "policy/prefill.h"

/* Creates a job from a copy of a request; it is not queued yet. */
struct admission_job *
admission_job_new(
    uint64_t id, const struct admission_request *request, struct timespec now)
{
	struct admission_job *job = g_new0(struct admission_job, 1);
	uint64_t cached = MIN(request->cached_tokens, request->prompt_tokens);

	job->id = id;
	g_strlcpy(job->request, request->request, sizeof(job->request));
	job->attempt = request->attempt;
	job->organisation = g_strdup(request->organisation);
	job->weight = MAX(request->weight, 1);
	job->class = request->class;
	job->uncached_tokens = request->prompt_tokens - cached;
	job->memory_tokens = request->prompt_tokens + request->output_tokens;
	job->item.cost = job->uncached_tokens + request->output_tokens;
	job->body_bytes = request->body_bytes;
	job->deadline = request->deadline;
	job->target = time_add_ms(now,
	    time_diff_ms(request->deadline, now) * PREFILL_LONG_TARGET_PERCENT /
		100);
	job->suspect = request->suspect;
	job->owner = request->owner;
	job->state = ADMISSION_JOB_QUEUED;
	job->queued_at = now;
	if (request->hold != NULL) {
		g_strlcpy(job->hold, request->hold, sizeof(job->hold));
		job->memory_tokens = 0;
	}
	return job;
}

/* Frees a job, which must not be in any list; NULL is allowed. */
void
admission_job_free(struct admission_job *job)
{
	if (job == NULL)
		return;
	g_free(job->organisation);
	g_free(job);
}

/* Returns whether the job is running at the upstream. */
bool
admission_job_is_running(const struct admission_job *job)
{
	return job->state == ADMISSION_JOB_PREFILLING ||
	    job->state == ADMISSION_JOB_GENERATING;
}
