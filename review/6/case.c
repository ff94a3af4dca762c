/*
 * ORDER: one gateway is cut off from the store, so that it does not learn of
 * the endpoints of a new software version. It is killed while it serves
 * streams; its clients take them up again at the other gateways.
 */
#include "stream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Single machines are cut off from the store for 12 s (node_cut). */
#define CUT_MS 12000.0

/* False with TROUBLE=0: the disruption is left out. */
static bool has_trouble;

static const stream_plan plan = {.gateways = 7,
                                 .streams = 24,
                                 .events = 20,
                                 .event_ms = 150,
                                 .timeout_ms = 8000};

static stand_endpoint old[] = {
    {.id = "i-0a00000001", .version = "v1"},
    {.id = "i-0a00000002", .version = "v1"},
};

static stand_endpoint new[] = {
    {.id = "i-0b00000003", .version = "v2"},
    {.id = "i-0b00000004", .version = "v2"},
};

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    double cut_at;
    int began_old, mixed, i;

    if (argc != 2) {
        return 2;
    }
    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    stand_open_record(argv[1]);
    stand_record("the disruption is %s (TROUBLE=%s)",
                 has_trouble ? "made" : "left out",
                 trouble != NULL ? trouble : "");
    stream_start(&plan, old, 2);
    stand_sleep(10000);
    cut_at = stand_now();
    if (has_trouble) {
        stand_set_store_mode(0, STORE_SILENT);
    }
    stand_sleep(200);
    for (i = 0; i < 2; i++) {
        stream_start_endpoint(&new[i]);
    }
    stand_sleep(cut_at + CUT_MS - 1000 - stand_now());
    stream_start_clients(0);
    stand_sleep(cut_at + CUT_MS - 100 - stand_now());
    if (has_trouble) {
        stand_kill_gateway(0);
        stand_set_store_mode(0, STORE_SERVES);
        stand_sleep(300);
        stand_start_gateway(0, plan.gateways);
    }
    stream_wait();
    mixed = stream_count_mixed(&began_old);
    if (began_old < 3) {
        stand_give_up("too few streams began at version v1");
    }
    stand_end_all();
    return mixed > 2;
}
