#include <stdio.h>

#include "part-fleet-load.h"

static double
number(json_t *json, const char *name)
{
    return json_number_value(json_object_get(json, name));
}

static void
print_number(json_t *json, const char *format)
{
    if (json_is_number(json)) {
        printf(format, json_number_value(json));
    }
    else {
        printf("%10s", "-");
    }
}

static void
print_kind(json_t *report, const char *title, const char *unit)
{
    const char *name;
    json_t *account;

    printf("\n%s\n%-14s %6s %12s %12s %10s %10s %10s\n", title, "account",
           "weight", unit, "per weight", "p50 ms", "p95 ms", "backlogged");
    json_object_foreach(json_object_get(report, "accounts"), name, account)
    {
        if (number(account, "busy_seconds") <= 0) {
            continue;
        }
        printf("%-14s %6.0f %12.0f %12.0f ", name, number(account, "weight"),
               number(account, "units"), number(account, "weighted"));
        print_number(json_object_get(account, "first_byte_p50_ms"), "%10.1f");
        printf(" ");
        print_number(json_object_get(account, "first_byte_p95_ms"), "%10.1f");
        printf(" %10s\n", json_is_true(json_object_get(account, "backlogged"))
                              ? "yes"
                              : "no");
    }
    printf("fairness gap of %.0f backlogged accounts: %.2f%% of their mean "
           "service (%.0f of %.0f)\n",
           number(report, "gap_accounts"), number(report, "gap_percent"),
           number(report, "gap_units"), number(report, "gap_mean_units"));
    printf("utilisation while work waits: ");
    print_number(json_object_get(report, "utilisation_percent"), "%.2f%%");
    printf(" of %.0f slots\n", number(report, "slots"));
}

void
load_print_report(const load_load *load, json_t *report)
{
    json_t *control = json_object_get(report, "control");

    printf("requests: %u", load->record_count);
    for (int i = 0; i < LOAD_VERDICT_COUNT; i++) {
        if (load->verdicts[i] > 0) {
            printf(", %s %u", load_verdict_name(i), load->verdicts[i]);
        }
    }
    printf("\nnot-run but ran: %llu, done but not run: %llu, ran twice: "
           "%llu\n",
           (unsigned long long)load->not_run_but_ran,
           (unsigned long long)load->done_but_not_run,
           (unsigned long long)load->doubles);
    print_kind(json_object_get(report, "engines"), "model engines", "tokens");
    print_kind(json_object_get(report, "services"), "plain services",
               "slot-ms");
    printf("\nurgent streams: first byte p95 ");
    print_number(json_object_get(report, "urgent_p95_ms"), "%.1f ms");
    printf(", deferrable ");
    print_number(json_object_get(report, "deferrable_p95_ms"), "%.1f ms");
    printf("\ncontrol traffic: %.0f bytes/s per router, %.2f%% of a core per "
           "router (all its work), platform %.2f calls/s for the fleet\n",
           number(control, "bytes_per_second_per_router"),
           number(control, "core_percent_per_router"),
           number(control, "platform_calls_per_second"));
}
