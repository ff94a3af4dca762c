/*
 * Stand-in for a plain service: it records every run of each call.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common-answer.h"
#include "common-http.h"
#include "common-usage.h"

#define TICK_MS 1
#define US_PER_MS 1000ULL

typedef struct job_link job_link;

typedef struct service_job {
    struct service_service *service;
    job_link *link; /* NULL: the caller went away */
    char identity[ANSWER_IDENTITY_SIZE];
    uint32_t run;
    uint64_t end_us; /* 0: waits for a slot */
    usage_account *account;
    struct service_job *next;
} service_job;

/* Lives as long as the caller's request. */
struct job_link {
    service_job *job; /* NULL once it was answered */
    h2o_req_t *req;
};

typedef struct service_service {
    uv_loop_t loop;
    uv_timer_t tick;
    http_server server;
    http_server admin;
    const char *listen;
    const char *admin_listen;
    uint32_t slots;
    uint64_t time_us;
    uint32_t running;
    uint32_t running_max;
    uint32_t refuse_count;
    uint32_t drop_count; /* runs whose answer is not sent */
    bool is_stalled;
    uint64_t run_count;
    uint64_t double_count;
    json_t *runs; /* booking: times it ran */
    service_job *jobs;
    service_job **jobs_end;
    usage_usage usage;
} service_service;

static void
on_caller_gone(void *memory)
{
    job_link *link = memory;

    if (link->job != NULL) {
        link->job->link = NULL;
    }
}

static void
record_run(service_service *service, service_job *job)
{
    json_int_t runs =
        json_integer_value(json_object_get(service->runs, job->identity)) + 1;

    json_object_set_new(service->runs, job->identity, json_integer(runs));
    job->run = (uint32_t)runs;
    service->run_count++;
    if (runs > 1) {
        service->double_count++;
    }
}

static void
start_job(service_service *service, service_job *job, uint64_t now_us)
{
    record_run(service, job);
    job->end_us = now_us;
    if (service->time_us >= TICK_MS * US_PER_MS) {
        job->end_us += service->time_us;
    }
    if (++service->running > service->running_max) {
        service->running_max = service->running;
    }
    usage_change_running(&service->usage, job->account, 1);
}

