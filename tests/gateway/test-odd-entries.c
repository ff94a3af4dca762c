/*
 * Invalid entries in the list of endpoints: they get no requests, and the
 * gateway goes on reading the list.
 */
#include <criterion/criterion.h>

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"
#include "stage-imp.h"

#define REQUESTS 8

static stage_fixture stage;

/* A valid entry except for its address and the members of `more`. */
#define ENTRY(address, more)                                                  \
    "{\"service\":\"pool\",\"address\":\"" address                            \
    "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","   \
    "\"born\":1,\"seq\":1" more "}"

static const struct {
    const char *name;
    const char *json; /* %: nested arrays */
    uint32_t depth;
} cases[] = {
    {"nested, nothing else", "%", 200000},
    {"nested within the parser's limit", "%", 2000},
    {"nested in a field", ENTRY("127.0.0.1:9", ",\"x\":%"), 200000},
    {"integer too large", ENTRY("127.0.0.1:9", ",\"y\":99999999999999999999"),
     0},
    {"number too large", ENTRY("127.0.0.1:9", ",\"y\":1e999"), 0},
    {"port out of range", ENTRY("127.0.0.1:65536", ""), 0},
    {"port far out of range", ENTRY("127.0.0.1:99999999999999999999", ""), 0},
    {"negative port", ENTRY("127.0.0.1:-1", ""), 0},
    {"port 0", ENTRY("127.0.0.1:0", ""), 0},
    {"no port", ENTRY("127.0.0.1", ""), 0},
    {"no address", ENTRY("somewhere:80", ""), 0},
    {"text that is no JSON", "\\x00\\xff", 0},
    {"no object", "7", 0},
};

/* Writes an item with the entry as its value. */
static char *
write_item(const char *json, uint32_t depth)
{
    size_t size = strlen(json) + 2 * (size_t)depth + 1;
    const char *nest = strchr(json, '%');
    char *text = calloc(1, size);
    char *item = calloc(1, size * 2 + 256);
    char *encoded = calloc(1, size * 2 + 8);
    size_t used = nest != NULL ? (size_t)(nest - json) : strlen(json);

    memcpy(text, json, used);
    if (nest != NULL) {
        memset(text + used, '[', depth);
        memset(text + used + depth, ']', depth);
        memcpy(text + used + 2 * (size_t)depth, nest + 1, strlen(nest + 1));
    }
    EVP_EncodeBlock((unsigned char *)encoded, (const unsigned char *)text,
                    (int)strlen(text));
    sprintf(item,
            ",{\"key\":\"servers/odd\",\"revision\":2,\"created_at\":2,"
            "\"value\":\"%s\"}",
            encoded);
    free(text);
    free(encoded);
    return item;
}

static uint32_t
count_listed(const stage_fixture *self, const char *prefix)
{
    uint32_t listed = 0;

    for (uint32_t i = 0; i < self->gate.endpoints.capacity; i++) {
        const eng_endpoint *endpoint = &self->gate.endpoints.endpoints[i];

        listed += endpoint->is_listed &&
                  strncmp(endpoint->spec.name, prefix, strlen(prefix)) == 0;
    }
    return listed;
}

static bool
has_both(stage_fixture *self, void *context)
{
    (void)context;
    return count_listed(self, "e-") == 2;
}

/* Guards against one entry of another writer that ends the gateway, or keeps
 * it from reading the list, or gets requests that then fail. */
Test(odd_entries, entry_that_names_no_endpoint_is_not_used)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char *item = write_item(cases[i].json, cases[i].depth);
        stage_response answer;

        stage_start(&stage, 1);
        stage.endpoint_items = item;
        stage_advance_revision(&stage);
        stage_run_for(&stage, 800);
        cr_expect_eq(count_listed(&stage, "odd"), 0, "%s", cases[i].name);
        for (int k = 0; k < REQUESTS; k++) {
            stage_exchange(&stage, "/once/1", "", &answer);
            cr_expect_eq(answer.status, 200, "%s: %u", cases[i].name,
                         answer.status);
        }
        stage.endpoint_count = 2;
        stage_start_endpoint(&stage, &stage.endpoints[1], 1);
        stage_advance_revision(&stage);
        cr_expect(stage_run_until(&stage, has_both, NULL, 3000),
                  "%s: the list is followed", cases[i].name);
        stage_stop(&stage);
        free(item);
    }
}
