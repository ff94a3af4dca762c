#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings-imp.h"

#define FILE_SIZE_MAX ((size_t)1024 * 1024)
#define SECTIONS_MAX 32

typedef struct set_reader {
    conf_reader super;
    set_settings *settings;
    bool is_seen[SECTIONS_MAX];
} set_reader;

void
set_default(set_settings *settings)
{
    memset(settings, 0, sizeof *settings);
    node_default_settings(&settings->node);
    settings->platform.watch = 30 * LV_SECOND;
    settings->platform.timeout = 2 * LV_SECOND;
    settings->platform.backoff = 200 * LV_MILLISECOND;
    settings->platform.backoff_max = 10 * LV_SECOND;
    settings->link.queue = 10000;
    settings->link.heartbeat = 2 * LV_SECOND;
    settings->callers.connections = 800;
    settings->callers.requests = 20000;
    settings->callers.memory = (uint64_t)256 * 1024 * 1024;
    settings->callers.body = (uint64_t)4 * 1024 * 1024;
    settings->callers.buffer = (uint64_t)64 * 1024;
    settings->callers.whole_answer = (uint64_t)256 * 1024;
    settings->callers.relayed_answer = (uint64_t)1024 * 1024;
    settings->callers.head_timeout = 10 * LV_SECOND;
    settings->callers.idle_timeout = 60 * LV_SECOND;
    settings->callers.stall_timeout = 60 * LV_SECOND;
    settings->client.connect_timeout = 1 * LV_SECOND;
    settings->client.first_byte_timeout = 120 * LV_SECOND;
    settings->client.idle_timeout = 30 * LV_SECOND;
    settings->client.keep_alive = 8 * LV_SECOND;
    settings->client.connections = 256;
    settings->load_interval = 250 * LV_MILLISECOND;
    settings->drain_timeout = 300 * LV_SECOND;
    settings->log.level = LOG_LEVEL_INFO;
}

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    set_reader *self = (set_reader *)reader;

    (void)name;
    if (self->is_seen[section]) {
        err_list_add(reader->errors, reader->file, line, ERR_CONFLICT,
                     "write all keys of a section in one place",
                     "section [%s] is there twice",
                     reader->sections[section].word);
        return NULL;
    }
    self->is_seen[section] = true;
    return self->settings;
}

static void
close_section(conf_reader *reader, uint32_t section, void *record, int line,
              uint64_t seen)
{
    (void)reader;
    (void)section;
    (void)record;
    (void)line;
    (void)seen;
}

static bool
needs_section(const conf_section *section)
{
    uint32_t i;

    for (i = 0; i < section->key_count; i++) {
        if (section->keys[i].is_required) {
            return true;
        }
    }
    return false;
}

static void
check_sections(set_reader *reader)
{
    uint32_t i;

    for (i = 0; i < set_section_count; i++) {
        if (!reader->is_seen[i] && needs_section(&set_sections[i])) {
            err_list_add(reader->super.errors, reader->super.file, 0,
                         ERR_SYNTAX,
                         "add the section: etc/lavenderd.ini "
                         "shows it",
                         "section [%s] is missing", set_sections[i].word);
        }
    }
}

static void
fill_in(set_settings *settings)
{
    settings->node.self = lv_hash_name(settings->instance);
    settings->node.entry.max_requests = settings->callers.requests;
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
    static const conf_reader_ops ops = {.open_section = open_section,
                                        .close_section = close_section};
    size_t before = errors->count;
    set_reader reader = {.super = {.ops = &ops,
                                   .sections = set_sections,
                                   .section_count = set_section_count,
                                   .errors = errors,
                                   .file = name},
                         .settings = settings};

    set_default(settings);
    conf_read(&reader.super, name, text, strlen(text));
    reader.super.file = name;
    check_sections(&reader);
    set_check(settings, name, errors);
    fill_in(settings);
    return errors->count == before;
}

static char *
read_all(const char *path, err_list *errors)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t size;

    if (file == NULL) {
        err_list_add(errors, path, 0, ERR_SYSTEM,
                     "name a settings file that this user may read",
                     "the file can not be opened: %s", strerror(errno));
        return NULL;
    }
    text = malloc(FILE_SIZE_MAX + 1);
    if (text == NULL) {
        err_list_add(errors, path, 0, ERR_MEMORY,
                     "give the process more memory", "no memory");
        goto finish;
    }
    size = fread(text, 1, FILE_SIZE_MAX + 1, file);
    if (ferror(file) || size > FILE_SIZE_MAX ||
        memchr(text, '\0', size) != NULL) {
        err_list_add(errors, path, 0, ERR_SYNTAX,
                     "write an INI text of at most 1 MiB",
                     "the file is no settings file");
        free(text);
        text = NULL;
        goto finish;
    }
    text[size] = '\0';
finish:
    fclose(file);
    return text;
}

bool
set_read_file(set_settings *settings, const char *path, err_list *errors)
{
    char *text = read_all(path, errors);
    bool is_read;

    if (text == NULL) {
        return false;
    }
    is_read = set_read_text(settings, path, text, errors);
    free(text);
    return is_read;
}

void
set_each_key(set_visit *visit, void *context)
{
    uint32_t i, j;

    for (i = 0; i < set_section_count; i++) {
        for (j = 0; j < set_sections[i].key_count; j++) {
            visit(context, set_sections[i].word, set_sections[i].keys[j].name);
        }
    }
}
