#ifndef LAVENDER_GATEWAY_GATE_PARTS_IMP_H
#define LAVENDER_GATEWAY_GATE_PARTS_IMP_H

/* Private functions of the gateway's parts that keep their own state; part of
 * gate-imp.h. */

/* gate-fetch.c: from which endpoint another one fetches cached prompt blocks
 */

/* Chooses the source for the decision's endpoint, and adjusts the prediction
 * to it. */
void gate_choose_fetch(gate_request *request);

/* Notes what the coordinator did not count for the fetch. */
void gate_note_spared(gate_request *request, uint32_t tokens);

/* Drops the source if it may not be used any more, for a request that has
 * waited since the choice. */
void gate_check_fetch(gate_request *request);

/* Counts the fetch, or why there is none, of an attempt that starts. */
void gate_count_fetch(gate_request *request);

/* Returns the address of the source; NULL: none. */
const char *gate_fetch_address(const gate_request *request);

/* Excludes the source of the last attempt from further ones. */
void gate_exclude_source(gate_request *request);

/* Applies the fetch that a peer announces to the prediction of the request
 * that it asks a grant for. Returns the prompt tokens that do not count as
 * prefilled for it. */
uint32_t gate_apply_offer(const gate_server *gate, lv_handle endpoint,
                          const peers_start_request *ask,
                          eng_prediction *prediction);
void gate_write_fetch_metrics(const gate_server *gate, met_writer *writer);

/* gate-speed.c: the estimated speeds of endpoints; call the first at every
 * tick of the timer. */
void gate_update_speeds(gate_server *gate, lv_time now);
void gate_write_speed_metrics(const gate_server *gate, met_writer *writer);

/* gate-blocks.c: ids of all blocks of a prompt; eng_prompt is limited to
 * ENG_BLOCKS_MAX */

/* Sets the keys to the ids of the prompt's shared blocks. They are valid until
 * the next call. */
void gate_collect_blocks(const gate_request *request, qtn_keys *keys);

/* Formats the same ids for the log, starting with those without a known
 * answer, and drops those that do not fit; "-" if there are none. Returns the
 * number of shared blocks. */
uint32_t gate_format_blocks(const gate_request *request, char *text,
                            size_t size);

/* gate-quarantine.c: crashes of endpoints, and the blocks and requests that
 * cause them */
void gate_init_quarantine(gate_server *gate);
void gate_finish_quarantine(gate_server *gate);

/* Notes what the end of an attempt tells of its endpoint: that it crashed, or
 * that it began the answer. */
void gate_note_outcome(gate_attempt *attempt, back_outcome outcome,
                       const char *reason);

/* Records, once, that the endpoint has begun the answer: when it is whole, or
 * has lasted for a while. */
void gate_record_begun(gate_attempt *attempt, bool is_whole, lv_time now);

/* Was the attempt cut off before its answer had begun, as attempts with the
 * same request were before at endpoints that crashed? */
bool gate_is_cause_of_crashes(const gate_attempt *attempt);

/* Ends a request that is in quarantine, or a block of whose prompt is; one
 * that `starts` now may be the trial of it. Returns whether it did. */
bool gate_refuse_quarantined(gate_request *request, bool starts);

/* Decides on the evidence; call it at every tick of the timer. */
void gate_update_quarantine(gate_server *gate, lv_time now);
void gate_write_quarantine_metrics(const gate_server *gate,
                                   met_writer *writer);

/* gate-origin-tell.c: which streams other instances are told of */

/* Keeps the origin of a stream that this instance serves. */
void gate_keep_origin(const gate_request *request, lv_time now);

/* May other instances have a newer list of endpoints? Some reach the store. */
bool gate_may_others_know_more(const peers_state *peers);

/* May other instances have changes of the list that this one lacks? */
bool gate_is_list_outdated(const gate_server *gate);

/* May streams of the route have begun at different services? */
bool gate_is_route_split(const rt_table *config, const rt_route *route,
                         lv_time now);

/* gate-origin.c: which software version a stream may go on at */
void gate_init_origins(gate_server *gate);

/* Note the version of an endpoint that is listed, and of all of them; call the
 * latter at every tick of the timer. */
void gate_note_version(gate_server *gate, const eng_spec *spec, lv_time now);
void gate_update_origins(gate_server *gate, lv_time now);

/* Returns the name of the request's account; NULL: none. */
const char *gate_account_name(const gate_request *request);

/* Notes that the first event of a stream is about to be sent. */
void gate_record_origin(gate_attempt *attempt);

