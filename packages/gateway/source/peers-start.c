#include <string.h>

#include "peers-imp.h"

static bool
read_blocks(const msgpack_object *values, uint32_t count, eng_prompt *prompt)
{
    size_t i;

    if (count % 2 != 0 || count / 2 > ENG_BLOCKS_MAX) {
        return false;
    }
    prompt->block_count = count / 2;
    for (i = 0; i < prompt->block_count; i++) {
        prompt->blocks[i].prefix_hash = values[i * 2].via.u64;
        prompt->blocks[i].tokens = (uint32_t)values[i * 2 + 1].via.u64;
    }
    return true;
}

bool
peers_read_start_request(const msgpack_object_array *values,
                         peers_start_request *request)
{
    const msgpack_object *numbers = values->ptr;

    memset(request, 0, sizeof *request);
    if (values->size < PEERS_START_REQUEST_MIN_SIZE) {
        return false;
    }
    request->number = (uint32_t)numbers[0].via.u64;
    request->endpoint = numbers[1].via.u64;
    request->target = numbers[2].via.u64;
    request->waited = numbers[3].via.u64;
    request->share = (double)numbers[4].via.u64 / 100;
    request->prompt.tokens = (uint32_t)numbers[5].via.u64;
    request->prompt.output_tokens = (uint32_t)numbers[6].via.u64;
    request->has_limit_word = numbers[7].via.u64 != PEERS_LIMIT_UNKNOWN;
    request->limit =
        numbers[7].via.u64 < PEERS_LIMIT_NAMED
            ? PACE_NO_LIMIT
            : (double)(numbers[7].via.u64 - PEERS_LIMIT_NAMED) / 1000;
    request->limit_age = numbers[8].via.u64;
    request->fetch.tokens = (uint32_t)numbers[9].via.u64;
    request->fetch.is_presumed = numbers[10].via.u64 != 0;
    eng_clear_affinity(&request->prompt);
    return read_blocks(numbers + PEERS_START_REQUEST_MIN_SIZE,
                       values->size - PEERS_START_REQUEST_MIN_SIZE,
                       &request->prompt);
}

bool
peers_read_start_reply(const msgpack_object_array *values,
                       peers_start_reply *reply)
{
    const msgpack_object *numbers = values->ptr;

    memset(reply, 0, sizeof *reply);
    if (values->size != PEERS_START_REPLY_SIZE) {
        return false;
    }
    reply->number = (uint32_t)numbers[0].via.u64;
    reply->endpoint = numbers[1].via.u64;
    reply->is_granted = numbers[2].via.u64 != 0;
    reply->summary.in_flight = (uint32_t)numbers[3].via.u64;
    reply->summary.kv_tokens = (uint32_t)numbers[4].via.u64;
    reply->summary.wait = numbers[5].via.u64;
    reply->service_time = numbers[6].via.u64;
    reply->uncached_tokens = (uint32_t)numbers[7].via.u64;
    reply->limit_wait = numbers[8].via.u64;
    reply->cold_left = numbers[9].via.u64;
    reply->cold_wait = numbers[10].via.u64;
    reply->spared_tokens = (uint32_t)numbers[11].via.u64;
    return true;
}
