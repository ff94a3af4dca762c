#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"
#include "script-server.h"

#define KEY "Authorization: Bearer key-of-alpha\r\n"
#define CHAT "/v1/chat/completions"
#define CHAT_BODY                                                             \
    "{\"model\":\"m\",\"user\":\"u/1\",\"messages\":[{\"role\":\"user\","     \
    "\"content\":\"hello there\"}],\"reply_tokens\":3}"
#define READ_TIMEOUT_MS 8000

static rig_rig rig;

static void
start_with(const rig_shape *shape)
{
    cr_assert(rig_start(&rig, shape), "the log is in %s", rig.folder);
}

static void
stop(void)
{
    cr_expect(rig_stop(&rig));
}

static const char *
callers(void)
{
    return rig.routers[0].callers;
}

static void
check(bool is_good, const char *name, const char *what)
{
    cr_expect(is_good, "%s: %s", name, what);
}

/* Whatever was refused before, others' requests are answered. */
static void
expect_alive(void)
{
    rig_answer answer;

    rig_ask(callers(), "POST", CHAT, KEY, CHAT_BODY, &answer);
    check(answer.status == 200 && answer.is_whole, "others", answer.head);
    rig_answer_finish(&answer);
}

typedef struct bad_case {
    const char *name;
    const char *bytes;
    size_t filling; /* so many more bytes of 'x', before `tail` */
    const char *tail;
    int status;       /* 0: only closed */
    const char *kind; /* of the error; NULL: any */
} bad_case;

