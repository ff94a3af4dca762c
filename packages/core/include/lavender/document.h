/*
 * Documents (the catalogue and the platform's lists) and their distribution.
 * Every message states which documents its sender has in force; an instance
 * that has older ones fetches the parts from a peer or from the platform. A
 * document that is not valid is refused as a whole, and the last accepted one
 * stays in force.
 *
 * Documents are ordered by revision and then by the digest of the head. A
 * document in force is replaced only by a greater one. Two texts with the same
 * revision are a publisher's mistake; the order by digest ensures that all
 * instances end up with the same text.
 */
#ifndef LAVENDER_DOCUMENT_H
#define LAVENDER_DOCUMENT_H

#include "lavender/catalogue.h"
#include "lavender/host.h"
#include "lavender/world.h"

/* Maximum number of peers that one fetch uses as sources. */
#define DOC_SOURCES_MAX 8

/* Number of refused documents that are remembered and not fetched again. */
#define DOC_REFUSED_MAX 16

typedef struct doc_settings {
    lv_time fetch_timeout; /* time without an answer after which the next
                              source is tried */
    lv_time start_wait;    /* time that a starting router waits for peers
                              before it trusts the platform alone */
} doc_settings;

typedef struct doc_store doc_store;
typedef struct doc_text doc_text;

/* The fetch of a document's parts. */
typedef struct doc_fetch {
    bool is_active;
    msg_doc_state target;
    bool is_from_platform; /* read from the platform; no peer has stated it */
    lv_id sources[DOC_SOURCES_MAX]; /* peers that have it in force */
    uint32_t source_count;
    uint32_t source_turn;     /* modulo source_count + 1: index of the source;
                                 source_count stands for the platform */
    uint32_t failed_attempts; /* since the last new part */
    lv_time deadline;         /* when the next source is tried */
    doc_text **parts;         /* parts[0] is the head; NULL: missing */
    uint64_t *digests;        /* of the parts, from the head */
    bool *requested;          /* parts requested from the current source */
    uint32_t part_count;      /* with the head; 0: the head is missing */
    uint32_t outstanding;     /* requests without an answer */
} doc_fetch;

typedef struct doc_counts {
    uint64_t accepted;       /* documents */
    uint64_t refused;        /* documents */
    uint64_t peer_fetches;   /* parts requested from peers */
    uint64_t platform_reads; /* parts requested from the platform */
    uint64_t platform_failures;
    uint64_t served_parts; /* sent to peers */
    uint64_t served_bytes;
    uint64_t stale_heads;      /* read from the platform, but older than the
                                  document in force or being fetched */
    uint64_t mismatched_parts; /* texts that were not requested or too long */
    uint64_t abandoned_fetches;
} doc_counts;

typedef struct doc_document {
    msg_doc_state in_force;
    doc_text **parts; /* in force */
    uint32_t part_count;
    doc_fetch fetch;
    uint64_t refused[DOC_REFUSED_MAX]; /* digests, as a ring buffer */
    uint32_t next_refused;
    uint64_t abandoned_digest; /* of a document that no source provided;
                                  0: none */
    lv_time abandoned_until;   /* it is not fetched before this time, unless a
                                  peer that is not among abandoned_sources has
                                  it */
    lv_id abandoned_sources[DOC_SOURCES_MAX];
    uint32_t abandoned_source_count;
    err_list refusal; /* errors of the last refused document */
    msg_doc_state last_refused;
} doc_document;

/* All members are private; the type is public so that the owner can allocate
 * it. */
struct doc_store {
    lv_host *host;
    doc_settings settings;
    lv_id self;
    lv_time started;
    bool has_peer_catalogue; /* a peer has stated a catalogue in force */
    doc_document documents[DOC_COUNT];
    cat_catalogue *catalogue; /* in force, or NULL */
    cat_cache cache;          /* parsed parts of the catalogue in force */
    lists_snapshot *lists;    /* in force, or NULL */
    doc_counts counts;
};

/* Initialises a store without documents. The host must outlive it. Returns
 * false and sets the error when fetch_timeout is 0. */
bool doc_init(doc_store *store, lv_host *host, const doc_settings *settings,
              lv_id self, lv_time now, err_error *error);
void doc_finish(doc_store *store);

/* Processes the text of a part that was read from the platform (or a file).
 * The text is copied. */
void doc_receive_platform_part(doc_store *store, lv_time now, doc_kind doc,
                               uint32_t part, const char *text, size_t size);

/* Counts a failed read of the platform. */
void doc_count_platform_failure(doc_store *store, lv_time now, doc_kind doc);

/* Processes the documents that a peer states in a message of any kind, and
 * fetches those that are newer than the ones in force. */
void doc_apply_peer_states(doc_store *store, lv_time now,
                           const msg_message *message);

/* Answers a DOC_FETCH. The answer has no body when the part is not in
 * force. */
void doc_receive_fetch(doc_store *store, lv_time now,
                       const msg_message *message);

/* Processes a DOC_BODY. One without a body makes the fetch try the next
 * source. */
void doc_receive_body(doc_store *store, lv_time now,
                      const msg_message *message);

/* Tries the next source of fetches whose deadline has passed, accepts
 * documents that have waited for peers, and reads the platform again after a
 * fetch was abandoned. */
void doc_tick(doc_store *store, lv_time now);

/* Returns when doc_tick is due, or LV_TIME_NEVER. */
lv_time doc_next_tick(const doc_store *store);

/* Return the document in force, or NULL before the first. The objects are
 * valid until the host's document_changed for a later one has returned. */
const cat_catalogue *doc_catalogue(const doc_store *store);
const lists_snapshot *doc_lists(const doc_store *store);

/* Reads revision and digest of the documents in force. */
void doc_read_states(const doc_store *store, msg_doc_state states[DOC_COUNT]);

/* Returns the errors of the document that was last refused, or NULL. Sets
 * *state to its revision and digest unless state is NULL. */
const err_list *doc_last_refusal(const doc_store *store, doc_kind doc,
                                 msg_doc_state *state);

/* Returns whether a catalogue is in force. A starting router has one when a
 * peer had it, or when the platform had it and start_wait has passed or there
 * is no other instance. */
bool doc_is_ready(const doc_store *store);

/* Returns the bytes allocated for the documents in force: their texts, tables
 * and cached parts. */
size_t doc_memory(const doc_store *store);

#endif
