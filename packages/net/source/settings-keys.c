#include "settings-imp.h"

#define CONF_RECORD set_settings
#include "lavender/config-keys.h"

static const char *const sources[] = {"service", "file", NULL};
static const char *const levels[] = {"error", "warning", "notice",
                                     "info",  "debug",   NULL};
static const char *const policies[] = {"leases", "local-fair", "local-fifo",
                                       NULL};

static const conf_key instance_keys[] = {
    NAME_KEY("name", instance),
    NAME_KEY("zone", zone),
    TIME_KEY("pause_limit", node.pause_limit, 100 * MILLISECOND, 60 * SECOND),
};

static const conf_key listen_keys[] = {
    ADDRESS_KEY("callers", callers.address, true),
    ADDRESS_KEY("operator", operator_listener.address, true),
    ADDRESS_KEY("peer", link.bind_address, true),
    TEXT_KEY("tls_certificate", callers.tls_certificate),
    TEXT_KEY("tls_key", callers.tls_key),
};

static const conf_key platform_keys[] = {
    CHOICE_KEY("source", source, sources, true),
    ADDRESS_KEY("address", platform.address, false),
    TEXT_KEY("folder", platform.directory),
    TIME_KEY("watch", platform.max_watch_wait, 100 * MILLISECOND, HOUR),
    TIME_KEY("timeout", platform.request_timeout, 10 * MILLISECOND, HOUR),
    TIME_KEY("backoff", platform.initial_backoff, MILLISECOND, HOUR),
    TIME_KEY("backoff_max", platform.max_backoff, MILLISECOND, HOUR),
};

static const conf_key peers_keys[] = {
    TEXT_KEY("public_key", link.public_key),
    TEXT_KEY("secret_key", link.secret_key),
    COUNT_KEY("queue", link.queue_limit, 16, 1000000),
    TIME_KEY("heartbeat", link.heartbeat_interval, 100 * MILLISECOND, HOUR),
};

static const conf_key tickets_keys[] = {
    {.name = "key",
     .type = CONF_HEX,
     .offset = FIELD(node.tickets.key),
     .size = TKT_KEY_SIZE,
     .is_required = true},
    TIME_KEY("lifetime", node.tickets.lifetime, SECOND, 24 * HOUR),
    COUNT_KEY("count", node.tickets.max_tickets, 1, 10000000),
    SIZE_KEY("answers", node.tickets.max_total_answer_size, KIB, 64 * GIB),
    SIZE_KEY("answer", node.tickets.max_answer_size, 1, GIB),
};

static const conf_key limits_keys[] = {
    COUNT_KEY("connections", callers.max_open_connections, 1, 1000000),
    COUNT_KEY("requests", callers.max_active_requests, 1, 1000000),
    SIZE_KEY("memory", callers.max_memory_used, MIB, 1024 * GIB),
    SIZE_KEY("body", callers.max_request_body, KIB, GIB),
    SIZE_KEY("buffer", callers.max_unsent_response, 4 * KIB, 64 * MIB),
    SIZE_KEY("whole_answer", callers.max_whole_response, 0, 64 * MIB),
    SIZE_KEY("relayed_answer", callers.max_relayed_response, KIB, 64 * MIB),
    COUNT_KEY("ledger_lines", node.ledger_lines, 64, 10000000),
};

static const conf_key timeouts_keys[] = {
    TIME_KEY("request", callers.head_timeout, 100 * MILLISECOND, HOUR),
    TIME_KEY("caller_idle", callers.idle_timeout, 100 * MILLISECOND, HOUR),
    TIME_KEY("caller_stall", callers.stall_timeout, 100 * MILLISECOND, HOUR),
    TIME_KEY("drain", drain_timeout, SECOND, 24 * HOUR),
};

