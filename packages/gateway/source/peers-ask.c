#include <string.h>

#include "peers-imp.h"

static bool
read_parts(const msgpack_object *values, uint32_t count, eng_prompt *prompt)
{
    size_t i;

    if (count % 2 != 0 || count / 2 > ENG_BLOCKS_MAX) {
        return false;
    }
    prompt->block_count = count / 2;
    for (i = 0; i < prompt->block_count; i++) {
        prompt->blocks[i].chain = values[i * 2].via.u64;
        prompt->blocks[i].tokens = (uint32_t)values[i * 2 + 1].via.u64;
    }
    return true;
}

bool
peers_read_ask(const msgpack_object_array *values, peers_start_request *ask)
{
    const msgpack_object *at = values->ptr;

    memset(ask, 0, sizeof *ask);
    if (values->size < PEERS_ASK_LEAST) {
        return false;
    }
    ask->number = (uint32_t)at[0].via.u64;
    ask->endpoint = at[1].via.u64;
    ask->target = at[2].via.u64;
    ask->waited = at[3].via.u64;
    ask->share = (double)at[4].via.u64 / 100;
    ask->prompt.tokens = (uint32_t)at[5].via.u64;
    ask->prompt.output_tokens = (uint32_t)at[6].via.u64;
    eng_clear_affinity(&ask->prompt);
    return read_parts(at + PEERS_ASK_LEAST, values->size - PEERS_ASK_LEAST,
                      &ask->prompt);
}

bool
peers_read_answer(const msgpack_object_array *values,
                  peers_start_reply *answer)
{
    const msgpack_object *at = values->ptr;

    memset(answer, 0, sizeof *answer);
    if (values->size != PEERS_ANSWER_SIZE) {
        return false;
    }
    answer->number = (uint32_t)at[0].via.u64;
    answer->endpoint = at[1].via.u64;
    answer->is_granted = at[2].via.u64 != 0;
    answer->summary.in_flight = (uint32_t)at[3].via.u64;
    answer->summary.kv_tokens = (uint32_t)at[4].via.u64;
    answer->summary.wait = at[5].via.u64;
    answer->service_time = at[6].via.u64;
    answer->uncached_tokens = (uint32_t)at[7].via.u64;
    return true;
}
