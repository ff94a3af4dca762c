#include "lavender/value.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define DECIMAL_BASE 10
#define HEX_BASE 16
#define PORT_MAX 65535
#define FRACTION_SCALE_MAX 1000000000

typedef struct unit {
    const char *name;
    uint64_t factor; /* in microseconds or bytes */
} unit;

static const unit time_units[] = {
    {"us", 1},
    {"ms", LV_MILLISECOND},
    {"s", LV_SECOND},
    {"m", 60 * LV_SECOND},
    {"h", 3600 * LV_SECOND},
    {NULL, 0},
};

static const unit size_units[] = {
    {"B", 1},
    {"KiB", UINT64_C(1) << 10},
    {"MiB", UINT64_C(1) << 20},
    {"GiB", UINT64_C(1) << 30},
    {"TiB", UINT64_C(1) << 40},
    {NULL, 0},
};

static bool
is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/* Parses leading decimal digits. Returns the first character after them, or
 * NULL when there are none or the number exceeds 64 bits. */
static const char *
parse_digits(const char *text, uint64_t *value)
{
    uint64_t number = 0;

    if (!is_digit(*text)) {
        return NULL;
    }
    for (; is_digit(*text); text++) {
        uint64_t digit = (uint64_t)(*text - '0');

        if (number > (UINT64_MAX - digit) / DECIMAL_BASE) {
            return NULL;
        }
        number = number * DECIMAL_BASE + digit;
    }
    *value = number;
    return text;
}

bool
val_parse_uint(const char *text, uint64_t min, uint64_t max, uint64_t *value,
               err_error *error)
{
    uint64_t number = 0;
    const char *rest = parse_digits(text, &number);
    char remedy[ERR_REMEDY_SIZE];

    if (rest != NULL && *rest == '\0' && number >= min && number <= max) {
        *value = number;
        return true;
    }
    snprintf(remedy, sizeof remedy,
             "write a whole number from %" PRIu64 " to %" PRIu64, min, max);
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.64s\"", text);
}

/* Parses a number that may have a decimal fraction and multiplies it by a
 * factor, rounding down. Digits after the ninth of the fraction do not count.
 * Returns the first character after it, or NULL when there is no number or the
 * product exceeds 64 bits. */
static const char *
parse_decimal(const char *text, uint64_t factor, uint64_t *value)
{
    uint64_t whole = 0;
    uint64_t fraction = 0;
    uint64_t scale = 1;
    const char *rest = parse_digits(text, &whole);

    if (rest == NULL) {
        return NULL;
    }
    if (*rest == '.') {
        if (!is_digit(*++rest)) {
            return NULL;
        }
        for (; is_digit(*rest); rest++) {
            if (scale < FRACTION_SCALE_MAX) {
                scale *= DECIMAL_BASE;
                fraction = fraction * DECIMAL_BASE + (uint64_t)(*rest - '0');
            }
        }
    }
    if (factor > UINT64_MAX / FRACTION_SCALE_MAX ||
        whole > UINT64_MAX / factor - 1) {
        return NULL;
    }
    *value = whole * factor + fraction * factor / scale;
    return rest;
}

static const unit *
find_unit(const unit *units, const char *name)
{
    for (; units->name != NULL; units++) {
        if (strcmp(units->name, name) == 0) {
            return units;
        }
    }
    return NULL;
}

/* Formats a value with the largest unit that divides it. */
static void
format_with_unit(const unit *units, uint64_t value, char *text, size_t size)
{
    const unit *largest = units;

    for (; units->name != NULL; units++) {
        if (value != 0 && value % units->factor == 0) {
            largest = units;
        }
    }
    snprintf(text, size, "%" PRIu64 "%s", value / largest->factor,
             largest->name);
}

static bool
parse_with_unit(const char *text, const unit *units, uint64_t min,
                uint64_t max, uint64_t *value, const char *form,
                err_error *error)
{
    uint64_t number = 0;
    const char *rest = parse_digits(text, &number);
    const unit *found = NULL;
    char remedy[ERR_REMEDY_SIZE];
    char min_text[32];
    char max_text[32];

    if (rest != NULL) {
        found = find_unit(units, rest);
    }
    if (found != NULL && number <= UINT64_MAX / found->factor &&
        number * found->factor >= min && number * found->factor <= max) {
        *value = number * found->factor;
        return true;
    }
    format_with_unit(units, min, min_text, sizeof min_text);
    format_with_unit(units, max, max_text, sizeof max_text);
    snprintf(remedy, sizeof remedy, "write %s from %s to %s", form, min_text,
             max_text);
    if (rest != NULL && *rest == '\0') {
        return err_set(error, ERR_BAD_VALUE, remedy,
                       "found \"%.64s\" without a unit", text);
    }
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.64s\"", text);
}

bool
val_parse_duration(const char *text, lv_time min, lv_time max, lv_time *value,
                   err_error *error)
{
    return parse_with_unit(text, time_units, min, max, value,
                           "a whole number with a unit (us, ms, s, m, h)",
                           error);
}

