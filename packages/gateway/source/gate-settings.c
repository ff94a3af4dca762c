#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"

#define CONF_RECORD gate_settings
#include "lavender/config-keys.h"

#define EXAMPLE_PATH "etc/gateway.ini"

static const char *const admission_modes[] = {"model", "least-loaded", NULL};
static const char *const log_levels[] = {"error", "warning", "notice",
                                         "info",  "debug",   NULL};

static const conf_key instance_keys[] = {
    NAME_KEY("name", instance),
    NAME_KEY("zone", zone),
};

static const conf_key listen_keys[] = {
    ADDRESS_KEY("callers", caller_address, true),
    ADDRESS_KEY("readiness", readiness_address, true),
    ADDRESS_KEY("peer", peer_address, true),
    COUNT_KEY("connections", max_connections, 1, 1000000),
    DECIMAL_COUNT_KEY("descriptors", max_descriptors, 0, 10000000),
    DECIMAL_COUNT_KEY("memory_megabytes", memory_megabytes, 0, 1000000),
};

static const conf_key peers_keys[] = {
    TEXT_KEY("seeds", seeds),
    TIME_KEY("interval", peers.interval, 10 * MILLISECOND, SECOND),
    TIME_KEY("idle_interval", peers.idle_interval, 10 * MILLISECOND,
             10 * SECOND),
    TIME_KEY("full_interval", peers.full_interval, 100 * MILLISECOND,
             60 * SECOND),
    TIME_KEY("silence", peers.silence_timeout, 100 * MILLISECOND, 60 * SECOND),
};

static const conf_key store_keys[] = {
    ADDRESS_KEY("address", store_address, true),
    TIME_KEY("wait", store.watch_wait, 100 * MILLISECOND, 30 * SECOND),
    TIME_KEY("timeout", store.timeout, 10 * MILLISECOND, 60 * SECOND),
    TIME_KEY("backoff", store.backoff, MILLISECOND, 60 * SECOND),
    TIME_KEY("backoff_max", store.backoff_max, MILLISECOND, 60 * SECOND),
    TIME_KEY("config_pace", store.min_watch_interval[WIRE_CONFIG], 0,
             60 * SECOND),
    DECIMAL_TIME_KEY("lost_answer_bound", lost_answer_bound, 100 * MILLISECOND,
                     60 * SECOND),
    DECIMAL_TIME_KEY("leave_bound", leave_limit, 100 * MILLISECOND,
                     60 * SECOND),
    TIME_KEY("lapse_grace", expiry_grace, 0, 60 * SECOND),
    DECIMAL_TIME_KEY("history", store.history, 0, HOUR),
    DECIMAL_TIME_KEY("heartbeat", store.heartbeat, MILLISECOND, HOUR),
};

static const conf_key endpoints_keys[] = {
    TIME_KEY("connect", endpoint_connections.connect_timeout, MILLISECOND,
             60 * SECOND),
    TIME_KEY("silence", endpoint_connections.silence_timeout, MILLISECOND,
             HOUR),
    TIME_KEY("idle", endpoint_connections.max_idle, MILLISECOND, HOUR),
    TIME_KEY("idle_margin", endpoint_connections.idle_margin, 0, 60 * SECOND),
    TIME_KEY("fresh", endpoint_connections.max_idle_non_repeatable, 0,
             60 * SECOND),
    COUNT_KEY("idle_connections", endpoint_connections.max_idle_connections, 0,
              65536),
    COUNT_KEY("prefill_rate", prefill_rate, 1, 1000000),
    RATIO_KEY("cold_overshoot", cold_overshoot_thousandths, 10),
    DECIMAL_COUNT_KEY("cold_slack", cold_slack, 0, 1000000),
    COUNT_KEY("fetch_percent", fetch.max_transfer_percent, 0, 100),
    COUNT_KEY("learn_speed_slots", engine.learn_speed_slots, 0, 65536),
};

static const conf_key admission_keys[] = {
    CHOICE_KEY("mode", admission.mode, admission_modes, false),
    COUNT_KEY("wait_percent", admission.wait_percent, 1, 1000),
    COUNT_KEY("hold_percent", admission.queue_percent, 0, 1000),
    COUNT_KEY("read_cost_percent", admission.prefill_cost_percent, 0, 10000),
    COUNT_KEY("pause_tokens", admission.pause_tokens, 0, 100000000),
    TIME_KEY("retry_least", admission.min_retry_after, MILLISECOND,
             60 * SECOND),
    TIME_KEY("zone_crossing_cost", admission.locality.crossing_cost, 0,
             60 * SECOND),
    TIME_KEY("zone_delay", admission.locality.zone_delay, 0, SECOND),
    COUNT_KEY("zone_copy_uses", admission.locality.copy_uses, 0, 1000000),
    DECIMAL_TIME_KEY("quota_window", quota_window, 100 * MILLISECOND, HOUR),
};

