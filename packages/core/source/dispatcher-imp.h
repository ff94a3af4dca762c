/*
 * Inside the dispatcher: accounts, demand, leases, endpoints and entries are
 * rows of tables, named by handles. A pointer into a table is valid until
 * the next call that may add a row to it.
 */
#ifndef LAVENDER_DISPATCHER_IMP_H
#define LAVENDER_DISPATCHER_IMP_H

#include "lavender/dispatcher.h"

/* An idle account or entry is forgotten after this. */
#define DISP_FORGET (60 * LV_SECOND)

/* Contention that begins after a calm of this many report intervals starts
 * a new epoch: what was used in the calm is neither credit nor debt. */
#define DISP_CALM_REPORTS 4

/* Counters of two dispatchers that served apart can not be compared, so an
 * account keeps no more than this lead when they are merged: this many times
 * the larger of quantum and urgent credit. */
#define DISP_MERGED_LEAD 16

/* Lists of handles, linked through a disp_link in each row. */
typedef struct disp_rows {
    void *rows;
    size_t size;
    size_t link;
} disp_rows;

#define DISP_ROWS(table, member)                                              \
    ((disp_rows){(table), sizeof *(table),                                    \
                 (size_t)((char *)&(table)->member - (char *)(table))})

void disp_list_init(disp_list *list);
void disp_list_add(disp_list *list, disp_rows rows, uint32_t row);
void disp_list_remove(disp_list *list, disp_rows rows, uint32_t row);

/* Accounts. */
uint32_t disp_account_make(disp_dispatcher *disp, lv_time now, lv_id id);
void disp_account_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_account_charge(disp_dispatcher *disp, uint32_t row, int64_t service);
void disp_account_claim(disp_dispatcher *disp, uint32_t row, int64_t level,
                        int64_t since);
void disp_account_add_foreign(disp_dispatcher *disp, lv_time now, uint32_t row,
                              uint64_t tenure, int64_t foreign);
void disp_account_drop_guess(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_account_bound_leads(disp_dispatcher *disp, lv_time now);
void disp_account_lift(disp_dispatcher *disp, uint32_t row);
void disp_account_set_catalogue(disp_dispatcher *disp, lv_time now,
                                uint32_t row);
void disp_account_limits_changed(disp_dispatcher *disp, lv_time now);
void disp_account_new_epoch(disp_dispatcher *disp, lv_time now);
int64_t disp_account_level(disp_dispatcher *disp, uint32_t row);
void disp_account_sweep(disp_dispatcher *disp, lv_time now);
const char *disp_account_name(const disp_dispatcher *disp, uint32_t row);

/* Demand of an account at an entry. */
uint32_t disp_demand_make(disp_dispatcher *disp, uint32_t entry,
                          uint32_t account);
uint32_t disp_demand_find(const disp_dispatcher *disp, uint32_t entry,
                          uint32_t account);
void disp_demand_free(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_demand_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_demand_set_waiting(disp_dispatcher *disp, lv_time now, uint32_t row,
                             const uint32_t waiting[CAT_PRIORITY_COUNT],
                             const lv_time oldest[CAT_PRIORITY_COUNT]);
void disp_demand_set_reported(disp_dispatcher *disp, uint32_t row,
                              uint32_t reported);
void disp_demand_add_uncharged(disp_dispatcher *disp, uint32_t row);
void disp_demand_end_begun(disp_dispatcher *disp, uint32_t row);
void disp_demand_clear(disp_dispatcher *disp, lv_time now, uint32_t row);
int64_t disp_demand_age_key(const disp_demand *demand);

/* Endpoints and their slots. */
uint32_t slot_endpoint_find_or_add(disp_dispatcher *disp, lv_id id);
void slot_endpoint_refresh(disp_dispatcher *disp, lv_time now, uint32_t row);
uint32_t *slot_endpoint_heap_index(void *owner, uint32_t row);

/* Leases. */
uint32_t slot_lease_grant(disp_dispatcher *disp, lv_time now,
                          uint32_t endpoint, uint32_t entry, uint32_t demand,
                          const char *reason, uint32_t alternatives);
uint32_t slot_lease_adopt(disp_dispatcher *disp, lv_time now, uint32_t entry,
                          const msg_held *held);
void slot_lease_bind(disp_dispatcher *disp, lv_time now, uint32_t row,
                     uint32_t demand);
void slot_lease_recall(disp_dispatcher *disp, lv_time now, uint32_t row,
                       uint32_t meant_for, const char *reason,
                       uint32_t alternatives);
void slot_lease_acknowledge(disp_dispatcher *disp, lv_time now, uint32_t row);
void slot_lease_free(disp_dispatcher *disp, lv_time now, uint32_t row);

/* Entries. */
uint32_t disp_entry_find(disp_dispatcher *disp, lv_id id);
uint32_t disp_entry_make(disp_dispatcher *disp, lv_time now, lv_id id,
                         uint64_t incarnation);
void disp_entry_keep_sequence(disp_dispatcher *disp, uint32_t row);
void disp_entry_silence(disp_dispatcher *disp, lv_time now, uint32_t row);
void disp_entry_sweep(disp_dispatcher *disp, lv_time now);
bool disp_is_member(const disp_dispatcher *disp, lv_id id);

/* Choices. */
void disp_assign_slots(disp_dispatcher *disp, lv_time now);
void disp_choose_float(disp_dispatcher *disp, lv_time now, uint32_t entry);
void disp_choose_move(disp_dispatcher *disp, lv_time now, uint32_t demand);
void disp_check_settled(disp_dispatcher *disp, lv_time now);

/* Rates. */
void disp_rate_note(disp_dispatcher *disp, lv_time now, uint32_t demand,
                    uint32_t arrivals, bool is_baseline);
void disp_rate_seen(disp_dispatcher *disp, uint32_t entry, uint64_t seen);
void disp_rate_share(disp_dispatcher *disp, lv_time now, uint32_t demand);

/* Messages. */
void disp_send_enqueue(disp_dispatcher *disp, uint32_t entry);
void disp_send_level(disp_dispatcher *disp, lv_time now, uint32_t demand);
void disp_send_answer(disp_dispatcher *disp, uint32_t entry);
void disp_send_flush(disp_dispatcher *disp);
void disp_send_sum(disp_dispatcher *disp, lv_time now);

#endif
