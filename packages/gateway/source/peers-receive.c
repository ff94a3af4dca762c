#include <msgpack.h>
#include <string.h>

#include "peers-imp.h"

static bool
is_number(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

bool
peers_is_number_list(const msgpack_object *object, uint32_t stride)
{
    uint32_t i;

    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size % stride != 0) {
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
is_valid_datagram(const msgpack_object *root)
{
    const msgpack_object *fields;

    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < PEERS_FIELD_COUNT) {
        return false;
    }
    fields = root->via.array.ptr;
    return is_number(&fields[PEERS_FIELD_FORMAT_VERSION]) &&
           fields[PEERS_FIELD_FORMAT_VERSION].via.u64 ==
               PEERS_FORMAT_VERSION &&
           is_number(&fields[PEERS_FIELD_INCARNATION]) &&
           is_number(&fields[PEERS_FIELD_SEQUENCE]) &&
           is_number(&fields[PEERS_FIELD_KIND]) &&
           is_number(&fields[PEERS_FIELD_FLAGS]) &&
           is_number(&fields[PEERS_FIELD_STORE_ERA]) &&
           is_number(&fields[PEERS_FIELD_ZONE]) &&
           is_number(&fields[PEERS_FIELD_CONFIG_VERSION]) &&
           is_number(&fields[PEERS_FIELD_LIST_AGE]) &&
           peers_is_number_list(&fields[PEERS_FIELD_CHANGES],
                                PEERS_SUBJECTS) &&
           fields[PEERS_FIELD_CHANGES].via.array.size == PEERS_SUBJECTS &&
           peers_is_number_list(&fields[PEERS_FIELD_LOADS], 4) &&
           peers_is_number_list(&fields[PEERS_FIELD_ACCOUNTS], 3) &&
           peers_is_number_list(&fields[PEERS_FIELD_BLOCK_USES], 2) &&
           peers_is_number_list(&fields[PEERS_FIELD_ADDRESSES], 1) &&
           peers_is_number_list(&fields[PEERS_FIELD_UNLISTED], 3) &&
           peers_is_number_list(&fields[PEERS_FIELD_ACCOUNT_SUMS], 3) &&
           peers_is_number_list(&fields[PEERS_FIELD_ENDPOINT_SUMMARIES], 4) &&
           peers_is_number_list(&fields[PEERS_FIELD_START_REQUEST], 1) &&
           peers_is_number_list(&fields[PEERS_FIELD_START_REPLY], 1) &&
           peers_are_report_lists(&fields[PEERS_FIELD_QUARANTINES]) &&
           peers_is_number_list(&fields[PEERS_FIELD_ORIGINS], 2) &&
           peers_is_endpoint_state(&fields[PEERS_FIELD_EVACUATIONS]);
}

/* Resets a peer's load when the endpoint's row was reused since. Returns
 * whether it was, or whether the load is new. */
static bool
begin_generation(const peers_state *peers, peers_load *load,
                 lv_handle endpoint)
{
    uint32_t generation = eng_at(peers->endpoints, endpoint)->generation;

    if (load->generation == generation) {
        return false;
    }
    memset(&load->load, 0, sizeof load->load);
    load->generation = generation;
    return true;
}

/* Applies a peer's load at one endpoint. The first load of a peer is the
 * baseline to count from, or, unless `is_baseline`, counts in full. */
static void
apply_load(peers_state *peers, peers_peer *peer, const msgpack_object *values,
           bool is_baseline, lv_time now)
{
    lv_id id = values[0].via.u64;
    lv_handle endpoint = eng_find(peers->endpoints, id);
    eng_load after = {.in_flight = (uint32_t)values[1].via.u64,
                      .prefill_total = (uint32_t)values[2].via.u64,
                      .kv_tokens = (uint32_t)values[3].via.u64};
    peers_load *load;

    if (endpoint == LV_HANDLE_NONE) {
        return; /* not published here yet; a full report follows */
    }
    load = peers_find_or_add_load(&peer->loads, id);
    if (load == NULL) {
        return;
    }
    if (begin_generation(peers, load, endpoint)) {
        load->load.prefill_total = is_baseline ? after.prefill_total : 0;
    }
    after.speed = load->load.speed; /* peers_apply_speeds changes it */
    /* The datagram may predate a grant that this coordinator just gave. */
    if ((int32_t)(after.prefill_total - load->load.prefill_total) < 0) {
        after.prefill_total = load->load.prefill_total;
    }
    eng_apply_peer_load(peers->endpoints, endpoint, &load->load, &after, now);
    load->load = after;
    load->received_at = now;
}

/* Is a row so old that its account had another coordinator since? Totals that
 * arrive now are then a new baseline, because their difference to the row is
 * out of date. Only in a large fleet. */
static bool
is_expired(const peers_state *peers, lv_time received_at, lv_time now)
{
    return peers_is_large_fleet(peers) && received_at != 0 &&
           lv_elapsed(now, received_at) >= PEERS_ROW_EXPIRY;
}

static void
apply_account(peers_state *peers, peers_peer *peer,
              const msgpack_object *values, bool is_baseline, lv_time now)
{
    lv_id id = values[0].via.u64;
    shr_totals after = {.requested = (uint32_t)values[1].via.u64,
                        .served = (uint32_t)values[2].via.u64};
    lv_handle account = shr_find_or_add(peers->shares, id);
    bool is_new;
    peers_account *row =
        peers_find_or_add_account(&peer->accounts, id, &is_new);
    shr_totals added;

    if (row == NULL || account == LV_HANDLE_NONE) {
        return;
    }
    if (is_expired(peers, row->received_at, now)) {
        is_new = true;
    }
    row->received_at = now;
    if (!is_new || !is_baseline) {
        added.requested = after.requested - row->totals.requested;
        added.served = after.served - row->totals.served;
        shr_add_peer(peers->shares, account, &added, now);
    }
    row->totals = after;
}

static void
apply_block_use(peers_state *peers, const msgpack_object *values)
{
    lv_handle endpoint = eng_find(peers->endpoints, values[0].via.u64);

    if (endpoint != LV_HANDLE_NONE) {
        eng_touch_block(peers->endpoints, endpoint, values[1].via.u64);
    }
}

static void
add_addresses(peers_state *peers, const msgpack_object_array *addresses)
{
    uint32_t i;

    for (i = 0; i < addresses->size; i++) {
        struct sockaddr_in address;

        peers_unpack_address(addresses->ptr[i].via.u64, &address);
        peers_add(peers, &address); /* may move the table of peers */
    }
}

static void
apply_account_sums(peers_state *peers, const msgpack_object_array *sums,
                   lv_time now)
{
    uint32_t i;

    for (i = 0; i < sums->size; i += 3) {
        lv_id id = sums->ptr[i].via.u64;
        lv_handle account = shr_find_or_add(peers->shares, id);
        shr_totals reported = {.requested = (uint32_t)sums->ptr[i + 1].via.u64,
                               .served = (uint32_t)sums->ptr[i + 2].via.u64};

        if (account != LV_HANDLE_NONE && !peers_is_coordinator(peers, id)) {
            shr_apply_summary(peers->shares, account, &reported, now);
        }
    }
}

static void
apply_endpoint_summaries(peers_state *peers,
                         const msgpack_object_array *summaries, lv_time now)
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
apply_sums(peers_state *peers, const msgpack_object *fields, lv_time now)
{
    apply_account_sums(peers, &fields[PEERS_FIELD_ACCOUNT_SUMS].via.array,
                       now);
    apply_endpoint_summaries(
        peers, &fields[PEERS_FIELD_ENDPOINT_SUMMARIES].via.array, now);
}

/* Answers a start request as the coordinator. A granted request counts as in
 * flight at once, before its sender reports it. */
static void
handle_start_request(peers_state *peers, uint32_t index,
                     const msgpack_object_array *values, lv_time now)
{
    peers_peer *peer = &peers->peers[index];
    peers_start_reply reply;
    peers_start_request request;
    lv_handle endpoint;
    peers_load *load;
    buf_buffer datagram;

    if (!peers_read_start_request(values, &request) ||
        peers->on_start_request == NULL) {
        return;
    }
    endpoint = eng_find(peers->endpoints, request.endpoint);
    if (endpoint == LV_HANDLE_NONE) {
        return; /* not published here yet; the sender times out and decides */
    }
    request.sender = peer->incarnation;
    memset(&reply, 0, sizeof reply);
    reply.number = request.number;
    reply.endpoint = request.endpoint;
    peers->on_start_request(peers->owner, endpoint, &request, &reply);
    load = peers_find_or_add_load(&peer->loads, request.endpoint);
    if (reply.is_granted && load != NULL) {
        (void)begin_generation(peers, load, endpoint);
        eng_start_peer_request(peers->endpoints, endpoint, &request.prompt,
                               reply.uncached_tokens, &load->load, now);
        load->received_at = now;
    }
    peers->counts.starts_granted += reply.is_granted;
    peers->counts.starts_denied += !reply.is_granted;
    buf_init(&datagram);
    peers_write_start_reply(peers, &reply, &datagram);
    if (!datagram.has_failed) {
        peers_send_datagram(peers, &datagram, &peer->address);
    }
    buf_finish(&datagram);
}

static void
handle_start_reply(peers_state *peers, const msgpack_object_array *values,
                   lv_time now)
{
    peers_start_reply reply;
    lv_handle endpoint;

    if (!peers_read_start_reply(values, &reply) ||
        peers->on_start_reply == NULL) {
        return;
    }
    endpoint = eng_find(peers->endpoints, reply.endpoint);
    if (endpoint != LV_HANDLE_NONE) {
        eng_apply_summary(peers->endpoints, endpoint, &reply.summary, now);
    }
    peers->on_start_reply(peers->owner, &reply);
}

static void
handle_start(peers_state *peers, uint32_t index, const msgpack_object *fields,
             lv_time now)
{
    const msgpack_object_array *request =
        &fields[PEERS_FIELD_START_REQUEST].via.array;
    const msgpack_object_array *reply =
        &fields[PEERS_FIELD_START_REPLY].via.array;

    if (request->size > 0) {
        handle_start_request(peers, index, request, now);
    }
    if (reply->size > 0) {
        handle_start_reply(peers, reply, now);
    }
    peers_apply_origins(peers, &peers->peers[index],
                        &fields[PEERS_FIELD_ORIGINS].via.array);
}

static void
apply_lists(peers_state *peers, uint32_t index, const msgpack_object *fields,
            lv_time now)
{
    const msgpack_object_array *unlisted =
        &fields[PEERS_FIELD_UNLISTED].via.array;
    const msgpack_object_array *loads = &fields[PEERS_FIELD_LOADS].via.array;
    const msgpack_object_array *accounts =
        &fields[PEERS_FIELD_ACCOUNTS].via.array;
    const msgpack_object_array *uses =
        &fields[PEERS_FIELD_BLOCK_USES].via.array;
    const msgpack_object_array *addresses =
        &fields[PEERS_FIELD_ADDRESSES].via.array;
    /* Without an earlier full report, the totals may be of any age. */
    bool is_baseline = !peers->peers[index].has_reported_all ||
                       fields[PEERS_FIELD_KIND].via.u64 == PEERS_FULL;
    uint32_t i;

    if (fields[PEERS_FIELD_KIND].via.u64 == PEERS_START) {
        handle_start(peers, index, fields, now);
        return;
    }
    apply_sums(peers, fields, now);
    for (i = 0; i < loads->size; i += 4) {
        apply_load(peers, &peers->peers[index], loads->ptr + i, is_baseline,
                   now);
    }
    for (i = 0; i < accounts->size; i += 3) {
        apply_account(peers, &peers->peers[index], accounts->ptr + i,
                      is_baseline, now);
    }
    for (i = 0; i < uses->size; i += 2) {
        apply_block_use(peers, uses->ptr + i);
    }
    for (i = 0; i < unlisted->size && peers->on_unlisted != NULL; i += 3) {
        peers->on_unlisted(peers->owner, unlisted->ptr[i].via.u64,
                           unlisted->ptr[i + 1].via.u64,
                           unlisted->ptr[i + 2].via.u64);
    }
    peers_apply_reports(peers, peers->peers[index].incarnation,
                        &fields[PEERS_FIELD_QUARANTINES], now);
    peers_apply_endpoint_state(peers, &peers->peers[index],
                               &fields[PEERS_FIELD_EVACUATIONS], now);
    add_addresses(peers, addresses);
}

static void
mark_live(peers_state *peers, peers_peer *peer)
{
    if (peer->is_live) {
        return;
    }
    peer->is_live = true;
    peers->last_join_at = peer->received_at;
    peers->live_count++;
    if (peers->live_count > peers->max_live_count) {
        peers->max_live_count = peers->live_count;
    }
    peers->last_full_at = 0; /* the new peer needs a full report */
}

static void
note_store_era(peers_state *peers, uint64_t era)
{
    if (era > peers->store_era && peers->on_store_era != NULL) {
        peers->on_store_era(peers->owner, era);
    }
}

static void
note_changes(peers_state *peers, const msgpack_object *fields)
{
    const msgpack_object_array *changes =
        &fields[PEERS_FIELD_CHANGES].via.array;
    int i;

    for (i = 0; i < PEERS_SUBJECTS &&
                fields[PEERS_FIELD_STORE_ERA].via.u64 == peers->store_era;
         i++) {
        if (changes->ptr[i].via.u64 > peers->named_changes[i]) {
            peers->named_changes[i] = changes->ptr[i].via.u64;
        }
    }
}

static lv_time
read_list_age(uint64_t age, lv_time now)
{
    return age == 0 || age > now / LV_MILLISECOND
               ? 0
               : now - (age - 1) * LV_MILLISECOND;
}

static bool
receive_fields(peers_state *peers, const struct sockaddr_in *from,
               const msgpack_object *fields, lv_time now)
{
    uint64_t incarnation = fields[PEERS_FIELD_INCARNATION].via.u64;
    uint32_t sequence = (uint32_t)fields[PEERS_FIELD_SEQUENCE].via.u64;
    uint64_t flags;
    bool is_start = fields[PEERS_FIELD_KIND].via.u64 == PEERS_START;
    peers_peer *peer = peers_add(peers, from);
    uint32_t index;

    if (peer == NULL || incarnation == peers->incarnation) {
        return false;
    }
    if (peer->incarnation != incarnation) {
        peers_remove_contribution(peers, peer, now);
        peer->incarnation = incarnation;
        peer->has_reported_all = false;
    }
    else if (!is_start && (int32_t)(sequence - peer->sequence) <= 0) {
        return false;
    }
    if (!is_start) { /* start requests and replies may arrive in any order */
        peer->sequence = sequence;
    }
    flags = fields[PEERS_FIELD_FLAGS].via.u64;
    peer->is_store_reachable = (flags & PEERS_FLAG_STORE_REACHABLE) != 0;
    peer->can_coordinate = (flags & PEERS_FLAG_CAN_COORDINATE) != 0;
    peer->list_complete_until =
        read_list_age(fields[PEERS_FIELD_LIST_AGE].via.u64, now);
    peer->received_at = now;
    mark_live(peers, peer);
    index = (uint32_t)(peer - peers->peers);
    peer->zone = fields[PEERS_FIELD_ZONE].via.u64;
    peer->config_version = fields[PEERS_FIELD_CONFIG_VERSION].via.u64;
    note_store_era(peers, fields[PEERS_FIELD_STORE_ERA].via.u64);
    note_changes(peers, fields);
    apply_lists(peers, index, fields, now);
    if (fields[PEERS_FIELD_KIND].via.u64 == PEERS_FULL) {
        peers->peers[index].has_reported_all = true;
    }
    return true;
}

bool
peers_receive(peers_state *peers, const struct sockaddr_in *from,
              const char *data, size_t size, lv_time now)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    bool is_accepted = false;

    msgpack_unpacked_init(&unpacked);
    if (peers_has_only_numbers(data, size) &&
        msgpack_unpack_next(&unpacked, data, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        is_valid_datagram(&unpacked.data)) {
        is_accepted =
            receive_fields(peers, from, unpacked.data.via.array.ptr, now);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (!is_accepted) {
        peers->counts.rejected++;
    }
    return is_accepted;
}
