#include <string.h>

#include "daemon-imp.h"

static daemon_daemon *
of(lv_host *host)
{
    return (daemon_daemon *)host;
}

static void
send_message(lv_host *host, lv_id to, const msg_message *message)
{
    link_send(&of(host)->link, to, message);
}

static void
start_attempt(lv_host *host, const lv_attempt *attempt)
{
    call_start_attempt(of(host)->callers, attempt);
}

static void
cancel_attempt(lv_host *host, lv_handle request, uint32_t number)
{
    call_cancel_attempt(of(host)->callers, request, number);
}

static void
finish_request(lv_host *host, lv_handle request, const out_outcome *outcome)
{
    call_finish_request(of(host)->callers, request, outcome);
}

/* A refused document's errors, each in a line of its own. */
static void
write_refusal(daemon_daemon *daemon, const lv_decision *decision)
{
    doc_kind doc =
        decision->pool != NULL && strcmp(decision->pool, "lists") == 0
            ? DOC_LISTS
            : DOC_CATALOGUE;
    const err_list *errors =
        doc_last_refusal(node_documents(&daemon->node), doc, NULL);
    char text[ERR_MESSAGE_SIZE + ERR_REMEDY_SIZE + 256], quoted[1024];
    size_t i;

    for (i = 0; errors != NULL && i < errors->count && i < ERR_LIST_SIZE;
         i++) {
        err_item_format(&errors->items[i], text, sizeof text);
        log_event(LOG_LEVEL_WARNING, daemon_now(), "document-error",
                  "document=%s error=%s",
                  doc == DOC_LISTS ? "lists" : "catalogue",
                  log_quote(text, quoted, sizeof quoted));
    }
}

static void
write_decision(lv_host *host, const lv_decision *decision)
{
    daemon_daemon *daemon = of(host);
    const lists_snapshot *lists =
        daemon->has_node ? doc_lists(node_documents(&daemon->node)) : NULL;
    const char *endpoint = NULL, *instance = NULL;
    lv_handle handle;

    if (lists != NULL) {
        handle = lists_find_endpoint(lists, decision->endpoint);
        if (handle != LV_HANDLE_NONE) {
            endpoint = lists->endpoints[handle].name;
        }
        handle = lists_find_instance(lists, decision->instance);
        if (handle != LV_HANDLE_NONE) {
            instance = lists->instances[handle].name;
        }
    }
    log_decision(decision, endpoint, instance);
    if (daemon->has_node && decision->kind == LV_DECIDE_DOCUMENT &&
        strcmp(decision->reason, "accepted") != 0) {
        write_refusal(daemon, decision);
    }
}

static void
send_order(lv_host *host, const lv_order *order)
{
    load_send_order(of(host)->load, order);
}

static void
document_changed(lv_host *host, doc_kind doc)
{
    daemon_daemon *daemon = of(host);
    const lists_snapshot *lists;

    if (doc != DOC_LISTS || !daemon->has_link) {
        return;
    }
    lists = doc_lists(node_documents(&daemon->node));
    if (lists != NULL) {
        link_set_lists(&daemon->link, lists);
    }
}

static void
read_platform(lv_host *host, doc_kind doc, uint32_t part)
{
    daemon_daemon *daemon = of(host);

    if (daemon->platform != NULL) {
        daemon->platform->ops->read(daemon->platform, doc, part);
    }
}

const lv_host_ops daemon_host_ops = {
    .send = send_message,
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .finish_request = finish_request,
    .log_decision = write_decision,
    .send_order = send_order,
    .document_changed = document_changed,
    .read_platform = read_platform,
};
