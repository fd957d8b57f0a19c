#include "entry/group_run.h"

#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "caller/completion.h"
#include "policy/group.h"

#define LOG_MODULE "group"
#include "base/log.h"

/* Offers that have not come by then are not waited for. */
#define ASK_MS 250
/* Groups that one prompt may form, where members are lost before any text. */
#define FORMED_MAX 4

struct member {
	char *upstream;
	char *address;
	struct link *link;
	bool answered;
	struct group_candidate candidate;
};

struct group_run {
	struct exchange exchange;
	struct dispatch *dispatch;
	struct job_spec spec;
	char *organisation;
	char *service;
	const struct job_ops *ops;
	void *data;
	struct member members[GROUP_ASKED_MAX];
	size_t member_count;
	struct group *group; /* NULL until the offers are in */
	uint32_t formed; /* groups so far */
	bool again; /* once all is released, another group is formed */
	struct timespec asked_until;
	struct ev_timer timer;
	struct member *leader;
	uint64_t sequence; /* of the leader's last chunk taken */
	size_t unacknowledged;
	bool ended; /* the last callback has been given */
};

METRIC_DEFINE(groups_begun, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"begun\"", "prompts larger than one engine");
METRIC_DEFINE(groups_finished, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"finished\"", "prompts larger than one engine");
METRIC_DEFINE(groups_failed, METRIC_COUNTER, "heatherturn_groups",
    "outcome=\"failed\"", "prompts larger than one engine");
INVARIANT_DEFINE(chunks_in_order, "group_answer_whole_and_in_order");

/* Returns the present time. */
static struct timespec
now_of(const struct group_run *run)
{
	return clock_monotonic(dispatch_clock(run->dispatch));
}

/* Returns how many milliseconds are left to the deadline. */
static uint32_t
remaining_ms(const struct group_run *run)
{
	int64_t left = time_diff_ms(run->spec.deadline, now_of(run));

	return (uint32_t)MAX(left, 0);
}

/* Attempt numbers rise with each group: its shards go first. */
static uint32_t
shard_attempt(const struct group_run *run)
{
	return run->formed * 2 + 1;
}

/* Then the leader's run. */
static uint32_t
leader_attempt(const struct group_run *run)
{
	return run->formed * 2 + 2;
}

/* Starts a message about this run. */
static struct message
make_message(
    const struct group_run *run, enum message_kind kind, uint32_t attempt)
{
	struct message message = {.kind = kind, .attempt = attempt};

	g_strlcpy(
	    message.request, run->exchange.request, sizeof(message.request));
	return message;
}

/* Forgets a group that holds nothing any more, and who was asked for it. */
static void
drop_group(struct group_run *run)
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

/* Frees a run whose group holds nothing any more. */
static void
free_run(struct group_run *run)
{
	ev_timer_stop(dispatch_loop(run->dispatch), &run->timer);
	dispatch_remove(run->dispatch, &run->exchange);
	drop_group(run);
	g_bytes_unref(run->spec.body);
	g_free(run->organisation);
	g_free(run->service);
	g_free(run);
}

/* Returns the member of an upstream, NULL for none. */
static struct member *
find_upstream(struct group_run *run, const char *upstream)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (strcmp(run->members[i].upstream, upstream) == 0)
			return &run->members[i];
	}
	return NULL;
}

/* Returns the member that a link leads to, NULL for none. */
static struct member *
find_link(struct group_run *run, const struct link *link)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (run->members[i].link == link)
			return &run->members[i];
	}
	return NULL;
}

/* Sends a message to a member, on a fresh link where the old one is gone. */
static bool
send_to(struct group_run *run, struct member *member, struct message *message)
{
	if (member->link == NULL) {
		member->link = mesh_get_link(
		    dispatch_mesh(run->dispatch), member->address);
		if (member->link != NULL)
			link_add_user(member->link);
	}
	return member->link != NULL && link_send(member->link, message);
}

