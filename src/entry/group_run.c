#include "entry/group_run.h"

#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "caller/completion.h"
#include "policy/group.h"

#define LOG_MODULE "group"
#include "base/log.h"

/* The group is formed after this time without the offers still missing. */
#define PROBE_TIMEOUT_MS 250
/* Maximum groups for one prompt, if members are lost before any output. */
#define FORMATIONS_MAX 4

/* A probed upstream; the group's plan chooses its members among them. */
struct member {
	char *upstream;
	char *address;
	struct link *link;
	bool answered;
	struct group_candidate candidate;
};

struct group_run {
	struct dispatch_exchange exchange;
	struct dispatch *dispatch;
	struct job_spec spec;
	char *organisation;
	char *service;
	const struct job_ops *ops;
	void *data;
	struct timespec started_at;
	struct member members[GROUP_RUN_CANDIDATES_MAX];
	size_t member_count;
	struct group *group; /* NULL while probing */
	uint32_t formation_count; /* earlier groups of this prompt */
	bool form_again; /* once all holds are released */
	struct timespec probe_deadline;
	struct ev_timer timer;
	struct member *leader;
	uint64_t sequence; /* of the leader's last chunk received */
	size_t unreported_bytes;
	bool has_ended; /* finished or failed has been called */
};

METRIC_DEFINE(groups_started, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"begun\"", "prompts larger than one engine");
METRIC_DEFINE(groups_finished, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"finished\"", "prompts larger than one engine");
METRIC_DEFINE(groups_failed, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"failed\"", "prompts larger than one engine");
INVARIANT_DEFINE(chunks_in_order, "group_answer_whole_and_in_order");

static struct timespec
run_now(const struct group_run *run)
{
	return clock_monotonic(dispatch_clock(run->dispatch));
}

/* Returns the milliseconds until the deadline, 0 after it. */
static uint32_t
remaining_ms(const struct group_run *run)
{
	int64_t left = time_diff_ms(run->spec.deadline, run_now(run));

	return (uint32_t)MAX(left, 0);
}

/*
 * Returns the attempt number of a group's holds and shards. Each group formed
 * for a prompt uses two numbers, above those of the groups before it: an odd
 * one for the shards, and the next for the leader's run.
 */
static uint32_t
shard_attempt(const struct group_run *run)
{
	return run->formation_count * 2 + 1;
}

/* Returns the attempt number of the leader's run; see shard_attempt(). */
static uint32_t
leader_attempt(const struct group_run *run)
{
	return run->formation_count * 2 + 2;
}

/* Returns a message with the header fields of this run. */
static struct message
make_message(
    const struct group_run *run, enum message_kind kind, uint32_t attempt)
{
	struct message message = {.kind = kind, .attempt = attempt};

	g_strlcpy(
	    message.request, run->exchange.request, sizeof(message.request));
	return message;
}

/* Frees a group that has released all its holds, and its members. */
static void
clear_group(struct group_run *run)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (run->members[i].link != NULL)
			link_remove_user(run->members[i].link);
		g_free(run->members[i].upstream);
		g_free(run->members[i].address);
	}
	memset(run->members, 0, sizeof(run->members));
	run->member_count = 0;
	run->leader = NULL;
	run->exchange.upstream = NULL;
	group_free(run->group);
	run->group = NULL;
}

/* Frees a run whose group has released all its holds. */
static void
free_run(struct group_run *run)
{
	ev_timer_stop(dispatch_loop(run->dispatch), &run->timer);
	dispatch_remove_exchange(run->dispatch, &run->exchange);
	clear_group(run);
	g_bytes_unref(run->spec.body);
	g_free(run->organisation);
	g_free(run->service);
	g_free(run);
}

static struct member *
find_member_by_upstream(struct group_run *run, const char *upstream)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (strcmp(run->members[i].upstream, upstream) == 0)
			return &run->members[i];
	}
	return NULL;
}

