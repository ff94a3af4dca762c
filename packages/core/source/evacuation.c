#include "lavender/evacuation.h"

#include <string.h>

void
evc_init(evc_set *set)
{
    memset(set, 0, sizeof *set);
}

static evc_zone *
find_zone(const evc_set *set, lv_id id)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        if (set->zones[i].id == id) {
            return (evc_zone *)&set->zones[i];
        }
    }
    return NULL;
}

bool
evc_is_evacuated(const evc_set *set, lv_id id)
{
    const evc_zone *zone = find_zone(set, id);

    return zone != NULL && zone->is_evacuated;
}

/* Prefers to drop zones in service, the oldest first, and then zones that only
 * other instances have named. */
static evc_zone *
find_droppable(evc_set *set)
{
    evc_zone *found = NULL;
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        evc_zone *zone = &set->zones[i];

        if (zone->is_evacuated && zone->source == EVC_STORE) {
            continue;
        }
        if (found == NULL || (found->is_evacuated && !zone->is_evacuated) ||
            (found->is_evacuated == zone->is_evacuated &&
             zone->changed_at < found->changed_at)) {
            found = zone;
        }
    }
    return found;
}

static evc_zone *
add_zone(evc_set *set, lv_id id, evc_source source)
{
    evc_zone *zone;

    if (set->count < EVC_ZONES_MAX) {
        zone = &set->zones[set->count++];
    }
    else {
        zone = find_droppable(set);
        if (zone == NULL || (zone->is_evacuated && source == EVC_PEER)) {
            return NULL;
        }
    }
    memset(zone, 0, sizeof *zone);
    zone->id = id;
    return zone;
}

static void
set_state(evc_zone *zone, bool is_evacuated, evc_position position,
          evc_source source, lv_time now)
{
    if (zone->is_evacuated != is_evacuated) {
        zone->is_evacuated = is_evacuated;
        zone->changed_at = now;
        zone->change = is_evacuated ? EVC_EVACUATED : EVC_RETURNED;
    }
    zone->position = position;
    zone->source = source;
    zone->believed_at = 0;
    zone->doubted_era = 0;
    zone->is_list_due = false;
}

/* Lists that lack the zone are not believed before a time. */
static void
doubt_copy(evc_zone *zone, uint64_t era, lv_time believed_at)
{
    zone->believed_at = believed_at;
    zone->doubted_era = era;
    zone->is_list_due = true;
    if (zone->change == EVC_NO_CHANGE) {
        zone->change = EVC_KEPT;
    }
}

static evc_zone *
find_or_add(evc_set *set, lv_id id, evc_source source)
{
    evc_zone *zone = find_zone(set, id);

    return zone != NULL ? zone : add_zone(set, id, source);
}

bool
evc_apply_item(evc_set *set, const char *name, lv_id id, bool is_evacuated,
               evc_position position, lv_time now)
{
    evc_zone *zone = find_or_add(set, id, EVC_STORE);

    if (zone == NULL) {
        return !is_evacuated;
    }
    lv_shorten_name(zone->name, sizeof zone->name, name);
    zone->is_in_list = is_evacuated;
    if (evc_is_after(position, zone->position)) {
        set_state(zone, is_evacuated, position, EVC_STORE, now);
    }
    return true;
}

void
evc_begin_list(evc_set *set)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        set->zones[i].is_in_list = false;
    }
}

static void
settle_zone(evc_zone *zone, evc_position position, lv_time now)
{
    if (zone->is_in_list == zone->is_evacuated ||
        !evc_is_after(position, zone->position)) {
        return;
    }
    if (zone->is_in_list) {
        set_state(zone, true, position, EVC_STORE, now);
    }
    else if (position.era > zone->position.era &&
             position.era > zone->doubted_era) {
        doubt_copy(zone, position.era, now + EVC_COPY_EXPIRY);
    }
    else if (now >= zone->believed_at) {
        set_state(zone, false, position, EVC_STORE, now);
    }
}

void
evc_end_list(evc_set *set, evc_position position, lv_time now)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        settle_zone(&set->zones[i], position, now);
    }
}

void
evc_note_view(evc_set *set, evc_position position, lv_time now)
{
    if (!set->has_view || position.era > set->view.era) {
        set->copy_expires_at = now + EVC_COPY_EXPIRY;
    }
    /* A relay may be behind the one that was read from before. */
    if (!set->has_view || evc_is_after(position, set->view)) {
        set->view = position;
    }
    set->has_view = true;
}

/* The notice is from before the view. In a new era the view may be an older
 * copy, which lacks what was acknowledged before: then the zone is evacuated
 * until the copy is believed. */
static bool
apply_earlier_notice(evc_set *set, const evc_notice *notice, lv_time now)
{
    evc_zone *zone = find_zone(set, notice->zone);

    if (!notice->is_evacuated || notice->position.era >= set->view.era ||
        now >= set->copy_expires_at ||
        (zone != NULL && !evc_is_after(notice->position, zone->position))) {
        return false;
    }
    zone = find_or_add(set, notice->zone, EVC_PEER);
    if (zone == NULL) {
        return false;
    }
    set_state(zone, true, notice->position, EVC_PEER, now);
    doubt_copy(zone, set->view.era, set->copy_expires_at);
    return true;
}

bool
evc_apply_notice(evc_set *set, const evc_notice *notice, lv_time now)
{
    evc_zone *zone;

    if (set->has_view && !evc_is_after(notice->position, set->view)) {
        return apply_earlier_notice(set, notice, now);
    }
    zone = find_or_add(set, notice->zone, EVC_PEER);
    if (zone == NULL || !evc_is_after(notice->position, zone->position)) {
        return false;
    }
    set_state(zone, notice->is_evacuated, notice->position, EVC_PEER, now);
    return true;
}

bool
evc_needs_list(evc_set *set, lv_time now)
{
    bool is_due = false;
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        evc_zone *zone = &set->zones[i];

        if (zone->is_list_due && now >= zone->believed_at) {
            zone->is_list_due = false;
            is_due = true;
        }
    }
    return is_due;
}

const evc_zone *
evc_take_change(evc_set *set, evc_change *change)
{
    uint32_t i;

    for (i = 0; i < set->count; i++) {
        evc_zone *zone = &set->zones[i];

        if (zone->change != EVC_NO_CHANGE) {
            *change = zone->change;
            zone->change = EVC_NO_CHANGE;
            return zone;
        }
    }
    return NULL;
}

static bool
is_to_be_told(const evc_zone *zone, lv_time now)
{
    return zone->is_evacuated ||
           (zone->changed_at != 0 &&
            lv_elapsed(now, zone->changed_at) < EVC_RETURN_NOTICE_TIME);
}

uint32_t
evc_collect_notices(evc_set *set, lv_time now, evc_notice *notices,
                    uint32_t max)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < set->count && count < max; i++) {
        const evc_zone *zone =
            &set->zones[(set->next_notice + i) % set->count];

        if (is_to_be_told(zone, now)) {
            notices[count].zone = zone->id;
            notices[count].position = zone->position;
            notices[count].is_evacuated = zone->is_evacuated;
            count++;
        }
    }
    set->next_notice =
        set->count > 0 ? (set->next_notice + i) % set->count : 0;
    return count;
}
