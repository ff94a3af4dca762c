/*
 * The log: one structured line (key=value) for each decision and each event
 * of operation, through log4c, to standard error or a file.
 *
 * Lines of the same event that come too often are counted, and the count is
 * given in the next line that is written; decisions are never dropped.
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

typedef struct log_settings {
    log_level level;
    char file[256]; /* "": standard error */
    char instance[LV_NAME_SIZE];
    bool writes_to_stdout;     /* instead of standard error */
    uint32_t bytes_per_second; /* 0: no bound on lines of requests */
} log_settings;

/* The log of the process; log4c keeps one for all. */
bool log_open(const log_settings *settings, err_error *error);
void log_close(void);

/* "error", "warning", "notice", "info", "debug" */
const char *log_level_name(log_level level);
bool log_level_parse(const char *name, log_level *level);

bool log_is_on(log_level level);

/* Write one line: event=EVENT and then the formatted "key=value ..." text.
 * At most LOG_REPEATS lines of one event are written in a second. */
#define LOG_REPEATS 20
void log_event(log_level level, lv_time now, const char *event,
               const char *format, ...) __attribute__((format(printf, 4, 5)));

/* How much a request's line matters when the bound is reached. */
typedef enum log_importance {
    LOG_ORDINARY, /* left out once half of the bytes are used */
    LOG_IMPORTANT /* refusals and failures: all the bytes are for them */
} log_importance;

/* Write the line of one request's decision, within the bytes of the second.
 * What was left out is counted, and the count stands in the next line. A
 * reader that is behind costs lines and never time. */
void log_request(log_level level, log_importance weight, lv_time now,
                 const char *event, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Lines that the bound, or a reader that was behind, cost. */
uint64_t log_dropped_lines(void);

/* Write the line of a decision. endpoint and instance are names, or NULL to
 * write the ids. */
void log_decision(const lv_decision *decision, const char *endpoint,
                  const char *instance);

/* Make a text safe as a value: quoted and escaped when it has to be. text
 * and the result may not overlap; returns to. */
const char *log_quote(const char *text, char *to, size_t size);

/* Lines that were not written because they repeated too often. */
uint64_t log_suppressed(void);

#endif
