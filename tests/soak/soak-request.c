#include <string.h>

#include "soak.h"

void
request_write(const soak_world *world, uint32_t number, buf_buffer *to)
{
    static const char *const prefixes[] = {"once", "many", "stream", "long",
                                           "resume"};
    const soak_call *call = &world->calls[number];
    char prefix[32];

    if (call->kind == SOAK_PROBE) {
        snprintf(prefix, sizeof prefix, "probe-%u", call->version);
    }
    else {
        snprintf(prefix, sizeof prefix, "%s", prefixes[call->kind]);
    }
    buf_append_format(to,
                      "POST /%s/x HTTP/1.1\r\nHost: h\r\n"
                      "Lavenderproxy-Attempt-Id: c%u\r\n"
                      "Lavenderproxy-Deadline-Ms: 5000\r\n",
                      prefix, number);
    block_write(world, number, to);
    buf_append_text(to, "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello");
}

soak_kind
request_draw_kind(soak_world *world)
{
    static const struct {
        uint32_t below;
        soak_kind kind;
    } kinds[] = {{25, SOAK_ONCE}, {40, SOAK_MANY},   {55, SOAK_STREAM},
                 {65, SOAK_LONG}, {80, SOAK_RESUME}, {100, SOAK_PROBE}};
    uint32_t drawn = soak_draw(world, 100);
    size_t i = 0;

    while (drawn >= kinds[i].below) {
        i++;
    }
    return world->plant == SOAK_PLANT_BUDGET ? SOAK_MANY : kinds[i].kind;
}

bool
request_is_answer(const soak_world *world, uint32_t number, const char *text)
{
    soak_kind kind = world->calls[number].kind;
    char expected[SOAK_ANSWER_SIZE];
    size_t used = 0;

    if (kind != SOAK_STREAM && kind != SOAK_RESUME) {
        judge_write_body(number, expected, sizeof expected);
        return strcmp(expected, text) == 0;
    }
    for (uint32_t i = 0; i < SOAK_EVENTS; i++) {
        used += (size_t)snprintf(expected + used, sizeof expected - used,
                                 "id: %u\ndata: c%u %u\n\n", i, number, i);
    }
    return strcmp(expected, text) == 0;
}
