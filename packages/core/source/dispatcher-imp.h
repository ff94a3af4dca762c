/*
 * Internals of the dispatcher. Accounts, demands, leases, endpoints and
 * entries are rows of tables and referred to by index. A pointer to a row is
 * valid until the next call that may add a row to the same table.
 *
 * Functions that return a row return LV_HANDLE_NONE when there is none or
 * when memory is exhausted.
 */
#ifndef LAVENDER_DISPATCHER_IMP_H
#define LAVENDER_DISPATCHER_IMP_H

#include "lavender/dispatcher.h"

/* Idle accounts, and entries that are no members and no longer report, are
 * removed after this time. */
#define DISP_IDLE_TIMEOUT (60 * LV_SECOND)

/* Contention that begins after at least this many report intervals without
 * any starts a new epoch: service used in between counts neither as credit
 * nor as debt. */
#define DISP_UNCONTENDED_REPORTS 4

/* Counters of two dispatchers that served apart cannot be compared. When
 * they are merged, an account's lead is limited to this many times the
 * larger of quantum and urgent credit, so that it does not starve. */
#define DISP_MERGED_LEAD_FACTOR 16

/* The rows of a table that are linked through one disp_link member. */
typedef struct disp_rows {
    void *rows;
    size_t row_size;
    size_t link_offset;
} disp_rows;

#define DISP_ROWS(table, member)                                              \
    ((disp_rows){(table), sizeof *(table),                                    \
                 (size_t)((char *)&(table)->member - (char *)(table))})

void disp_list_init(disp_list *list);

/* Appends a row that is not in the list. */
void disp_list_add(disp_list *list, disp_rows rows, uint32_t row);

/* Removes a row that is in the list. */
void disp_list_remove(disp_list *list, disp_rows rows, uint32_t row);

/* Accounts. */
uint32_t disp_account_find_or_add(disp_dispatcher *disp, lv_time now,
                                  lv_id id);

/* Updates the account's place in every heap and in the idle list. */
void disp_account_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);

/* Adds service units used at this shard to the account's level. */
void disp_account_charge(disp_dispatcher *disp, uint32_t row, int64_t service);

/* Applies a claim: the level that the entry last received from a dispatcher,
 * and the service units used after that. */
void disp_account_apply_claim(disp_dispatcher *disp, uint32_t row,
                              int64_t level, int64_t service);

/* Applies what the other shards charged, cumulative over the root's tenure.
 * The first value of a tenure only sets the starting point. */
void disp_account_apply_remote(disp_dispatcher *disp, lv_time now,
                               uint32_t row, uint64_t tenure,
                               int64_t remote_charged);

/* Removes the part of the remote estimate that is older than the last
 * SHARD_SUM. A part thus lasts one to two intervals, after which the counter
 * root has reported the true value. */
void disp_account_expire_estimate(disp_dispatcher *disp, lv_time now,
                                  uint32_t row);

/* Limits all leads over the minimum waiting level to the maximum after a
 * merge, see DISP_MERGED_LEAD_FACTOR. */
void disp_account_limit_leads(disp_dispatcher *disp, lv_time now);

/* Raises the level to the minimum of the waiting accounts. */
void disp_account_raise_to_min(disp_dispatcher *disp, uint32_t row);

/* Reads weight and limits from the catalogue. */
void disp_account_apply_catalogue(disp_dispatcher *disp, lv_time now,
                                  uint32_t row);

/* Does the same for all accounts and recalls leases above their limits. */
void disp_account_reload_limits(disp_dispatcher *disp, lv_time now);

/* Starts an epoch: all levels are reset to the highest one. */
void disp_account_begin_epoch(disp_dispatcher *disp, lv_time now);

/* Returns the level in the current epoch, to which it resets the account if
 * necessary. */
int64_t disp_account_current_level(disp_dispatcher *disp, uint32_t row);

/* Removes accounts that have been idle for DISP_IDLE_TIMEOUT. */
void disp_account_remove_idle(disp_dispatcher *disp, lv_time now);

/* Returns the name in the catalogue, or NULL. */
const char *disp_account_name(const disp_dispatcher *disp, uint32_t row);

/* Demand of an account at an entry. */
uint32_t disp_demand_find_or_add(disp_dispatcher *disp, uint32_t entry,
                                 uint32_t account);
uint32_t disp_demand_find(const disp_dispatcher *disp, uint32_t entry,
                          uint32_t account);
void disp_demand_free(disp_dispatcher *disp, lv_time now, uint32_t row);

/* Recomputes the ungranted and uncovered requests after a change of the
 * waiting ones, the grants or the leases. */
void disp_demand_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_demand_set_waiting(disp_dispatcher *disp, lv_time now, uint32_t row,
                             const uint32_t waiting[CAT_PRIORITY_COUNT],
                             const lv_time arrival[CAT_PRIORITY_COUNT]);

/* Sets the waiting requests as the entry reported them; those that were
 * granted since still count. An account that begins to wait gets no credit
 * for the time before: its level is raised to the minimum. */
void disp_demand_set_reported_waiting(disp_dispatcher *disp, uint32_t row,
                                      uint32_t reported);

