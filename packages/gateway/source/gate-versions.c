#include <stdlib.h>
#include <time.h>

#include "gate-imp.h"

/* More changes than this are not kept: the past is not known then. */
#define PAST_CHANGES_MAX 4096

/* The store's clock and this one may differ, and reading takes time. */
#define TRUSTED_HISTORY_PERCENT 90

static ver_endpoint
describe(const char *key, const eng_spec *spec)
{
    return (ver_endpoint){.key = lv_hash_name(key),
                          .service = spec->service,
                          .version = spec->version_id,
                          .is_ready = !spec->is_draining};
}

void
gate_record_item(gate_server *gate, const wire_item *item, lv_time now)
{
    if (item->has_endpoint) {
        ver_endpoint endpoint = describe(item->key, &item->endpoint);

        ver_apply(&gate->versions, &endpoint, now);
    }
    else {
        ver_remove(&gate->versions, lv_hash_name(item->key), now);
    }
}

/* Returns the endpoints on the list, which the caller frees; NULL: none, or
 * memory is exhausted. Entries that only the grace period keeps are not on
 * it. */
static ver_endpoint *
copy_list(const gate_server *gate, uint32_t *count)
{
    const reg_registry *registry = &gate->registry;
    ver_endpoint *list = calloc(registry->count + 1, sizeof *list);
    uint32_t i;

    *count = 0;
    for (i = 0; i < registry->count && list != NULL; i++) {
        const reg_entry *entry = &registry->entries[i];
        lv_handle row = eng_find(&gate->endpoints, entry->endpoint);

        if (entry->expires_at == 0 && row != LV_HANDLE_NONE) {
            list[(*count)++] =
                describe(entry->key, &gate->endpoints.endpoints[row].spec);
        }
    }
    return list;
}

void
gate_begin_past(store_feed *feed)
{
    gate_server *gate = feed->owner;

    free(gate->past_changes);
    gate->past_changes = NULL;
    gate->past_change_count = 0;
}

void
gate_note_past_item(store_feed *feed, wire_item *item)
{
    gate_server *gate = feed->owner;
    ver_change *changes;

    if (gate->past_change_count == PAST_CHANGES_MAX ||
        (!item->is_removed && !item->has_endpoint)) {
        return;
    }
    changes = realloc(gate->past_changes,
                      (gate->past_change_count + 1) * sizeof *changes);
    if (changes == NULL) {
        gate->past_change_count = PAST_CHANGES_MAX;
        return;
    }
    gate->past_changes = changes;
    changes[gate->past_change_count++] = (ver_change){
        .endpoint = describe(item->key, &item->endpoint),
        .is_removed = item->is_removed,
        .is_created = item->created_revision > feed->past.begin,
    };
}

static bool
was_created(const gate_server *gate, uint64_t key)
{
    uint32_t i;

    for (i = 0; i < gate->past_change_count; i++) {
        if (gate->past_changes[i].endpoint.key == key &&
            gate->past_changes[i].is_created) {
            return true;
        }
    }
    return false;
}

/* Returns for how long an endpoint's process has run, by the clocks of two
 * machines. */
static lv_time
process_age(const reg_entry *entry)
{
    struct timespec now;
    uint64_t now_ms;

    clock_gettime(CLOCK_REALTIME, &now);
    now_ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
    return now_ms > entry->started_at
               ? (now_ms - entry->started_at) * LV_MILLISECOND
               : 0;
}

static uint32_t
count_removed(const gate_server *gate)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < gate->past_change_count; i++) {
        count += gate->past_changes[i].is_removed;
    }
    return count;
}

/* Returns the age of the oldest revision that the store keeps: all revisions
 * since then that are no changes of the list are heartbeats of the endpoints
 * that were on it. Where heartbeats raise no revision it is 0. */
static lv_time
kept_age(const gate_server *gate, uint64_t begin)
{
    uint64_t revisions = gate->feeds[WIRE_ENDPOINTS].past.end - begin;
    uint32_t writers = gate->registry.count + count_removed(gate);

    return writers > 0 && revisions > gate->past_change_count
               ? (revisions - gate->past_change_count) *
                     gate->settings.store.heartbeat / writers
               : 0;
}

/* Returns how far back all changes are known: as far as the store keeps its
 * history, or less if it has discarded some. If an entry from before the
 * oldest change is younger than that, only the entry's age counts. */
