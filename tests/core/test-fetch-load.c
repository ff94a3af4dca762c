/*
 * Engines that fetch shared parts from each other, under load, where instances
 * know each other's uses (a small fleet) and where they do not (a large one).
 */
#include <criterion/criterion.h>

#include "emulator.h"

static const emu_kind kinds[] = {
    {.per_second = 10,
     .sessions = 30,
     .shared_tokens = 5382,
     .own_tokens = 6610,
     .output = 384,
     .aim = LV_SECOND,
     .deadline = 12 * LV_SECOND},
    {.per_second = 60,
     .sessions = 300,
     .shared_tokens = 198,
     .own_tokens = 628,
     .output = 288,
     .aim = 500 * LV_MILLISECOND,
     .deadline = 12 * LV_SECOND},
    {.per_second = 40,
     .sessions = 100,
     .shared_tokens = 568,
     .own_tokens = 1800,
     .output = 24,
     .aim = 600 * LV_MILLISECOND,
     .deadline = 3 * LV_SECOND},
};

/* Guards against fetches that leave as many parts to be read again, or whose
 * predictions are so wrong that fewer requests are served in time. */
Test(fetch_load, fewer_shared_parts_are_read_again)
{
    for (int is_large = 0; is_large < 2; is_large++) {
        static emu_result without;
        static emu_result with;
        emu_load load = {.kinds = kinds,
                         .kind_count = sizeof kinds / sizeof kinds[0],
                         .weights = {1, 1, 1, 1, 1, 1, 1, 1},
                         .length = 30 * LV_SECOND,
                         .has_no_uses = is_large,
                         .has_no_shares = true};

        emu_play(&load, &without);
        load.has_fetches = true;
        emu_play(&load, &with);
        cr_log_info("large %d: started %u to %u, in aim %u to %u, shared "
                    "%llu to %llu, read again %llu to %llu, fetched %llu",
                    is_large, without.started, with.started, without.in_aim,
                    with.in_aim, (unsigned long long)without.shared_tokens,
                    (unsigned long long)with.shared_tokens,
                    (unsigned long long)without.shared_read,
                    (unsigned long long)with.shared_read,
                    (unsigned long long)with.shared_fetched);
        cr_expect_gt(with.shared_fetched, 0);
        cr_expect_lt(with.shared_read, without.shared_read);
        cr_expect_geq(with.in_aim, without.in_aim);
        cr_expect_geq(with.in_time, without.in_time);
    }
}
