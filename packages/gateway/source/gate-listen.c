#include "gate-imp.h"

/* From the platform's probes and from readers of the metrics. */
#define MAX_READINESS_CONNECTIONS 64
#define MAX_READINESS_BODY_BYTES 1024

#define BYTES_PER_MEGABYTE 1000000

/* Default memory limit of the process, unless the machine has less. */
#define DEFAULT_MEGABYTES 256

/* Share of the memory limit for data of clients. Unread data in the kernel,
 * the tables and the allocator's free memory need the rest. */
#define CLIENT_MEMORY_PERCENT 40

static void
on_caller_request(front_server *server, front_connection *connection)
{
    gate_receive_request(server->owner, connection);
}

static void
on_caller_disconnected(front_server *server, front_connection *connection)
{
    (void)server;
    if (connection->request != NULL) {
        gate_abandon_request(connection->request);
        connection->request = NULL;
    }
}

static void
on_caller_drained(front_server *server, front_connection *connection)
{
    gate_request *request = connection->request;

    (void)server;
    if (request != NULL) {
        gate_resume_paused(request);
    }
}

static void
on_caller_rejected(front_server *server, uint32_t status, const char *reason)
{
    (void)server;
    log_request(LOG_LEVEL_INFO, LOG_IMPORTANT, io_now(), "rejected",
                "status=%u reason=%s", status, reason);
}

static void
on_caller_input_dropped(front_server *server, const char *reason,
                        uint64_t bytes)
{
    (void)server;
    log_request(LOG_LEVEL_INFO, LOG_IMPORTANT, io_now(), "input-dropped",
                "reason=%s bytes=%llu", reason, (unsigned long long)bytes);
}

static const front_ops caller_ops = {.on_request = on_caller_request,
                                     .on_disconnect = on_caller_disconnected,
                                     .on_drain = on_caller_drained,
                                     .on_rejected = on_caller_rejected,
                                     .on_input_dropped =
                                         on_caller_input_dropped};

/* Returns the limit of the memory for data of clients, in bytes. */
static size_t
client_memory(const gate_settings *settings)
{
    uint64_t machine = uv_get_total_memory() / BYTES_PER_MEGABYTE;
    uint64_t megabytes = settings->memory_megabytes;

    if (megabytes == 0) {
        megabytes = machine > 0 && machine < DEFAULT_MEGABYTES
                        ? machine
                        : DEFAULT_MEGABYTES;
    }
    return (size_t)(megabytes * BYTES_PER_MEGABYTE * CLIENT_MEMORY_PERCENT /
                    100);
}

bool
gate_start_listeners(gate_server *gate, err_error *error)
{
    /* In force until a configuration is read. */
    static const rt_limits limits = {.head_bytes = 16384,
                                     .body_bytes = 4194304,
                                     .head_timeout = 3 * LV_SECOND,
                                     .idle_timeout = 15 * LV_SECOND};
    const gate_settings *settings = &gate->settings;
    struct sockaddr_in callers;
    struct sockaddr_in readiness;

    if (!io_parse_address(settings->caller_address, &callers, error) ||
        !io_parse_address(settings->readiness_address, &readiness, error) ||
        !front_listen(&gate->callers, gate->loop, &caller_ops, &callers,
                      settings->max_connections, gate, error) ||
        !front_listen(&gate->readiness, gate->loop, &gate_readiness_ops,
                      &readiness, MAX_READINESS_CONNECTIONS, gate, error)) {
        return false;
    }
    gate->memory.limit = client_memory(settings);
    gate->callers.memory = &gate->memory;
    gate->callers.limits = limits;
    gate->readiness.memory = &gate->memory;
    gate->readiness.limits = limits;
    gate->readiness.limits.body_bytes = MAX_READINESS_BODY_BYTES;
    gate->endpoint_pool.memory_used = &gate->memory.used;
    return true;
}
