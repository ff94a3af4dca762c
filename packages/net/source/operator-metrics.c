#include <stdio.h>

#include "lavender-net/log.h"
#include "operator-imp.h"

#define ARRAY_SIZE(values) (sizeof(values) / sizeof(values)[0])

static void
write_callers(const call_counts *counts, met_writer *writer)
{
    const met_scalar values[] = {
        {"lavender_connections_accepted_total", "counter",
         "callers' connections taken", (double)counts->connections_accepted},
        {"lavender_connections_refused_total", "counter",
         "callers' connections refused at the bound",
         (double)counts->connections_refused},
        {"lavender_connections", "gauge", "callers' connections open",
         counts->open_connections},
        {"lavender_requests_total", "counter", "requests that came",
         (double)counts->requests_received},
        {"lavender_requests_in_hand", "gauge", "requests in hand",
         counts->active_requests},
        {"lavender_callers_gone_total", "counter",
         "callers that left before the end",
         (double)counts->callers_disconnected},
        {"lavender_callers_stalled_total", "counter",
         "callers given up because they did not read",
         (double)counts->callers_stalled},
        {"lavender_tickets_minted_total", "counter", "tickets minted",
         (double)counts->tickets_minted},
        {"lavender_tickets_joined_total", "counter",
         "uses of a ticket that waited for a running request",
         (double)counts->tickets_joined},
        {"lavender_tickets_replayed_total", "counter",
         "uses of a ticket that got the remembered answer",
         (double)counts->tickets_replayed},
        {"lavender_tickets_relayed_total", "counter",
         "uses of a ticket relayed to its minter",
         (double)counts->tickets_relayed},
        {"lavender_body_bytes_in_total", "counter", "bytes of callers' bodies",
         (double)counts->body_bytes_in},
        {"lavender_body_bytes_out_total", "counter",
         "bytes of answers' bodies", (double)counts->body_bytes_out},
        {"lavender_answers_mismatched_total", "counter",
         "answers that named another request or attempt",
         (double)counts->mismatched_responses},
        {"lavender_memory_bytes", "gauge", "bodies and buffers in hand",
         (double)counts->memory_used},
        {"lavender_incomplete_bytes", "gauge", "incomplete requests",
         (double)counts->memory_incomplete},
        {"lavender_incomplete_closed_total", "counter",
         "callers' connections closed with large incomplete requests",
         (double)counts->closed_incomplete},
    };

    met_write_scalars(writer, values, ARRAY_SIZE(values));
}

static void
write_request_ends(const call_counts *counts, met_writer *writer)
{
    char labels[96];
    int i;

    met_write_header(writer, "lavender_finished_total", "counter",
                     "requests that ended, by outcome");
    for (i = 0; i <= OUT_UNKNOWN; i++) {
        snprintf(labels, sizeof labels, "outcome=\"%s\"",
                 out_kind_name((out_kind)i));
        met_write_sample(writer, "lavender_finished_total", labels,
                         (double)counts->finished_by_outcome[i]);
    }
    met_write_header(writer, "lavender_refused_total", "counter",
                     "requests that were not done, by reason");
    for (i = 1; i < OUT_REASON_COUNT; i++) {
        snprintf(labels, sizeof labels, "reason=\"%s\"",
                 out_reason_name((out_reason)i));
        met_write_sample(writer, "lavender_refused_total", labels,
                         (double)counts->not_done_by_reason[i]);
    }
    met_write_header(writer, "lavender_request_seconds", "histogram",
                     "from arrival to the end");
    met_write_histogram(writer, "lavender_request_seconds", "",
                        &counts->latency);
    met_write_header(writer, "lavender_first_byte_seconds", "histogram",
                     "from arrival to the first byte of the answer");
    met_write_histogram(writer, "lavender_first_byte_seconds", "",
                        &counts->first_byte);
}