/* Gives the last callback of a failure, once. */
static void
fail(struct group_run *run, enum caller_error code, int64_t retry_after_ms,
    const char *why)
{
	if (run->ended)
		return;
	run->ended = true;
	metric_add(&groups_failed, 1);
	LOG_INFO("group failed", "{s:s, s:s, s:s}", "request",
	    run->exchange.request, "code", failure_code(code), "why", why);
	run->ops->failed(run->data, code, retry_after_ms, why);
}

/*
 * Says whether another group may be formed: a member was lost, or takes no new
 * work, before the caller has seen any text.
 */
static bool
may_form_again(struct group_run *run, const struct group_action *action)
{
	if (run->ended || run->sequence > 0 || action->reason != REJECT_DOWN ||
	    run->formed + 1 >= FORMED_MAX || remaining_ms(run) == 0)
		return false;
	return retry_budget_take(dispatch_budget(run->dispatch, run->service));
}

/* Says whether every upstream that was asked could take part. */
static bool
all_could(const struct group_run *run)
{
	for (size_t i = 0; i < run->member_count; i++) {
		if (!run->members[i].answered ||
		    !run->members[i].candidate.accepting)
			return false;
	}
	return run->member_count > 0;
}

/* Maps why a group is not served to what the caller is told. */
static void
take_fail(struct group_run *run, const struct group_action *action)
{
	bool ran = run->sequence > 0 || run->leader != NULL;

	if (may_form_again(run, action)) {
		LOG_INFO("group to be formed again", "{s:s, s:i}", "request",
		    run->exchange.request, "formed", (int)run->formed + 1);
		run->again = true;
		return;
	}
	if (action->reason == REJECT_EXPIRED)
		fail(run, CALLER_ERROR_DEADLINE, 0, "deadline passed");
	else if (action->reason == REJECT_TOO_LARGE && all_could(run))
		fail(run, CALLER_ERROR_PROMPT_TOO_LONG, 0,
		    "no group of engines can hold this prompt");
	else if (ran)
		fail(run, CALLER_ERROR_LOST, action->retry_after_ms,
		    "an engine of the group was lost");
	else
		fail(run, CALLER_ERROR_BUSY,
		    MAX(action->retry_after_ms, RETRY_AFTER_DEFAULT_MS),
		    "no group of engines is free for this prompt");
}

/* Fills what shards and the leader's run have in common. */
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

/* Sends a member its part of the prompt. */
static bool
send_shard(struct group_run *run, struct member *member,
    const struct group_action *action)
{
	struct message message = make_submit(
	    run, shard_attempt(run), WORK_SHARD);
	gsize length;
	const uint8_t *prompt = g_bytes_get_data(run->spec.body, &length);
	size_t from = MIN(action->offset * TOKEN_BYTES, length);
	size_t to = MIN(from + action->tokens * TOKEN_BYTES, length);

	message.submit.prompt_tokens = action->tokens;
	message.submit.body = (struct bytes){
	    (uint8_t *)prompt + from, to - from};
	return send_to(run, member, &message);
}

/* Sends the leader the whole prompt, with the shards to be imported. */
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
	return send_to(run, member, &message);
}

/* Sends a hold, its renewal or its release. */
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
	return send_to(run, member, &message);
}

/* Carries out one action of the group. */
static void
carry_out(struct group_run *run, const struct group_action *action)
{
	struct member *member;
	bool sent = true;

	if (action->kind == GROUP_FAIL) {
		take_fail(run, action);
		return;
	}
	member = find_upstream(run, action->upstream);
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
		group_member_lost(run->group, member->upstream, now_of(run));
}

/* Sets the timer for what the group or the asking waits for. */
static void
set_timer(struct group_run *run)
{
	struct ev_loop *loop = dispatch_loop(run->dispatch);
	struct timespec end = run->group != NULL ? group_next_wake(run->group)
						 : run->asked_until;
	int64_t us;

	ev_timer_stop(loop, &run->timer);
	if (!time_is_set(end))
		return;
	us = MAX(time_diff_us(end, now_of(run)), 0);
	ev_timer_set(&run->timer, (double)us / 1e6, 0);
	ev_timer_start(loop, &run->timer);
}

static void ask(struct group_run *);

