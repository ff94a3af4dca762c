#include <msgpack.h>
#include <string.h>

#include "peers-imp.h"

static bool
is_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Is it a list of numbers whose length is a multiple of `step`? */
static bool
is_number_list(const msgpack_object *object, uint32_t step)
{
    uint32_t i;

    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size % step != 0) {
        return false;
    }
    for (i = 0; i < object->via.array.size; i++) {
        if (!is_number(&object->via.array.ptr[i])) {
            return false;
        }
    }
    return true;
}

static bool
is_proper(const msgpack_object *root)
{
    const msgpack_object *fields;

    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < PEERS_FIELD_COUNT) {
        return false;
    }
    fields = root->via.array.ptr;
    return is_number(&fields[PEERS_FIELD_FORMAT]) &&
           fields[PEERS_FIELD_FORMAT].via.u64 == PEERS_FORMAT &&
           is_number(&fields[PEERS_FIELD_INCARNATION]) &&
           is_number(&fields[PEERS_FIELD_SEQUENCE]) &&
           is_number(&fields[PEERS_FIELD_KIND]) &&
           is_number(&fields[PEERS_FIELD_FLAGS]) &&
           is_number_list(&fields[PEERS_FIELD_LOADS], 4) &&
           is_number_list(&fields[PEERS_FIELD_ACCOUNTS], 3) &&
           is_number_list(&fields[PEERS_FIELD_USES], 2) &&
           is_number_list(&fields[PEERS_FIELD_ADDRESSES], 1) &&
           is_number_list(&fields[PEERS_FIELD_LEAVING], 2) &&
           is_number_list(&fields[PEERS_FIELD_SUMS], 3) &&
           is_number_list(&fields[PEERS_FIELD_SUMMARIES], 4) &&
           is_number_list(&fields[PEERS_FIELD_ASK], 1) &&
           is_number_list(&fields[PEERS_FIELD_ANSWER], 1);
}

/* Is the row the first of a peer's at this use of an endpoint's row? */
static bool
begin_load(const peers_state *peers, peers_load *load, lv_handle endpoint)
{
    uint32_t serial = eng_at(peers->endpoints, endpoint)->generation;

    if (load->serial == serial) {
        return false;
    }
    memset(&load->load, 0, sizeof load->load);
    load->serial = serial;
    return true;
}

/* A row that is seen for the first time is the base to count from, or has
 * all just happened. */
static void
take_load(peers_state *peers, peers_peer *peer, const msgpack_object *values,
          bool is_base, lv_time now)
{
    lv_id id = values[0].via.u64;
    lv_handle endpoint = eng_find(peers->endpoints, id);
    eng_load after = {.in_flight = (uint32_t)values[1].via.u64,
                      .prefill_total = (uint32_t)values[2].via.u64,
                      .kv_tokens = (uint32_t)values[3].via.u64};
    peers_load *load;

    if (endpoint == LV_HANDLE_NONE) {
        return; /* not published here yet; a full datagram follows */
    }
    load = peers_load_row(&peer->loads, id);
    if (load == NULL) {
        return;
    }
    if (begin_load(peers, load, endpoint)) {
        load->load.prefill_total = is_base ? after.prefill_total : 0;
    }
    /* It may not know yet what we, as its keeper, have just granted it. */
    if ((int32_t)(after.prefill_total - load->load.prefill_total) < 0) {
        after.prefill_total = load->load.prefill_total;
    }
    eng_apply_peer_load(peers->endpoints, endpoint, &load->load, &after, now);
    load->load = after;
    load->heard_at = now;
}

/* In a large fleet the account had another keeper in the meantime, and the
 * difference is of long ago. */
static bool
is_old(const peers_state *peers, lv_time heard_at, lv_time now)
{
    return peers_is_large_fleet(peers) && heard_at != 0 &&
           lv_elapsed(now, heard_at) >= PEERS_ROW_LIFE;
}

static void
take_account(peers_state *peers, peers_peer *peer,
             const msgpack_object *values, bool is_base, lv_time now)
{
    lv_id id = values[0].via.u64;
    shr_totals after = {.requested = (uint32_t)values[1].via.u64,
                        .served = (uint32_t)values[2].via.u64};
    lv_handle account = shr_find_or_add(peers->shares, id);
    bool is_new;
    peers_account *row = peers_account_row(&peer->accounts, id, &is_new);
    shr_totals added;

    if (row == NULL || account == LV_HANDLE_NONE) {
        return;
    }
    if (is_old(peers, row->heard_at, now)) {
        is_new = true;
    }
    row->heard_at = now;
    if (!is_new || !is_base) {
        added.requested = after.requested - row->totals.requested;
        added.served = after.served - row->totals.served;
        shr_add_peer(peers->shares, account, &added, now);
    }
    row->totals = after;
}

static void
take_use(peers_state *peers, const msgpack_object *values)
{
    lv_handle endpoint = eng_find(peers->endpoints, values[0].via.u64);

    if (endpoint != LV_HANDLE_NONE) {
        eng_touch_block(peers->endpoints, endpoint, values[1].via.u64);
    }
}