static void
write_entry(const oper_view *view, met_writer *writer)
{
    entry_counts counts;

    entry_read_counts(node_entry(view->node), &counts);
    met_write_scalars(
        writer,
        (const met_scalar[]){
            {"lavender_admitted_total", "counter", "requests admitted",
             (double)counts.admitted},
            {"lavender_attempts_total", "counter", "attempts at endpoints",
             (double)counts.attempts},
            {"lavender_retries_total", "counter", "attempts after the first",
             (double)counts.retries},
            {"lavender_resumes_total", "counter", "streams resumed",
             (double)counts.resumes},
            {"lavender_stale_answers_total", "counter",
             "answers of older attempts, dropped",
             (double)counts.stale_answers},
            {"lavender_stale_grants_total", "counter", "old grants, dropped",
             (double)counts.stale_grants},
            {"lavender_waiting", "gauge", "requests that wait",
             counts.waiting},
            {"lavender_running", "gauge", "requests that run", counts.running},
            {"lavender_leases", "gauge", "leases held", counts.leases},
            {"lavender_leases_idle", "gauge", "leases held and not used",
             counts.idle_leases},
            {"lavender_entry_memory_bytes", "gauge",
             "memory of the entry role", (double)counts.memory},
        },
        11);
}

static void
write_dispatchers(const oper_view *view, met_writer *writer)
{
    static const char *const names[] = {"lavender_dispatcher_slots",
                                        "lavender_dispatcher_leased",
                                        "lavender_dispatcher_grants_total",
                                        "lavender_dispatcher_recalls_total",
                                        "lavender_dispatcher_decisions_total",
                                        "lavender_dispatcher_lead"};
    static const char *const help_texts[] = {
        "slots of the shard",
        "slots leased",
        "grants given",
        "leases recalled",
        "choices of an account",
        "largest counter above the smallest, of accounts with work waiting"};
    uint32_t count = node_dispatcher_count(view->node), i, j, shard;
    const disp_dispatcher *dispatcher;
    char labels[160], pool_name[LV_NAME_SIZE];
    disp_counts counts;
    uint64_t tenure;
    lv_id pool;

    for (j = 0; j < ARRAY_SIZE(names); j++) {
        met_write_header(writer, names[j],
                         j >= 2 && j <= 4 ? "counter" : "gauge",
                         help_texts[j]);
        for (i = 0; i < count; i++) {
            dispatcher =
                node_dispatcher_at(view->node, i, &pool, &shard, &tenure);
            disp_read_counts(dispatcher, &counts);
            snprintf(labels, sizeof labels, "pool=\"%s\",shard=\"%u\"",
                     oper_pool_name(view, pool, pool_name, sizeof pool_name),
                     shard);
            met_write_sample(writer, names[j], labels,
                             (const double[]){counts.slots, counts.leased,
                                              (double)counts.grants,
                                              (double)counts.recalls,
                                              (double)counts.decisions,
                                              (double)counts.lead}[j]);
        }
    }
}

static void
write_messages(const oper_view *view, met_writer *writer)
{
    const node_counts *counts = node_read_counts(view->node);
    char labels[64];
    int kind;

    met_write_header(writer, "lavender_messages_in_total", "counter",
                     "messages from peers, by kind");
    for (kind = MSG_PING; kind < MSG_KIND_END; kind++) {
        snprintf(labels, sizeof labels, "kind=\"%s\"",
                 msg_kind_name((msg_kind)kind));
        met_write_sample(writer, "lavender_messages_in_total", labels,
                         (double)counts->messages_in[kind]);
    }
    met_write_header(writer, "lavender_messages_out_total", "counter",
                     "messages to peers, by kind");
    for (kind = MSG_PING; kind < MSG_KIND_END; kind++) {
        snprintf(labels, sizeof labels, "kind=\"%s\"",
                 msg_kind_name((msg_kind)kind));
        met_write_sample(writer, "lavender_messages_out_total", labels,
                         (double)counts->messages_out[kind]);
    }
    met_write_scalars(
        writer,
        (const met_scalar[]){
            {"lavender_messages_foreign_total", "counter",
             "messages that name this instance as their sender, dropped",
             (double)counts->dropped_invalid_sender},
            {"lavender_messages_old_total", "counter",
             "messages that were old or of unknown senders, dropped",
             (double)counts->dropped_stale},
            {"lavender_pauses_total", "counter", "pauses of this process",
             (double)counts->pauses},
            {"lavender_role_changes_total", "counter",
             "roles taken or given up", (double)counts->role_changes},
        },
        4);
}

