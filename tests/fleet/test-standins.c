/*
 * The stand-ins themselves: what the fleet tests rely on.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "common-answer.h"
#include "common-fleet.h"
#include "lavender/catalogue.h"
#include "lavender/world.h"

#define READY_MS 10000
#define CALL_MS 10000

static proc_process process;

static void
start(const char *program, const char *option)
{
    static proc_command command;
    char path[PROC_PATH_SIZE];
    bool is_ready;

    snprintf(path, sizeof path, "%s/%s", FLEET_PROGRAMS, program);
    proc_command_init(&command, path);
    if (option != NULL) {
        proc_command_add(&command, "%s", option);
    }
    is_ready = proc_start(&process, &command, "/dev/null") &&
               proc_wait_ready(&process, READY_MS);
    cr_assert(is_ready, "%s did not start", program);
}

static void
stop(void)
{
    proc_kill(&process);
}

static void
call(http_call *result, const char *method, const char *path, const char *body)
{
    http_call_wait(result, process.address, method, path, "", body, CALL_MS);
}

static const char chat[] = "/v1/chat/completions";

Test(engine, answers_follow_from_the_request, .fini = stop)
{
    static const char *const bodies[] = {
        "{\"user\":\"a/1\",\"prompt\":\"hello\",\"reply_tokens\":5}",
        "{\"user\":\"a/1\",\"prompt\":\"hello\",\"reply_tokens\":5,"
        "\"stream\":true}"};

    start("fleet-engine", NULL);
    for (int i = 0; i < 2; i++) {
        answer_answer expected;
        http_call result;

        answer_init(&expected, "a/1", answer_prompt_tokens(5), 5, i == 1);
        call(&result, "POST", chat, bodies[i]);
        cr_expect(result.is_whole);
        cr_expect_eq(result.size, expected.size);
        cr_expect_str_eq(result.body, expected.text);
        http_call_finish(&result);
        answer_finish(&expected);
    }
}

Test(engine, a_cut_stream_resumes_with_the_same_bytes, .fini = stop)
{
    answer_answer expected;
    http_call first;
    http_call second;
    char path[128];
    char stream[32];

    start("fleet-engine", NULL);
    cr_assert(
        fleet_tell(process.admin, "/admin/fault", "{\"cut_after\": 150}"));
    call(&first, "POST", chat,
         "{\"user\":\"a/1\",\"prompt\":\"hello\",\"reply_tokens\":9,"
         "\"stream\":true}");
    cr_expect_not(first.is_whole);
    cr_expect_leq(first.size, 150);
    http_call_header(&first, "lavender-stream", stream, sizeof stream);
    snprintf(path, sizeof path, "/v1/streams/%s/resume?offset=%zu", stream,
             first.size);
    call(&second, "POST", path, "");
    cr_expect(second.is_whole);
    answer_init(&expected, "a/1", answer_prompt_tokens(5), 9, true);
    cr_expect_eq(first.size + second.size, expected.size);
    cr_expect_arr_eq(first.body, expected.text, first.size);
    cr_expect_arr_eq(second.body, expected.text + first.size, second.size);
    http_call_finish(&first);
    http_call_finish(&second);
    answer_finish(&expected);
}

typedef struct order_case {
    const char *order;
    int checked; /* status when it checks, */
    int ignored; /* and when it does not */
} order_case;

Test(engine, orders_with_an_old_fence_depend_on_the_deployment, .fini = stop)
{
    static const order_case cases[] = {
        {"{\"action\":\"load\",\"model\":\"x\",\"fence\":[2,5]}", 200, 200},
        {"{\"action\":\"load\",\"model\":\"y\",\"fence\":[2,4]}", 409, 200},
        {"{\"action\":\"load\",\"model\":\"y\",\"fence\":[1,9]}", 409, 200},
        {"{\"action\":\"unload\",\"model\":\"x\",\"fence\":[3,0]}", 200, 200},
        {"{\"model\":\"x\"}", 400, 400},
        {"nothing", 400, 400},
    };

    for (int ignores = 0; ignores < 2; ignores++) {
        start("fleet-engine", ignores ? "--ignore-fencing" : NULL);
        for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
            http_call result;

            call(&result, "POST", "/v1/orders", cases[i].order);
            cr_expect_eq(result.status,
                         ignores ? cases[i].ignored : cases[i].checked,
                         "%s gave %d", cases[i].order, result.status);
            http_call_finish(&result);
        }
        stop();
    }
}

Test(engine, a_model_that_is_not_loaded_is_refused, .fini = stop)
{
    http_call result;

    start("fleet-engine", NULL);
    call(&result, "POST", chat,
         "{\"user\":\"a/1\",\"model\":\"other\",\"prompt\":\"x\"}");
    cr_expect_eq(result.status, 503);
    cr_expect_eq(fleet_count(process.admin, "/admin/counts", "accepted"), 0);
    http_call_finish(&result);
}

Test(service, each_run_is_recorded, .fini = stop)
{
    start("fleet-service", NULL);
    for (int i = 0; i < 2; i++) {
        http_call result;
        char expected[256];

        call(&result, "POST", "/book", "{\"user\":\"a/1\"}");
        answer_format_plain(expected, sizeof expected, "a/1", (uint32_t)i + 1);
        cr_expect_str_eq(result.body, expected);
        http_call_finish(&result);
    }
    cr_expect_eq(fleet_count(process.admin, "/admin/runs", "total"), 2);
    cr_expect_eq(fleet_count(process.admin, "/admin/runs", "doubles"), 1);
}

