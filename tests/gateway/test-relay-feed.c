/*
 * A gateway of a large fleet that reads the store through another instance:
 * changes arrive over its relay, and the gateway turns to another source when
 * the relay fails, is silent or falls behind.
 */
#include <criterion/criterion.h>

#include <openssl/evp.h>
#include <stdio.h>
#include <string.h>

#include "gate-imp.h"
#include "peer-node.h"
#include "peers-imp.h"
#include "stage.h"

static stage_fixture stage;

/* Two peers of the stage's zone that are the readers: one relay at a time is
 * played by the test, the other address is closed. */
static rly_relay relay;

static void
set_relay_config(uint32_t version, uint64_t revision)
{
    static char text[8192];
    static wire_item item;

    stage.config_version = version;
    stage_write_config_item(&stage, revision, text, sizeof text);
    memset(&item, 0, sizeof item);
    lv_copy_name(item.key, sizeof item.key, "op/config");
    item.position.revision = revision;
    item.text = text;
    rly_apply_item(&relay, WIRE_CONFIG, &item);
    rly_publish(&relay, WIRE_CONFIG, (wire_position){.revision = revision});
}

static bool
is_relayed(stage_fixture *self, void *context)
{
    const bool *wanted = context;

    return self->gate.feeds[WIRE_CONFIG].is_relayed == *wanted &&
           self->gate.feeds[WIRE_ENDPOINTS].is_relayed == *wanted;
}

static bool
has_version(stage_fixture *self, void *context)
{
    return self->gate.config->version == *(const uint64_t *)context;
}

/* Starts the stage as an instance whose zone has two readers: the relay of the
 * test, which it reads from first, and an address where nobody listens. */
static void
start_relayed(void)
{
    peers_state *peers = &stage.gate.peers;
    struct sockaddr_in address;
    struct sockaddr_in closed;
    struct sockaddr_in chosen;
    char text[LV_ADDRESS_SIZE];
    bool wanted = true;
    uint16_t port = 0;

    stage_start(&stage, 1);
    io_parse_address("127.0.0.1:0", &address, NULL);
    cr_assert(
        rly_init(&relay, &stage.loop, stage.gate.wire, &address, 64, NULL));
    stage_format_address(&relay.server.listener, text);
    io_parse_address(text, &address, NULL);
    for (int i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        rly_publish(&relay, (wire_subject)i,
                    (wire_position){.revision = stage.revision});
        rly_set_serving(&relay, (wire_subject)i, true);
    }
    uv_ip4_addr("127.0.0.1", 1, &closed);
    peer_node_join(peers, &address, peers->settings.zone);
    peer_node_join(peers, &closed, peers->settings.zone);
    peers->max_live_count = 29;
    /* The instance's own address decides whether it is a reader. */
    do {
        peers->settings.bind.sin_port = htons(++port);
    } while (peers_choose_reader(peers, io_now(), &chosen) !=
                 PEERS_READS_RELAY ||
             chosen.sin_port != address.sin_port);
    cr_assert(stage_run_until(&stage, is_relayed, &wanted, 5000));
}

static void
stop_relayed(void)
{
    rly_close(&relay);
    stage_stop(&stage);
    rly_finish(&relay);
}

Test(relay_feed, change_arrives_without_a_call_of_the_store)
{
    uint64_t wanted = 9;
    uint32_t calls;

    start_relayed();
    stage_run_for(&stage, 300);
    calls = stage.store_calls;
    set_relay_config(9, stage.revision + 1);
    cr_expect(stage_run_until(&stage, has_version, &wanted, 500));
    stage_run_for(&stage, 500);
    cr_expect_eq(stage.store_calls, calls);
    stop_relayed();
}

static bool
is_first_zone_evacuated(stage_fixture *self, void *context)
{
    return evc_is_evacuated(&self->gate.evacuation, lv_hash_name("z")) ==
           *(const bool *)context;
}

