/*
 * Groups of engines for prompts larger than one: several entries compete for
 * the same members, whose memory is the product's own account, with delays,
 * deaths and lost entries, in virtual time.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/group.h"
#include "policy/memory.h"

#define STEP_MS		  5
#define MEMBERS		  4
#define ENTRIES		  3
#define MEMBER_TOKENS	  400000
#define TOKENS_PER_S	  20000
#define GROUP_DEADLINE_MS 240000
#define OVERRUN_MS	  250
#define LEADER_MS	  3000
#define LOST_AFTER_MS	  500
#define DELAY_MAX_MS	  20

enum event_kind {
	EVENT_HOLD, /* to a member */
	EVENT_RELEASE,
	EVENT_SHARD,
	EVENT_LEADER,
	EVENT_HELD, /* to an entry */
	EVENT_SHARD_DONE,
	EVENT_LEADER_DONE,
	EVENT_LOST,
};

struct event {
	enum event_kind kind;
	int64_t due_ms;
	uint32_t entry;
	uint32_t member;
	uint64_t group; /* number of the group that it is about */
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

struct world {
	struct clock_manual clock;
	GRand *rand;
	struct memory *members[MEMBERS];
	char names[MEMBERS][8];
	uint64_t starts[MEMBERS]; /* rises with each death */
	struct entry entries[ENTRIES];
	struct events events;
	int64_t last_due_ms[ENTRIES][MEMBERS][2]; /* links keep the order */
	uint64_t groups;
	uint32_t served;
	uint32_t failed;
	uint32_t vanished; /* with their entry */
	uint32_t leaders_without_hold;
	bool faults;
};

/* Returns the world's present time. */
static struct timespec
now(struct world *world)
{
	return clock_monotonic(&world->clock.clock);
}

/* Sends an event after a delay; events of one link keep their order. */
static void
send(struct world *world, struct event event, int64_t after_ms)
{
	struct event *copy = g_memdup2(&event, sizeof(event));
	int64_t *last = &world->last_due_ms[event.entry][event.member]
					   [event.kind >= EVENT_HELD];
	struct event *other;

	copy->due_ms = time_to_ms(now(world)) + after_ms +
	    g_rand_int_range(world->rand, 1, DELAY_MAX_MS);
	if (after_ms == 0) {
		copy->due_ms = MAX(copy->due_ms, *last);
		*last = copy->due_ms;
	}
	TAILQ_FOREACH_REVERSE (other, &world->events, events, link) {
		if (other->due_ms <= copy->due_ms) {
			TAILQ_INSERT_AFTER(&world->events, other, copy, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&world->events, copy, link);
}

/* Returns a group's id at the members. */
static void
hold_id(uint64_t group, char *id, size_t size)
{
	g_snprintf(id, size, "g%" G_GUINT64_FORMAT, group);
}

/* Returns a member's index by its name. */
static uint32_t
member_of(const struct world *world, const char *name)
{
	for (uint32_t i = 0; i < MEMBERS; i++) {
		if (strcmp(world->names[i], name) == 0)
			return i;
	}
	g_assert_not_reached();
}

/* Carries out a group's actions. */
static void
act(struct world *world, uint32_t index)
{
	struct entry *entry = &world->entries[index];
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
			world->failed++;
			continue;
		}
		send(world,
		    (struct event){
			.kind = kinds[action.kind],
			.entry = index,
			.member = member_of(world, action.upstream),
			.group = entry->number,
			.tokens = action.tokens,
		    },
		    0);
	}
	if (!group_is_done(entry->group))
		return;
	g_assert_cmpint(
	    time_diff_ms(now(world), entry->deadline), <=, OVERRUN_MS);
	group_free(entry->group);
	entry->group = NULL;
}

/* Lets an entry begin a group that needs twice an engine's memory and more. */
static void
begin(struct world *world, uint32_t index)
{
	struct entry *entry = &world->entries[index];
	struct group_candidate candidates[MEMBERS];
	struct group_request request = {
	    .prompt_tokens = (uint64_t)g_rand_int_range(
		world->rand, 500000, 900000),
	    .output_tokens = 2000,
	    .deadline = time_add_ms(now(world), GROUP_DEADLINE_MS),
	};

	for (int i = 0; i < MEMBERS; i++)
		candidates[i] = (struct group_candidate){
		    .upstream = world->names[i],
		    .memory_tokens = MEMBER_TOKENS,
		    .free_tokens = memory_available(world->members[i]),
		    .accepting = true,
		};
	entry->number = ++world->groups;
	entry->deadline = request.deadline;
	entry->group = group_new(
	    &request, candidates, MEMBERS, world->rand, now(world));
	act(world, index);
}

/* Frees at a member what has been given up. */
static void
free_ended(struct world *world, uint32_t member)
{
	struct memory *memory = world->members[member];
	const char *id;

	while (memory_expire_hold(memory, now(world)) != NULL)
		;
	while ((id = memory_next_release(memory)) != NULL)
		memory_on_hold_freed(memory, id);
}

/* A member takes an event in. */
static void
at_member(struct world *world, const struct event *event)
{
	struct memory *memory = world->members[event->member];
	struct event answer = *event;
	char id[REQUEST_ID_SIZE];
	int64_t work_ms = (int64_t)(event->tokens * MS_PER_S / TOKENS_PER_S);

	hold_id(event->group, id, sizeof(id));
	if (event->kind == EVENT_HOLD) {
		answer.kind = EVENT_HELD;
		answer.granted = memory_hold(memory, id, event->tokens,
		    time_add_ms(now(world), GROUP_HOLD_EXPIRY_MS), now(world));
		send(world, answer, 0);
	} else if (event->kind == EVENT_RELEASE) {
		memory_end_hold(memory, id);
		free_ended(world, event->member);
	} else {
		if (memory_find_hold(memory, id) == NULL)
			world->leaders_without_hold++;
		answer.kind = event->kind == EVENT_SHARD ? EVENT_SHARD_DONE
							 : EVENT_LEADER_DONE;
		send(world, answer,
		    event->kind == EVENT_SHARD ? work_ms : work_ms + LEADER_MS);
	}
}

/* An entry takes an event in, unless it is about a group that is gone. */
static void
at_entry(struct world *world, const struct event *event)
{
	struct entry *entry = &world->entries[event->entry];
	const char *name = world->names[event->member];

	if (entry->group == NULL || entry->number != event->group)
		return;
	if (event->kind == EVENT_HELD) {
		group_on_hold_answer(
		    entry->group, name, event->granted, 100, now(world));
	} else if (event->kind == EVENT_SHARD_DONE) {
		group_on_shard_done(entry->group, name, true, name, now(world));
	} else if (event->kind == EVENT_LOST) {
		group_on_member_lost(entry->group, name, now(world));
	} else {
		group_on_leader_done(entry->group, now(world));
		world->served += group_is_done(entry->group);
	}
	act(world, event->entry);
}

/* A member dies with all that it holds; what is on its way to it is lost. */
static void
kill_member(struct world *world, uint32_t member)
{
	struct event *event, *next;

	memory_drop_holds(world->members[member]);
	world->starts[member]++;
	TAILQ_FOREACH_SAFE (event, &world->events, link, next) {
		if (event->member != member || event->kind == EVENT_LOST)
			continue;
		TAILQ_REMOVE(&world->events, event, link);
		g_free(event);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (world->entries[i].group != NULL)
			send(world,
			    (struct event){.kind = EVENT_LOST,
				.entry = i,
				.member = member,
				.group = world->entries[i].number},
			    LOST_AFTER_MS);
	}
}

/* An entry vanishes with its group: nobody releases its holds. */
static void
kill_entry(struct world *world, uint32_t index)
{
	struct entry *entry = &world->entries[index];

	if (entry->group == NULL)
		return;
	group_free(entry->group);
	entry->group = NULL;
	world->vanished++;
}

/* Moves the world on by one step; with more, entries begin new groups. */
static void
step(struct world *world, bool more)
{
	struct event *event;

	clock_manual_advance(&world->clock, STEP_MS);
	while ((event = TAILQ_FIRST(&world->events)) != NULL &&
	    event->due_ms <= time_to_ms(now(world))) {
		TAILQ_REMOVE(&world->events, event, link);
		if (event->kind < EVENT_HELD)
			at_member(world, event);
		else
			at_entry(world, event);
		g_free(event);
	}
	for (uint32_t i = 0; i < MEMBERS; i++)
		free_ended(world, i);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (world->entries[i].group != NULL &&
		    !time_before(
			now(world), group_next_wake(world->entries[i].group))) {
			group_tick(world->entries[i].group, now(world));
			act(world, i);
		} else if (world->entries[i].group == NULL && more) {
			begin(world, i);
		}
	}
	if (world->faults && g_rand_int_range(world->rand, 0, 4000) == 0)
		kill_member(
		    world, (uint32_t)g_rand_int_range(world->rand, 0, MEMBERS));
	if (world->faults && g_rand_int_range(world->rand, 0, 4000) == 0)
		kill_entry(
		    world, (uint32_t)g_rand_int_range(world->rand, 0, ENTRIES));
}

