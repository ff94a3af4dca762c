#include "lavender/message.h"

#include <stdlib.h>
#include <string.h>

#include "message-imp.h"

#define FIELD(key, struct_type, member, type, limit)                          \
    {                                                                         \
        key, offsetof(struct_type, member), type, limit                       \
    }

static const msg_field member_fields[] = {
    FIELD(0, msg_member, instance, MSG_FIELD_U64, 0),
    FIELD(1, msg_member, incarnation, MSG_FIELD_U64, 0),
    FIELD(2, msg_member, state, MSG_FIELD_U32, MSG_MEMBER_LEFT),
    FIELD(3, msg_member, is_draining, MSG_FIELD_BOOL, 0),
    FIELD(4, msg_member, refutation, MSG_FIELD_U32, 0),
};

static const msg_field leaving_fields[] = {
    FIELD(0, msg_leaving, endpoint, MSG_FIELD_U64, 0),
    FIELD(1, msg_leaving, list_revision, MSG_FIELD_U64, 0),
};

static const msg_field demand_fields[] = {
    FIELD(0, msg_demand, account, MSG_FIELD_U64, 0),
    FIELD(1, msg_demand, waiting[CAT_URGENT], MSG_FIELD_U32, 0),
    FIELD(2, msg_demand, waiting[CAT_DEFERRABLE], MSG_FIELD_U32, 0),
    FIELD(3, msg_demand, oldest_age[CAT_URGENT], MSG_FIELD_U64, 0),
    FIELD(4, msg_demand, oldest_age[CAT_DEFERRABLE], MSG_FIELD_U64, 0),
    FIELD(5, msg_demand, arrivals, MSG_FIELD_U32, 0),
};

static const msg_field held_fields[] = {
    FIELD(0, msg_lease, lease, MSG_FIELD_U64, 0),
    FIELD(1, msg_lease, endpoint, MSG_FIELD_U64, 0),
    FIELD(2, msg_lease, account, MSG_FIELD_U64, 0),
    FIELD(3, msg_lease, is_busy, MSG_FIELD_BOOL, 0),
    FIELD(4, msg_lease, priority, MSG_FIELD_U32, CAT_PRIORITY_COUNT - 1),
};

static const msg_field released_fields[] = {
    {0, 0, MSG_FIELD_U64, 0},
};

static const msg_field service_fields[] = {
    FIELD(0, msg_service, account, MSG_FIELD_U64, 0),
    FIELD(1, msg_service, total, MSG_FIELD_I64, 0),
    FIELD(2, msg_service, level, MSG_FIELD_I64, 0),
    FIELD(3, msg_service, since, MSG_FIELD_I64, 0),
};

static const msg_field grant_fields[] = {
    FIELD(0, msg_grant, lease, MSG_FIELD_U64, 0),
    FIELD(1, msg_grant, endpoint, MSG_FIELD_U64, 0),
    FIELD(2, msg_grant, account, MSG_FIELD_U64, 0),
};

static const msg_field level_fields[] = {
    FIELD(0, msg_level, account, MSG_FIELD_U64, 0),
    FIELD(1, msg_level, level, MSG_FIELD_I64, 0),
    FIELD(2, msg_level, allowance, MSG_FIELD_U32, 0),
};

/* Keys are part of the wire format: they are never reused. */
static const msg_field message_fields[] = {
    FIELD(1, msg_message, kind, MSG_FIELD_U32, MSG_KIND_END - 1),
    FIELD(2, msg_message, version, MSG_FIELD_U32, 0),
    FIELD(3, msg_message, sender, MSG_FIELD_U64, 0),
    FIELD(4, msg_message, incarnation, MSG_FIELD_U64, 0),
    FIELD(5, msg_message, target_incarnation, MSG_FIELD_U64, 0),
    FIELD(6, msg_message, docs[DOC_CATALOGUE].revision, MSG_FIELD_U64, 0),
    FIELD(7, msg_message, docs[DOC_CATALOGUE].digest, MSG_FIELD_U64, 0),
    FIELD(8, msg_message, docs[DOC_LISTS].revision, MSG_FIELD_U64, 0),
    FIELD(9, msg_message, docs[DOC_LISTS].digest, MSG_FIELD_U64, 0),
    FIELD(10, msg_message, sequence, MSG_FIELD_U64, 0),
    FIELD(11, msg_message, tenure, MSG_FIELD_U64, 0),
    FIELD(12, msg_message, pool, MSG_FIELD_U64, 0),
    FIELD(13, msg_message, shard, MSG_FIELD_U32, 0),
    FIELD(14, msg_message, probe, MSG_FIELD_U64, 0),
    FIELD(15, msg_message, subject, MSG_FIELD_U64, 0),
    FIELD(16, msg_message, is_full, MSG_FIELD_BOOL, 0),
    FIELD(17, msg_message, is_claim, MSG_FIELD_BOOL, 0),
    FIELD(18, msg_message, sent, MSG_FIELD_U64, 0),
    FIELD(19, msg_message, seen, MSG_FIELD_U64, 0),
    FIELD(20, msg_message, echo, MSG_FIELD_U64, 0),
    FIELD(21, msg_message, ttl, MSG_FIELD_U64, 0),
    FIELD(22, msg_message, is_contended, MSG_FIELD_BOOL, 0),
    FIELD(23, msg_message, doc, MSG_FIELD_U32, DOC_COUNT - 1),
    FIELD(24, msg_message, doc_part, MSG_FIELD_U32, 0),
    FIELD(25, msg_message, doc_digest, MSG_FIELD_U64, 0),
    FIELD(26, msg_message, is_progress, MSG_FIELD_BOOL, 0),
    FIELD(27, msg_message, wants_full, MSG_FIELD_BOOL, 0),
};

#define COUNT_OF(array) ((uint32_t)(sizeof(array) / sizeof((array)[0])))

#define ARRAY(key, member, counter, item, fields)                             \
    {                                                                         \
        key, offsetof(msg_message, member), offsetof(msg_message, counter),   \
            sizeof(item), fields, COUNT_OF(fields)                            \
    }

static const msg_array message_arrays[] = {
    ARRAY(40, members, member_count, msg_member, member_fields),
    ARRAY(41, leaving, leaving_count, msg_leaving, leaving_fields),
    ARRAY(42, demands, demand_count, msg_demand, demand_fields),
    ARRAY(43, held, held_count, msg_lease, held_fields),
    ARRAY(44, released, released_count, uint64_t, released_fields),
    ARRAY(45, services, service_count, msg_service, service_fields),
    ARRAY(46, grants, grant_count, msg_grant, grant_fields),
    ARRAY(47, recalled, recalled_count, uint64_t, released_fields),
    ARRAY(48, levels, level_count, msg_level, level_fields),
};

static const msg_layout layout = {
    message_fields,
    COUNT_OF(message_fields),
    message_arrays,
    COUNT_OF(message_arrays),
};

const msg_layout *
msg_get_layout(void)
{
    return &layout;
}

const char *
msg_kind_name(msg_kind kind)
{
    static const char *const names[MSG_KIND_END] = {
        "none",  "ping",      "ack",      "ping-req",  "report",
        "grant", "shard-sum", "pool-sum", "doc-fetch", "doc-body",
    };

    return (unsigned)kind < MSG_KIND_END ? names[kind] : "unknown";
}

void
msg_buffer_init(msg_buffer *buffer)
{
    memset(buffer, 0, sizeof *buffer);
}

void
msg_buffer_finish(msg_buffer *buffer)
{
    free(buffer->memory);
    memset(buffer, 0, sizeof *buffer);
}
