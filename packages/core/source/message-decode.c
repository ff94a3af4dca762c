#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "message-imp.h"

#define ITEM_ALIGNMENT ((size_t)8)

/* Sets a syntax error with its cause; returns false. */
static bool
set_malformed(err_error *error, const char *cause)
{
    return err_set(error, ERR_SYNTAX,
                   "check that only lavenderd instances of this fleet reach "
                   "the peer port",
                   "a peer message is malformed: %s", cause);
}

static bool
read_unsigned(const msgpack_object *object, uint64_t max, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > max) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

static bool
read_signed(const msgpack_object *object, int64_t *value)
{
    if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *value = object->via.i64;
        return true;
    }
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        object->via.u64 <= INT64_MAX) {
        *value = (int64_t)object->via.u64;
        return true;
    }
    return false;
}

static bool
read_field(const msgpack_object *object, char *base, const msg_field *field)
{
    void *member = base + field->offset;
    uint64_t max = field->max != 0 ? field->max : UINT32_MAX;
    uint64_t u64;
    int64_t i64;
    uint32_t u32;

    switch (field->type) {
    case MSG_FIELD_U64:
        if (!read_unsigned(object, UINT64_MAX, &u64)) {
            return false;
        }
        memcpy(member, &u64, sizeof u64);
        return true;
    case MSG_FIELD_I64:
        if (!read_signed(object, &i64)) {
            return false;
        }
        memcpy(member, &i64, sizeof i64);
        return true;
    case MSG_FIELD_U32:
        if (!read_unsigned(object, max, &u64)) {
            return false;
        }
        u32 = (uint32_t)u64;
        memcpy(member, &u32, sizeof u32);
        return true;
    case MSG_FIELD_BOOL:
        if (object->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)member = object->via.boolean;
        return true;
    }
    return false;
}

static const msg_field *
find_field(const msg_layout *layout, uint64_t key)
{
    for (uint32_t i = 0; i < layout->field_count; i++) {
        if (layout->fields[i].key == key) {
            return &layout->fields[i];
        }
    }
    return NULL;
}

static const msg_array *
find_array(const msg_layout *layout, uint64_t key)
{
    for (uint32_t i = 0; i < layout->array_count; i++) {
        if (layout->arrays[i].key == key) {
            return &layout->arrays[i];
        }
    }
    return NULL;
}

/* Checks the keys and the array sizes, and allocates memory for all arrays at
 * once: growing the buffer later would move arrays already decoded. */
static bool
reserve_items(msg_buffer *buffer, const msgpack_object_map *map,
              const msg_layout *layout, err_error *error)
{
    size_t needed = 0;

    for (uint32_t i = 0; i < map->size; i++) {
        const msgpack_object *key = &map->ptr[i].key;
        const msgpack_object *value = &map->ptr[i].val;
        const msg_array *array;

        if (key->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return set_malformed(error, "a key is not an unsigned integer");
        }
        array = find_array(layout, key->via.u64);
        if (array == NULL) {
            continue;
        }
        if (value->type != MSGPACK_OBJECT_ARRAY ||
            value->via.array.size > MSG_ITEMS_MAX) {
            return set_malformed(
                error, "an array has the wrong type or too many items");
        }
        needed += value->via.array.size * array->item_size + ITEM_ALIGNMENT;
    }
    buffer->used = 0;
    if (needed > buffer->capacity) {
        void *memory = realloc(buffer->memory, needed);

        if (memory == NULL) {
            return err_set(error, ERR_MEMORY, "give the process more memory",
                           "cannot allocate %zu bytes for a peer message",
                           needed);
        }
        buffer->memory = memory;
        buffer->capacity = needed;
    }
    return true;
}

/* Reads an item into zeroed memory. Fields missing at the end stay zero,
 * fields beyond the known ones are skipped. */
static bool
read_item(const msgpack_object *object, char *item, const msg_array *array)
{
    uint32_t count;

    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    count = object->via.array.size < array->field_count
                ? object->via.array.size
                : array->field_count;
    for (uint32_t f = 0; f < count; f++) {
        if (!read_field(&object->via.array.ptr[f], item, &array->fields[f])) {
            return false;
        }
    }
    return true;
}

/* Reads an array into the buffer; fails when the message already has it. */
static bool
read_array(const msgpack_object *object, msg_message *message,
           const msg_array *array, msg_buffer *buffer)
{
    uint32_t count = object->via.array.size;
    size_t size = count * array->item_size;
    uint32_t previous_count;
    char *items = (char *)buffer->memory + buffer->used;

    memcpy(&previous_count, (char *)message + array->count_offset,
           sizeof previous_count);
    if (previous_count != 0 || count == 0) {
        return previous_count == 0;
    }
    memset(items, 0, size);
    for (uint32_t i = 0; i < count; i++) {
        if (!read_item(&object->via.array.ptr[i], items + i * array->item_size,
                       array)) {
            return false;
        }
    }
    buffer->used +=
        (size + ITEM_ALIGNMENT - 1) / ITEM_ALIGNMENT * ITEM_ALIGNMENT;
    memcpy((char *)message + array->offset, &items, sizeof items);
    memcpy((char *)message + array->count_offset, &count, sizeof count);
    return true;
}

static bool
read_entry(const msgpack_object_kv *entry, msg_message *message,
           const msg_layout *layout, msg_buffer *buffer)
{
    uint64_t key = entry->key.via.u64;
    const msg_field *field = find_field(layout, key);
    const msg_array *array;

    if (field != NULL) {
        return read_field(&entry->val, (char *)message, field);
    }
    array = find_array(layout, key);
    if (array != NULL) {
        return read_array(&entry->val, message, array, buffer);
    }
    if (key == MSG_KEY_BODY) {
        if (entry->val.type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        message->body = entry->val.via.bin.ptr;
        message->body_size = entry->val.via.bin.size;
    }
    return true;
}

static bool
check_message(const msg_message *message, err_error *error)
{
    if (message->kind == 0 || message->kind >= MSG_KIND_END) {
        return set_malformed(error, "the kind is missing or unknown");
    }
    if (message->sender == LV_ID_NONE) {
        return set_malformed(error, "the sender is missing");
    }
    if (message->version == 0) {
        return set_malformed(error, "the version is missing");
    }
    return true;
}

bool
msg_decode(const char *bytes, size_t size, msg_message *message,
           msg_buffer *buffer, err_error *error)
{
    const msg_layout *layout = msg_get_layout();
    const msgpack_object_map *map;
    msgpack_unpacked unpacked;
    bool is_ok = false;
    size_t offset = 0;

    memset(message, 0, sizeof *message);
    if (size > MSG_SIZE_MAX) {
        return set_malformed(error, "it exceeds the maximum size");
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, bytes, size, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != size || unpacked.data.type != MSGPACK_OBJECT_MAP) {
        set_malformed(error, "it is not exactly one msgpack map");
        goto done;
    }
    map = &unpacked.data.via.map;
    if (!reserve_items(buffer, map, layout, error)) {
        goto done;
    }
    for (uint32_t i = 0; i < map->size; i++) {
        if (!read_entry(&map->ptr[i], message, layout, buffer)) {
            set_malformed(error, "a value has the wrong type or range");
            goto done;
        }
    }
    is_ok = check_message(message, error);
done:
    msgpack_unpacked_destroy(&unpacked);
    return is_ok;
}
