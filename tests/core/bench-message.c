/*
 * Bytes and work of peer messages: encodes and decodes a full REPORT, a
 * REPORT of progress and a GRANT of so many items, so many times.
 *
 *   bench-message ITEMS ROUNDS
 *
 * Run it under callgrind with two numbers of rounds for the instructions of
 * one round.
 */
#include <stdio.h>
#include <stdlib.h>

#include "lavender/message.h"

#define ITEMS_MAX MSG_ITEMS_MAX

/* Identities and counters as large as in a running fleet. */
#define SOME_ID 0x9e3779b97f4a7c15u
#define SOME_TOTAL 5000000
#define SOME_TIME 3600000000u

static msg_lease held[ITEMS_MAX];
static msg_demand demands[ITEMS_MAX];
static msg_service services[ITEMS_MAX];
static msg_service changes[ITEMS_MAX];
static msg_level levels[ITEMS_MAX];
static msg_grant grants[ITEMS_MAX];

static void
fill(void)
{
    for (uint32_t i = 0; i < ITEMS_MAX; i++) {
        lv_id id = SOME_ID * (i + 1);

        held[i] = (msg_lease){id, id, id, true, CAT_DEFERRABLE};
        demands[i] = (msg_demand){id, {0, 12}, {0, SOME_TIME / 100}, i};
        services[i] = (msg_service){id, SOME_TOTAL, SOME_TOTAL, SOME_TOTAL};
        changes[i] = (msg_service){.account = id, .total = SOME_TOTAL};
        levels[i] = (msg_level){id, SOME_TOTAL, 0};
        grants[i] = (msg_grant){id, id, id};
    }
}

static msg_message
start(msg_kind kind)
{
    msg_message message = {
        .kind = kind,
        .version = MSG_VERSION,
        .sender = SOME_ID,
        .incarnation = SOME_ID / 2,
        .target_incarnation = SOME_ID / 3,
        .sequence = SOME_TOTAL,
        .tenure = 3,
        .pool = SOME_ID,
        .seen = SOME_TOTAL,
    };

    return message;
}

static size_t
pass(const msg_message *message, msg_buffer *buffer)
{
    msg_message out;
    char *bytes = NULL;
    size_t size = 0;

    if (!msg_encode(message, &bytes, &size, NULL) ||
        !msg_decode(bytes, size, &out, buffer, NULL)) {
        fprintf(stderr, "bench-message: a message does not pass\n");
        exit(1);
    }
    free(bytes);
    return size;
}

int
main(int argc, char **argv)
{
    uint32_t items = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
    uint32_t rounds = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
    msg_message full = start(MSG_REPORT);
    msg_message progress = start(MSG_REPORT);
    msg_message grant = start(MSG_GRANT);
    size_t sizes[3] = {0};
    msg_buffer buffer;

    if (items > ITEMS_MAX) {
        fprintf(stderr, "bench-message: at most %u items\n", ITEMS_MAX);
        return 2;
    }
    fill();
    msg_buffer_init(&buffer);
    full.is_full = true;
    full.sent = SOME_TIME;
    full.held = held;
    full.held_count = items;
    full.demands = demands;
    full.demand_count = items;
    full.services = services;
    full.service_count = items;
    progress.is_progress = true;
    progress.services = changes;
    progress.service_count = items;
    grant.echo = SOME_TIME;
    grant.ttl = SOME_TIME / 1000;
    grant.levels = levels;
    grant.level_count = items;
    grant.grants = grants;
    grant.grant_count = 1;
    for (uint32_t i = 0; i < rounds; i++) {
        sizes[0] = pass(&full, &buffer);
        sizes[1] = pass(&progress, &buffer);
        sizes[2] = pass(&grant, &buffer);
    }
    printf("%u items: full report %zu, progress %zu, grant %zu bytes\n", items,
           sizes[0], sizes[1], sizes[2]);
    msg_buffer_finish(&buffer);
    return 0;
}
