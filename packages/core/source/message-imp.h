/*
 * The layout of messages: which key of the wire's map stands for which member.
 * Encoder and decoder both walk these tables.
 */
#ifndef LAVENDER_MESSAGE_IMP_H
#define LAVENDER_MESSAGE_IMP_H

#include "lavender/message.h"

#define MSG_KEY_BODY 60

typedef enum msg_field_type {
    MSG_FIELD_U64,
    MSG_FIELD_I64,
    MSG_FIELD_U32,
    MSG_FIELD_BOOL
} msg_field_type;

typedef struct msg_field {
    uint32_t key; /* in the message's map, or the place in an item's array */
    size_t offset;
    msg_field_type type;
    uint32_t limit; /* largest value of an enum; 0: any */
} msg_field;

typedef struct msg_array {
    uint32_t key;
    size_t offset;       /* of the pointer */
    size_t count_offset; /* of the uint32_t count */
    size_t item_size;
    const msg_field *fields;
    uint32_t field_count;
} msg_array;

typedef struct msg_layout {
    const msg_field *fields;
    uint32_t field_count;
    const msg_array *arrays;
    uint32_t array_count;
} msg_layout;

const msg_layout *msg_get_layout(void);

#endif
