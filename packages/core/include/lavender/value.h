/*
 * Values as settings, catalogues and lists write them: numbers, lengths of
 * time and sizes with a unit, yes or no, names, addresses, hex digits.
 *
 * Every reader takes the whole text or none of it. On failure the error's
 * message says what was found and its remedy what to write.
 */
#ifndef LAVENDER_VALUE_H
#define LAVENDER_VALUE_H

#include "lavender/error.h"
#include "lavender/types.h"

/* A whole number from min to max. */
bool val_parse_uint(const char *text, uint64_t min, uint64_t max,
                    uint64_t *value, err_error *error);

/* A length of time with a unit: us, ms, s, m or h. */
bool val_parse_duration(const char *text, lv_time min, lv_time max,
                        lv_time *value, err_error *error);

/* A size with a unit: B, KiB, MiB, GiB or TiB. */
bool val_parse_size(const char *text, uint64_t min, uint64_t max,
                    uint64_t *value, err_error *error);

/* "yes" or "no". */
bool val_parse_bool(const char *text, bool *value, err_error *error);

/* One of the words of a list that ends with NULL; value is its index. */
bool val_parse_choice(const char *text, const char *const *choices,
                      uint32_t *value, err_error *error);

/* Exactly `size` bytes as hex digits. */
bool val_parse_hex(const char *text, uint8_t *bytes, size_t size,
                   err_error *error);

/* A name: letters, digits, '.', '_' and '-', shorter than LV_NAME_SIZE. */
bool val_check_name(const char *text, err_error *error);

/* A numeric IPv4 address and port, 192.0.2.1:80, or IPv6, [2001:db8::1]:80. */
bool val_check_address(const char *text, err_error *error);

#endif
