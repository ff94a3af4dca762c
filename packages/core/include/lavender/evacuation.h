/*
 * The zones that an operator evacuates: their endpoints are sent no further
 * requests until the zone returns to service. A set keeps the latest notice of
 * each zone with its position in the history of the store, so that notices
 * that arrive late, twice or in any order have no effect. Notices come from
 * the store and from other instances, which may be able to read the store
 * while this one is not.
 *
 * A list of the store that lacks a zone returns it to service. If the list is
 * of a later era, it may be an older copy in which the operator has yet to
 * write the key again, so it is believed only if a list still lacks the zone
 * after EVC_COPY_EXPIRY.
 */
#ifndef LAVENDER_EVACUATION_H
#define LAVENDER_EVACUATION_H

#include "lavender/types.h"

/* Zones with a notice. Operators name a few; the oldest ones that are in
 * service are forgotten first. */
#define EVC_ZONES_MAX 64

/* How long an older copy of the store is not believed: as for endpoints that
 * left. */
#define EVC_COPY_EXPIRY (5 * LV_SECOND)

/* Instances tell each other for this long that a zone returned to service:
 * four broadcasts of each instance in a fleet of 1,500. */
#define EVC_RETURN_NOTICE_TIME (30 * LV_SECOND)

/* A point in the history of the store. Revisions are given out again in a
 * later era. */
typedef struct evc_position {
    uint64_t era; /* 0: the store names none */
    uint64_t revision;
} evc_position;

typedef enum evc_source {
    EVC_STORE,
    EVC_PEER
} evc_source;

typedef enum evc_change {
    EVC_NO_CHANGE,
    EVC_EVACUATED,
    EVC_RETURNED,
    EVC_KEPT /* evacuated, although a later era lacks the zone's key: that is
                not believed yet */
} evc_change;

/* What one instance tells another. */
typedef struct evc_notice {
    lv_id zone;
    evc_position position;
    bool is_evacuated;
} evc_notice;

typedef struct evc_zone {
    lv_id id;                /* hash of the name */
    char name[LV_NAME_SIZE]; /* "": the store has not named it to this
                                instance */
    bool is_evacuated;
    evc_position position; /* of the latest notice */
    evc_source source;     /* of it */
    bool is_in_list;       /* evacuated, in the list that is being read */
    lv_time believed_at;   /* a list that lacks it is believed from then on; 0:
                              at once */
    uint64_t doubted_era;  /* of the lists that are not believed before */
    bool is_list_due;      /* evc_needs_list has not reported it */
    lv_time changed_at;
    evc_change change; /* that evc_take_change has not returned */
} evc_zone;

typedef struct evc_set {
    evc_zone zones[EVC_ZONES_MAX];
    uint32_t count;
    evc_position view; /* all changes up to it were read from the store */
    bool has_view;     /* a whole list was read */
    lv_time copy_expires_at; /* the view's era may begin with an older copy
                                until then */
    uint32_t next_notice;    /* zone that evc_collect_notices begins with */
} evc_set;

void evc_init(evc_set *set);

static inline bool
evc_is_after(evc_position one, evc_position other)
{
    return one.era != other.era ? one.era > other.era
                                : one.revision > other.revision;
}

/* Returns whether a zone is evacuated. */
bool evc_is_evacuated(const evc_set *set, lv_id zone);

/* Applies an item of the store: the zone's key was written or deleted at a
 * position. Returns false when the set is full of evacuated zones. */
bool evc_apply_item(evc_set *set, const char *name, lv_id zone,
                    bool is_evacuated, evc_position position, lv_time now);

/* Bracket the items of a full list, which shows the store at `position`. */
void evc_begin_list(evc_set *set);
void evc_end_list(evc_set *set, evc_position position, lv_time now);

/* Records that all changes of the store up to a position were applied. */
void evc_note_view(evc_set *set, evc_position position, lv_time now);

/* Applies the notice of another instance, unless this one has read the store
 * at its position or later. Returns whether it changed the set. */
bool evc_apply_notice(evc_set *set, const evc_notice *notice, lv_time now);

/* Returns whether the store should be listed again, because an older copy is
 * believed by now. True once for each time that a list was not believed. */
bool evc_needs_list(evc_set *set, lv_time now);

/* Returns a zone that has changed since the last call for it, and the change;
 * NULL: none has. The pointer is valid until the set is changed. */
const evc_zone *evc_take_change(evc_set *set, evc_change *change);

/* Writes what other instances should be told: zones that are evacuated, and
 * those that returned to service within EVC_RETURN_NOTICE_TIME. Successive
 * calls begin with different ones if there are more than `max`. Returns the
 * number of notices. */
uint32_t evc_collect_notices(evc_set *set, lv_time now, evc_notice *notices,
                             uint32_t max);

#endif
