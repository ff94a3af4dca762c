/*
 * Endpoints that say in their answers that they leave, or for how long they
 * take no request, while the store is away, is read again, or comes back from
 * an older copy.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "back-imp.h"
#include "gate-imp.h"
#include "stage.h"

#define LEAVING "Server-Leaving: 1\r\n"
#define LONG_BACKOFF "Retry-After: 600\r\n"
#define REQUESTS 30

static stage_fixture stage;

/* Returns the latest row of an endpoint: one that was replaced at its address
 * keeps its row while a connection to it is open. */
static eng_endpoint *
find_row(uint32_t number)
{
    eng_table *table = &stage.gate.endpoints;
    eng_endpoint *found = NULL;

    for (uint32_t i = 0; i < table->capacity; i++) {
        eng_endpoint *row = &table->endpoints[i];

        if (row->is_used &&
            strcmp(row->spec.name, stage.endpoints[number].name) == 0 &&
            (found == NULL || row->generation > found->generation)) {
            found = row;
        }
    }
    cr_assert_not_null(found, "endpoint %u has no row", number);
    return found;
}

/* Makes the first endpoint the better one of two. */
static void
prefer_first_endpoint(void)
{
    out_init(&find_row(0)->outlier);
    out_record_failure(&find_row(1)->outlier, true, io_now());
}

static void
reach_first_endpoint(const char *path)
{
    stage_response answer;

    if (stage.endpoint_count > 1) {
        prefer_first_endpoint();
    }
    stage_exchange(&stage, path, "", &answer);
    cr_assert_gt(stage.endpoints[0].requests, 0);
}

/* Returns how many of the requests reach the first endpoint. */
static uint32_t
count_reached(const char *path, uint32_t expected_status)
{
    uint32_t before = stage.endpoints[0].requests;

    prefer_first_endpoint();
    for (int i = 0; i < REQUESTS; i++) {
        stage_response answer;

        stage_exchange(&stage, path, "", &answer);
        cr_expect_eq(answer.status, expected_status, "%s: %u", path,
                     answer.status);
    }
    return stage.endpoints[0].requests - before;
}

typedef enum change {
    NO_CHANGE,
    STORE_AWAY,
    LIST_AGAIN,
    CONFIG_AGAIN,
    OLDER_ERA,
    UNLISTED_AND_BACK
} change;

static bool
has_listed_again(stage_fixture *self, void *context)
{
    return self->gate.feeds[WIRE_ENDPOINTS].counts.lists_read >
           *(const uint64_t *)context;
}

static void
list_again(void)
{
    uint64_t before = stage.gate.feeds[WIRE_ENDPOINTS].counts.lists_read;

    stage_advance_revision(&stage);
    cr_assert(stage_run_until(&stage, has_listed_again, &before, 5000));
}

static bool
has_lost_store(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.feeds[WIRE_ENDPOINTS].lost_at != 0;
}

static void
apply_change(change what)
{
    uint64_t before = stage.gate.feeds[WIRE_ENDPOINTS].counts.lists_read;

    switch (what) {
    case NO_CHANGE:
        break;
    case STORE_AWAY:
        stage.is_store_down = true;
        stage_advance_revision(&stage);
        cr_assert(stage_run_until(&stage, has_lost_store, NULL, 5000));
        break;
    case CONFIG_AGAIN:
        stage.config_version++;
        list_again();
        break;
    case LIST_AGAIN:
        list_again();
        break;
    case OLDER_ERA:
        stage_begin_era(&stage, 50);
        cr_assert(stage_run_until(&stage, has_listed_again, &before, 5000));
        break;
    case UNLISTED_AND_BACK:
        stage.is_unlisted[0] = true;
        list_again();
        stage.is_unlisted[0] = false;
        list_again();
        break;
    }
}

