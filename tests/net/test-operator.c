#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define KEY "Authorization: Bearer key-of-alpha\r\n"
#define BODY "{\"user\":\"o/1\"}"
#define LOG "/dev/null"
#define END_TIMEOUT_MS 20000

static rig_rig rig;

static void
start(const rig_shape *shape)
{
    cr_assert(rig_start(&rig, shape));
}

static void
stop(void)
{
    cr_expect(rig_stop(&rig));
}

static void
get(const char *path, rig_answer *answer)
{
    rig_ask(rig.routers[0].operator_address, "GET", path, "", "", answer);
}

static void
ask_some(int count)
{
    rig_answer answer;

    while (count-- > 0) {
        rig_ask(rig.routers[0].callers, "POST", "/lookup", KEY, BODY, &answer);
        cr_assert_eq(answer.status, 200);
        rig_answer_finish(&answer);
    }
}

static void
check(bool is_good, const char *name, const char *what)
{
    cr_expect(is_good, "%s: %s", name, what);
}

static double
metric(const char *text, const char *line)
{
    char wanted[128];
    const char *found;

    snprintf(wanted, sizeof wanted, "\n%s ", line);
    found = strstr(text, wanted);
    return found == NULL ? -1 : strtod(found + strlen(wanted), NULL);
}

/* Each line is a comment or "name{labels} number". */
static void
expect_format(char *text)
{
    char *line, *number, *end;

    for (line = strtok(text, "\n"); line != NULL; line = strtok(NULL, "\n")) {
        if (line[0] == '#') {
            continue;
        }
        number = strrchr(line, ' ');
        check(number != NULL, "no number", line);
        if (number != NULL) {
            strtod(number + 1, &end);
            check(end > number + 1 && *end == '\0', "no number", line);
        }
    }
}

Test(operator, metrics)
{
    static const rig_shape shape = {0};
    static const struct {
        const char *line;
        double value;
    } wanted[] = {
        {"lavender_requests_total", 4},
        {"lavender_finished_total{outcome=\"done\"}", 3},
        {"lavender_finished_total{outcome=\"not-run\"}", 1},
        {"lavender_refused_total{reason=\"unknown-key\"}", 1},
        {"lavender_admitted_total", 3},
        {"lavender_attempts_total", 3},
        {"lavender_retries_total", 0},
        {"lavender_request_seconds_count", 4},
        {"lavender_requests_in_hand", 0},
    };
    rig_answer answer;
    size_t i;

    start(&shape);
    ask_some(3);
    rig_ask(rig.routers[0].callers, "POST", "/lookup",
            "Authorization: Bearer nobody\r\n", BODY, &answer);
    rig_answer_finish(&answer);
    get("/metrics", &answer);
    cr_assert_eq(answer.status, 200);
    for (i = 0; i < sizeof wanted / sizeof wanted[0]; i++) {
        cr_expect_eq(metric(answer.body, wanted[i].line), wanted[i].value,
                     "%s is %g", wanted[i].line,
                     metric(answer.body, wanted[i].line));
    }
    expect_format(answer.body);
    rig_answer_finish(&answer);
    stop();
}

static json_t *
get_json(const char *path)
{
    rig_answer answer;
    json_t *root;

    get(path, &answer);
    root = json_loads(answer.body, 0, NULL);
    check(answer.status == 200 && root != NULL, path, answer.body);
    rig_answer_finish(&answer);
    return root;
}

Test(operator, status)
{
    static const rig_shape shape = {.has_two_routers = true};
    json_t *root;

    start(&shape);
    proc_sleep_ms(1500);
    root = get_json("/v1/status");
    cr_expect_str_eq(json_string_value(json_object_get(root, "instance")),
                     "router1");
    cr_expect(json_is_true(json_object_get(root, "ready")));
    cr_expect_eq(json_array_size(json_object_get(root, "members")), 2);
    cr_expect_eq(
        json_integer_value(json_object_get(
            json_object_get(json_object_get(root, "documents"), "catalogue"),
            "revision")),
        1);
    json_decref(root);
    root = get_json("/v1/catalogue");
    cr_expect_eq(json_array_size(json_object_get(root, "accounts")), 2);
    cr_expect_eq(json_array_size(json_object_get(root, "pools")), 2);
    json_decref(root);
    stop();
}

/* The ledger's lines add up to what was asked. */
Test(operator, ledger)
{
    static const rig_shape shape = {0};
    json_int_t started = 0, finished = 0;
    rig_answer answer;
    json_t *line;
    char *text;

    start(&shape);
    ask_some(5);
    get("/v1/ledger", &answer);
    cr_assert_eq(answer.status, 200);
    text = strtok(answer.body, "\n");
    line = json_loads(text, 0, NULL);
    cr_expect_eq(json_integer_value(json_object_get(line, "window_us")),
                 1000000);
    json_decref(line);
    while ((text = strtok(NULL, "\n")) != NULL) {
        line = json_loads(text, 0, NULL);
        cr_assert_not_null(line, "%s", text);
        cr_expect_str_eq(json_string_value(json_object_get(line, "account")),
                         "alpha");
        cr_expect_str_eq(json_string_value(json_object_get(line, "pool")),
                         "plots");
        started += json_integer_value(json_object_get(line, "started"));
        finished += json_integer_value(json_object_get(line, "finished"));
        json_decref(line);
    }
    cr_expect_eq(started, 5);
    cr_expect_eq(finished, 5);
    rig_answer_finish(&answer);
    stop();
}

