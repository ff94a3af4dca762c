#include <stdio.h>

#include "gate-imp.h"

static const rt_service *
find_service(const gate_request *request)
{
    return rt_find_service(request->config, request->service);
}

/* Endpoints that failed this request are not used as sources, nor are sources
 * that were named in attempts that failed. */
static uint32_t
list_failed(const gate_request *request, lv_id *failed)
{
    const eng_table *table = &request->gate->endpoints;
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < request->tried_count; i++) {
        failed[count++] = eng_at(table, request->tried[i])->spec.id;
    }
    for (i = 0; i < request->failed_source_count; i++) {
        failed[count++] = request->failed_sources[i];
    }
    return count;
}

static fch_request
describe(const gate_request *request, lv_id *failed)
{
    return (fch_request){.service = find_service(request),
                         .prompt = &request->decoded.prompt,
                         .endpoint = request->decision.endpoint,
                         .failed = failed,
                         .failed_count = list_failed(request, failed)};
}

#define FAILED_MAX (ADM_TRIED_MAX + GATE_MAX_SENDS)

void
gate_choose_fetch(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_id failed[FAILED_MAX];
    fch_request described = describe(request, failed);

    request->fetch_spared = 0;
    fch_choose(&gate->settings.fetch, &gate->endpoints, &described,
               &request->decision.prediction, io_now(), &request->fetch);
    if (request->fetch.source != LV_HANDLE_NONE) {
        request->fetch_spared =
            fch_apply(&gate->settings.fetch, &gate->endpoints,
                      described.service, described.prompt,
                      &request->fetch.offer, &request->decision.prediction);
    }
}

void
gate_note_spared(gate_request *request, uint32_t tokens)
{
    uint32_t most = request->decoded.prompt.tokens;

    request->fetch_spared = tokens < most ? tokens : most;
}

void
gate_check_fetch(gate_request *request)
{
    eng_prediction *prediction = &request->decision.prediction;
    lv_id failed[FAILED_MAX];
    fch_request described = describe(request, failed);

    if (request->fetch.source == LV_HANDLE_NONE ||
        fch_may_use(&request->gate->endpoints, &described, &request->fetch,
                    io_now())) {
        return;
    }
    request->fetch.source = LV_HANDLE_NONE;
    request->fetch.reason = FCH_SOURCE_LOST;
    prediction->uncached_tokens += request->fetch_spared;
    request->fetch_spared = 0;
}

void
gate_count_fetch(gate_request *request)
{
    gate_server *gate = request->gate;
    const fch_choice *choice = &request->fetch;

    request->attempt->fetch_source = LV_ID_NONE;
    gate->counts.fetch_decisions[choice->reason]++;
    if (choice->source != LV_HANDLE_NONE) {
        request->attempt->fetch_source = choice->source_id;
        gate->counts.fetch_tokens += choice->tokens;
        eng_count_fetched(&gate->endpoints, request->decision.endpoint,
                          request->fetch_spared);
    }
}

const char *
gate_fetch_address(const gate_request *request)
{
    const eng_table *table = &request->gate->endpoints;

    return request->fetch.source != LV_HANDLE_NONE
               ? eng_at(table, request->fetch.source)->spec.address
               : NULL;
}

void
gate_exclude_source(gate_request *request)
{
    gate_attempt *attempt = request->attempt;

    if (attempt->fetch_source != LV_ID_NONE && !attempt->was_not_run &&
        request->failed_source_count < GATE_MAX_SENDS) {
        request->failed_sources[request->failed_source_count++] =
            attempt->fetch_source;
        attempt->fetch_source = LV_ID_NONE;
    }
}

uint32_t
gate_apply_offer(const gate_server *gate, lv_handle endpoint,
                 const peers_start_request *ask, eng_prediction *prediction)
{
    const rt_service *service =
        gate->config != NULL
            ? rt_find_service(gate->config,
                              eng_at(&gate->endpoints, endpoint)->spec.service)
            : NULL;

    return fch_apply(&gate->settings.fetch, &gate->endpoints, service,
                     &ask->prompt, &ask->fetch, prediction);
}

void
gate_write_fetch_metrics(const gate_server *gate, met_writer *writer)
{
    const gate_counts *counts = &gate->counts;
    const met_scalar values[] = {
        {"lavender_fetch_tokens_total", "counter",
         "prompt tokens that endpoints were told to fetch",
         (double)counts->fetch_tokens},
    };
    int i;

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    met_write_header(writer, "lavender_fetch_decisions_total", "counter",
                     "attempts with a fetch (known, presumed) or without one");
    for (i = FCH_UNDECIDED + 1; i < FCH_REASONS; i++) {
        char labels[48];

        snprintf(labels, sizeof labels, "reason=\"%s\"",
                 fch_reason_text((fch_reason)i));
        met_write_sample(writer, "lavender_fetch_decisions_total", labels,
                         (double)counts->fetch_decisions[i]);
    }
}
