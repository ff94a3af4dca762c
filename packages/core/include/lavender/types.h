/*
 * Types that every module uses: times, identifiers and handles.
 */
#ifndef LAVENDER_TYPES_H
#define LAVENDER_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A time on a monotonic clock or a duration, in microseconds. Times of two
 * processes are never compared: messages carry durations, or times that the
 * receiver only echoes or matches for equality. */
typedef uint64_t lv_time;

#define LV_MILLISECOND ((lv_time)1000)
#define LV_SECOND ((lv_time)1000000)
#define LV_TIME_NEVER UINT64_MAX

/* An identifier that is the same on every instance: the XXH64 hash of the
 * name. Zero is LV_ID_NONE, no identifier. */
typedef uint64_t lv_id;

#define LV_ID_NONE ((lv_id)0)

/* An index into a table of the object that returned it; meaningless on other
 * instances. */
typedef uint32_t lv_handle;

#define LV_HANDLE_NONE UINT32_MAX

/* Maximum size of the name of an account, pool, endpoint, zone or instance, in
 * bytes, including the terminating null byte. */
#define LV_NAME_SIZE 64

/* Maximum size of an IP address and port as text, in bytes, including the
 * terminating null byte. */
#define LV_ADDRESS_SIZE 64

/* Returns the identifier of a name, never LV_ID_NONE. */
lv_id lv_hash_name(const char *name);

/* Copies a name into a buffer of size bytes. Returns false and copies nothing
 * when it does not fit with its terminating null byte. */
bool lv_copy_name(char *to, size_t size, const char *from);

/* Copies a name into a buffer of size bytes, at least LV_NAME_SIZE. A name
 * that does not fit is truncated and followed by '~' and its identifier in
 * hexadecimal, so different names stay distinct. For logs and metrics only. */
void lv_shorten_name(char *to, size_t size, const char *from);

/* Returns now - then, or 0 when then is later than now because the clock ran
 * backwards. */
lv_time lv_elapsed(lv_time now, lv_time then);

#endif