static void
take_addresses(peers_state *peers, const msgpack_object_array *addresses)
{
    uint32_t i;

    for (i = 0; i < addresses->size; i++) {
        struct sockaddr_in address;

        peers_unpack_address(addresses->ptr[i].via.u64, &address);
        peers_add(peers, &address); /* may move the table */
    }
}

static void
take_sums(peers_state *peers, const msgpack_object_array *sums, lv_time now)
{
    uint32_t i;

    for (i = 0; i < sums->size; i += 3) {
        lv_id id = sums->ptr[i].via.u64;
        lv_handle account = shr_find_or_add(peers->shares, id);
        shr_totals told = {.requested = (uint32_t)sums->ptr[i + 1].via.u64,
                           .served = (uint32_t)sums->ptr[i + 2].via.u64};

        if (account != LV_HANDLE_NONE && !peers_is_coordinator(peers, id)) {
            shr_apply_summary(peers->shares, account, &told, now);
        }
    }
}

static void
take_summaries(peers_state *peers, const msgpack_object_array *summaries,
               lv_time now)
{
    uint32_t i;

    for (i = 0; i < summaries->size; i += 4) {
        const msgpack_object *values = summaries->ptr + i;
        lv_id id = values[0].via.u64;
        lv_handle row = eng_find(peers->endpoints, id);
        eng_summary summary = {.in_flight = (uint32_t)values[1].via.u64,
                               .kv_tokens = (uint32_t)values[2].via.u64,
                               .wait = values[3].via.u64};

        if (row != LV_HANDLE_NONE && !peers_is_coordinator(peers, id)) {
            eng_apply_summary(peers->endpoints, row, &summary, now);
        }
    }
}

static void
take_state(peers_state *peers, const msgpack_object *fields, lv_time now)
{
    take_sums(peers, &fields[PEERS_FIELD_SUMS].via.array, now);
    take_summaries(peers, &fields[PEERS_FIELD_SUMMARIES].via.array, now);
}

/* As the keeper: the request counts from now on, before its sender tells. */
static void
take_ask(peers_state *peers, uint32_t place,
         const msgpack_object_array *values, lv_time now)
{
    peers_peer *peer = &peers->peers[place];
    peers_start_reply answer;
    peers_start_request ask;
    lv_handle endpoint;
    peers_load *load;
    buf_buffer datagram;

    if (!peers_read_ask(values, &ask) || peers->on_start_request == NULL) {
        return;
    }
    endpoint = eng_find(peers->endpoints, ask.endpoint);
    if (endpoint == LV_HANDLE_NONE) {
        return; /* not published here yet; the asker decides itself */
    }
    memset(&answer, 0, sizeof answer);
    answer.number = ask.number;
    answer.endpoint = ask.endpoint;
    peers->on_start_request(peers->owner, endpoint, &ask, &answer);
    load = peers_load_row(&peer->loads, ask.endpoint);
    if (answer.is_granted && load != NULL) {
        (void)begin_load(peers, load, endpoint);
        eng_start_peer_request(peers->endpoints, endpoint, &ask.prompt,
                               answer.uncached_tokens, &load->load, now);
        load->heard_at = now;
    }
    peers->counts.starts_granted += answer.is_granted;
    peers->counts.starts_denied += !answer.is_granted;
    buf_init(&datagram);
    peers_write_answer(peers, &answer, &datagram);
    if (!datagram.has_failed) {
        peers_send(peers, &datagram, &peer->address);
    }
    buf_finish(&datagram);
}

static void
take_answer(peers_state *peers, const msgpack_object_array *values,
            lv_time now)
{
    peers_start_reply answer;
    lv_handle endpoint;

    if (!peers_read_answer(values, &answer) || peers->on_start_reply == NULL) {
        return;
    }
    endpoint = eng_find(peers->endpoints, answer.endpoint);
    if (endpoint != LV_HANDLE_NONE) {
        eng_apply_summary(peers->endpoints, endpoint, &answer.summary, now);
    }
    peers->on_start_reply(peers->owner, &answer);
}

static void
take_call(peers_state *peers, uint32_t place, const msgpack_object *fields,
          lv_time now)
{
    const msgpack_object_array *ask = &fields[PEERS_FIELD_ASK].via.array;
    const msgpack_object_array *answer = &fields[PEERS_FIELD_ANSWER].via.array;

    if (ask->size > 0) {
        take_ask(peers, place, ask, now);
    }
    if (answer->size > 0) {
        take_answer(peers, answer, now);
    }
}

