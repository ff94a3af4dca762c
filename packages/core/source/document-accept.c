#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "document-imp.h"

#define NAME_SIZE 32

bool
doc_read_head(doc_kind doc, const doc_text *head, msg_doc_state *state,
              uint64_t *digests, uint32_t capacity, uint32_t *count)
{
    cat_part part = {"head", head->text, head->size};
    size_t parts = 0;
    bool is_good;

    state->digest = head->digest;
    if (doc == DOC_LISTS) {
        *count = 0;
        return lists_read_revision(head->text, head->size, &state->revision);
    }
    is_good = cat_read_head(&part, &state->revision, digests, capacity, &parts,
                            NULL);
    *count = (uint32_t)parts;
    return is_good;
}

/* "catalogue/head", "catalogue/accounts/3" or "lists", for messages. */
static void
name_part(doc_kind doc, uint32_t part, char *name)
{
    if (doc == DOC_LISTS) {
        snprintf(name, NAME_SIZE, "lists");
    }
    else if (part == 0) {
        snprintf(name, NAME_SIZE, "catalogue/head");
    }
    else {
        snprintf(name, NAME_SIZE, "catalogue/accounts/%u", part);
    }
}

static cat_catalogue *
parse_catalogue(const doc_fetch *fetch, cat_cache *cache, err_list *errors)
{
    cat_catalogue *catalogue = calloc(1, sizeof *catalogue);
    cat_part *parts = calloc(fetch->part_count, sizeof *parts);
    char(*names)[NAME_SIZE] = calloc(fetch->part_count, NAME_SIZE);
    bool is_good = false;

    if (catalogue != NULL && parts != NULL && names != NULL) {
        for (uint32_t i = 0; i < fetch->part_count; i++) {
            name_part(DOC_CATALOGUE, i, names[i]);
            parts[i].name = names[i];
            parts[i].text = fetch->parts[i]->text;
            parts[i].size = fetch->parts[i]->size;
        }
        is_good = cat_init_cached(catalogue, cache, parts, fetch->part_count,
                                  errors);
    }
    free(names);
    free(parts);
    if (!is_good) {
        free(catalogue);
        return NULL;
    }
    return catalogue;
}

static lists_snapshot *
parse_lists(const doc_fetch *fetch, err_list *errors)
{
    lists_snapshot *lists = calloc(1, sizeof *lists);

    if (lists != NULL && !lists_init(lists, "lists", fetch->parts[0]->text,
                                     fetch->parts[0]->size, errors)) {
        free(lists);
        return NULL;
    }
    return lists;
}

static void
note_refusal(doc_store *store, doc_kind doc, msg_doc_state target)
{
    doc_document *document = &store->documents[doc];
    const char *reason = "memory";

    if (document->refusal.count > 0) {
        reason = err_kind_name(document->refusal.items[0].error.kind);
    }
    store->counts.refused++;
    document->last_refused = target;
    document->refused[document->next_refused] = target.digest;
    document->next_refused = (document->next_refused + 1) % DOC_REFUSED_MAX;
    doc_log(store, doc, reason, target.revision);
}

static void
refuse(doc_store *store, doc_kind doc)
{
    doc_document *document = &store->documents[doc];

    note_refusal(store, doc, document->fetch.target);
    doc_fetch_stop(document);
}

void
doc_refuse_head(doc_store *store, doc_kind doc, const doc_text *head)
{
    doc_document *document = &store->documents[doc];
    msg_doc_state state = {0, head->digest};
    cat_part part = {"catalogue/head", head->text, head->size};
    cat_catalogue catalogue;
    lists_snapshot lists;

    if (doc == DOC_CATALOGUE) {
        cat_init(&catalogue, &part, 1, &document->refusal);
        cat_finish(&catalogue);
    }
    else {
        lists_init(&lists, "lists", head->text, head->size,
                   &document->refusal);
        lists_finish(&lists);
    }
    note_refusal(store, doc, state);
}

/* The texts move from the fetch to what is in force. */
static void
put_in_force(doc_store *store, doc_kind doc)
{
    doc_document *document = &store->documents[doc];
    doc_fetch *fetch = &document->fetch;

    doc_log(store, doc,
            fetch->target.revision == document->in_force.revision
                ? "accepted-same-revision"
                : "accepted",
            fetch->target.revision);
    doc_texts_free(document->parts, document->part_count);
    document->parts = fetch->parts;
    document->part_count = fetch->part_count;
    document->in_force = fetch->target;
    document->aside = 0;
    fetch->parts = NULL;
    fetch->part_count = 0;
    doc_fetch_stop(document);
    store->counts.accepted++;
}

static void
accept_catalogue(doc_store *store)
{
    doc_document *document = &store->documents[DOC_CATALOGUE];
    cat_catalogue *old = store->catalogue;
    cat_catalogue *found =
        parse_catalogue(&document->fetch, &store->cache, &document->refusal);

    if (found == NULL) {
        refuse(store, DOC_CATALOGUE);
        return;
    }
    put_in_force(store, DOC_CATALOGUE);
    store->catalogue = found;
    store->host->ops->document_changed(store->host, DOC_CATALOGUE);
    if (old != NULL) {
        cat_finish(old);
        free(old);
    }
}

static void
accept_lists(doc_store *store)
{
    doc_document *document = &store->documents[DOC_LISTS];
    lists_snapshot *old = store->lists;
    lists_snapshot *found = parse_lists(&document->fetch, &document->refusal);

    if (found == NULL) {
        refuse(store, DOC_LISTS);
        return;
    }
    put_in_force(store, DOC_LISTS);
    store->lists = found;
    /* Peers may have become reachable with their addresses. */
    store->documents[DOC_CATALOGUE].aside = 0;
    store->host->ops->document_changed(store->host, DOC_LISTS);
    if (old != NULL) {
        lists_finish(old);
        free(old);
    }
}

void
doc_accept(doc_store *store, lv_time now, doc_kind doc)
{
    const doc_fetch *fetch = &store->documents[doc].fetch;

    if (doc == DOC_LISTS) {
        accept_lists(store);
        return;
    }
    if (fetch->is_from_platform && !doc_trusts_platform(store, now)) {
        return;
    }
    accept_catalogue(store);
}
