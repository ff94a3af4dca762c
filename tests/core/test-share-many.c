/*
 * Fair shares among as many accounts as today's users have, which get two or
 * three slots each.
 */
#include <criterion/criterion.h>

#include "pump-share.h"

static const share_case many_cases[] = {
    {"sixteen accounts", 8, 10, 64, 16, 2, LV_MILLISECOND, 0},
    {"every account at one router", 8, 4, 64, 8, 1, LV_MILLISECOND, 0},
};

Test(share_many, gap_is_bounded_and_slots_are_busy)
{
    for (size_t i = 0; i < sizeof many_cases / sizeof many_cases[0]; i++) {
        share_check(&many_cases[i]);
    }
}
