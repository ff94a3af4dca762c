/*
 * The daemon's settings: one INI file, checked whole at start. Every error
 * is reported with its line, what was found and what to write.
 *
 * etc/lavenderd.ini documents every key.
 */
#ifndef LAVENDER_NET_SETTINGS_H
#define LAVENDER_NET_SETTINGS_H

#include "lavender-net/callers.h"
#include "lavender-net/link.h"
#include "lavender-net/log.h"
#include "lavender-net/operator.h"
#include "lavender-net/platform.h"

typedef enum set_source {
    SET_SOURCE_SERVICE, /* the platform's configuration service */
    SET_SOURCE_FILE     /* files of a folder */
} set_source;

typedef struct set_settings {
    char instance[LV_NAME_SIZE];
    char zone[LV_NAME_SIZE];
    set_source source;
    plat_settings platform;
    link_settings link;
    node_settings node;
    call_settings callers;
    client_settings client;
    oper_settings operator_listener;
    log_settings log;
    lv_time load_poll_interval; /* between two polls of an endpoint's load */
    lv_time ledger_window;      /* length of a window of the ledger */
    lv_time drain_timeout; /* a drain that takes longer ends the process */
} set_settings;

/* Every default, and nothing that has none. */
void set_default(set_settings *settings);

/* Read a file, or a text with the name to give in messages; false when there
 * was an error. All errors are added to the list. */
bool set_read_file(set_settings *settings, const char *path, err_list *errors);
bool set_read_text(set_settings *settings, const char *name, const char *text,
                   err_list *errors);

/* Visit every key: for the documentation's tests and for --help. */
typedef void set_key_visitor(void *context, const char *section,
                             const char *key);
void set_for_each_key(set_key_visitor *visit, void *context);

#endif
