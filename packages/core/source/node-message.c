#include <stdlib.h>
#include <string.h>

#include "node-imp.h"

static node_state *
node_of(lv_host *inner)
{
    return (node_state *)inner;
}

/* Reports of changes and grants are many and small: probes and full reports
 * are enough to spread the documents. */
static bool
carries_documents(const msg_message *message)
{
    return message->kind != MSG_GRANT &&
           (message->kind != MSG_REPORT || message->is_full);
}

static void
stamp(node_state *node, lv_id to, msg_message *message)
{
    uint64_t incarnation = 0;

    message->version = MSG_VERSION;
    message->sender = node->settings.self;
    message->incarnation = node->settings.incarnation;
    if (to == node->settings.self) {
        incarnation = node->settings.incarnation;
    }
    else if (!swim_is_live(&node->membership, to, &incarnation)) {
        incarnation = 0;
    }
    message->target_incarnation = incarnation;
    if (carries_documents(message)) {
        doc_read_states(&node->documents, message->docs);
    }
}

static void
queue_local(node_state *node, const msg_message *message)
{
    node_local *local;
    uint32_t place;

    if (node->local_count == NODE_LOCAL_MAX) {
        node->counts.dropped_misplaced++;
        return;
    }
    place = (node->local_first + node->local_count) % NODE_LOCAL_MAX;
    local = &node->local[place];
    if (!msg_encode(message, &local->bytes, &local->size, NULL)) {
        node->counts.dropped_misplaced++;
        return;
    }
    node->local_count++;
    node->counts.messages_local++;
}

static void
inner_send(lv_host *inner, lv_id to, const msg_message *message)
{
    node_state *node = node_of(inner);
    msg_message stamped = *message;

    stamp(node, to, &stamped);
    if (to == node->settings.self) {
        queue_local(node, &stamped);
        return;
    }
    node->counts.messages_out[stamped.kind]++;
    node->host->ops->send(node->host, to, &stamped);
}

static void
inner_start_attempt(lv_host *inner, const lv_attempt *attempt)
{
    lv_host *host = node_of(inner)->host;

    host->ops->start_attempt(host, attempt);
}

static void
inner_cancel_attempt(lv_host *inner, lv_handle request, uint32_t number)
{
    lv_host *host = node_of(inner)->host;

    host->ops->cancel_attempt(host, request, number);
}

static void
inner_finish_request(lv_host *inner, lv_handle request,
                     const out_outcome *outcome)
{
    lv_host *host = node_of(inner)->host;

    host->ops->finish_request(host, request, outcome);
}

static void
inner_log_decision(lv_host *inner, const lv_decision *decision)
{
    lv_host *host = node_of(inner)->host;

    host->ops->log_decision(host, decision);
}

static void
inner_send_order(lv_host *inner, const lv_order *order)
{
    lv_host *host = node_of(inner)->host;

    host->ops->send_order(host, order);
}

static void
inner_document_changed(lv_host *inner, doc_kind doc)
{
    node_state *node = node_of(inner);

    node_rebuild_shards(node);
    node->host->ops->document_changed(node->host, doc);
}

static void
inner_read_platform(lv_host *inner, doc_kind doc, uint32_t part)
{
    lv_host *host = node_of(inner)->host;

    host->ops->read_platform(host, doc, part);
}

const lv_host_ops node_inner_ops = {
    .send = inner_send,
    .start_attempt = inner_start_attempt,
    .cancel_attempt = inner_cancel_attempt,
    .finish_request = inner_finish_request,
    .log_decision = inner_log_decision,
    .send_order = inner_send_order,
    .document_changed = inner_document_changed,
    .read_platform = inner_read_platform,
};

/* The shard that a REPORT or GRANT is about; its tenure is taken note of. */
static node_shard *
find_shard_of(node_state *node, const msg_message *message)
{
    node_shard *shard = node_find_shard(node, message->pool, message->shard);

    if (shard != NULL && message->tenure > shard->tenure) {
        shard->tenure = message->tenure;
    }
    return shard;
}

static void
take_report(node_state *node, const msg_message *message)
{
    node_shard *shard = find_shard_of(node, message);

    if (shard == NULL || shard->dispatcher == NULL) {
        node->counts.dropped_misplaced++;
        return;
    }
    if (!disp_receive_report(shard->dispatcher, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
take_grant(node_state *node, const msg_message *message)
{
    if (find_shard_of(node, message) == NULL) {
        node->counts.dropped_misplaced++;
        return;
    }
    if (!entry_receive_grant(&node->entry, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
take_shard_sum(node_state *node, const msg_message *message)
{
    node_root *root = node_find_root(node, message->pool);

    if (root == NULL || root->root == NULL) {
        node->counts.dropped_misplaced++;
        return;
    }
    if (!root_receive_shard_sum(root->root, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
take_pool_sum(node_state *node, const msg_message *message)
{
    node_root *root = node_find_root(node, message->pool);
    bool was_taken = false;

    if (root != NULL && message->tenure > root->tenure) {
        root->tenure = message->tenure;
    }
    for (uint32_t i = 0; i < node->shard_count; i++) {
        node_shard *shard = &node->shards[i];

        if (shard->pool == message->pool && shard->dispatcher != NULL) {
            was_taken |=
                disp_receive_pool_sum(shard->dispatcher, node->now, message);
        }
    }
    if (!was_taken) {
        node->counts.dropped_misplaced++;
    }
}

void
node_route_message(node_state *node, const msg_message *message)
{
    switch (message->kind) {
    case MSG_PING:
    case MSG_ACK:
    case MSG_PING_REQ:
        if (!swim_receive(&node->membership, node->now, message)) {
            node->counts.dropped_stale++;
        }
        break;
    case MSG_REPORT:
        take_report(node, message);
        break;
    case MSG_GRANT:
        take_grant(node, message);
        break;
    case MSG_SHARD_SUM:
        take_shard_sum(node, message);
        break;
    case MSG_POOL_SUM:
        take_pool_sum(node, message);
        break;
    case MSG_DOC_FETCH:
        doc_receive_fetch(&node->documents, node->now, message);
        break;
    case MSG_DOC_BODY:
        doc_receive_body(&node->documents, node->now, message);
        break;
    case MSG_KIND_END:
        break;
    }
}

/* At most what was queued before the call is delivered, so that two roles
 * that answer each other can not keep the loop busy. */
void
node_deliver_local(node_state *node)
{
    uint32_t due = node->local_count;

    while (due-- > 0) {
        node_local local = node->local[node->local_first];
        msg_message message;

        node->local_first = (node->local_first + 1) % NODE_LOCAL_MAX;
        node->local_count--;
        if (msg_decode(local.bytes, local.size, &message, &node->buffer,
                       NULL)) {
            node_route_message(node, &message);
        }
        free(local.bytes);
    }
}

void
node_free_local(node_state *node)
{
    while (node->local_count > 0) {
        free(node->local[node->local_first].bytes);
        node->local_first = (node->local_first + 1) % NODE_LOCAL_MAX;
        node->local_count--;
    }
}