static void
take_lists(peers_state *peers, uint32_t place, const msgpack_object *fields,
           lv_time now)
{
    const msgpack_object_array *leaving =
        &fields[PEERS_FIELD_LEAVING].via.array;
    const msgpack_object_array *loads = &fields[PEERS_FIELD_LOADS].via.array;
    const msgpack_object_array *accounts =
        &fields[PEERS_FIELD_ACCOUNTS].via.array;
    const msgpack_object_array *uses = &fields[PEERS_FIELD_USES].via.array;
    const msgpack_object_array *addresses =
        &fields[PEERS_FIELD_ADDRESSES].via.array;
    /* Totals are of long ago unless everything was told before. */
    bool is_base = !peers->peers[place].has_told_all ||
                   fields[PEERS_FIELD_KIND].via.u64 == PEERS_FULL;
    uint32_t i;

    if (fields[PEERS_FIELD_KIND].via.u64 == PEERS_CALL) {
        take_call(peers, place, fields, now);
        return;
    }
    take_state(peers, fields, now);
    for (i = 0; i < loads->size; i += 4) {
        take_load(peers, &peers->peers[place], loads->ptr + i, is_base, now);
    }
    for (i = 0; i < accounts->size; i += 3) {
        take_account(peers, &peers->peers[place], accounts->ptr + i, is_base,
                     now);
    }
    for (i = 0; i < uses->size; i += 2) {
        take_use(peers, uses->ptr + i);
    }
    for (i = 0; i < leaving->size && peers->on_unlisted != NULL; i += 2) {
        peers->on_unlisted(peers->owner, leaving->ptr[i].via.u64,
                           leaving->ptr[i + 1].via.u64);
    }
    take_addresses(peers, addresses);
}

static void
note_live(peers_state *peers, peers_peer *peer)
{
    if (peer->is_live) {
        return;
    }
    peer->is_live = true;
    peers->joined_at = peer->heard_at;
    peers->live_count++;
    if (peers->live_count > peers->max_live_count) {
        peers->max_live_count = peers->live_count;
    }
    peers->full_at = 0; /* it knows nothing of us yet */
}

static bool
take_fields(peers_state *peers, const struct sockaddr_in *from,
            const msgpack_object *fields, lv_time now)
{
    uint64_t incarnation = fields[PEERS_FIELD_INCARNATION].via.u64;
    uint32_t sequence = (uint32_t)fields[PEERS_FIELD_SEQUENCE].via.u64;
    uint64_t flags;
    bool is_call = fields[PEERS_FIELD_KIND].via.u64 == PEERS_CALL;
    peers_peer *peer = peers_add(peers, from);
    uint32_t place;

    if (peer == NULL || incarnation == peers->incarnation) {
        return false;
    }
    if (peer->incarnation != incarnation) {
        peers_withdraw(peers, peer, now);
        peer->incarnation = incarnation;
        peer->has_told_all = false;
    }
    else if (!is_call && (int32_t)(sequence - peer->sequence) <= 0) {
        return false;
    }
    if (!is_call) { /* calls are no totals: their order is no matter */
        peer->sequence = sequence;
    }
    flags = fields[PEERS_FIELD_FLAGS].via.u64;
    peer->reads_store = (flags & PEERS_FLAG_READS_STORE) != 0;
    peer->can_keep = (flags & PEERS_FLAG_CAN_KEEP) != 0;
    peer->heard_at = now;
    note_live(peers, peer);
    place = (uint32_t)(peer - peers->peers);
    take_lists(peers, place, fields, now);
    if (fields[PEERS_FIELD_KIND].via.u64 == PEERS_FULL) {
        peers->peers[place].has_told_all = true;
    }
    return true;
}

/* The size of an unsigned number by its first byte; 0 if it is none. */
static size_t
number_size(unsigned char first)
{
    if (first < 0x80) {
        return 1;
    }
    return first >= 0xcc && first <= 0xcf ? 1 + ((size_t)1 << (first - 0xcc))
                                          : 0;
}

/* The length of a list by its first bytes, and their size; 0 if it is none. */
static size_t
list_size(const unsigned char *data, size_t size, size_t *length)
{
    if ((data[0] & 0xf0) == 0x90) {
        *length = data[0] & 0x0f;
        return 1;
    }
    if (data[0] == 0xdc && size >= 3) {
        *length = (size_t)data[1] << 8 | data[2];
        return 3;
    }
    return 0;
}

/* Peers send numbers and lists of them alone. The decoder takes room for as
 * many values as a list announces, so a list must not announce more than the
 * datagram has bytes for. */
static bool
has_only_numbers(const char *data, size_t size)
{
    const unsigned char *at = (const unsigned char *)data;

    while (size > 0) {
        size_t length = 0;
        size_t used = number_size(at[0]);

        if (used == 0) {
            used = list_size(at, size, &length);
        }
        if (used == 0 || used + length > size) {
            return false;
        }
        at += used;
        size -= used;
    }
    return true;
}

bool
peers_take(peers_state *peers, const struct sockaddr_in *from,
           const char *data, size_t size, lv_time now)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    bool is_taken = false;

    msgpack_unpacked_init(&unpacked);
    if (has_only_numbers(data, size) &&
        msgpack_unpack_next(&unpacked, data, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        is_proper(&unpacked.data)) {
        is_taken = take_fields(peers, from, unpacked.data.via.array.ptr, now);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (!is_taken) {
        peers->counts.rejected++;
    }
    return is_taken;
}
