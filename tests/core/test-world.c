/*
 * The platform's lists: what is parsed, and what each fault is told.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "texts.h"

Test(world, a_valid_list)
{
    lists_snapshot lists;
    err_list errors;
    lv_handle found;

    cr_assert(
        lists_init(&lists, "lists", text_lists, strlen(text_lists), &errors));
    cr_assert_eq(lists.revision, 3);
    cr_assert_eq(lists.zone_count, 2);
    cr_assert_eq(lists.instance_count, 2);
    cr_assert_eq(lists.endpoint_count, 2);
    found = lists_find_instance(&lists, lv_hash_name("r2"));
    cr_assert_neq(found, LV_HANDLE_NONE);
    cr_assert_str_eq(lists.instances[found].peer, "127.0.0.1:7102");
    cr_assert_str_eq(lists.zones[lists.instances[found].zone].name, "z2");
    cr_assert(lists.instances[found].is_leaving);
    found = lists_find_endpoint(&lists, lv_hash_name("e1"));
    cr_assert_neq(found, LV_HANDLE_NONE);
    cr_assert_eq(lists.endpoints[found].slots, 16);
    cr_assert_eq(lists.endpoints[found].pool, lv_hash_name("shared"));
    cr_assert_not(lists.endpoints[found].is_leaving);
    cr_assert_eq(lists_find_endpoint(&lists, 1), LV_HANDLE_NONE);
    lists_finish(&lists);
    cr_assert_eq(lists_find_instance(&lists, 1), LV_HANDLE_NONE);
}

typedef struct fault_case {
    char text[256];
    int line;
    err_kind kind;
    char words[80]; /* in the message or the remedy */
} fault_case;