static struct member *
find_member_by_link(struct group_run *run, const struct link *link)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (run->members[i].link == link)
			return &run->members[i];
	}
	return NULL;
}

/* Sends a message to a member, on a new link if the old one was lost. */
static bool
send_to_member(
    struct group_run *run, struct member *member, struct message *message)
{
	if (member->link == NULL) {
		member->link = mesh_get_link(
		    dispatch_mesh(run->dispatch), member->address);
		if (member->link != NULL)
			link_add_user(member->link);
	}
	return member->link != NULL && link_send(member->link, message);
}

/* Calls failed(), unless the run has already ended. */
static void
report_failure(struct group_run *run, enum caller_error code,
    int64_t retry_after_ms, const char *why)
{
	if (run->has_ended)
		return;
	run->has_ended = true;
	metric_add(&groups_failed, 1);
	LOG_INFO("group failed", "{s:s, s:s, s:s}", "request",
	    run->exchange.request, "code", failure_code(code), "why", why);
	run->ops->failed(run->data, code, retry_after_ms, why);
}

/* Returns how long such runs have lasted. */
static struct duration *
run_duration(const struct group_run *run)
{
	return dispatch_duration(run->dispatch, run->service, WORK_LONG);
}

/* Returns whether a group may have run for this prompt. */
static bool
may_have_run(const struct group_run *run)
{
	return run->leader != NULL || run->formation_count > 0;
}

/* Returns whether a group may be formed, by the time this process has left. */
static bool
has_time_left(const struct group_run *run)
{
	const struct duration *duration = run_duration(run);

	return may_have_run(run)
	    ? dispatch_may_repeat(run->dispatch, duration, remaining_ms(run))
	    : dispatch_may_begin(
		  run->dispatch, WORK_GENERATE, duration, remaining_ms(run));
}

/* Fails a run that can't be completed before this process exits. */
static void
report_exiting(struct group_run *run)
{
	if (may_have_run(run))
		report_failure(run, CALLER_ERROR_UPSTREAM_LOST, 0,
		    "this entry exits before the answer ends");
	else
		report_failure(run, CALLER_ERROR_DRAINING,
		    RETRY_AFTER_DRAINING_MS, "this entry is shutting down");
}

/*
 * Returns whether another group may be formed: a member was lost or accepts no
 * new work, before any output was passed on. Takes one retry from the budget.
 */
static bool
may_form_another_group(struct group_run *run, const struct group_action *action)
{
	if (run->has_ended || run->sequence > 0 ||
	    action->reason != REJECT_DOWN ||
	    run->formation_count + 1 >= FORMATIONS_MAX ||
	    remaining_ms(run) == 0 || !has_time_left(run))
		return false;
	return retry_budget_take(
	    dispatch_retry_budget(run->dispatch, run->service));
}

/* Returns whether every probed upstream answered and can take part. */
static bool
all_can_take_part(const struct group_run *run)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (!run->members[i].answered ||
		    !run->members[i].candidate.accepting)
			return false;
	}
	return run->member_count > 0;
}

/* Forms another group if possible, else reports the group's failure. */
static void
on_group_failed(struct group_run *run, const struct group_action *action)
{
	bool ran = run->sequence > 0 || run->leader != NULL;

	if (may_form_another_group(run, action)) {
		LOG_INFO("forming another group", "{s:s, s:i}", "request",
		    run->exchange.request, "formed",
		    (int)run->formation_count + 1);
		run->form_again = true;
		return;
	}
	if (action->reason == REJECT_EXPIRED)
		report_failure(
		    run, CALLER_ERROR_DEADLINE, 0, "deadline passed");
	else if (action->reason == REJECT_TOO_LARGE && all_can_take_part(run))
		report_failure(run, CALLER_ERROR_PROMPT_TOO_LONG, 0,
		    "prompt does not fit in the memory of any group of "
		    "engines");
	else if (ran)
		report_failure(run, CALLER_ERROR_UPSTREAM_LOST,
		    action->retry_after_ms, "an engine of the group was lost");
	else if (!has_time_left(run))
		report_exiting(run);
	else
		report_failure(run, CALLER_ERROR_BUSY,
		    MAX(action->retry_after_ms, RETRY_AFTER_DEFAULT_MS),
		    "no group of engines has enough free memory for this "
		    "prompt");
}