Test(endpoint_notices, a_leaving_endpoint_receives_no_request)
{
    static const struct {
        stage_mode mode;
        const char *path;
        change change;
    } cases[] = {
        {STAGE_RESPOND, "/many/1", NO_CHANGE},
        {STAGE_RESPOND, "/once/1", STORE_AWAY},
        {STAGE_RESPOND, "/many/1", LIST_AGAIN},
        {STAGE_RESPOND, "/many/1", CONFIG_AGAIN},
        {STAGE_RESPOND, "/many/1", OLDER_ERA},
        {STAGE_RESPOND, "/many/1", UNLISTED_AND_BACK},
        {STAGE_SHED, "/many/1", NO_CHANGE},
        {STAGE_ERROR, "/many/1", NO_CHANGE},
        {STAGE_ERROR, "/once/1", LIST_AGAIN},
        {STAGE_STREAM, "/stream/1", STORE_AWAY},
        {STAGE_STREAM_TRUNCATED, "/resume/1", NO_CHANGE},
        {STAGE_CLOSE_DELIMITED, "/many/1", NO_CHANGE},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        bool is_stream = cases[i].mode == STAGE_STREAM ||
                         cases[i].mode == STAGE_STREAM_TRUNCATED;

        stage_start(&stage, 2);
        stage.endpoints[0].mode = cases[i].mode;
        stage.endpoints[0].more_headers = LEAVING;
        stage.endpoints[1].mode = is_stream ? STAGE_STREAM : STAGE_RESPOND;
        reach_first_endpoint(cases[i].path);
        stage.endpoints[0].more_headers = NULL; /* nothing takes it back */
        apply_change(cases[i].change);
        cr_expect_eq(count_reached(cases[i].path, 200), 0, "case %zu", i);
        cr_expect_eq(stage.gate.counts.leaving_notices, 1);
        stage_stop(&stage);
    }
}

Test(endpoint_notices, another_endpoint_at_the_address_is_used)
{
    stage_start(&stage, 2);
    stage.endpoints[0].more_headers = LEAVING;
    reach_first_endpoint("/many/1");
    stage.endpoints[0].more_headers = NULL;
    stage.endpoints[0].born = 2000;
    list_again();
    cr_expect_gt(count_reached("/many/1", 200), 0);
    stage_stop(&stage);
}