Test(operator, paths_and_drain)
{
    static const rig_shape shape = {0};
    static const struct {
        const char *method;
        const char *path;
        int status;
    } cases[] = {
        {"GET", "/healthz", 200},  {"GET", "/readyz", 200},
        {"GET", "/nowhere", 404},  {"POST", "/healthz", 405},
        {"GET", "/v1/drain", 405}, {"POST", "/v1/drain", 202},
    };
    rig_answer answer;
    size_t i;

    start(&shape);
    for (i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        rig_ask(rig.routers[0].operator_address, cases[i].method,
                cases[i].path, "", "", &answer);
        cr_expect_eq(answer.status, cases[i].status, "%s %s: %d",
                     cases[i].method, cases[i].path, answer.status);
        rig_answer_finish(&answer);
    }
    cr_assert(proc_wait_end(&rig.routers[0].process, END_TIMEOUT_MS));
    cr_expect(WIFEXITED(rig.routers[0].process.status));
    cr_expect_eq(WEXITSTATUS(rig.routers[0].process.status), 0);
    stop();
}

/* The second signal ends the process although a request is in hand. */
Test(operator, second_signal)
{
    static const rig_shape shape = {.service_time_us = 60000000};
    static const char request[] = "POST /book HTTP/1.1\r\nHost: r\r\n" KEY
                                  "Content-Length: 14\r\n\r\n" BODY;
    proc_process *router = &rig.routers[0].process;
    int fd;

    start(&shape);
    fd = rig_connect(rig.routers[0].callers);
    rig_write(fd, request, strlen(request));
    while (rig_count(&rig.service, "/admin/runs", "total") < 1) {
        proc_sleep_ms(10);
    }
    proc_signal(router, SIGTERM);
    cr_expect(!proc_wait_end(router, 300));
    proc_signal(router, SIGTERM);
    cr_assert(proc_wait_end(router, END_TIMEOUT_MS));
    cr_expect(WIFEXITED(router->status));
    cr_expect_eq(WEXITSTATUS(router->status), 1);
    close(fd);
    stop();
}

typedef struct command_case {
    char name[32];
    char first[64];
    char second[64]; /* "$settings": the rig's settings */
    int code;
} command_case;

/* Exit codes of the command line, and of an address that is taken. */
Test(operator, exit_codes)
{
    static const rig_shape shape = {0};
    static const command_case cases[] = {
        {"help", "--help", "", 0},
        {"version", "--version", "", 0},
        {"unknown option", "--nonsense", "", 2},
        {"argument", "nonsense", "", 2},
        {"no such file", "--config=/nowhere.ini", "", 2},
        {"bad settings", "--config=/proc/self/status", "--check", 2},
        {"good settings", "$settings", "--check", 0},
        {"taken address", "$settings", "", 3},
    };
    proc_command command;
    proc_process process;
    size_t i;

    start(&shape);
    for (i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        proc_command_init(&command, FLEET_DAEMON);
        if (strcmp(cases[i].first, "$settings") == 0) {
            proc_command_add(&command, "--config=%s", rig.routers[0].settings);
        }
        else {
            proc_command_add(&command, "%s", cases[i].first);
        }
        if (cases[i].second[0] != '\0') {
            proc_command_add(&command, "%s", cases[i].second);
        }
        memset(&process, 0, sizeof process);
        cr_assert(proc_start(&process, &command, LOG));
        cr_assert(proc_wait_end(&process, END_TIMEOUT_MS), "%s",
                  cases[i].name);
        cr_expect(WIFEXITED(process.status), "%s", cases[i].name);
        cr_expect_eq(WEXITSTATUS(process.status), cases[i].code, "%s: %d",
                     cases[i].name, WEXITSTATUS(process.status));
    }
    stop();
}

/* A catalogue that does not validate is refused with every error in the log,
 * and the one in force stays. */
Test(operator, a_bad_catalogue_is_named)
{
    static const rig_shape shape = {0};
    static const char bad[] = "[catalogue]\nrevision = 2\n[pool x]\n"
                              "kind = nonsense\n[route /y]\npool = z\n";
    char path[PROC_PATH_SIZE + 16], line[2048];
    int kinds = 0, waits;
    FILE *file;

    start(&shape);
    snprintf(path, sizeof path, "%s/head.ini", rig.folder);
    file = fopen(path, "w");
    cr_assert_not_null(file);
    fputs(bad, file);
    fclose(file);
    for (waits = 0; waits < 100 && kinds == 0; waits++) {
        proc_sleep_ms(50);
        file = fopen(rig.log, "r");
        while (fgets(line, sizeof line, file) != NULL) {
            kinds += strstr(line, "event=document-error") != NULL &&
                     strstr(line, "nonsense") != NULL;
        }
        fclose(file);
    }
    cr_expect_eq(kinds, 1);
    ask_some(1);
    stop();
}

/* Engines are polled for their load and cache events, plain services are
 * not. */
Test(operator, engines_are_polled)
{
    static const rig_shape shape = {0};
    rig_answer answer;
    double events = 0, polls = 0, failures = -1;
    int waits;

    start(&shape);
    rig_ask(rig.routers[0].callers, "POST", "/v1/chat/completions", KEY,
            "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}", &answer);
    cr_expect_eq(answer.status, 200, "%s", answer.body);
    rig_answer_finish(&answer);
    for (waits = 0; waits < 200 && events < 1; waits++) {
        proc_sleep_ms(50);
        get("/metrics", &answer);
        events = metric(answer.body, "lavender_cache_events_total");
        polls = metric(answer.body, "lavender_load_polls_total");
        failures = metric(answer.body, "lavender_load_failures_total");
        rig_answer_finish(&answer);
    }
    cr_expect_eq(events, 1);
    cr_expect_gt(polls, 0);
    cr_expect_eq(failures, 0);
    stop();
}
