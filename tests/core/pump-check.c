#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "pump.h"

/* An endpoint that leaves gets nothing new after this. */
#define LEAVING_LIMIT (3 * LV_SECOND)

void
pump_violate(pump_pump *pump, const char *format, ...)
{
    va_list arguments;

    if (pump->violations++ > 0) {
        return;
    }
    va_start(arguments, format);
    vsnprintf(pump->first_violation, sizeof pump->first_violation, format,
              arguments);
    va_end(arguments);
}

static void
check_done(pump_pump *pump, const pump_request *request, unsigned number)
{
    if (request->answered_attempt == 0) {
        pump_violate(pump, "request %u is done without an answer", number);
    }
    else if (request->answered_attempt != request->attempt) {
        pump_violate(pump, "request %u got an answer of attempt %u, not %u",
                     number, request->answered_attempt, request->attempt);
    }
    else if (request->answered_units != request->cost) {
        pump_violate(pump, "request %u got a cut answer", number);
    }
}

void
pump_note_finish(pump_pump *pump, pump_request *request,
                 const out_outcome *outcome)
{
    unsigned number = (unsigned)(request - pump->requests) + 1;

    if (!request->is_open) {
        pump_violate(pump, "request %u finished twice", number);
    }
    request->is_open = false;
    request->outcome = *outcome;
    if (outcome->kind == OUT_DONE) {
        check_done(pump, request, number);
    }
    if (outcome->kind == OUT_NOT_RUN && request->writes > 0) {
        pump_violate(pump, "request %u was called not-run after %u writes",
                     number, request->writes);
    }
}

void
pump_note_write(pump_pump *pump, pump_request *request, uint32_t index)
{
    const pump_endpoint *endpoint = &pump->endpoints[index];
    unsigned number = (unsigned)(request - pump->requests) + 1;

    request->writes++;
    if (!request->is_safe && request->writes > 1) {
        pump_violate(pump, "request %u is not idempotent, written %u times",
                     number, request->writes);
    }
    if (endpoint->leaving_since != 0 &&
        pump->now > endpoint->leaving_since + LEAVING_LIMIT) {
        pump_violate(pump, "request %u written to leaving endpoint %u", number,
                     index);
    }
}

void
pump_note_catalogue(pump_pump *pump, pump_node *node)
{
    const cat_catalogue *catalogue = doc_catalogue(node_documents(node->node));
    uint64_t taken;

    if (catalogue == NULL) {
        return;
    }
    taken = catalogue->revision;
    if (pump->settings.mutation == PUMP_MUTATE_REVERT && node->revision > 0) {
        taken = node->revision - 1;
    }
    if (taken < node->revision) {
        pump_violate(pump, "node %u went from catalogue %lu back to %lu",
                     node->index, (unsigned long)node->revision,
                     (unsigned long)taken);
    }
    node->revision = taken;
}

void
pump_check_open(pump_pump *pump)
{
    for (uint32_t i = 0; i < pump->request_count; i++) {
        if (pump->requests[i].is_open) {
            pump_violate(pump, "request %u never finished", i + 1);
            return;
        }
    }
}

/* Slot time that idles while an entry has work waiting for it. */
void
pump_observe(pump_pump *pump)
{
    static const lv_time step = LV_MILLISECOND;
    uint32_t waiting = 0;
    uint32_t idle = 0;
    uint32_t slots = 0;

    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        entry_counts counts;

        if (pump->nodes[i].node == NULL || pump->nodes[i].is_paused) {
            continue;
        }
        entry_read_counts(node_entry(pump->nodes[i].node), &counts);
        waiting += counts.waiting;
    }
    for (uint32_t i = 0; i < pump->settings.engines; i++) {
        const pump_endpoint *endpoint = &pump->endpoints[i];

        if (endpoint->is_up && endpoint->leaving_since == 0) {
            slots += pump->settings.engine_slots;
            idle += pump->settings.engine_slots - endpoint->running;
        }
    }
    if (waiting > 0) {
        pump->idle_while_waiting += (idle < waiting ? idle : waiting) * step;
        pump->watched += slots * step;
    }
}
