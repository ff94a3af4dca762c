#include "quarantine-imp.h"

/* Marks the suspects that a request has. */
static void
mark_keys(qtn_table *table, const qtn_keys *keys)
{
    uint32_t i;

    table->check_count++;
    for (i = 0; i < keys->count; i++) {
        qtn_suspect *suspect = qtn_find(table, keys->keys[i]);

        if (suspect != NULL) {
            suspect->check = table->check_count;
        }
    }
}

/* Does the request that was marked have all keys of the group that no other
 * explains? */
static bool
has_group(const qtn_table *table, uint64_t group)
{
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (qtn_is_needed(suspect) && suspect->group == group &&
            suspect->check != table->check_count) {
            return false;
        }
    }
    return true;
}

static void
begin_trial(qtn_table *table, uint64_t group, lv_time now)
{
    uint32_t i;

    table->counts.trials++;
    for (i = 0; i < table->suspect_count; i++) {
        qtn_suspect *suspect = &table->suspects[i];

        if (suspect->is_quarantined && suspect->group == group) {
            suspect->trials++;
            suspect->trial_at = now + qtn_trial_interval(suspect->trials);
            table->ops->on_change(table, suspect, "trial");
        }
    }
}

/* Returns a suspect for which the request that was marked is not to be sent;
 * NULL: none. */
static qtn_suspect *
find_reason(const qtn_table *table, lv_id account)
{
    uint64_t lacking = 0; /* a group that the request has not all keys of */
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        qtn_suspect *suspect = &table->suspects[i];

        if (suspect->check != table->check_count || !qtn_is_needed(suspect) ||
            (!suspect->has_other_accounts && suspect->account != account) ||
            suspect->group == lacking) {
            continue;
        }
        if (has_group(table, suspect->group)) {
            return suspect;
        }
        lacking = suspect->group;
    }
    return NULL;
}

bool
qtn_is_refused(qtn_table *table, const qtn_keys *keys, lv_id account,
               bool starts, lv_time now, lv_time *retry_after)
{
    qtn_suspect *suspect;

    if (table->quarantined_count == 0) {
        return false;
    }
    mark_keys(table, keys);
    suspect = find_reason(table, account);
    if (suspect == NULL) {
        return false;
    }
    if (now < suspect->trial_at ||
        suspect->trials >= table->rules->trials_max ||
        !table->ops->may_try(table, suspect->group)) {
        *retry_after = now < suspect->trial_at ? suspect->trial_at - now
                                               : QTN_FIRST_TRIAL;
        if (table->rules->is_kept_while_sent) {
            suspect->refused_at = now;
        }
        return true;
    }
    if (starts) {
        begin_trial(table, suspect->group, now);
    }
    return false;
}
