#include <msgpack.h>
#include <string.h>

#include "peers-imp.h"

/* Addresses in a datagram: few, since every datagram names others. */
#define ADDRESSES_MAX 8

/* Sums name others for so long after somebody joined, and else every so many
 * datagrams. */
#define JOIN_TIME (3 * LV_SECOND)
#define ADDRESS_TURNS 16

/* A datagram stays below the usual size of a packet; what finds no room is
 * said in a later one. */
#define LOADS_MAX 256
#define ACCOUNTS_MAX 64
#define SUMS_MAX 48
#define SUMMARIES_MAX 64

/* What is to be told of this instance. */
typedef struct news {
    peers_load loads[LOADS_MAX];
    uint32_t load_count;
    peers_account accounts[ACCOUNTS_MAX];
    uint32_t account_count;
} news;

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
        peers_load *said;

        if (!endpoint->is_used || endpoint->local.prefill_total +
                                          endpoint->local.in_flight +
                                          endpoint->local.kv_tokens ==
                                      0) {
            continue;
        }
        said = peers_load_row(&peers->said, endpoint->spec.id);
        if (said != NULL && (is_full || memcmp(&said->load, &endpoint->local,
                                               sizeof said->load) != 0)) {
            said->load = endpoint->local;
            changed[count++] = *said;
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
        peers_account *said =
            peers_account_row(&peers->said_accounts, account->id, &is_new);

        if (said != NULL && (is_full || memcmp(&said->totals, &account->local,
                                               sizeof said->totals) != 0)) {
            said->totals = account->local;
            changed[count++] = *said;
        }
    }
    return count;
}

static void
pack_addresses(peers_state *peers, bool is_full, msgpack_packer *packer)
{
    uint64_t packed[ADDRESSES_MAX];
    uint32_t start = peers->count > 0 ? peers->sequence % peers->count : 0;
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; is_full && i < peers->count && count < ADDRESSES_MAX; i++) {
        const peers_peer *peer = &peers->peers[(start + i) % peers->count];

        if (peer->heard_at != 0) {
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
pack_uses(const peers_state *peers, msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)peers->use_count * 2);
    for (i = 0; i < peers->use_count; i++) {
        msgpack_pack_uint64(packer, peers->uses[i].endpoint);
        msgpack_pack_uint64(packer, peers->uses[i].chain);
    }
}

static void
pack_leaving(const peers_state *peers, msgpack_packer *packer)
{
    uint32_t i;

    msgpack_pack_array(packer, (size_t)peers->leaving_count * 2);
    for (i = 0; i < peers->leaving_count; i++) {
        msgpack_pack_uint64(packer, peers->leaving[i].endpoint);
        msgpack_pack_uint64(packer, peers->leaving[i].revision);
    }
}

