/*
 * Types shared by every module: time, identities and small handles.
 */
#ifndef LAVENDER_TYPES_H
#define LAVENDER_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point or a length on a monotonic clock, in microseconds. Points of two
 * processes are never compared: only lengths travel between them. */
typedef uint64_t lv_time;

#define LV_MILLISECOND ((lv_time)1000)
#define LV_SECOND ((lv_time)1000000)
#define LV_TIME_NEVER UINT64_MAX

/* An identity that is the same on every instance: XXH64 of the name. Zero
 * means "none". */
typedef uint64_t lv_id;

#define LV_ID_NONE ((lv_id)0)

/* Handles are indices into the tables of the object that hands them out.
 * They have no meaning on another instance. */
typedef uint32_t lv_handle;

#define LV_HANDLE_NONE UINT32_MAX

/* Names of accounts, pools, endpoints, zones and instances, with the
 * terminating zero. */
#define LV_NAME_SIZE 64

/* Text of an IP address and a port, with the terminating zero. */
#define LV_ADDRESS_SIZE 64

/* Hash a name to its identity; never returns LV_ID_NONE. */
lv_id lv_hash_name(const char *name);

/* Copy a name into a fixed field; false when it does not fit. */
bool lv_copy_name(char *to, size_t size, const char *from);

/* now - then, or zero when the clock seems to run backwards. */
lv_time lv_elapsed(lv_time now, lv_time then);

#endif
