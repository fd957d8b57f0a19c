/*
 * Clock abstraction. Decisions take a struct timespec or a struct clock and
 * never read the system's clock themselves, so that tests control the time.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define MS_PER_S  1000
#define US_PER_S  1000000
#define US_PER_MS 1000
#define NS_PER_MS 1000000
#define NS_PER_US 1000
#define NS_PER_S  1000000000

struct clock;

struct clock_ops {
	struct timespec (*monotonic)(struct clock *);
	struct timespec (*wall)(struct clock *);
};

struct clock {
	const struct clock_ops *ops;
};

/* A clock that advances only when a test calls clock_manual_advance(). */
struct clock_manual {
	struct clock clock;
	struct timespec monotonic;
	struct timespec wall;
};

struct clock *clock_system(void);
struct timespec clock_monotonic(struct clock *);
struct timespec clock_wall(struct clock *);
void clock_manual_init(struct clock_manual *, int64_t start_ms);
void clock_manual_advance(struct clock_manual *, int64_t ms);

struct timespec time_from_ms(int64_t ms);
int64_t time_to_ms(struct timespec);
struct timespec time_add_ms(struct timespec, int64_t ms);
struct timespec time_add_us(struct timespec, int64_t us);
int64_t time_diff_ms(struct timespec later, struct timespec earlier);
int64_t time_diff_us(struct timespec later, struct timespec earlier);
bool time_before(struct timespec, struct timespec);
bool time_is_set(struct timespec);

#endif