/* The sums of the accounts that this instance keeps. */
static void
pack_sums(peers_state *peers, lv_time now, msgpack_packer *packer)
{
    shr_shares *shares = peers->shares;
    lv_handle kept[SUMS_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < shares->count && count < SUMS_MAX; i++) {
        lv_handle account = (peers->sequence + i) % shares->count;

        if (peers_is_coordinator(peers, shares->accounts[account].id)) {
            kept[count++] = account;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 3);
    for (i = 0; i < count; i++) {
        shr_totals sums;

        shr_summarize(shares, kept[i], now, &sums);
        msgpack_pack_uint64(packer, shares->accounts[kept[i]].id);
        msgpack_pack_uint32(packer, sums.requested);
        msgpack_pack_uint32(packer, sums.served);
    }
}

/* What all have at the endpoints that this instance keeps. */
static void
pack_summaries(peers_state *peers, lv_time now, msgpack_packer *packer)
{
    const eng_table *table = peers->endpoints;
    lv_handle kept[SUMMARIES_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < table->capacity && count < SUMMARIES_MAX; i++) {
        lv_handle row = (peers->sequence + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && endpoint->is_engine &&
            peers_is_coordinator(peers, endpoint->spec.id)) {
            kept[count++] = row;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 4);
    for (i = 0; i < count; i++) {
        eng_summary summary;

        eng_summarize(table, kept[i], now, &summary);
        msgpack_pack_uint64(packer, table->endpoints[kept[i]].spec.id);
        msgpack_pack_uint32(packer, summary.in_flight);
        msgpack_pack_uint32(packer, summary.kv_tokens);
        msgpack_pack_uint64(packer, summary.wait);
    }
}

static void
pack_nothing(uint32_t lists, msgpack_packer *packer)
{
    while (lists-- > 0) {
        msgpack_pack_array(packer, 0);
    }
}

static void
pack_head(peers_state *peers, peers_kind kind, msgpack_packer *packer)
{
    uint32_t flags = (peers->is_store_reachable ? PEERS_FLAG_READS_STORE : 0) |
                     (peers->can_coordinate ? PEERS_FLAG_CAN_KEEP : 0);

    msgpack_pack_array(packer, PEERS_FIELD_COUNT);
    msgpack_pack_uint32(packer, PEERS_FORMAT);
    msgpack_pack_uint64(packer, peers->incarnation);
    msgpack_pack_uint32(packer, ++peers->sequence);
    msgpack_pack_uint32(packer, kind);
    msgpack_pack_uint32(packer, flags);
}

static void
collect_news(peers_state *peers, peers_kind kind, news *collected)
{
    bool is_full = kind == PEERS_FULL;

    collected->load_count = collect_loads(peers, is_full, collected->loads);
    collected->account_count =
        collect_accounts(peers, is_full, collected->accounts);
}

static void
write_news(peers_state *peers, peers_kind kind, const news *collected,
           buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_head(peers, kind, &packer);
    pack_loads(collected->loads, collected->load_count, &packer);
    pack_accounts(collected->accounts, collected->account_count, &packer);
    pack_uses(peers, &packer);
    pack_addresses(peers, kind == PEERS_FULL, &packer);
    pack_leaving(peers, &packer);
    pack_nothing(4, &packer);
}

/* Addresses are most of a datagram of sums. They are needed by those that
 * join, and now and then to find who was missed. */
static bool
names_others(const peers_state *peers, lv_time now)
{
    return lv_elapsed(now, peers->joined_at) < JOIN_TIME ||
           peers->sequence % ADDRESS_TURNS == 0;
}

static void
write_state(peers_state *peers, lv_time now, buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_head(peers, PEERS_STATE, &packer);
    pack_nothing(3, &packer);
    pack_addresses(peers, names_others(peers, now), &packer);
    pack_leaving(peers, &packer);
    pack_sums(peers, now, &packer);
    pack_summaries(peers, now, &packer);
    pack_nothing(2, &packer);
}

void
peers_write(peers_state *peers, peers_kind kind, lv_time now, buf_buffer *to)
{
    static news collected;

    if (kind == PEERS_STATE) {
        write_state(peers, now, to);
        return;
    }
    collect_news(peers, kind, &collected);
    write_news(peers, kind, &collected, to);
    peers->use_count = 0;
}

/* The keepers of what was collected. */
typedef struct receivers {
    const peers_peer *loads[LOADS_MAX];
    const peers_peer *accounts[ACCOUNTS_MAX];
} receivers;

static void
find_receivers(const peers_state *peers, const news *collected,
               receivers *found)
{
    uint32_t i;

    for (i = 0; i < collected->load_count; i++) {
        found->loads[i] =
            peers_find_keeper(peers, collected->loads[i].endpoint);
    }
    for (i = 0; i < collected->account_count; i++) {
        found->accounts[i] =
            peers_find_keeper(peers, collected->accounts[i].account);
    }
}

static void
choose_rows(const peers_peer *keeper, const receivers *found,
            const news *collected, news *chosen)
{
    uint32_t i;

    chosen->load_count = 0;
    chosen->account_count = 0;
    for (i = 0; i < collected->load_count; i++) {
        if (found->loads[i] == keeper) {
            chosen->loads[chosen->load_count++] = collected->loads[i];
        }
    }
    for (i = 0; i < collected->account_count; i++) {
        if (found->accounts[i] == keeper) {
            chosen->accounts[chosen->account_count++] = collected->accounts[i];
        }
    }
}

void
peers_send_news(peers_state *peers, peers_kind kind)
{
    static news collected;
    static news chosen;
    static receivers found;
    buf_buffer datagram;
    uint32_t i;

    peers->use_count = 0; /* keepers hear of parts when they are asked */
    collect_news(peers, kind, &collected);
    find_receivers(peers, &collected, &found);
    for (i = 0; i < peers->count; i++) {
        const peers_peer *keeper = &peers->peers[i];

        choose_rows(keeper, &found, &collected, &chosen);
        if (chosen.load_count + chosen.account_count == 0) {
            continue;
        }
        buf_init(&datagram);
        write_news(peers, kind, &chosen, &datagram);
        if (!datagram.has_failed) {
            peers_send(peers, &datagram, &keeper->address);
        }
        buf_finish(&datagram);
    }
}

void
peers_write_ask(peers_state *peers, const peers_start_request *ask,
                buf_buffer *to)
{
    const eng_prompt *prompt = &ask->prompt;
    msgpack_packer packer;
    uint32_t i;

    msgpack_packer_init(&packer, to, append);
    pack_head(peers, PEERS_CALL, &packer);
    pack_nothing(7, &packer);
    msgpack_pack_array(&packer, PEERS_ASK_LEAST + prompt->block_count * 2);
    msgpack_pack_uint32(&packer, ask->number);
    msgpack_pack_uint64(&packer, ask->endpoint);
    msgpack_pack_uint64(&packer, ask->target);
    msgpack_pack_uint64(&packer, ask->waited);
    msgpack_pack_uint32(&packer, (uint32_t)(ask->share * 100));
    msgpack_pack_uint32(&packer, prompt->tokens);
    msgpack_pack_uint32(&packer, prompt->output_tokens);
    for (i = 0; i < prompt->block_count; i++) {
        msgpack_pack_uint64(&packer, prompt->blocks[i].chain);
        msgpack_pack_uint32(&packer, prompt->blocks[i].tokens);
    }
    pack_nothing(1, &packer);
}

void
peers_write_answer(peers_state *peers, const peers_start_reply *answer,
                   buf_buffer *to)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, to, append);
    pack_head(peers, PEERS_CALL, &packer);
    pack_nothing(8, &packer);
    msgpack_pack_array(&packer, PEERS_ANSWER_SIZE);
    msgpack_pack_uint32(&packer, answer->number);
    msgpack_pack_uint64(&packer, answer->endpoint);
    msgpack_pack_uint32(&packer, answer->is_granted);
    msgpack_pack_uint32(&packer, answer->summary.in_flight);
    msgpack_pack_uint32(&packer, answer->summary.kv_tokens);
    msgpack_pack_uint64(&packer, answer->summary.wait);
    msgpack_pack_uint64(&packer, answer->service_time);
    msgpack_pack_uint32(&packer, answer->uncached_tokens);
}
