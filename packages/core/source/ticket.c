#include "lavender/ticket.h"

#include <stdlib.h>
#include <string.h>

#include "ticket-imp.h"

#define NONE LV_HANDLE_NONE

static bool
check_settings(const tkt_settings *settings, err_error *error)
{
    if (settings->lifetime == 0 || settings->max_tickets == 0 ||
        settings->max_tickets == NONE) {
        return err_set(
            error, ERR_BAD_VALUE, "give tickets a lifetime and a bound over 0",
            "the lifetime of tickets is %llu us, their bound %u",
            (unsigned long long)settings->lifetime, settings->max_tickets);
    }
    return true;
}

bool
tkt_init(tkt_store *store, const tkt_settings *settings, lv_id self,
         uint64_t incarnation, err_error *error)
{
    *store = (tkt_store){0};
    if (!check_settings(settings, error)) {
        return false;
    }
    store->settings = *settings;
    store->self = self;
    store->incarnation = incarnation;
    store->next_serial = 1;
    store->oldest = NONE;
    store->newest = NONE;
    store->records = calloc(settings->max_tickets, sizeof *store->records);
    if (store->records == NULL) {
        return err_set(error, ERR_MEMORY, "remember fewer tickets",
                       "no memory for %u tickets", settings->max_tickets);
    }
    for (uint32_t i = 0; i < settings->max_tickets; i++) {
        store->records[i].next = i + 1 < settings->max_tickets ? i + 1 : NONE;
    }
    return true;
}

void
tkt_finish(tkt_store *store)
{
    for (uint32_t i = 0;
         store->records != NULL && i < store->settings.max_tickets; i++) {
        free((char *)store->records[i].answer.body);
    }
    free(store->records);
    map_finish(&store->record_by_serial);
    map_finish(&store->account_counts);
    *store = (tkt_store){0};
}

static uint32_t
count_of(const tkt_store *store, lv_id account)
{
    uint32_t count = map_find(&store->account_counts, account);

    return count == NONE ? 0 : count;
}

static bool
has_room(const tkt_store *store, lv_id account)
{
    uint32_t max = store->settings.max_tickets;
    uint32_t left = max - store->count;

    return left > 0 && (left > max / 4 || count_of(store, account) < left);
}

static bool
add_record(tkt_store *store, lv_time now, lv_id account, uint64_t serial)
{
    uint32_t index = store->first_free;
    tkt_record *record = &store->records[index];

    if (!map_set(&store->record_by_serial, serial, index)) {
        return false;
    }
    if (!map_set(&store->account_counts, account,
                 count_of(store, account) + 1)) {
        map_remove(&store->record_by_serial, serial);
        return false;
    }
    store->first_free = record->next;
    *record = (tkt_record){.is_minted = true,
                           .serial = serial,
                           .account = account,
                           .expires = now + store->settings.lifetime,
                           .next = NONE,
                           .previous = store->newest};
    if (store->newest != NONE) {
        store->records[store->newest].next = index;
    }
    else {
        store->oldest = index;
    }
    store->newest = index;
    store->count++;
    return true;
}

bool
tkt_mint(tkt_store *store, lv_time now, lv_id account, char *text,
         err_error *error)
{
    tkt_claims claims = {store->self, store->incarnation, account,
                         store->next_serial, store->settings.lifetime};

    tkt_remove_expired(store, now);
    if (!has_room(store, account)) {
        return err_set(error, ERR_LIMIT,
                       "use the tickets that were minted, or come back when "
                       "some have expired",
                       "%u of %u tickets are in use, %u by this account",
                       store->count, store->settings.max_tickets,
                       count_of(store, account));
    }
    if (!tkt_write_text(store->settings.key, &claims, text)) {
        return err_set(error, ERR_SYSTEM, "check the OpenSSL library",
                       "a ticket could not be signed");
    }
    if (!add_record(store, now, account, store->next_serial)) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "no memory for a ticket");
    }
    store->next_serial++;
    return true;
}

static tkt_verdict
use_record(tkt_record *record, uint64_t body_hash)
{
    if (record->has_body_hash && record->body_hash != body_hash) {
        return TKT_MISMATCH;
    }
    record->has_body_hash = true;
    record->body_hash = body_hash;
    switch (record->state) {
    case TKT_RUNNING:
        return TKT_JOIN;
    case TKT_ENDED:
        return TKT_REPLAY;
    default:
        record->state = TKT_RUNNING;
        return TKT_RUN;
    }
}

