/*
 * Groups of engines for prompts larger than one engine's memory, in virtual
 * time: several entries compete for the same members, with delays and crashes
 * of members and entries. Guards against entries that block each other and
 * holds that are never released. The members' memory is policy/memory itself.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/group.h"
#include "policy/memory.h"

#define STEP_MS		     5
#define MEMBERS		     4
#define ENTRIES		     3
#define MEMBER_TOKENS	     400000
#define TOKENS_PER_S	     20000
#define GROUP_DEADLINE_MS    240000
#define DEADLINE_SLACK_MS    250
#define LEADER_DECODE_MS     3000
#define LOST_NOTICE_DELAY_MS 500
#define DELAY_MAX_MS	     20

enum event_kind {
	EVENT_HOLD, /* sent to a member */
	EVENT_RELEASE,
	EVENT_SHARD,
	EVENT_LEADER,
	EVENT_HELD, /* sent to an entry */
	EVENT_SHARD_DONE,
	EVENT_LEADER_DONE,
	EVENT_LOST,
};

struct event {
	enum event_kind kind;
	int64_t due_ms;
	uint32_t entry;
	uint32_t member;
	uint64_t group; /* number of its group */
	uint64_t tokens;
	bool granted;
	TAILQ_ENTRY(event) link;
};

TAILQ_HEAD(events, event);

struct entry {
	struct group *group;
	uint64_t number;
	struct timespec deadline;
};

struct simulation {
	struct clock_manual clock;
	GRand *rand;
	struct memory *members[MEMBERS];
	char names[MEMBERS][8];
	uint64_t starts[MEMBERS]; /* incremented by each crash */
	struct entry entries[ENTRIES];
	struct events events;
	int64_t last_due_ms[ENTRIES][MEMBERS][2]; /* keeps a link's order */
	uint64_t groups;
	uint32_t served;
	uint32_t failed;
	uint32_t abandoned; /* ended by a crash of their entry */
	uint32_t leaders_without_hold;
	bool faults;
};

/* Returns the simulation's current time. */
static struct timespec
now(struct simulation *simulation)
{
	return clock_monotonic(&simulation->clock.clock);
}

/*
 * Queues an event to arrive after_ms and a random delay later. Events without
 * after_ms keep their order on a link.
 */