/* The relay's list of its reader; the reader has lost the history before. */
static void
list_at_relay(bool has_zone, uint64_t revision)
{
    static char text[8192];
    static wire_item item;

    memset(&item, 0, sizeof item);
    stage_write_config_item(&stage, 1, text, sizeof text);
    lv_copy_name(item.key, sizeof item.key, "op/config");
    item.position.revision = 1;
    item.text = text;
    rly_begin_list(&relay, WIRE_CONFIG);
    rly_apply_item(&relay, WIRE_CONFIG, &item);
    if (has_zone) {
        lv_copy_name(item.key, sizeof item.key, "op/evacuate/z");
        item.text = "{\"key\":\"op/evacuate/z\",\"revision\":101,"
                    "\"value\":\"e30=\"}";
        item.position.revision = 101;
        rly_apply_item(&relay, WIRE_CONFIG, &item);
    }
    rly_end_list(&relay, WIRE_CONFIG);
    rly_publish(&relay, WIRE_CONFIG, (wire_position){.revision = revision});
}

/* Guards against a zone that stays evacuated at instances that read from a
 * relay, whose reader saw the return only in a list: no change tells of it. */
Test(relay_feed, an_item_that_a_list_lacks_is_gone_for_watches)
{
    bool wanted = true;

    start_relayed();
    list_at_relay(true, 101);
    cr_expect(stage_run_until(&stage, is_first_zone_evacuated, &wanted, 1500));
    stage_run_for(&stage, 300);
    list_at_relay(false, 130);
    wanted = false;
    cr_expect(stage_run_until(&stage, is_first_zone_evacuated, &wanted, 1500));
    stop_relayed();
}

static void
apply_endpoint(const char *name, uint64_t revision)
{
    static char text[2048];
    static wire_item item;
    unsigned char encoded[512];
    char value[256];

    snprintf(
        value, sizeof value,
        "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"born\":1000,"
        "\"seq\":1}",
        stage.endpoints[0].address);
    EVP_EncodeBlock(encoded, (const unsigned char *)value, (int)strlen(value));
    memset(&item, 0, sizeof item);
    snprintf(item.key, sizeof item.key, "servers/%.63s", name);
    snprintf(text, sizeof text,
             "{\"key\":\"%s\",\"revision\":%llu,\"value\":\"%s\"}", item.key,
             (unsigned long long)revision, (const char *)encoded);
    item.position.revision = revision;
    item.text = text;
    rly_apply_item(&relay, WIRE_ENDPOINTS, &item);
}

static bool
has_listed(stage_fixture *self, void *context)
{
    uint32_t listed = 0;

    for (uint32_t i = 0; i < self->gate.endpoints.capacity; i++) {
        listed += self->gate.endpoints.endpoints[i].is_listed;
    }
    return listed == *(const uint32_t *)context;
}

static bool
never(stage_fixture *self, void *context)
{
    (void)self;
    (void)context;
    return false;
}

/* The same as stage_run_until; watches at the relay end after their wait. */
static bool
run_relay_until(stage_condition *condition, void *context, uint64_t ms)
{
    uint64_t passed;

    for (passed = 0; passed < ms; passed += 20) {
        if (stage_run_until(&stage, condition, context, 20)) {
            return true;
        }
        rly_tick(&relay, io_now());
    }
    return false;
}

/* Guards against an endpoint that instances which read from a relay use on
 * after it has left, as its reader saw that only in a list. */
Test(relay_feed, an_endpoint_that_a_list_lacks_is_gone_for_watches)
{
    uint32_t wanted = 2;

    start_relayed();
    rly_begin_list(&relay, WIRE_ENDPOINTS);
    apply_endpoint(stage.endpoints[0].name, 1);
    apply_endpoint("other", 101);
    rly_end_list(&relay, WIRE_ENDPOINTS);
    rly_publish(&relay, WIRE_ENDPOINTS, (wire_position){.revision = 101});
    cr_expect(run_relay_until(has_listed, &wanted, 2000));
    run_relay_until(never, NULL, 1000);
    cr_assert(stage.gate.feeds[WIRE_ENDPOINTS].is_relayed);
    rly_begin_list(&relay, WIRE_ENDPOINTS);
    apply_endpoint(stage.endpoints[0].name, 1);
    rly_end_list(&relay, WIRE_ENDPOINTS);
    rly_publish(&relay, WIRE_ENDPOINTS, (wire_position){.revision = 130});
    wanted = 1;
    cr_expect(run_relay_until(has_listed, &wanted, 2000));
    cr_expect(stage.gate.feeds[WIRE_ENDPOINTS].is_relayed);
    stop_relayed();
}

