#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pump.h"

#define TEXT_SIZE 32768

static void
add(char *text, const char *format, ...)
{
    size_t used = strlen(text);
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text + used, TEXT_SIZE - used, format, arguments);
    va_end(arguments);
}

char *
pump_write_accounts(const pump_pump *pump)
{
    char *text = calloc(1, TEXT_SIZE);

    for (uint32_t i = 0; i < pump->settings.accounts; i++) {
        char letter = (char)('a' + i);

        add(text, "[account account-%c]\nweight = 1\nkey_digest = %064x\n",
            letter, i + 1);
        add(text,
            "[entry account-%c/bulk]\npriority = deferrable\n"
            "waiting = 1000\nbody = 1MiB\ndeadline = 60s\n",
            letter);
    }
    return text;
}

char *
pump_write_head(const pump_pump *pump, uint64_t revision)
{
    char *text = calloc(1, TEXT_SIZE);
    char *accounts = pump_write_accounts(pump);

    add(text, "[catalogue]\nrevision = %lu\nparts = 1\n",
        (unsigned long)revision);
    add(text, "[digest]\n1 = %016lx\n",
        (unsigned long)cat_digest_part(accounts, strlen(accounts)));
    add(text,
        "[pool shared]\nkind = engine\nslots = %u\ninput_weight = 1\n"
        "output_weight = 1\nquantum = 200\nurgent_credit = 400\n"
        "hold = 5ms\nfencing = ignored\ndefault_cost = 100\n"
        "shard_endpoints = %u\n",
        pump->settings.engine_slots, pump->settings.shard_endpoints);
    add(text, "[route /safe]\npool = shared\nidempotent = yes\n"
              "match = exact\n");
    add(text, "[route /unsafe]\npool = shared\nidempotent = no\n"
              "match = exact\n");
    free(accounts);
    return text;
}

char *
pump_write_lists(const pump_pump *pump, uint64_t revision)
{
    char *text = calloc(1, TEXT_SIZE);

    add(text, "[list]\nrevision = %lu\n", (unsigned long)revision);
    for (uint32_t i = 0; i < pump->settings.zones; i++) {
        add(text, "[zone zone-%u]\nregion = here\n", i);
    }
    for (uint32_t i = 0; i < pump->settings.nodes; i++) {
        add(text,
            "[instance r%u]\nzone = zone-%u\npeer = 127.0.0.1:%u\n"
            "http = 127.0.0.1:%u\nstate = live\n",
            i, i % pump->settings.zones, 7000 + i, 8000 + i);
    }
    for (uint32_t i = 0; i < pump->settings.engines; i++) {
        bool is_leaving = pump->endpoints[i].leaving_since != 0 &&
                          revision >= pump->list_revision;

        add(text,
            "[endpoint e%u]\npool = shared\nzone = zone-%u\n"
            "address = 127.0.0.1:%u\nstate = %s\n",
            i, i % pump->settings.zones, 9000 + i,
            is_leaving ? "leaving" : "live");
    }
    return text;
}
