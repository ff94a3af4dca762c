#include <stdlib.h>
#include <string.h>

#include "part-fleet-load.h"

#define US_PER_SECOND 1e6
#define US_PER_MS 1e3
#define INTERVAL_MS 100.0

/* Per account and interval, summed over the endpoints of a kind. */
typedef struct report_use {
    double slots;
    double *busy[LOAD_ACCOUNTS];
    double *units[LOAD_ACCOUNTS];
} report_use;

static void
add_numbers(double *to, json_t *numbers, int64_t shift)
{
    size_t index;
    json_t *number;

    json_array_foreach(numbers, index, number)
    {
        int64_t at = (int64_t)index + shift;

        if (at >= 0 && at < LOAD_INTERVALS) {
            to[at] += json_number_value(number);
        }
    }
}

static void
read_use(const load_load *load, const load_addresses *addresses,
         report_use *use)
{
    use->slots = 0;
    for (uint32_t k = 0; k < load->account_count; k++) {
        use->busy[k] = calloc(LOAD_INTERVALS, sizeof(double));
        use->units[k] = calloc(LOAD_INTERVALS, sizeof(double));
        if (use->busy[k] == NULL || use->units[k] == NULL) {
            abort();
        }
    }
    for (uint32_t i = 0; i < addresses->count; i++) {
        json_t *usage =
            http_json_wait(addresses->text[i], "GET", "/admin/usage", "");
        int64_t shift = json_integer_value(json_object_get(usage, "first")) -
                        (int64_t)load->first_interval;
        json_t *accounts = json_object_get(usage, "accounts");

        use->slots +=
            (double)json_integer_value(json_object_get(usage, "slots"));
        for (uint32_t k = 0; k < load->account_count; k++) {
            json_t *one = json_object_get(accounts, load->accounts[k].name);

            add_numbers(use->busy[k], json_object_get(one, "busy"), shift);
            add_numbers(use->units[k], json_object_get(one, "units"), shift);
        }
        json_decref(usage);
    }
}

static void
free_use(const load_load *load, report_use *use)
{
    for (uint32_t k = 0; k < load->account_count; k++) {
        free(use->busy[k]);
        free(use->units[k]);
    }
}

/* Requests that waited all through an interval: the least number sent and
 * not answered, less what ran on average. */
static double
waiting(const load_load *load, const report_use *use, load_kind kind,
        uint32_t account, uint32_t interval)
{
    uint16_t least = load->accounts[account].least[kind][interval];

    if (least == UINT16_MAX) {
        return 0;
    }
    return least - use->busy[account][interval] / INTERVAL_MS;
}

static bool
is_backlogged(const load_load *load, const report_use *use, load_kind kind,
              uint32_t account, uint32_t from, uint32_t to)
{
    for (uint32_t i = from; i < to; i++) {
        if (waiting(load, use, kind, account, i) < 1) {
            return false;
        }
    }
    return to > from;
}

typedef struct report_gap {
    double percent; /* of the mean service of the backlogged accounts */
    double units;
    double mean;
    uint32_t backlogged;
} report_gap;

static report_gap
measure_gap(const load_load *load, const report_use *use, load_kind kind,
            uint32_t from, uint32_t to)
{
    report_gap gap = {0};
    double least = 0;
    double most = 0;
    double sum = 0;

    for (uint32_t k = 0; k < load->account_count; k++) {
        double service = 0;

        if (!is_backlogged(load, use, kind, k, from, to)) {
            continue;
        }
        for (uint32_t i = from; i < to; i++) {
            service += use->units[k][i] / load->accounts[k].weight;
        }
        least = gap.backlogged == 0 || service < least ? service : least;
        most = gap.backlogged == 0 || service > most ? service : most;
        sum += service;
        gap.backlogged++;
    }
    if (gap.backlogged > 0) {
        gap.mean = sum / gap.backlogged;
        gap.units = most - least;
        gap.percent = gap.mean > 0 ? 100 * gap.units / gap.mean : 0;
    }
    return gap;
}

