/*
 * A request in a large fleet, whose endpoint's keeper is another instance: it
 * grants, denies, or does not answer.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define LARGE 100 /* instances, surely a large fleet */
#define PORTS_TRIED 64

typedef enum keeper_mode {
    KEEPER_GRANTS,
    KEEPER_DENIES,
    KEEPER_IS_SILENT
} keeper_mode;

static stage_stage stage;
static eng_table table;
static shr_shares shares;
static peers_state keeper;
static keeper_mode mode;
static uint32_t asked;

static void
on_ask(void *owner, lv_handle endpoint, const peers_start_request *ask,
       peers_start_reply *answer)
{
    (void)owner;
    (void)endpoint;
    (void)ask;
    asked++;
    answer->is_granted = mode == KEEPER_GRANTS;
}

static struct sockaddr_in
address_of(const peers_state *peers)
{
    struct sockaddr_in address;
    int size = sizeof address;

    uv_udp_getsockname(&peers->socket, (struct sockaddr *)&address, &size);
    return address;
}

/* A peer on the stage's loop; false when the gate keeps the endpoint itself,
 * which the peer's port decides. */
static bool
start_keeper(lv_id endpoint)
{
    peers_settings settings = stage.gate.settings.peers;

    uv_ip4_addr("127.0.0.1", 0, &settings.bind);
    settings.seed_count = 0;
    cr_assert(peers_init(&keeper, &stage.loop, &settings, &table, &shares, 77,
                         NULL));
    keeper.settings.bind = address_of(&keeper);
    keeper.can_coordinate = true;
    keeper.on_start_request = mode != KEEPER_IS_SILENT ? on_ask : NULL;
    keeper.settings.seeds[0] = address_of(&stage.gate.peers);
    keeper.settings.seed_count = 1;
    stage_run_for(&stage, 150);
    return !peers_is_coordinator(&stage.gate.peers, endpoint);
}

static void
stop_keeper(void)
{
    peers_close(&keeper);
    stage_run_for(&stage, 20);
    peers_finish(&keeper);
}

static void
set_up(keeper_mode with)
{
    eng_settings settings;
    eng_endpoint *endpoint;
    int tries = 1;

    mode = with;
    asked = 0;
    stage_start(&stage, 1);
    endpoint = &stage.gate.endpoints.endpoints[0];
    endpoint->is_engine = true;
    eng_default_settings(&settings);
    cr_assert(eng_init(&table, &settings, NULL));
    shr_init(&shares, LV_SECOND);
    eng_publish(&table, &endpoint->spec);
    while (!start_keeper(endpoint->spec.id) && tries++ < PORTS_TRIED) {
        stop_keeper();
    }
    cr_assert_leq(tries, PORTS_TRIED);
    stage.gate.peers.max_live_count = LARGE;
}

static void
tear_down(void)
{
    stop_keeper();
    stage_stop(&stage);
    shr_finish(&shares);
    eng_finish(&table);
}

Test(asking, the_keeper_decides_unless_it_is_silent)
{
    static const struct {
        keeper_mode mode;
        uint32_t status;
        uint32_t runs;
        uint64_t unanswered;
    } cases[] = {
        {KEEPER_GRANTS, 200, 1, 0},
        {KEEPER_DENIES, 503, 0, 0},
        {KEEPER_IS_SILENT, 200, 1, 1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_answer answer;

        set_up(cases[i].mode);
        stage_ask(&stage, "/many/1", "", &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu: %u", i,
                     answer.status);
        cr_expect_eq(stage.endpoints[0].runs, cases[i].runs, "case %zu", i);
        cr_expect_eq(stage.gate.peers.counts.starts_unanswered,
                     cases[i].unanswered);
        if (cases[i].status == 503) {
            cr_expect_not_null(strstr(answer.head, "Retry-After"));
            cr_expect_geq(asked, 1);
        }
        tear_down();
    }
}

/* The request waits for a keeper while its endpoint leaves. */
Test(asking, an_endpoint_that_left_gets_nothing)
{
    stage_answer answer;

    set_up(KEEPER_IS_SILENT);
    stage.is_unlisted[0] = true;
    stage_publish(&stage);
    stage_ask(&stage, "/many/1", "", &answer);
    cr_expect(answer.status == 503 || stage.endpoints[0].runs == 1);
    cr_expect_eq(answer.status == 503, stage.endpoints[0].runs == 0);
    tear_down();
}

/* The gate itself as a keeper. */
Test(asking, a_start_is_granted_where_there_is_room)
{
    static const struct {
        bool is_listed;
        lv_time queue;
        bool is_granted;
    } cases[] = {
        {true, 0, true},
        {true, 5 * LV_SECOND, false},
        {false, 0, false}, /* it leaves, and the asker does not know yet */
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        peers_start_request ask = {.target = 400 * LV_MILLISECOND,
                                   .prompt = {.tokens = 1000}};
        peers_start_reply answer = {0};
        eng_endpoint *endpoint;

        stage_start(&stage, 1);
        endpoint = &stage.gate.endpoints.endpoints[0];
        endpoint->is_engine = true;
        endpoint->is_listed = cases[i].is_listed;
        endpoint->prefill_until = io_now() + cases[i].queue;
        eng_clear_affinity(&ask.prompt);
        stage.gate.peers.on_start_request(&stage.gate, 0, &ask, &answer);
        cr_expect_eq(answer.is_granted, cases[i].is_granted, "case %zu", i);
        cr_expect_eq(answer.uncached_tokens, 1000);
        stage_stop(&stage);
    }
}
