/*
 * What the gateway counts and decides of requests to endpoints in its own zone
 * and in another one. The stage's endpoints are in zone "z".
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define HEADERS "Lavenderproxy-Token-Counts: 800,100\r\n"

static stage_fixture stage;

static uint64_t
count_of(const tal_counter *counter, const char *labels)
{
    uint32_t row = map_find(&counter->by_labels, lv_hash_name(labels));

    return row != LV_HANDLE_NONE ? counter->series[row].count : 0;
}

/* Guards against traffic that is counted for another pair of zones, twice, or
 * though nothing was sent, and against an instance alone in its zone that
 * would not use endpoints of another one. */
Test(zone_traffic, requests_and_bytes_are_counted_by_pair_of_zones)
{
    static const struct {
        const char *zone;
        const char *labels;
        bool is_refusing;
        uint32_t count;
    } cases[] = {
        {"z", "own=\"z\",other=\"z\"", false, 1},
        {"y", "own=\"y\",other=\"z\"", false, 1},
        {"y", "own=\"y\",other=\"z\"", true, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        gate_server *gate = &stage.gate;
        stage_response answer;
        uint64_t bytes;

        stage_start(&stage, 1);
        lv_copy_name(gate->settings.zone, sizeof gate->settings.zone,
                     cases[i].zone);
        gate->zones.zone = lv_hash_name(cases[i].zone);
        gate->settings.admission.locality.crossing_cost = LV_SECOND;
        if (cases[i].is_refusing) {
            stage_refuse_connections(&stage.endpoints[0]);
        }
        stage_exchange(&stage, "/many/1", HEADERS, &answer);
        bytes = count_of(&gate->bytes_by_zone, cases[i].labels);
        cr_expect_eq(answer.status, cases[i].is_refusing ? 503 : 200,
                     "case %zu: %u", i, answer.status);
        cr_expect_eq(count_of(&gate->requests_by_zone, cases[i].labels),
                     cases[i].count, "case %zu", i);
        cr_expect_eq(bytes > strlen(HEADERS), cases[i].count > 0,
                     "case %zu: %llu", i, (unsigned long long)bytes);
        cr_expect_lt(bytes, 2000, "case %zu", i);
        cr_expect_eq(gate->requests_by_zone.series_count, cases[i].count);
        stage_stop(&stage);
    }
}