tkt_verdict
tkt_redeem(tkt_store *store, lv_time now, const char *text, lv_id account,
           uint64_t body_hash, lv_handle *handle, lv_id *minter)
{
    tkt_claims claims;
    tkt_record *record;
    uint32_t index;

    if (!tkt_read_text(store->settings.key, text, &claims) ||
        claims.account != account) {
        return TKT_INVALID;
    }
    *minter = claims.minter;
    if (claims.minter != store->self) {
        return TKT_RELAY;
    }
    if (claims.incarnation != store->incarnation) {
        return TKT_MINTER_RESTARTED;
    }
    index = claims.serial == 0
                ? NONE
                : map_find(&store->record_by_serial, claims.serial);
    if (index == NONE) {
        return claims.serial < store->next_serial ? TKT_EXPIRED : TKT_INVALID;
    }
    record = &store->records[index];
    if (record->account != account) {
        return TKT_INVALID;
    }
    if (record->expires <= now) {
        return TKT_EXPIRED;
    }
    *handle = index;
    return use_record(record, body_hash);
}

static tkt_record *
find_running(tkt_store *store, lv_handle handle)
{
    tkt_record *record;

    if (handle >= store->settings.max_tickets) {
        return NULL;
    }
    record = &store->records[handle];
    return record->is_minted && record->state == TKT_RUNNING ? record : NULL;
}

void
tkt_release(tkt_store *store, lv_handle handle)
{
    tkt_record *record = find_running(store, handle);

    if (record != NULL) {
        record->state = TKT_UNUSED;
    }
}

static void
keep_body(tkt_store *store, tkt_record *record, const tkt_answer *answer)
{
    char *copy = NULL;

    record->answer.body = NULL;
    record->answer.body_size = 0;
    if (answer->body_size == 0) {
        return;
    }
    if (answer->body_size <= store->settings.max_answer_size &&
        answer->body_size <=
            store->settings.max_total_answer_size - store->answer_bytes) {
        copy = malloc(answer->body_size);
    }
    if (copy == NULL) {
        record->answer.is_truncated = true;
        return;
    }
    memcpy(copy, answer->body, answer->body_size);
    record->answer.body = copy;
    record->answer.body_size = answer->body_size;
    store->answer_bytes += answer->body_size;
}

void
tkt_complete(tkt_store *store, lv_time now, lv_handle handle,
             const tkt_answer *answer)
{
    tkt_record *record = find_running(store, handle);

    (void)now;
    if (record == NULL) {
        return;
    }
    if (answer->outcome.kind == OUT_NOT_RUN) {
        tkt_release(store, handle);
        return;
    }
    record->state = TKT_ENDED;
    record->answer = *answer;
    keep_body(store, record, answer);
}

bool
tkt_read_answer(const tkt_store *store, lv_handle handle, tkt_answer *answer)
{
    const tkt_record *record;

    if (handle >= store->settings.max_tickets) {
        return false;
    }
    record = &store->records[handle];
    if (!record->is_minted || record->state != TKT_ENDED) {
        return false;
    }
    *answer = record->answer;
    return true;
}

static void
forget(tkt_store *store, uint32_t index)
{
    tkt_record *record = &store->records[index];
    uint32_t count = count_of(store, record->account);

    if (record->previous != NONE) {
        store->records[record->previous].next = record->next;
    }
    else {
        store->oldest = record->next;
    }
    if (record->next != NONE) {
        store->records[record->next].previous = record->previous;
    }
    else {
        store->newest = record->previous;
    }
    map_remove(&store->record_by_serial, record->serial);
    if (count <= 1) {
        map_remove(&store->account_counts, record->account);
    }
    else {
        (void)map_set(&store->account_counts, record->account, count - 1);
    }
    store->answer_bytes -= record->answer.body_size;
    free((char *)record->answer.body);
    *record = (tkt_record){.next = store->first_free};
    store->first_free = index;
    store->count--;
}

void
tkt_remove_expired(tkt_store *store, lv_time now)
{
    uint32_t index = store->oldest;

    while (index != NONE && store->records[index].expires <= now) {
        uint32_t next = store->records[index].next;

        if (store->records[index].state != TKT_RUNNING) {
            forget(store, index);
        }
        index = next;
    }
}
