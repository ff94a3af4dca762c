/*
 * Documents (the catalogue, the platform's lists) and their spread: every
 * message says what its sender has in force; who is behind fetches the
 * parts from a peer or the platform. Revisions only go up, a document that
 * does not validate is refused whole and the last accepted stays.
 *
 * Documents are ordered by (revision, digest of the head). Two texts under
 * one revision are a mistake of whoever publishes them; the one with the
 * greater digest comes into force everywhere, so that no two routers keep
 * different ones. What is in force is only ever replaced by something
 * greater in that order.
 */
#ifndef LAVENDER_DOCUMENT_H
#define LAVENDER_DOCUMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

/* Peers remembered as having the document that is fetched. */
#define DOC_SOURCES_MAX 8

/* Documents remembered as refused, so that they are not fetched again. */
#define DOC_REFUSED_MAX 16

typedef struct doc_settings {
    lv_time fetch_timeout; /* then another source is asked */
    lv_time start_wait;    /* a starting router asks peers this long before
                              it trusts the platform alone */
} doc_settings;

typedef struct doc_store doc_store;
typedef struct doc_text doc_text;

/* A document while its parts come in. */
typedef struct doc_fetch {
    bool is_active;
    msg_doc_state target;
    bool is_from_platform; /* first seen there, no peer claims it yet */
    lv_id sources[DOC_SOURCES_MAX];
    uint32_t source_count;
    uint32_t turn;     /* of the sources and the platform */
    uint32_t attempts; /* without a new part */
    lv_time deadline;
    doc_text **parts; /* parts[0] is the head */
    uint64_t *digests;
    bool *asked;
    uint32_t part_count; /* 0: the head is not there */
    uint32_t outstanding;
} doc_fetch;

typedef struct doc_counts {
    uint64_t accepted;
    uint64_t refused;
    uint64_t fetches;  /* parts asked of peers */
    uint64_t platform; /* parts asked of the platform */
    uint64_t platform_failed;
    uint64_t served; /* parts given to peers */
    uint64_t served_bytes;
    uint64_t stale;     /* platform reads older than what is in force */
    uint64_t bad_parts; /* texts that were not the ones asked for */
    uint64_t given_up;  /* fetches put aside */
} doc_counts;

typedef struct doc_document {
    msg_doc_state in_force;
    doc_text **parts;
    uint32_t part_count;
    doc_fetch fetch;
    uint64_t refused[DOC_REFUSED_MAX];
    uint32_t next_refused;
    uint64_t aside; /* digest that no source could give; 0: none */
    lv_time aside_until;
    lv_id aside_sources[DOC_SOURCES_MAX]; /* the peers that could not */
    uint32_t aside_source_count;
    err_list refusal; /* why the last refused one was */
    msg_doc_state last_refused;
} doc_document;

/* Private but for its size, so that the caller can own the memory. */
struct doc_store {
    lv_host *host;
    doc_settings settings;
    lv_id self;
    lv_time started;
    bool has_heard; /* a peer with a catalogue in force */
    doc_document documents[DOC_COUNT];
    cat_catalogue *catalogue;
    cat_cache cache; /* of the parts in force, as they were read */
    lists_snapshot *lists;
    doc_counts counts;
};

bool doc_init(doc_store *store, lv_host *host, const doc_settings *settings,
              lv_id self, lv_time now, err_error *error);
void doc_finish(doc_store *store);

/* A part read from the platform (or a file). Copied. */
void doc_receive_platform_part(doc_store *store, lv_time now, doc_kind doc,
                               uint32_t part, const char *text, size_t size);

/* The platform could not be read. */
void doc_count_platform_failure(doc_store *store, lv_time now, doc_kind doc);

/* Look at what a peer has in force (any message). */
void doc_apply_peer_states(doc_store *store, lv_time now,
                           const msg_message *message);

/* Take DOC_FETCH (answers it) or DOC_BODY. */
void doc_receive_fetch(doc_store *store, lv_time now,
                       const msg_message *message);
void doc_receive_body(doc_store *store, lv_time now,
                      const msg_message *message);

void doc_tick(doc_store *store, lv_time now);
lv_time doc_next_tick(const doc_store *store);

/* What is in force; NULL before the first. The objects stay valid until
 * document_changed was called for a later one and returned. */
const cat_catalogue *doc_catalogue(const doc_store *store);
const lists_snapshot *doc_lists(const doc_store *store);
void doc_read_states(const doc_store *store, msg_doc_state states[DOC_COUNT]);

/* Why the last refused document was refused; NULL when none was. state may
 * be NULL. */
const err_list *doc_last_refusal(const doc_store *store, doc_kind doc,
                                 msg_doc_state *state);

/* True once peers were asked (or start_wait passed) and a catalogue is in
 * force. */
bool doc_is_ready(const doc_store *store);

/* Bytes held for the documents' texts and tables. Texts of parts are shared
 * by the document in force and the one that is fetched. */
size_t doc_memory(const doc_store *store);

#endif
