#include "base/clock.h"

/* Returns the system's monotonic time. */
static struct timespec
system_monotonic(struct clock *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_MONOTONIC, &now);
	return now;
}

/* Returns the system's wall time. */
static struct timespec
system_wall(struct clock *clock)
{
	struct timespec now;

	(void)clock;
	clock_gettime(CLOCK_REALTIME, &now);
	return now;
}

/* Returns the time that a test has set. */
static struct timespec
manual_monotonic(struct clock *clock)
{
	return ((struct clock_manual *)clock)->monotonic;
}

/* Returns the wall time that a test has set. */
static struct timespec
manual_wall(struct clock *clock)
{
	return ((struct clock_manual *)clock)->wall;
}

static const struct clock_ops system_ops = {
    .monotonic = system_monotonic,
    .wall = system_wall,
};

static const struct clock_ops manual_ops = {
    .monotonic = manual_monotonic,
    .wall = manual_wall,
};

/* Returns the one clock that reads the system's time; never freed. */
struct clock *
clock_system(void)
{
	static struct clock clock = {.ops = &system_ops};

	return &clock;
}

/* Returns the monotonic time, for durations and deadlines. */
struct timespec
clock_monotonic(struct clock *clock)
{
	return clock->ops->monotonic(clock);
}

/* Returns the wall time, for records that other hosts read. */
struct timespec
clock_wall(struct clock *clock)
{
	return clock->ops->wall(clock);
}

/* Sets up a clock that stands at start_ms milliseconds until advanced. */
void
clock_manual_init(struct clock_manual *manual, int64_t start_ms)
{
	manual->clock.ops = &manual_ops;
	manual->monotonic = time_from_ms(start_ms);
	manual->wall = time_from_ms(start_ms);
}

/* Moves a manual clock forward by ms milliseconds. */
void
clock_manual_advance(struct clock_manual *manual, int64_t ms)
{
	manual->monotonic = time_add_ms(manual->monotonic, ms);
	manual->wall = time_add_ms(manual->wall, ms);
}

/* Returns the point in time that lies ms milliseconds after the clock's zero.
 */
struct timespec
time_from_ms(int64_t ms)
{
	return time_add_ms((struct timespec){0}, ms);
}

/* Returns a point in time as whole milliseconds since the clock's zero. */
int64_t
time_to_ms(struct timespec time)
{
	return (int64_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

/* Returns the point ns nanoseconds, less than a second, after time. */
static struct timespec
add_ns(struct timespec time, long ns)
{
	time.tv_nsec += ns;
	if (time.tv_nsec >= NS_PER_S) {
		time.tv_sec++;
		time.tv_nsec -= NS_PER_S;
	} else if (time.tv_nsec < 0) {
		time.tv_sec--;
		time.tv_nsec += NS_PER_S;
	}
	return time;
}

/* Returns the point ms milliseconds after time; ms may be negative. */
struct timespec
time_add_ms(struct timespec time, int64_t ms)
{
	time.tv_sec += ms / MS_PER_S;
	return add_ns(time, ms % MS_PER_S * NS_PER_MS);
}

/* Returns the point us microseconds after time; us may be negative. */
struct timespec
time_add_us(struct timespec time, int64_t us)
{
	time.tv_sec += us / US_PER_S;
	return add_ns(time, us % US_PER_S * NS_PER_US);
}

/* Returns how many whole milliseconds lie between two points in time. */
int64_t
time_diff_ms(struct timespec later, struct timespec earlier)
{
	return time_diff_us(later, earlier) / 1000;
}

/* Returns how many whole microseconds lie between two points in time. */
int64_t
time_diff_us(struct timespec later, struct timespec earlier)
{
	int64_t seconds = (int64_t)later.tv_sec - earlier.tv_sec;

	return seconds * 1000000 +
	    (later.tv_nsec - earlier.tv_nsec) / NS_PER_US;
}

/* Says whether a lies before b. */
bool
time_before(struct timespec a, struct timespec b)
{
	if (a.tv_sec != b.tv_sec)
		return a.tv_sec < b.tv_sec;
	return a.tv_nsec < b.tv_nsec;
}

/* Says whether a point in time was ever set: all zero means it was not. */
bool
time_is_set(struct timespec time)
{
	return time.tv_sec != 0 || time.tv_nsec != 0;
}
