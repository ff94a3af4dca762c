/*
 * Internal interfaces of the node: node.c handles events, node-roles.c assigns
 * the roles of this instance, node-message.c sends and routes messages.
 */
#ifndef LAVENDER_NODE_IMP_H
#define LAVENDER_NODE_IMP_H

#include "lavender/node.h"

/* The vtable of the host that the roles call. It forwards to the node's host,
 * except for messages to this instance, which it queues. */
extern const lv_host_ops node_role_host_ops;

/* Rebuilds the tables of shards and roots for the documents in force, passes
 * the documents to the roles and reassigns the roles. Returns false if memory
 * is exhausted. */
bool node_rebuild_shards(node_state *node);
void node_free_shards(node_state *node);

/* Starts and stops roles after a change of the membership or the documents. */
void node_assign_roles(node_state *node);

/* Stops every dispatcher and counter root. */
void node_stop_roles(node_state *node, const char *reason);

/* Passes the membership's rumours of leaving endpoints to the roles. */
void node_apply_leaving(node_state *node);

/* Return NULL if there is no such shard or pool. */
node_shard *node_find_shard(node_state *node, lv_id pool, uint32_t shard);
node_root *node_find_root(node_state *node, lv_id pool);

/* Delivers queued messages between roles of this instance. */
void node_deliver_local_messages(node_state *node);
void node_free_local_messages(node_state *node);

/* Passes a message to the module that handles its kind. */
void node_route_message(node_state *node, const msg_message *message);

/* Writes the start or stop of a dispatcher to the decision log. */
void node_log_role(node_state *node, const char *reason, lv_id pool,
                   uint32_t shard, uint64_t tenure);

#endif
