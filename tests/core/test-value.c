/*
 * Values of settings, catalogues and lists.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender/value.h"

typedef struct number_case {
    char kind; /* count, time, size */
    char text[32];
    bool is_good;
    uint64_t value;
} number_case;

ParameterizedTestParameters(value, numbers)
{
    static number_case cases[] = {
        {'c', "1", true, 1},
        {'c', "100", true, 100},
        {'c', "0", false, 0},
        {'c', "101", false, 0},
        {'c', "", false, 0},
        {'c', "-1", false, 0},
        {'c', "+1", false, 0},
        {'c', "1x", false, 0},
        {'c', "0x1", false, 0},
        {'c', "99999999999999999999999", false, 0},
        {'t', "5ms", true, 5000},
        {'t', "5us", true, 5},
        {'t', "30s", true, 30000000},
        {'t', "2m", true, 120000000},
        {'t', "1h", true, 3600000000},
        {'t', "5", false, 0},
        {'t', "5 ms", false, 0},
        {'t', "5MS", false, 0},
        {'t', "1.5s", false, 0},
        {'t', "2h", false, 0},
        {'t', "99999999999999999s", false, 0},
        {'t', "ms", false, 0},
        {'s', "12B", true, 12},
        {'s', "64KiB", true, 65536},
        {'s', "1MiB", true, 1048576},
        {'s', "64", false, 0},
        {'s', "64KB", false, 0},
        {'s', "2GiB", false, 0},
        {'s', "18446744073709551615TiB", false, 0},
    };

    return cr_make_param_array(number_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(number_case *c, value, numbers)
{
    err_error error;
    uint64_t value = 0;
    bool is_good;

    err_clear(&error);
    if (c->kind == 'c') {
        is_good = val_parse_uint(c->text, 1, 100, &value, &error);
    }
    else if (c->kind == 't') {
        is_good =
            val_parse_duration(c->text, 1, 3600 * LV_SECOND, &value, &error);
    }
    else {
        is_good = val_parse_size(c->text, 1, 1 << 30, &value, &error);
    }
    cr_assert_eq(is_good, c->is_good, "%c %s", c->kind, c->text);
    cr_assert_eq(value, c->value, "%c %s", c->kind, c->text);
    if (!is_good) {
        cr_assert_eq(error.kind, ERR_BAD_VALUE);
        cr_assert_not_null(strstr(error.message, c->text));
        cr_assert_not_null(strstr(error.remedy, "write a whole number"));
    }
}

Test(value, a_missing_unit_is_named)
{
    err_error error;
    lv_time value;

    cr_assert_not(val_parse_duration("30", 0, LV_SECOND, &value, &error));
    cr_assert_str_eq(error.message, "found \"30\" without a unit");
    cr_assert_str_eq(error.remedy,
                     "write a whole number with a unit (us, ms, s, m, h) "
                     "from 0us to 1s");
}

typedef struct text_case {
    char kind; /* name, address, bool */
    char text[80];
    bool is_good;
} text_case;

ParameterizedTestParameters(value, texts)
{
    static text_case cases[] = {
        {'n', "a", true},
        {'n', "Router-1.b_c", true},
        {'n', "", false},
        {'n', "a b", false},
        {'n', "a/b", false},
        {'n', "\xc3\xa4", false},
        {'n',
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
         true},
        {'n',
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
         false},
        {'a', "127.0.0.1:80", true},
        {'a', "[::1]:80", true},
        {'a', "::1:80", false},
        {'a', "localhost:80", false},
        {'a', "127.0.0.1", false},
        {'a', "127.0.0.1:0", false},
        {'a', "127.0.0.1:65536", false},
        {'a', "127.0.0:80", false},
        {'a', ":80", false},
        {'a', "[]:80", false},
        {'b', "yes", true},
        {'b', "no", true},
        {'b', "true", false},
    };

    return cr_make_param_array(text_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(text_case *c, value, texts)
{
    err_error error;
    bool is_good;
    bool value;

    err_clear(&error);
    if (c->kind == 'n') {
        is_good = val_check_name(c->text, &error);
    }
    else if (c->kind == 'a') {
        is_good = val_check_address(c->text, &error);
    }
    else {
        is_good = val_parse_bool(c->text, &value, &error);
    }
    cr_assert_eq(is_good, c->is_good, "%c %s", c->kind, c->text);
    if (!is_good) {
        cr_assert_eq(error.kind, ERR_BAD_VALUE);
        cr_assert_gt(strlen(error.remedy), 0);
    }
}

Test(value, hex)
{
    uint8_t bytes[2] = {0, 0};

    cr_assert(val_parse_hex("0aFf", bytes, 2, NULL));
    cr_assert_eq(bytes[0], 0x0a);
    cr_assert_eq(bytes[1], 0xff);
    cr_assert_not(val_parse_hex("0af", bytes, 2, NULL));
    cr_assert_not(val_parse_hex("0aff00", bytes, 2, NULL));
    cr_assert_not(val_parse_hex("0agf", bytes, 2, NULL));
}
