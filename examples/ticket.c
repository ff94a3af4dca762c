/*
 * Embeds one part of liblavender: tickets that make a request safe to send
 * twice. The program brings the clock; the library decides.
 *
 *   cc ticket.c $(pkg-config --cflags --libs --static lavender) -o ticket
 */
#include <stdio.h>
#include <string.h>

#include "lavender/ticket.h"

#define BODY_HASH 42

static const char *const verdicts[] = {
    "run it",
    "wait for the one that runs",
    "give the same answer",
    "elsewhere",
    "its process is gone",
    "expired",
    "invalid",
    "another request",
};

static void
use(tkt_store *store, lv_time now, const char *ticket, lv_id account,
    lv_handle *handle)
{
    lv_id minter;
    tkt_verdict verdict =
        tkt_redeem(store, now, ticket, account, BODY_HASH, handle, &minter);

    printf("at %3lu s: %s\n", (unsigned long)(now / LV_SECOND),
           verdicts[verdict]);
}

int
main(void)
{
    tkt_settings settings = {
        .lifetime = 60 * LV_SECOND,
        .max_tickets = 100,
        .max_total_answer_size = 65536,
        .max_answer_size = 4096,
    };
    lv_id account = lv_hash_name("north");
    tkt_answer answer = {
        .outcome = {.kind = OUT_DONE},
        .status = 200,
        .body = "plot 7",
        .body_size = 6,
    };
    char ticket[TKT_TEXT_SIZE];
    lv_time now = LV_SECOND;
    lv_handle handle;
    tkt_store store;
    err_error error;

    memset(settings.key, 7, sizeof settings.key);
    if (!tkt_init(&store, &settings, lv_hash_name("r1"), 1, &error) ||
        !tkt_mint(&store, now, account, ticket, &error)) {
        fprintf(stderr, "ticket: %s; %s\n", error.message, error.remedy);
        return 1;
    }
    use(&store, now, ticket, account, &handle);
    use(&store, now + LV_SECOND, ticket, account, &handle);
    tkt_complete(&store, now + 2 * LV_SECOND, handle, &answer);
    use(&store, now + 3 * LV_SECOND, ticket, account, &handle);
    use(&store, now + 3 * LV_SECOND, ticket, lv_hash_name("south"), &handle);
    use(&store, now + 90 * LV_SECOND, ticket, account, &handle);
    tkt_finish(&store);
    return 0;
}
