#include <stdlib.h>
#include <string.h>

#include "document-imp.h"

/* Maximum number of outstanding requests of one fetch. */
#define OUTSTANDING_MAX 4

/* Consecutive sources without a new part after which a fetch is abandoned. */
#define FAILED_ATTEMPTS_MAX 8

/* For how long an abandoned document is not fetched again. The time is enough
 * to fetch another one. */
#define ABANDON_TIME (2 * LV_SECOND)

void
doc_fetch_stop(doc_document *document)
{
    doc_fetch *fetch = &document->fetch;

    doc_texts_free(fetch->parts, fetch->part_count);
    free(fetch->digests);
    free(fetch->requested);
    memset(fetch, 0, sizeof *fetch);
}

void
doc_fetch_start(doc_store *store, lv_time now, doc_kind doc,
                msg_doc_state target, bool is_from_platform)
{
    doc_document *document = &store->documents[doc];

    doc_fetch_stop(document);
    if (document->abandoned_digest == target.digest) {
        document->abandoned_digest = 0;
    }
    document->fetch.is_active = true;
    document->fetch.target = target;
    document->fetch.is_from_platform = is_from_platform;
    document->fetch.deadline = now + store->settings.fetch_timeout;
}

void
doc_fetch_add_source(doc_document *document, lv_id source)
{
    doc_fetch *fetch = &document->fetch;

    for (uint32_t i = 0; i < fetch->source_count; i++) {
        if (fetch->sources[i] == source) {
            return;
        }
    }
    if (fetch->source_count < DOC_SOURCES_MAX) {
        fetch->sources[fetch->source_count++] = source;
    }
}

static bool
has_all_parts(const doc_fetch *fetch)
{
    for (uint32_t i = 0; i < fetch->part_count; i++) {
        if (fetch->parts[i] == NULL) {
            return false;
        }
    }
    return fetch->part_count > 0;
}

/* Shares the texts of the parts that are the same in the document in force,
 * so that they need not be fetched. */
static void
reuse_parts(doc_document *document)
{
    doc_fetch *fetch = &document->fetch;

    for (uint32_t i = 1; i < fetch->part_count; i++) {
        if (i < document->part_count &&
            document->parts[i]->digest == fetch->digests[i]) {
            fetch->parts[i] = doc_text_ref(document->parts[i]);
        }
    }
}

static bool
add_head(doc_document *document, doc_kind doc, doc_text *head)
{
    doc_fetch *fetch = &document->fetch;
    uint64_t *digests = malloc(DOC_PARTS_MAX * sizeof *digests);
    msg_doc_state state;
    uint32_t count = 0;
    bool is_valid = false;

    if (digests == NULL) {
        return false;
    }
    if (!doc_read_head(doc, head, &state, digests + 1, DOC_PARTS_MAX - 1,
                       &count)) {
        count = 0;
    }
    fetch->parts = calloc(count + 1, sizeof(doc_text *));
    fetch->requested = calloc(count + 1, sizeof *fetch->requested);
    if (fetch->parts == NULL || fetch->requested == NULL) {
        goto done;
    }
    digests[0] = head->digest;
    fetch->digests = digests;
    digests = NULL;
    fetch->part_count = count + 1;
    fetch->parts[0] = doc_text_ref(head);
    reuse_parts(document);
    is_valid = true;
done:
    free(digests);
    return is_valid;
}

bool
doc_fetch_add_part(doc_store *store, lv_time now, doc_kind doc, doc_text *text,
                   uint32_t part)
{
    doc_document *document = &store->documents[doc];
    doc_fetch *fetch = &document->fetch;

    if (!fetch->is_active) {
        return false;
    }
    if (part == 0 && fetch->part_count == 0 &&
        text->digest == fetch->target.digest) {
        if (!add_head(document, doc, text)) {
            return false;
        }
    }
    else if (part > 0 && part < fetch->part_count &&
             text->digest == fetch->digests[part]) {
        if (fetch->parts[part] != NULL) {
            return false;
        }
        fetch->parts[part] = doc_text_ref(text);
    }
    else {
        store->counts.mismatched_parts += part > 0 || fetch->part_count == 0;
        return false;
    }
    if (fetch->outstanding > 0) {
        fetch->outstanding--;
    }
    fetch->failed_attempts = 0;
    fetch->deadline = now + store->settings.fetch_timeout;
    return true;
}

bool
doc_fetch_is_requested(const doc_fetch *fetch, const msg_message *answer)
{
    uint32_t source = fetch->source_turn % (fetch->source_count + 1);
    uint32_t part = answer->doc_part;

    if (source == fetch->source_count ||
        fetch->sources[source] != answer->sender) {
        return false;
    }
    if (fetch->part_count == 0) {
        return part == 0 && answer->doc_digest == fetch->target.digest;
    }
    return part < fetch->part_count && fetch->requested[part] &&
           answer->doc_digest == fetch->digests[part];
}