static const conf_key budget_keys[] = {
    DECIMAL_TIME_KEY("window", budget.window, 100 * MILLISECOND, HOUR),
    RATIO_KEY("ratio", budget_thousandths, 10),
    DECIMAL_COUNT_KEY("slack", budget.slack, 0, 1000000),
};

static const conf_key shutdown_keys[] = {
    DECIMAL_TIME_KEY("grace", shutdown_grace, SECOND, 24 * HOUR),
    TIME_KEY("least", min_drain, 0, HOUR),
    TIME_KEY("reserve", drain_reserve, 0, HOUR),
};

static const conf_key log_keys[] = {
    CHOICE_KEY("level", log.level, log_levels, false),
    TEXT_KEY("file", log.file),
    COUNT_KEY("bytes_per_second", log.bytes_per_second, 0, 100000000),
};

static const conf_section sections[] = {
    SECTION("instance", instance_keys),
    SECTION("listen", listen_keys),
    SECTION("peers", peers_keys),
    SECTION("store", store_keys),
    SECTION("endpoints", endpoints_keys),
    SECTION("admission", admission_keys),
    SECTION("budget", budget_keys),
    SECTION("shutdown", shutdown_keys),
    SECTION("log", log_keys),
};

static void
default_peers(peers_settings *peers)
{
    /* Updates reach all instances within a part of the shortest latency
     * target. */
    peers->interval = 40 * LV_MILLISECOND;
    peers->idle_interval = 200 * LV_MILLISECOND;
    peers->full_interval = LV_SECOND;
    /* Five heartbeats, since datagrams may be lost. */
    peers->silence_timeout = LV_SECOND;
    peers->forget_timeout = 30 * LV_SECOND;
    peers->seed_interval = 500 * LV_MILLISECOND;
}

static void
default_store(store_settings *store)
{
    /* A silent store is detected when a watch does not end in time: half of
     * the instances detect it within some seconds. gate-reader.c limits the
     * wait by the bound for lost answers. */
    store->watch_wait = 3 * LV_SECOND;
    store->timeout = 500 * LV_MILLISECOND;
    store->backoff = 100 * LV_MILLISECOND;
    store->backoff_max = 800 * LV_MILLISECOND;
    store->min_watch_interval[WIRE_CONFIG] = 100 * LV_MILLISECOND;
    store->min_watch_interval[WIRE_ENDPOINTS] = 500 * LV_MILLISECOND;
    store->heartbeat = 1200 * LV_MILLISECOND;
}

static void
default_endpoint_connections(back_settings *back)
{
    /* Several round trips between zones, but shorter than the first
     * retransmission of a lost packet, which takes 1 s. */
    back->connect_timeout = 300 * LV_MILLISECOND;
    back->silence_timeout = 2 * LV_SECOND;
    back->max_idle = 4 * LV_SECOND;
    back->idle_margin = LV_SECOND;
    back->max_idle_non_repeatable = 500 * LV_MILLISECOND;
    back->max_idle_connections = 16;
}

void
gate_default_settings(gate_settings *settings)
{
    memset(settings, 0, sizeof *settings);
    default_peers(&settings->peers);
    default_store(&settings->store);
    default_endpoint_connections(&settings->endpoint_connections);
    eng_default_settings(&settings->engine);
    adm_default_settings(&settings->admission);
    fch_default_settings(&settings->fetch);
    settings->prefill_rate = (uint32_t)settings->engine.prefill_tokens_per_ms;
    settings->cold_overshoot_thousandths = 1500;
    settings->cold_slack = 5;
    settings->lost_answer_bound = 3 * LV_SECOND;
    settings->leave_limit = 2 * LV_SECOND;
    settings->expiry_grace = 2200 * LV_MILLISECOND;
    settings->budget.window = 10 * LV_SECOND;
    settings->budget.slack = 50;
    settings->budget_thousandths = 200;
    settings->quota_window = 4 * LV_SECOND;
    settings->max_connections = 6000;
    settings->shutdown_grace = 8 * LV_SECOND;
    /* The platform removes an instance after two probes, 1 s apart. */
    settings->min_drain = 3 * LV_SECOND;
    settings->drain_reserve = 400 * LV_MILLISECOND;
    settings->log.level = LOG_LEVEL_INFO;
    /* Enough for the start and end lines of about 60 requests. */
    settings->log.bytes_per_second = 48 * 1024;
}