static void
write_peers_platform_load(const oper_view *view, met_writer *writer)
{
    const link_counts *link = &view->link->counts;
    const plat_counts *platform = &view->platform->counts;
    load_counts load;

    load_read_counts(view->load, &load);
    met_write_scalars(
        writer,
        (const met_scalar[]){
            {"lavender_peer_bytes_out_total", "counter", "bytes sent to peers",
             (double)link->sent_bytes},
            {"lavender_peer_bytes_in_total", "counter",
             "bytes received from peers", (double)link->received_bytes},
            {"lavender_peer_dropped_full_total", "counter",
             "messages to peers with a full queue, dropped",
             (double)link->dropped_full},
            {"lavender_peer_malformed_total", "counter",
             "messages that could not be decoded, dropped",
             (double)link->dropped_malformed},
            {"lavender_peer_incomplete_closed_total", "counter",
             "connections of peers closed because of incomplete messages",
             (double)link->closed_incomplete},
            {"lavender_platform_reads_total", "counter",
             "reads from the platform", (double)platform->reads},
            {"lavender_platform_watches_total", "counter",
             "watches at the platform", (double)platform->watches},
            {"lavender_platform_failures_total", "counter",
             "calls of the platform that failed", (double)platform->failures},
            {"lavender_platform_silent_total", "counter",
             "connections to the platform found silent",
             (double)platform->timeouts},
            {"lavender_malformed_answers_total", "counter",
             "answers of endpoints and peers that are malformed",
             (double)view->client->malformed_answers},
            {"lavender_load_polls_total", "counter",
             "polls of endpoints' load", (double)load.polls},
            {"lavender_load_failures_total", "counter",
             "polls of endpoints' load that failed", (double)load.failures},
            {"lavender_load_bytes_total", "counter",
             "bytes of endpoints' load reports", (double)load.bytes},
            {"lavender_orders_total", "counter", "placement orders sent",
             (double)load.orders},
            {"lavender_cache_events_total", "counter", "cache events taken",
             (double)load.cache_events},
            {"lavender_cache_gaps_total", "counter",
             "gaps in the numbers of cache events", (double)load.cache_gaps},
            {"lavender_log_suppressed_total", "counter",
             "log lines not written because they repeated",
             (double)log_suppressed_lines()},
        },
        17);
}

/* Context of write_account_service: writes the ledger lines of one window. */
typedef struct window_writer {
    const oper_view *view;
    met_writer *writer;
    uint64_t window;
} window_writer;

static void
write_account_service(void *context, const ledger_line *line)
{
    window_writer *output = context;
    char pool[LV_NAME_SIZE], account[LV_NAME_SIZE];
    char labels[LV_NAME_SIZE * 2 + 32];

    if (line->window != output->window) {
        return;
    }
    snprintf(labels, sizeof labels, "pool=\"%s\",account=\"%s\"",
             oper_pool_name(output->view, line->pool, pool, sizeof pool),
             oper_account_name(output->view, line->account, account,
                               sizeof account));
    met_write_sample(output->writer, "lavender_account_service", labels,
                     (double)line->service);
}

static void
write_accounts(const oper_view *view, met_writer *writer)
{
    const ledger_store *ledger = node_ledger(view->node);
    window_writer output = {view, writer, ledger->current_window - 1};

    met_write_header(writer, "lavender_account_service", "gauge",
                     "service units in the last whole window");
    ledger_for_each_line(ledger, write_account_service, &output);
}

void
oper_write_metrics(const oper_view *view, met_writer *writer)
{
    call_counts counts;

    call_read_counts(view->callers, &counts);
    write_callers(&counts, writer);
    write_request_ends(&counts, writer);
    write_entry(view, writer);
    write_dispatchers(view, writer);
    write_messages(view, writer);
    write_peers_platform_load(view, writer);
    write_accounts(view, writer);
}
