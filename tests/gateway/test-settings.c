/*
 * Settings of the gateway: the example documents every key, and all errors are
 * reported in one pass, each with a remedy.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender-gateway/gate.h"
#include "lavender/config.h"

#define EXAMPLE "../etc/gateway.ini"

static gate_settings settings;
static err_list errors;

static void
expect_key(void *context, const char *section, const char *key)
{
    const char *text = context;
    char head[64];
    char line[64];
    const char *begin;
    const char *end;
    const char *found;

    snprintf(head, sizeof head, "\n[%s]\n", section);
    snprintf(line, sizeof line, "%s = ", key);
    begin = strstr(text, head);
    cr_assert_not_null(begin, "[%s] is missing", section);
    end = strstr(begin + 1, "\n[");
    found = strstr(begin, line);
    cr_expect(found != NULL && (end == NULL || found < end),
              "[%s] %s is missing", section, key);
}

Test(gate_settings, example_is_valid_and_has_every_key)
{
    char *text;

    err_list_init(&errors);
    text = conf_load_file(EXAMPLE, &errors);
    cr_assert_not_null(text);
    cr_expect(gate_read_settings(&settings, EXAMPLE, &errors));
    cr_expect_eq(errors.count, 0);
    gate_for_each_key(expect_key, text);
    free(text);
}

#define VALID                                                                 \
    "[instance]\nname = a\nzone = z\n[listen]\ncallers = 127.0.0.1:1\n"       \
    "readiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n[store]\n"                  \
    "address = 127.0.0.1:4\n"

Test(gate_settings, all_errors_are_reported)
{
    static const struct {
        const char *text;
        size_t errors;
        const char *words; /* in one of the messages; NULL: any */
    } cases[] = {
        {VALID, 0, NULL},
        {"", 4, "missing"},
        {VALID "[nonsense]\n", 1, "nonsense"},
        {VALID "[peers]\nseeds = here\n", 1, "here"},
        {VALID "[peers]\nseeds = 127.0.0.1:5, 127.0.0.1:6 ,127.0.0.1:7\n", 0,
         NULL},
        {VALID "[peers]\nsilence = 100ms\nidle_interval = 200ms\n", 1,
         "two heartbeats"},
        {VALID "[shutdown]\ngrace = 2s\n", 1,
         "leaves no time to finish requests"},
        {VALID "[admission]\nmode = wild\nwait_percent = none\n", 2, "wild"},
        {VALID "[store]\nwait = 1s\n", 1, "twice"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        bool is_found = cases[i].words == NULL;

        err_list_init(&errors);
        gate_read_settings_text(&settings, "test.ini", cases[i].text, &errors);
        cr_expect_eq(errors.count, cases[i].errors, "case %zu: %zu", i,
                     errors.count);
        for (size_t k = 0; k < errors.count; k++) {
            const err_error *error = &errors.items[k].error;

            is_found =
                is_found || strstr(error->message, cases[i].words) != NULL;
            cr_expect_neq(error->remedy[0], '\0', "case %zu", i);
        }
        cr_expect(is_found, "case %zu", i);
    }
}