/* Returns a submit with the fields that shards and the leader share. */
static struct message
make_submit(struct group_run *run, uint32_t attempt, enum work_kind work)
{
	struct message message = make_message(run, MESSAGE_SUBMIT, attempt);

	message.submit = (struct message_submit){
	    .organisation = run->organisation,
	    .weight = run->spec.weight,
	    .service = run->service,
	    .work = work,
	    .class = WORK_LONG,
	    .remaining_ms = remaining_ms(run),
	    .fingerprint = run->spec.fingerprint,
	    .repeatable = true,
	    .window_bytes = JOB_WINDOW_BYTES,
	};
	return message;
}

/* Sends a member its shard of the prompt. */
static bool
send_shard(struct group_run *run, struct member *member,
    const struct group_action *action)
{
	struct message message = make_submit(
	    run, shard_attempt(run), WORK_SHARD);
	gsize length;
	const uint8_t *prompt = g_bytes_get_data(run->spec.body, &length);
	size_t from = MIN(action->offset * PROMPT_BYTES_PER_TOKEN, length);
	size_t to = MIN(from + action->tokens * PROMPT_BYTES_PER_TOKEN, length);

	message.submit.prompt_tokens = action->tokens;
	message.submit.body = (struct bytes){
	    (uint8_t *)prompt + from, to - from};
	return send_to_member(run, member, &message);
}

/* Sends the leader the whole prompt and the KV shards to import. */
static bool
send_leader(struct group_run *run, struct member *member,
    const struct group_action *action)
{
	struct message message = make_submit(
	    run, leader_attempt(run), WORK_GENERATE);
	gsize length;
	const uint8_t *prompt = g_bytes_get_data(run->spec.body, &length);

	message.submit.prompt_tokens = run->spec.prompt_tokens;
	message.submit.output_tokens = run->spec.output_tokens;
	message.submit.body = (struct bytes){(uint8_t *)prompt, length};
	message.submit.imports = (struct string_array){
	    (char **)action->imports,
	    g_strv_length((char **)action->imports),
	};
	run->leader = member;
	run->exchange.upstream = member->upstream;
	run->exchange.attempt = leader_attempt(run);
	return send_to_member(run, member, &message);
}

/* Sends a memory hold, its renewal or its release. */
static bool
send_hold(struct group_run *run, struct member *member,
    const struct group_action *action)
{
	struct message message = make_message(run,
	    action->kind == GROUP_SEND_HOLD ? MESSAGE_HOLD : MESSAGE_RELEASE,
	    shard_attempt(run));

	if (action->kind == GROUP_SEND_HOLD) {
		message.hold.organisation = run->organisation;
		message.hold.tokens = action->tokens;
		message.hold.expires_ms = (uint32_t)action->expires_ms;
	}
	return send_to_member(run, member, &message);
}

/* Executes an action of the group; a failed send counts as a lost member. */
static void
execute_action(struct group_run *run, const struct group_action *action)
{
	struct member *member;
	bool sent = true;

	if (action->kind == GROUP_FAIL) {
		on_group_failed(run, action);
		return;
	}
	member = find_member_by_upstream(run, action->upstream);
	if (member == NULL)
		return;
	switch (action->kind) {
	case GROUP_SEND_HOLD:
	case GROUP_SEND_RELEASE:
		sent = send_hold(run, member, action);
		break;
	case GROUP_SEND_SHARD:
		sent = send_shard(run, member, action);
		break;
	case GROUP_SEND_LEADER:
		sent = send_leader(run, member, action);
		break;
	case GROUP_FAIL:
		break;
	}
	if (!sent && action->kind != GROUP_SEND_RELEASE)
		group_on_member_lost(
		    run->group, member->upstream, run_now(run));
}