struct group_case {
	const char *name;
	bool faults;
};

static const struct group_case cases[] = {
    {"/group/three entries that want the same members are all served", false},
    {"/group/deaths of members and entries leave nothing held", true},
};

/* Runs one seed. */
static void
run_seed(const struct group_case *item, uint32_t seed)
{
	struct world world = {.faults = item->faults};

	clock_manual_init(&world.clock, 1000);
	world.rand = g_rand_new_with_seed(seed);
	TAILQ_INIT(&world.events);
	for (int i = 0; i < MEMBERS; i++) {
		world.members[i] = memory_new(MEMBER_TOKENS);
		g_snprintf(world.names[i], sizeof(world.names[i]), "e%d", i);
	}
	for (int64_t ms = 0; ms < 900000; ms += STEP_MS)
		step(&world, true);
	world.faults = false;
	for (int64_t ms = 0; ms < GROUP_DEADLINE_MS + 20000; ms += STEP_MS)
		step(&world, false);
	g_test_message("seed %u: groups %u served %u failed %u vanished %u",
	    seed, (guint)world.groups, world.served, world.failed,
	    world.vanished);
	g_assert_cmpuint(
	    world.groups, ==, world.served + world.failed + world.vanished);
	if (!item->faults) {
		g_assert_cmpuint(world.failed, ==, 0);
		g_assert_cmpuint(world.leaders_without_hold, ==, 0);
	}
	g_assert_cmpuint(world.served, >, 10);
	for (int i = 0; i < MEMBERS; i++) {
		g_assert_cmpuint(
		    memory_available(world.members[i]), ==, MEMBER_TOKENS);
		memory_free(world.members[i]);
	}
	g_rand_free(world.rand);
}

/* Runs one case on some seeds. */
static void
test_group(gconstpointer data)
{
	for (uint32_t seed = 1; seed <= 12; seed++)
		run_seed(data, seed);
}

/* Upstreams that are too small together are said so at once. */
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

/* Runs all tests. */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_group);
	g_test_add_func("/group/a prompt larger than all together is refused",
	    test_too_large);
	return g_test_run();
}
