#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define LINE_SIZE 4096
#define LINES_MAX 4096

static const char doc[] =
    "Read logs of several instances on standard input and print the way of "
    "one request in order of time, with what each decision was made from. "
    "ID is the request's id.";

/* Events of a request, and what they mean. */
static const struct {
    const char *event;
    const char *meaning;
} meanings[] = {
    {"hold", "waits here for room"},
    {"start", "is sent to an endpoint"},
    {"again", "is sent once more"},
    {"served", "has its whole answer"},
    {"refused", "was refused; it has not run"},
    {"failed", "failed; it may have run"},
    {"broken", "broke off after its answer had begun"},
    {"gone", "was left by its caller"},
    {"cut", "was cut by the end of the process"},
    {"endpoint-error", "got an error that its endpoint made"},
    {"unrouted", "has no route or no valid key"},
};

typedef struct found_line {
    double time;
    char *text;
} found_line;

/* The value of a key in a line of key=value words. */
static bool
find_value(const char *line, const char *key, char *to, size_t size)
{
    size_t key_size = strlen(key);
    const char *at = line;

    while ((at = strstr(at, key)) != NULL) {
        bool is_word = at == line || at[-1] == ' ';

        if (is_word && at[key_size] == '=') {
            size_t length = strcspn(at + key_size + 1, " \n");

            if (length >= size) {
                length = size - 1;
            }
            memcpy(to, at + key_size + 1, length);
            to[length] = '\0';
            return true;
        }
        at += key_size;
    }
    return false;
}

static int
compare_times(const void *left, const void *right)
{
    double a = ((const found_line *)left)->time;
    double b = ((const found_line *)right)->time;

    return a < b ? -1 : a > b;
}

static uint32_t
read_lines(const char *id, found_line *lines)
{
    char line[LINE_SIZE];
    char value[256];
    uint32_t count = 0;

    while (count < LINES_MAX && fgets(line, sizeof line, stdin) != NULL) {
        if (!find_value(line, "request", value, sizeof value) ||
            strcmp(value, id) != 0) {
            continue;
        }
        lines[count].time = find_value(line, "time", value, sizeof value)
                                ? strtod(value, NULL)
                                : 0;
        lines[count].text = strdup(line);
        count += lines[count].text != NULL;
    }
    return count;
}

static const char *
meaning_of(const char *event)
{
    size_t i;

    for (i = 0; i < sizeof meanings / sizeof meanings[0]; i++) {
        if (strcmp(meanings[i].event, event) == 0) {
            return meanings[i].meaning;
        }
    }
    return event;
}

static void
print_line(const found_line *line, double first)
{
    static const char *const keys[] = {
        "reason",  "status",        "endpoint", "account",     "route",
        "late_ms", "share_percent", "target",   "age_ms",      "took_ms",
        "wait_ms", "own_ms",        "uncached", "in_flight",   "candidates",
        "sends",   "runs",          "begun",    "retry_ms",    "may_have_run",
        "config",  "peers",         "left_out", "list_age_ms", "store_lost"};
    char event[64] = "";
    char instance[128] = "-";
    char value[256];
    size_t i;

    find_value(line->text, "event", event, sizeof event);
    find_value(line->text, "instance", instance, sizeof instance);
    printf("%9.1f ms  %s: %s\n", (line->time - first) * 1000, instance,
           meaning_of(event));
    printf("             ");
    for (i = 0; i < sizeof keys / sizeof keys[0]; i++) {
        if (find_value(line->text, keys[i], value, sizeof value)) {
            printf(" %s=%s", keys[i], value);
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
            argp_error(state, "name one request");
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
    static found_line lines[LINES_MAX];
    const char *id = NULL;
    uint32_t count;
    uint32_t i;

    if (argp_parse(&argp, argc, argv, 0, NULL, &id) != 0) {
        return CTL_EXIT_USAGE;
    }
    count = read_lines(id, lines);
    qsort(lines, count, sizeof *lines, compare_times);
    for (i = 0; i < count; i++) {
        print_line(&lines[i], lines[0].time);
        free(lines[i].text);
    }
    if (count == 0) {
        fprintf(stderr,
                "lavenderctl: no line names request '%s'; give the logs of "
                "all instances, and look for left_out= in them\n",
                id);
        return CTL_EXIT_FAILURE;
    }
    return CTL_EXIT_OK;
}
