#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-bench.h"

typedef struct shape_key {
    const char *name;
    size_t offset;
} shape_key;

#define KEY(field)                                                            \
    {                                                                         \
#field, offsetof(fleet_shape, field)                                  \
    }

static const shape_key shape_keys[] = {
    KEY(routers),         KEY(zones),        KEY(zone_delay_us),
    KEY(engines),         KEY(engine_slots), KEY(token_us),
    KEY(prefill_us),      KEY(services),     KEY(service_slots),
    KEY(service_time_us), KEY(quantum),      KEY(urgent_credit),
    KEY(output_weight),   KEY(hold_ms)};

static void
format_rest(char *text, const char *format, va_list arguments)
{
    size_t size = strlen(text);

    vsnprintf(text + size, BENCH_TEXT_SIZE - size, format, arguments);
}

static void __attribute__((format(printf, 2, 3)))
append(char *text, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    format_rest(text, format, arguments);
    va_end(arguments);
}

static int
read_fleet_key(bench_bench *bench, const char *name, const char *value)
{
    char *bytes = (char *)&bench->shape;

    for (size_t i = 0; i < sizeof shape_keys / sizeof shape_keys[0]; i++) {
        if (strcmp(name, shape_keys[i].name) == 0) {
            uint32_t number = (uint32_t)strtoul(value, NULL, 10);

            memcpy(bytes + shape_keys[i].offset, &number, sizeof number);
            return 1;
        }
    }
    if (strcmp(name, "title") == 0) {
        snprintf(bench->title, sizeof bench->title, "%s", value);
        return 1;
    }
    return 0;
}

static fleet_account *
find_account(bench_bench *bench, const char *name)
{
    fleet_shape *shape = &bench->shape;

    for (uint32_t i = 0; i < shape->account_count; i++) {
        if (strcmp(shape->accounts[i].name, name) == 0) {
            return &shape->accounts[i];
        }
    }
    if (shape->account_count == FLEET_ACCOUNTS) {
        return NULL;
    }
    snprintf(shape->accounts[shape->account_count].name, FLEET_NAME_SIZE, "%s",
             name);
    return &shape->accounts[shape->account_count++];
}

static int
read_flow_key(bench_bench *bench, const char *section, const char *name,
              const char *value)
{
    char key[FLEET_NAME_SIZE];
    fleet_account *account;

    if (strcmp(section, bench->section) != 0) {
        snprintf(bench->section, sizeof bench->section, "%s", section);
        append(bench->flow_text, "[%s]\n", section);
    }
    append(bench->flow_text, "%s = %s\n", name, value);
    if (strcmp(name, "account") == 0) {
        account = find_account(bench, value);
        if (account == NULL) {
            return 0;
        }
        fleet_format_key(key, value);
        append(bench->flow_text, "key = %s\nweight = %u\n", key,
               account->weight > 0 ? account->weight : 1);
    }
    return 1;
}

/* "AT VERB FIRST SECOND; ..." */
static int
read_faults(bench_run *run, const char *value)
{
    char *copy = strdup(value);
    char *rest = NULL;
    int is_read = 1;

    for (char *one = strtok_r(copy, ";", &rest);
         one != NULL && run->fault_count < BENCH_FAULTS;
         one = strtok_r(NULL, ";", &rest)) {
        bench_fault *fault = &run->faults[run->fault_count++];

        if (sscanf(one, "%lf %31s %63s %63s", &fault->at, fault->verb,
                   fault->first, fault->second) < 2) {
            is_read = 0;
        }
    }
    free(copy);
    return is_read;
}

static int
read_run_key(bench_bench *bench, const char *run_name, const char *name,
             const char *value)
{
    bench_run *run = NULL;

    for (uint32_t i = 0; i < bench->run_count; i++) {
        if (strcmp(bench->runs[i].name, run_name) == 0) {
            run = &bench->runs[i];
        }
    }
    if (run == NULL) {
        if (bench->run_count == BENCH_RUNS) {
            return 0;
        }
        run = &bench->runs[bench->run_count++];
        snprintf(run->name, sizeof run->name, "%s", run_name);
        snprintf(run->policy, sizeof run->policy, "leases");
    }
    if (strcmp(name, "policy") == 0) {
        snprintf(run->policy, sizeof run->policy, "%s", value);
        return 1;
    }
    return strcmp(name, "faults") == 0 && read_faults(run, value);
}

static int
on_key(void *context, const char *section, const char *name, const char *value)
{
    bench_bench *bench = context;
    fleet_account *account;

    if (strcmp(section, "fleet") == 0) {
        return read_fleet_key(bench, name, value);
    }
    if (strcmp(section, "load") == 0) {
        append(bench->load_text, "%s = %s\n", name, value);
        return 1;
    }
    if (strncmp(section, "account ", 8) == 0 && strcmp(name, "weight") == 0) {
        account = find_account(bench, section + 8);
        if (account == NULL) {
            return 0;
        }
        account->weight = (uint32_t)strtoul(value, NULL, 10);
        return 1;
    }
    if (strncmp(section, "flow ", 5) == 0) {
        return read_flow_key(bench, section, name, value);
    }
    if (strncmp(section, "run ", 4) == 0) {
        return read_run_key(bench, section + 4, name, value);
    }
    return 0;
}

void
bench_read(bench_bench *bench)
{
    int line = ini_parse(bench->path, on_key, bench);

    if (line != 0) {
        fprintf(stderr,
                "%s: line %d is not understood; tests/fleet/experiments has "
                "examples\n",
                bench->path, line);
        exit(2);
    }
    if (bench->run_count == 0) {
        fprintf(stderr, "%s: add a section [run NAME]\n", bench->path);
        exit(2);
    }
    snprintf(bench->shape.programs, sizeof bench->shape.programs, "%s",
             bench->programs);
    snprintf(bench->shape.daemon, sizeof bench->shape.daemon, "%s",
             bench->daemon);
}