/* Carries out all that the group has decided; the run may be gone after. */
static void
pump(struct group_run *run)
{
	struct group_action action;

	while (group_next(run->group, &action))
		carry_out(run, &action);
	if (!group_is_done(run->group)) {
		set_timer(run);
	} else if (run->again) {
		run->again = false;
		drop_group(run);
		run->formed++;
		ask(run);
	} else {
		free_run(run);
	}
}

/* Forms the group from the offers that have come. */
static void
form(struct group_run *run)
{
	struct group_candidate candidates[GROUP_ASKED_MAX];
	const struct group_request request = {
	    .prompt_tokens = run->spec.prompt_tokens,
	    .output_tokens = run->spec.output_tokens,
	    .deadline = run->spec.deadline,
	};
	size_t count = 0;

	for (size_t i = 0; i < run->member_count; i++) {
		if (run->members[i].answered)
			candidates[count++] = run->members[i].candidate;
	}
	LOG_INFO("group formed", "{s:s, s:I, s:I, s:I}", "request",
	    run->exchange.request, "asked", (json_int_t)run->member_count,
	    "answered", (json_int_t)count, "prompt_tokens",
	    (json_int_t)run->spec.prompt_tokens);
	run->group = group_new(&request, candidates, count,
	    dispatch_random(run->dispatch), now_of(run));
	pump(run);
}

/* Takes an offer; the last one forms the group. */
static void
take_offer(struct group_run *run, struct member *member,
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
		form(run);
}

/* Takes a part of the leader's answer. */
static void
take_chunk(struct group_run *run, const struct message *message)
{
	const struct message_chunk *chunk = &message->chunk;

	if (message->sequence <= run->sequence || run->ended)
		return;
	invariant_check(&chunks_in_order,
	    message->sequence == run->sequence + 1, NULL, NULL);
	run->sequence = message->sequence;
	run->ops->chunk(run->data, message->sequence, chunk->data.data,
	    chunk->data.length, chunk->tokens);
}

/* Takes the end of the leader's run. */
static void
take_leader_finish(struct group_run *run, const struct message_finish *finish)
{
	if (finish->outcome == FINISH_LOST && run->sequence == 0) {
		group_member_lost(
		    run->group, run->leader->upstream, now_of(run));
		pump(run);
		return;
	}
	if (finish->outcome != FINISH_OK) {
		if (finish->outcome == FINISH_EXPIRED)
			fail(run, CALLER_ERROR_DEADLINE, 0, "deadline passed");
		else
			fail(run, CALLER_ERROR_LOST, 0, finish->text);
		group_cancel(run->group, now_of(run));
		pump(run);
		return;
	}
	metric_add(&groups_finished, 1);
	if (!run->ended)
		run->ops->finished(run->data, finish);
	run->ended = true;
	group_leader_done(run->group, now_of(run));
	pump(run);
}

/* Takes the end of a shard, or of the leader's run. */
static void
take_finish(
    struct group_run *run, struct member *member, const struct message *message)
{
	const struct message_finish *finish = &message->finish;

	if (message->attempt == leader_attempt(run)) {
		take_leader_finish(run, finish);
		return;
	}
	group_shard_done(run->group, member->upstream,
	    finish->outcome == FINISH_OK, finish->kv, now_of(run));
	pump(run);
}

/* Takes a message from a member. */
static void
group_message(
    struct exchange *exchange, struct link *link, const struct message *message)
{
	struct group_run *run = (struct group_run *)exchange;
	struct member *member = find_link(run, link);

	if (member == NULL)
		return;
	if (message->kind == MESSAGE_OFFER && run->group == NULL) {
		if (!member->answered)
			take_offer(run, member, &message->offer);
		return;
	}
	if (run->group == NULL || message->attempt < shard_attempt(run))
		return;
	switch (message->kind) {
	case MESSAGE_HELD:
		group_held(run->group, member->upstream, message->held.granted,
		    message->held.retry_after_ms, now_of(run));
		pump(run);
		break;
	case MESSAGE_REJECT:
		group_member_lost(run->group, member->upstream, now_of(run));
		pump(run);
		break;
	case MESSAGE_START:
		if (message->attempt == leader_attempt(run))
			run->ops->started(run->data);
		break;
	case MESSAGE_CHUNK:
		if (member == run->leader)
			take_chunk(run, message);
		break;
	case MESSAGE_FINISH:
		take_finish(run, member, message);
		break;
	default:
		break;
	}
}

