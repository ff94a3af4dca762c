/*
 * The dispatcher role of one pool shard: it owns the slots of the shard's
 * endpoints and leases them to entries for accounts, so that the accounts'
 * virtual counters stay together and no slot idles while work waits.
 *
 * See docs/DESIGN.md for the protocol and docs/FAIRNESS.md for the bound.
 */
#ifndef LAVENDER_DISPATCHER_H
#define LAVENDER_DISPATCHER_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

#define DISP_SHARD_ENDPOINTS_MAX 64

typedef struct disp_settings {
    lv_time lease_ttl;       /* length of a lease */
    lv_time lease_margin;    /* the dispatcher waits this much longer */
    lv_time report_interval; /* entries report at least this often */
    lv_time settle;          /* a new dispatcher grants nothing unclaimed
                                until all claims are in, or this long */
} disp_settings;

typedef struct disp_dispatcher disp_dispatcher;

/* The engine's lagging load report. */
typedef struct disp_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots; /* 0: the engine does not say */
} disp_load;

bool disp_init(disp_dispatcher *dispatcher, lv_host *host,
               const disp_settings *settings, lv_id self, lv_id pool,
               uint32_t shard, uint64_t tenure, lv_time now, err_error *error);
void disp_finish(disp_dispatcher *dispatcher);

/* The catalogue or lists changed; both stay valid until the next call. */
void disp_set_views(disp_dispatcher *dispatcher, lv_time now,
                    const cat_catalogue *catalogue, const world_lists *lists);

/* Entries that may hold leases, from the membership. A dead one's leases
 * run to their deadline. visible_share: thousandths of every endpoint's
 * slots this side may use (1000 when no partition is seen). */
void disp_set_members(disp_dispatcher *dispatcher, lv_time now,
                      const lv_id *instances, uint32_t count,
                      uint32_t visible_share);

void disp_set_leaving(disp_dispatcher *dispatcher, lv_time now, lv_id endpoint,
                      bool leaving);

void disp_take_load(disp_dispatcher *dispatcher, lv_time now, lv_id endpoint,
                    const disp_load *load);

/* Take a REPORT; false when it was dropped (old, foreign). */
bool disp_take_report(disp_dispatcher *dispatcher, lv_time now,
                      const msg_message *message);

/* Take the counter root's POOL_SUM. */
bool disp_take_pool_sum(disp_dispatcher *dispatcher, lv_time now,
                        const msg_message *message);

/* Grant, recall, answer reports, expire leases; also sends SHARD_SUM to the
 * counter root when one is set. Grants that follow from a report are sent
 * by disp_take_report itself. */
void disp_tick(disp_dispatcher *dispatcher, lv_time now);
lv_time disp_next_tick(const disp_dispatcher *dispatcher);

/* The pool's counter root, or LV_ID_NONE when the pool has one shard. */
void disp_set_root(disp_dispatcher *dispatcher, lv_id root);

typedef struct disp_counts {
    uint64_t grants;
    uint64_t recalls;
    uint64_t expired; /* leases that ran out */
    uint64_t stale_reports;
    uint64_t decisions; /* choices of an account */
    uint32_t slots;
    uint32_t leased;
    uint32_t active_accounts;
    int64_t lead; /* largest counter - smallest, backlogged ones */
    bool is_settled;
    size_t memory; /* bytes held */
} disp_counts;

void disp_read_counts(const disp_dispatcher *dispatcher, disp_counts *counts);

/* The counter root of a pool: sums the shards' service per account. */
typedef struct root_root root_root;

bool root_init(root_root *root, lv_host *host, lv_id self, lv_id pool,
               uint64_t tenure, lv_time now, err_error *error);
void root_finish(root_root *root);
bool root_take_shard_sum(root_root *root, lv_time now,
                         const msg_message *message);
void root_tick(root_root *root, lv_time now);

#endif