/* A notice is the endpoint's own only in an answer that is certainly its. */
Test(endpoint_notices, answers_of_others_are_no_notice)
{
    static const struct {
        stage_mode mode;
        const char *headers;
    } cases[] = {
        {STAGE_UNSEALED, LEAVING},
        {STAGE_RESPOND, "Server-Leaving: 0\r\n"},
        {STAGE_RESPOND, "Retry-After: 5\r\n"},
        {STAGE_SHED, "Retry-After: soon\r\n"},
        {STAGE_SHED, "Retry-After: 5\r\nRetry-After: 6\r\n"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        lv_time free_at;
        stage_response answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        stage.endpoints[0].more_headers = cases[i].headers;
        stage_exchange(&stage, "/many/1", "", &answer);
        cr_expect_eq(
            eng_check_send(&stage.gate.endpoints, 0, io_now(), &free_at),
            AVL_AVAILABLE, "case %zu", i);
        cr_expect_eq(stage.gate.counts.invalid_retry_after,
                     cases[i].mode == STAGE_SHED, "case %zu", i);
        stage_stop(&stage);
    }
}

Test(endpoint_notices,
     an_endpoint_in_backoff_receives_no_request_until_its_end)
{
    static const struct {
        stage_mode mode;
        const char *path;
        change change;
    } cases[] = {
        {STAGE_SHED, "/many/1", NO_CHANGE},
        {STAGE_SHED, "/once/1", STORE_AWAY},
        {STAGE_SHED, "/many/1", CONFIG_AGAIN},
        {STAGE_SHED, "/many/1", UNLISTED_AND_BACK},
        {STAGE_BUSY, "/many/1", LIST_AGAIN},
        {STAGE_BUSY, "/once/1", NO_CHANGE},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_start(&stage, 2);
        stage.endpoints[0].mode = cases[i].mode;
        stage.endpoints[0].more_headers = LONG_BACKOFF;
        reach_first_endpoint(cases[i].path);
        apply_change(cases[i].change);
        cr_expect_eq(count_reached(cases[i].path, 200), 0, "case %zu", i);
        find_row(0)->availability.backoff_until = io_now();
        stage.endpoints[0].mode = STAGE_RESPOND;
        stage.endpoints[0].more_headers = NULL;
        cr_expect_gt(count_reached(cases[i].path, 200), 0, "case %zu", i);
        stage_stop(&stage);
    }
}

/* The routes have a target of 200 ms, of which a request may wait 140. */
Test(endpoint_notices, all_in_backoff)
{
    static const struct {
        const char *headers;
        uint32_t status;
        lv_time least; /* Retry-After */
        lv_time most;
    } cases[] = {
        {"Retry-After: 0.08\r\n", 200, 0, 0},
        {"Retry-After: 1.2\r\n", 503, 1000, 2200},
        {LEAVING, 503, 1000, 1000},
        {LEAVING "Retry-After: 1.2\r\n", 503, 1000, 1000},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;
        lv_time start;
        double retry_after;
        const char *header;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = STAGE_SHED;
        stage.endpoints[0].more_headers = cases[i].headers;
        reach_first_endpoint("/once/1");
        stage.endpoints[0].mode = STAGE_RESPOND;
        stage.endpoints[0].more_headers = NULL;
        start = io_now();
        stage_exchange(&stage, "/once/1", "", &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu: %u", i,
                     answer.status);
        cr_expect_eq(stage.endpoints[0].runs, cases[i].status == 200);
        if (cases[i].status == 503) {
            cr_expect_lt(lv_elapsed(io_now(), start), LV_SECOND);
            header = strstr(answer.head, "Retry-After: ");
            cr_assert_not_null(header);
            retry_after = strtod(header + 13, NULL) * 1000;
            cr_expect_geq(retry_after, (double)cases[i].least - 200,
                          "case %zu: %f", i, retry_after);
            cr_expect_leq(retry_after, (double)cases[i].most, "case %zu: %f",
                          i, retry_after);
        }
        stage_stop(&stage);
    }
}

/* Guards against a stream that is cut because its endpoint broke off while the
 * other one takes no request for longer than a new request may wait. */
Test(endpoint_notices, an_interrupted_stream_waits_for_the_end_of_a_backoff)
{
    stage_response answer;

    stage_start(&stage, 2);
    stage.endpoints[0].mode = STAGE_STREAM_TRUNCATED;
    stage.endpoints[1].mode = STAGE_STREAM;
    prefer_first_endpoint();
    eng_begin_backoff(
        &stage.gate.endpoints,
        (lv_handle)(find_row(1) - stage.gate.endpoints.endpoints),
        500 * LV_MILLISECOND, io_now());
    stage_exchange(&stage, "/resume/1", "", &answer);
    cr_expect_eq(stage.endpoints[0].requests, 1);
    cr_expect_eq(answer.status, 200);
    cr_expect(answer.is_complete);
    cr_expect_not_null(strstr(answer.body, "piece-5"));
    stage_stop(&stage);
}

#define CROWD 20

static bool
have_all_answers(stage_fixture *self, void *context)
{
    const stage_client *clients = context;

    (void)self;
    for (int i = 0; i < CROWD; i++) {
        if (clients[i].response.size == 0) {
            return false;
        }
    }
    return true;
}

/* Of a crowd that the only endpoint could serve after its back-off, those wait
 * that can start in time; the others are refused while it lasts. */
Test(endpoint_notices, no_more_requests_wait_than_can_start)
{
    static const char text[] =
        "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Content-Length: 5\r\n\r\nhello";
    static stage_client clients[CROWD];
    uint32_t queued = 0;
    uint32_t served = 0;

    stage_start(&stage, 1);
    eng_begin_backoff(&stage.gate.endpoints, 0, 120 * LV_MILLISECOND,
                      io_now());
    for (int i = 0; i < CROWD; i++) {
        stage_send(&stage, &clients[i], text, sizeof text - 1);
    }
    stage_run_for(&stage, 60);
    for (const gate_request *request = stage.gate.requests; request != NULL;
         request = request->next) {
        queued += request->state == GATE_QUEUED;
    }
    /* Two, unless some arrive late on a busy machine. */
    cr_expect_leq(queued, CROWD / 2, "%u", queued);
    cr_expect(stage_run_until(&stage, have_all_answers, clients, 3000));
    for (int i = 0; i < CROWD; i++) {
        served += strncmp(clients[i].response.data, "HTTP/1.1 200", 12) == 0;
        stage_disconnect(&stage, &clients[i]);
        buf_finish(&clients[i].response);
    }
    cr_expect_gt(served, 0);
    stage_stop(&stage);
}

static bool
is_connecting_to_first(stage_fixture *self, void *context)
{
    const back_connection *connection = self->gate.endpoint_pool.connections;

    (void)context;
    return connection != NULL && !connection->has_sent &&
           eng_at(&self->gate.endpoints, connection->endpoint) == find_row(0);
}

static bool
has_answer(stage_fixture *self, void *context)
{
    stage_client *client = context;

    (void)self;
    return client->response.size > 0;
}

/* Nothing of it was sent, so the request goes to the other endpoint, and it
 * still counts as not run. */
Test(endpoint_notices, a_request_on_a_connection_being_opened_goes_elsewhere)
{
    static const char text[] =
        "POST /once/1 HTTP/1.1\r\nHost: h\r\nLavenderproxy-Attempt-Id: "
        "id-1\r\n"
        "Lavenderproxy-Deadline-Ms: 3000\r\nApi-Key: k1\r\n"
        "Content-Length: 5\r\n\r\nhello";

    /* Read in another answer, or noticed only when the connection is open. */
    static const struct {
        bool is_draining;
        bool is_read;
    } cases[] = {{true, true}, {true, false}, {false, true}, {false, false}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        back_exchange exchange = {.id = "other"};
        http_head head = {.status = 503};
        wire_response response = {.is_draining = cases[i].is_draining,
                                  .retry_after = LV_SECOND};
        stage_client client;
        eng_table *table;
        lv_handle row;

        stage_start(&stage, 2);
        table = &stage.gate.endpoints;
        row = (lv_handle)(find_row(0) - table->endpoints);
        prefer_first_endpoint();
        stage_send(&stage, &client, text, sizeof text - 1);
        cr_assert(stage_run_until(&stage, is_connecting_to_first, NULL, 1000));
        if (cases[i].is_read) {
            stage.gate.endpoint_pool.on_response(&stage.gate, row, &exchange,
                                                 &head, &response);
            cr_expect_eq(stage.gate.endpoint_pool.counts.withheld, 1);
        }
        else if (cases[i].is_draining) {
            eng_begin_leaving(table, row);
        }
        else {
            eng_begin_backoff(table, row, LV_SECOND, io_now());
        }
        cr_expect(stage_run_until(&stage, has_answer, &client, 2000));
        cr_expect_eq(stage.endpoints[0].requests, 0, "case %zu", i);
        cr_expect_eq(stage.endpoints[1].runs, 1, "case %zu", i);
        cr_expect_eq(stage.gate.endpoint_pool.counts.withheld, 1);
        cr_expect_eq(stage.gate.counts.retries, 0);
        stage_disconnect(&stage, &client);
        buf_finish(&client.response);
        stage_stop(&stage);
    }
}

/* A peer may be wrong, so its word only makes the endpoint less preferred. */
Test(endpoint_notices, word_of_a_peer)
{
    stage_start(&stage, 2);
    for (uint32_t i = 0; i < 2; i++) {
        stage.gate.peers.on_unlisted(&stage.gate, find_row(i)->spec.id, 0, 0);
        cr_expect_geq(out_failure_rate(&find_row(i)->outlier, io_now()), 0.7);
        cr_expect(find_row(i)->is_listed);
    }
    cr_expect_gt(count_reached("/many/1", 200), 0);
    stage_stop(&stage);
}

Test(endpoint_notices, peers_are_told_once)
{
    stage_start(&stage, 2);
    stage.endpoints[0].more_headers = LEAVING;
    reach_first_endpoint("/many/1");
    cr_assert_eq(stage.gate.peers.unlisted_count, 1);
    cr_expect_eq(stage.gate.peers.unlisted[0].endpoint, find_row(0)->spec.id);
    cr_expect_eq(stage.gate.peers.unlisted[0].revision, 0);
    stage_stop(&stage);
}

Test(endpoint_notices, metrics)
{
    stage_response answer;

    stage_start(&stage, 2);
    stage.endpoints[0].more_headers = LEAVING;
    reach_first_endpoint("/many/1");
    stage.endpoints[1].mode = STAGE_SHED;
    stage.endpoints[1].more_headers = "Retry-After: 30\r\n";
    stage_exchange(&stage, "/many/1", "", &answer);
    stage_get(&stage, "/metrics", &answer);
    cr_expect_not_null(strstr(
        answer.body, "lavender_endpoint_leaving{endpoint=\"e-0\"} 1\n"));
    cr_expect_not_null(strstr(
        answer.body, "lavender_endpoint_leaving{endpoint=\"e-1\"} 0\n"));
    cr_expect_not_null(strstr(
        answer.body, "lavender_endpoint_backoff_seconds{endpoint=\"e-1\"} "));
    cr_expect_not_null(
        strstr(answer.body, "lavender_endpoint_leaving_notices_total 1\n"));
    cr_expect_not_null(
        strstr(answer.body, "lavender_endpoint_backoffs_total 1\n"));
    stage_stop(&stage);
}
