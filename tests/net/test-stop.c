/*
 * The planned stop of a router: requests that have arrived by then are
 * answered or refused.
 */
#include <criterion/criterion.h>

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define READ_TIMEOUT_MS 5000
#define END_TIMEOUT_MS 20000
#define KEY "Authorization: Bearer key-of-alpha\r\n"
#define BODY "{\"user\":\"o/1\"}"
#define HEAD                                                                  \
    "POST /book HTTP/1.1\r\nHost: r\r\n" KEY "Content-Length: 14\r\n\r\n"

static rig_rig rig;

/* Guards against a request that is cut off without an answer, since the router
 * ends as soon as nothing that it has read whole is in hand. */
Test(stop, requests_that_have_arrived_are_answered_or_refused)
{
    static const struct {
        const char *what;
        const char *first;   /* sent before the stop, to a router that runs */
        const char *at_stop; /* sent to a router that is paused */
        const char *after;   /* sent 100 ms after the stop */
        bool is_open;        /* the connection is accepted before the stop */
    } cases[] = {
        {"in the listen backlog", "", HEAD BODY, "", false},
        {"in the buffer of an open connection", "", HEAD BODY, "", true},
        {"between head and body", HEAD, "", BODY, true},
        {"within the body", HEAD, "{\"user\":", "\"o/1\"}", true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        static const rig_shape shape = {0};
        proc_process *router = &rig.routers[0].process;
        rig_answer answer;
        int fd = -1;

        cr_assert(rig_start(&rig, &shape));
        if (cases[i].is_open) {
            fd = rig_connect(rig.routers[0].callers);
            rig_write(fd, cases[i].first, strlen(cases[i].first));
            proc_sleep_ms(100);
        }
        proc_signal(router, SIGSTOP);
        if (!cases[i].is_open) {
            fd = rig_connect(rig.routers[0].callers);
        }
        rig_write(fd, cases[i].at_stop, strlen(cases[i].at_stop));
        proc_signal(router, SIGTERM);
        proc_signal(router, SIGCONT);
        proc_sleep_ms(100);
        rig_write(fd, cases[i].after, strlen(cases[i].after));
        rig_read(fd, &answer, READ_TIMEOUT_MS);
        cr_expect(answer.status == 200 || answer.status == 503, "%s: %d",
                  cases[i].what, answer.status);
        rig_answer_finish(&answer);
        close(fd);
        cr_expect(proc_wait_end(router, END_TIMEOUT_MS), "%s", cases[i].what);
        cr_expect(WIFEXITED(router->status) &&
                      WEXITSTATUS(router->status) == 0,
                  "%s: status %#x", cases[i].what, router->status);
        cr_expect(rig_stop(&rig), "%s", cases[i].what);
    }
}
