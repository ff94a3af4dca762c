#include "runner.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform.h"

static runner_answer *answer_request;
static const char *own_id;
static const char *own_version;
static uint64_t own_idle_ms;

void
runner_send_head(int fd, const base_message *request, const char *framing)
{
    char attempt[128];

    base_find_header(request, "Lavenderproxy-Attempt-Id", attempt,
                     sizeof attempt);
    base_send_text(fd,
                   "HTTP/1.1 200 OK\r\nLavenderproxy-Attempt-Id: %s\r\n"
                   "Lavenderproxy-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                   "Content-Type: text/event-stream\r\n%s\r\n",
                   attempt, framing);
}

bool
runner_send_events(int fd, const base_message *request, int count,
                   bool is_chunked, const char *version)
{
    char last[32];
    int first;
    int id;

    base_find_header(request, "Last-Event-Id", last, sizeof last);
    first = atoi(last) + 1;
    for (id = first; id <= count; id++) {
        char event[64];
        int size = snprintf(event, sizeof event, "id: %d\ndata: %s %d\n\n", id,
                            version, id);

        base_sleep_ms(id == first ? RUNNER_FIRST_MS : RUNNER_EVENT_MS);
        if ((is_chunked && !base_send_text(fd, "%x\r\n", size)) ||
            !base_send(fd, event, (size_t)size) ||
            (is_chunked && !base_send_text(fd, "\r\n"))) {
            return false;
        }
    }
    return !is_chunked || base_send_text(fd, "0\r\n\r\n");
}

static bool
is_expected_here(int fd, const base_message *request)
{
    char expected[64];

    if (!base_find_header(request, "Lavenderproxy-Expect-Runner", expected,
                          sizeof expected) ||
        strcmp(expected, own_id) == 0) {
        return true;
    }
    base_send_text(fd,
                   "HTTP/1.1 421 Misdirected Request\r\n"
                   "Lavenderproxy-Runner-Id: %s\r\n"
                   "Content-Length: 0\r\n\r\n",
                   own_id);
    return false;
}

static bool
run_request(int fd, const base_message *request)
{
    char attempt[128];
    char last[32];

    base_find_header(request, "Lavenderproxy-Attempt-Id", attempt,
                     sizeof attempt);
    base_find_header(request, "Last-Event-Id", last, sizeof last);
    base_record("runner %s, version %s, runs %s, attempt %s, from event %d",
                own_id, own_version, request->target, attempt, atoi(last) + 1);
    return answer_request(fd, request, own_version);
}

static void *
serve_connection(void *argument)
{
    int fd = (int)(intptr_t)argument;
    struct pollfd next = {.fd = fd, .events = POLLIN};
    base_reader *reader = malloc(sizeof *reader);
    base_message request;
    bool is_kept = true;

    base_begin_reading(reader, fd);
    while (is_kept && poll(&next, 1, (int)own_idle_ms) > 0 &&
           base_read_head(reader, &request)) {
        base_read_body(reader, &request, true, NULL, NULL);
        is_kept = !is_expected_here(fd, &request) || run_request(fd, &request);
        base_free_message(&request);
    }
    close(fd);
    free(reader);
    return NULL;
}

int
runner_run(char **arguments, runner_answer *answer, uint64_t idle_ms)
{
    int listener = base_listen((uint16_t)atoi(arguments[2]));

    base_join_record();
    answer_request = answer;
    own_id = arguments[3];
    own_version = arguments[4];
    own_idle_ms = idle_ms;
    for (;;) {
        int fd = accept(listener, NULL, NULL);

        if (fd >= 0) {
            base_start_thread(serve_connection, (void *)(intptr_t)fd);
        }
    }
    return BASE_CANNOT_RUN;
}

void
runner_start(runner *self, const char *program)
{
    uint64_t end = base_now_ms() + 10000;
    pid_t parent = getpid();
    char port[16];
    int fd;

    snprintf(port, sizeof port, "%u", self->port);
    self->pid = fork();
    if (self->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() == parent) {
            execl(program, program, "runner", port, self->id, self->version,
                  (char *)NULL);
        }
        _exit(127);
    }
    while ((fd = base_connect(self->port)) < 0) {
        if (base_now_ms() > end) {
            base_give_up("a runner does not start");
        }
        base_sleep_ms(10);
    }
    close(fd);
    self->born = base_unix_ms();
    base_record("runner %s starts, version %s", self->id, self->version);
}

void
runner_publish(const runner *self)
{
    char key[64];

    snprintf(key, sizeof key, "servers/%s", self->id);
    platform_put(key,
                 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
                 "\"zone\":\"oslo-a\",\"version\":\"%s\",\"slots\":%u,"
                 "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,"
                 "\"born\":%llu}",
                 self->service, self->address, self->version, self->slots,
                 (unsigned long long)self->born);
    base_record("runner %s writes its entry, version %s", self->id,
                self->version);
}

void
runner_kill(runner *self)
{
    if (self->pid > 0) {
        kill(self->pid, SIGKILL);
        waitpid(self->pid, NULL, 0);
        self->pid = 0;
    }
}
