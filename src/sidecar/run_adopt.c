/*
 * Adopts runs that an earlier process left at the engine, when their entries
 * resume them.
 */
#include "sidecar/run.h"

#define LOG_MODULE "adopt"
#include "base/log.h"

/* Prompts from this number of tokens are of the long class. */
#define LONG_PROMPT_TOKENS 32768

/* Rebuilds the run's submit from what is known of it. */
static void
rebuild_submit(struct message *submit, const struct message *resume,
    const struct unowned_run *unowned_run)
{
	*submit = (struct message){
	    .kind = MESSAGE_SUBMIT, .attempt = resume->attempt};
	g_strlcpy(submit->request, resume->request, sizeof(submit->request));
	submit->submit = (struct message_submit){
	    .organisation = resume->resume.organisation,
	    .work = WORK_GENERATE,
	    .class = unowned_run->tokens < LONG_PROMPT_TOKENS ? WORK_SHORT
							      : WORK_LONG,
	    .prompt_tokens = unowned_run->tokens,
	    .window_bytes = resume->resume.window_bytes,
	};
}

/*
 * Adopts the run that an entry resumes, if it is at the engine and belongs to
 * the organisation. The admission core counts it like new work, so that the
 * engine is not overcommitted. Returns false if there is no such run.
 */
bool
runs_adopt(struct runs *runs, void *peer, const struct message *resume)
{
	struct message submit;
	struct unowned_run unowned_run;
	struct run *run;
	char *id = unowned_runs_take(runs->unowned_runs, resume->request,
	    resume->attempt, resume->resume.organisation, &unowned_run);
	int64_t left_ms;

	if (id == NULL)
		return false;
	left_ms = unowned_run.deadline_ms - time_to_ms(clock_wall(runs->clock));
	rebuild_submit(&submit, resume, &unowned_run);
	attempt_table_record(runs->attempts, resume->request, resume->attempt,
	    time_add_ms(runs_now(runs), left_ms), runs_now(runs));
	attempt_table_set_not_run(
	    runs->attempts, resume->request, resume->attempt, false);
	run = run_new(runs, peer, &submit, left_ms);
	g_strlcpy(run->id, id, sizeof(run->id));
	g_free(id);
	run->adopted = true;
	run->started_at = runs_now(runs);
	run->reached_upstream = true;
	run->replay.last_sequence = resume->resume.after;
	LOG_INFO("run adopted", "{s:s, s:s, s:I, s:I}", "request", run->request,
	    "id", run->id, "after", (json_int_t)resume->resume.after, "left_ms",
	    (json_int_t)left_ms);
	run_queue_start(run, 0);
	run_flush(run);
	run_admit(run, 0);
	return true;
}
