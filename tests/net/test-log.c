/*
 * Lines of requests: the bound, who goes first within it, and a reader that
 * is behind.
 */
#include <criterion/criterion.h>

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lavender-net/log.h"

#define BOUND 10000

static int reader;

static void
start(void)
{
    static const log_settings settings = {.level = LOG_LEVEL_INFO,
                                          .instance = "one",
                                          .writes_to_stdout = true,
                                          .bytes_per_second = BOUND};
    int ends[2];

    cr_assert_eq(pipe(ends), 0);
    cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
    close(ends[1]);
    reader = ends[0];
    cr_assert_geq(fcntl(reader, F_SETFL, O_NONBLOCK), 0);
    cr_assert(log_open(&settings, NULL));
}

static void
stop(void)
{
    log_close();
    close(reader);
}

TestSuite(log, .init = start, .fini = stop);

static size_t
read_all(char *to, size_t size)
{
    size_t used = 0;
    ssize_t got;

    while (used + 1 < size &&
           (got = read(reader, to + used, size - 1 - used)) > 0) {
        used += (size_t)got;
    }
    to[used] = '\0';
    return used;
}

static uint32_t
count(const char *text, const char *word)
{
    uint32_t found = 0;

    for (text = strstr(text, word); text != NULL;
         text = strstr(text + 1, word)) {
        found++;
    }
    return found;
}

static void
write_lines(int lines, log_importance weight, lv_time now)
{
    for (int i = 0; i < lines; i++) {
        log_request(LOG_LEVEL_INFO, weight, now,
                    weight == LOG_IMPORTANT ? "refused" : "served",
                    "request=%d padding=%050d", i, i);
    }
}

Test(log, a_burst_stays_within_the_bound_and_failures_go_first)
{
    static char text[100000];
    size_t size;

    write_lines(500, LOG_ORDINARY, LV_SECOND);
    write_lines(20, LOG_IMPORTANT, LV_SECOND);
    size = read_all(text, sizeof text);
    cr_expect_leq(size, BOUND);
    cr_expect_eq(count(text, "event=refused"), 20);
    cr_expect_gt(count(text, "event=served"), 10);
    cr_expect_eq(log_dropped_lines(), 500 - count(text, "event=served"));
    cr_expect_not_null(strstr(text, " left_out="));
}

Test(log, the_bound_is_one_of_each_second)
{
    static char text[100000];

    write_lines(500, LOG_ORDINARY, LV_SECOND);
    read_all(text, sizeof text);
    write_lines(5, LOG_ORDINARY, LV_SECOND);
    cr_expect_eq(read_all(text, sizeof text), 0);
    write_lines(5, LOG_ORDINARY, 2 * LV_SECOND);
    read_all(text, sizeof text);
    cr_expect_eq(count(text, "event=served"), 5);
}

/* Nobody reads: the calls return, and the lines are counted. */
Test(log, a_stalled_reader_costs_lines_and_no_time, .timeout = 20)
{
    for (lv_time second = 1; second <= 100; second++) {
        write_lines(50, LOG_IMPORTANT, second * LV_SECOND);
    }
    cr_expect_gt(log_dropped_lines(), 0);
}

/* More events than distinct hashes: none takes the slot of another. */
Test(log, each_event_has_a_limit_of_its_own)
{
    enum {
        EVENTS = 40,
        TIMES = 3 * LOG_EVENT_LINES_PER_SECOND
    };
    static char text[400000];
    size_t used = 0;

    for (int i = 0; i < TIMES; i++) {
        for (int k = 0; k < EVENTS; k++) {
            char event[16];

            snprintf(event, sizeof event, "event-%02d", k);
            log_event(LOG_LEVEL_INFO, LV_SECOND, event, "%s", "");
        }
        used += read_all(text + used, sizeof text - used);
    }
    for (int k = 0; k < EVENTS; k++) {
        char word[32];

        snprintf(word, sizeof word, "event=event-%02d", k);
        cr_expect_eq(count(text, word), LOG_EVENT_LINES_PER_SECOND, "%s: %u",
                     word, count(text, word));
    }
}

/* A line that names how many were left out may itself be lost. */
Test(log, lines_left_out_are_named_by_the_next_line_that_is_written)
{
    static char text[200000];
    unsigned long long named = 0;
    const char *at;

    for (lv_time second = 1; second <= 30; second++) {
        write_lines(50, LOG_IMPORTANT, second * LV_SECOND);
    }
    cr_assert_gt(log_dropped_lines(), 0);
    cr_expect_lt(read_all(text, sizeof text), sizeof text - 1);
    write_lines(1, LOG_IMPORTANT, 40 * LV_SECOND);
    read_all(text, sizeof text);
    at = strstr(text, " left_out=");
    cr_assert_not_null(at);
    sscanf(at, " left_out=%llu", &named);
    cr_expect_eq(named, log_dropped_lines());
}