static lv_time
past_length(const gate_server *gate, uint64_t begin)
{
    lv_time kept = kept_age(gate, begin);
    lv_time length =
        (kept < gate->settings.store.history ? kept
                                             : gate->settings.store.history) *
        TRUSTED_HISTORY_PERCENT / 100;
    uint32_t i;

    for (i = 0; i < gate->registry.count; i++) {
        const reg_entry *entry = &gate->registry.entries[i];
        lv_time age = process_age(entry);

        if (age < length && !was_created(gate, lv_hash_name(entry->key))) {
            length = age;
        }
    }
    return length;
}

void
gate_end_past(store_feed *feed, uint64_t begin)
{
    gate_server *gate = feed->owner;
    lv_time now = io_now();
    uint32_t count;
    ver_endpoint *list = copy_list(gate, &count);
    ver_extent extent = {0}; /* the store has had no history before */

    if (begin > 0) {
        extent.covered_since = lv_elapsed(now, past_length(gate, begin));
        extent.proven_since = gate->versions.proven_since;
        if (extent.proven_since < extent.covered_since) {
            extent.covered_since = extent.proven_since;
        }
    }
    gate->is_past_known = begin != STORE_NO_REVISION && list != NULL &&
                          gate->past_change_count < PAST_CHANGES_MAX;
    if (gate->is_past_known) {
        ver_rebuild(&gate->versions, list, count, gate->past_changes,
                    gate->past_change_count, &extent, now);
    }
    log_event(LOG_LEVEL_NOTICE, now, "past-versions",
              "known=%d changes=%u begin=%llu end=%llu covered_ms=%llu "
              "proven_ms=%llu reads=%u",
              gate->is_past_known, gate->past_change_count,
              (unsigned long long)begin, (unsigned long long)feed->past.end,
              (unsigned long long)(lv_elapsed(now, extent.covered_since) /
                                   LV_MILLISECOND),
              (unsigned long long)(lv_elapsed(now, extent.proven_since) /
                                   LV_MILLISECOND),
              feed->past.reads);
    free(list);
    gate_begin_past(feed);
}

bool
gate_await_past(gate_request *request)
{
    gate_server *gate = request->gate;
    store_feed *feed = &gate->feeds[WIRE_ENDPOINTS];

    if (feed->past.is_reading) {
        return true;
    }
    if (request->has_awaited_past || gate->is_past_known ||
        gate->settings.store.history == 0) {
        return false;
    }
    request->has_awaited_past = true;
    store_feed_read_past(feed);
    return feed->past.is_reading;
}

uint64_t
gate_version_key(const gate_request *request)
{
    const eng_prompt *prompt = &request->decoded.prompt;
    uint32_t shared = eng_shared_blocks(prompt);

    return shared > 0 ? prompt->blocks[shared - 1].prefix_hash
                      : request->stream_key;
}

/* Only streams that callers may take up are bound to a version. */
void
gate_choose_version(gate_request *request)
{
    const wire_request *decoded = &request->decoded;

    request->chosen_version = LV_ID_NONE;
    if (request->route->is_resumable && decoded->attempt_id != NULL &&
        !decoded->is_resumption && request->version == LV_ID_NONE) {
        if (request->stream_key == DIG_NONE) {
            request->stream_key =
                dig_stream(decoded->attempt_id, gate_account_name(request));
        }
        request->chosen_version =
            ver_choose(&request->gate->versions, request->service,
                       gate_version_key(request));
    }
}

lv_id
gate_required_version(const gate_request *request)
{
    return request->version != LV_ID_NONE ? request->version
                                          : request->chosen_version;
}

/* Returns the earliest state of the list that a stream may have begun by. It
 * lasts as long as its route allows at most; the list of the instance that
 * began it may have been as old as the leave limit, or older if the instance
 * missed the store. */
static lv_time
earliest_list(const gate_server *gate, lv_time timeout, lv_time now)
{
    lv_time begun_since = lv_elapsed(now, timeout);
    lv_time usual = lv_elapsed(begun_since, gate->settings.leave_limit);
    lv_time lag = lag_find(&gate->peers.list_lag, begun_since, now);

    return lag < usual ? lag : usual;
}

lv_time
gate_earliest_begin(const gate_request *request, lv_time now)
{
    return earliest_list(request->gate, request->route->timeout, now);
}

lv_id
gate_sole_version(const gate_server *gate, lv_id service, lv_time now)
{
    lv_time longest = 0;
    lv_id version;
    uint32_t i;

    for (i = 0; gate->config != NULL && i < gate->config->route_count; i++) {
        const rt_route *route = &gate->config->routes[i];

        if (route->is_resumable && route->timeout > longest) {
            longest = route->timeout;
        }
    }
    ver_find(&gate->versions, service, DIG_NONE,
             earliest_list(gate, longest, now), &version);
    return version;
}
