#include <openssl/sha.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common-fleet-imp.h"

#define TEXT_SIZE 65536

typedef struct text_text {
    char bytes[TEXT_SIZE];
    size_t size;
} text_text;

static int
format_rest(text_text *text, const char *format, va_list arguments)
{
    return vsnprintf(text->bytes + text->size, TEXT_SIZE - text->size, format,
                     arguments);
}

static void __attribute__((format(printf, 2, 3)))
add(text_text *text, const char *format, ...)
{
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = format_rest(text, format, arguments);
    va_end(arguments);
    if (length < 0 || text->size + (size_t)length >= TEXT_SIZE) {
        fputs("a text of the fleet is too long\n", stderr);
        abort();
    }
    text->size += (size_t)length;
}

void
fleet_format_key(char key[FLEET_NAME_SIZE], const char *account)
{
    snprintf(key, FLEET_NAME_SIZE, "key-of-%.50s", account);
}

static void
add_digest(text_text *text, const char *account)
{
    char key[FLEET_NAME_SIZE];
    unsigned char digest[SHA256_DIGEST_LENGTH];

    fleet_format_key(key, account);
    SHA256((const unsigned char *)key, strlen(key), digest);
    add(text, "key_digest = ");
    for (size_t i = 0; i < sizeof digest; i++) {
        add(text, "%02x", digest[i]);
    }
    add(text, "\n");
}

static void
add_account(text_text *text, const fleet_account *account)
{
    add(text, "[account %s]\nweight = %u\n", account->name, account->weight);
    add_digest(text, account->name);
    add(text,
        "[entry %s/urgent]\npriority = urgent\ndeadline = 60s\n"
        "%s\n",
        account->name, account->limits);
    add(text,
        "[entry %s/deferrable]\npriority = deferrable\n"
        "deadline = 60s\n%s\n",
        account->name, account->limits);
}

static void
add_pools(text_text *text, const fleet_shape *shape)
{
    add(text,
        "[pool models]\nkind = engine\nslots = %u\ninput_weight = 1\n"
        "output_weight = %u\nquantum = %u\nurgent_credit = %u\n"
        "hold = %ums\nfencing = %s\ndefault_cost = 100\n",
        shape->engine_slots, shape->output_weight, shape->quantum,
        shape->urgent_credit, shape->hold_ms,
        shape->ignores_fencing ? "ignored" : "checked");
    add(text,
        "[pool plots]\nkind = service\nslots = %u\nquantum = %u\n"
        "urgent_credit = %u\nhold = %ums\n"
        "default_cost = 20\n",
        shape->service_slots, shape->quantum, shape->urgent_credit,
        shape->hold_ms);
}

bool
fleet_publish_catalogue(fleet_fleet *fleet)
{
    text_text *text = calloc(1, sizeof *text);
    http_call call;
    bool is_taken;

    if (text == NULL) {
        return false;
    }
    add(text, "[catalogue]\nrevision = %llu\n",
        (unsigned long long)++fleet->catalogue_revision);
    add_pools(text, &fleet->shape);
    add(text, "[route /v1/chat/completions]\npool = by-model\n"
              "idempotent = yes\n"
              "[route /v1/completions]\npool = by-model\nidempotent = yes\n"
              "[route /book]\npool = plots\nidempotent = no\n"
              "match = prefix\n"
              "[route /lookup]\npool = plots\nidempotent = yes\n"
              "match = prefix\n"
              "[model m]\npool = models\ncopies = all\nsize = 1MiB\n");
    for (uint32_t i = 0; i < fleet->shape.account_count; i++) {
        add_account(text, &fleet->shape.accounts[i]);
    }
    is_taken = http_call_wait(&call, fleet->platform.admin, "PUT",
                              "/admin/config/catalogue/head", "", text->bytes,
                              5000) &&
               call.status == 200;
    http_call_finish(&call);
    free(text);
    return is_taken;
}

static void
add_endpoints(text_text *text, const fleet_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        const fleet_endpoint *endpoint = &fleet->endpoints[i];

        if (endpoint->is_unlisted) {
            continue;
        }
        add(text,
            "[endpoint %s]\npool = %s\nzone = zone%u\naddress = %s\n"
            "state = %s\n",
            endpoint->name, endpoint->is_service ? "plots" : "models",
            endpoint->zone, endpoint->listed,
            endpoint->is_leaving ? "leaving" : "live");
    }
}

bool
fleet_publish_lists(fleet_fleet *fleet)
{
    text_text *text = calloc(1, sizeof *text);
    http_call call;
    bool is_taken;

    if (text == NULL) {
        return false;
    }
    add(text, "[list]\nrevision = %llu\n",
        (unsigned long long)++fleet->lists_revision);
    for (uint32_t i = 0; i < fleet->shape.zones; i++) {
        add(text, "[zone zone%u]\nregion = home\n", i);
    }
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        const fleet_router *router = &fleet->routers[i];

        add(text,
            "[instance %s]\nzone = zone%u\npeer = %s\nhttp = %s\n"
            "state = %s\n",
            router->name, router->zone, router->peer_proxy, router->callers,
            router->is_leaving ? "leaving" : "live");
    }
    add_endpoints(text, fleet);
    is_taken = http_call_wait(&call, fleet->platform.admin, "PUT",
                              "/admin/config/lists", "", text->bytes, 5000) &&
               call.status == 200;
    http_call_finish(&call);
    free(text);
    return is_taken;
}

bool
fleet_write_settings(const fleet_fleet *fleet, const fleet_router *router,
                     char path[PROC_PATH_SIZE])
{
    FILE *file;

    snprintf(path, PROC_PATH_SIZE, "%.400s/%s.ini", fleet->folder,
             router->name);
    file = fopen(path, "w");
    if (file == NULL) {
        return false;
    }
    fprintf(file, "[instance]\nname = %s\nzone = zone%u\n", router->name,
            router->zone);
    fprintf(file, "[listen]\ncallers = %s\noperator = %s\npeer = %s\n",
            router->callers, router->operator_address, router->peer);
    fprintf(file,
            "[platform]\nsource = service\naddress = %s\nwatch = %ums\n"
            "timeout = 1s\nbackoff = 100ms\nbackoff_max = 1s\n",
            fleet->platform.address, fleet->shape.watch_ms);
    fprintf(file, "[tickets]\nkey = "
                  "000102030405060708090a0b0c0d0e0f"
                  "101112131415161718191a1b1c1d1e1f\n");
    fprintf(file, "[mode]\npolicy = %s\ninstances = %u\n",
            strcmp(fleet->shape.policy, FLEET_DIRECT) == 0
                ? "leases"
                : fleet->shape.policy,
            fleet->shape.routers);
    fprintf(file, "%s", fleet->shape.router_settings);
    return fclose(file) == 0;
}