/* Sets the timer for the end of probing, or the group's next event. */
static void
set_timer(struct group_run *run)
{
	struct ev_loop *loop = dispatch_loop(run->dispatch);
	struct timespec end = run->group != NULL ? group_next_wake(run->group)
						 : run->probe_deadline;
	int64_t us;

	ev_timer_stop(loop, &run->timer);
	if (!time_is_set(end))
		return;
	us = MAX(time_diff_us(end, run_now(run)), 0);
	ev_timer_set(&run->timer, (double)us / 1e6, 0);
	ev_timer_start(loop, &run->timer);
}

static void probe_upstreams(struct group_run *);

/* Executes all pending actions of the group; may free the run. */
static void
run_actions(struct group_run *run)
{
	struct group_action action;

	while (group_next_action(run->group, &action))
		execute_action(run, &action);
	if (!group_is_done(run->group)) {
		set_timer(run);
	} else if (run->form_again) {
		run->form_again = false;
		clear_group(run);
		run->formation_count++;
		probe_upstreams(run);
	} else {
		free_run(run);
	}
}

/*
 * Forms the group from the offers received so far, or ends the run if this
 * process has too little time left for it.
 */
static void
form_group(struct group_run *run)
{
	struct group_candidate candidates[GROUP_RUN_CANDIDATES_MAX];
	const struct group_request request = {
	    .prompt_tokens = run->spec.prompt_tokens,
	    .output_tokens = run->spec.output_tokens,
	    .deadline = run->spec.deadline,
	};
	size_t count = 0;

	if (!has_time_left(run)) {
		report_exiting(run);
		free_run(run);
		return;
	}
	for (size_t i = 0; i < run->member_count; i++) {
		if (run->members[i].answered)
			candidates[count++] = run->members[i].candidate;
	}
	LOG_INFO("group formed", "{s:s, s:I, s:I, s:I}", "request",
	    run->exchange.request, "asked", (json_int_t)run->member_count,
	    "answered", (json_int_t)count, "prompt_tokens",
	    (json_int_t)run->spec.prompt_tokens);
	run->group = group_new(&request, candidates, count,
	    dispatch_random(run->dispatch), run_now(run));
	run_actions(run);
}

/* Handles an offer; the last one forms the group. */
static void
on_offer(struct group_run *run, struct member *member,
    const struct message_offer *offer)
{
	size_t answered = 0;

	member->answered = true;
	member->candidate = (struct group_candidate){
	    .upstream = member->upstream,
	    .memory_tokens = offer->memory_tokens,
	    .free_tokens = offer->free_tokens,
	    .accepting = offer->accepting || offer->reason == REJECT_TOO_LARGE,
	};
	for (size_t i = 0; i < run->member_count; i++)
		answered += run->members[i].answered;
	if (answered == run->member_count)
		form_group(run);
}

/* Handles a chunk of the leader's answer. */
static void
on_chunk(struct group_run *run, const struct message *message)
{
	const struct message_chunk *chunk = &message->chunk;

	if (message->sequence <= run->sequence || run->has_ended)
		return;
	invariant_check(&chunks_in_order,
	    message->sequence == run->sequence + 1, NULL, NULL);
	run->sequence = message->sequence;
	run->ops->chunk(run->data, message->sequence, chunk->data.data,
	    chunk->data.length, chunk->tokens);
}

