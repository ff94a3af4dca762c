#include <msgpack.h>
#include <string.h>

#include "lavender-gateway/io.h"
#include "peers-imp.h"

/* Addresses in one datagram; successive datagrams list different ones. */
#define ADDRESSES_MAX 8

/* Datagrams of sums list addresses for this long after a peer joined, and
 * otherwise in one datagram of this many. */
#define JOIN_ADDRESS_TIME (3 * LV_SECOND)
#define DATAGRAMS_PER_ADDRESS_LIST 16

/* Maximum rows in one datagram, to stay below the usual packet size. Further
 * rows follow in later datagrams. */
#define LOADS_MAX 256
#define ACCOUNTS_MAX 64
#define SUMS_MAX 48
#define SUMMARIES_MAX 64

/* Rows of this instance to be reported. */
typedef struct updates {
    peers_load loads[LOADS_MAX];
    uint32_t load_count;
    peers_account accounts[ACCOUNTS_MAX];
    uint32_t account_count;
} updates;

static int
append(void *context, const char *data, size_t size)
{
    buf_append(context, data, size);
    return 0;
}

static uint32_t
collect_loads(peers_state *peers, bool is_full, peers_load *changed)
{
    const eng_table *table = peers->endpoints;
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < table->capacity && count < LOADS_MAX; i++) {
        lv_handle row = (peers->sequence + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];
        peers_load *reported;

        if (!endpoint->is_used || endpoint->local.prefill_total +
                                          endpoint->local.in_flight +
                                          endpoint->local.kv_tokens ==
                                      0) {
            continue;
        }
        reported =
            peers_find_or_add_load(&peers->reported_loads, endpoint->spec.id);
        if (reported != NULL &&
            (is_full || memcmp(&reported->load, &endpoint->local,
                               sizeof reported->load) != 0)) {
            reported->load = endpoint->local;
            changed[count++] = *reported;
        }
    }
    return count;
}

static uint32_t
collect_accounts(peers_state *peers, bool is_full, peers_account *changed)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < peers->shares->count && count < ACCOUNTS_MAX; i++) {
        const shr_account *account =
            &peers->shares
                 ->accounts[(peers->sequence + i) % peers->shares->count];
        bool is_new;
        peers_account *reported = peers_find_or_add_account(
            &peers->reported_accounts, account->id, &is_new);

        if (reported != NULL &&
            (is_full || memcmp(&reported->totals, &account->local,
                               sizeof reported->totals) != 0)) {
            reported->totals = account->local;
            changed[count++] = *reported;
        }
    }
    return count;
}

static void
pack_addresses(peers_state *peers, bool is_due, msgpack_packer *packer)
{
    uint64_t packed[ADDRESSES_MAX];
    uint32_t start = peers->count > 0 ? peers->sequence % peers->count : 0;
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; is_due && i < peers->count && count < ADDRESSES_MAX; i++) {
        const peers_peer *peer = &peers->peers[(start + i) % peers->count];

        if (peer->received_at != 0) {
            packed[count++] = peers_pack_address(&peer->address);
        }
    }
    msgpack_pack_array(packer, count);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(packer, packed[i]);
    }
}

static void
pack_loads(const peers_load *loads, uint32_t count, msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)count * 4);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(packer, loads[i].endpoint);
        msgpack_pack_uint32(packer, loads[i].load.in_flight);
        msgpack_pack_uint32(packer, loads[i].load.prefill_total);
        msgpack_pack_uint32(packer, loads[i].load.kv_tokens);
    }
}

static void
pack_accounts(const peers_account *accounts, uint32_t count,
              msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)count * 3);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(packer, accounts[i].account);
        msgpack_pack_uint32(packer, accounts[i].totals.requested);
        msgpack_pack_uint32(packer, accounts[i].totals.served);
    }
}

static void
pack_block_uses(const peers_state *peers, msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)peers->block_use_count * 2);
    for (i = 0; i < peers->block_use_count; i++) {
        msgpack_pack_uint64(packer, peers->block_uses[i].endpoint);
        msgpack_pack_uint64(packer, peers->block_uses[i].prefix_hash);
    }
}

