#include "lavender/document.h"

#include <stdlib.h>
#include <string.h>

#include "document-imp.h"

bool
doc_init(doc_store *store, lv_host *host, const doc_settings *settings,
         lv_id self, lv_time now, err_error *error)
{
    memset(store, 0, sizeof *store);
    if (settings->fetch_timeout == 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "set fetch_timeout to more than zero",
                       "the timeout of a fetch is zero");
    }
    store->host = host;
    store->settings = *settings;
    store->self = self;
    store->started = now;
    return true;
}

void
doc_finish(doc_store *store)
{
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        doc_document *document = &store->documents[doc];

        doc_fetch_stop(document);
        doc_texts_free(document->parts, document->part_count);
    }
    if (store->catalogue != NULL) {
        cat_finish(store->catalogue);
    }
    if (store->lists != NULL) {
        lists_finish(store->lists);
    }
    cat_cache_finish(&store->cache);
    free(store->catalogue);
    free(store->lists);
    memset(store, 0, sizeof *store);
}

bool
doc_is_newer(msg_doc_state state, msg_doc_state than)
{
    return state.revision > than.revision ||
           (state.revision == than.revision && state.digest > than.digest);
}

bool
doc_is_refused(const doc_document *document, uint64_t digest)
{
    for (uint32_t i = 0; i < DOC_REFUSED_MAX; i++) {
        if (document->refused[i] == digest && digest != 0) {
            return true;
        }
    }
    return false;
}

void
doc_log(doc_store *store, doc_kind doc, const char *reason, uint64_t revision)
{
    lv_decision decision = {
        .kind = LV_DECIDE_DOCUMENT,
        .reason = reason,
        .pool = doc == DOC_CATALOGUE ? "catalogue" : "lists",
        .value = revision,
    };

    store->host->ops->log_decision(store->host, &decision);
}

static bool
is_alone(const doc_store *store)
{
    const lists_snapshot *lists = store->lists;

    for (uint32_t i = 0; lists != NULL && i < lists->instance_count; i++) {
        if (lists->instances[i].id != store->self &&
            !lists->instances[i].is_leaving) {
            return false;
        }
    }
    return lists != NULL;
}

bool
doc_trusts_platform(const doc_store *store, lv_time now)
{
    return store->has_heard || is_alone(store) ||
           lv_elapsed(now, store->started) >= store->settings.start_wait;
}

static bool
is_wanted(const doc_document *document, msg_doc_state state, lv_time now)
{
    if (state.revision == 0 || state.revision > INT64_MAX ||
        !doc_is_newer(state, document->in_force) ||
        doc_is_refused(document, state.digest)) {
        return false;
    }
    return state.digest != document->aside || now >= document->aside_until;
}

/* A peer that was not asked before may have what the others had not. */
static void
reconsider_aside(doc_document *document, msg_doc_state state, lv_id sender)
{
    if (state.digest != document->aside) {
        return;
    }
    for (uint32_t i = 0; i < document->aside_source_count; i++) {
        if (document->aside_sources[i] == sender) {
            return;
        }
    }
    document->aside = 0;
}

static bool
is_same(msg_doc_state a, msg_doc_state b)
{
    return a.revision == b.revision && a.digest == b.digest;
}

static void
note_state(doc_store *store, lv_time now, doc_kind doc, msg_doc_state state,
           lv_id sender)
{
    doc_document *document = &store->documents[doc];
    doc_fetch *fetch = &document->fetch;

    reconsider_aside(document, state, sender);
    if (!is_wanted(document, state, now)) {
        return;
    }
    if (fetch->is_active && is_same(fetch->target, state)) {
        bool was_from_platform = fetch->is_from_platform;

        doc_fetch_add_source(document, sender);
        fetch->is_from_platform = false;
        if (was_from_platform) {
            doc_fetch_ask(store, now, doc);
        }
        return;
    }
    if (!fetch->is_active || doc_is_newer(state, fetch->target)) {
        doc_fetch_start(store, now, doc, state, false);
        doc_fetch_add_source(document, sender);
        doc_fetch_ask(store, now, doc);
    }
}

void
doc_apply_peer_states(doc_store *store, lv_time now,
                      const msg_message *message)
{
    if (message->docs[DOC_CATALOGUE].revision > 0) {
        store->has_heard = true;
    }
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        note_state(store, now, (doc_kind)doc, message->docs[doc],
                   message->sender);
    }
    if (store->documents[DOC_CATALOGUE].fetch.is_from_platform) {
        doc_fetch_ask(store, now, DOC_CATALOGUE);
    }
}

static void
take_platform_head(doc_store *store, lv_time now, doc_kind doc, doc_text *text)
{
    doc_document *document = &store->documents[doc];
    doc_fetch *fetch = &document->fetch;
    msg_doc_state state = {0, 0};
    uint32_t count = 0;

    if (text->digest == document->in_force.digest ||
        doc_is_refused(document, text->digest)) {
        return;
    }
    if (!doc_read_head(doc, text, &state, NULL, 0, &count)) {
        doc_refuse_head(store, doc, text);
        return;
    }
    if (!doc_is_newer(state, document->in_force)) {
        store->counts.stale++;
        return;
    }
    if (fetch->is_active && !is_same(fetch->target, state) &&
        !doc_is_newer(state, fetch->target)) {
        store->counts.stale++;
        return;
    }
    if (!fetch->is_active || !is_same(fetch->target, state)) {
        doc_fetch_start(store, now, doc, state, true);
    }
    doc_fetch_take(store, now, doc, text, 0);
    doc_fetch_ask(store, now, doc);
}

