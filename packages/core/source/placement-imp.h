/*
 * Parts of placement: the rows of endpoints, and the choice of orders.
 */
#ifndef LAVENDER_PLACEMENT_IMP_H
#define LAVENDER_PLACEMENT_IMP_H

#include "lavender/placement.h"

/* placement-wanted.c */

/* Work out the rows and their wanted models anew; what is known of an
 * endpoint is kept. */
void place_rebuild(place_state *placement);

place_row *place_find(const place_state *placement, lv_id endpoint);
bool place_has_loaded(const place_row *row, lv_id model);
bool place_wants(const place_state *placement, uint32_t row, uint32_t model);

/* placement-order.c */

/* Give the orders that are due. */
void place_give_orders(place_state *placement, lv_time now);

#endif
