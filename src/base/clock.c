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

/* Returns the clock that reads the system's time; it is static. */
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

/* Initialises a clock at start_ms milliseconds, stopped. */
void
clock_manual_init(struct clock_manual *manual, int64_t start_ms)
{
	manual->clock.ops = &manual_ops;
	manual->monotonic = time_from_ms(start_ms);
	manual->wall = time_from_ms(start_ms);
}

/* Advances a manual clock by ms milliseconds. */
void
clock_manual_advance(struct clock_manual *manual, int64_t ms)
{
	manual->monotonic = time_add_ms(manual->monotonic, ms);
	manual->wall = time_add_ms(manual->wall, ms);
}

/* Returns the time ms milliseconds after the clock's epoch. */
struct timespec
time_from_ms(int64_t ms)
{
	return time_add_ms((struct timespec){0}, ms);
}

/* Returns a time in whole milliseconds since the clock's epoch. */
int64_t
time_to_ms(struct timespec time)
{
	return (int64_t)time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

/* Returns time plus ns nanoseconds; |ns| must be below one second. */
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

/* Returns time plus ms milliseconds; ms may be negative. */
struct timespec
time_add_ms(struct timespec time, int64_t ms)
{
	time.tv_sec += ms / MS_PER_S;
	return add_ns(time, ms % MS_PER_S * NS_PER_MS);
}

/* Returns time plus us microseconds; us may be negative. */
struct timespec
time_add_us(struct timespec time, int64_t us)
{
	time.tv_sec += us / US_PER_S;
	return add_ns(time, us % US_PER_S * NS_PER_US);
}

/* Returns later minus earlier in whole milliseconds. */
int64_t
time_diff_ms(struct timespec later, struct timespec earlier)
{
	return time_diff_us(later, earlier) / 1000;
}

/* Returns later minus earlier in whole microseconds. */
int64_t
time_diff_us(struct timespec later, struct timespec earlier)
{
	int64_t seconds = (int64_t)later.tv_sec - earlier.tv_sec;

	return seconds * 1000000 +
	    (later.tv_nsec - earlier.tv_nsec) / NS_PER_US;
}

/* Returns whether a is earlier than b. */
bool
time_before(struct timespec a, struct timespec b)
{
	if (a.tv_sec != b.tv_sec)
		return a.tv_sec < b.tv_sec;
	return a.tv_nsec < b.tv_nsec;
}

/* Returns whether a time was set: all zero means unset. */
bool
time_is_set(struct timespec time)
{
	return time.tv_sec != 0 || time.tv_nsec != 0;
}
