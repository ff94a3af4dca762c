/*
 * One instance of the fleet: it connects all roles of one process. The daemon
 * and the tests call it with every event; it makes the decisions, and the host
 * does the I/O.
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
    lv_id self;           /* hash of the name of this instance */
    uint64_t incarnation; /* must be higher after every restart */
    uint64_t seed;
    lv_time pause_limit; /* a longer gap between two calls counts as a pause of
                            the process */
    uint32_t ledger_lines;
    entry_settings entry;
    disp_settings dispatcher;
    swim_settings membership;
    doc_settings documents;
    place_settings placement;
    tkt_settings tickets;
} node_settings;

/* One shard of a pool, and its dispatcher according to the membership that
 * this instance knows. */
typedef struct node_shard {
    lv_id pool;
    uint32_t shard;
    uint32_t shard_count;        /* of the pool */
    lv_id dispatcher_id;         /* the instance that runs the dispatcher */
    uint64_t tenure;             /* highest that this instance knows */
    disp_dispatcher *dispatcher; /* NULL unless this instance runs it */
} node_shard;

/* The counter root of one pool, used while the pool has several shards. */
typedef struct node_root {
    lv_id pool;
    uint64_t tenure;  /* highest that this instance knows */
    root_state *root; /* NULL unless this instance runs it */
} node_root;

typedef struct node_counts {
    uint64_t messages_in[MSG_KIND_END];
    uint64_t messages_out[MSG_KIND_END];
    uint64_t local_messages;         /* between roles of this instance */
    uint64_t dropped_invalid_sender; /* messages that name this instance as
                                        their sender */
    uint64_t dropped_stale;      /* outdated, or rejected by their receiver */
    uint64_t dropped_unroutable; /* for a role that is not run here, or local
                                    ones that could not be queued */
    uint64_t pauses;             /* of this process */
    uint64_t role_changes;       /* dispatchers started or stopped */
} node_counts;

/* An encoded message from one role of this instance to another. */
typedef struct node_local_message {
    char *bytes;
    size_t size;
} node_local_message;

#define NODE_LOCAL_MESSAGES_MAX 1024

/* Length of one window of the ledger. */
#define NODE_LEDGER_WINDOW LV_SECOND

/* The fields are private. */
typedef struct node_state {
    lv_host role_host; /* the host that the roles call; first member */
    lv_host *host;
    node_settings settings;
    entry_state entry;
    doc_store documents;
    swim_membership membership;
    tkt_store tickets;
    ledger_store ledger;
    place_state placement;
    node_shard *shards; /* sorted by pool and shard */
    uint32_t shard_count;
    node_root *roots; /* sorted by pool */
    uint32_t root_count;
    lv_id *instance_ids; /* scratch, one for each member */
    uint32_t instance_id_capacity;
    uint64_t applied_revision; /* of the membership that the roles follow */
    bool has_stopped_roles;    /* by a pause; they are still to be assigned */
    node_local_message local_queue[NODE_LOCAL_MESSAGES_MAX]; /* ring buffer */
    uint32_t first_local_message;
    uint32_t local_message_count;
    msg_buffer buffer;
    lv_time now;
    lv_time last_call_at;
    lv_time stale_until; /* no roles are assigned before this, set after a
                            pause */
    bool is_draining;
    node_counts counts;
} node_state;

/* Initializes a node in memory that the caller owns. Returns false and sets
 * error if the settings are invalid or memory is exhausted. */
bool node_init(node_state *node, lv_host *host, const node_settings *settings,
               lv_time now, err_error *error);
void node_finish(node_state *node);

/* Fills in the defaults of all settings except self, incarnation, seed and the
 * ticket key. */
void node_default_settings(node_settings *settings);

/* Runs whatever is due. wall_seconds is the time of day, in seconds since the
 * epoch, that selects the window of the ledger.
 *
 * This and the other functions that take `now` first check whether the process
 * was paused since the last call. node_tick also delivers messages between the
 * roles of this instance. Any call to the node or to one of its modules may
 * queue such messages: read node_next_tick after every call. */
void node_tick(node_state *node, lv_time now, uint64_t wall_seconds);
lv_time node_next_tick(const node_state *node);

/* Handles a message received from a peer. */
void node_receive_message(node_state *node, lv_time now,
                          const msg_message *message);

/* Handles the load report of an endpoint, which lists its loaded models. */
void node_receive_load(node_state *node, lv_time now, lv_id endpoint,
                       const disp_load *load, const lv_id *models,
                       uint32_t model_count);

/* Stops accepting requests and releases the roles. The process can exit once
 * node_is_idle returns true. */
void node_drain(node_state *node, lv_time now);
bool node_is_idle(const node_state *node);

/* Announces to the peers that this instance leaves, before the process ends,
 * so that they need no suspicion to remove it. Sends them nothing after
 * that. */
void node_leave(node_state *node, lv_time now);

/* Returns whether this instance accepts callers' requests: the documents are
 * in force and it is not draining. */
bool node_is_ready(const node_state *node);

/* Returns whether this instance should watch the platform now. */
bool node_is_watcher(const node_state *node);

/* Writes the ids of the endpoints whose slots this instance dispatches and
 * whose load it therefore polls. Returns the number written. */
uint32_t node_collect_dispatched_endpoints(const node_state *node, lv_id *ids,
                                           uint32_t capacity);

/* Modules of the node, for requests, documents and status. */
entry_state *node_entry(node_state *node);
doc_store *node_documents(node_state *node);
swim_membership *node_membership(node_state *node);
tkt_store *node_tickets(node_state *node);
ledger_store *node_ledger(node_state *node);
place_state *node_placement(node_state *node);

/* Returns the number of dispatchers that this instance runs. */
uint32_t node_dispatcher_count(const node_state *node);

/* Returns the dispatcher at an index below node_dispatcher_count, with its
 * pool, shard and tenure; NULL if the index is out of range. */
const disp_dispatcher *node_dispatcher_at(const node_state *node,
                                          uint32_t index, lv_id *pool,
                                          uint32_t *shard, uint64_t *tenure);

const node_counts *node_read_counts(const node_state *node);

#endif