static void
send(struct simulation *simulation, struct event event, int64_t after_ms)
{
	struct event *copy = g_memdup2(&event, sizeof(event));
	int64_t *last = &simulation->last_due_ms[event.entry][event.member]
						[event.kind >= EVENT_HELD];
	struct event *other;

	copy->due_ms = time_to_ms(now(simulation)) + after_ms +
	    g_rand_int_range(simulation->rand, 1, DELAY_MAX_MS);
	if (after_ms == 0) {
		copy->due_ms = MAX(copy->due_ms, *last);
		*last = copy->due_ms;
	}
	TAILQ_FOREACH_REVERSE (other, &simulation->events, events, link) {
		if (other->due_ms <= copy->due_ms) {
			TAILQ_INSERT_AFTER(
			    &simulation->events, other, copy, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&simulation->events, copy, link);
}

/* Writes the id that a group's holds have at the members. */
static void
hold_id(uint64_t group, char *id, size_t size)
{
	g_snprintf(id, size, "g%" G_GUINT64_FORMAT, group);
}

/* Returns the index of the member of this name. */
static uint32_t
member_index(const struct simulation *simulation, const char *name)
{
	for (uint32_t i = 0; i < MEMBERS; i++) {
		if (strcmp(simulation->names[i], name) == 0)
			return i;
	}
	g_assert_not_reached();
}

/*
 * Handles a group's pending actions and frees it when it is done; fails if that
 * is later than its deadline plus DEADLINE_SLACK_MS.
 */
static void
handle_actions(struct simulation *simulation, uint32_t index)
{
	struct entry *entry = &simulation->entries[index];
	static const enum event_kind kinds[] = {
	    [GROUP_SEND_HOLD] = EVENT_HOLD,
	    [GROUP_SEND_RELEASE] = EVENT_RELEASE,
	    [GROUP_SEND_SHARD] = EVENT_SHARD,
	    [GROUP_SEND_LEADER] = EVENT_LEADER,
	};
	struct group_action action;

	while (group_next_action(entry->group, &action)) {
		if (action.kind == GROUP_FAIL) {
			g_assert_cmpint(action.retry_after_ms, >, 0);
			simulation->failed++;
			continue;
		}
		send(simulation,
		    (struct event){
			.kind = kinds[action.kind],
			.entry = index,
			.member = member_index(simulation, action.upstream),
			.group = entry->number,
			.tokens = action.tokens,
		    },
		    0);
	}
	if (!group_is_done(entry->group))
		return;
	g_assert_cmpint(time_diff_ms(now(simulation), entry->deadline), <=,
	    DEADLINE_SLACK_MS);
	group_free(entry->group);
	entry->group = NULL;
}

/* Starts a group at an entry, for a prompt larger than one engine's memory. */
static void
start_group(struct simulation *simulation, uint32_t index)
{
	struct entry *entry = &simulation->entries[index];
	struct group_candidate candidates[MEMBERS];
	struct group_request request = {
	    .prompt_tokens = (uint64_t)g_rand_int_range(
		simulation->rand, 500000, 900000),
	    .output_tokens = 2000,
	    .deadline = time_add_ms(now(simulation), GROUP_DEADLINE_MS),
	};

	for (int i = 0; i < MEMBERS; i++)
		candidates[i] = (struct group_candidate){
		    .upstream = simulation->names[i],
		    .memory_tokens = MEMBER_TOKENS,
		    .free_tokens = memory_available(simulation->members[i]),
		    .accepting = true,
		};
	entry->number = ++simulation->groups;
	entry->deadline = request.deadline;
	entry->group = group_new(
	    &request, candidates, MEMBERS, simulation->rand, now(simulation));
	handle_actions(simulation, index);
}

/* Expires holds at a member and frees those that have ended. */
static void
free_ended_holds(struct simulation *simulation, uint32_t member)
{
	struct memory *memory = simulation->members[member];
	const char *id;

	while (memory_expire_hold(memory, now(simulation)) != NULL)
		;
	while ((id = memory_next_release(memory)) != NULL)
		memory_on_hold_freed(memory, id);
}

/* Handles an event at a member. */
static void
handle_at_member(struct simulation *simulation, const struct event *event)
{
	struct memory *memory = simulation->members[event->member];
	struct event response = *event;
	char id[REQUEST_ID_SIZE];
	int64_t work_ms = (int64_t)(event->tokens * MS_PER_S / TOKENS_PER_S);

	hold_id(event->group, id, sizeof(id));
	if (event->kind == EVENT_HOLD) {
		response.kind = EVENT_HELD;
		response.granted = memory_hold(memory, id, event->tokens,
		    time_add_ms(now(simulation), GROUP_HOLD_EXPIRY_MS),
		    now(simulation));
		send(simulation, response, 0);
	} else if (event->kind == EVENT_RELEASE) {
		memory_end_hold(memory, id);
		free_ended_holds(simulation, event->member);
	} else {
		if (memory_find_hold(memory, id) == NULL)
			simulation->leaders_without_hold++;
		response.kind = event->kind == EVENT_SHARD ? EVENT_SHARD_DONE
							   : EVENT_LEADER_DONE;
		send(simulation, response,
		    event->kind == EVENT_SHARD ? work_ms
					       : work_ms + LEADER_DECODE_MS);
	}
}

/* Handles an event at an entry; one of a former group is dropped. */
static void
handle_at_entry(struct simulation *simulation, const struct event *event)
{
	struct entry *entry = &simulation->entries[event->entry];
	const char *name = simulation->names[event->member];

	if (entry->group == NULL || entry->number != event->group)
		return;
	if (event->kind == EVENT_HELD) {
		group_on_hold_answer(
		    entry->group, name, event->granted, 100, now(simulation));
	} else if (event->kind == EVENT_SHARD_DONE) {
		group_on_shard_done(
		    entry->group, name, true, name, now(simulation));
	} else if (event->kind == EVENT_LOST) {
		group_on_member_lost(entry->group, name, now(simulation));
	} else {
		group_on_leader_done(entry->group, now(simulation));
		simulation->served += group_is_done(entry->group);
	}
	handle_actions(simulation, event->entry);
}

/*
 * Crashes a member: its holds and the events on its links are lost, and each
 * entry with a group learns of it after LOST_NOTICE_DELAY_MS.
 */
static void
kill_member(struct simulation *simulation, uint32_t member)
{
	struct event *event, *next;

	memory_drop_holds(simulation->members[member]);
	simulation->starts[member]++;
	TAILQ_FOREACH_SAFE (event, &simulation->events, link, next) {
		if (event->member != member || event->kind == EVENT_LOST)
			continue;
		TAILQ_REMOVE(&simulation->events, event, link);
		g_free(event);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (simulation->entries[i].group != NULL)
			send(simulation,
			    (struct event){.kind = EVENT_LOST,
				.entry = i,
				.member = member,
				.group = simulation->entries[i].number},
			    LOST_NOTICE_DELAY_MS);
	}
}

/* Crashes an entry with its group: its holds are left to expire. */
static void
kill_entry(struct simulation *simulation, uint32_t index)
{
	struct entry *entry = &simulation->entries[index];

	if (entry->group == NULL)
		return;
	group_free(entry->group);
	entry->group = NULL;
	simulation->abandoned++;
}

/*
 * Advances the simulation by one step; with start_new, idle entries start new
 * groups.
 */
static void
step(struct simulation *simulation, bool start_new)
{
	struct event *event;

	clock_manual_advance(&simulation->clock, STEP_MS);
	while ((event = TAILQ_FIRST(&simulation->events)) != NULL &&
	    event->due_ms <= time_to_ms(now(simulation))) {
		TAILQ_REMOVE(&simulation->events, event, link);
		if (event->kind < EVENT_HELD)
			handle_at_member(simulation, event);
		else
			handle_at_entry(simulation, event);
		g_free(event);
	}
	for (uint32_t i = 0; i < MEMBERS; i++)
		free_ended_holds(simulation, i);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (simulation->entries[i].group != NULL &&
		    !time_before(now(simulation),
			group_next_wake(simulation->entries[i].group))) {
			group_tick(
			    simulation->entries[i].group, now(simulation));
			handle_actions(simulation, i);
		} else if (simulation->entries[i].group == NULL && start_new) {
			start_group(simulation, i);
		}
	}
	if (simulation->faults &&
	    g_rand_int_range(simulation->rand, 0, 4000) == 0)
		kill_member(simulation,
		    (uint32_t)g_rand_int_range(simulation->rand, 0, MEMBERS));
	if (simulation->faults &&
	    g_rand_int_range(simulation->rand, 0, 4000) == 0)
		kill_entry(simulation,
		    (uint32_t)g_rand_int_range(simulation->rand, 0, ENTRIES));
}

struct group_case {
	const char *name;
	bool faults;
};

static const struct group_case cases[] = {
    {"/group/three entries that compete for the same members are all served",
	false},
    {"/group/crashes of members and entries leave no holds", true},
};

/* Runs one seed. */
static void
run_seed(const struct group_case *item, uint32_t seed)
{
	struct simulation simulation = {.faults = item->faults};

	clock_manual_init(&simulation.clock, 1000);
	simulation.rand = g_rand_new_with_seed(seed);
	TAILQ_INIT(&simulation.events);
	for (int i = 0; i < MEMBERS; i++) {
		simulation.members[i] = memory_new(MEMBER_TOKENS);
		g_snprintf(
		    simulation.names[i], sizeof(simulation.names[i]), "e%d", i);
	}
	for (int64_t ms = 0; ms < 900000; ms += STEP_MS)
		step(&simulation, true);
	simulation.faults = false;
	for (int64_t ms = 0; ms < GROUP_DEADLINE_MS + 20000; ms += STEP_MS)
		step(&simulation, false);
	g_test_message("seed %u: groups %u served %u failed %u abandoned %u",
	    seed, (guint)simulation.groups, simulation.served,
	    simulation.failed, simulation.abandoned);
	g_assert_cmpuint(simulation.groups, ==,
	    simulation.served + simulation.failed + simulation.abandoned);
	if (!item->faults) {
		g_assert_cmpuint(simulation.failed, ==, 0);
		g_assert_cmpuint(simulation.leaders_without_hold, ==, 0);
	}
	g_assert_cmpuint(simulation.served, >, 10);
	for (int i = 0; i < MEMBERS; i++) {
		g_assert_cmpuint(
		    memory_available(simulation.members[i]), ==, MEMBER_TOKENS);
		memory_free(simulation.members[i]);
	}
	g_rand_free(simulation.rand);
}

/* Runs one case with 12 seeds. */
static void
test_group(gconstpointer data)
{
	for (uint32_t seed = 1; seed <= 12; seed++)
		run_seed(data, seed);
}

/* A prompt larger than all upstreams together fails at once as too large. */
static void
test_too_large(void)
{
	struct group_request request = {
	    .prompt_tokens = 1000000, .deadline = time_from_ms(5000)};
	struct group_candidate candidate = {.upstream = "e0",
	    .memory_tokens = MEMBER_TOKENS,
	    .free_tokens = MEMBER_TOKENS,
	    .accepting = true};
	GRand *rand = g_rand_new_with_seed(1);
	struct group *group = group_new(
	    &request, &candidate, 1, rand, time_from_ms(1000));
	struct group_action action;

	g_assert_true(group_next_action(group, &action));
	g_assert_cmpint(action.kind, ==, GROUP_FAIL);
	g_assert_cmpint(action.reason, ==, REJECT_TOO_LARGE);
	g_assert_false(group_next_action(group, &action));
	g_assert_true(group_is_done(group));
	group_free(group);
	g_rand_free(rand);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_group);
	g_test_add_func(
	    "/group/a prompt larger than the memory of all members is rejected",
	    test_too_large);
	return g_test_run();
}
