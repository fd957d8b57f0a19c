/*
 * JSON-lines log. A source file sets LOG_MODULE before it includes this header.
 * Fields are a jansson pack format and its arguments, e.g.
 *
 *	LOG_INFO("upstream chosen", "{s:s, s:I}", "upstream", id, "wait_ms",
 *	    (json_int_t)wait);
 *
 * A line without fields passes "{}". Never pass secrets.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>

#include <jansson.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/* Members of every line of this process. */
struct log_identity {
	const char *process;
	const char *role;
	const char *failure_domain;
};

void log_init(enum log_level, const struct log_identity *);
void log_set_deferred(bool);
void log_flush(void);
bool log_enabled(enum log_level);
bool log_level_parse(const char *, enum log_level *);
void log_write(enum log_level, const char *module, const char *text,
    const char *format, ...);

#define LOG_AT(level, text, ...)                                         \
	do {                                                             \
		if (log_enabled(level))                                  \
			log_write(level, LOG_MODULE, text, __VA_ARGS__); \
	} while (0)

#define LOG_ERROR(text, ...) LOG_AT(LOG_LEVEL_ERROR, text, __VA_ARGS__)
#define LOG_WARN(text, ...)  LOG_AT(LOG_LEVEL_WARN, text, __VA_ARGS__)
#define LOG_INFO(text, ...)  LOG_AT(LOG_LEVEL_INFO, text, __VA_ARGS__)
#define LOG_DEBUG(text, ...) LOG_AT(LOG_LEVEL_DEBUG, text, __VA_ARGS__)

#endif
