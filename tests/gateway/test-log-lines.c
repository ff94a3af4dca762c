/*
 * The lines that the log has for requests.
 */
#include <criterion/criterion.h>

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define REQUEST(path, id)                                                     \
    "POST " path " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                    \
    "Lavenderproxy-Attempt-Id: " id "\r\nContent-Length: 0\r\n\r\n"

static stage_fixture stage;

static bool
is_done(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.counts.requests == 2 && self->gate.request_count == 0;
}

/* Guards against a line with the id of the request that was pipelined behind
 * the one that ended. */
Test(log_lines, each_request_ends_under_its_own_id)
{
    static const struct {
        stage_mode mode;
        const char *outcome;
    } cases[] = {{STAGE_RESPOND, "served"}, {STAGE_SHED, "refused"}};
    static const char requests[] =
        REQUEST("/once/1", "first-1") REQUEST("/once/1", "other-2");

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        static char text[65536];
        log_settings settings = {.level = LOG_LEVEL_INFO,
                                 .writes_to_stdout = true};
        char first[64];
        char other[64];
        stage_client client;
        FILE *file = tmpfile();
        int output = dup(STDOUT_FILENO);
        size_t size;

        cr_assert_not_null(file);
        fflush(stdout);
        dup2(fileno(file), STDOUT_FILENO);
        cr_assert(log_open(&settings, NULL));
        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        stage_send(&stage, &client, requests, sizeof requests - 1);
        stage_run_until(&stage, is_done, NULL, 2000);
        stage_disconnect(&stage, &client);
        buf_finish(&client.response);
        stage_stop(&stage);
        log_close();
        dup2(output, STDOUT_FILENO);
        close(output);
        rewind(file);
        size = fread(text, 1, sizeof text - 1, file);
        text[size] = '\0';
        fclose(file);
        snprintf(first, sizeof first, "event=%s request=first-1 ",
                 cases[i].outcome);
        snprintf(other, sizeof other, "event=%s request=other-2 ",
                 cases[i].outcome);
        cr_expect_not_null(strstr(text, first), "case %zu: %s", i, text);
        cr_expect_not_null(strstr(text, other), "case %zu: %s", i, text);
    }
}
