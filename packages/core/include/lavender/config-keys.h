/*
 * Macros that shorten tables of conf_key and conf_section for fields of one
 * record type. Define CONF_RECORD as that type before including this header.
 * Include it only in source files that define such tables: the macros have no
 * prefix.
 */
#ifndef LAVENDER_CONFIG_KEYS_H
#define LAVENDER_CONFIG_KEYS_H

#include <stddef.h>

#include "lavender/config.h"

#define FIELD(field) offsetof(CONF_RECORD, field)
#define TIME_KEY(key, field, minimum, maximum)                                \
    {                                                                         \
        .name = (key), .type = CONF_TIME, .offset = FIELD(field),             \
        .min = (minimum), .max = (maximum)                                    \
    }
#define COUNT_KEY(key, field, minimum, maximum)                               \
    {                                                                         \
        .name = (key), .type = CONF_COUNT32, .offset = FIELD(field),          \
        .min = (minimum), .max = (maximum)                                    \
    }
/* The same for values that a platform may render with a fraction. */
#define DECIMAL_TIME_KEY(key, field, minimum, maximum)                        \
    {                                                                         \
        .name = (key), .type = CONF_TIME, .offset = FIELD(field),             \
        .min = (minimum), .max = (maximum), .takes_fraction = true            \
    }
#define DECIMAL_COUNT_KEY(key, field, minimum, maximum)                       \
    {                                                                         \
        .name = (key), .type = CONF_COUNT32, .offset = FIELD(field),          \
        .min = (minimum), .max = (maximum), .takes_fraction = true            \
    }
#define RATIO_KEY(key, field, maximum)                                        \
    {                                                                         \
        .name = (key), .type = CONF_RATIO, .offset = FIELD(field),            \
        .max = (maximum)                                                      \
    }
#define SIZE_KEY(key, field, minimum, maximum)                                \
    {                                                                         \
        .name = (key), .type = CONF_SIZE, .offset = FIELD(field),             \
        .min = (minimum), .max = (maximum)                                    \
    }
#define TEXT_KEY(key, field)                                                  \
    {                                                                         \
        .name = (key), .type = CONF_TEXT, .offset = FIELD(field),             \
        .size = sizeof((CONF_RECORD *)0)->field                               \
    }
#define ADDRESS_KEY(key, field, required)                                     \
    {                                                                         \
        .name = (key), .type = CONF_ADDRESS, .offset = FIELD(field),          \
        .is_required = (required)                                             \
    }
#define NAME_KEY(key, field)                                                  \
    {                                                                         \
        .name = (key), .type = CONF_NAME, .offset = FIELD(field),             \
        .is_required = true, .size = sizeof((CONF_RECORD *)0)->field          \
    }
#define CHOICE_KEY(key, field, strings, required)                             \
    {                                                                         \
        .name = (key), .type = CONF_CHOICE, .offset = FIELD(field),           \
        .choices = (strings), .is_required = (required)                       \
    }
#define SECTION(name, table)                                                  \
    {                                                                         \
        .type = (name), .keys = (table),                                      \
        .key_count = sizeof(table) / sizeof(table)[0]                         \
    }

/* Times in microseconds, sizes in bytes. */
#define MILLISECOND LV_MILLISECOND
#define SECOND LV_SECOND
#define HOUR (3600 * LV_SECOND)
#define KIB ((uint64_t)1024)
#define MIB (1024 * KIB)
#define GIB (1024 * MIB)

#endif
