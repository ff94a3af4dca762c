/*
 * gate-warmup.c: cold endpoints (warmup.h) at the gateway.
 */
#ifndef LAVENDER_GATEWAY_GATE_WARMUP_IMP_H
#define LAVENDER_GATEWAY_GATE_WARMUP_IMP_H

#include "gate-imp.h"

/* A request that was denied at this many cold endpoints is decided among the
 * warm ones: each denial costs a round trip. */
#define GATE_MAX_COLD_DENIALS 2

/* Applies the services of the configuration, and an entry of the store. */
void gate_apply_warmup(gate_server *gate, lv_time now);
void gate_note_entry(gate_server *gate, const wire_item *item, lv_time now);

/* Note an answer of the endpoint, and that it could not be reached. */
void gate_note_cold_time(gate_server *gate, lv_handle endpoint,
                         const wire_response *response);
void gate_note_unreachable(gate_server *gate, lv_handle endpoint);

/* Callback of peers: `owner` is the gateway. */
void gate_hear_cold(void *owner, lv_handle endpoint, lv_time left,
                    uint64_t reporter);

/* Notes what the coordinator's answer says of the endpoint. */
void gate_hear_coordinator(gate_server *gate, const peers_start_reply *answer);

bool gate_is_cold(const gate_server *gate, lv_handle endpoint, lv_time now);

/* Determines the role of this instance if the endpoint is cold. */
void gate_update_role(gate_server *gate, lv_handle endpoint, lv_time now);

/* May a request start without asking another instance? */
bool gate_may_start_cold(gate_server *gate, lv_handle endpoint, lv_time now);

/* Queues a request that may not start at a cold endpoint, which is passed over
 * for some time. `reason` is logged. */
void gate_deny_cold(gate_request *request, lv_handle endpoint, lv_time wait,
                    const char *reason);

/* Decides on a start as the coordinator: denies one that is granted so far.
 * The second takes back a grant that another rule denied. */
void gate_grant_cold(gate_server *gate, lv_handle endpoint,
                     const peers_start_request *ask,
                     peers_start_reply *answer);
void gate_return_cold(gate_server *gate, lv_handle endpoint);

/* Asks once more for a start whose reply did not come, at first. A coordinator
 * that granted it does so again, so that no permitted start is lost. */
bool gate_repeat_cold_request(gate_request *request, lv_time now);

/* Renews the roles and logs changes; call it at every tick of the timer. */
void gate_update_warmup(gate_server *gate, lv_time now);
void gate_write_warmup_metrics(const gate_server *gate, met_writer *writer);

#endif
