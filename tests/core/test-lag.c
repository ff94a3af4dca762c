/*
 * How far the lists of other instances lagged while they were in use.
 */
#include <criterion/criterion.h>

#include "lavender/lag.h"

#define AT(seconds) ((lv_time)(seconds)*LV_SECOND)

typedef struct lag_use {
    uint32_t complete_until; /* seconds; 0: no use */
    uint32_t from;
    uint32_t now;
} lag_use;

typedef struct lag_case {
    const char *name;
    lag_use uses[3];
    uint32_t since;
    uint32_t now;
    uint32_t expected; /* seconds */
} lag_case;

static const lag_case cases[] = {
    {"no list", {{0}}, 1000, 1010, 1010},
    {"one in use", {{998, 1000, 1001}}, 1000, 1010, 998},
    {"the earliest counts",
     {{998, 999, 1001}, {990, 1001, 1001}},
     1000,
     1010,
     990},
    {"it was in use before",
     {{990, 995, 999}, {999, 1000, 1010}},
     1000,
     1010,
     999},
    {"in use through a pause", {{990, 1000, 1060}}, 1050, 1060, 990},
    {"a slot is used again",
     {{700, 800, 800}, {927, 800 + LAG_SLOTS, 800 + LAG_SLOTS}},
     800,
     1000,
     927},
    {"a longer time than is kept", {{500, 600, 1000}}, 999, 1000, 500},
};

/* Guards against an old list that is forgotten while streams that began by it
 * may be taken up, or that counts for ever. */
Test(lag, the_earliest_list_in_use_since_a_time)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const lag_case *one = &cases[i];
        static lag_record record;

        record = (lag_record){0};
        for (size_t j = 0; j < 3 && one->uses[j].complete_until != 0; j++) {
            lag_note(&record, AT(one->uses[j].complete_until),
                     AT(one->uses[j].from), AT(one->uses[j].now));
        }
        cr_expect_eq(lag_find(&record, AT(one->since), AT(one->now)),
                     AT(one->expected), "%s", one->name);
    }
}