/* Requests a part from the current source: each peer in turn, then the
 * platform. */
static void
request_part(doc_store *store, doc_kind doc, uint32_t part, uint64_t digest)
{
    const doc_fetch *fetch = &store->documents[doc].fetch;
    uint32_t source = fetch->source_turn % (fetch->source_count + 1);
    msg_message message = {
        .kind = MSG_DOC_FETCH,
        .version = MSG_VERSION,
        .sender = store->self,
        .doc = doc,
        .doc_part = part,
        .doc_digest = digest,
    };

    if (source == fetch->source_count) {
        store->counts.platform_reads++;
        store->host->ops->read_platform(store->host, doc, part);
        return;
    }
    store->counts.peer_fetches++;
    store->host->ops->send(store->host, fetch->sources[source], &message);
}

void
doc_fetch_request_parts(doc_store *store, lv_time now, doc_kind doc)
{
    doc_fetch *fetch = &store->documents[doc].fetch;

    if (!fetch->is_active) {
        return;
    }
    if (has_all_parts(fetch)) {
        doc_accept(store, now, doc);
        return;
    }
    if (fetch->part_count == 0) {
        if (fetch->outstanding == 0) {
            fetch->outstanding = 1;
            request_part(store, doc, 0, fetch->target.digest);
        }
        return;
    }
    for (uint32_t i = 1;
         i < fetch->part_count && fetch->outstanding < OUTSTANDING_MAX; i++) {
        if (fetch->parts[i] == NULL && !fetch->requested[i]) {
            fetch->requested[i] = true;
            fetch->outstanding++;
            request_part(store, doc, i, fetch->digests[i]);
            if (!fetch->is_active || fetch->part_count == 0) {
                return;
            }
        }
    }
}

static void
abandon(doc_store *store, lv_time now, doc_kind doc)
{
    doc_document *document = &store->documents[doc];

    store->counts.abandoned_fetches++;
    doc_log_decision(store, doc, "no-source", document->fetch.target.revision);
    document->abandoned_digest = document->fetch.target.digest;
    document->abandoned_until = now + ABANDON_TIME;
    document->abandoned_source_count = document->fetch.source_count;
    memcpy(document->abandoned_sources, document->fetch.sources,
           sizeof document->abandoned_sources);
    doc_fetch_stop(document);
}

/* Reads the platform's head again, because its parts may belong to a later
 * revision than the head that was read. */
static void
reread_head(doc_store *store, doc_kind doc)
{
    store->counts.platform_reads++;
    store->host->ops->read_platform(store->host, doc, 0);
}

void
doc_fetch_try_next_source(doc_store *store, lv_time now, doc_kind doc)
{
    doc_fetch *fetch = &store->documents[doc].fetch;

    fetch->failed_attempts++;
    if (fetch->failed_attempts >= FAILED_ATTEMPTS_MAX) {
        abandon(store, now, doc);
        return;
    }
    fetch->source_turn++;
    fetch->outstanding = 0;
    for (uint32_t i = 0; i < fetch->part_count; i++) {
        fetch->requested[i] = false;
    }
    fetch->deadline = now + store->settings.fetch_timeout;
    if (fetch->part_count > 0 &&
        fetch->source_turn % (fetch->source_count + 1) ==
            fetch->source_count) {
        reread_head(store, doc);
    }
    doc_fetch_request_parts(store, now, doc);
}

/* Returns whether the parts are complete and doc_accept only waits until
 * doc_trusts_platform. */
static bool
is_waiting_for_peers(const doc_fetch *fetch)
{
    return fetch->is_from_platform && has_all_parts(fetch);
}

void
doc_fetch_tick(doc_store *store, lv_time now, doc_kind doc)
{
    doc_document *document = &store->documents[doc];

    if (document->fetch.is_active) {
        if (is_waiting_for_peers(&document->fetch)) {
            doc_accept(store, now, doc);
        }
        else if (now >= document->fetch.deadline) {
            doc_fetch_try_next_source(store, now, doc);
        }
    }
    else if (document->abandoned_digest != 0 &&
             now >= document->abandoned_until) {
        document->abandoned_digest = 0;
        store->counts.platform_reads++;
        store->host->ops->read_platform(store->host, doc, 0);
    }
}

lv_time
doc_fetch_next_tick(const doc_store *store, doc_kind doc)
{
    const doc_document *document = &store->documents[doc];

    if (document->fetch.is_active) {
        if (is_waiting_for_peers(&document->fetch)) {
            return store->started + store->settings.start_wait;
        }
        return document->fetch.deadline;
    }
    return document->abandoned_digest != 0 ? document->abandoned_until
                                           : LV_TIME_NEVER;
}
