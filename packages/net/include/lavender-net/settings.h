/*
 * The daemon's settings, read from one INI file at start. All errors of the
 * file are reported, each with its line, the value found and a remedy.
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
    SET_SOURCE_FILE     /* files in a directory */
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
    lv_time ledger_window;      /* length of one ledger window */
    lv_time drain_timeout; /* the process exits when a drain takes longer */
} set_settings;

/* Set every key that has a default to it, and all others to zero. */
void set_default(set_settings *settings);

/* Read the settings from a file, or from a text that messages call `name`, on
 * top of the defaults. Returns false when there was an error. All errors are
 * added to the list. */
bool set_read_file(set_settings *settings, const char *path, err_list *errors);
bool set_read_text(set_settings *settings, const char *name, const char *text,
                   err_list *errors);

/* Call visit for every key, in the order of the sections. Used to test that
 * every key is documented. */
typedef void set_key_visitor(void *context, const char *section,
                             const char *key);
void set_for_each_key(set_key_visitor *visit, void *context);

#endif
