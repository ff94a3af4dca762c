/*
 * A gateway that has just started and that the store shows an older copy of
 * the endpoints: what other instances know of their leaving counts.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "gate-imp.h"
#include "peer-node.h"
#include "stage.h"

#define REQUESTS 6

/* The store's copy expires 5 s after it was first read, and is listed again
 * 1 s later; what a busy machine may add. */
#define RETURN_MS 9000

static stage_fixture stage;
static peer_node node; /* another instance */

static lv_handle
find_row(const stage_endpoint *endpoint)
{
    const eng_table *table = &stage.gate.endpoints;
    lv_handle row = 0;

    while (row < table->capacity &&
           strcmp(table->endpoints[row].spec.name, endpoint->name) != 0) {
        row++;
    }
    return row;
}

static bool
is_listed(stage_fixture *self, void *context)
{
    lv_handle row = find_row(&self->endpoints[0]);

    (void)context;
    return row < self->gate.endpoints.capacity &&
           self->gate.endpoints.endpoints[row].is_listed;
}

static bool
has_seen_older_copy(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.peers.unlisted_count > 0;
}

/* Another instance names the configuration that it has in force. */
static void
name_config(uint64_t version)
{
    buf_buffer datagram;

    buf_init(&datagram);
    node.peers.config_version = version;
    peers_write_datagram(&node.peers, PEERS_FULL, io_now(), &datagram);
    cr_expect(peers_receive(&stage.gate.peers, &node.address, datagram.data,
                            datagram.size, io_now()));
    buf_finish(&datagram);
}

/* Another instance tells that endpoint 0 left. */
static void
tell(uint64_t era, uint64_t revision)
{
    lv_id id =
        eng_at(&stage.gate.endpoints, find_row(&stage.endpoints[0]))->spec.id;
    buf_buffer datagram;

    buf_init(&datagram);
    peers_report_unlisted(&node.peers, id, era, revision, io_now());
    peers_write_datagram(&node.peers, PEERS_FULL, io_now(), &datagram);
    cr_expect(peers_receive(&stage.gate.peers, &node.address, datagram.data,
                            datagram.size, io_now()));
    buf_finish(&datagram);
}

static uint32_t
count_reached(void)
{
    uint32_t before = stage.endpoints[0].requests;

    for (int i = 0; i < REQUESTS; i++) {
        stage_response answer;

        stage_exchange(&stage, "/many/1", "", &answer);
        cr_expect_eq(answer.status, 200);
    }
    return stage.endpoints[0].requests - before;
}

static void
start(uint64_t era)
{
    peer_node_start(&node, 1);
    stage_prepare(&stage, 2);
    stage.era = era;
    stage_start_gateway(&stage);
    cr_assert(stage_run_until(&stage, is_listed, NULL, 5000));
    stage_run_for(&stage, 100);
}

static void
stop(void)
{
    peer_node_stop(&node);
    stage_stop(&stage);
}

static bool
is_unlisted(stage_fixture *self, void *context)
{
    return !is_listed(self, context);
}

/* Guards against a restarted gateway that uses an endpoint that left, since
 * the store shows an old list or came back from an older copy. */
Test(restart, an_endpoint_that_left_stays_unused)
{
    static const struct {
        uint64_t era; /* of the store */
        uint64_t told_era;
        uint64_t told_revision;
        bool is_used;
    } cases[] = {
        {0, 0, 200, false}, /* an old list */
        {2, 2, 200, false},
        {2, 1, 200, false}, /* an older copy, in a new era */
        {2, 1, 1, false},
        {2, 2, 1, true}, /* the entry is not older */
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t reached = 0;

        start(cases[i].era);
        /* So that requests reach the first one, if they may. */
        stage.endpoints[1].mode =
            cases[i].is_used ? STAGE_SHED : STAGE_RESPOND;
        for (int k = 0; k < 2; k++) {
            tell(cases[i].told_era, cases[i].told_revision);
            reached += count_reached();
        }
        cr_expect_eq(reached > 0, cases[i].is_used, "case %zu: %u", i,
                     reached);
        stop();
    }
}