void
doc_receive_platform_part(doc_store *store, lv_time now, doc_kind doc,
                          uint32_t part, const char *text, size_t size)
{
    doc_text *copy;

    if (size > CAT_PART_SIZE || (doc == DOC_LISTS && part > 0)) {
        store->counts.bad_parts++;
        return;
    }
    copy = doc_text_new(text, size);
    if (copy == NULL) {
        return;
    }
    if (part == 0) {
        take_platform_head(store, now, doc, copy);
    }
    else if (doc_fetch_take(store, now, doc, copy, part)) {
        doc_fetch_ask(store, now, doc);
    }
    doc_text_drop(copy);
}

/* The deadline of the fetch brings the next source, and the host has logged
 * the failure. */
void
doc_count_platform_failure(doc_store *store, lv_time now, doc_kind doc)
{
    (void)now;
    (void)doc;
    store->counts.platform_failed++;
}

/* An answer without a body says that the part is not here. */
void
doc_receive_fetch(doc_store *store, lv_time now, const msg_message *message)
{
    const doc_document *document;
    const doc_text *found = NULL;
    msg_message answer = {
        .kind = MSG_DOC_BODY,
        .version = MSG_VERSION,
        .sender = store->self,
        .target_incarnation = message->incarnation,
        .doc = message->doc,
        .doc_part = message->doc_part,
        .doc_digest = message->doc_digest,
        .body = "",
    };

    (void)now;
    if ((uint32_t)message->doc >= DOC_COUNT) {
        return;
    }
    document = &store->documents[message->doc];
    if (message->doc_part < document->part_count &&
        document->parts[message->doc_part]->digest == message->doc_digest) {
        found = document->parts[message->doc_part];
        answer.body = found->text;
        answer.body_size = found->size;
        store->counts.served++;
        store->counts.served_bytes += found->size;
    }
    store->host->ops->send(store->host, message->sender, &answer);
}

void
doc_receive_body(doc_store *store, lv_time now, const msg_message *message)
{
    const doc_fetch *fetch;
    doc_text *text;

    if ((uint32_t)message->doc >= DOC_COUNT) {
        return;
    }
    fetch = &store->documents[message->doc].fetch;
    if (!fetch->is_active) {
        return;
    }
    if (message->body_size == 0) {
        if (doc_fetch_is_asked(fetch, message)) {
            doc_fetch_next(store, now, message->doc);
        }
        return;
    }
    if (message->body_size > CAT_PART_SIZE) {
        store->counts.bad_parts++;
        return;
    }
    text = doc_text_new(message->body, message->body_size);
    if (text == NULL) {
        return;
    }
    if (doc_fetch_take(store, now, message->doc, text, message->doc_part)) {
        doc_fetch_ask(store, now, message->doc);
    }
    doc_text_drop(text);
}

void
doc_tick(doc_store *store, lv_time now)
{
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        doc_fetch_tick(store, now, (doc_kind)doc);
    }
}

lv_time
doc_next_tick(const doc_store *store)
{
    lv_time catalogue = doc_fetch_next_tick(store, DOC_CATALOGUE);
    lv_time lists = doc_fetch_next_tick(store, DOC_LISTS);

    return catalogue < lists ? catalogue : lists;
}

const cat_catalogue *
doc_catalogue(const doc_store *store)
{
    return store->catalogue;
}

const lists_snapshot *
doc_lists(const doc_store *store)
{
    return store->lists;
}

void
doc_read_states(const doc_store *store, msg_doc_state states[DOC_COUNT])
{
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        states[doc] = store->documents[doc].in_force;
    }
}

const err_list *
doc_last_refusal(const doc_store *store, doc_kind doc, msg_doc_state *state)
{
    const doc_document *document = &store->documents[doc];

    if (document->refusal.count == 0) {
        return NULL;
    }
    if (state != NULL) {
        *state = document->last_refused;
    }
    return &document->refusal;
}

bool
doc_is_ready(const doc_store *store)
{
    return store->catalogue != NULL;
}

static size_t
memory_of_texts(const doc_document *document)
{
    size_t bytes = document->part_count * sizeof(doc_text *);

    for (uint32_t i = 0; i < document->part_count; i++) {
        bytes += sizeof(doc_text) + document->parts[i]->size + 1;
    }
    return bytes;
}

size_t
doc_memory(const doc_store *store)
{
    const cat_catalogue *catalogue = store->catalogue;
    const lists_snapshot *lists = store->lists;
    size_t bytes = memory_of_texts(&store->documents[DOC_CATALOGUE]) +
                   memory_of_texts(&store->documents[DOC_LISTS]) +
                   cat_cache_memory(&store->cache);

    if (catalogue != NULL) {
        bytes += catalogue->pool_count * sizeof(cat_pool) +
                 catalogue->route_count * sizeof(cat_route) +
                 catalogue->model_count * sizeof(cat_model) +
                 catalogue->account_count *
                     (sizeof(cat_account) + sizeof(uint32_t)) +
                 catalogue->entry_count * sizeof(cat_entry);
    }
    if (lists != NULL) {
        bytes += lists->zone_count * sizeof(lists_zone) +
                 lists->instance_count * sizeof(lists_instance) +
                 lists->endpoint_count * sizeof(lists_endpoint);
    }
    return bytes;
}