/* Handles the end of the leader's run. */
static void
on_leader_finish(struct group_run *run, const struct message_finish *finish)
{
	if (finish->outcome == FINISH_LOST && run->sequence == 0) {
		group_on_member_lost(
		    run->group, run->leader->upstream, run_now(run));
		run_actions(run);
		return;
	}
	if (finish->outcome != FINISH_OK) {
		if (finish->outcome == FINISH_EXPIRED)
			report_failure(
			    run, CALLER_ERROR_DEADLINE, 0, "deadline passed");
		else
			report_failure(
			    run, CALLER_ERROR_UPSTREAM_LOST, 0, finish->text);
		group_cancel(run->group, run_now(run));
		run_actions(run);
		return;
	}
	metric_add(&groups_finished, 1);
	duration_add(
	    run_duration(run), time_diff_ms(run_now(run), run->started_at));
	if (!run->has_ended)
		run->ops->finished(run->data, finish);
	run->has_ended = true;
	group_on_leader_done(run->group, run_now(run));
	run_actions(run);
}

/* Handles the end of a shard or of the leader's run. */
static void
on_finish(
    struct group_run *run, struct member *member, const struct message *message)
{
	const struct message_finish *finish = &message->finish;

	if (message->attempt == leader_attempt(run)) {
		on_leader_finish(run, finish);
		return;
	}
	group_on_shard_done(run->group, member->upstream,
	    finish->outcome == FINISH_OK, finish->kv, run_now(run));
	run_actions(run);
}

/* Handles a message from a member. */
static void
on_message(struct dispatch_exchange *exchange, struct link *link,
    const struct message *message)
{
	struct group_run *run = (struct group_run *)exchange;
	struct member *member = find_member_by_link(run, link);

	if (member == NULL)
		return;
	if (message->kind == MESSAGE_OFFER && run->group == NULL) {
		if (!member->answered)
			on_offer(run, member, &message->offer);
		return;
	}
	if (run->group == NULL || message->attempt < shard_attempt(run))
		return;
	switch (message->kind) {
	case MESSAGE_HELD:
		group_on_hold_answer(run->group, member->upstream,
		    message->held.granted, message->held.retry_after_ms,
		    run_now(run));
		run_actions(run);
		break;
	case MESSAGE_REJECT:
		group_on_member_lost(
		    run->group, member->upstream, run_now(run));
		run_actions(run);
		break;
	case MESSAGE_START:
		if (message->attempt == leader_attempt(run))
			run->ops->started(run->data);
		break;
	case MESSAGE_CHUNK:
		if (member == run->leader)
			on_chunk(run, message);
		break;
	case MESSAGE_FINISH:
		on_finish(run, member, message);
		break;
	default:
		break;
	}
}

/* Handles a lost link: counts as the loss of its member. */
static void
on_link_lost(struct dispatch_exchange *exchange, struct link *link)
{
	struct group_run *run = (struct group_run *)exchange;
	struct member *member = find_member_by_link(run, link);

	if (member == NULL)
		return;
	member->link = NULL;
	if (run->group == NULL)
		return;
	group_on_member_lost(run->group, member->upstream, run_now(run));
	run_actions(run);
}

/* Cancels a run: it is freed once all its holds are released. */
static void
group_run_cancel(struct dispatch_exchange *exchange, const char *reason)
{
	struct group_run *run = (struct group_run *)exchange;

	run->has_ended = true;
	LOG_INFO("group cancelled", "{s:s, s:s}", "request",
	    run->exchange.request, "why", reason);
	if (run->group == NULL) {
		free_run(run);
		return;
	}
	group_cancel(run->group, run_now(run));
	run_actions(run);
}

/* Cancels: a group can't be resumed, since this entry renews its holds. */
static void
group_run_detach(struct dispatch_exchange *exchange)
{
	group_run_cancel(exchange, "caller disconnected");
}

/* Adds to the leader's flow-control window what the caller has read. */
static void
group_run_consumed(struct dispatch_exchange *exchange, size_t bytes)
{
	struct group_run *run = (struct group_run *)exchange;
	struct message message = make_message(
	    run, MESSAGE_WINDOW, leader_attempt(run));

	run->unreported_bytes += bytes;
	if (run->unreported_bytes < JOB_WINDOW_BYTES / 2 || run->leader == NULL)
		return;
	message.window.bytes = (uint32_t)run->unreported_bytes;
	if (send_to_member(run, run->leader, &message))
		run->unreported_bytes = 0;
}