Test(relay_feed, store_is_read_when_the_relay_refuses)
{
    bool wanted = false;
    uint64_t version = 9;

    start_relayed();
    stage_run_for(&stage, 300);
    rly_set_serving(&relay, WIRE_CONFIG, false);
    rly_set_serving(&relay, WIRE_ENDPOINTS, false);
    cr_expect(stage_run_until(&stage, is_relayed, &wanted, 1500));
    cr_expect_eq(stage.gate.feeds[WIRE_CONFIG].lost_at, 0,
                 "a relay is not the store");
    stage.config_version = 9;
    stage_advance_revision(&stage);
    cr_expect(stage_run_until(&stage, has_version, &version, 1500));
    stop_relayed();
}

static void
set_reached(bool is_reached)
{
    peers_state *peers = &stage.gate.peers;

    for (uint32_t i = 0; i < peers->count; i++) {
        peers->peers[i].is_store_reachable = is_reached;
    }
    rly_set_serving(&relay, WIRE_CONFIG, is_reached);
    rly_set_serving(&relay, WIRE_ENDPOINTS, is_reached);
    stage.is_store_down = !is_reached;
}

/* Guards against as many calls as instances when the store fails for the
 * readers, and against an instance that does not return to them. */
Test(relay_feed, the_store_is_left_alone_while_no_reader_reaches_it)
{
    bool wanted = false;
    uint32_t calls;

    start_relayed();
    stage_run_for(&stage, 300);
    calls = stage.store_calls;
    set_reached(false);
    cr_expect(stage_run_until(&stage, is_relayed, &wanted, 1500));
    stage_run_for(&stage, 1500);
    cr_expect_eq(stage.store_calls, calls);
    cr_expect_not(stage.gate.peers.is_store_reachable);
    stage_run_for(&stage, 4000);
    cr_expect_leq(stage.store_calls, calls + 4, "%u",
                  stage.store_calls - calls);
    set_reached(true);
    wanted = true;
    cr_expect(stage_run_until(&stage, is_relayed, &wanted, 1000));
    stage_run_for(&stage, 50);
    cr_expect(stage.gate.peers.is_store_reachable);
    stop_relayed();
}

/* The relay holds the connection and says nothing, as when it is frozen; peers
 * of other zones name the change. */
Test(relay_feed, silent_relay_is_left_when_peers_name_a_change)
{
    uint64_t version = 9;

    start_relayed();
    stage_run_for(&stage, 300);
    stage.config_version = 9;
    stage_advance_revision(&stage);
    stage.gate.peers.named_changes[WIRE_CONFIG] = stage.revision;
    cr_expect(stage_run_until(&stage, has_version, &version, 2000));
    stop_relayed();
}

Test(relay_feed, old_positions_and_unknown_calls_are_refused)
{
    static const struct {
        const char *target;
        uint32_t status;
    } cases[] = {
        {"/v1/kv-range?prefix=op/config", 200},
        {"/v1/kv-watch?prefix=servers/&after=1&wait_ms=10", 410},
        {"/v1/kv-watch?prefix=servers/&after=100&wait_ms=10", 200},
        {"/v1/kv-watch?prefix=servers/&after=500&wait_ms=10", 200},
        {"/v1/kv-range?prefix=secret/", 404},
        {"/v1/kv-key?key=op/config", 404},
        {"/", 404},
    };

    stage_start(&stage, 1);
    stage_run_for(&stage, 100);
    stage_format_address(&stage.gate.relay.server.listener, stage.readiness);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;

        stage_get(&stage, cases[i].target, &answer);
        cr_expect_eq(answer.status, cases[i].status, "%s: %u", cases[i].target,
                     answer.status);
    }
    stage_stop(&stage);
}

static bool
has_config(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.config != NULL;
}

/* Another program has the TCP port of the peers' address. */
Test(relay_feed, instance_works_without_its_relay)
{
    stage_prepare(&stage, 1);
    lv_copy_name(stage.peer, sizeof stage.peer, stage.endpoints[0].address);
    stage_start_gateway(&stage);
    cr_expect(stage_run_until(&stage, has_config, NULL, 2000));
    stage_stop(&stage);
}
