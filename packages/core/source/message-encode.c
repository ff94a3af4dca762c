#include <msgpack.h>
#include <string.h>

#include "message-imp.h"

/* Returns whether a field has its default value, zero. */
static bool
is_default(const char *base, const msg_field *field)
{
    static const char zeros[8];
    size_t size = sizeof(uint64_t);

    if (field->type == MSG_FIELD_U32) {
        size = sizeof(uint32_t);
    }
    else if (field->type == MSG_FIELD_BOOL) {
        size = sizeof(bool);
    }
    return memcmp(base + field->offset, zeros, size) == 0;
}

static void
pack_field(msgpack_packer *packer, const char *base, const msg_field *field)
{
    const void *value = base + field->offset;
    uint64_t u64;
    int64_t i64;
    uint32_t u32;

    switch (field->type) {
    case MSG_FIELD_U64:
        memcpy(&u64, value, sizeof u64);
        msgpack_pack_uint64(packer, u64);
        break;
    case MSG_FIELD_I64:
        memcpy(&i64, value, sizeof i64);
        msgpack_pack_int64(packer, i64);
        break;
    case MSG_FIELD_U32:
        memcpy(&u32, value, sizeof u32);
        msgpack_pack_uint32(packer, u32);
        break;
    case MSG_FIELD_BOOL:
        if (*(const bool *)value) {
            msgpack_pack_true(packer);
        }
        else {
            msgpack_pack_false(packer);
        }
        break;
    }
}

static uint32_t
get_item_count(const msg_message *message, const msg_array *array)
{
    uint32_t count;

    memcpy(&count, (const char *)message + array->count_offset, sizeof count);
    return count;
}

/* Returns the number of fields to encode: default values at the end of an item
 * are omitted, except the first field. */
static uint32_t
count_fields(const char *item, const msg_array *array)
{
    uint32_t count = array->field_count;

    while (count > 1 && is_default(item, &array->fields[count - 1])) {
        count--;
    }
    return count;
}

static void
pack_item(msgpack_packer *packer, const char *item, const msg_array *array)
{
    uint32_t count = count_fields(item, array);

    msgpack_pack_array(packer, count);
    for (uint32_t f = 0; f < count; f++) {
        pack_field(packer, item, &array->fields[f]);
    }
}

static void
pack_array(msgpack_packer *packer, const msg_message *message,
           const msg_array *array)
{
    uint32_t count = get_item_count(message, array);
    const char *items;

    memcpy(&items, (const char *)message + array->offset, sizeof items);
    msgpack_pack_uint32(packer, array->key);
    msgpack_pack_array(packer, count);
    for (uint32_t i = 0; i < count; i++) {
        pack_item(packer, items + i * array->item_size, array);
    }
}

/* Returns the number of entries of the encoded map. */
static uint32_t
count_entries(const msg_message *message, const msg_layout *layout)
{
    uint32_t entries = message->body != NULL ? 1 : 0;

    for (uint32_t i = 0; i < layout->field_count; i++) {
        if (!is_default((const char *)message, &layout->fields[i])) {
            entries++;
        }
    }
    for (uint32_t i = 0; i < layout->array_count; i++) {
        if (get_item_count(message, &layout->arrays[i]) > 0) {
            entries++;
        }
    }
    return entries;
}

static bool
check_array_sizes(const msg_message *message, const msg_layout *layout,
                  err_error *error)
{
    for (uint32_t i = 0; i < layout->array_count; i++) {
        uint32_t count = get_item_count(message, &layout->arrays[i]);

        if (count > MSG_ITEMS_MAX) {
            return err_set(error, ERR_LIMIT,
                           "split the items over several messages",
                           "a %s message has %u items in one array; the "
                           "maximum is %u",
                           msg_kind_name(message->kind), count, MSG_ITEMS_MAX);
        }
    }
    return true;
}

bool
msg_encode(const msg_message *message, char **bytes, size_t *size,
           err_error *error)
{
    const msg_layout *layout = msg_get_layout();
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    if (!check_array_sizes(message, layout, error)) {
        return false;
    }
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_map(&packer, count_entries(message, layout));
    for (uint32_t i = 0; i < layout->field_count; i++) {
        const msg_field *field = &layout->fields[i];

        if (!is_default((const char *)message, field)) {
            msgpack_pack_uint32(&packer, field->key);
            pack_field(&packer, (const char *)message, field);
        }
    }
    for (uint32_t i = 0; i < layout->array_count; i++) {
        if (get_item_count(message, &layout->arrays[i]) > 0) {
            pack_array(&packer, message, &layout->arrays[i]);
        }
    }
    if (message->body != NULL) {
        msgpack_pack_uint32(&packer, MSG_KEY_BODY);
        msgpack_pack_bin(&packer, message->body_size);
        msgpack_pack_bin_body(&packer, message->body, message->body_size);
    }
    *size = buffer.size;
    *bytes = msgpack_sbuffer_release(&buffer);
    if (*bytes == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate memory for a %s message",
                       msg_kind_name(message->kind));
    }
    return true;
}
