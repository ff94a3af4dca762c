#include "lavender-net/log.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 1024
#define VALUE_SIZE 192
#define LINE_FRAME 96 /* time, level, instance and event of a line */

/* No line about a request is shorter, with its frame. */
#define LINE_LEAST 128
#define EVENTS 64

typedef struct event_rate {
    char event[32];
    lv_time since; /* begin of the second that is counted */
    uint32_t count;
    uint64_t suppressed;
} event_rate;

static struct {
    log4c_category_t *category;
    log4c_appender_t *appender;
    log4c_layout_t *layout;
    FILE *stream;
    log_settings settings;
    char line[LINE_SIZE + 256];
    event_rate events[EVENTS];
    uint64_t suppressed;
    double bytes_left;     /* of the bound, for lines of requests */
    lv_time refilled;      /* when bytes_left was true */
    uint64_t left_out;     /* lines, in all */
    uint64_t left_out_now; /* since the last line that was written */
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

/* A pipe takes a line of this size whole or not at all. */
static int
append_without_waiting(const char *line, size_t size)
{
    if (write(STDOUT_FILENO, line, size) != (ssize_t)size) {
        logger.left_out++;
        logger.left_out_now++;
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
        return append_without_waiting(event->evt_rendered_msg, size);
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
    logger.bytes_left = settings->bytes_per_second;
    if (settings->writes_to_stdout) {
        int flags = fcntl(STDOUT_FILENO, F_GETFL);

        if (flags < 0 ||
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0) {
            return err_set(error, ERR_SYSTEM,
                           "start the process with a standard output",
                           "the log cannot be written");
        }
    }
    if (settings->file[0] != '\0') {
        logger.stream = fopen(settings->file, "a");
        if (logger.stream == NULL) {
            logger.stream = stderr;
            return err_set(
                error, ERR_SYSTEM, "name a file that this user may write",
                "the log file '%s' can not be opened", settings->file);
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
                       "the log has no memory");
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
log_is_on(log_level level)
{
    return logger.category != NULL && level <= logger.settings.level;
}

static event_rate *
rate_of(const char *event)
{
    event_rate *rate = &logger.events[lv_hash_name(event) % EVENTS];

    if (strncmp(rate->event, event, sizeof rate->event - 1) != 0) {
        memset(rate, 0, sizeof *rate);
        snprintf(rate->event, sizeof rate->event, "%s", event);
    }
    return rate;
}

static bool
may_write(event_rate *rate, lv_time now)
{
    if (lv_elapsed(now, rate->since) >= LV_SECOND) {
        rate->since = now;
        rate->count = 0;
    }
    if (rate->count >= LOG_REPEATS) {
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
    va_list arguments;
    event_rate *rate;

    if (!log_is_on(level)) {
        return;
    }
    rate = rate_of(event);
    if (!may_write(rate, now)) {
        return;
    }
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (rate->suppressed > 0) {
        snprintf(repeats, sizeof repeats, " suppressed=%llu",
                 (unsigned long long)rate->suppressed);
        rate->suppressed = 0;
    }
    log4c_category_log(logger.category, priorities[level], "event=%s%s%s%s",
                       event, text[0] == '\0' ? "" : " ", text, repeats);
}

static void
refill(lv_time now)
{
    double bound = logger.settings.bytes_per_second;

    logger.bytes_left +=
        bound * (double)lv_elapsed(now, logger.refilled) / (double)LV_SECOND;
    if (logger.bytes_left > bound) {
        logger.bytes_left = bound;
    }
    logger.refilled = now;
}

/* Is there room for a line of this size? Counts it as left out if not. */
static bool
has_bytes(log_importance weight, size_t size)
{
    double bound = logger.settings.bytes_per_second;
    double least = weight == LOG_IMPORTANT ? 0 : bound / 2;

    if (bound == 0 || logger.bytes_left - (double)size >= least) {
        return true;
    }
    logger.left_out++;
    logger.left_out_now++;
    return false;
}

void
log_request(log_level level, log_importance weight, lv_time now,
            const char *event, const char *format, ...)
{
    char text[LINE_SIZE - 128];
    char left_out[48] = "";
    va_list arguments;
    int size;

    if (!log_is_on(level)) {
        return;
    }
    refill(now);
    if (!has_bytes(weight, LINE_LEAST)) {
        return; /* writing the line would cost a busy process most */
    }
    va_start(arguments, format);
    size = vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (size < 0 || !has_bytes(weight, (size_t)size + LINE_FRAME)) {
        return;
    }
    logger.bytes_left -= (double)size + LINE_FRAME;
    if (logger.left_out_now > 0) {
        snprintf(left_out, sizeof left_out, " left_out=%llu",
                 (unsigned long long)logger.left_out_now);
        logger.left_out_now = 0;
    }
    log4c_category_log(logger.category, priorities[level], "event=%s %s%s",
                       event, text, left_out);
}

uint64_t
log_dropped_lines(void)
{
    return logger.left_out;
}

static const char *
decision_name(lv_decision_kind kind)
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
add_text(char *line, size_t size, const char *key, const char *value)
{
    char quoted[VALUE_SIZE];
    size_t used = strlen(line);

    if (value != NULL) {
        snprintf(line + used, size - used, " %s=%s", key,
                 log_quote(value, quoted, sizeof quoted));
    }
}

static void
add_id(char *line, size_t size, const char *key, const char *name, lv_id id)
{
    char text[20];

    if (name != NULL) {
        add_text(line, size, key, name);
    }
    else if (id != LV_ID_NONE) {
        snprintf(text, sizeof text, "%016llx", (unsigned long long)id);
        add_text(line, size, key, text);
    }
}

void
log_decision(const lv_decision *decision, const char *endpoint,
             const char *instance)
{
    char line[LINE_SIZE - 64];
    size_t used;

    if (!log_is_on(LOG_LEVEL_INFO)) {
        return;
    }
    snprintf(line, sizeof line, "decision=%s", decision_name(decision->kind));
    add_text(line, sizeof line, "reason", decision->reason);
    if (decision->request != 0) {
        used = strlen(line);
        snprintf(line + used, sizeof line - used, " request=%llu",
                 (unsigned long long)decision->request);
    }
    add_text(line, sizeof line, "account", decision->account);
    add_text(line, sizeof line,
             decision->kind == LV_DECIDE_DOCUMENT ? "document" : "pool",
             decision->pool);
    add_id(line, sizeof line, "endpoint", endpoint, decision->endpoint);
    add_id(line, sizeof line, "peer", instance, decision->instance);
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
log_quote(const char *text, char *to, size_t size)
{
    static const char digits[] = "0123456789abcdef";
    size_t used = 0;

    if (is_plain(text)) {
        snprintf(to, size, "%s", text);
        return to;
    }
    to[used++] = '"';
    for (; *text != '\0' && used + 6 < size; text++) {
        if (*text == '"' || *text == '\\') {
            to[used++] = '\\';
            to[used++] = *text;
        }
        else if ((unsigned char)*text < ' ' || *text == 0x7f) {
            to[used++] = '\\';
            to[used++] = 'x';
            to[used++] = digits[(unsigned char)*text >> 4];
            to[used++] = digits[*text & 15];
        }
        else {
            to[used++] = *text;
        }
    }
    to[used++] = '"';
    to[used] = '\0';
    return to;
}

uint64_t
log_suppressed(void)
{
    return logger.suppressed;
}