/* The largest gap over all windows, one starting at each second. */
static report_gap
worst_gap(const load_load *load, const report_use *use, load_kind kind,
          uint32_t from, uint32_t to)
{
    uint32_t length = (uint32_t)(load->plan.window * 1000 / INTERVAL_MS);
    report_gap worst = {0};

    if (length == 0 || to - from <= length) {
        return measure_gap(load, use, kind, from, to);
    }
    for (uint32_t at = from; at + length <= to; at += 10) {
        report_gap gap = measure_gap(load, use, kind, at, at + length);

        if (gap.backlogged >= 2 && gap.percent >= worst.percent) {
            worst = gap;
        }
    }
    return worst;
}

/* Busy share of the slots in the intervals in which somebody waited. */
static json_t *
measure_use(const load_load *load, const report_use *use, load_kind kind,
            uint32_t from, uint32_t to)
{
    double busy = 0;
    uint32_t intervals = 0;

    for (uint32_t i = from; i < to; i++) {
        double waits = 0;

        for (uint32_t k = 0; k < load->account_count; k++) {
            double one = waiting(load, use, kind, k, i);

            waits += one >= 1 ? one : 0;
        }
        if (waits < 1) {
            continue;
        }
        intervals++;
        for (uint32_t k = 0; k < load->account_count; k++) {
            busy += use->busy[k][i];
        }
    }
    if (intervals == 0 || use->slots <= 0) {
        return json_null();
    }
    return json_real(100 * busy / (intervals * INTERVAL_MS * use->slots));
}

static int
compare_numbers(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;

    return a < b ? -1 : a > b;
}

/* First-byte times of whole answers that began in the window, of one account
 * (NULL: any) and class (NULL: any). What is not streamed has its first byte
 * when it is whole. */
static json_t *
measure_wait(const load_load *load, const char *account,
             const char *class_name, load_kind kind, bool is_stream_only,
             double part)
{
    double *times = malloc((load->record_count + 1) * sizeof *times);
    uint32_t count = 0;
    uint64_t from =
        load->start_us + (uint64_t)(load->plan.warm_up * US_PER_SECOND);
    json_t *value;

    if (times == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < load->record_count; i++) {
        const load_record *record = &load->records[i];
        const load_flow *flow = &load->plan.flows[record->flow];

        if (record->verdict == LOAD_WHOLE && record->start_us >= from &&
            flow->kind == kind && (record->is_stream || !is_stream_only) &&
            (account == NULL || strcmp(account, flow->account) == 0) &&
            (class_name == NULL ||
             strcmp(class_name, flow->class_name) == 0)) {
            times[count++] =
                (double)(record->first_us - record->start_us) / US_PER_MS;
        }
    }
    qsort(times, count, sizeof *times, compare_numbers);
    value = count > 0 ? json_real(times[(uint32_t)(part * (count - 1) + 0.5)])
                      : json_null();
    free(times);
    return value;
}

static json_t *
report_accounts(const load_load *load, const report_use *use, load_kind kind,
                uint32_t from, uint32_t to)
{
    json_t *accounts = json_object();

    for (uint32_t k = 0; k < load->account_count; k++) {
        const load_account *account = &load->accounts[k];
        double units = 0;
        double busy = 0;

        for (uint32_t i = from; i < to; i++) {
            units += use->units[k][i];
            busy += use->busy[k][i];
        }
        json_object_set_new(
            accounts, account->name,
            json_pack(
                "{s:f, s:f, s:f, s:I, s:b, s:o, s:o}", "units", units,
                "weighted", units / account->weight, "busy_seconds",
                busy / 1000, "weight", (json_int_t)account->weight,
                "backlogged", (int)is_backlogged(load, use, kind, k, from, to),
                "first_byte_p50_ms",
                measure_wait(load, account->name, NULL, kind, false, 0.5),
                "first_byte_p95_ms",
                measure_wait(load, account->name, NULL, kind, false, 0.95)));
    }
    return accounts;
}

/* For each second: busy share of the slots, and requests that wait. */
static json_t *
report_timeline(const load_load *load, const report_use *use, load_kind kind)
{
    uint32_t count = (uint32_t)load->plan.seconds;
    json_t *seconds = json_array();

    for (uint32_t at = 0; at < count && use->slots > 0; at++) {
        double busy = 0;
        double waits = 0;

        for (uint32_t i = at * 10; i < at * 10 + 10; i++) {
            for (uint32_t k = 0; k < load->account_count; k++) {
                double one = waiting(load, use, kind, k, i);

                busy += use->busy[k][i];
                waits += one > 0 ? one : 0;
            }
        }
        json_array_append_new(
            seconds,
            json_pack("[f, f]", busy / (use->slots * 10), waits / 10));
    }
    return seconds;
}

