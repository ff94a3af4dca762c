#include <stdio.h>

#include "gate-imp.h"

/* The coordinator of an endpoint logs its rate for the fleet. */
static void
log_change(gate_server *gate, lv_handle row, lv_time now)
{
    eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    double before;

    if (spd_is_reported(&endpoint->speed, now) ||
        !spd_has_changed(&endpoint->speed,
                         gate->settings.engine.prefill_tokens_per_ms,
                         &before)) {
        return;
    }
    gate->counts.speed_changes++;
    log_event(LOG_LEVEL_NOTICE, now, "endpoint-speed",
              "endpoint=%s tokens_per_ms=%.1f before=%.1f samples=%u "
              "in_flight=%u",
              endpoint->spec.label, endpoint->speed.rate, before,
              endpoint->speed.sample_count, eng_in_flight(endpoint));
}

void
gate_update_speeds(gate_server *gate, lv_time now)
{
    lv_handle row;

    eng_update_speeds(&gate->endpoints, now);
    for (row = 0; row < gate->endpoints.capacity; row++) {
        if (eng_at(&gate->endpoints, row)->is_used &&
            eng_learns_speed(&gate->endpoints, row)) {
            log_change(gate, row, now);
        }
    }
}

void
gate_write_speed_metrics(const gate_server *gate, met_writer *writer)
{
    const met_scalar values[] = {
        {"lavender_endpoint_speed_changes_total", "counter",
         "estimated prefill rates that changed by more than a third",
         (double)gate->counts.speed_changes},
    };
    lv_handle row;

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    met_write_header(writer, "lavender_endpoint_prefill_rate", "gauge",
                     "prompt tokens per ms, estimated");
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
        char labels[LV_NAME_SIZE + 16];

        if (endpoint->is_used && eng_learns_speed(&gate->endpoints, row)) {
            gate_write_endpoint_label(endpoint, labels, sizeof labels);
            met_write_sample(writer, "lavender_endpoint_prefill_rate", labels,
                             eng_prefill_rate(&gate->endpoints, endpoint));
        }
    }
}
