#include <stdlib.h>
#include <string.h>

#include "settings-imp.h"

void
set_default(set_settings *settings)
{
    memset(settings, 0, sizeof *settings);
    node_default_settings(&settings->node);
    settings->platform.max_watch_wait = 30 * LV_SECOND;
    settings->platform.request_timeout = 2 * LV_SECOND;
    settings->platform.initial_backoff = 200 * LV_MILLISECOND;
    settings->platform.max_backoff = 10 * LV_SECOND;
    settings->link.queue_limit = 10000;
    settings->link.heartbeat_interval = 2 * LV_SECOND;
    settings->callers.max_open_connections = 800;
    settings->callers.max_active_requests = 20000;
    settings->callers.max_memory_used = (uint64_t)256 * 1024 * 1024;
    settings->callers.max_request_body = (uint64_t)4 * 1024 * 1024;
    settings->callers.max_unsent_response = (uint64_t)64 * 1024;
    settings->callers.max_whole_response = (uint64_t)256 * 1024;
    settings->callers.max_relayed_response = (uint64_t)1024 * 1024;
    settings->callers.head_timeout = 10 * LV_SECOND;
    settings->callers.idle_timeout = 60 * LV_SECOND;
    settings->callers.stall_timeout = 60 * LV_SECOND;
    settings->client.connect_timeout = 1 * LV_SECOND;
    settings->client.first_byte_timeout = 120 * LV_SECOND;
    settings->client.idle_timeout = 30 * LV_SECOND;
    settings->client.idle_connection_timeout = 8 * LV_SECOND;
    settings->client.max_pooled_connections = 256;
    settings->load_poll_interval = 250 * LV_MILLISECOND;
    settings->drain_timeout = 300 * LV_SECOND;
    settings->log.level = LOG_LEVEL_INFO;
}

static void
set_derived_settings(set_settings *settings)
{
    settings->node.self = lv_hash_name(settings->instance);
    settings->node.entry.max_requests = settings->callers.max_active_requests;
    settings->node.entry.report_interval =
        settings->node.dispatcher.report_interval;
    settings->link.self = settings->node.self;
    settings->link.use_curve = settings->link.public_key[0] != '\0';
    settings->ledger_window = NODE_LEDGER_WINDOW;
    lv_copy_name(settings->log.instance, sizeof settings->log.instance,
                 settings->instance);
}

bool
set_read_text(set_settings *settings, const char *name, const char *text,
              err_list *errors)
{
    size_t previous_count = errors->count;

    set_default(settings);
    conf_read_record(settings, set_sections, set_section_count,
                     "etc/lavenderd.ini", name, text, errors);
    set_validate(settings, name, errors);
    set_derived_settings(settings);
    return errors->count == previous_count;
}

bool
set_read_file(set_settings *settings, const char *path, err_list *errors)
{
    char *text = conf_load_file(path, errors);
    bool is_read;

    if (text == NULL) {
        return false;
    }
    is_read = set_read_text(settings, path, text, errors);
    free(text);
    return is_read;
}

void
set_for_each_key(set_key_visitor *visit, void *context)
{
    uint32_t i, j;

    for (i = 0; i < set_section_count; i++) {
        for (j = 0; j < set_sections[i].key_count; j++) {
            visit(context, set_sections[i].type, set_sections[i].keys[j].name);
        }
    }
}