static const conf_key endpoints_keys[] = {
    TIME_KEY("connect", client.connect_timeout, MILLISECOND, HOUR),
    TIME_KEY("first_byte", client.first_byte_timeout, MILLISECOND, HOUR),
    TIME_KEY("idle", client.idle_timeout, MILLISECOND, HOUR),
    TIME_KEY("keep_alive", client.idle_connection_timeout, MILLISECOND, HOUR),
    COUNT_KEY("connections", client.max_pooled_connections, 1, 65536),
    TIME_KEY("load_interval", load_poll_interval, 10 * MILLISECOND, HOUR),
    COUNT_KEY("attempts", node.entry.max_attempts, 1, 100),
    COUNT_KEY("retry_percent", node.entry.retry_percent, 0, 100),
    TIME_KEY("rest", node.entry.backoff, MILLISECOND, HOUR),
    TIME_KEY("rest_max", node.entry.backoff_max, MILLISECOND, HOUR),
    COUNT_KEY("prefixes", node.entry.max_prefixes, 1, 10000000),
};

static const conf_key leases_keys[] = {
    TIME_KEY("ttl", node.dispatcher.lease_ttl, 50 * MILLISECOND, HOUR),
    TIME_KEY("margin", node.dispatcher.lease_margin, MILLISECOND, HOUR),
    TIME_KEY("report_interval", node.dispatcher.report_interval, MILLISECOND,
             HOUR),
    TIME_KEY("full_interval", node.entry.full_interval, MILLISECOND, HOUR),
    TIME_KEY("settle", node.dispatcher.settle_timeout, MILLISECOND, HOUR),
    TIME_KEY("short_interval", node.entry.short_interval, 1, SECOND),
    TIME_KEY("idle_interval", node.entry.idle_interval, MILLISECOND, HOUR),
    TIME_KEY("silence", node.entry.silence_timeout, MILLISECOND, HOUR),
};

static const conf_key membership_keys[] = {
    TIME_KEY("probe_interval", node.membership.probe_interval, MILLISECOND,
             HOUR),
    TIME_KEY("probe_timeout", node.membership.probe_timeout, MILLISECOND,
             HOUR),
    TIME_KEY("suspicion", node.membership.suspicion_timeout, MILLISECOND,
             HOUR),
    TIME_KEY("forget", node.membership.forget_timeout, SECOND, 24 * HOUR),
    COUNT_KEY("indirect_probes", node.membership.indirect_probes, 0, 16),
    COUNT_KEY("peers", node.membership.max_peers, 0, 4096),
    COUNT_KEY("rumours", node.membership.rumours_per_message, 1,
              SWIM_RUMOURS_MAX),
};

static const conf_key documents_keys[] = {
    TIME_KEY("fetch_timeout", node.documents.fetch_timeout, MILLISECOND, HOUR),
    TIME_KEY("start_wait", node.documents.start_wait, 0, HOUR),
};

static const conf_key placement_keys[] = {
    TIME_KEY("order_interval", node.placement.order_interval, MILLISECOND,
             HOUR),
    TIME_KEY("order_timeout", node.placement.order_timeout, MILLISECOND, HOUR),
    TIME_KEY("quiet", node.placement.quiet_period, 0, HOUR),
};

static const conf_key log_keys[] = {
    CHOICE_KEY("level", log.level, levels, false),
    TEXT_KEY("file", log.file),
};

static const conf_key mode_keys[] = {
    CHOICE_KEY("policy", node.entry.mode, policies, false),
    COUNT_KEY("instances", node.entry.assumed_instances, 1, 100000),
};

const conf_section set_sections[] = {
    SECTION("instance", instance_keys),
    SECTION("listen", listen_keys),
    SECTION("platform", platform_keys),
    SECTION("peers", peers_keys),
    SECTION("tickets", tickets_keys),
    SECTION("limits", limits_keys),
    SECTION("timeouts", timeouts_keys),
    SECTION("endpoints", endpoints_keys),
    SECTION("leases", leases_keys),
    SECTION("membership", membership_keys),
    SECTION("documents", documents_keys),
    SECTION("placement", placement_keys),
    SECTION("log", log_keys),
    SECTION("mode", mode_keys),
};

const uint32_t set_section_count =
    sizeof set_sections / sizeof set_sections[0];