static void
pack_unlisted(const peers_state *peers, msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)peers->unlisted_count * 3);
    for (i = 0; i < peers->unlisted_count; i++) {
        msgpack_pack_uint64(packer, peers->unlisted[i].endpoint);
        msgpack_pack_uint64(packer, peers->unlisted[i].era);
        msgpack_pack_uint64(packer, peers->unlisted[i].revision);
    }
}

/* Packs the sums of the accounts that this instance coordinates. */
static void
pack_account_sums(peers_state *peers, lv_time now, msgpack_packer *packer)
{
    shr_shares *shares = peers->shares;
    lv_handle coordinated[SUMS_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < shares->count && count < SUMS_MAX; i++) {
        lv_handle account = (peers->sequence + i) % shares->count;

        if (peers_is_coordinator(peers, shares->accounts[account].id)) {
            coordinated[count++] = account;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 3);
    for (i = 0; i < count; i++) {
        shr_totals sums;

        shr_summarize(shares, coordinated[i], now, &sums);
        msgpack_pack_uint64(packer, shares->accounts[coordinated[i]].id);
        msgpack_pack_uint32(packer, sums.requested);
        msgpack_pack_uint32(packer, sums.served);
    }
}

/* Packs the load of all instances at the engines that this instance
 * coordinates. */
static void
pack_endpoint_summaries(peers_state *peers, lv_time now,
                        msgpack_packer *packer)
{
    const eng_table *table = peers->endpoints;
    lv_handle coordinated[SUMMARIES_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < table->capacity && count < SUMMARIES_MAX; i++) {
        lv_handle row = (peers->sequence + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && endpoint->is_engine &&
            peers_is_coordinator(peers, endpoint->spec.id)) {
            coordinated[count++] = row;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 4);
    for (i = 0; i < count; i++) {
        eng_summary summary;

        eng_summarize(table, coordinated[i], now, &summary);
        msgpack_pack_uint64(packer, table->endpoints[coordinated[i]].spec.id);
        msgpack_pack_uint32(packer, summary.in_flight);
        msgpack_pack_uint32(packer, summary.kv_tokens);
        msgpack_pack_uint64(packer, summary.wait);
    }
}

static void
pack_empty_lists(uint32_t lists, msgpack_packer *packer)
{
    while (lists-- > 0) {
        msgpack_pack_array(packer, 0);
    }
}

static uint64_t
list_age(const peers_state *peers)
{
    return peers->list_complete_until != 0
               ? lv_elapsed(io_now(), peers->list_complete_until) /
                         LV_MILLISECOND +
                     1
               : 0;
}

static void
pack_header(peers_state *peers, peers_datagram_kind kind,
            msgpack_packer *packer)
{
    uint32_t flags =
        (peers->is_store_reachable ? PEERS_FLAG_STORE_REACHABLE : 0) |
        (peers->can_coordinate ? PEERS_FLAG_CAN_COORDINATE : 0);
    int i;

    msgpack_pack_array(packer, PEERS_FIELD_COUNT);
    msgpack_pack_uint32(packer, PEERS_FORMAT_VERSION);
    msgpack_pack_uint64(packer, peers->incarnation);
    msgpack_pack_uint32(packer, ++peers->sequence);
    msgpack_pack_uint32(packer, kind);
    msgpack_pack_uint32(packer, flags);
    msgpack_pack_uint64(packer, peers->store_era);
    msgpack_pack_uint64(packer, peers->settings.zone);
    msgpack_pack_uint64(packer, peers->config_version);
    msgpack_pack_uint64(packer, list_age(peers));
    msgpack_pack_array(packer, PEERS_SUBJECTS);
    for (i = 0; i < PEERS_SUBJECTS; i++) {
        msgpack_pack_uint64(packer, peers->own_changes[i]);
    }
}

static void
collect_updates(peers_state *peers, peers_datagram_kind kind,
                updates *collected)
{
    bool is_full = kind == PEERS_FULL;

    collected->load_count = collect_loads(peers, is_full, collected->loads);
    collected->account_count =
        collect_accounts(peers, is_full, collected->accounts);
}

static void
write_updates(peers_state *peers, peers_datagram_kind kind,
              const updates *collected, lv_time now, buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_header(peers, kind, &packer);
    pack_loads(collected->loads, collected->load_count, &packer);
    pack_accounts(collected->accounts, collected->account_count, &packer);
    pack_block_uses(peers, &packer);
    pack_addresses(peers, kind == PEERS_FULL, &packer);
    pack_unlisted(peers, &packer);
    pack_empty_lists(4, &packer);
    peers_pack_reports(peers, now, &packer);
    pack_empty_lists(1, &packer);
    peers->packed_loads = collected->loads;
    peers->packed_load_count = collected->load_count;
    peers_pack_endpoint_state(peers, now, &packer);
    peers->packed_loads = NULL;
}

/* Addresses are most of a datagram of sums. New peers need them, and an
 * occasional list lets instances find peers that they missed. */
static bool
has_addresses_due(const peers_state *peers, lv_time now)
{
    return lv_elapsed(now, peers->last_join_at) < JOIN_ADDRESS_TIME ||
           peers->sequence % DATAGRAMS_PER_ADDRESS_LIST == 0;
}

static void
write_sums(peers_state *peers, lv_time now, buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_header(peers, PEERS_SUMS, &packer);
    pack_empty_lists(3, &packer);
    pack_addresses(peers, has_addresses_due(peers, now), &packer);
    pack_unlisted(peers, &packer);
    pack_account_sums(peers, now, &packer);
    pack_endpoint_summaries(peers, now, &packer);
    pack_empty_lists(2, &packer);
    peers_pack_reports(peers, now, &packer);
    pack_empty_lists(1, &packer);
    peers_pack_endpoint_state(peers, now, &packer);
}

void
peers_write_datagram(peers_state *peers, peers_datagram_kind kind, lv_time now,
                     buf_buffer *to)
{
    static updates collected;

    if (kind == PEERS_SUMS) {
        write_sums(peers, now, to);
        return;
    }
    collect_updates(peers, kind, &collected);
    write_updates(peers, kind, &collected, now, to);
    peers->block_use_count = 0;
}

/* The coordinator of each collected row. */
typedef struct recipients {
    const peers_peer *loads[LOADS_MAX];
    const peers_peer *accounts[ACCOUNTS_MAX];
} recipients;

static void
find_recipients(const peers_state *peers, const updates *collected,
                recipients *coordinators)
{
    uint32_t i;

    for (i = 0; i < collected->load_count; i++) {
        coordinators->loads[i] =
            peers_find_coordinator(peers, collected->loads[i].endpoint);
    }
    for (i = 0; i < collected->account_count; i++) {
        coordinators->accounts[i] =
            peers_find_coordinator(peers, collected->accounts[i].account);
    }
}

static void
select_updates(const peers_peer *coordinator, const recipients *coordinators,
               const updates *collected, updates *selected)
{
    uint32_t i;

    selected->load_count = 0;
    selected->account_count = 0;
    for (i = 0; i < collected->load_count; i++) {
        if (coordinators->loads[i] == coordinator) {
            selected->loads[selected->load_count++] = collected->loads[i];
        }
    }
    for (i = 0; i < collected->account_count; i++) {
        if (coordinators->accounts[i] == coordinator) {
            selected->accounts[selected->account_count++] =
                collected->accounts[i];
        }
    }
}

void
peers_send_to_coordinators(peers_state *peers, peers_datagram_kind kind,
                           lv_time now)
{
    static updates collected;
    static updates selected;
    static recipients coordinators;
    buf_buffer datagram;
    uint32_t i;

    peers->block_use_count = 0; /* start requests carry the prompt blocks */
    collect_updates(peers, kind, &collected);
    find_recipients(peers, &collected, &coordinators);
    for (i = 0; i < peers->count; i++) {
        const peers_peer *coordinator = &peers->peers[i];

        select_updates(coordinator, &coordinators, &collected, &selected);
        if (selected.load_count + selected.account_count == 0) {
            continue;
        }
        buf_init(&datagram);
        write_updates(peers, kind, &selected, now, &datagram);
        if (!datagram.has_failed) {
            peers_send_datagram(peers, &datagram, &coordinator->address);
        }
        buf_finish(&datagram);
    }
}

static uint64_t
pack_limit(const peers_start_request *request)
{
    if (!request->has_limit_word) {
        return PEERS_LIMIT_UNKNOWN;
    }
    return request->limit < 0
               ? PEERS_LIMIT_NONE
               : PEERS_LIMIT_NAMED + (uint64_t)(request->limit * 1000 + 0.5);
}

void
peers_write_start_request(peers_state *peers,
                          const peers_start_request *request, buf_buffer *to)
{
    const eng_prompt *prompt = &request->prompt;
    msgpack_packer packer;
    uint32_t i;

    msgpack_packer_init(&packer, to, append);
    pack_header(peers, PEERS_START, &packer);
    pack_empty_lists(7, &packer);
    msgpack_pack_array(&packer,
                       PEERS_START_REQUEST_MIN_SIZE + prompt->block_count * 2);
    msgpack_pack_uint32(&packer, request->number);
    msgpack_pack_uint64(&packer, request->endpoint);
    msgpack_pack_uint64(&packer, request->target);
    msgpack_pack_uint64(&packer, request->waited);
    msgpack_pack_uint32(&packer, (uint32_t)(request->share * 100));
    msgpack_pack_uint32(&packer, prompt->tokens);
    msgpack_pack_uint32(&packer, prompt->output_tokens);
    msgpack_pack_uint64(&packer, pack_limit(request));
    msgpack_pack_uint64(&packer, request->limit_age);
    msgpack_pack_uint32(&packer, request->fetch.tokens);
    msgpack_pack_uint32(&packer, request->fetch.is_presumed);
    for (i = 0; i < prompt->block_count; i++) {
        msgpack_pack_uint64(&packer, prompt->blocks[i].prefix_hash);
        msgpack_pack_uint32(&packer, prompt->blocks[i].tokens);
    }
    pack_empty_lists(2 + PEERS_QUARANTINES, &packer);
    peers_pack_no_endpoint_state(&packer);
}

void
peers_write_start_reply(peers_state *peers, const peers_start_reply *reply,
                        buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_header(peers, PEERS_START, &packer);
    pack_empty_lists(8, &packer);
    msgpack_pack_array(&packer, PEERS_START_REPLY_SIZE);
    msgpack_pack_uint32(&packer, reply->number);
    msgpack_pack_uint64(&packer, reply->endpoint);
    msgpack_pack_uint32(&packer, reply->is_granted);
    msgpack_pack_uint32(&packer, reply->summary.in_flight);
    msgpack_pack_uint32(&packer, reply->summary.kv_tokens);
    msgpack_pack_uint64(&packer, reply->summary.wait);
    msgpack_pack_uint64(&packer, reply->service_time);
    msgpack_pack_uint32(&packer, reply->uncached_tokens);
    msgpack_pack_uint64(&packer, reply->limit_wait);
    msgpack_pack_uint64(&packer, reply->cold_left);
    msgpack_pack_uint64(&packer, reply->cold_wait);
    msgpack_pack_uint32(&packer, reply->spared_tokens);
    pack_empty_lists(1 + PEERS_QUARANTINES, &packer);
    peers_pack_no_endpoint_state(&packer);
}

void
peers_write_origins(peers_state *peers, const peers_origin *origins,
                    uint32_t count, buf_buffer *to)
{
    msgpack_packer packer;
    uint32_t i;

    msgpack_packer_init(&packer, to, append);
    pack_header(peers, PEERS_START, &packer);
    pack_empty_lists(9 + PEERS_QUARANTINES, &packer);
    msgpack_pack_array(&packer, (size_t)count * 2);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(&packer, origins[i].key);
        msgpack_pack_uint64(&packer, origins[i].version);
    }
    peers_pack_no_endpoint_state(&packer);
}
