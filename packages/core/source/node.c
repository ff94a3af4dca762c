#include "lavender/node.h"

#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "node-imp.h"

#define WATCHERS_PER_ZONE 2

/* The node requests at least this many ticks within the pause limit, so that
 * an idle process does not count as paused. */
#define TICKS_PER_PAUSE_LIMIT 4

#define TICKET_LIFETIME (900 * LV_SECOND)

void
node_default_settings(node_settings *settings)
{
    memset(settings, 0, sizeof *settings);
    settings->pause_limit = 1000 * LV_MILLISECOND;
    settings->ledger_lines = 16384;
    entry_default_settings(&settings->entry);
    settings->dispatcher.lease_ttl = 3 * LV_SECOND;
    settings->dispatcher.lease_margin = 200 * LV_MILLISECOND;
    settings->dispatcher.report_interval = settings->entry.report_interval;
    settings->dispatcher.settle_timeout = 3200 * LV_MILLISECOND;
    swim_default_settings(&settings->membership);
    settings->documents.fetch_timeout = 500 * LV_MILLISECOND;
    settings->documents.start_wait = 2 * LV_SECOND;
    settings->placement.order_interval = 2 * LV_SECOND;
    settings->placement.order_timeout = 60 * LV_SECOND;
    settings->placement.quiet_period = 5 * LV_SECOND;
    settings->tickets.lifetime = TICKET_LIFETIME;
    settings->tickets.max_tickets = 20000;
    settings->tickets.max_total_answer_size = (size_t)32 * 1024 * 1024;
    settings->tickets.max_answer_size = (size_t)64 * 1024;
}

bool
node_init(node_state *node, lv_host *host, const node_settings *settings,
          lv_time now, err_error *error)
{
    memset(node, 0, sizeof *node);
    node->role_host.ops = &node_role_host_ops;
    node->host = host;
    node->settings = *settings;
    node->now = now;
    node->last_call_at = now;
    msg_buffer_init(&node->buffer);
    if (!ledger_init(&node->ledger, settings->ledger_lines, error)) {
        goto no_ledger;
    }
    if (!tkt_init(&node->tickets, &settings->tickets, settings->self,
                  settings->incarnation, error)) {
        goto no_tickets;
    }
    if (!swim_init(&node->membership, &node->role_host, &settings->membership,
                   settings->self, settings->incarnation, settings->seed, now,
                   error)) {
        goto no_membership;
    }
    if (!place_init(&node->placement, &node->role_host, &settings->placement,
                    now, error)) {
        goto no_placement;
    }
    if (!entry_init(&node->entry, &node->role_host, &settings->entry,
                    &node->ledger, settings->self, settings->incarnation, now,
                    error)) {
        goto no_entry;
    }
    if (!doc_init(&node->documents, &node->role_host, &settings->documents,
                  settings->self, now, error)) {
        goto no_documents;
    }
    return true;
no_documents:
    entry_finish(&node->entry);
no_entry:
    place_finish(&node->placement);
no_placement:
    swim_finish(&node->membership);
no_membership:
    tkt_finish(&node->tickets);
no_tickets:
    ledger_finish(&node->ledger);
no_ledger:
    return false;
}

void
node_finish(node_state *node)
{
    node_free_shards(node);
    node_free_local_messages(node);
    doc_finish(&node->documents);
    entry_finish(&node->entry);
    place_finish(&node->placement);
    swim_finish(&node->membership);
    tkt_finish(&node->tickets);
    ledger_finish(&node->ledger);
    msg_buffer_finish(&node->buffer);
    free(node->instance_ids);
}

/* After a pause of the process, its documents, membership and leases may be
 * outdated: it stops its roles and starts none until its peers had time to
 * respond to a probe. */
static void
handle_pause(node_state *node)
{
    const swim_settings *membership = &node->settings.membership;

    node->counts.pauses++;
    node_stop_roles(node, "paused");
    entry_mark_stale(&node->entry, node->now);
    swim_mark_stale(&node->membership, node->now);
    node->stale_until =
        node->now + membership->probe_interval + 2 * membership->probe_timeout;
    node->has_stopped_roles = true;
}

/* Sets the time and detects a pause of the process. */
static void
begin_call(node_state *node, lv_time now)
{
    lv_time gap = lv_elapsed(now, node->last_call_at);

    node->now = now;
    node->last_call_at = now;
    if (gap > node->settings.pause_limit) {
        handle_pause(node);
    }
}