#define SEED_SEPARATORS ", \t"

bool
gate_parse_seeds(const char *text, struct sockaddr_in *seeds, uint32_t *count,
                 err_error *error)
{
    char address[LV_ADDRESS_SIZE];

    *count = 0;
    text += strspn(text, SEED_SEPARATORS);
    while (*text != '\0') {
        size_t size = strcspn(text, SEED_SEPARATORS);

        if (size >= sizeof address || *count == PEERS_SEEDS_MAX) {
            return err_set(error, ERR_LIMIT,
                           "list at most 8 addresses as IP:PORT",
                           "[peers] seeds has more than 8 addresses or one "
                           "that is too long");
        }
        memcpy(address, text, size);
        address[size] = '\0';
        if (!io_parse_address(address, &seeds[*count], error)) {
            return false;
        }
        (*count)++;
        text += size;
        text += strspn(text, SEED_SEPARATORS);
    }
    return true;
}

/* Less would refuse single requests of the largest size. */
#define MIN_MEMORY_MEGABYTES 32

static void
check_memory(const gate_settings *settings, const char *name, err_list *errors)
{
    if (settings->memory_megabytes > 0 &&
        settings->memory_megabytes < MIN_MEMORY_MEGABYTES) {
        err_list_add(errors, name, 0, ERR_BAD_VALUE,
                     "write 32 or more, or 0 for the default",
                     "[listen] memory_megabytes is %u",
                     settings->memory_megabytes);
    }
}

static void
check_consistency(const gate_settings *settings, const char *name,
                  err_list *errors)
{
    struct sockaddr_in seeds[PEERS_SEEDS_MAX];
    err_error error;
    uint32_t count;

    check_memory(settings, name, errors);
    err_clear(&error);
    if (!gate_parse_seeds(settings->seeds, seeds, &count, &error)) {
        err_list_add(errors, name, 0, error.kind, error.remedy, "%s",
                     error.message);
    }
    if (settings->min_drain + settings->drain_reserve >=
        settings->shutdown_grace) {
        err_list_add(errors, name, 0, ERR_CONFLICT,
                     "make [shutdown] grace longer than least and reserve "
                     "together",
                     "[shutdown] grace leaves no time to finish requests");
    }
    if (settings->peers.silence_timeout <= settings->peers.idle_interval) {
        err_list_add(errors, name, 0, ERR_CONFLICT,
                     "make [peers] silence several times idle_interval",
                     "[peers] silence is too short: peers would expire "
                     "between two heartbeats");
    }
}

/* Descriptors that callers do not get: for files and for connections to
 * endpoints. */
#define RESERVED_DESCRIPTORS 1200

static void
limit_connections(gate_settings *settings)
{
    uint32_t available = settings->max_descriptors > RESERVED_DESCRIPTORS
                             ? settings->max_descriptors - RESERVED_DESCRIPTORS
                             : settings->max_descriptors / 2;

    if (settings->max_descriptors > 0 &&
        settings->max_connections > available) {
        settings->max_connections = available;
    }
}

bool
gate_read_settings_text(gate_settings *settings, const char *name,
                        const char *text, err_list *errors)
{
    size_t count_before = errors->count;

    gate_default_settings(settings);
    conf_read_record(settings, sections, sizeof sections / sizeof sections[0],
                     EXAMPLE_PATH, name, text, errors);
    check_consistency(settings, name, errors);
    limit_connections(settings);
    settings->budget.ratio = settings->budget_thousandths / 1000.0;
    settings->engine.prefill_tokens_per_ms = settings->prefill_rate;
    settings->log.writes_to_stdout = settings->log.file[0] == '\0';
    lv_shorten_name(settings->log.instance, sizeof settings->log.instance,
                    settings->instance);
    return errors->count == count_before;
}

bool
gate_read_settings(gate_settings *settings, const char *path, err_list *errors)
{
    char *text = conf_load_file(path, errors);
    bool is_read;

    if (text == NULL) {
        return false;
    }
    is_read = gate_read_settings_text(settings, path, text, errors);
    free(text);
    return is_read;
}

void
gate_for_each_key(gate_key_visitor *visit, void *context)
{
    size_t i;
    uint32_t k;

    for (i = 0; i < sizeof sections / sizeof sections[0]; i++) {
        for (k = 0; k < sections[i].key_count; k++) {
            visit(context, sections[i].type, sections[i].keys[k].name);
        }
    }
}