/* Finds the version that a stream may go on at which its caller takes up.
 * Returns false if the request waits for an answer of other instances, or was
 * refused. */
bool gate_find_origin(gate_request *request);

/* Tells other instances where the streams of routes began that have several
 * services in the configuration that is now in force. */
void gate_tell_split_origins(gate_server *gate, lv_time now);
void gate_check_origin_deadline(gate_request *request, lv_time now);
void gate_write_origin_metrics(const gate_server *gate, met_writer *writer);

/* gate-cached.c: what endpoints have cached */

void gate_init_cached(gate_server *gate);
void gate_finish_cached(gate_server *gate);

/* Gives up endpoints that do not answer; call it at every tick. */
void gate_update_cached(gate_server *gate, lv_time now);

/* Reads the endpoints' cache lists if they may show which version began the
 * stream. Returns whether the request must wait for them. */
bool gate_await_cached(gate_request *request, lv_time now);

/* Returns the version that began the stream according to the cache lists: the
 * only one whose endpoints have the last prompt block cached. LV_ID_NONE: none
 * or several have, or the stream began after this instance had started. */
lv_id gate_find_cached_version(const gate_request *request, lv_time now);

/* gate-versions.c: the versions that the list of endpoints has had */

/* Records what an item of the list says. */
void gate_record_item(gate_server *gate, const wire_item *item, lv_time now);

/* Callbacks of the feed: the changes before its position, and their end. */
void gate_begin_past(store_feed *feed);
void gate_note_past_item(store_feed *feed, wire_item *item);
void gate_end_past(store_feed *feed, uint64_t begin);

/* Has the past of the list read if it is not known yet. Returns whether that
 * is under way. */
bool gate_await_past(gate_request *request);

/* Returns the only version that a service has had for as long as a stream may
 * last; LV_ID_NONE: it had several, or that is not known. */
lv_id gate_sole_version(const gate_server *gate, lv_id service, lv_time now);

/* Returns the key that the version of a stream follows from: of the shared
 * blocks of its prompt, so that they are cached at one version, or of the
 * stream. */
uint64_t gate_version_key(const gate_request *request);

/* Sets the version that a new stream is to begin at. */
void gate_choose_version(gate_request *request);

/* Returns the version of the endpoints that may serve a request; LV_ID_NONE:
 * any may. */
lv_id gate_required_version(const gate_request *request);

/* Returns the earliest time at which a stream that is taken up now may have
 * begun, by the list of the instance that began it. */
lv_time gate_earliest_begin(const gate_request *request, lv_time now);

/* gate-evacuation.c: zones that are evacuated */
void gate_init_evacuation(gate_server *gate);

/* Follow the feed of the configuration: an item about a zone, the end of a
 * list, and a position up to which everything is applied. */
void gate_apply_zone(gate_server *gate, const wire_item *item);
void gate_end_zone_list(gate_server *gate, wire_position position);
void gate_note_zone_view(gate_server *gate, wire_position position);

/* Lists the configuration again when a list that was taken for an older copy
 * is due to be believed. Call it at every tick of the timer. */
void gate_relist_zones(gate_server *gate, lv_time now);

/* Returns whether the instance may accept requests: it has read the
 * configuration and the list of evacuated zones, and is not waiting for a
 * newer version that its peers have. */
bool gate_has_configuration(const gate_server *gate);
void gate_write_evacuation_metrics(const gate_server *gate,
                                   met_writer *writer);

/* Writes the name of a zone, or its id if only peers have told of it. Returns
 * the text. */
const char *gate_zone_name(const evc_zone *zone, char *text, size_t size);

/* gate-zone.c: availability zones */
void gate_init_zones(gate_server *gate);
void gate_finish_zones(gate_server *gate);

/* Counts the instances of the own zone; call it at every tick of the timer. */
void gate_update_zones(gate_server *gate);

/* Chooses the affinity endpoints of the prompt. They change only with the list
 * of endpoints, while a queued request is decided many times. */
void gate_find_affinity(gate_request *request, lv_time now);

/* Fills in what leaving the zone costs; nothing once a coordinator has denied
 * a start. */
void gate_fill_locality(const gate_request *request, lv_time now,
                        loc_request *to);

/* Counts the request and the bytes of an attempt that ends. */
void gate_count_traffic(gate_attempt *attempt, bool was_sent);
void gate_write_zone_metrics(const gate_server *gate, met_writer *writer);

#endif
