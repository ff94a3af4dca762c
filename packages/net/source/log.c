#include "lavender-net/log.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 1024
#define VALUE_SIZE 192
#define LINE_PREFIX_SIZE 96 /* time, level, instance and event of a line */

/* Minimum size of the line of a request, with its prefix. */
#define LINE_MIN_SIZE 128
/* Slots of the table of events, more than there are events. */
#define EVENT_SLOTS 64

typedef struct event_rate {
    char event[32];
    lv_time window_start; /* start of the second that count is for */
    uint32_t count;       /* lines written in this second */
    uint64_t suppressed;  /* lines since the last one written */
} event_rate;

static struct {
    log4c_category_t *category;
    log4c_appender_t *appender;
    log4c_layout_t *layout;
    FILE *stream;
    log_settings settings;
    char line[LINE_SIZE + 256];
    event_rate events[EVENT_SLOTS];
    uint64_t suppressed;         /* lines of events, in total */
    double available_bytes;      /* token bucket for the lines of requests */
    lv_time refill_time;         /* when available_bytes was updated */
    uint64_t dropped;            /* lines, in total */
    uint64_t unreported_dropped; /* lines since the last one of a request */
} logger;

static const char *const level_names[LOG_LEVEL_COUNT] = {
    "error", "warning", "notice", "info", "debug"};

static const int priorities[LOG_LEVEL_COUNT] = {
    LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_NOTICE,
    LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG};

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    const char *level = "error";
    size_t i;

    (void)layout;
    for (i = 0; i < LOG_LEVEL_COUNT; i++) {
        if (priorities[i] == event->evt_priority) {
            level = level_names[i];
        }
    }
    snprintf(logger.line, sizeof logger.line,
             "time=%lld.%06ld level=%s instance=%s %s\n",
             (long long)event->evt_timestamp.tv_sec,
             (long)event->evt_timestamp.tv_usec, level,
             logger.settings.instance, event->evt_msg);
    return logger.line;
}

/* A line is shorter than PIPE_BUF, so that a non-blocking pipe accepts it
 * whole or not at all. */
static int
append_nonblocking(const char *line, size_t size)
{
    if (write(STDOUT_FILENO, line, size) != (ssize_t)size) {
        logger.dropped++;
        logger.unreported_dropped++;
        return -1;
    }
    return 0;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    size_t size = strlen(event->evt_rendered_msg);

    (void)appender;
    if (logger.settings.writes_to_stdout) {
        return append_nonblocking(event->evt_rendered_msg, size);
    }
    if (fputs(event->evt_rendered_msg, logger.stream) < 0) {
        return -1;
    }
    return fflush(logger.stream);
}

static int
open_appender(log4c_appender_t *appender)
{
    (void)appender;
    return 0;
}

static const log4c_layout_type_t layout_type = {"lavender", format_line};
static const log4c_appender_type_t appender_type = {
    "lavender", open_appender, append_line, open_appender};

bool
log_open(const log_settings *settings, err_error *error)
{
    logger.settings = *settings;
    logger.stream = stderr;
    logger.available_bytes = settings->bytes_per_second;
    if (settings->writes_to_stdout) {
        int flags = fcntl(STDOUT_FILENO, F_GETFL);

        if (flags < 0 ||
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0) {
            return err_set(error, ERR_SYSTEM,
                           "start the process with a standard output",
                           "standard output cannot be made non-blocking");
        }
    }
    if (settings->file[0] != '\0') {
        logger.stream = fopen(settings->file, "a");
        if (logger.stream == NULL) {
            logger.stream = stderr;
            return err_set(error, ERR_SYSTEM,
                           "name a file that this user may write",
                           "cannot open the log file '%s'", settings->file);
        }
    }
    log4c_layout_type_set(&layout_type);
    log4c_appender_type_set(&appender_type);
    logger.layout = log4c_layout_get("lavender");
    logger.appender = log4c_appender_get("lavender");
    logger.category = log4c_category_get("lavenderd");
    if (logger.layout == NULL || logger.appender == NULL ||
        logger.category == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate memory for the log");
    }
    log4c_layout_set_type(logger.layout, &layout_type);
    log4c_appender_set_type(logger.appender, &appender_type);
    log4c_appender_set_layout(logger.appender, logger.layout);
    log4c_category_set_appender(logger.category, logger.appender);
    log4c_category_set_additivity(logger.category, 0);
    log4c_category_set_priority(logger.category, priorities[settings->level]);
    return true;
}

