#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "lavender-net/log.h"

#define MAX_LINE_SIZE 4096
#define INITIAL_LINES 64

static const char doc[] =
    "Read the logs of several instances from standard input and print the "
    "events of one request in order of time, with the input of each decision. "
    "ID is the request's id.";

/* Log events of a request and what they say about it. */
static const struct {
    const char *event;
    const char *description;
} event_descriptions[] = {
    {"hold", "is queued here until capacity is free"},
    {"start", "is sent to an endpoint"},
    {"again", "is sent again"},
    {"served", "has received its complete response"},
    {"refused", "was refused; it was not executed"},
    {"failed", "failed; it may have been executed"},
    {"broken", "was aborted after its response had begun"},
    {"gone", "was aborted because its caller disconnected"},
    {"cut", "was aborted by the exit of the process"},
    {"endpoint-error", "received an error response from its endpoint"},
    {"unrouted", "has no route or no valid key"},
    {"endpoint-leaving", "has an answer whose endpoint says that it leaves"},
    {"endpoint-backoff", "was turned away by an endpoint for some time"},
    {"retry-after-ignored", "has an answer with an invalid Retry-After"},
};

typedef struct log_line {
    double time; /* seconds */
    char *text;  /* owned */
} log_line;

/* Copies the value of a key in a line of key=value pairs, truncated to the
 * buffer. Returns false if the line does not have the key. */
static bool
find_value(const char *line, const char *key, char *value, size_t size)
{
    size_t key_size = strlen(key);
    const char *at = line;

    while ((at = strstr(at, key)) != NULL) {
        bool is_key_start = at == line || at[-1] == ' ';

        if (is_key_start && at[key_size] == '=') {
            size_t length = strcspn(at + key_size + 1, " \n");

            if (length >= size) {
                length = size - 1;
            }
            memcpy(value, at + key_size + 1, length);
            value[length] = '\0';
            return true;
        }
        at += key_size;
    }
    return false;
}

static int
compare_times(const void *left, const void *right)
{
    double a = ((const log_line *)left)->time;
    double b = ((const log_line *)right)->time;

    return a < b ? -1 : a > b;
}

/* The lines of one request. */
typedef struct line_list {
    log_line *lines; /* owned */
    size_t count;
    size_t capacity;
} line_list;

static bool
add_line(line_list *list, const char *text)
{
    char time[32];
    log_line *line;

    if (list->count == list->capacity) {
        size_t capacity =
            list->capacity > 0 ? list->capacity * 2 : INITIAL_LINES;
        log_line *lines = realloc(list->lines, capacity * sizeof *lines);

        if (lines == NULL) {
            return false;
        }
        list->lines = lines;
        list->capacity = capacity;
    }
    line = &list->lines[list->count];
    line->time =
        find_value(text, "time", time, sizeof time) ? strtod(time, NULL) : 0;
    line->text = strdup(text);
    list->count += line->text != NULL;
    return line->text != NULL;
}

/* Reads the lines of a request from standard input. Returns false when out of
 * memory. */
static bool
read_request_lines(const char *id, line_list *list)
{
    char line[MAX_LINE_SIZE];
    char value[256];

    while (fgets(line, sizeof line, stdin) != NULL) {
        if (find_value(line, "request", value, sizeof value) &&
            strcmp(value, id) == 0 && !add_line(list, line)) {
            return false;
        }
    }
    return true;
}

static void
free_lines(line_list *list)
{
    size_t i;

    for (i = 0; i < list->count; i++) {
        free(list->lines[i].text);
    }
    free(list->lines);
}

/* Returns the description of an event, or its name if it has none. */
static const char *
describe_event(const char *event)
{
    size_t i;

    for (i = 0; i < sizeof event_descriptions / sizeof event_descriptions[0];
         i++) {
        if (strcmp(event_descriptions[i].event, event) == 0) {
            return event_descriptions[i].description;
        }
    }
    return event;
}

static void
print_event(const log_line *line, double start_time)
{
    static const char *const printed_keys[] = {
        "reason",     "status",    "endpoint",      "account",
        "route",      "late_ms",   "share_percent", "target",
        "age_ms",     "took_ms",   "wait_ms",       "own_ms",
        "uncached",   "in_flight", "candidates",    "sends",
        "runs",       "begun",     "retry_ms",      "may_have_run",
        "config",     "peers",     "left_out",      "list_age_ms",
        "store_lost", "silent_ms", "change",        "seconds",
        "source"};
    char event[64] = "";
    char instance[128] = "-";
    char value[256];
    size_t i;

    find_value(line->text, "event", event, sizeof event);
    find_value(line->text, "instance", instance, sizeof instance);
    printf("%9.1f ms  %s: %s\n", (line->time - start_time) * 1000, instance,
           describe_event(event));
    printf("             ");
    for (i = 0; i < sizeof printed_keys / sizeof printed_keys[0]; i++) {
        if (find_value(line->text, printed_keys[i], value, sizeof value)) {
            printf(" %s=%s", printed_keys[i], value);
        }
    }
    printf("\n");
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    const char **id = state->input;

    switch (key) {
    case ARGP_KEY_ARG:
        if (*id != NULL) {
            argp_error(state, "name only one request");
        }
        *id = value;
        return 0;
    case ARGP_KEY_END:
        if (*id == NULL) {
            argp_error(state, "name a request");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
ctl_run_explain(int argc, char **argv)
{
    static const struct argp argp = {NULL, parse_option, "ID", doc,
                                     NULL, NULL,         NULL};
    line_list list = {0};
    const char *id = NULL;
    char label[LOG_REQUEST_SIZE];
    int exit_code = CTL_EXIT_FAILURE;
    size_t i;

    if (argp_parse(&argp, argc, argv, 0, NULL, &id) != 0) {
        return CTL_EXIT_USAGE;
    }
    lv_shorten_name(label, sizeof label, id);
    if (!read_request_lines(label, &list)) {
        fprintf(stderr,
                "lavenderctl: out of memory for the lines of '%s'; "
                "give the logs of a shorter time\n",
                id);
        goto finish;
    }
    if (list.count > 0) {
        qsort(list.lines, list.count, sizeof *list.lines, compare_times);
    }
    for (i = 0; i < list.count; i++) {
        print_event(&list.lines[i], list.lines[0].time);
    }
    if (list.count == 0) {
        fprintf(stderr,
                "lavenderctl: no log line has the request id '%s'; give the "
                "logs of all instances, and look for left_out= in them\n",
                id);
        goto finish;
    }
    exit_code = CTL_EXIT_OK;
finish:
    free_lines(&list);
    return exit_code;
}
