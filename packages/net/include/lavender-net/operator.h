/*
 * The operator's listener, apart from the callers': health, readiness,
 * metrics, status, ledger, and the order to drain.
 *
 *   GET  /healthz      200 while the process runs
 *   GET  /readyz       200 when callers' requests are taken, else 503
 *   GET  /metrics      counters and histograms as text
 *   GET  /v1/status    JSON: instance, documents, members, roles, counts
 *   GET  /v1/ledger    JSON lines: what each account got in each window
 *   GET  /v1/catalogue JSON: pools, accounts and weights in force
 *   POST /v1/drain     stop taking requests; the process ends when idle
 */
#ifndef LAVENDER_NET_OPERATOR_H
#define LAVENDER_NET_OPERATOR_H

#include "lavender-net/callers.h"
#include "lavender-net/link.h"
#include "lavender-net/platform.h"

typedef struct oper_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT */
} oper_settings;

/* What the listener tells of; all of it outlives the listener. */
typedef struct oper_view {
    const char *instance;
    const char *zone;
    node_state *node;
    const call_server *callers;
    const client_context *client;
    const load_poller *load;
    const link_transport *link;
    const plat_backend *platform;
    lv_time ledger_window;
    call_clock *clock;
    void (*drain)(void *context);
    void *context;
} oper_view;

typedef struct oper_server oper_server;

oper_server *oper_new(uv_loop_t *loop, const oper_settings *settings,
                      const oper_view *view, err_error *error);
bool oper_listen(oper_server *server, err_error *error);
void oper_close(oper_server *server);

/* After the loop closed its handles. */
void oper_free(oper_server *server);

/* The texts that the listener gives, for tests and tools. */
void oper_write_metrics(const oper_view *view, met_writer *writer);
char *oper_write_status(const oper_view *view);
void oper_write_ledger(const oper_view *view, met_writer *writer);
char *oper_write_catalogue(const oper_view *view);

#endif