/* The process exits: fails the run and releases its holds. */
static void
group_run_end(struct dispatch_exchange *exchange)
{
	struct group_run *run = (struct group_run *)exchange;

	report_exiting(run);
	group_run_cancel(exchange, "entry exits");
}

static const struct dispatch_exchange_ops group_run_ops = {
    .message = on_message,
    .lost = on_link_lost,
    .cancel = group_run_cancel,
    .detach = group_run_detach,
    .end = group_run_end,
    .consumed = group_run_consumed,
};

/* Probing has timed out, or the group's next event is due. */
static void
on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct group_run *run = timer->data;

	if (run->group == NULL) {
		form_group(run);
		return;
	}
	group_tick(run->group, run_now(run));
	run_actions(run);
}

/* Probes an upstream for an offer of memory. */
static void
probe_upstream(struct group_run *run, const Heatherturn__V1__Upstream *upstream)
{
	struct member *member = &run->members[run->member_count++];
	struct message message = make_message(run, MESSAGE_PROBE, 0);

	member->upstream = g_strdup(upstream->id);
	member->address = g_strdup(upstream->sidecar_address);
	message.probe = (struct message_probe){
	    .organisation = run->organisation,
	    .service = run->service,
	    .work = WORK_SHARD,
	    .class = WORK_LONG,
	    .prompt_tokens = 1,
	    .remaining_ms = remaining_ms(run),
	};
	send_to_member(run, member, &message);
}

/* Probes the upstreams of the service. */
static void
probe_upstreams(struct group_run *run)
{
	g_autoptr(GPtrArray) upstreams = dispatch_eligible_upstreams(
	    run->dispatch, run->service);

	for (guint i = 0; i < MIN(upstreams->len, GROUP_RUN_CANDIDATES_MAX);
	     i++)
		probe_upstream(run, g_ptr_array_index(upstreams, i));
	run->probe_deadline = time_add_ms(run_now(run), PROBE_TIMEOUT_MS);
	set_timer(run);
}

/*
 * Starts the run of a prompt that no single engine can hold. Its callbacks are
 * those of a job; none is called before this returns.
 */
struct dispatch_exchange *
group_run_start(struct dispatch *dispatch, const struct job_spec *spec,
    const struct job_ops *ops, void *data)
{
	struct group_run *run = g_new0(struct group_run, 1);

	run->exchange.ops = &group_run_ops;
	g_strlcpy(run->exchange.request, spec->request,
	    sizeof(run->exchange.request));
	run->dispatch = dispatch;
	run->spec = *spec;
	run->organisation = g_strdup(spec->organisation);
	run->service = g_strdup(spec->service);
	g_bytes_ref(spec->body);
	run->ops = ops;
	run->data = data;
	run->started_at = run_now(run);
	dispatch_add_exchange(dispatch, &run->exchange);
	metric_add(&groups_started, 1);
	ev_timer_init(&run->timer, on_timer, 0, 0);
	run->timer.data = run;
	probe_upstreams(run);
	return &run->exchange;
}

/*
 * Returns the memory in tokens of a service's largest engine by the
 * configuration, and in *total that of all its engines together.
 */
uint64_t
group_run_largest_engine_tokens(
    const struct dispatch *dispatch, const char *service, uint64_t *total)
{
	g_autoptr(GPtrArray)
	    upstreams = dispatch_eligible_upstreams(dispatch, service);
	uint64_t largest = 0;

	*total = 0;
	for (guint i = 0; i < upstreams->len; i++) {
		const Heatherturn__V1__Upstream *upstream = g_ptr_array_index(
		    upstreams, i);

		largest = MAX(largest, upstream->memory_tokens);
		*total += upstream->memory_tokens;
	}
	return largest;
}
