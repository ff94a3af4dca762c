#include <stdio.h>
#include <string.h>

#include "part-fleet-bench.h"

/* A column: the path of a number in the report of a run. */
typedef struct bench_column {
    const char *name;
    const char *object; /* NULL: top level */
    const char *key;
} bench_column;

static const bench_column columns[] = {
    {"requests", NULL, "requests"},
    {"whole", "verdicts", "whole"},
    {"not_run", "verdicts", "not-run"},
    {"incomplete", "verdicts", "incomplete"},
    {"unknown", "verdicts", "unknown"},
    {"cut", "verdicts", "cut"},
    {"no_answer", "verdicts", "no-answer"},
    {"pending", "verdicts", "pending"},
    {"wrong", "verdicts", "wrong"},
    {"not_run_but_ran", NULL, "not_run_but_ran"},
    {"ran_twice", NULL, "doubles"},
    {"gap_percent", "engines", "gap_percent"},
    {"gap_units", "engines", "gap_units"},
    {"gap_mean_units", "engines", "gap_mean_units"},
    {"gap_accounts", "engines", "gap_accounts"},
    {"utilisation_percent", "engines", "utilisation_percent"},
    {"service_gap_percent", "services", "gap_percent"},
    {"service_utilisation_percent", "services", "utilisation_percent"},
    {"urgent_p95_ms", NULL, "urgent_p95_ms"},
    {"deferrable_p95_ms", NULL, "deferrable_p95_ms"},
    {"service_p50_ms", NULL, "service_p50_ms"},
    {"control_bytes_per_second", "control", "bytes_per_second_per_router"},
    {"core_percent", "control", "core_percent_per_router"},
    {"memory_kb", "control", "memory_kb_most"},
    {"platform_calls_per_second", "control", "platform_calls_per_second"}};

#define COLUMN_COUNT (sizeof columns / sizeof columns[0])

static json_t *
find_column(const bench_run *run, const bench_column *column)
{
    json_t *object = column->object != NULL
                         ? json_object_get(run->report, column->object)
                         : run->report;

    return json_object_get(object, column->key);
}

static void
base_name(const bench_bench *bench, char name[FLEET_NAME_SIZE])
{
    const char *slash = strrchr(bench->path, '/');
    const char *file = slash != NULL ? slash + 1 : bench->path;

    snprintf(name, FLEET_NAME_SIZE, "%.*s", (int)strcspn(file, "."), file);
}

static FILE *
open_result(const bench_bench *bench, const char *suffix)
{
    char name[FLEET_NAME_SIZE];
    char path[PROC_PATH_SIZE];
    FILE *file;

    base_name(bench, name);
    snprintf(path, sizeof path, "%.300s/%s%s.csv", bench->results, name,
             suffix);
    file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
    }
    return file;
}

static void
write_number(FILE *file, json_t *value)
{
    if (json_is_integer(value)) {
        fprintf(file, ",%lld", (long long)json_integer_value(value));
    }
    else if (json_is_real(value)) {
        fprintf(file, ",%.3f", json_real_value(value));
    }
    else {
        fputs(",", file);
    }
}

static bool
write_runs(const bench_bench *bench)
{
    FILE *file = open_result(bench, "");

    if (file == NULL) {
        return false;
    }
    fputs("run,policy", file);
    for (size_t i = 0; i < COLUMN_COUNT; i++) {
        fprintf(file, ",%s", columns[i].name);
    }
    fputs("\n", file);
    for (uint32_t i = 0; i < bench->run_count; i++) {
        const bench_run *run = &bench->runs[i];

        fprintf(file, "%s,%s", run->name, run->policy);
        for (size_t k = 0; k < COLUMN_COUNT; k++) {
            write_number(file, find_column(run, &columns[k]));
        }
        fputs("\n", file);
    }
    fclose(file);
    return true;
}

static bool
write_accounts(const bench_bench *bench)
{
    FILE *file = open_result(bench, "-accounts");

    if (file == NULL) {
        return false;
    }
    fputs("run,account,weight,units,units_per_weight,busy_seconds,"
          "backlogged\n",
          file);
    for (uint32_t i = 0; i < bench->run_count; i++) {
        json_t *engines = json_object_get(bench->runs[i].report, "engines");
        const char *name;
        json_t *account;

        json_object_foreach(json_object_get(engines, "accounts"), name,
                            account)
        {
            fprintf(file, "%s,%s", bench->runs[i].name, name);
            write_number(file, json_object_get(account, "weight"));
            write_number(file, json_object_get(account, "units"));
            write_number(file, json_object_get(account, "weighted"));
            write_number(file, json_object_get(account, "busy_seconds"));
            fprintf(file, ",%d\n",
                    json_is_true(json_object_get(account, "backlogged")));
        }
    }
    fclose(file);
    return true;
}

static bool
write_timeline(const bench_bench *bench)
{
    FILE *file = open_result(bench, "-timeline");

    if (file == NULL) {
        return false;
    }
    fputs("run,second,utilisation_percent,waiting\n", file);
    for (uint32_t i = 0; i < bench->run_count; i++) {
        json_t *engines = json_object_get(bench->runs[i].report, "engines");
        size_t second;
        json_t *values;

        json_array_foreach(json_object_get(engines, "timeline"), second,
                           values)
        {
            fprintf(file, "%s,%zu,%.2f,%.1f\n", bench->runs[i].name, second,
                    json_number_value(json_array_get(values, 0)),
                    json_number_value(json_array_get(values, 1)));
        }
        fputs("\n\n", file);
    }
    fclose(file);
    return true;
}

bool
bench_write_results(const bench_bench *bench)
{
    return write_runs(bench) && write_accounts(bench) && write_timeline(bench);
}

void
bench_print_summary(const bench_bench *bench)
{
    printf("\n%s\n%-20s", bench->title, "");
    for (uint32_t i = 0; i < bench->run_count; i++) {
        printf(" %14.14s", bench->runs[i].name);
    }
    printf("\n");
    for (size_t k = 0; k < COLUMN_COUNT; k++) {
        printf("%-20.20s", columns[k].name);
        for (uint32_t i = 0; i < bench->run_count; i++) {
            json_t *value = find_column(&bench->runs[i], &columns[k]);

            if (json_is_number(value)) {
                printf(" %14.2f", json_number_value(value));
            }
            else {
                printf(" %14s", "-");
            }
        }
        printf("\n");
    }
}
