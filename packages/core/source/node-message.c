#include <stdlib.h>
#include <string.h>

#include "node-imp.h"

static node_state *
node_from_host(lv_host *role_host)
{
    return (node_state *)role_host;
}

/* Returns whether a message carries the state of the documents. Grants and
 * partial reports are many and small; probes and full reports suffice to
 * spread the state. */
static bool
carries_documents(const msg_message *message)
{
    return message->kind != MSG_GRANT &&
           (message->kind != MSG_REPORT || message->is_full);
}

static void
set_header(node_state *node, lv_id to, msg_message *message)
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
queue_local_message(node_state *node, const msg_message *message)
{
    node_local_message *local;
    uint32_t index;

    if (node->local_message_count == NODE_LOCAL_MESSAGES_MAX) {
        node->counts.dropped_unroutable++;
        return;
    }
    index = (node->first_local_message + node->local_message_count) %
            NODE_LOCAL_MESSAGES_MAX;
    local = &node->local_queue[index];
    if (!msg_encode(message, &local->bytes, &local->size, NULL)) {
        node->counts.dropped_unroutable++;
        return;
    }
    node->local_message_count++;
    node->counts.local_messages++;
}

static void
role_send(lv_host *role_host, lv_id to, const msg_message *message)
{
    node_state *node = node_from_host(role_host);
    msg_message outgoing = *message;

    set_header(node, to, &outgoing);
    if (to == node->settings.self) {
        queue_local_message(node, &outgoing);
        return;
    }
    node->counts.messages_out[outgoing.kind]++;
    node->host->ops->send(node->host, to, &outgoing);
}

static void
role_start_attempt(lv_host *role_host, const lv_attempt *attempt)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->start_attempt(host, attempt);
}

static void
role_cancel_attempt(lv_host *role_host, lv_handle request, uint32_t number)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->cancel_attempt(host, request, number);
}

static void
role_finish_request(lv_host *role_host, lv_handle request,
                    const out_outcome *outcome)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->finish_request(host, request, outcome);
}

static void
role_log_decision(lv_host *role_host, const lv_decision *decision)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->log_decision(host, decision);
}

static void
role_send_order(lv_host *role_host, const lv_order *order)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->send_order(host, order);
}

static void
role_document_changed(lv_host *role_host, doc_kind doc)
{
    node_state *node = node_from_host(role_host);

    node_rebuild_shards(node);
    node->host->ops->document_changed(node->host, doc);
}

static void
role_read_platform(lv_host *role_host, doc_kind doc, uint32_t part)
{
    lv_host *host = node_from_host(role_host)->host;

    host->ops->read_platform(host, doc, part);
}

const lv_host_ops node_role_host_ops = {
    .send = role_send,
    .start_attempt = role_start_attempt,
    .cancel_attempt = role_cancel_attempt,
    .finish_request = role_finish_request,
    .log_decision = role_log_decision,
    .send_order = role_send_order,
    .document_changed = role_document_changed,
    .read_platform = role_read_platform,
};

/* Returns the shard of a REPORT or GRANT and raises its known tenure. */
static node_shard *
find_message_shard(node_state *node, const msg_message *message)
{
    node_shard *shard = node_find_shard(node, message->pool, message->shard);

    if (shard != NULL && message->tenure > shard->tenure) {
        shard->tenure = message->tenure;
    }
    return shard;
}

static void
receive_report(node_state *node, const msg_message *message)
{
    node_shard *shard = find_message_shard(node, message);

    if (shard == NULL || shard->dispatcher == NULL) {
        node->counts.dropped_unroutable++;
        return;
    }
    if (!disp_receive_report(shard->dispatcher, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
receive_grant(node_state *node, const msg_message *message)
{
    if (find_message_shard(node, message) == NULL) {
        node->counts.dropped_unroutable++;
        return;
    }
    if (!entry_receive_grant(&node->entry, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
receive_shard_sum(node_state *node, const msg_message *message)
{
    node_root *root = node_find_root(node, message->pool);

    if (root == NULL || root->root == NULL) {
        node->counts.dropped_unroutable++;
        return;
    }
    if (!root_receive_shard_sum(root->root, node->now, message)) {
        node->counts.dropped_stale++;
    }
}

static void
receive_pool_sum(node_state *node, const msg_message *message)
{
    node_root *root = node_find_root(node, message->pool);
    bool is_received = false;

    if (root != NULL && message->tenure > root->tenure) {
        root->tenure = message->tenure;
    }
    for (uint32_t i = 0; i < node->shard_count; i++) {
        node_shard *shard = &node->shards[i];

        if (shard->pool == message->pool && shard->dispatcher != NULL) {
            is_received |=
                disp_receive_pool_sum(shard->dispatcher, node->now, message);
        }
    }
    if (!is_received) {
        node->counts.dropped_unroutable++;
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
        receive_report(node, message);
        break;
    case MSG_GRANT:
        receive_grant(node, message);
        break;
    case MSG_SHARD_SUM:
        receive_shard_sum(node, message);
        break;
    case MSG_POOL_SUM:
        receive_pool_sum(node, message);
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

/* Delivers only the messages queued before the call, so that two roles that
 * respond to each other cannot keep the loop running. */
void
node_deliver_local_messages(node_state *node)
{
    uint32_t remaining = node->local_message_count;

    while (remaining-- > 0) {
        node_local_message local =
            node->local_queue[node->first_local_message];
        msg_message message;

        node->first_local_message =
            (node->first_local_message + 1) % NODE_LOCAL_MESSAGES_MAX;
        node->local_message_count--;
        if (msg_decode(local.bytes, local.size, &message, &node->buffer,
                       NULL)) {
            node_route_message(node, &message);
        }
        free(local.bytes);
    }
}

void
node_free_local_messages(node_state *node)
{
    while (node->local_message_count > 0) {
        free(node->local_queue[node->first_local_message].bytes);
        node->first_local_message =
            (node->first_local_message + 1) % NODE_LOCAL_MESSAGES_MAX;
        node->local_message_count--;
    }
}
