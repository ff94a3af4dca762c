/*
 * Cold endpoints: a gateway that is the only instance, and the list of them in
 * datagrams.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"
#include "peer-node.h"
#include "stage.h"

#define RATE 7.8
#define SECONDS 6
#define ARRIVALS_MAX 1000
#define ALLOWED (RATE * 1.5 + 5)

static stage_fixture stage;
static lv_time heard;

/* Guards against sending a cold endpoint more than it can take, refusals
 * without a time to return, and a cold endpoint that gets nothing. The
 * entries of the stage name no cold time, so the endpoint is cold at first. */
Test(warmup, a_cold_endpoint_gets_its_rate, .timeout = 120)
{
    lv_time arrivals[ARRIVALS_MAX];
    uint32_t count = 0;
    uint32_t first = 0;
    lv_time began_at;
    stage_response status;

    stage_start(&stage, 1);
    stage.gate.config->services[0].cold_time = 60 * LV_SECOND;
    stage.gate.config->services[0].cold_rate = RATE;
    gate_apply_warmup(&stage.gate, io_now());
    for (began_at = io_now(); io_now() < began_at + SECONDS * LV_SECOND;) {
        stage_response answer;

        stage_exchange(&stage, "/many/1", "", &answer);
        cr_assert(answer.status == 200 || answer.status == 503);
        cr_expect(answer.status == 200 ||
                  strstr(answer.head, "Retry-After:") != NULL);
        if (answer.status == 200) {
            cr_assert_lt(count, ARRIVALS_MAX);
            arrivals[count++] = io_now();
            while (arrivals[first] + LV_SECOND < io_now()) {
                first++;
            }
            cr_expect_leq(count - first, ALLOWED, "%u", count - first);
        }
    }
    cr_expect_eq(stage.endpoints[0].requests, count);
    cr_expect_geq(count, RATE * (SECONDS - 3), "%u", count);
    stage_get(&stage, "/v1/status", &status);
    cr_expect_not_null(
        strstr(status.body, "\"source\": \"entry-without-time\""), "%s",
        status.body);
    stage_get(&stage, "/metrics", &status);
    cr_expect_not_null(strstr(status.body, "lavender_endpoint_cold_seconds{"));
    cr_expect_geq(stage.gate.counts.invalid_cold_times, 1);
    stage_stop(&stage);
}

/* Guards against a difference that services without a cold time see. */
Test(warmup, services_without_a_cold_time_are_never_cold)
{
    stage_response answer;

    stage_start(&stage, 1);
    stage.endpoints[0].more_headers = "Lavenderproxy-Cold-Ms: 5000\r\n";
    for (int i = 0; i < 20; i++) {
        stage_exchange(&stage, "/many/1", "", &answer);
        cr_expect_eq(answer.status, 200);
    }
    cr_expect_not(gate_is_cold(&stage.gate, 0, io_now()));
    stage_stop(&stage);
}

/* Guards against two instances that grant at the same time: when one joins,
 * when the coordinator is lost, and when the fleet is cut in parts. */
Test(warmup, view_of_the_coordinator)
{
    static const struct {
        lv_time since; /* the others were heard */
        uint32_t live;
        bool has_coordinator, had_coordinator;
    } cases[] = {
        {0, 3, true, true},
        {LV_SECOND / 2, 3, true, true},
        {1500 * LV_MILLISECOND, 1, false, true},
        {2500 * LV_MILLISECOND, 1, false, false},
    };
    const lv_time now = 100 * LV_SECOND;
    peer_node nodes[3];
    lv_id key = 1;

    for (int i = 0; i < 3; i++) {
        peer_node_start(&nodes[i], i);
        nodes[i].peers.can_coordinate = true;
    }
    peers_note_readiness(&nodes[0].peers, now);
    for (int i = 1; i < 3; i++) {
        buf_buffer datagram;

        buf_init(&datagram);
        peers_write_datagram(&nodes[i].peers, PEERS_SUMS, now, &datagram);
        cr_assert(peers_receive(&nodes[0].peers, &nodes[i].address,
                                datagram.data, datagram.size, now));
        buf_finish(&datagram);
    }
    while (peers_is_coordinator(&nodes[0].peers, key)) {
        key++;
    }
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        lv_time later = now + cases[i].since;
        wrm_view view;

        nodes[0].peers.expired_at = later; /* the loop was not late */
        peers_expire(&nodes[0].peers, later);
        peers_view_coordinator(&nodes[0].peers, key, later, &view);
        cr_expect_eq(view.live, cases[i].live, "case %zu", i);
        cr_expect_eq(view.known, 3, "case %zu", i);
        cr_expect_eq(view.max_instances, 3, "case %zu", i);
        cr_expect_eq(view.has_coordinator, cases[i].has_coordinator, "%zu", i);
        cr_expect_eq(view.had_coordinator, cases[i].had_coordinator, "%zu", i);
        cr_expect_eq(view.joined_for, cases[i].since, "case %zu", i);
    }
    for (int i = 0; i < 3; i++) {
        peer_node_stop(&nodes[i]);
    }
}

static void
on_cold(void *owner, lv_handle endpoint, lv_time left, uint64_t incarnation)
{
    (void)owner;
    (void)endpoint;
    (void)incarnation;
    heard = left;
}

/* Guards against instances that the store rejects and that never learn that an
 * endpoint is cold. */
Test(warmup, datagrams_name_cold_endpoints)
{
    const wrm_service service = {10 * LV_SECOND, RATE, 3};
    const wrm_notice notice = {WRM_WORD_GIVEN, 4 * LV_SECOND};
    const lv_time now = 100 * LV_SECOND;
    peer_node nodes[2];
    buf_buffer datagram;

    for (int i = 0; i < 2; i++) {
        peer_node_start(&nodes[i], i);
        nodes[i].peers.on_cold = on_cold;
    }
    for (int is_cold = 0; is_cold < 2; is_cold++) {
        wrm_state *warmup = &eng_at(&nodes[0].endpoints, 0)->warmup;

        heard = 0;
        if (is_cold) {
            wrm_set_service(warmup, &service, now);
            wrm_note_entry(warmup, &notice, 1, 1, now);
        }
        buf_init(&datagram);
        peers_write_datagram(&nodes[0].peers, PEERS_SUMS, now + LV_SECOND,
                             &datagram);
        cr_assert(peers_receive(&nodes[1].peers, &nodes[0].address,
                                datagram.data, datagram.size, now));
        cr_expect_eq(heard, is_cold ? 3 * LV_SECOND : 0);
        buf_finish(&datagram);
    }
    for (int i = 0; i < 2; i++) {
        peer_node_stop(&nodes[i]);
    }
}
