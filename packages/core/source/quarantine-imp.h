#ifndef LAVENDER_QUARANTINE_IMP_H
#define LAVENDER_QUARANTINE_IMP_H

#include "lavender/quarantine.h"

/* Crashes and quarantines are forgotten after this long. */
#define QTN_RETENTION (600 * LV_SECOND)

/* Returns the row of a block; NULL if there is none. */
qtn_suspect *qtn_find(const qtn_table *table, uint64_t block);

/* Returns the row of a block, added if it is new; NULL when all rows are
 * quarantined. */
qtn_suspect *qtn_find_or_add(qtn_table *table, uint64_t block);

/* Releases a row; ends the quarantine of its block. */
void qtn_release(qtn_table *table, qtn_suspect *suspect);

/* Returns when the latest known answer began on a block; 0: none. */
lv_time qtn_last_answer(const qtn_table *table, uint64_t block);

/* Clears a block of the crashes up to a time. Returns whether it was a
 * suspect of one. */
bool qtn_clear(qtn_table *table, uint64_t block, lv_time begun_at);

/* quarantine-report.c: what this instance tells the others */

/* Adds a report about an event at a time. */
void qtn_add_report(qtn_table *table, const qtn_report *report, lv_time at,
                    lv_time now);

/* Ends the accusations of a block that an answer refutes. */
void qtn_void_accusations(qtn_table *table, uint64_t block, lv_time begun_at);

/* quarantine-decide.c: which block is to blame */

/* Must a prompt have the block to be refused? */
static inline bool
qtn_is_needed(const qtn_suspect *suspect)
{
    return suspect->is_quarantined && !suspect->is_explained;
}

/* Returns the time to the next trial after so many. */
lv_time qtn_trial_interval(uint32_t trials);
void qtn_begin(qtn_table *table, qtn_suspect *suspect, uint64_t group,
               lv_time now);

/* quarantine-claim.c: blocks that other instances have in quarantine */
void qtn_apply_claim(qtn_table *table, const qtn_report *report,
                     uint64_t reporter, lv_time now);

#endif
