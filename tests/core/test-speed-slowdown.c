/*
 * The estimated speed of endpoints that are five times slower for 6 s.
 */
#include <criterion/criterion.h>

#include "speed-rig.h"

Test(speed_slowdown, error_is_below_a_fifth_within_two_seconds)
{
    static const speed_case cases[] = {
        {"12 slots",
         &speed_twelve_slots,
         {.instances = 80},
         0.2,
         6 * LV_SECOND},
        {"16 slots",
         &speed_sixteen_slots,
         {.instances = 80},
         0.2,
         6 * LV_SECOND},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        speed_expect_settled(&cases[i]);
    }
}
