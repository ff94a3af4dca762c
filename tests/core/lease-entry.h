/*
 * The entry's side of the lease protocol, as far as the dispatcher's tests
 * need it.
 */
#ifndef LEASE_ENTRY_H
#define LEASE_ENTRY_H

#include "lease-fleet.h"

uint64_t fleet_random(fleet_fleet *fleet);

void lease_entry_arrive(fleet_fleet *fleet, uint32_t entry, uint32_t account,
                        cat_priority priority);
void lease_entry_take_grant(fleet_fleet *fleet, uint32_t entry, uint32_t from,
                            const msg_message *message);
void lease_entry_tick(fleet_fleet *fleet, uint32_t entry);

/* Free what an entry's queues hold. */
void lease_entry_clear(fleet_entry *entry);

#endif
