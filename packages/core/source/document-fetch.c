#include <stdlib.h>
#include <string.h>

#include "document-imp.h"

/* Parts asked for at one time. */
#define WINDOW 4

/* Sources in a row without a new part, before the document is put aside. */
#define ATTEMPTS_MAX 8

/* How long a document that no source could give stays aside: time enough for
 * another one to be fetched. */
#define ASIDE_TIME (2 * LV_SECOND)

void
doc_fetch_stop(doc_document *document)
{
    doc_fetch *fetch = &document->fetch;

    doc_texts_free(fetch->parts, fetch->part_count);
    free(fetch->digests);
    free(fetch->asked);
    memset(fetch, 0, sizeof *fetch);
}

void
doc_fetch_start(doc_store *store, lv_time now, doc_kind doc,
                msg_doc_state target, bool is_from_platform)
{
    doc_document *document = &store->documents[doc];

    doc_fetch_stop(document);
    if (document->aside == target.digest) {
        document->aside = 0;
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
has_all(const doc_fetch *fetch)
{
    for (uint32_t i = 0; i < fetch->part_count; i++) {
        if (fetch->parts[i] == NULL) {
            return false;
        }
    }
    return fetch->part_count > 0;
}

/* Parts that the document in force has as well need no transfer. */
static void
reuse_parts(doc_document *document)
{
    doc_fetch *fetch = &document->fetch;

    for (uint32_t i = 1; i < fetch->part_count; i++) {
        if (i < document->part_count &&
            document->parts[i]->digest == fetch->digests[i]) {
            fetch->parts[i] = doc_text_share(document->parts[i]);
        }
    }
}

static bool
take_head(doc_document *document, doc_kind doc, doc_text *head)
{
    doc_fetch *fetch = &document->fetch;
    uint64_t *digests = malloc(DOC_PARTS_MAX * sizeof *digests);
    msg_doc_state state;
    uint32_t count = 0;
    bool is_good = false;

    if (digests == NULL) {
        return false;
    }
    if (!doc_read_head(doc, head, &state, digests + 1, DOC_PARTS_MAX - 1,
                       &count)) {
        count = 0;
    }
    fetch->parts = calloc(count + 1, sizeof(doc_text *));
    fetch->asked = calloc(count + 1, sizeof *fetch->asked);
    if (fetch->parts == NULL || fetch->asked == NULL) {
        goto done;
    }
    digests[0] = head->digest;
    fetch->digests = digests;
    digests = NULL;
    fetch->part_count = count + 1;
    fetch->parts[0] = doc_text_share(head);
    reuse_parts(document);
    is_good = true;
done:
    free(digests);
    return is_good;
}

bool
doc_fetch_take(doc_store *store, lv_time now, doc_kind doc, doc_text *text,
               uint32_t part)
{
    doc_document *document = &store->documents[doc];
    doc_fetch *fetch = &document->fetch;

    if (!fetch->is_active) {
        return false;
    }
    if (part == 0 && fetch->part_count == 0 &&
        text->digest == fetch->target.digest) {
        if (!take_head(document, doc, text)) {
            return false;
        }
    }
    else if (part > 0 && part < fetch->part_count &&
             text->digest == fetch->digests[part]) {
        if (fetch->parts[part] != NULL) {
            return false;
        }
        fetch->parts[part] = doc_text_share(text);
    }
    else {
        store->counts.bad_parts += part > 0 || fetch->part_count == 0;
        return false;
    }
    if (fetch->outstanding > 0) {
        fetch->outstanding--;
    }
    fetch->attempts = 0;
    fetch->deadline = now + store->settings.fetch_timeout;
    return true;
}

bool
doc_fetch_is_asked(const doc_fetch *fetch, const msg_message *answer)
{
    uint32_t place = fetch->turn % (fetch->source_count + 1);
    uint32_t part = answer->doc_part;

    if (place == fetch->source_count ||
        fetch->sources[place] != answer->sender) {
        return false;
    }
    if (fetch->part_count == 0) {
        return part == 0 && answer->doc_digest == fetch->target.digest;
    }
    return part < fetch->part_count && fetch->asked[part] &&
           answer->doc_digest == fetch->digests[part];
}

/* The peers that claim the document take turns, then the platform has one. */
static void
ask_part(doc_store *store, doc_kind doc, uint32_t part, uint64_t digest)
{
    const doc_fetch *fetch = &store->documents[doc].fetch;
    uint32_t place = fetch->turn % (fetch->source_count + 1);
    msg_message message = {
        .kind = MSG_DOC_FETCH,
        .version = MSG_VERSION,
        .sender = store->self,
        .doc = doc,
        .doc_part = part,
        .doc_digest = digest,
    };

    if (place == fetch->source_count) {
        store->counts.platform++;
        store->host->ops->read_platform(store->host, doc, part);
        return;
    }
    store->counts.fetches++;
    store->host->ops->send(store->host, fetch->sources[place], &message);
}

void
doc_fetch_ask(doc_store *store, lv_time now, doc_kind doc)
{
    doc_fetch *fetch = &store->documents[doc].fetch;

    if (!fetch->is_active) {
        return;
    }
    if (has_all(fetch)) {
        doc_accept(store, now, doc);
        return;
    }
    if (fetch->part_count == 0) {
        if (fetch->outstanding == 0) {
            fetch->outstanding = 1;
            ask_part(store, doc, 0, fetch->target.digest);
        }
        return;
    }
    for (uint32_t i = 1; i < fetch->part_count && fetch->outstanding < WINDOW;
         i++) {
        if (fetch->parts[i] == NULL && !fetch->asked[i]) {
            fetch->asked[i] = true;
            fetch->outstanding++;
            ask_part(store, doc, i, fetch->digests[i]);
            if (!fetch->is_active || fetch->part_count == 0) {
                return;
            }
        }
    }
}

static void
give_up(doc_store *store, lv_time now, doc_kind doc)
{
    doc_document *document = &store->documents[doc];

    store->counts.given_up++;
    doc_log(store, doc, "no-source", document->fetch.target.revision);
    document->aside = document->fetch.target.digest;
    document->aside_until = now + ASIDE_TIME;
    document->aside_source_count = document->fetch.source_count;
    memcpy(document->aside_sources, document->fetch.sources,
           sizeof document->aside_sources);
    doc_fetch_stop(document);
}

/* The platform's parts may have gone on to a later revision than the head
 * that was read. */
static void
read_head_again(doc_store *store, doc_kind doc)
{
    store->counts.platform++;
    store->host->ops->read_platform(store->host, doc, 0);
}

void
doc_fetch_next(doc_store *store, lv_time now, doc_kind doc)
{
    doc_fetch *fetch = &store->documents[doc].fetch;

    fetch->attempts++;
    if (fetch->attempts >= ATTEMPTS_MAX) {
        give_up(store, now, doc);
        return;
    }
    fetch->turn++;
    fetch->outstanding = 0;
    for (uint32_t i = 0; i < fetch->part_count; i++) {
        fetch->asked[i] = false;
    }
    fetch->deadline = now + store->settings.fetch_timeout;
    if (fetch->part_count > 0 &&
        fetch->turn % (fetch->source_count + 1) == fetch->source_count) {
        read_head_again(store, doc);
    }
    doc_fetch_ask(store, now, doc);
}

/* All parts are there, and only the start's wait holds it back. */
static bool
is_held(const doc_fetch *fetch)
{
    return fetch->is_from_platform && has_all(fetch);
}

void
doc_fetch_tick(doc_store *store, lv_time now, doc_kind doc)
{
    doc_document *document = &store->documents[doc];

    if (document->fetch.is_active) {
        if (is_held(&document->fetch)) {
            doc_accept(store, now, doc);
        }
        else if (now >= document->fetch.deadline) {
            doc_fetch_next(store, now, doc);
        }
    }
    else if (document->aside != 0 && now >= document->aside_until) {
        document->aside = 0;
        store->counts.platform++;
        store->host->ops->read_platform(store->host, doc, 0);
    }
}

lv_time
doc_fetch_next_tick(const doc_store *store, doc_kind doc)
{
    const doc_document *document = &store->documents[doc];

    if (document->fetch.is_active) {
        if (is_held(&document->fetch)) {
            return store->started + store->settings.start_wait;
        }
        return document->fetch.deadline;
    }
    return document->aside != 0 ? document->aside_until : LV_TIME_NEVER;
}