bool
val_parse_decimal_uint(const char *text, uint64_t min, uint64_t max,
                       uint64_t *value, err_error *error)
{
    uint64_t number = 0;
    const char *rest = parse_decimal(text, 1, &number);
    char remedy[ERR_REMEDY_SIZE];

    if (rest != NULL && *rest == '\0' && number >= min && number <= max) {
        *value = number;
        return true;
    }
    snprintf(remedy, sizeof remedy,
             "write a number from %" PRIu64 " to %" PRIu64
             "; a fraction is rounded down",
             min, max);
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.64s\"", text);
}

bool
val_parse_decimal_duration(const char *text, lv_time min, lv_time max,
                           lv_time *value, err_error *error)
{
    const char *number_end = text + strspn(text, "0123456789.");
    const unit *found = find_unit(time_units, number_end);
    lv_time number = 0;

    if (found == NULL ||
        parse_decimal(text, found->factor, &number) != number_end ||
        number < min || number > max) {
        return parse_with_unit(text, time_units, min, max, value,
                               "a number with a unit (us, ms, s, m, h)",
                               error);
    }
    *value = number;
    return true;
}

bool
val_parse_thousandths(const char *text, uint64_t max, uint64_t *value,
                      err_error *error)
{
    uint64_t number = 0;
    const char *rest = parse_decimal(text, 1000, &number);
    char remedy[ERR_REMEDY_SIZE];

    if (rest != NULL && *rest == '\0' && number <= max * 1000) {
        *value = number;
        return true;
    }
    snprintf(remedy, sizeof remedy,
             "write a number from 0 to %" PRIu64 ", such as 0.2", max);
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.64s\"", text);
}

bool
val_parse_size(const char *text, uint64_t min, uint64_t max, uint64_t *value,
               err_error *error)
{
    return parse_with_unit(
        text, size_units, min, max, value,
        "a whole number with a unit (B, KiB, MiB, GiB, TiB)", error);
}

bool
val_parse_bool(const char *text, bool *value, err_error *error)
{
    static const char *const words[] = {"no", "yes", NULL};
    uint32_t index = 0;

    if (!val_parse_choice(text, words, &index, error)) {
        return false;
    }
    *value = index == 1;
    return true;
}

bool
val_parse_choice(const char *text, const char *const *choices, uint32_t *value,
                 err_error *error)
{
    char remedy[ERR_REMEDY_SIZE] = "write ";

    for (uint32_t i = 0; choices[i] != NULL; i++) {
        if (strcmp(choices[i], text) == 0) {
            *value = i;
            return true;
        }
    }
    for (uint32_t i = 0; choices[i] != NULL; i++) {
        size_t used = strlen(remedy);

        snprintf(remedy + used, sizeof remedy - used, "%s%s",
                 i > 0 ? " or " : "", choices[i]);
    }
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.64s\"", text);
}

/* Returns the value of a hex digit, or -1. */
static int
hex_digit_value(char c)
{
    if (is_digit(c)) {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + DECIMAL_BASE;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + DECIMAL_BASE;
    }
    return -1;
}

bool
val_parse_hex(const char *text, uint8_t *bytes, size_t size, err_error *error)
{
    char remedy[ERR_REMEDY_SIZE];
    bool is_valid = strlen(text) == 2 * size;

    for (size_t i = 0; is_valid && i < size; i++) {
        int high = hex_digit_value(text[2 * i]);
        int low = hex_digit_value(text[2 * i + 1]);

        is_valid = high >= 0 && low >= 0;
        if (is_valid) {
            bytes[i] = (uint8_t)(high * HEX_BASE + low);
        }
    }
    if (is_valid) {
        return true;
    }
    snprintf(remedy, sizeof remedy, "write exactly %zu hex digits", 2 * size);
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.80s\"", text);
}

bool
val_check_name(const char *text, err_error *error)
{
    return val_check_sized_name(text, LV_NAME_SIZE, error);
}

bool
val_check_sized_name(const char *text, size_t size, err_error *error)
{
    size_t length = strlen(text);
    char remedy[ERR_REMEDY_SIZE];
    bool is_valid = length > 0 && length < size;

    for (size_t i = 0; is_valid && i < length; i++) {
        char c = text[i];

        is_valid = is_digit(c) || (c >= 'a' && c <= 'z') ||
                   (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
    }
    if (is_valid) {
        return true;
    }
    snprintf(remedy, sizeof remedy,
             "write a name of 1 to %zu letters, digits, '.', '_' or '-'",
             size - 1);
    return err_set(error, ERR_BAD_VALUE, remedy, "found \"%.80s\"", text);
}

bool
val_check_address(const char *text, err_error *error)
{
    char host[LV_ADDRESS_SIZE];
    const char *colon = strrchr(text, ':');
    struct in6_addr address; /* holds either family */
    uint64_t port = 0;
    size_t length = colon == NULL ? 0 : (size_t)(colon - text);

    if (colon == NULL || length >= sizeof host ||
        strlen(text) >= LV_ADDRESS_SIZE ||
        !val_parse_uint(colon + 1, 1, PORT_MAX, &port, NULL)) {
        goto invalid;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    if (inet_pton(AF_INET, host, &address) == 1) {
        return true;
    }
    if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
        host[length - 1] = '\0';
        if (inet_pton(AF_INET6, host + 1, &address) == 1) {
            return true;
        }
    }
invalid:
    return err_set(error, ERR_BAD_VALUE,
                   "write IP:PORT, such as 192.0.2.1:7000 or "
                   "[2001:db8::1]:7000",
                   "found \"%.80s\"", text);
}
