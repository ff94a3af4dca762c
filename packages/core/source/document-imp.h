/*
 * Parts of the document store: texts, fetching, coming into force.
 */
#ifndef LAVENDER_DOCUMENT_IMP_H
#define LAVENDER_DOCUMENT_IMP_H

#include "lavender/document.h"

#define DOC_PARTS_MAX 4097 /* the head and its account parts */

/* The text of a part, shared by counting references. */
struct doc_text {
    uint32_t references;
    uint64_t digest;
    size_t size;
    char text[];
};

/* document-text.c */
doc_text *doc_text_new(const char *text, size_t size);
doc_text *doc_text_share(doc_text *text);
void doc_text_drop(doc_text *text);
void doc_texts_free(doc_text **parts, uint32_t count);

/* document.c */
bool doc_is_newer(msg_doc_state state, msg_doc_state than);
bool doc_is_refused(const doc_document *document, uint64_t digest);
void doc_log(doc_store *store, doc_kind doc, const char *reason,
             uint64_t revision);

/* May a catalogue that only the platform showed come into force now? */
bool doc_trusts_platform(const doc_store *store, lv_time now);

/* document-fetch.c */
void doc_fetch_start(doc_store *store, lv_time now, doc_kind doc,
                     msg_doc_state target, bool is_from_platform);
void doc_fetch_stop(doc_document *document);
void doc_fetch_add_source(doc_document *document, lv_id source);

/* A text came; true when it belongs to the fetch. */
bool doc_fetch_take(doc_store *store, lv_time now, doc_kind doc,
                    doc_text *text, uint32_t part);

/* Does an answer belong to what is asked of its sender now? */
bool doc_fetch_is_asked(const doc_fetch *fetch, const msg_message *answer);

/* Ask for what is missing, go on to the next source when time is up. */
void doc_fetch_ask(doc_store *store, lv_time now, doc_kind doc);
void doc_fetch_tick(doc_store *store, lv_time now, doc_kind doc);

/* Go on to the next source at once. */
void doc_fetch_next(doc_store *store, lv_time now, doc_kind doc);
lv_time doc_fetch_next_tick(const doc_store *store, doc_kind doc);

/* document-accept.c */

/* All parts are there: validate, and bring into force or refuse. */
void doc_accept(doc_store *store, lv_time now, doc_kind doc);

/* Note why a head without a readable revision is refused. */
void doc_refuse_head(doc_store *store, doc_kind doc, const doc_text *head);

/* Revision and digest that a head's text states; false when it has none.
 * digests may be NULL. */
bool doc_read_head(doc_kind doc, const doc_text *head, msg_doc_state *state,
                   uint64_t *digests, uint32_t capacity, uint32_t *count);

#endif
