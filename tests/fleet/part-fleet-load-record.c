#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common-process.h"
#include "common-usage.h"
#include "part-fleet-load.h"

#define US_PER_MS 1e3

/* Sum the values of all lines of a /metrics text that start so. */
static double
sum_metric(const char *text, const char *name)
{
    size_t length = strlen(name);
    double sum = 0;

    for (const char *at = text; at != NULL && *at != '\0';) {
        const char *end = strchr(at, '\n');

        if (strncmp(at, name, length) == 0 &&
            (at[length] == ' ' || at[length] == '{')) {
            const char *value = strchr(at, ' ');

            sum += value != NULL ? strtod(value, NULL) : 0;
        }
        at = end != NULL ? end + 1 : NULL;
    }
    return sum;
}

static double
read_control_bytes(const char *address)
{
    double sum = 0;
    http_call call;

    if (http_call_wait(&call, address, "GET", "/metrics", "", "", 5000) &&
        call.body != NULL) {
        sum = sum_metric(call.body, "lavender_peer_bytes_out_total") +
              sum_metric(call.body, "lavender_load_bytes_total");
    }
    http_call_finish(&call);
    return sum;
}

void
load_take_sample(load_load *load, load_sample *sample)
{
    const load_plan *plan = &load->plan;
    json_t *counts;

    memset(sample, 0, sizeof *sample);
    sample->at_us = usage_now_us();
    for (uint32_t i = 0; i < plan->operators.count; i++) {
        sample->control_bytes += read_control_bytes(plan->operators.text[i]);
    }
    for (uint32_t i = 0; i < plan->pids.count && i < LOAD_ROUTERS; i++) {
        pid_t pid = (pid_t)strtol(plan->pids.text[i], NULL, 10);

        sample->cpu_ms[i] = proc_cpu_ms(pid);
        sample->memory_kb[i] = proc_memory_kb(pid);
    }
    if (plan->platform[0] != '\0') {
        counts = http_json_wait(plan->platform, "GET", "/admin/counts", "");
        sample->platform_calls =
            (double)(json_integer_value(json_object_get(counts, "reads")) +
                     json_integer_value(json_object_get(counts, "watches")));
        json_decref(counts);
    }
}

static json_t *
read_runs(const load_addresses *addresses)
{
    json_t *all = json_object();

    for (uint32_t i = 0; i < addresses->count; i++) {
        json_t *answer =
            http_json_wait(addresses->text[i], "GET", "/admin/runs", "");
        const char *name;
        json_t *runs;

        json_object_foreach(json_object_get(answer, "runs"), name, runs)
        {
            json_int_t sum = json_integer_value(json_object_get(all, name)) +
                             json_integer_value(runs);

            json_object_set_new(all, name, json_integer(sum));
        }
        json_decref(answer);
    }
    return all;
}

/* Each plain call must have run as often as its caller was told. */
void
load_check_runs(load_load *load)
{
    json_t *runs[LOAD_KIND_COUNT] = {
        [LOAD_ENGINE] = read_runs(&load->plan.engines),
        [LOAD_SERVICE] = read_runs(&load->plan.services)};

    for (uint32_t i = 0; i < load->record_count; i++) {
        load_record *record = &load->records[i];
        const load_flow *flow = &load->plan.flows[record->flow];
        char identity[ANSWER_IDENTITY_SIZE];
        json_int_t count;

        snprintf(identity, sizeof identity, "%.40s/%.40s-%llu", flow->account,
                 flow->name, (unsigned long long)record->number);
        count =
            json_integer_value(json_object_get(runs[flow->kind], identity));
        if (record->verdict == LOAD_NOT_RUN && count > 0) {
            load->not_run_but_ran++;
        }
        if (record->verdict == LOAD_WHOLE && count == 0 &&
            flow->kind == LOAD_SERVICE && load->plan.services.count > 0) {
            load->done_but_not_run++;
        }
        if (flow->kind == LOAD_SERVICE && count > 1 &&
            strncmp(flow->path, "/lookup", strlen("/lookup")) != 0) {
            load->doubles++;
        }
    }
    json_decref(runs[LOAD_ENGINE]);
    json_decref(runs[LOAD_SERVICE]);
}

void
load_write_csv(const load_load *load, const char *path)
{
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        perror(path);
        return;
    }
    fprintf(file, "account,flow,class,router,number,start_ms,first_byte_ms,"
                  "end_ms,status,verdict,reason,tries,prompt_tokens,"
                  "output_tokens\n");
    for (uint32_t i = 0; i < load->record_count; i++) {
        const load_record *record = &load->records[i];
        const load_flow *flow = &load->plan.flows[record->flow];
        uint64_t start = load->start_us;

        fprintf(file, "%s,%s,%s,%u,%llu,%.3f,%.3f,%.3f,%d,%s,%s,%u,%u,%u\n",
                flow->account, flow->name, flow->class_name, record->router,
                (unsigned long long)record->number,
                (double)(record->start_us - start) / US_PER_MS,
                record->first_us > 0
                    ? (double)(record->first_us - start) / US_PER_MS
                    : 0,
                record->end_us > 0
                    ? (double)(record->end_us - start) / US_PER_MS
                    : 0,
                record->status, load_verdict_name(record->verdict),
                record->reason, record->tries, record->prompt, record->tokens);
    }
    fclose(file);
}
