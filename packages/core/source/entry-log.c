#include "entry-imp.h"

static const char *
account_name(const entry_state *entry, const entry_flow *flow)
{
    if (entry->catalogue == NULL || flow->account_handle == NONE) {
        return NULL;
    }
    return entry->catalogue->accounts[flow->account_handle].name;
}

static const char *
pool_name(const entry_state *entry, uint32_t pool)
{
    uint32_t handle = entry->pools[pool].handle;

    if (entry->catalogue == NULL || handle == NONE) {
        return NULL;
    }
    return entry->catalogue->pools[handle].name;
}

void
entry_log(entry_state *entry, lv_decision_kind kind, const char *reason,
          uint32_t index, uint32_t endpoint, uint64_t value,
          uint32_t alternatives)
{
    const entry_item *item = &entry->items[index];
    const entry_flow *flow = &entry->flows[item->flow];
    lv_decision decision = {
        .kind = kind,
        .reason = reason,
        .request = item->number,
        .account = account_name(entry, flow),
        .pool = pool_name(entry, flow->pool),
        .instance = entry->self,
        .value = value,
        .alternatives = alternatives,
    };

    if (endpoint != NONE) {
        decision.endpoint = entry->endpoints[endpoint].id;
    }
    entry->host->ops->log_decision(entry->host, &decision);
}

void
entry_log_refusal(entry_state *entry, const entry_request *request,
                  out_reason reason)
{
    lv_handle account = LV_HANDLE_NONE;
    lv_decision decision = {
        .kind = LV_DECIDE_REFUSE,
        .reason = out_reason_name(reason),
        .request = request->number,
        .instance = entry->self,
    };

    if (entry->catalogue != NULL) {
        account = cat_find_account(entry->catalogue, request->account);
    }
    if (account != LV_HANDLE_NONE) {
        decision.account = entry->catalogue->accounts[account].name;
    }
    entry->host->ops->log_decision(entry->host, &decision);
}