void
log_close(void)
{
    if (logger.category != NULL) {
        log4c_fini();
    }
    if (logger.stream != NULL && logger.stream != stderr) {
        fclose(logger.stream);
    }
    memset(&logger, 0, sizeof logger);
}

const char *
log_level_name(log_level level)
{
    return (unsigned)level < LOG_LEVEL_COUNT ? level_names[level] : "unknown";
}

bool
log_level_parse(const char *name, log_level *level)
{
    unsigned i;

    for (i = 0; i < LOG_LEVEL_COUNT; i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (log_level)i;
            return true;
        }
    }
    return false;
}

bool
log_is_enabled(log_level level)
{
    return logger.category != NULL && level <= logger.settings.level;
}

/* Returns the slot of an event. When all slots are taken by others, the event
 * takes over the one that its name hashes to. */
static event_rate *
find_rate(const char *event)
{
    uint64_t hash = lv_hash_name(event);
    event_rate *rate;
    uint32_t i;

    for (i = 0; i < EVENT_SLOTS; i++) {
        rate = &logger.events[(hash + i) % EVENT_SLOTS];
        if (strncmp(rate->event, event, sizeof rate->event - 1) == 0) {
            return rate;
        }
        if (rate->event[0] == '\0') {
            break;
        }
    }
    if (i == EVENT_SLOTS) {
        rate = &logger.events[hash % EVENT_SLOTS];
    }
    memset(rate, 0, sizeof *rate);
    snprintf(rate->event, sizeof rate->event, "%s", event);
    return rate;
}

/* Counts a line of an event. Returns whether it is within the event's limit.
 */
static bool
count_event_line(event_rate *rate, lv_time now)
{
    if (lv_elapsed(now, rate->window_start) >= LV_SECOND) {
        rate->window_start = now;
        rate->count = 0;
    }
    if (rate->count >= LOG_EVENT_LINES_PER_SECOND) {
        rate->suppressed++;
        logger.suppressed++;
        return false;
    }
    rate->count++;
    return true;
}

void
log_event(log_level level, lv_time now, const char *event, const char *format,
          ...)
{
    char text[LINE_SIZE - 128];
    char repeats[48] = "";
    uint64_t dropped_before = logger.dropped;
    va_list arguments;
    event_rate *rate;

    if (!log_is_enabled(level)) {
        return;
    }
    rate = find_rate(event);
    if (!count_event_line(rate, now)) {
        return;
    }
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (rate->suppressed > 0) {
        snprintf(repeats, sizeof repeats, " suppressed=%llu",
                 (unsigned long long)rate->suppressed);
    }
    log4c_category_log(logger.category, priorities[level], "event=%s%s%s%s",
                       event, text[0] == '\0' ? "" : " ", text, repeats);
    if (logger.dropped == dropped_before) {
        rate->suppressed = 0;
    }
}

/* Adds the bytes since the last call, up to those of one second. */
static void
refill_bytes(lv_time now)
{
    double limit = logger.settings.bytes_per_second;

    logger.available_bytes += limit *
                              (double)lv_elapsed(now, logger.refill_time) /
                              (double)LV_SECOND;
    if (logger.available_bytes > limit) {
        logger.available_bytes = limit;
    }
    logger.refill_time = now;
}

/* Returns whether a line of this size may be written; counts it as dropped if
 * not. */
static bool
check_available_bytes(log_importance importance, size_t size)
{
    double limit = logger.settings.bytes_per_second;
    double reserve = importance == LOG_IMPORTANT ? 0 : limit / 2;

    if (limit == 0 || logger.available_bytes - (double)size >= reserve) {
        return true;
    }
    logger.dropped++;
    logger.unreported_dropped++;
    return false;
}

void
log_request(log_level level, log_importance importance, lv_time now,
            const char *event, const char *format, ...)
{
    char text[LINE_SIZE - 128];
    char dropped[48] = "";
    uint64_t dropped_before;
    va_list arguments;
    int size;

    if (!log_is_enabled(level)) {
        return;
    }
    refill_bytes(now);
    if (!check_available_bytes(importance, LINE_MIN_SIZE)) {
        return; /* saves a busy process the cost of formatting the line */
    }
    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (size < 0 ||
        !check_available_bytes(importance, (size_t)size + LINE_PREFIX_SIZE)) {
        return;
    }
    logger.available_bytes -= (double)size + LINE_PREFIX_SIZE;
    if (logger.unreported_dropped > 0) {
        snprintf(dropped, sizeof dropped, " left_out=%llu",
                 (unsigned long long)logger.unreported_dropped);
    }
    dropped_before = logger.dropped;
    log4c_category_log(logger.category, priorities[level], "event=%s %s%s",
                       event, text, dropped);
    if (logger.dropped == dropped_before) {
        logger.unreported_dropped = 0;
    }
}