static json_t *
report_kind(const load_load *load, load_kind kind)
{
    uint32_t from = (uint32_t)(load->plan.warm_up * 1000 / INTERVAL_MS) + 1;
    uint32_t to = (uint32_t)(load->plan.seconds * 1000 / INTERVAL_MS);
    const load_addresses *addresses =
        kind == LOAD_ENGINE ? &load->plan.engines : &load->plan.services;
    report_use use;
    report_gap worst;
    report_gap whole;
    json_t *report;

    read_use(load, addresses, &use);
    worst = worst_gap(load, &use, kind, from, to);
    whole = measure_gap(load, &use, kind, from, to);
    report = json_pack(
        "{s:f, s:f, s:f, s:I, s:f, s:f, s:I, s:o, s:f, s:o, s:o}",
        "gap_percent", worst.percent, "gap_units", worst.units,
        "gap_mean_units", worst.mean, "gap_accounts",
        (json_int_t)worst.backlogged, "run_gap_percent", whole.percent,
        "run_gap_units", whole.units, "run_gap_accounts",
        (json_int_t)whole.backlogged, "utilisation_percent",
        measure_use(load, &use, kind, from, to), "slots", use.slots,
        "accounts", report_accounts(load, &use, kind, from, to), "timeline",
        report_timeline(load, &use, kind));
    free_use(load, &use);
    return report;
}

static json_t *
report_control(const load_load *load)
{
    double seconds =
        (double)(load->after.at_us - load->before.at_us) / US_PER_SECOND;
    uint32_t routers = load->plan.operators.count;
    double cpu_most = 0;
    double cpu_sum = 0;
    double memory_most = 0;

    for (uint32_t i = 0; i < load->plan.pids.count; i++) {
        double cpu =
            load->after.cpu_ms[i] >= load->before.cpu_ms[i]
                ? (double)(load->after.cpu_ms[i] - load->before.cpu_ms[i]) /
                      (seconds * 10)
                : 0;
        double memory = (double)load->after.memory_kb[i];

        cpu_sum += cpu;
        cpu_most = cpu > cpu_most ? cpu : cpu_most;
        memory_most = memory > memory_most ? memory : memory_most;
    }
    return json_pack(
        "{s:f, s:f, s:f, s:f, s:f, s:f}", "seconds", seconds,
        "bytes_per_second_per_router",
        routers > 0
            ? (load->after.control_bytes - load->before.control_bytes) /
                  seconds / routers
            : 0,
        "core_percent_per_router",
        load->plan.pids.count > 0 ? cpu_sum / load->plan.pids.count : 0,
        "core_percent_most", cpu_most, "memory_kb_most", memory_most,
        "platform_calls_per_second",
        (load->after.platform_calls - load->before.platform_calls) / seconds);
}

json_t *
load_make_report(load_load *load)
{
    json_t *verdicts = json_object();

    for (int i = 0; i < LOAD_VERDICT_COUNT; i++) {
        json_object_set_new(verdicts, load_verdict_name(i),
                            json_integer(load->verdicts[i]));
    }
    return json_pack(
        "{s:I, s:o, s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o, s:o}", "requests",
        (json_int_t)load->record_count, "verdicts", verdicts,
        "not_run_but_ran", (json_int_t)load->not_run_but_ran,
        "done_but_not_run", (json_int_t)load->done_but_not_run, "doubles",
        (json_int_t)load->doubles, "engines", report_kind(load, LOAD_ENGINE),
        "services", report_kind(load, LOAD_SERVICE), "control",
        report_control(load), "urgent_p95_ms",
        measure_wait(load, NULL, "urgent", LOAD_ENGINE, true, 0.95),
        "deferrable_p95_ms",
        measure_wait(load, NULL, "deferrable", LOAD_ENGINE, true, 0.95),
        "service_p50_ms",
        measure_wait(load, NULL, NULL, LOAD_SERVICE, false, 0.5));
}
