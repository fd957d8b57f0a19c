#include "sidecar/token_rate.h"

#include "base/clock.h"

/* Weight of a new window in the moving average. */
#define BASELINE_WEIGHT (1.0 / 16)
/*
 * A longer window means that this process was suspended; the engine may not
 * have been slow.
 */
#define WINDOW_MAX_MS (2 * TOKEN_RATE_WINDOW_MS)

/* Initialises without a baseline. */
void
token_rate_init(struct token_rate *token_rate, struct timespec now)
{
	*token_rate = (struct token_rate){
	    .window_start = now, .evaluated_at = now};
}

/* Counts tokens that a generating run has produced. */
void
token_rate_add(struct token_rate *token_rate, uint32_t tokens)
{
	token_rate->tokens += tokens;
}

/* Adds a window's rate to the baseline, and ends a collapse. */
static void
update_baseline(struct token_rate *token_rate, double rate)
{
	if (token_rate->baseline_windows == 0)
		token_rate->baseline = rate;
	token_rate->baseline += BASELINE_WEIGHT * (rate - token_rate->baseline);
	token_rate->baseline_windows += token_rate->baseline_windows <
	    TOKEN_RATE_BASELINE_WINDOWS;
	token_rate->slow_windows = 0;
	token_rate->collapsed = false;
}

/* Compares a window's rate, in tokens per second and run, with the baseline. */
static void
update_window(struct token_rate *token_rate, double rate)
{
	bool slow = token_rate->baseline_windows >=
		TOKEN_RATE_BASELINE_WINDOWS &&
	    rate * TOKEN_RATE_SLOW_FACTOR < token_rate->baseline;

	if (!slow)
		update_baseline(token_rate, rate);
	else if (++token_rate->slow_windows >= TOKEN_RATE_SLOW_WINDOWS)
		token_rate->collapsed = true;
}

/*
 * Evaluates the current window once its time is over. generating is the number
 * of runs that generated throughout the window; windows with none are not
 * evaluated. Returns true if a collapse has just begun.
 */
bool
token_rate_update(
    struct token_rate *token_rate, uint32_t generating, struct timespec now)
{
	int64_t took_ms = time_diff_ms(now, token_rate->window_start);
	bool before = token_rate->collapsed;

	if (took_ms < TOKEN_RATE_WINDOW_MS)
		return false;
	if (generating > 0 && took_ms < WINDOW_MAX_MS) {
		update_window(token_rate,
		    (double)token_rate->tokens * MS_PER_S /
			((double)took_ms * generating));
		token_rate->evaluated_at = now;
	} else if (time_diff_ms(now, token_rate->evaluated_at) >=
	    TOKEN_RATE_COLLAPSE_TIMEOUT_MS) {
		token_rate->collapsed = false;
		token_rate->slow_windows = 0;
	}
	token_rate->window_start = now;
	token_rate->tokens = 0;
	return token_rate->collapsed && !before;
}

/* Returns whether the engine generates far below its baseline. */
bool
token_rate_is_collapsed(const struct token_rate *token_rate)
{
	return token_rate->collapsed;
}
