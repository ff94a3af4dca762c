/*
 * Internals of the document store: texts of parts, fetches, and acceptance of
 * complete documents.
 */
#ifndef LAVENDER_DOCUMENT_IMP_H
#define LAVENDER_DOCUMENT_IMP_H

#include "lavender/document.h"

#define DOC_PARTS_MAX 4097 /* the head and the account parts */

/* The text of a part, with a reference count. The document in force and the
 * one that is fetched share the texts of equal parts. */
struct doc_text {
    uint32_t references;
    uint64_t digest;
    size_t size;
    char text[]; /* size bytes and a terminating zero */
};

/* document-text.c */

/* Copies a text. Returns it with one reference, or NULL when memory is
 * exhausted. */
doc_text *doc_text_new(const char *text, size_t size);

/* Adds a reference and returns the text. */
doc_text *doc_text_ref(doc_text *text);

/* Removes a reference, and frees the text with the last one. text may be
 * NULL. */
void doc_text_unref(doc_text *text);

/* Removes a reference to each text of an array and frees the array. parts and
 * its elements may be NULL. */
void doc_texts_free(doc_text **parts, uint32_t count);

/* document.c */

/* Returns whether a document is greater than another in the order by revision
 * and digest. */
bool doc_is_newer(msg_doc_state state, msg_doc_state other);

/* Returns whether a document is among those remembered as refused. */
bool doc_is_refused(const doc_document *document, uint64_t digest);

/* Logs a decision about a document through the host. */
void doc_log_decision(doc_store *store, doc_kind doc, const char *reason,
                      uint64_t revision);

/* Returns whether a catalogue that no peer has stated may come into force. */
bool doc_trusts_platform(const doc_store *store, lv_time now);

/* document-fetch.c */

/* Starts the fetch of a document and stops the one before. */
void doc_fetch_start(doc_store *store, lv_time now, doc_kind doc,
                     msg_doc_state target, bool is_from_platform);

/* Frees the parts of a fetch and makes it inactive. */
void doc_fetch_stop(doc_document *document);

/* Adds a peer as source unless it is one or there are DOC_SOURCES_MAX. */
void doc_fetch_add_source(doc_document *document, lv_id source);

/* Adds a received part to the fetch. Returns false when it does not belong to
 * the fetch, is there already or memory is exhausted. */
bool doc_fetch_add_part(doc_store *store, lv_time now, doc_kind doc,
                        doc_text *text, uint32_t part);

/* Returns whether a DOC_BODY answers an outstanding request to its sender. */
bool doc_fetch_is_requested(const doc_fetch *fetch, const msg_message *answer);

/* Requests missing parts from the current source. Accepts the document when
 * none is missing. */
void doc_fetch_request_parts(doc_store *store, lv_time now, doc_kind doc);

/* Tries the next source when the deadline has passed. Reads the platform again
 * when the time of an abandoned document is over. */
void doc_fetch_tick(doc_store *store, lv_time now, doc_kind doc);

/* Requests the missing parts from the next source, or abandons the fetch after
 * too many failed attempts. */
void doc_fetch_try_next_source(doc_store *store, lv_time now, doc_kind doc);

/* Returns when doc_fetch_tick is due, or LV_TIME_NEVER. */
lv_time doc_fetch_next_tick(const doc_store *store, doc_kind doc);

/* document-accept.c */

/* Validates a document whose parts are complete, and puts it in force or
 * refuses it. A catalogue from the platform alone waits until
 * doc_trusts_platform. */
void doc_accept(doc_store *store, lv_time now, doc_kind doc);

/* Refuses a document whose head has no readable revision, and records the
 * errors. */
void doc_refuse_head(doc_store *store, doc_kind doc, const doc_text *head);

/* Reads revision and digest of a head into *state, the digests of the account
 * parts into digests, and their number into *count. Returns false when the
 * head is not valid. digests may be NULL when capacity is 0. */
bool doc_read_head(doc_kind doc, const doc_text *head, msg_doc_state *state,
                   uint64_t *digests, uint32_t capacity, uint32_t *count);

#endif