static void
apply_membership(node_state *node)
{
    if (node->now < node->stale_until ||
        (!node->has_stopped_roles &&
         node->applied_revision == node->membership.revision)) {
        return;
    }
    node_assign_roles(node);
    node_apply_leaving(node);
}

static void
tick_roles(node_state *node)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        disp_dispatcher *dispatcher = node->shards[i].dispatcher;

        if (dispatcher != NULL && disp_next_tick(dispatcher) <= node->now) {
            disp_tick(dispatcher, node->now);
        }
    }
    for (uint32_t i = 0; i < node->root_count; i++) {
        root_state *root = node->roots[i].root;

        if (root != NULL && root_next_tick(root) <= node->now) {
            root_tick(root, node->now);
        }
    }
}

static void
update_ledger_window(node_state *node, uint64_t window)
{
    if (window == node->ledger.current_window) {
        return;
    }
    entry_flush_ledger(&node->entry, node->now);
    ledger_set_window(&node->ledger, window);
}

void
node_tick(node_state *node, lv_time now, uint64_t wall_seconds)
{
    begin_call(node, now);
    update_ledger_window(node, wall_seconds * LV_SECOND / NODE_LEDGER_WINDOW);
    node_deliver_local_messages(node);
    if (swim_next_tick(&node->membership) <= now) {
        swim_tick(&node->membership, now);
    }
    if (doc_next_tick(&node->documents) <= now) {
        doc_tick(&node->documents, now);
    }
    apply_membership(node);
    if (entry_next_tick(&node->entry) <= now) {
        entry_tick(&node->entry, now);
    }
    tick_roles(node);
    if (place_next_tick(&node->placement) <= now) {
        place_tick(&node->placement, now);
    }
    tkt_remove_expired(&node->tickets, now);
    node_deliver_local_messages(node);
}

static lv_time
earlier(lv_time left, lv_time right)
{
    return left < right ? left : right;
}

lv_time
node_next_tick(const node_state *node)
{
    lv_time next = node->last_call_at +
                   node->settings.pause_limit / TICKS_PER_PAUSE_LIMIT;

    if (node->local_message_count > 0) {
        return 0;
    }
    next = earlier(next, swim_next_tick(&node->membership));
    next = earlier(next, doc_next_tick(&node->documents));
    next = earlier(next, entry_next_tick(&node->entry));
    next = earlier(next, place_next_tick(&node->placement));
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (node->shards[i].dispatcher != NULL) {
            next = earlier(next, disp_next_tick(node->shards[i].dispatcher));
        }
    }
    for (uint32_t i = 0; i < node->root_count; i++) {
        if (node->roots[i].root != NULL) {
            next = earlier(next, root_next_tick(node->roots[i].root));
        }
    }
    return next;
}

static bool
accept_message(node_state *node, const msg_message *message)
{
    uint64_t known = 0;

    if (message->sender == node->settings.self) {
        node->counts.dropped_invalid_sender++;
        return false;
    }
    if (message->target_incarnation != 0 &&
        message->target_incarnation != node->settings.incarnation) {
        node->counts.dropped_stale++;
        return false;
    }
    if (swim_is_live(&node->membership, message->sender, &known) &&
        message->incarnation < known) {
        node->counts.dropped_stale++;
        return false;
    }
    return true;
}

void
node_receive_message(node_state *node, lv_time now, const msg_message *message)
{
    begin_call(node, now);
    if (!accept_message(node, message)) {
        return;
    }
    node->counts.messages_in[message->kind]++;
    doc_apply_peer_states(&node->documents, now, message);
    node_route_message(node, message);
    apply_membership(node);
    node_deliver_local_messages(node);
}

void
node_receive_load(node_state *node, lv_time now, lv_id endpoint,
                  const disp_load *load, const lv_id *models,
                  uint32_t model_count)
{
    begin_call(node, now);
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (node->shards[i].dispatcher != NULL) {
            disp_apply_load(node->shards[i].dispatcher, now, endpoint, load);
        }
    }
    place_set_loaded_models(&node->placement, now, endpoint, models,
                            model_count);
}

void
node_drain(node_state *node, lv_time now)
{
    begin_call(node, now);
    if (node->is_draining) {
        return;
    }
    node->is_draining = true;
    entry_drain(&node->entry, now);
    swim_drain(&node->membership, now);
    node_assign_roles(node);
}

