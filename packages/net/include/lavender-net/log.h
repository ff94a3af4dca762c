/*
 * The log: one structured line (key=value) for each decision, event or
 * request, written with log4c to standard error, standard output or a file.
 *
 * The lines of events and of requests are rate-limited. Dropped lines are
 * counted, and the next line written gives the count. Lines of decisions are
 * not rate-limited.
 */
#ifndef LAVENDER_NET_LOG_H
#define LAVENDER_NET_LOG_H

#include "lavender/host.h"

typedef enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_NOTICE,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
    LOG_LEVEL_COUNT
} log_level;

/* Longer ids of requests are shortened in logs, by lv_shorten_name, to this
 * size in bytes. */
#define LOG_REQUEST_SIZE 128

typedef struct log_settings {
    log_level level;
    char file[256]; /* path; "": standard error */
    char instance[LV_NAME_SIZE];
    bool writes_to_stdout;     /* write to standard output, non-blocking, and
                                    not to file */
    uint32_t bytes_per_second; /* limit for the lines of requests; 0: no
                                  limit */
} log_settings;

/* Opens the log. log4c has global state, so that a process has one log.
 * Returns false and fills in error on failure; log_close may be called in
 * either case.
 */
bool log_open(const log_settings *settings, err_error *error);
void log_close(void);

/* Return and parse the names "error", "warning", "notice", "info" and "debug".
 * log_level_name returns "unknown" for another level; log_level_parse returns
 * false for another name. */
const char *log_level_name(log_level level);
bool log_level_parse(const char *name, log_level *level);

/* Returns whether the log is open and writes lines of this level. */
bool log_is_enabled(log_level level);

/* Maximum lines of one event in a second. */
#define LOG_EVENT_LINES_PER_SECOND 20

/* Writes one line: event=EVENT, then the formatted "key=value ..." text. Drops
 * and counts the line when the event's limit is reached. */
void log_event(log_level level, lv_time now, const char *event,
               const char *format, ...) __attribute__((format(printf, 4, 5)));

/* The priority of a request's line within bytes_per_second. */
typedef enum log_importance {
    LOG_ORDINARY, /* dropped when less than half of the bytes are left */
    LOG_IMPORTANT /* refusals and failures: may use all bytes */
} log_importance;

/* Writes the line of one request, within bytes_per_second. Dropped lines are
 * counted, and the next line gives the count as left_out. On standard output,
 * a slow reader causes dropped lines and never blocks the process. */
void log_request(log_level level, log_importance importance, lv_time now,
                 const char *event, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Returns how many lines were dropped at bytes_per_second or because the
 * reader of standard output was slow. */
uint64_t log_dropped_lines(void);

/* Writes the line of a decision at level info. endpoint and instance are
 * names, or NULL to write the ids. */
void log_decision(const lv_decision *decision, const char *endpoint,
                  const char *instance);

/* Copies text to quoted as the value of a key; quotes and escapes it when
 * needed. Cuts it off to fit into size bytes, which must be at least 3. text
 * and quoted must not overlap. Returns quoted. */
const char *log_quote(const char *text, char *quoted, size_t size);

/* Returns how many lines of events were dropped because the event repeated too
 * often. */
uint64_t log_suppressed_lines(void);

#endif