/* Counts an acknowledged grant, which has started a request. The request's
 * service is charged with the next full or progress report. */
void disp_demand_add_uncharged(disp_dispatcher *disp, uint32_t row);
void disp_demand_clear_uncharged(disp_dispatcher *disp, uint32_t row);
void disp_demand_clear_waiting(disp_dispatcher *disp, lv_time now,
                               uint32_t row);

/* Returns the key in the account's demand heap: the oldest request first,
 * ungranted urgent ones before all others. */
int64_t disp_demand_age_key(const disp_demand *demand);

/* Endpoints and their slots. */
uint32_t slot_endpoint_find_or_add(disp_dispatcher *disp, lv_id id);

/* Updates the number of leases that the endpoint may have, and recalls those
 * above it. */
void slot_endpoint_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);
uint32_t *slot_endpoint_heap_index(void *owner, uint32_t row);

/* Leases. */
uint32_t slot_lease_grant(disp_dispatcher *disp, lv_time now,
                          uint32_t endpoint, uint32_t entry, uint32_t demand,
                          const char *reason, uint32_t alternatives);

/* Adds a lease that another dispatcher granted and an entry claims. */
uint32_t slot_lease_adopt(disp_dispatcher *disp, lv_time now, uint32_t entry,
                          const msg_lease *held);

/* Binds an active lease that is not pending to another demand;
 * LV_HANDLE_NONE makes it a floating lease. */
void slot_lease_bind(disp_dispatcher *disp, lv_time now, uint32_t row,
                     uint32_t demand);

/* Recalls a lease; meant_for is the demand that its slot is reserved for, or
 * LV_HANDLE_NONE. */
void slot_lease_recall(disp_dispatcher *disp, lv_time now, uint32_t row,
                       uint32_t meant_for, const char *reason,
                       uint32_t alternatives);

/* Applies the entry's acknowledgement of a pending lease. */
void slot_lease_acknowledge(disp_dispatcher *disp, lv_time now, uint32_t row);
void slot_lease_free(disp_dispatcher *disp, lv_time now, uint32_t row);

/* Entries. */
uint32_t disp_entry_find(disp_dispatcher *disp, lv_id id);
uint32_t disp_entry_add(disp_dispatcher *disp, lv_time now, lv_id id,
                        uint64_t incarnation);

/* Makes rows that are added later continue the GRANT sequence of this one. */
void disp_entry_save_sequence(disp_dispatcher *disp, uint32_t row);

/* Clears the entry's demand; its leases remain. */
void disp_entry_set_unresponsive(disp_dispatcher *disp, lv_time now,
                                 uint32_t row);

/* Expires the leases of silent entries and removes entries that are no
 * longer needed. */
void disp_entry_check_timeouts(disp_dispatcher *disp, lv_time now);
bool disp_is_member(const disp_dispatcher *disp, lv_id id);

/* Assignment of slots. */

/* Grants free slots to waiting accounts, and recalls slots for accounts that
 * are behind or have urgent requests. Does nothing before the dispatcher is
 * settled. */
void disp_assign_slots(disp_dispatcher *disp, lv_time now);

/* Grants the entry a floating lease, or recalls those that it has too many
 * of. */
void disp_adjust_floating(disp_dispatcher *disp, lv_time now, uint32_t entry);

/* Recalls leases of a demand that has used more than a quantum for the
 * oldest demand of the same account, at another entry. */
void disp_move_leases(disp_dispatcher *disp, lv_time now, uint32_t demand);

/* Marks the dispatcher as settled once all members have reported or the
 * settle timeout has passed. */
void disp_check_settled(disp_dispatcher *disp, lv_time now);

/* Rate limits. */

/* Records the cumulative arrivals that an entry reports. is_baseline: the
 * report is a claim, so its arrivals are only the starting point. */
void disp_rate_record_arrivals(disp_dispatcher *disp, lv_time now,
                               uint32_t demand, uint32_t arrivals,
                               bool is_baseline);

/* Returns allowances to their buckets once the entry has acknowledged the
 * GRANT that reclaimed them; seen is the last GRANT that it received. */
void disp_rate_acknowledge(disp_dispatcher *disp, uint32_t entry,
                           uint64_t seen);

/* Raises the demand's allowance by its part of the account's bucket, in
 * proportion to recent arrivals. If nothing is left of it, reclaims what
 * other entries do not use. */
void disp_rate_issue_allowance(disp_dispatcher *disp, lv_time now,
                               uint32_t demand);

/* Messages. */

/* Adds an entry to the send queue. */
void disp_send_enqueue(disp_dispatcher *disp, uint32_t entry);

/* Adds the account's level and the demand's allowance to the next GRANT, once
 * for each report. */
void disp_send_append_level(disp_dispatcher *disp, lv_time now,
                            uint32_t demand);

/* Answers a full report: sends new grants, all recalls and the levels. */
void disp_send_reply(disp_dispatcher *disp, uint32_t entry);

/* Sends a GRANT to each entry of the send queue. */
void disp_send_flush(disp_dispatcher *disp);

/* Sends a SHARD_SUM if a counter root is set and the sum is due. */
void disp_send_shard_sum(disp_dispatcher *disp, lv_time now);

#endif
