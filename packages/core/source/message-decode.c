#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "message-imp.h"

#define ITEM_ALIGNMENT ((size_t)8)

static bool
refuse(err_error *error, const char *what)
{
    return err_set(error, ERR_SYNTAX,
                   "check that only lavenderd instances of this fleet reach "
                   "the peer port",
                   "a peer message is malformed: %s", what);
}

static bool
read_unsigned(const msgpack_object *object, uint64_t limit, uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        object->via.u64 > limit) {
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
    void *to = base + field->offset;
    uint64_t limit = field->limit != 0 ? field->limit : UINT32_MAX;
    uint64_t value;
    int64_t signed_value;
    uint32_t narrow;

    switch (field->type) {
    case MSG_FIELD_U64:
        if (!read_unsigned(object, UINT64_MAX, &value)) {
            return false;
        }
        memcpy(to, &value, sizeof value);
        return true;
    case MSG_FIELD_I64:
        if (!read_signed(object, &signed_value)) {
            return false;
        }
        memcpy(to, &signed_value, sizeof signed_value);
        return true;
    case MSG_FIELD_U32:
        if (!read_unsigned(object, limit, &value)) {
            return false;
        }
        narrow = (uint32_t)value;
        memcpy(to, &narrow, sizeof narrow);
        return true;
    case MSG_FIELD_BOOL:
        if (object->type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        *(bool *)to = object->via.boolean;
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

/* Items of one message never move: the room for all is made first. */
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
            return refuse(error, "a key is not a small integer");
        }
        array = find_array(layout, key->via.u64);
        if (array == NULL) {
            continue;
        }
        if (value->type != MSGPACK_OBJECT_ARRAY ||
            value->via.array.size > MSG_ITEMS_MAX) {
            return refuse(error, "a list has the wrong type or length");
        }
        needed += value->via.array.size * array->item_size + ITEM_ALIGNMENT;
    }
    buffer->used = 0;
    if (needed > buffer->capacity) {
        void *memory = realloc(buffer->memory, needed);

        if (memory == NULL) {
            return err_set(error, ERR_MEMORY, "give the process more memory",
                           "no memory for a peer message of %zu bytes",
                           needed);
        }
        buffer->memory = memory;
        buffer->capacity = needed;
    }
    return true;
}

static bool
read_item(const msgpack_object *object, char *item, const msg_array *array)
{
    uint32_t known;

    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    known = object->via.array.size < array->field_count
                ? object->via.array.size
                : array->field_count;
    for (uint32_t f = 0; f < known; f++) {
        if (!read_field(&object->via.array.ptr[f], item, &array->fields[f])) {
            return false;
        }
    }
    return true;
}

static bool
read_array(const msgpack_object *object, msg_message *message,
           const msg_array *array, msg_buffer *buffer)
{
    uint32_t count = object->via.array.size;
    size_t size = count * array->item_size;
    uint32_t earlier;
    char *items = (char *)buffer->memory + buffer->used;

    memcpy(&earlier, (char *)message + array->count_offset, sizeof earlier);
    if (earlier != 0 || count == 0) {
        return earlier == 0;
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
        return refuse(error, "the kind is not known");
    }
    if (message->sender == LV_ID_NONE) {
        return refuse(error, "it names no sender");
    }
    if (message->version == 0) {
        return refuse(error, "it names no version");
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
        return refuse(error, "it is too long");
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, bytes, size, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != size || unpacked.data.type != MSGPACK_OBJECT_MAP) {
        refuse(error, "it is not one msgpack map");
        goto done;
    }
    map = &unpacked.data.via.map;
    if (!reserve_items(buffer, map, layout, error)) {
        goto done;
    }
    for (uint32_t i = 0; i < map->size; i++) {
        if (!read_entry(&map->ptr[i], message, layout, buffer)) {
            refuse(error, "a value has the wrong type or range");
            goto done;
        }
    }
    is_ok = check_message(message, error);
done:
    msgpack_unpacked_destroy(&unpacked);
    return is_ok;
}
