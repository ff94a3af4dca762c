/*
 * ORDER: the last endpoint of an old software version has left, the store has
 * discarded its history, and all gateways are killed. Clients take their
 * streams up again.
 */
#include "stream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The endpoints of the new version run for longer than that by then. */
#define CALM_MS 20000.0

/* False with TROUBLE=0: the disruption is left out. */
static bool has_trouble;

static const stream_plan plan = {.gateways = 7,
                                 .streams = 24,
                                 .events = 40,
                                 .event_ms = 150,
                                 .timeout_ms = 10000};

static stand_endpoint endpoints[] = {
    {.id = "i-0a00000001", .version = "v1"},
    {.id = "i-0b00000002", .version = "v2"},
    {.id = "i-0b00000003", .version = "v2"},
};

static void
restart_all(void)
{
    int i;

    stream_hold_retries(true);
    for (i = 0; i < plan.gateways; i++) {
        stand_kill_gateway(i);
    }
    stand_sleep(300);
    for (i = 0; i < plan.gateways; i++) {
        stand_start_gateway(i, plan.gateways);
    }
    for (i = 0; i < plan.gateways; i++) {
        stand_wait_ready(i, 5000);
    }
    stream_hold_retries(false);
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    int began_old, mixed;

    if (argc != 2) {
        return 2;
    }
    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    stand_open_record(argv[1]);
    stand_record("the disruption is %s (TROUBLE=%s)",
                 has_trouble ? "made" : "left out",
                 trouble != NULL ? trouble : "");
    stream_start(&plan, endpoints, 3);
    stand_sleep(CALM_MS);
    stream_start_clients(-1);
    stand_sleep(700);
    /* It leaves without a word, and serves on. */
    stand_withdraw_endpoint(&endpoints[0]);
    stand_sleep(500);
    if (has_trouble) {
        stand_discard_history();
        stand_sleep(300);
        restart_all();
    }
    stream_wait();
    mixed = stream_count_mixed(&began_old);
    if (began_old < 3) {
        stand_give_up("too few streams began at version v1");
    }
    stand_end_all();
    return mixed > 2;
}
