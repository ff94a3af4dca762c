#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/config.h"

#define FILE_SIZE_MAX ((size_t)1024 * 1024)
#define SECTIONS_MAX 32

typedef struct record_reader {
    conf_reader super;
    void *record;
    bool is_seen[SECTIONS_MAX];
} record_reader;

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    record_reader *self = (record_reader *)reader;

    (void)name;
    if (self->is_seen[section]) {
        err_list_add(reader->errors, reader->file, line, ERR_CONFLICT,
                     "write all keys of a section in one place",
                     "section [%s] is there twice",
                     reader->sections[section].type);
        return NULL;
    }
    self->is_seen[section] = true;
    return self->record;
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
check_sections(const record_reader *reader, const char *example)
{
    const conf_reader *super = &reader->super;
    uint32_t i;

    for (i = 0; i < super->section_count; i++) {
        if (!reader->is_seen[i] && needs_section(&super->sections[i])) {
            char remedy[ERR_REMEDY_SIZE];

            snprintf(remedy, sizeof remedy, "add the section: %s shows it",
                     example);
            err_list_add(super->errors, super->file, 0, ERR_SYNTAX, remedy,
                         "section [%s] is missing", super->sections[i].type);
        }
    }
}

bool
conf_read_record(void *record, const conf_section *sections,
                 uint32_t section_count, const char *example, const char *file,
                 const char *text, err_list *errors)
{
    static const conf_reader_ops ops = {.open_section = open_section,
                                        .close_section = close_section};
    size_t before = errors->count;
    record_reader reader = {.super = {.ops = &ops,
                                      .sections = sections,
                                      .section_count = section_count,
                                      .errors = errors,
                                      .file = file},
                            .record = record};

    conf_read(&reader.super, file, text, strlen(text));
    reader.super.file = file;
    check_sections(&reader, example);
    return errors->count == before;
}

char *
conf_load_file(const char *path, err_list *errors)
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