static const bad_case bad_cases[] = {
    {"no key",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n\r\n{}", 0, "",
     401, "no-key"},
    {"wrong key",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer "
     "nobody\r\nContent-Length: 2\r\n\r\n{}",
     0, "", 401, "unknown-key"},
    {"other scheme",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\nAuthorization: Basic "
     "abc\r\nContent-Length: 2\r\n\r\n{}",
     0, "", 401, "no-key"},
    {"long key", "POST " CHAT " HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer ",
     30000, "\r\nContent-Length: 2\r\n\r\n{}", 401, "unknown-key"},
    {"unknown route",
     "POST /nowhere HTTP/1.1\r\nHost: r\r\n" KEY "Content-Length: 2\r\n\r\n{}",
     0, "", 404, "unknown-route"},
    {"dots in the path",
     "POST /book/../lookup HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 2\r\n\r\n{}",
     0, "", 400, "bad-request"},
    {"hidden dots in the path",
     "POST /book/%2e%2e/lookup HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 2\r\n\r\n{}",
     0, "", 400, "bad-request"},
    {"no JSON",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 5\r\n\r\nhello",
     0, "", 400, "bad-request"},
    {"cut JSON",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 10\r\n\r\n{\"model\":\"",
     0, "", 400, "bad-request"},
    {"no body", "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY "\r\n", 0, "", 400,
     "bad-request"},
    {"no model",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY "Content-Length: 2\r\n\r\n{}",
     0, "", 400, "bad-request"},
    {"unknown model",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 13\r\n\r\n{\"model\":\"n\"}",
     0, "", 404, "unknown-model"},
    {"unknown class",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY
     "Lavender-Class: play\r\nContent-Length: 2\r\n\r\n{}",
     0, "", 400, "unknown-class"},
    {"long class",
     "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY "Lavender-Class: ", 500,
     "\r\nContent-Length: 2\r\n\r\n{}", 400, "unknown-class"},
    {"body over the account's limit",
     "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY "Content-Length: 3000\r\n\r\n",
     3000, "", 413, "body-too-large"},
    {"body over the router's limit",
     "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
     "Content-Length: 30000000\r\n\r\n",
     0, "", 413, "body-too-large"},
    {"chunked body over the router's limit",
     "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
     "Transfer-Encoding: chunked\r\n\r\n40000\r\n",
     262144, "", 413, "body-too-large"},
    {"malformed chunk",
     "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
     "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello",
     0, "", 400, "bad-request"},
    {"no number as length",
     "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY "Content-Length: many\r\n\r\n",
     0, "", 400, "bad-request"},
    {"no HTTP", "hello there\r\n\r\n", 0, "", 0, NULL},
    {"bytes of another kind", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03", 0,
     "\r\n\r\n", 0, NULL},
    {"head without an end", "GET / HTTP/1.1\r\nHost: r\r\nX: ", 600000, "", 0,
     NULL},
    {"invalid ticket",
     "POST /book HTTP/1.1\r\nHost: r\r\n" KEY
     "Idempotency-Key: abc\r\nContent-Length: 2\r\n\r\n{}",
     0, "", 422, "ticket-invalid"},
    {"long ticket",
     "POST /book HTTP/1.1\r\nHost: r\r\n" KEY "Idempotency-Key: ", 4000,
     "\r\nContent-Length: 2\r\n\r\n{}", 422, "ticket-invalid"},
};

static void
expect_kind(const bad_case *bad, const rig_answer *answer)
{
    char kind[64], value[64];

    snprintf(kind, sizeof kind, "\"kind\": \"%s\"", bad->kind);
    rig_header(answer, "lavender-outcome", value, sizeof value);
    check(answer->status == bad->status, bad->name, answer->head);
    check(strstr(answer->body, kind) != NULL, bad->name, answer->body);
    check(strstr(answer->body, "\"remedy\": \"") != NULL, bad->name,
          answer->body);
    check(strcmp(value, "not-run") == 0, bad->name, value);
    check(answer->is_whole, bad->name, "cut");
}

static void
expect_refused(const bad_case *bad)
{
    char *filling = malloc(bad->filling + 1);
    int fd = rig_connect(callers());
    rig_answer answer;

    memset(filling, 'x', bad->filling);
    rig_write(fd, bad->bytes, strlen(bad->bytes));
    rig_write(fd, filling, bad->filling);
    rig_write(fd, bad->tail, strlen(bad->tail));
    rig_read(fd, &answer, READ_TIMEOUT_MS);
    if (bad->status == 0) {
        check(answer.status == 400 || answer.is_closed, bad->name, "open");
    }
    else {
        expect_kind(bad, &answer);
    }
    rig_answer_finish(&answer);
    close(fd);
    free(filling);
}

Test(callers, bad_input_is_refused_by_name)
{
    static const rig_shape shape = {.entry = "body = 2KiB\n",
                                    .settings = "[limits]\nbody = 128KiB\n"
                                                "[timeouts]\nrequest = 2s\n"};
    size_t i;

    start_with(&shape);
    for (i = 0; i < sizeof bad_cases / sizeof bad_cases[0]; i++) {
        expect_refused(&bad_cases[i]);
        expect_alive();
    }
    stop();
}

/* A caller that sends slowly is closed after the time a request may take,
 * and keeps nobody else waiting. */
Test(callers, slow_senders_are_closed)
{
    static const rig_shape shape = {.settings =
                                        "[timeouts]\nrequest = 500ms\n"};
    static const char *const beginnings[] = {
        "", "POST /lookup HT",
        "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
        "Content-Length: 100\r\n\r\nabc"};
    rig_answer answer;
    size_t i;
    int fd;

    start_with(&shape);
    for (i = 0; i < sizeof beginnings / sizeof beginnings[0]; i++) {
        fd = rig_connect(callers());
        cr_assert_geq(fd, 0);
        rig_write(fd, beginnings[i], strlen(beginnings[i]));
        expect_alive();
        rig_read(fd, &answer, READ_TIMEOUT_MS);
        cr_expect(answer.is_closed, "%s", beginnings[i]);
        cr_expect_eq(answer.status, 0);
        rig_answer_finish(&answer);
        close(fd);
    }
    stop();
}

Test(callers, connections_are_bounded)
{
    static const rig_shape shape = {.settings = "[limits]\nconnections = 4\n"};
    int fds[4];
    rig_answer answer;
    char value[64];
    size_t i;
    int fd;

    start_with(&shape);
    for (i = 0; i < 4; i++) {
        fds[i] = rig_connect(callers());
        cr_assert_geq(fds[i], 0);
    }
    fd = rig_connect(callers());
    rig_read(fd, &answer, READ_TIMEOUT_MS);
    cr_expect_eq(answer.status, 503);
    cr_expect_not_null(strstr(answer.body, "\"kind\": \"connections\""));
    cr_expect_str_eq(rig_header(&answer, "retry-after", value, sizeof value),
                     "1");
    rig_answer_finish(&answer);
    close(fd);
    for (i = 0; i < 4; i++) {
        close(fds[i]);
    }
    proc_sleep_ms(200);
    expect_alive();
    stop();
}

/* One connection serves any number of requests, one after the other and
 * sent at once. */
Test(callers, connections_are_kept)
{
    static const rig_shape shape = {0};
    static const char request[] =
        "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
        "Content-Length: 14\r\n\r\n{\"user\":\"u/1\"}";
    rig_answer answer;
    int fd, i;

    start_with(&shape);
    fd = rig_connect(callers());
    cr_assert_geq(fd, 0);
    for (i = 0; i < 3; i++) {
        rig_write(fd, request, strlen(request));
        rig_read(fd, &answer, READ_TIMEOUT_MS);
        cr_expect_eq(answer.status, 200, "%s", answer.body);
        cr_expect(answer.is_whole);
        rig_answer_finish(&answer);
    }
    rig_write(fd, request, strlen(request));
    rig_write(fd, request, strlen(request));
    for (i = 0; i < 2; i++) {
        rig_read(fd, &answer, READ_TIMEOUT_MS);
        cr_expect_eq(answer.status, 200, "%s", answer.body);
        rig_answer_finish(&answer);
    }
    close(fd);
    stop();
}

/* A caller that leaves has its stream cancelled at the engine, while its
 * answer comes and while it waits for the first byte. */
Test(callers, leaving_cancels)
{
    static const rig_shape shape = {.token_us = 20000, .linger_ms = 300};
    static const char body[] =
        "{\"model\":\"m\",\"user\":\"u/1\",\"stream\":true,\"messages\":"
        "[{\"role\":\"user\",\"content\":\"x\"}],\"reply_tokens\":4000}";
    char head[512];
    long long cancelled = 0;
    char bytes[64];
    int fd, i, waits;
    int size;

    start_with(&shape);
    size = snprintf(head, sizeof head,
                    "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY
                    "Content-Length: %zu\r\n\r\n%s",
                    strlen(body), body);
    for (i = 1; i <= 2; i++) {
        fd = rig_connect(callers());
        rig_write(fd, head, (size_t)size);
        if (i == 1) {
            cr_assert_gt(read(fd, bytes, sizeof bytes), 0);
        }
        else {
            proc_sleep_ms(10);
        }
        close(fd);
        for (waits = 0; waits < 200 && cancelled < i; waits++) {
            cancelled = rig_count(&rig.engine, "/admin/counts", "cancelled");
            proc_sleep_ms(20);
        }
        cr_expect_eq(cancelled, i);
        cr_expect_eq(rig_count(&rig.engine, "/admin/counts", "running"), 0);
    }
    expect_alive();
    stop();
}

static uint64_t
count_body(int fd)
{
    char bytes[65536];
    uint64_t size = 0;
    ssize_t length;

    while ((length = read(fd, bytes, sizeof bytes)) > 0) {
        size += (uint64_t)length;
    }
    return size;
}

/* Wait until the server sends no more; returns what it has sent. */
static size_t
wait_for_stop(script_server *server)
{
    size_t sent = 0, before;
    int i;

    for (i = 0; i < 100; i++) {
        before = sent;
        proc_sleep_ms(100);
        sent = atomic_load(&server->sent);
        if (sent > 0 && sent == before) {
            break;
        }
    }
    return sent;
}

/* A caller that does not read stops the endpoint, and the router keeps no
 * more than its buffer. */
Test(callers, slow_readers_hold_little_memory)
{
    static const size_t size = (size_t)128 * 1024 * 1024;
    script_server server = {
        .answer = "HTTP/1.1 200 OK\r\ncontent-length: 134217728\r\n\r\n",
        .repeat = size,
        .keeps_open = 1};
    rig_shape shape = {.service_address = server.address,
                       .settings = "[limits]\nbuffer = 64KiB\n"};
    static const char request[] =
        "GET /lookup HTTP/1.1\r\nHost: r\r\nConnection: close\r\n" KEY "\r\n";
    uint64_t before, after;
    int fd;

    script_start(&server);
    start_with(&shape);
    expect_alive();
    before = proc_memory_kb(rig.routers[0].process.pid);
    fd = rig_connect(callers());
    rig_write(fd, request, strlen(request));
    cr_expect_lt(wait_for_stop(&server), size / 2);
    after = proc_memory_kb(rig.routers[0].process.pid);
    cr_expect_lt(after, before + UINT64_C(8192), "%llu kB before, %llu after",
                 (unsigned long long)before, (unsigned long long)after);
    expect_alive();
    cr_expect_gt(count_body(fd), size);
    close(fd);
    script_stop(&server);
    stop();
}

/* A caller that never reads is given up after a while. */
Test(callers, stalled_readers_are_given_up)
{
    script_server server = {
        .answer = "HTTP/1.1 200 OK\r\ncontent-length: 134217728\r\n\r\n",
        .repeat = (size_t)128 * 1024 * 1024,
        .keeps_open = 1};
    rig_shape shape = {.service_address = server.address,
                       .settings = "[timeouts]\ncaller_stall = 300ms\n"};
    static const char request[] =
        "GET /lookup HTTP/1.1\r\nHost: r\r\n" KEY "\r\n";
    const char *stalled = NULL;
    rig_answer answer;
    int fd, i;

    script_start(&server);
    start_with(&shape);
    fd = rig_connect(callers());
    rig_write(fd, request, strlen(request));
    for (i = 0; i < 200 && stalled == NULL; i++) {
        proc_sleep_ms(50);
        rig_ask(rig.routers[0].operator_address, "GET", "/metrics", "", "",
                &answer);
        stalled = strstr(answer.body, "\nlavender_callers_stalled_total 1\n");
        if (stalled != NULL) {
            cr_expect_not_null(strstr(answer.body, "\nlavender_running 0\n"));
        }
        rig_answer_finish(&answer);
    }
    cr_expect_not_null(stalled);
    cr_expect_lt(count_body(fd), (uint64_t)128 * 1024 * 1024);
    close(fd);
    expect_alive();
    script_stop(&server);
    stop();
}

/* Bodies in hand are bounded in bytes; what is refused is refused by name. */
Test(callers, memory_is_bounded)
{
    static const rig_shape shape = {
        .service_time_us = 300000,
        .settings = "[limits]\nmemory = 1MiB\nbody = 1MiB\n"};
    enum {
        SENDERS = 4,
        SIZE = 300000
    };
    char *body = malloc(SIZE + 1), head[256];
    int fds[SENDERS], i, done = 0, refused = 0;
    rig_answer answer;

    memset(body, ' ', SIZE);
    body[snprintf(body, SIZE, "{\"user\":\"m/1\"}")] = ' ';
    start_with(&shape);
    snprintf(head, sizeof head,
             "POST /lookup HTTP/1.1\r\nHost: r\r\n" KEY
             "Content-Length: %d\r\n\r\n",
             SIZE);
    for (i = 0; i < SENDERS; i++) {
        fds[i] = rig_connect(callers());
        rig_write(fds[i], head, strlen(head));
        rig_write(fds[i], body, SIZE);
    }
    for (i = 0; i < SENDERS; i++) {
        rig_read(fds[i], &answer, READ_TIMEOUT_MS);
        done += answer.status == 200;
        refused += answer.status == 503 &&
                   strstr(answer.body, "\"kind\": \"memory\"") != NULL;
        rig_answer_finish(&answer);
        close(fds[i]);
    }
    cr_expect_eq(done, 3);
    cr_expect_eq(refused, 1);
    free(body);
    expect_alive();
    stop();
}

/* Every line of the log is "key=value ...", and each request has its lines. */
Test(callers, the_log_is_structured)
{
    static const rig_shape shape = {0};
    char line[2048];
    int admits = 0, routes = 0, ends = 0, refusals = 0;
    rig_answer answer;
    FILE *log;

    start_with(&shape);
    expect_alive();
    rig_ask(callers(), "POST", CHAT, "", CHAT_BODY, &answer);
    rig_answer_finish(&answer);
    log = fopen(rig.log, "r");
    cr_assert_not_null(log);
    while (fgets(line, sizeof line, log) != NULL) {
        cr_expect_eq(strncmp(line, "time=", 5), 0, "%s", line);
        cr_expect_not_null(strstr(line, " level="), "%s", line);
        cr_expect_not_null(strstr(line, " instance=router1 "), "%s", line);
        admits += strstr(line, " decision=admit ") != NULL;
        routes += strstr(line, " decision=route ") != NULL;
        ends +=
            strstr(line, " decision=finish reason=done request=1 ") != NULL;
        refusals +=
            strstr(line, " event=refuse request=2 reason=no-key ") != NULL;
    }
    fclose(log);
    cr_expect_eq(admits, 1);
    cr_expect_eq(routes, 1);
    cr_expect_eq(ends, 1);
    cr_expect_eq(refusals, 1);
    stop();
}

#define FUZZ_ROUNDS 400

/* A small generator with a fixed seed. */
static uint32_t
draw(uint64_t *state, uint32_t below)
{
    *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
    return (uint32_t)(*state >> 33) % below;
}

/* Requests with spoiled bytes, cut at any place: none harms the router, and
 * others are answered all the while. */
Test(callers, spoiled_requests)
{
    static const rig_shape shape = {.settings = "[timeouts]\nrequest = 1s\n"};
    static const char good[] =
        "POST " CHAT " HTTP/1.1\r\nHost: r\r\n" KEY "Lavender-Class: work\r\n"
        "Idempotency-Key: abc\r\nTransfer-Encoding: chunked\r\n\r\n"
        "60\r\n" CHAT_BODY "\r\n0\r\n\r\n";
    uint64_t state = 20250102;
    char text[sizeof good];
    uint32_t size, changes;
    rig_answer answer;
    int fd, round;

    start_with(&shape);
    for (round = 0; round < FUZZ_ROUNDS; round++) {
        memcpy(text, good, sizeof good);
        for (changes = draw(&state, 6); changes > 0; changes--) {
            text[draw(&state, sizeof good - 1)] = (char)draw(&state, 256);
        }
        size = draw(&state, 4) == 0 ? draw(&state, sizeof good)
                                    : (uint32_t)sizeof good - 1;
        fd = rig_connect(callers());
        rig_write(fd, text, size);
        rig_read(fd, &answer, 5);
        rig_answer_finish(&answer);
        close(fd);
        if (round % 50 == 0) {
            expect_alive();
        }
    }
    expect_alive();
    stop();
}