ParameterizedTestParameters(world, faults)
{
    static fault_case cases[] = {
        {"", 0, ERR_SYNTAX, "empty"},
        {"[zone z]\nregion = r\n", 0, ERR_SYNTAX, "no section [list]"},
        {"[list]\n", 1, ERR_BAD_VALUE, "revision"},
        {"[list]\nrevision = 0\n", 2, ERR_BAD_VALUE, "from 1"},
        {"[list]\nrevision = 1\nrevision = 2\n", 3, ERR_CONFLICT, "twice"},
        {"[list]\nrevision = 1\n[list]\nrevision = 1\n", 3, ERR_CONFLICT,
         "twice"},
        {"[list]\nrevision = 1\ncolour = blue\n", 3, ERR_UNKNOWN_NAME,
         "colour"},
        {"[list]\nrevision = 1\n[machine m]\n", 3, ERR_UNKNOWN_NAME,
         "[zone NAME]"},
        {"[list x]\nrevision = 1\n", 1, ERR_SYNTAX, "takes no name"},
        {"[list]\nrevision = 1\n[zone]\nregion = r\n", 3, ERR_SYNTAX,
         "needs a name"},
        {"[list]\nrevision = 1\n[zone z!]\nregion = r\n", 3, ERR_BAD_VALUE,
         "letters"},
        {"[list]\nrevision = 1\n[zone z]\nregion = r\n[zone z]\nregion = r\n",
         5, ERR_CONFLICT, "first at lists:3"},
        {"[list]\nrevision = 1\n[endpoint e]\npool = p\nzone = z\n"
         "address = 1.2.3.4:5\n",
         3, ERR_UNKNOWN_NAME, "zone \"z\""},
        {"[list]\nrevision = 1\n[zone z]\nregion = r\n[endpoint e]\n"
         "pool = p\nzone = z\naddress = host:5\n",
         8, ERR_BAD_VALUE, "IP:PORT"},
        {"[list]\nrevision = 1\n[zone z]\nregion = r\n[endpoint e]\n"
         "pool = p\nzone = z\naddress = 1.2.3.4:5\nstate = gone\n",
         9, ERR_BAD_VALUE, "live or leaving"},
        {"[list]\nrevision = 1\n[zone z]\nregion = r\n[instance i]\n"
         "zone = z\npeer = 1.2.3.4:5\nhttp = 1.2.3.4:5\n",
         5, ERR_CONFLICT, "address \"1.2.3.4:5\" stands twice"},
        {"revision = 1\n[list]\nrevision = 1\n", 1, ERR_SYNTAX,
         "before the first section"},
        {"[list]\nrevision = 1\nnonsense\n", 3, ERR_SYNTAX, "without '='"},
        {"[list]\nrevision = 1\n[zone z\nregion = r\n", 3, ERR_SYNTAX,
         "without its end"},
        {"[list]\nrevision = 1 ; a comment\n# another\n[]\n", 4, ERR_SYNTAX,
         "without its end"},
    };

    return cr_make_param_array(fault_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(fault_case *c, world, faults)
{
    lists_snapshot lists;
    err_list errors;
    char text[1024];

    cr_assert_not(
        lists_init(&lists, "lists", c->text, strlen(c->text), &errors));
    cr_assert_eq(lists.instances, NULL);
    cr_assert_geq(errors.count, 1);
    err_item_format(&errors.items[0], text, sizeof text);
    cr_assert_eq(errors.items[0].line, c->line, "%s", text);
    cr_assert_eq(errors.items[0].error.kind, c->kind, "%s", text);
    cr_assert_not_null(strstr(text, c->words), "%s", text);
    cr_assert_gt(strlen(errors.items[0].error.remedy), 0);
}

Test(world, every_fault_is_reported_at_once)
{
    const char *text = "[list]\nrevision = x\n[zone z]\n[pony p]\n"
                       "[endpoint e]\npool = p\nzone = y\n"
                       "address = 1.2.3.4\nslots = 0\n";
    lists_snapshot lists;
    err_list errors;

    cr_assert_not(lists_init(&lists, "lists", text, strlen(text), &errors));
    cr_assert_eq(errors.count, 6);
}

Test(world, a_long_line_and_a_zero_byte_are_named)
{
    char text[600] = "[list]\nrevision = 1\n[zone z]\nregion = ";
    lists_snapshot lists;
    err_list errors;
    size_t start = strlen(text);

    memset(text + start, 'r', 500);
    cr_assert_not(lists_init(&lists, "lists", text, start + 500, &errors));
    cr_assert_eq(errors.items[0].line, 4);
    cr_assert_not_null(strstr(errors.items[0].error.message, "characters"));
    text[start + 1] = '\0';
    cr_assert_not(lists_init(&lists, "lists", text, start + 3, &errors));
    cr_assert_not_null(strstr(errors.items[0].error.message, "zero byte"));
}

Test(world, long_names_are_not_cut)
{
    text_buffer buffer = {0};
    lists_snapshot lists;
    err_list errors;
    char name[LV_NAME_SIZE];

    memset(name, 'n', sizeof name - 1);
    name[sizeof name - 1] = '\0';
    TEXT_ADD(&buffer, "[list]\nrevision = 1\n[zone %s]\nregion = r\n", name);
    name[sizeof name - 2] = 'm';
    TEXT_ADD(&buffer, "[zone %s]\nregion = r\n", name);
    cr_assert(lists_init(&lists, "lists", buffer.text, buffer.size, &errors));
    cr_assert_eq(lists.zone_count, 2);
    cr_assert_eq(strlen(lists.zones[0].name), LV_NAME_SIZE - 1);
    lists_finish(&lists);
    text_finish(&buffer);
}

Test(world, ten_thousand_endpoints)
{
    text_buffer buffer = {0};
    lists_snapshot lists;
    err_list errors;

    text_make_lists(&buffer, 5, 17, 1500, 10000);
    cr_assert(lists_init(&lists, "lists", buffer.text, buffer.size, &errors));
    cr_assert_eq(lists.instance_count, 1500);
    cr_assert_eq(lists.endpoint_count, 10000);
    for (uint32_t i = 0; i < lists.endpoint_count; i++) {
        cr_assert_eq(lists_find_endpoint(&lists, lists.endpoints[i].id), i);
    }
    lists_finish(&lists);
    text_finish(&buffer);
}

/* Random changes of a valid text parse or give an error, never a crash. */
Test(world, mutations_parse_or_give_an_error)
{
    uint64_t state = 20;
    uint32_t good = 0;

    for (int i = 0; i < 5000; i++) {
        lists_snapshot lists;
        err_list errors;
        size_t size;
        char *text =
            text_mutate(text_lists, strlen(text_lists), &state, &size);
        bool is_good = lists_init(&lists, "lists", text, size, &errors);

        cr_assert_eq(is_good, errors.count == 0);
        good += is_good;
        lists_finish(&lists);
        free(text);
    }
    cr_assert(good > 0 && good < 5000, "%u", good);
}
