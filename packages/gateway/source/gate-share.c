#include "gate-imp.h"

static uint32_t
share_tokens(const gate_request *request)
{
    const eng_prompt *prompt = &request->decoded.prompt;

    return prompt->tokens + 2 * prompt->output_tokens;
}

void
gate_count_requested(gate_request *request)
{
    shr_shares *shares = &request->gate->shares;

    request->share_row = LV_HANDLE_NONE;
    if (request->account != NULL) {
        request->share_row = shr_find_or_add(shares, request->account->id);
    }
    if (request->share_row != LV_HANDLE_NONE) {
        shr_add_requested(shares, request->share_row, share_tokens(request),
                          request->received_at);
    }
}

void
gate_count_served(gate_request *request)
{
    if (!request->is_counted_served && request->share_row != LV_HANDLE_NONE) {
        request->is_counted_served = true;
        shr_add_served(&request->gate->shares, request->share_row,
                       share_tokens(request), io_now());
    }
}

void
gate_return_unserved(gate_request *request)
{
    if (request->is_counted_served && !request->has_begun) {
        request->is_counted_served = false;
        shr_return_served(&request->gate->shares, request->share_row,
                          share_tokens(request), io_now());
    }
}

double
gate_share_ratio(const gate_request *request, lv_time now)
{
    return request->share_row != LV_HANDLE_NONE
               ? shr_ratio(&request->gate->shares, request->share_row,
                           share_tokens(request), now)
               : 0;
}

bool
gate_asks_over_share(const gate_request *request)
{
    return request->share_row != LV_HANDLE_NONE &&
           request->decision.endpoint != LV_HANDLE_NONE &&
           shr_requests_over_share(&request->gate->shares, request->share_row,
                                   io_now());
}