Test(service, a_lost_answer_still_counts_as_a_run, .fini = stop)
{
    http_call result;

    start("fleet-service", NULL);
    cr_assert(fleet_tell(process.admin, "/admin/fault", "{\"drop\": 1}"));
    call(&result, "POST", "/book", "{\"user\":\"a/1\"}");
    cr_expect_not(result.is_whole);
    http_call_finish(&result);
    cr_expect_eq(fleet_count(process.admin, "/admin/runs", "total"), 1);
}

static int
read_status(const char *path)
{
    http_call result;
    int status;

    call(&result, "GET", path, "");
    status = result.status;
    http_call_finish(&result);
    return status;
}

static void
put_lists(const char *text)
{
    http_call result;

    http_call_wait(&result, process.admin, "PUT", "/admin/config/lists", "",
                   text, CALL_MS);
    cr_assert_eq(result.status, 200);
    http_call_finish(&result);
}

Test(platform_standin, modes_are_kept, .fini = stop)
{
    static const char watch[] = "/v1/config/lists?after=1&wait_ms=50";

    start("fleet-platform", NULL);
    cr_expect_eq(read_status("/v1/config/lists"), 404);
    put_lists("one");
    cr_expect_eq(read_status("/v1/config/lists"), 200);
    cr_expect_eq(read_status(watch), 304);
    fleet_tell(process.admin, "/admin/mode", "{\"stale\": true}");
    put_lists("two");
    cr_expect_eq(read_status(watch), 304);
    fleet_tell(process.admin, "/admin/mode", "{\"stale\": false}");
    cr_expect_eq(read_status(watch), 200);
    fleet_tell(process.admin, "/admin/mode", "{\"down\": true}");
    cr_expect_eq(read_status("/v1/config/lists"), 503);
    fleet_tell(process.admin, "/admin/mode",
               "{\"down\": false, \"lists_lag_ms\": 60000}");
    put_lists("three");
    cr_expect_eq(read_status("/v1/config/lists?after=2&wait_ms=50"), 304);
    cr_expect_eq(fleet_count(process.admin, "/admin/counts", "waiting"), 0);
}

Test(platform_standin, reads_over_the_limit_are_refused, .fini = stop)
{
    int refused = 0;

    start("fleet-platform", "--limit=3");
    put_lists("one");
    for (int i = 0; i < 20; i++) {
        refused += read_status("/v1/config/lists") == 429;
    }
    cr_expect_gt(refused, 0);
    cr_expect_eq(fleet_count(process.admin, "/admin/counts", "limited"),
                 refused);
}

typedef struct proxy_case {
    const char *fault;
    bool is_answered;
} proxy_case;

Test(proxy, faults_hold_until_healed, .fini = stop)
{
    static const proxy_case cases[] = {
        {"{}", true},
        {"{\"target\":\"one\",\"delay_us\":20000}", true},
        {"{\"source\":\"127.0.0.1\",\"target\":\"one\",\"partition\":true}",
         false},
        {"{\"heal\":true}", true},
        {"{\"target\":\"one\",\"refuse\":true}", false},
        {"{\"heal\":true}", true},
        {"{\"source\":\"127.0.0.9\",\"target\":\"one\",\"partition\":true}",
         true},
        {"{\"cut\":true}", true},
        {"{\"silence\":true}", true},
    };
    proc_process target;
    char option[128];

    start("fleet-service", NULL);
    target = process;
    snprintf(option, sizeof option, "one=%s", target.address);
    start("fleet-proxy", option);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        json_t *state =
            http_json_wait(process.admin, "GET", "/admin/state", "");
        const char *address = json_string_value(
            json_object_get(json_object_get(state, "listen"), "one"));
        http_call result;

        cr_assert(fleet_tell(process.admin, "/admin/fault", cases[i].fault));
        http_call_wait(&result, address, "POST", "/x", "",
                       "{\"user\":\"a/1\"}",
                       cases[i].is_answered ? CALL_MS : 300);
        cr_expect_eq(result.is_whole, cases[i].is_answered, "%s",
                     cases[i].fault);
        http_call_finish(&result);
        json_decref(state);
    }
    proc_kill(&target);
}

static fleet_fleet fleet;

static void
stop_fleet(void)
{
    fleet_stop(&fleet, false);
}

static void
expect_no_errors(const err_list *errors)
{
    char text[512];

    for (size_t i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        err_item_format(&errors->items[i], text, sizeof text);
        cr_expect(false, "%s", text);
    }
}

Test(fleet, what_it_publishes_is_valid, .fini = stop_fleet)
{
    fleet_shape shape = {.routers = 7, .zones = 3, .engines = 2};
    http_call head;
    http_call lists;
    cat_catalogue catalogue;
    lists_snapshot world;
    cat_part part;
    err_list errors;

    snprintf(shape.programs, sizeof shape.programs, "%s", FLEET_PROGRAMS);
    cr_assert(fleet_start_rest(&fleet, &shape));
    http_call_wait(&head, fleet.platform.address, "GET",
                   "/v1/config/catalogue/head", "", "", CALL_MS);
    http_call_wait(&lists, fleet.platform.address, "GET", "/v1/config/lists",
                   "", "", CALL_MS);
    part = (cat_part){"head.ini", head.body, head.size};
    err_list_init(&errors);
    cr_expect(cat_init(&catalogue, &part, 1, &errors));
    expect_no_errors(&errors);
    err_list_init(&errors);
    cr_expect(
        lists_init(&world, "lists.ini", lists.body, lists.size, &errors));
    expect_no_errors(&errors);
    cr_expect_eq(catalogue.account_count, 4);
    cr_expect_eq(world.instance_count, 7);
    cr_expect_eq(world.endpoint_count, 3);
    cat_finish(&catalogue);
    lists_finish(&world);
    http_call_finish(&head);
    http_call_finish(&lists);
}
