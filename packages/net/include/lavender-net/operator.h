/*
 * The HTTP listener for operators, on an address of its own: health,
 * readiness, metrics, status, ledger, catalogue, and the command to drain.
 *
 *   GET  /healthz      200 while the process runs
 *   GET  /readyz       200 when callers' requests are accepted, else 503
 *   GET  /metrics      counters, gauges and histograms as text
 *   GET  /v1/status    JSON: instance, documents, members, roles, counts
 *   GET  /v1/ledger    JSON lines: service of each account in each window
 *   GET  /v1/catalogue JSON: pools, accounts and weights in force
 *   POST /v1/drain     refuse new requests and exit when idle
 */
#ifndef LAVENDER_NET_OPERATOR_H
#define LAVENDER_NET_OPERATOR_H

#include "lavender-net/callers.h"
#include "lavender-net/link.h"
#include "lavender-net/platform.h"

typedef struct oper_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT */
} oper_settings;

/* The objects that the listener reports on. Each must outlive the listener. */
typedef struct oper_view {
    const char *instance;
    const char *zone;
    node_state *node;
    const call_server *callers;
    const client_context *client;
    const load_poller *load;
    const link_transport *link;
    const plat_backend *platform;
    lv_time ledger_window; /* length in microseconds */
    call_clock *clock;
    void (*drain)(void *context); /* called for POST /v1/drain */
    void *context;
} oper_view;

typedef struct oper_server oper_server;

/* Creates the listener without opening it; copies settings and view. Returns
 * NULL and fills in error when out of memory. */
oper_server *oper_new(uv_loop_t *loop, const oper_settings *settings,
                      const oper_view *view, err_error *error);
/* Starts accepting connections. Returns false and fills in error on failure.
 */
bool oper_listen(oper_server *server, err_error *error);
/* Stops accepting connections and closes those that are open. */
void oper_close(oper_server *server);

/* Frees the listener. The loop must have closed its handles. */
void oper_free(oper_server *server);

/* Write the responses of the listener. oper_write_status and
 * oper_write_catalogue return JSON text that the caller frees, or NULL when
 * out of memory. */
void oper_write_metrics(const oper_view *view, met_writer *writer);
char *oper_write_status(const oper_view *view);
void oper_write_ledger(const oper_view *view, met_writer *writer);
char *oper_write_catalogue(const oper_view *view);

#endif
