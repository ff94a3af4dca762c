/*
 * One instance of the fleet: all roles of one process joined together. The
 * daemon and the tests drive this object; it decides, the host acts.
 */
#ifndef LAVENDER_NODE_H
#define LAVENDER_NODE_H

#include "lavender/dispatcher.h"
#include "lavender/document.h"
#include "lavender/entry.h"
#include "lavender/host.h"
#include "lavender/ledger.h"
#include "lavender/membership.h"
#include "lavender/placement.h"
#include "lavender/ticket.h"

typedef struct node_settings {
    lv_id self;           /* hash of the instance's name */
    uint64_t incarnation; /* must grow with every restart */
    uint64_t seed;
    lv_time pause_limit; /* a longer gap between ticks counts as a pause */
    uint32_t ledger_lines;
    entry_settings entry;
    disp_settings dispatcher;
    swim_settings membership;
    doc_settings documents;
    place_settings placement;
    tkt_settings tickets;
} node_settings;

/* The shards of all pools, with their dispatchers as this instance sees
 * them. */
typedef struct node_shard {
    lv_id pool;
    uint32_t shard;
    uint32_t shard_count;        /* of the pool */
    lv_id winner;                /* the dispatcher in this instance's view */
    uint64_t tenure;             /* highest seen */
    disp_dispatcher *dispatcher; /* this instance's, or NULL */
} node_shard;

/* The counter roots of pools with several shards. */
typedef struct node_root {
    lv_id pool;
    uint64_t tenure;  /* highest seen */
    root_state *root; /* this instance's, or NULL */
} node_root;

typedef struct node_counts {
    uint64_t messages_in[MSG_KIND_END];
    uint64_t messages_out[MSG_KIND_END];
    uint64_t messages_local; /* between roles of this instance */
    uint64_t dropped_invalid_sender;
    uint64_t dropped_stale;
    uint64_t dropped_misplaced; /* for a role that is not here */
    uint64_t pauses;
    uint64_t role_changes;
} node_counts;

/* A message from one role of this instance to another, encoded. */
typedef struct node_local {
    char *bytes;
    size_t size;
} node_local;

#define NODE_LOCAL_MAX 1024

/* One window of the ledger. */
#define NODE_LEDGER_WINDOW LV_SECOND

/* Fields are private. */
typedef struct node_state {
    lv_host inner; /* what the parts see; first member */
    lv_host *host;
    node_settings settings;
    entry_state entry;
    doc_store documents;
    swim_membership membership;
    tkt_store tickets;
    ledger_store ledger;
    place_placement placement;
    node_shard *shards; /* sorted by pool and shard */
    uint32_t shard_count;
    node_root *roots; /* sorted by pool */
    uint32_t root_count;
    lv_id *members; /* scratch, one per listed instance */
    uint32_t member_capacity;
    uint64_t member_revision;         /* of the membership last applied */
    node_local local[NODE_LOCAL_MAX]; /* ring */
    uint32_t local_first;
    uint32_t local_count;
    msg_buffer buffer;
    lv_time now;
    lv_time last_drive;
    lv_time stale_until; /* after a pause: no roles before this */
    bool is_draining;
    node_counts counts;
} node_state;

/* Set up a node in memory that the caller owns. */
bool node_init(node_state *node, lv_host *host, const node_settings *settings,
               lv_time now, err_error *error);
void node_finish(node_state *node);

/* Defaults for every setting but self, incarnation, seed and the key. */
void node_default_settings(node_settings *settings);

/* Drive. Every call that may follow a long pause checks for one first.
 * node_tick also delivers messages between the roles of this instance, which
 * any call into the node or its parts may leave behind: read node_next_tick
 * after every such call. */
void node_tick(node_state *node, lv_time now, uint64_t wall_seconds);
lv_time node_next_tick(const node_state *node);
void node_receive_message(node_state *node, lv_time now,
                          const msg_message *message);
void node_receive_load(node_state *node, lv_time now, lv_id endpoint,
                       const disp_load *load, const lv_id *models,
                       uint32_t model_count);

/* Stop taking requests, give up the roles; ready to exit when idle. */
void node_drain(node_state *node, lv_time now);
bool node_is_idle(const node_state *node);

/* Say goodbye before the process ends, so that the peers need no suspicion
 * to hold this instance gone. Nothing is sent to them after that. */
void node_leave(node_state *node, lv_time now);

/* Ready to take callers' requests: documents in force, not draining. */
bool node_is_ready(const node_state *node);

/* Should this instance watch the platform now? */
bool node_is_watcher(const node_state *node);

/* Endpoints whose load this instance polls (it dispatches them). */
uint32_t node_collect_dispatched_endpoints(const node_state *node, lv_id *ids,
                                           uint32_t capacity);

/* The parts, for requests, documents and status. */
entry_state *node_entry(node_state *node);
doc_store *node_documents(node_state *node);
swim_membership *node_membership(node_state *node);
tkt_store *node_tickets(node_state *node);
ledger_store *node_ledger(node_state *node);
place_placement *node_placement(node_state *node);

/* The dispatchers that this instance runs. */
uint32_t node_dispatcher_count(const node_state *node);
const disp_dispatcher *node_dispatcher_at(const node_state *node,
                                          uint32_t index, lv_id *pool,
                                          uint32_t *shard, uint64_t *tenure);

const node_counts *node_read_counts(const node_state *node);

#endif