uint64_t
log_dropped_lines(void)
{
    return logger.dropped;
}

static const char *
decision_kind_name(lv_decision_kind kind)
{
    static const char *const names[] = {
        [LV_DECIDE_ADMIT] = "admit",   [LV_DECIDE_REFUSE] = "refuse",
        [LV_DECIDE_ROUTE] = "route",   [LV_DECIDE_RETRY] = "retry",
        [LV_DECIDE_FINISH] = "finish", [LV_DECIDE_GRANT] = "grant",
        [LV_DECIDE_RECALL] = "recall", [LV_DECIDE_ROLE] = "role",
        [LV_DECIDE_MEMBER] = "member", [LV_DECIDE_DOCUMENT] = "document",
        [LV_DECIDE_ORDER] = "order",
    };

    if ((unsigned)kind >= sizeof names / sizeof names[0]) {
        return "unknown";
    }
    return names[kind];
}

static void
append_value(char *line, size_t size, const char *key, const char *value)
{
    char quoted[VALUE_SIZE];
    size_t used = strlen(line);

    if (value != NULL) {
        snprintf(line + used, size - used, " %s=%s", key,
                 log_quote(value, quoted, sizeof quoted));
    }
}

static void
append_id(char *line, size_t size, const char *key, const char *name, lv_id id)
{
    char text[20];

    if (name != NULL) {
        append_value(line, size, key, name);
    }
    else if (id != LV_ID_NONE) {
        snprintf(text, sizeof text, "%016llx", (unsigned long long)id);
        append_value(line, size, key, text);
    }
}

void
log_decision(const lv_decision *decision, const char *endpoint,
             const char *instance)
{
    char line[LINE_SIZE - 64];
    size_t used;

    if (!log_is_enabled(LOG_LEVEL_INFO)) {
        return;
    }
    snprintf(line, sizeof line, "decision=%s",
             decision_kind_name(decision->kind));
    append_value(line, sizeof line, "reason", decision->reason);
    if (decision->request != 0) {
        used = strlen(line);
        snprintf(line + used, sizeof line - used, " request=%llu",
                 (unsigned long long)decision->request);
    }
    append_value(line, sizeof line, "account", decision->account);
    append_value(line, sizeof line,
                 decision->kind == LV_DECIDE_DOCUMENT ? "document" : "pool",
                 decision->pool);
    append_id(line, sizeof line, "endpoint", endpoint, decision->endpoint);
    append_id(line, sizeof line, "peer", instance, decision->instance);
    used = strlen(line);
    snprintf(line + used, sizeof line - used, " value=%llu alternatives=%u",
             (unsigned long long)decision->value, decision->alternatives);
    log4c_category_log(logger.category, priorities[LOG_LEVEL_INFO], "%s",
                       line);
}

static bool
is_plain(const char *text)
{
    const char *c;

    for (c = text; *c != '\0'; c++) {
        if (*c <= ' ' || *c == '"' || *c == '=' || *c == '\\' ||
            (unsigned char)*c >= 0x7f) {
            return false;
        }
    }
    return *text != '\0';
}

const char *
log_quote(const char *text, char *quoted, size_t size)
{
    static const char digits[] = "0123456789abcdef";
    size_t used = 0;

    if (is_plain(text)) {
        snprintf(quoted, size, "%s", text);
        return quoted;
    }
    quoted[used++] = '"';
    for (; *text != '\0' && used + 6 < size; text++) {
        if (*text == '"' || *text == '\\') {
            quoted[used++] = '\\';
            quoted[used++] = *text;
        }
        else if ((unsigned char)*text < ' ' || *text == 0x7f) {
            quoted[used++] = '\\';
            quoted[used++] = 'x';
            quoted[used++] = digits[(unsigned char)*text >> 4];
            quoted[used++] = digits[*text & 15];
        }
        else {
            quoted[used++] = *text;
        }
    }
    quoted[used++] = '"';
    quoted[used] = '\0';
    return quoted;
}

uint64_t
log_suppressed_lines(void)
{
    return logger.suppressed;
}
