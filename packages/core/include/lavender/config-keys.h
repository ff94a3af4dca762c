/*
 * Short forms for tables of keys whose fields lie in one record. Define
 * CONF_RECORD as the record's type before including this header; only the
 * source of one table includes it.
 */
#ifndef LAVENDER_CONFIG_KEYS_H
#define LAVENDER_CONFIG_KEYS_H

#include <stddef.h>

#include "lavender/config.h"

#define FIELD(field) offsetof(CONF_RECORD, field)
#define TIME_KEY(key, field, low, high)                                       \
    {                                                                         \
        .name = (key), .type = CONF_TIME, .offset = FIELD(field),             \
        .min = (low), .max = (high)                                           \
    }
#define COUNT_KEY(key, field, low, high)                                      \
    {                                                                         \
        .name = (key), .type = CONF_COUNT32, .offset = FIELD(field),          \
        .min = (low), .max = (high)                                           \
    }
#define SIZE_KEY(key, field, low, high)                                       \
    {                                                                         \
        .name = (key), .type = CONF_SIZE, .offset = FIELD(field),             \
        .min = (low), .max = (high)                                           \
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
        .is_required = true                                                   \
    }
#define CHOICE_KEY(key, field, words, required)                               \
    {                                                                         \
        .name = (key), .type = CONF_CHOICE, .offset = FIELD(field),           \
        .choices = (words), .is_required = (required)                         \
    }
#define SECTION(name, table)                                                  \
    {                                                                         \
        .type = (name), .keys = (table),                                      \
        .key_count = sizeof(table) / sizeof(table)[0]                         \
    }

#define MILLISECOND LV_MILLISECOND
#define SECOND LV_SECOND
#define HOUR (3600 * LV_SECOND)
#define KIB ((uint64_t)1024)
#define MIB (1024 * KIB)
#define GIB (1024 * MIB)

#endif
