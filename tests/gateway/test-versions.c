/*
 * Services with endpoints of several software versions: a stream goes on only
 * at the version that began it.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "gate-imp.h"
#include "stage.h"

#define ENDPOINTS 3

static stage_fixture stage;

/* Endpoint 0 begins all streams: the others are busier until it has. */
static void
start(const char *const *versions, stage_mode first)
{
    uint32_t i;

    stage_prepare(&stage, ENDPOINTS);
    for (i = 0; i < ENDPOINTS; i++) {
        stage.endpoints[i].version = versions[i];
        stage.endpoints[i].mode = i == 0 ? first : STAGE_STREAM;
        stage.is_unlisted[i] = i > 0;
    }
    stage_start_gateway(&stage);
}

static bool
has_endpoints(stage_fixture *self, void *context)
{
    const uint32_t *count = context;
    uint32_t listed = 0;
    lv_handle row;

    for (row = 0; row < self->gate.endpoints.capacity; row++) {
        listed += self->gate.endpoints.endpoints[row].is_used &&
                  self->gate.endpoints.endpoints[row].is_listed;
    }
    return self->gate.config != NULL && listed == *count;
}

static void
await_endpoints(uint32_t count)
{
    cr_assert(stage_run_until(&stage, has_endpoints, &count, 5000));
}

static void
list_all(void)
{
    uint32_t i;

    for (i = 0; i < ENDPOINTS; i++) {
        stage.is_unlisted[i] = false;
    }
    stage_advance_revision(&stage);
    await_endpoints(ENDPOINTS);
}

typedef struct version_case {
    const char *name;
    const char *versions[ENDPOINTS];
    bool goes_on; /* the stream */
} version_case;

/* Returns how many requests ran at endpoints of other versions than the first
 * one's. */
static uint32_t
count_runs_elsewhere(void)
{
    uint32_t runs = 0;
    uint32_t i;

    for (i = 1; i < ENDPOINTS; i++) {
        if (strcmp(stage.endpoints[i].version, stage.endpoints[0].version) !=
            0) {
            runs += stage.endpoints[i].runs;
        }
    }
    return runs;
}

/* Guards against an instance that resumes a stream within the answer at an
 * endpoint of another version. */
Test(versions, an_answer_goes_on_at_its_version)
{
    static const version_case cases[] = {
        {"one version", {"v1", "v1", "v1"}, true},
        {"another one left", {"v1", "v2", "v1"}, true},
        {"none left", {"v1", "v2", "v2"}, false},
        {"none published", {"", "v2", "v2"}, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const version_case *one = &cases[i];
        static const char request[] =
            "POST /resume/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
            "Lavenderproxy-Attempt-Id: id-1\r\n"
            "Lavenderproxy-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        stage_client client;

        start(one->versions, STAGE_STREAM_STALL);
        await_endpoints(1);
        stage_send(&stage, &client, request, sizeof request - 1);
        stage_run_for(&stage, 100);
        cr_expect_eq(stage_count_responses(&client, "data: "), 3);
        list_all();
        stage_crash(&stage.endpoints[0]);
        stage_run_for(&stage, 1500);
        cr_expect_eq(stage_count_responses(&client, "data: ") == 6,
                     one->goes_on, "%s", one->name);
        cr_expect_eq(count_runs_elsewhere(), 0, "%s", one->name);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* Guards against a caller that takes a stream up and gets the rest of it from
 * another version. */
Test(versions, a_resumed_stream_goes_on_at_its_version)
{
    static const struct {
        const char *name;
        const char *versions[ENDPOINTS];
        const char *resumes;
        uint32_t status;
    } cases[] = {
        {"known", {"v1", "v2", "v2"}, "Resumes: id-1\r\n", 200},
        {"unknown", {"v1", "v2", "v2"}, "Resumes: id-2\r\n", 503},
        {"not named", {"v1", "v2", "v2"}, "", 503},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;
        char headers[128];
        uint32_t j;

        start(cases[i].versions, STAGE_STREAM_TRUNCATED);
        await_endpoints(1);
        stage_exchange(&stage, "/resume/1", "", &answer);
        cr_expect_eq(answer.status, 200);
        cr_expect_not(answer.is_complete);
        list_all();
        stage.endpoints[0].mode = STAGE_STREAM;
        snprintf(headers, sizeof headers, "Last-Event-Id: 2\r\n%s",
                 cases[i].resumes);
        for (j = 0; j < 4; j++) {
            stage_exchange(&stage, "/resume/1", headers, &answer);
            cr_expect_eq(answer.status, cases[i].status, "%s: %u",
                         cases[i].name, answer.status);
        }
        cr_expect_eq(count_runs_elsewhere(), 0, "%s", cases[i].name);
        stage_stop(&stage);
    }
}

/* With one version for as long as a stream may last, one of which nothing is
 * known goes on; not if the list may have had another one. */
Test(versions, one_version_needs_no_knowledge)
{
    static const char *const versions[] = {"v1", "v1", "v1"};
    static const struct {
        lv_time history;     /* that the store keeps */
        uint64_t past_since; /* what it has kept: all after this revision */
        uint32_t status;
    } cases[] = {{20 * LV_SECOND, STAGE_FIRST_REVISION - 50, 200},
                 {20 * LV_SECOND, STAGE_FIRST_REVISION, 503},
                 {0, STAGE_FIRST_REVISION - 50, 503}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;

        start(versions, STAGE_STREAM);
        stage.gate.settings.store.history = cases[i].history;
        stage.past_since = cases[i].past_since;
        await_endpoints(1);
        list_all();
        stage.past_before = stage.revision;
        stage_exchange(&stage, "/resume/1",
                       "Last-Event-Id: 2\r\nResumes: id-9\r\n", &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu: %u", i,
                     answer.status);
        stage_stop(&stage);
    }
}

/* Guards against refusing most streams that callers take up, at a small group
 * of endpoints of their version, since their accounts had their share. */
Test(versions, a_resumed_stream_is_not_over_its_share)
{
    static const char *const versions[] = {"v1", "v1", "v1"};
    static const struct {
        lv_id version; /* that began the stream */
        bool is_over;
    } cases[] = {{LV_ID_NONE, true}, {7, false}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        gate_request request = {.gate = &stage.gate};
        shr_shares *shares = &stage.gate.shares;
        adm_request admission;
        lv_time now = io_now();
        lv_handle other;

        start(versions, STAGE_STREAM);
        await_endpoints(1);
        request.route = &stage.gate.config->routes[0];
        request.received_at = now;
        request.attempt = &request.attempts[0];
        request.version = cases[i].version;
        request.share_row = shr_find_or_add(shares, 1);
        shr_add_requested(shares, request.share_row, 4000000, now);
        shr_add_served(shares, request.share_row, 3000000, now);
        other = shr_find_or_add(shares, 2);
        shr_add_requested(shares, other, 3000000, now);
        shr_add_served(shares, other, 500000, now);
        gate_fill_admission(&request, now, &admission);
        cr_expect_eq(admission.share_ratio > 1, cases[i].is_over,
                     "case %zu: %f", i, admission.share_ratio);
        stage_stop(&stage);
    }
}