/* Close the connection in place of an answer. */
static void
drop_answer(h2o_req_t *req)
{
    h2o_generator_t *generator =
        h2o_mem_alloc_shared(&req->pool, sizeof *generator, NULL);

    memset(generator, 0, sizeof *generator);
    req->res.status = 200;
    req->res.reason = "OK";
    h2o_start_response(req, generator);
    h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
answer_job(service_service *service, service_job *job)
{
    h2o_req_t *req;
    char text[512];
    size_t size;

    if (job->link == NULL) {
        return;
    }
    req = job->link->req;
    job->link->job = NULL;
    job->link = NULL;
    if (service->drop_count > 0) {
        service->drop_count--;
        drop_answer(req);
        return;
    }
    size = answer_format_plain(text, sizeof text, job->identity, job->run);
    http_send_text(req, 200, "application/json", text, size);
}

static void
run_jobs(service_service *service)
{
    service_job **link = &service->jobs;
    uint64_t now_us = usage_now_us();

    while (*link != NULL && !service->is_stalled) {
        service_job *job = *link;

        if (job->end_us == 0 && service->running < service->slots) {
            start_job(service, job, now_us);
        }
        if (job->end_us == 0 || job->end_us > now_us) {
            link = &job->next;
            continue;
        }
        service->running--;
        usage_change_running(&service->usage, job->account, -1);
        usage_add_units(&service->usage, job->account,
                        (double)service->time_us / (double)US_PER_MS);
        answer_job(service, job);
        *link = job->next;
        if (service->jobs_end == &job->next) {
            service->jobs_end = link;
        }
        free(job);
    }
}

static void
echo(h2o_req_t *req, const char *name)
{
    char value[96];
    h2o_iovec_t copy;

    if (http_read_header(req, name, value, sizeof value)) {
        copy = h2o_strdup(&req->pool, value, strlen(value));
        h2o_add_header_by_str(&req->pool, &req->res.headers, name,
                              strlen(name), 0, NULL, copy.base, copy.len);
    }
}

static void
accept_job(service_service *service, h2o_req_t *req, const char *identity)
{
    service_job *job = calloc(1, sizeof *job);
    job_link *link =
        h2o_mem_alloc_shared(&req->pool, sizeof *link, on_caller_gone);

    if (job == NULL) {
        abort();
    }
    link->job = job;
    link->req = req;
    job->service = service;
    job->link = link;
    snprintf(job->identity, sizeof job->identity, "%s", identity);
    job->account = usage_find_account(&service->usage, identity);
    echo(req, "lavender-request");
    echo(req, "lavender-attempt");
    *service->jobs_end = job;
    service->jobs_end = &job->next;
}

static void
on_request(void *context, h2o_req_t *req)
{
    service_service *service = context;
    json_t *body = http_read_json(req);
    const char *identity = json_string_value(json_object_get(body, "user"));

    if (service->refuse_count > 0) {
        service->refuse_count--;
        http_send_json(req, 503, json_pack("{s:s}", "error", "refused"));
    }
    else if (http_has_method(req, "GET")) {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
    else if (identity == NULL) {
        http_send_json(req, 400,
                       json_pack("{s:s}", "error", "no \"user\" in the body"));
    }
    else {
        accept_job(service, req, identity);
        run_jobs(service);
    }
    json_decref(body);
}

static void
set_faults(service_service *service, h2o_req_t *req)
{
    json_t *fault = http_read_json(req);
    json_t *value;

    if ((value = json_object_get(fault, "refuse")) != NULL) {
        service->refuse_count = (uint32_t)json_integer_value(value);
    }
    if ((value = json_object_get(fault, "drop")) != NULL) {
        service->drop_count = (uint32_t)json_integer_value(value);
    }
    if ((value = json_object_get(fault, "stall")) != NULL) {
        service->is_stalled = json_is_true(value);
    }
    if (json_is_true(json_object_get(fault, "crash"))) {
        _exit(9);
    }
    http_send_json(req, fault != NULL ? 200 : 400, json_pack("{}"));
    json_decref(fault);
}

static void
on_admin(void *context, h2o_req_t *req)
{
    service_service *service = context;

    if (http_has_path(req, "/admin/runs")) {
        http_send_json(req, 200,
                       json_pack("{s:I, s:I, s:I, s:O}", "total",
                                 (json_int_t)service->run_count, "doubles",
                                 (json_int_t)service->double_count,
                                 "running_max",
                                 (json_int_t)service->running_max, "runs",
                                 service->runs));
    }
    else if (http_has_path(req, "/admin/usage")) {
        http_send_json(req, 200, usage_to_json(&service->usage));
    }
    else if (http_has_path(req, "/admin/fault")) {
        set_faults(service, req);
    }
    else {
        http_send_text(req, 404, "text/plain", "no such path\n", 13);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    run_jobs(timer->data);
}

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Where it listens (127.0.0.1:0)", 0},
    {"admin", 'a', "IP:PORT", 0, "Where tests drive it (127.0.0.1:0)", 0},
    {"slots", 's', "N", 0, "Calls that run at once (4)", 0},
    {"time-us", 't', "US", 0,
     "Time of a call (20000); under 1000 it ends at once", 0},
    {0}};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    service_service *service = state->input;

    switch (key) {
    case 'l':
        service->listen = argument;
        break;
    case 'a':
        service->admin_listen = argument;
        break;
    case 's':
        service->slots = (uint32_t)strtoul(argument, NULL, 10);
        break;
    case 't':
        service->time_us = strtoull(argument, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    static service_service service = {.listen = "127.0.0.1:0",
                                      .admin_listen = "127.0.0.1:0",
                                      .slots = 4,
                                      .time_us = 20000};
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Stand-in for a plain service that records every run of each call."
        "\vIt prints \"ready IP:PORT admin IP:PORT\". \"user\" in a call's "
        "body is its identity (ACCOUNT/NUMBER). For tests: GET /admin/runs, "
        "GET /admin/usage, POST /admin/fault {\"refuse\": N, \"drop\": N, "
        "\"stall\": BOOL, \"crash\": true}.",
        NULL,
        NULL,
        NULL};

    argp_parse(&argp, argc, argv, 0, NULL, &service);
    uv_loop_init(&service.loop);
    usage_init(&service.usage, service.slots);
    service.runs = json_object();
    service.jobs_end = &service.jobs;
    http_server_init(&service.server, &service.loop, service.listen,
                     on_request, &service);
    http_server_init(&service.admin, &service.loop, service.admin_listen,
                     on_admin, &service);
    uv_timer_init(&service.loop, &service.tick);
    service.tick.data = &service;
    uv_timer_start(&service.tick, on_tick, TICK_MS, TICK_MS);
    printf("ready %s admin %s\n", service.server.address,
           service.admin.address);
    fflush(stdout);
    return uv_run(&service.loop, UV_RUN_DEFAULT);
}
