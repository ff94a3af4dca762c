#ifndef LAVENDER_QUARANTINE_IMP_H
#define LAVENDER_QUARANTINE_IMP_H

#include "lavender/quarantine.h"

/* Crashes and quarantines are forgotten after this long. */
#define QTN_RETENTION (600 * LV_SECOND)

/* quarantine-suspect.c: the table of suspects */

/* Returns the row of a key; NULL if there is none. */
qtn_suspect *qtn_find(const qtn_table *table, uint64_t key);

/* Returns the row of a key that is accused of a crash, or QTN_NO_CRASH, and
 * adds one if there is none. Returns NULL if the table is full of stronger
 * suspects or memory is exhausted; a later crash of the key counts with this
 * one then. Invalidates pointers to other rows. */
qtn_suspect *qtn_find_or_add(qtn_table *table, uint64_t key, uint32_t crash,
                             lv_id account);

/* Forgets that a key without a row was seen in a crash. */
void qtn_forget_sighting(qtn_table *table, uint64_t key);

#define QTN_NO_CRASH UINT32_MAX

/* Releases a row; ends the quarantine of its key. The last row takes its
 * place. */
void qtn_release(qtn_table *table, qtn_suspect *suspect);

/* quarantine.c */

/* Does an answer that began at a time, 0 for none, show that its key is not
 * the cause of a crash? */
static inline bool
qtn_refutes(const qtn_table *table, lv_time begun_at, lv_time crashed_at)
{
    return begun_at != 0 &&
           begun_at + table->rules->answer_memory > crashed_at;
}

/* Clears a key of the crashes up to a time. Returns whether it was a
 * suspect of one. */
bool qtn_clear(qtn_table *table, uint64_t key, lv_time begun_at);

/* quarantine-report.c: what this instance tells the others */

/* Adds a report about an event at a time. A weak one gives way to others. */
void qtn_add_report(qtn_table *table, const qtn_report *report, bool is_weak,
                    lv_time at, lv_time now);

/* Ends the accusations of a key for crashes up to a time. */
void qtn_void_accusations(qtn_table *table, uint64_t key,
                          lv_time cleared_until);

/* quarantine-decide.c: which key is to blame */

/* Must a request have the key to be refused? */
static inline bool
qtn_is_needed(const qtn_suspect *suspect)
{
    return suspect->is_quarantined && !suspect->is_explained;
}

/* Returns how many crashes of a set have causes of their own. */
uint32_t qtn_count_causes(const qtn_table *table, uint64_t crashes);

static inline uint32_t
qtn_count_bits(uint64_t set)
{
    return (uint32_t)__builtin_popcountll(set);
}

/* Returns the time since the latest crash or refused request. */
static inline lv_time
qtn_idle_time(const qtn_suspect *suspect, lv_time now)
{
    return lv_elapsed(now, suspect->refused_at > suspect->last_crash_at
                               ? suspect->refused_at
                               : suspect->last_crash_at);
}

/* Returns the time to the next trial after so many. */
lv_time qtn_trial_interval(uint32_t trials);
void qtn_begin(qtn_table *table, qtn_suspect *suspect, uint64_t group,
               lv_time now);

/* quarantine-claim.c: keys that other instances have in quarantine */
void qtn_apply_claim(qtn_table *table, const qtn_report *report,
                     uint64_t reporter, lv_time now);

#endif
