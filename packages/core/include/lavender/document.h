/*
 * Documents (the catalogue, the platform's lists) and their spread: every
 * message says what its sender has in force; who is behind fetches the
 * parts from a peer or the platform. Revisions only go up, a document that
 * does not validate is refused whole and the last accepted stays.
 */
#ifndef LAVENDER_DOCUMENT_H
#define LAVENDER_DOCUMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

typedef struct doc_settings {
    lv_time fetch_timeout; /* then another source is asked */
    lv_time start_wait;    /* a starting router asks peers this long before
                              it trusts the platform alone */
} doc_settings;

typedef struct doc_store doc_store;

bool doc_init(doc_store *store, lv_host *host, const doc_settings *settings,
              lv_id self, lv_time now, err_error *error);
void doc_finish(doc_store *store);

/* A part read from the platform (or a file). Copied. */
void doc_take_platform(doc_store *store, lv_time now, doc_kind doc,
                       uint32_t part, const char *text, size_t size);

/* The platform could not be read. */
void doc_platform_failed(doc_store *store, lv_time now, doc_kind doc);

/* Look at what a peer has in force (any message). */
void doc_note_peer(doc_store *store, lv_time now, const msg_message *message);

/* Take DOC_FETCH (answers it) or DOC_BODY. */
void doc_take_fetch(doc_store *store, lv_time now, const msg_message *message);
void doc_take_body(doc_store *store, lv_time now, const msg_message *message);

void doc_tick(doc_store *store, lv_time now);
lv_time doc_next_tick(const doc_store *store);

/* What is in force; NULL before the first. The objects stay valid until
 * document_changed was called for a later one and returned. */
const cat_catalogue *doc_catalogue(const doc_store *store);
const world_lists *doc_lists(const doc_store *store);
void doc_read_state(const doc_store *store, msg_doc_state states[DOC_COUNT]);

/* True once peers were asked (or start_wait passed) and a catalogue is in
 * force. */
bool doc_is_ready(const doc_store *store);

#endif