/* Takes the loss of a link: a member that is gone ends the group. */
static void
group_lost(struct exchange *exchange, struct link *link)
{
	struct group_run *run = (struct group_run *)exchange;
	struct member *member = find_link(run, link);

	if (member == NULL)
		return;
	member->link = NULL;
	if (run->group == NULL)
		return;
	group_member_lost(run->group, member->upstream, now_of(run));
	pump(run);
}

/* Ends a run that nobody waits for: everything held is released. */
static void
group_run_cancel(struct exchange *exchange, const char *reason)
{
	struct group_run *run = (struct group_run *)exchange;

	run->ended = true;
	LOG_INFO("group cancelled", "{s:s, s:s}", "request",
	    run->exchange.request, "why", reason);
	if (run->group == NULL) {
		free_run(run);
		return;
	}
	group_cancel(run->group, now_of(run));
	pump(run);
}

/* A group's stream can't outlive the entry that renews its holds. */
static void
group_run_detach(struct exchange *exchange)
{
	group_run_cancel(exchange, "caller hung up");
}

/* Gives the leader room for as much as the caller has taken. */
static void
group_run_consumed(struct exchange *exchange, size_t bytes)
{
	struct group_run *run = (struct group_run *)exchange;
	struct message message = make_message(
	    run, MESSAGE_WINDOW, leader_attempt(run));

	run->unacknowledged += bytes;
	if (run->unacknowledged < JOB_WINDOW_BYTES / 2 || run->leader == NULL)
		return;
	message.window.bytes = (uint32_t)run->unacknowledged;
	if (send_to(run, run->leader, &message))
		run->unacknowledged = 0;
}

static const struct exchange_ops group_run_ops = {
    .message = group_message,
    .lost = group_lost,
    .cancel = group_run_cancel,
    .detach = group_run_detach,
    .consumed = group_run_consumed,
};

/* The offers' time is over, or the group has something to do. */
static void
wake(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct group_run *run = timer->data;

	if (run->group == NULL) {
		form(run);
		return;
	}
	group_tick(run->group, now_of(run));
	pump(run);
}

/* Asks one upstream whether and how far it could take part. */
static void
probe(struct group_run *run, const Heatherturn__V1__Upstream *upstream)
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
	send_to(run, member, &message);
}

/* Asks all upstreams of the service. */
static void
ask(struct group_run *run)
{
	g_autoptr(GPtrArray)
	    upstreams = dispatch_upstreams(run->dispatch, run->service);

	for (guint i = 0; i < MIN(upstreams->len, GROUP_ASKED_MAX); i++)
		probe(run, g_ptr_array_index(upstreams, i));
	run->asked_until = time_add_ms(now_of(run), ASK_MS);
	set_timer(run);
}

/*
 * Starts the run of a prompt that no single engine can hold. Its callbacks are
 * those of a job, the first not before this returns.
 */
struct exchange *
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
	dispatch_add(dispatch, &run->exchange);
	metric_add(&groups_begun, 1);
	ev_timer_init(&run->timer, wake, 0, 0);
	run->timer.data = run;
	ask(run);
	return &run->exchange;
}

/*
 * Returns how many tokens the largest engine of a service holds, by the
 * configuration, and in *all how many all its engines hold together.
 */
uint64_t
group_run_engine_tokens(
    const struct dispatch *dispatch, const char *service, uint64_t *all)
{
	g_autoptr(GPtrArray) upstreams = dispatch_upstreams(dispatch, service);
	uint64_t largest = 0;

	*all = 0;
	for (guint i = 0; i < upstreams->len; i++) {
		const Heatherturn__V1__Upstream *upstream = g_ptr_array_index(
		    upstreams, i);

		largest = MAX(largest, upstream->memory_tokens);
		*all += upstream->memory_tokens;
	}
	return largest;
}
