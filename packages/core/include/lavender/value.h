/*
 * Parsers for the values in settings, catalogues and lists: integers,
 * durations and sizes with a unit, booleans, enumerations, hex strings, names
 * and addresses.
 *
 * Every function accepts or rejects the text as a whole: it returns true and
 * stores the value, or returns false with ERR_BAD_VALUE. The error's message
 * quotes the text and its remedy states the accepted form; error may be NULL.
 */
#ifndef LAVENDER_VALUE_H
#define LAVENDER_VALUE_H

#include "lavender/error.h"
#include "lavender/types.h"

/* Parses an unsigned decimal integer in min..max. */
bool val_parse_uint(const char *text, uint64_t min, uint64_t max,
                    uint64_t *value, err_error *error);

/* Parses a duration in min..max: an integer with a unit, us, ms, s, m or h.
 * Stores microseconds. */
bool val_parse_duration(const char *text, lv_time min, lv_time max,
                        lv_time *value, err_error *error);

/* Like the two above, but the number may have a decimal fraction; the value is
 * rounded down, a duration to a microsecond. */
bool val_parse_decimal_uint(const char *text, uint64_t min, uint64_t max,
                            uint64_t *value, err_error *error);
bool val_parse_decimal_duration(const char *text, lv_time min, lv_time max,
                                lv_time *value, err_error *error);

/* Parses a decimal number in 0..max as thousandths, rounded down. */
bool val_parse_thousandths(const char *text, uint64_t max, uint64_t *value,
                           err_error *error);

/* Parses a size in min..max: an integer with a unit, B, KiB, MiB, GiB or TiB.
 * Stores bytes. */
bool val_parse_size(const char *text, uint64_t min, uint64_t max,
                    uint64_t *value, err_error *error);

/* Parses "yes" or "no". */
bool val_parse_bool(const char *text, bool *value, err_error *error);

/* Matches text against a NULL-terminated array of words; stores the index of
 * the word. */
bool val_parse_choice(const char *text, const char *const *choices,
                      uint32_t *value, err_error *error);

/* Parses exactly 2 * size hex digits of either case. On failure, bytes may be
 * partly overwritten. */
bool val_parse_hex(const char *text, uint8_t *bytes, size_t size,
                   err_error *error);

/* Checks a name: 1 to LV_NAME_SIZE - 1 ASCII letters, digits, '.', '_' or
 * '-'. */
bool val_check_name(const char *text, err_error *error);

/* The same for a name that fits into `size` bytes. */
bool val_check_sized_name(const char *text, size_t size, err_error *error);

/* Checks a numeric address with a port: 192.0.2.1:80 for IPv4,
 * [2001:db8::1]:80 for IPv6. */
bool val_check_address(const char *text, err_error *error);

#endif
