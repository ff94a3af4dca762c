/*
 * The files of the node: node.c drives, node-roles.c says which roles this
 * instance has, node-message.c stamps, sends and takes messages.
 */
#ifndef LAVENDER_NODE_IMP_H
#define LAVENDER_NODE_IMP_H

#include "lavender/node.h"

/* The vtable that stands between the parts and the host. */
extern const lv_host_ops node_inner_ops;

/* Bring the table of shards in line with the documents in force. */
bool node_rebuild_shards(node_state *node);
void node_free_shards(node_state *node);

/* Take and give up roles after a change of membership or documents. */
void node_assign_roles(node_state *node);

/* Give up every dispatcher and counter root. */
void node_drop_roles(node_state *node, const char *reason);

/* Pass the membership's rumours of leaving endpoints on. */
void node_apply_leaving(node_state *node);

node_shard *node_find_shard(node_state *node, lv_id pool, uint32_t shard);
node_root *node_find_root(node_state *node, lv_id pool);

/* Deliver what roles of this instance sent to each other. */
void node_deliver_local(node_state *node);
void node_free_local(node_state *node);

/* Give a message to the part that it is for; true when it was taken. */
void node_route_message(node_state *node, const msg_message *message);

/* Write a role decision to the log. */
void node_log_role(node_state *node, const char *reason, lv_id pool,
                   uint32_t shard, uint64_t tenure);

#endif
