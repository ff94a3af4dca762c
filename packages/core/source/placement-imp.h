/*
 * Internal interfaces of placement: the assignment of models to endpoints and
 * the choice of orders.
 */
#ifndef LAVENDER_PLACEMENT_IMP_H
#define LAVENDER_PLACEMENT_IMP_H

#include "lavender/placement.h"

/* placement-assign.c */

/* Computes the endpoints and their assigned models. The state of an endpoint
 * that was known before is kept. */
void place_update_assignment(place_state *placement);

/* Finds an endpoint; NULL if it is in no pool that is dispatched here. */
place_endpoint *place_find_endpoint(const place_state *placement, lv_id id);
/* Returns whether the endpoint last reported the model as loaded. */
bool place_has_loaded(const place_endpoint *endpoint, lv_id model);
/* Returns whether the model is assigned to the endpoint; both are indices. */
bool place_is_assigned(const place_state *placement, uint32_t endpoint,
                       uint32_t model);

/* placement-order.c */

/* Sends the orders that are due. */
void place_send_orders(place_state *placement, lv_time now);

#endif
