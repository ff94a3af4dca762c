#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"
#include "script-server.h"

#define KEY "Authorization: Bearer key-of-alpha\r\n"
/* Longer than the deadline of the rig's entries, 30 s on the router's clock;
 * it ends only a test whose router hangs. */
#define READ_TIMEOUT_MS 60000
#define OF_DEADLINE "\"kind\": \"deadline\""
#define BIG 400000 /* over [limits] whole_answer, so that it is streamed */

static rig_rig rig;
static script_server server;

typedef struct answer_case {
    char name[48];
    char answer[256]; /* of the endpoint */
    int filling;      /* bytes that follow */
    int keeps_open;
    char version[4];  /* of the caller's HTTP */
    int status;       /* to the caller */
    char outcome[16]; /* of the head; "": none */
    int is_whole;
    int size; /* bytes of the body; -1: any */
} answer_case;

#define OK "HTTP/1.1 200 OK\r\n"
#define JSON "content-type: application/json\r\n"

ParameterizedTestParameters(answers, whole_or_not)
{
    static answer_case cases[] = {
        {"small", OK JSON "content-length: 2\r\n\r\n{}", 0, 1, "1.1", 200,
         "done", 1, 2},
        {"small and chunked",
         OK JSON "transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 0,
         1, "1.1", 200, "done", 1, 2},
        {"no body", "HTTP/1.1 204 No Content\r\n\r\n", 0, 1, "1.1", 204,
         "done", 1, 0},
        {"an error of the endpoint",
         "HTTP/1.1 500 Oh\r\ncontent-length: 4\r\n\r\noops", 0, 1, "1.1", 500,
         "done", 1, 4},
        {"small and cut", OK "content-length: 9\r\n\r\nhello", 0, 0, "1.1",
         503, "unknown", 1, -1},
        {"small, cut between chunks",
         OK "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", 0, 0, "1.1",
         503, "unknown", 1, -1},
        {"small without a stated end", OK "\r\nhello", 0, 0, "1.1", 503,
         "unknown", 1, -1},
        {"big", OK "content-length: 400000\r\n\r\n", BIG, 1, "1.1", 200, "", 1,
         BIG},
        {"big and cut", OK "content-length: 400001\r\n\r\n", BIG, 0, "1.1",
         200, "", 0, -1},
        {"big, cut in a chunk",
         OK "transfer-encoding: chunked\r\n\r\n80000\r\n", BIG, 0, "1.1", 200,
         "", 0, -1},
        {"big without a stated end", OK "\r\n", BIG, 0, "1.1", 200, "", 0, -1},
        {"big, not 200, without a stated end", "HTTP/1.1 203 So\r\n\r\n", BIG,
         0, "1.1", 203, "", 0, -1},
        {"big and cut, for HTTP/1.0", OK "content-length: 400001\r\n\r\n", BIG,
         0, "1.0", 200, "", 0, -1},
        {"big without a stated end, for HTTP/1.0", OK "\r\n", BIG, 0, "1.0",
         200, "", 0, -1},
        {"another request's answer",
         OK "lavender-request: router1-999\r\ncontent-length: 2\r\n\r\n{}", 0,
         1, "1.1", 503, "unknown", 1, -1},
        {"another attempt's answer",
         OK "lavender-attempt: 77\r\ncontent-length: 2\r\n\r\n{}", 0, 1, "1.1",
         503, "unknown", 1, -1},
        {"no HTTP", "hello there\r\n\r\n", 0, 0, "1.1", 503, "unknown", 1, -1},
        {"status 000",
         "HTTP/1.1 000 So\r\n" JSON "content-length: 2\r\n\r\n{}", 0, 1, "1.1",
         503, "unknown", 1, -1},
        {"status 000 and big",
         "HTTP/1.1 000 So\r\ncontent-length: 400000\r\n\r\n", BIG, 1, "1.1",
         503, "unknown", 1, -1},
        {"status 999",
         "HTTP/1.1 999 So\r\n" JSON "content-length: 2\r\n\r\n{}", 0, 1, "1.1",
         503, "unknown", 1, -1},
        {"a blank in a name", OK "x y: a\r\ncontent-length: 2\r\n\r\n{}", 0, 1,
         "1.1", 503, "unknown", 1, -1},
        {"a control byte in a name",
         OK "x\001y: a\r\ncontent-length: 2\r\n\r\n{}", 0, 1, "1.1", 503,
         "unknown", 1, -1},
        {"busy", "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", 0, 1, "1.1",
         503, "unknown", 1, -1},
    };

    return cr_make_param_array(answer_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* An answer that ends with the connection is whole only without a reset. */
static bool
looks_whole(const rig_answer *answer)
{
    char value[64];

    if (rig_header(answer, "content-length", value, sizeof value)[0] != '\0' ||
        rig_header(answer, "transfer-encoding", value, sizeof value)[0] !=
            '\0') {
        return answer->is_whole;
    }
    return answer->is_closed && !answer->is_reset;
}

/* No case waits for the deadline: the endpoint always does something. */
static void
ask(const char *version, rig_answer *answer)
{
    char text[256];
    int fd = rig_connect(rig.routers[0].callers);

    snprintf(text, sizeof text,
             "GET /lookup HTTP/%s\r\nHost: r\r\n" KEY "\r\n", version);
    rig_write(fd, text, strlen(text));
    rig_read(fd, answer, READ_TIMEOUT_MS);
    cr_expect_null(strstr(answer->body, OF_DEADLINE), "late: %s",
                   answer->body);
    close(fd);
}

/* Whatever an endpoint does, a cut answer never looks whole, and the head
 * never says "done" of it. */
ParameterizedTest(answer_case *wanted, answers, whole_or_not)
{
    /* Only what the endpoint does may end an answer. */
    rig_shape shape = {.service_address = server.address,
                       .settings = "[endpoints]\nfirst_byte = 10m\n"
                                   "idle = 10m\n"};
    rig_answer answer;
    char value[64];

    server.answer = wanted->answer;
    server.repeat = (size_t)wanted->filling;
    server.keeps_open = wanted->keeps_open;
    script_start(&server);
    cr_assert(rig_start(&rig, &shape));
    ask(wanted->version, &answer);
    cr_expect_eq(answer.status, wanted->status, "%s: status %d %s",
                 wanted->name, answer.status, answer.body);
    cr_expect_str_eq(
        rig_header(&answer, "lavender-outcome", value, sizeof value),
        wanted->outcome, "%s: %s", wanted->name, value);
    cr_expect_eq(looks_whole(&answer), wanted->is_whole, "%s", wanted->name);
    cr_expect(wanted->size < 0 || answer.size == (size_t)wanted->size,
              "%s: size %zu", wanted->name, answer.size);
    rig_answer_finish(&answer);
    script_stop(&server);
    cr_expect(rig_stop(&rig));
}

#define UPLOAD_SIZE 240000

typedef struct upload_case {
    const char *target;
    const char *version;
    size_t filling;
} upload_case;

static void
upload(const upload_case *one, rig_answer *answer)
{
    static char request[UPLOAD_SIZE + 256];
    int fd = rig_connect(rig.routers[0].callers);
    size_t size = (size_t)snprintf(request, sizeof request,
                                   "POST %s HTTP/%s\r\nHost: r\r\n" KEY
                                   "Content-Length: %d\r\n\r\n",
                                   one->target, one->version, UPLOAD_SIZE);

    memset(request + size, 'x', UPLOAD_SIZE);
    cr_assert(rig_write(fd, request, size + UPLOAD_SIZE));
    rig_read(fd, answer, READ_TIMEOUT_MS);
    close(fd);
}

/* A response without a length to a long upload is not whole when its
 * connection is reset before the upload is read. */
Test(answers, long_uploads)
{
    static const upload_case cases[] = {
        {"/lookup", "1.1", 0},   {"/lookup", "1.0", 0},
        {"/lookup", "1.1", BIG}, {"/lookup", "1.0", BIG},
        {"/book", "1.1", 0},     {"/book", "1.0", 0},
        {"/book", "1.1", BIG},   {"/book", "1.0", BIG},
    };
    rig_shape shape = {.service_address = server.address,
                       .settings = "[endpoints]\nfirst_byte = 10m\n"
                                   "idle = 10m\nrest = 1ms\n"
                                   "rest_max = 1ms\n"};
    rig_answer answer;
    size_t i;

    server.answer = OK "\r\nhello";
    server.resets = 1;
    script_start(&server);
    cr_assert(rig_start(&rig, &shape));
    for (i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        server.repeat = cases[i].filling;
        upload(&cases[i], &answer);
        cr_expect(answer.status >= 500 || !looks_whole(&answer),
                  "%s, HTTP/%s, %zu: status %d %.20s", cases[i].target,
                  cases[i].version, cases[i].filling, answer.status,
                  answer.body);
        rig_answer_finish(&answer);
    }
    cr_expect_geq(atomic_load(&server.requests), (int)i);
    script_stop(&server);
    cr_expect(rig_stop(&rig));
}

#define FUZZ_ROUNDS 200

/* A small generator with a fixed seed. */
static uint32_t
draw(uint64_t *state, uint32_t below)
{
    *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
    return (uint32_t)(*state >> 33) % below;
}

/* An endpoint that answers with spoiled bytes harms nobody: each request has
 * an answer, and the router lives. */
Test(answers, spoiled_answers)
{
    static const char good[] =
        OK "content-type: text/event-stream\r\nlavender-attempt: 1\r\n"
           "transfer-encoding: chunked\r\n\r\n"
           "10\r\ndata: {\"a\": 1}\n\r\n10\r\n\ndata: [DONE]\n\n\r\n"
           "0\r\n\r\n";
    static char texts[FUZZ_ROUNDS][sizeof good];
    rig_shape shape = {
        .service_address = server.address,
        .settings =
            "[endpoints]\nfirst_byte = 100ms\n"
            "idle = 100ms\nattempts = 1\nrest = 1ms\nrest_max = 1ms\n"};
    uint64_t state = 20250103;
    uint32_t changes;
    rig_answer answer;
    int round, answered = 0;

    server.answer = good;
    script_start(&server);
    cr_assert(rig_start(&rig, &shape));
    for (round = 0; round < FUZZ_ROUNDS; round++) {
        memcpy(texts[round], good, sizeof good);
        for (changes = draw(&state, 5); changes > 0; changes--) {
            texts[round][draw(&state, sizeof good - 1)] =
                (char)(1 + draw(&state, 255));
        }
        server.answer = texts[round];
        ask("1.1", &answer);
        answered += answer.status != 0;
        cr_assert_neq(answer.status, 0, "round %d", round);
        rig_answer_finish(&answer);
    }
    cr_expect_eq(answered, FUZZ_ROUNDS);
    script_stop(&server);
    cr_expect(rig_stop(&rig));
}