/* Guards against an endpoint that is never used again since it was said to
 * have left before the store's copy was made. */
Test(restart, an_endpoint_that_stays_in_the_copy_is_used_again)
{
    start(2);
    tell(1, 200);
    cr_assert_not(is_listed(&stage, NULL));
    cr_expect(stage_run_until(&stage, is_listed, NULL, RETURN_MS));
    tell(1, 200);
    cr_expect(is_listed(&stage, NULL), "reports repeat for seconds");
    stop();
}

/* Guards against instances that know of the leaving and say it only when it
 * happens: one that starts after the store's return would not learn it. */
Test(restart, an_older_copy_is_reported)
{
    start(1);
    stage.is_unlisted[0] = true;
    stage_advance_revision(&stage);
    cr_assert(stage_run_until(&stage, is_unlisted, NULL, 3000));
    stage.gate.peers.unlisted_count = 0; /* its time is over */
    stage.is_unlisted[0] = false;
    stage_begin_era(&stage, 50);
    cr_expect(stage_run_until(&stage, has_seen_older_copy, NULL, 3000));
    cr_expect_not(is_listed(&stage, NULL));
    cr_expect_lt(stage.gate.peers.unlisted[0].era, 2);
    stop();
}

static uint32_t
exchange_status(void)
{
    stage_response answer;

    stage_run_for(&stage, 60);
    stage_exchange(&stage, "/many/1", "", &answer);
    return answer.status;
}

static bool
is_refusing(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.is_config_awaited;
}

/* Guards against a gateway that missed a version, as it could not reach the
 * store, and that goes on serving by the older one after the store has lost
 * the version. */
Test(restart, a_version_that_the_store_lost_is_awaited)
{
    start(2);
    name_config(5);
    cr_expect_eq(exchange_status(), 200);
    name_config(9);
    cr_expect_eq(exchange_status(), 200, "the change may be on its way");
    for (int i = 0; i < 20 && !is_refusing(&stage, NULL); i++) {
        name_config(9);
        stage_run_for(&stage, 50);
    }
    cr_expect_eq(exchange_status(), 503, "the store was asked, and lacks it");
    stage.config_version = 9;
    stage_advance_revision(&stage);
    stage_run_for(&stage, 300);
    cr_expect_eq(exchange_status(), 200, "written again");
    stop();
}

/* Guards against a gateway that is taken out of service by a version that its
 * peers have, while it cannot ask the store for it. */
Test(restart, without_the_store_the_version_in_force_is_served)
{
    start(2);
    name_config(5);
    stage_run_for(&stage, 60);
    stage.is_store_down = true;
    stage_cut_store(&stage);
    for (int i = 0; i < 40; i++) {
        name_config(9);
        stage_run_for(&stage, 50);
    }
    cr_expect_eq(exchange_status(), 200);
    stop();
}

/* Guards against a gateway that starts after the store came back from an older
 * copy, and serves by its older configuration while others have the newer one.
 */
Test(restart, an_older_configuration_of_the_copy_is_not_served)
{
    static const struct {
        uint64_t named; /* 0: by nobody */
        uint32_t status;
    } cases[] = {{0, 200}, {4, 200}, {5, 200}, {9, 503}};
    stage_response answer;

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        start(2);
        if (cases[i].named != 0) {
            name_config(cases[i].named);
        }
        cr_expect_eq(exchange_status(), cases[i].status, "case %zu", i);
        stage_probe(&stage, &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu", i);
        if (cases[i].status == 503) {
            stage.config_version = 9;
            stage_advance_revision(&stage);
            stage_run_for(&stage, 300);
            cr_expect_eq(exchange_status(), 200, "written again");
            name_config(10);
            cr_expect_eq(exchange_status(), 200, "a change is on its way");
        }
        stop();
    }
}
