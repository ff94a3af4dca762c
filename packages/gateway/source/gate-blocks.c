#include <stdlib.h>

#include "gate-imp.h"

#define INITIAL_CAPACITY 64

static bool
reserve_ids(gate_server *gate, uint32_t count)
{
    uint32_t capacity = gate->block_ids_capacity > 0 ? gate->block_ids_capacity
                                                     : INITIAL_CAPACITY;
    uint64_t *grown;

    while (capacity < count) {
        capacity *= 2;
    }
    if (capacity == gate->block_ids_capacity) {
        return true;
    }
    grown = realloc(gate->block_ids, capacity * sizeof *grown);
    if (grown == NULL) {
        return false;
    }
    gate->block_ids = grown;
    gate->block_ids_capacity = capacity;
    return true;
}

/* Reads all ids into gate->block_ids and returns their number. */
static uint32_t
read_ids(gate_server *gate, const char *blocks)
{
    uint32_t count = gate->wire->read_block_ids(blocks, gate->block_ids,
                                                gate->block_ids_capacity);

    if (count <= gate->block_ids_capacity) {
        return count;
    }
    if (!reserve_ids(gate, count)) {
        log_event(LOG_LEVEL_ERROR, io_now(), "no-memory", "blocks=%u", count);
        return 0;
    }
    return gate->wire->read_block_ids(blocks, gate->block_ids,
                                      gate->block_ids_capacity);
}

void
gate_collect_blocks(const gate_request *request, qtn_keys *keys)
{
    gate_server *gate = request->gate;
    uint32_t count = read_ids(gate, request->decoded.blocks);

    keys->keys = gate->block_ids;
    keys->count = count > 0 ? count - 1 : 0;
}

/* Appends the ids that answers are known to have begun on, or the others. */
static size_t
append_ids(const qtn_table *table, const qtn_keys *keys, bool are_answered,
           char *text, size_t size, size_t used)
{
    uint32_t i;

    for (i = 0; i < keys->count && used < size; i++) {
        bool is_answered = qtn_last_answer(table, keys->keys[i]) != 0;
        size_t length;

        if (is_answered != are_answered) {
            continue;
        }
        length = (size_t)snprintf(text + used, size - used, "%s%llx",
                                  used > 0 ? "," : "",
                                  (unsigned long long)keys->keys[i]);
        if (length >= size - used) {
            text[used] = '\0'; /* no part of an id */
            return size;
        }
        used += length;
    }
    return used;
}

uint32_t
gate_format_blocks(const gate_request *request, char *text, size_t size)
{
    const qtn_table *table = &request->gate->quarantine;
    qtn_keys keys;
    size_t used;

    gate_collect_blocks(request, &keys);
    used = append_ids(table, &keys, false, text, size, 0);
    used = append_ids(table, &keys, true, text, size, used);
    if (used == 0) {
        snprintf(text, size, "-");
    }
    return keys.count;
}