void
node_leave(node_state *node, lv_time now)
{
    begin_call(node, now);
    swim_leave(&node->membership, now);
}

bool
node_is_idle(const node_state *node)
{
    return entry_is_idle(&node->entry);
}

bool
node_is_ready(const node_state *node)
{
    return !node->is_draining && doc_is_ready(&node->documents) &&
           doc_lists(&node->documents) != NULL;
}

static lv_handle
find_zone(const node_state *node, const lists_snapshot *lists)
{
    lv_handle self = lists_find_instance(lists, node->settings.self);

    return self == LV_HANDLE_NONE ? LV_HANDLE_NONE
                                  : lists->instances[self].zone;
}

bool
node_is_watcher(const node_state *node)
{
    const lists_snapshot *lists = doc_lists(&node->documents);
    lv_handle zone;
    uint64_t key;
    uint64_t self_weight;
    uint32_t higher_count = 0;

    if (lists == NULL) {
        return true;
    }
    zone = find_zone(node, lists);
    if (zone == LV_HANDLE_NONE) {
        return true;
    }
    key = hrw_watcher_key(lists->zones[zone].id);
    self_weight = hrw_weight(node->settings.self, key);
    for (uint32_t i = 0; i < lists->instance_count; i++) {
        const lists_instance *instance = &lists->instances[i];

        if (instance->zone == zone && instance->id != node->settings.self &&
            hrw_weight(instance->id, key) > self_weight &&
            swim_is_live(&node->membership, instance->id, NULL)) {
            higher_count++;
        }
    }
    return higher_count < WATCHERS_PER_ZONE;
}

uint32_t
node_collect_dispatched_endpoints(const node_state *node, lv_id *ids,
                                  uint32_t capacity)
{
    const lists_snapshot *lists = doc_lists(&node->documents);
    uint32_t written = 0;

    if (lists == NULL) {
        return 0;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const lists_endpoint *endpoint = &lists->endpoints[i];

        for (uint32_t s = 0; s < node->shard_count; s++) {
            const node_shard *shard = &node->shards[s];

            if (shard->dispatcher != NULL && shard->pool == endpoint->pool &&
                hrw_shard_of(endpoint->id, shard->shard_count) ==
                    shard->shard &&
                written < capacity) {
                ids[written++] = endpoint->id;
            }
        }
    }
    return written;
}

entry_state *
node_entry(node_state *node)
{
    return &node->entry;
}

doc_store *
node_documents(node_state *node)
{
    return &node->documents;
}

swim_membership *
node_membership(node_state *node)
{
    return &node->membership;
}

tkt_store *
node_tickets(node_state *node)
{
    return &node->tickets;
}

ledger_store *
node_ledger(node_state *node)
{
    return &node->ledger;
}

place_state *
node_placement(node_state *node)
{
    return &node->placement;
}

uint32_t
node_dispatcher_count(const node_state *node)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (node->shards[i].dispatcher != NULL) {
            count++;
        }
    }
    return count;
}

const disp_dispatcher *
node_dispatcher_at(const node_state *node, uint32_t index, lv_id *pool,
                   uint32_t *shard, uint64_t *tenure)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        const node_shard *candidate = &node->shards[i];

        if (candidate->dispatcher != NULL && index-- == 0) {
            *pool = candidate->pool;
            *shard = candidate->shard;
            *tenure = candidate->tenure;
            return candidate->dispatcher;
        }
    }
    return NULL;
}

const node_counts *
node_read_counts(const node_state *node)
{
    return &node->counts;
}

static const char *
find_pool_name(const node_state *node, lv_id pool)
{
    const cat_catalogue *catalogue = doc_catalogue(&node->documents);
    lv_handle handle;

    if (catalogue == NULL) {
        return NULL;
    }
    handle = cat_find_pool(catalogue, pool);
    return handle == LV_HANDLE_NONE ? NULL : catalogue->pools[handle].name;
}

void
node_log_role(node_state *node, const char *reason, lv_id pool, uint32_t shard,
              uint64_t tenure)
{
    lv_decision decision = {
        .kind = LV_DECIDE_ROLE,
        .reason = reason,
        .pool = find_pool_name(node, pool),
        .instance = node->settings.self,
        .value = tenure,
        .alternatives = shard,
    };

    node->host->ops->log_decision(node->host, &decision);
}
