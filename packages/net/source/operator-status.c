#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "operator-imp.h"

static json_t *
number(uint64_t value)
{
    return json_integer((json_int_t)value);
}

static json_t *
documents_of(const oper_view *view)
{
    static const char *const names[DOC_COUNT] = {"catalogue", "lists"};
    msg_doc_state states[DOC_COUNT];
    json_t *documents = json_object();
    char digest[20];
    int i;

    doc_read_states(node_documents(view->node), states);
    for (i = 0; i < DOC_COUNT; i++) {
        snprintf(digest, sizeof digest, "%016" PRIx64, states[i].digest);
        json_object_set_new(documents, names[i],
                            json_pack("{s:o, s:s}", "revision",
                                      number(states[i].revision), "digest",
                                      digest));
    }
    return documents;
}

static json_t *
members_of(const oper_view *view)
{
    const swim_membership *membership = node_membership(view->node);
    lv_id *ids = calloc(OPER_INSTANCES_MAX, sizeof ids[0]);
    json_t *members = json_array();
    char name[LV_NAME_SIZE];
    uint32_t count = 0, i;

    if (ids != NULL) {
        count = swim_collect_live(membership, ids, OPER_INSTANCES_MAX);
    }
    for (i = 0; i < count; i++) {
        json_array_append_new(members, json_string(oper_instance_name(
                                           view, ids[i], name, sizeof name)));
    }
    free(ids);
    return members;
}

static json_t *
roles_of(const oper_view *view)
{
    uint32_t count = node_dispatcher_count(view->node), i, shard;
    json_t *roles = json_array();
    const disp_dispatcher *dispatcher;
    char name[LV_NAME_SIZE];
    disp_counts counts;
    uint64_t tenure;
    lv_id pool;

    for (i = 0; i < count; i++) {
        dispatcher = node_dispatcher_at(view->node, i, &pool, &shard, &tenure);
        disp_read_counts(dispatcher, &counts);
        json_array_append_new(
            roles,
            json_pack("{s:s, s:i, s:o, s:i, s:i, s:i, s:b}", "pool",
                      oper_pool_name(view, pool, name, sizeof name), "shard",
                      (int)shard, "tenure", number(tenure), "slots",
                      (int)counts.slots, "leased", (int)counts.leased,
                      "active_accounts", (int)counts.active_accounts,
                      "settled", counts.is_settled));
    }
    return roles;
}

static json_t *
requests_of(const oper_view *view)
{
    call_counts callers;
    entry_counts entry;
    json_t *requests;

    call_read_counts(view->callers, &callers);
    entry_read_counts(node_entry(view->node), &entry);
    requests = json_pack(
        "{s:i, s:i, s:i, s:i, s:i}", "in_hand", (int)callers.active_requests,
        "waiting", (int)entry.waiting, "running", (int)entry.running, "leases",
        (int)entry.leases, "connections", (int)callers.open_connections);
    json_object_set_new(requests, "total", number(callers.requests_received));
    json_object_set_new(requests, "attempts", number(entry.attempts));
    json_object_set_new(requests, "done",
                        number(callers.finished_by_outcome[OUT_DONE]));
    json_object_set_new(requests, "not_run",
                        number(callers.finished_by_outcome[OUT_NOT_RUN]));
    json_object_set_new(requests, "incomplete",
                        number(callers.finished_by_outcome[OUT_INCOMPLETE]));
    json_object_set_new(requests, "unknown",
                        number(callers.finished_by_outcome[OUT_UNKNOWN]));
    return requests;
}

static char *
dump(json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(2));

    json_decref(root);
    return text;
}

char *
oper_write_status(const oper_view *view)
{
    json_t *root =
        json_pack("{s:s, s:s, s:b, s:b}", "instance", view->instance, "zone",
                  view->zone, "ready", node_is_ready(view->node), "watcher",
                  node_is_watcher(view->node));

    json_object_set_new(root, "documents", documents_of(view));
    json_object_set_new(root, "members", members_of(view));
    json_object_set_new(root, "dispatchers", roles_of(view));
    json_object_set_new(root, "requests", requests_of(view));
    return dump(root);
}

char *
oper_write_catalogue(const oper_view *view)
{
    const cat_catalogue *catalogue = doc_catalogue(node_documents(view->node));
    json_t *root = json_object(), *pools = json_array(),
           *accounts = json_array();
    uint32_t i;

    for (i = 0; catalogue != NULL && i < catalogue->pool_count; i++) {
        json_array_append_new(
            pools,
            json_pack("{s:s, s:s}", "name", catalogue->pools[i].name, "kind",
                      catalogue->pools[i].kind == CAT_POOL_ENGINE
                          ? "engine"
                          : "service"));
    }
    for (i = 0; catalogue != NULL && i < catalogue->account_count; i++) {
        json_array_append_new(accounts,
                              json_pack("{s:s, s:i}", "name",
                                        catalogue->accounts[i].name, "weight",
                                        (int)catalogue->accounts[i].weight));
    }
    json_object_set_new(root, "revision",
                        number(catalogue == NULL ? 0 : catalogue->revision));
    json_object_set_new(root, "pools", pools);
    json_object_set_new(root, "accounts", accounts);
    return dump(root);
}
