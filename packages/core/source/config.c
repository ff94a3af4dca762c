#include "lavender/config.h"

#include <ini.h>
#include <stdio.h>
#include <string.h>

#include "lavender/value.h"

#define MAX_LINE_SIZE 200
#define SECTION_NONE UINT32_MAX

typedef struct text_cursor {
    conf_reader *reader;
    const char *next;
    const char *end;
    int line;
    bool expects_key;   /* inih must find a key in the current line */
    bool skips_section; /* the section is unknown, invalid or skipped */
    uint32_t section;
    int section_line;
    void *record;
    uint64_t seen;
} text_cursor;

static void
report_error(const conf_reader *reader, int line, err_kind kind,
             const char *remedy, const char *message)
{
    err_list_add(reader->errors, reader->file, line, kind, remedy, "%s",
                 message);
}

static void
check_required_keys(const text_cursor *cursor, const conf_section *section)
{
    for (uint32_t i = 0; i < section->key_count; i++) {
        const conf_key *key = &section->keys[i];

        if (key->is_required && (cursor->seen >> i & 1) == 0) {
            err_list_add(cursor->reader->errors, cursor->reader->file,
                         cursor->section_line, ERR_BAD_VALUE,
                         "add the line to the section",
                         "[%s] lacks the required key \"%s\"", section->type,
                         key->name);
        }
    }
}

static void
close_section(text_cursor *cursor)
{
    conf_reader *reader = cursor->reader;

    if (cursor->section == SECTION_NONE || cursor->skips_section) {
        return;
    }
    check_required_keys(cursor, &reader->sections[cursor->section]);
    reader->ops->close_section(reader, cursor->section, cursor->record,
                               cursor->section_line, cursor->seen);
}

static uint32_t
find_section(const conf_reader *reader, const char *word)
{
    for (uint32_t i = 0; i < reader->section_count; i++) {
        if (strcmp(reader->sections[i].type, word) == 0) {
            return i;
        }
    }
    return SECTION_NONE;
}

static void
report_unknown_section(const conf_reader *reader, int line, const char *word)
{
    char remedy[ERR_REMEDY_SIZE] = "write one of";

    for (uint32_t i = 0; i < reader->section_count; i++) {
        size_t used = strlen(remedy);

        snprintf(remedy + used, sizeof remedy - used, " [%s%s]",
                 reader->sections[i].type,
                 reader->sections[i].has_name ? " NAME" : "");
    }
    err_list_add(reader->errors, reader->file, line, ERR_UNKNOWN_NAME, remedy,
                 "unknown section [%.80s]", word);
}

/* Handles a section header; `header` is the text between the brackets and is
 * split in place. */
static void
open_section(text_cursor *cursor, char *header)
{
    conf_reader *reader = cursor->reader;
    char *name = strchr(header, ' ');

    close_section(cursor);
    cursor->seen = 0;
    cursor->skips_section = true;
    cursor->section_line = cursor->line;
    if (name != NULL) {
        *name++ = '\0';
    }
    cursor->section = find_section(reader, header);
    if (cursor->section == SECTION_NONE) {
        report_unknown_section(reader, cursor->line, header);
        return;
    }
    if (reader->sections[cursor->section].has_name != (name != NULL)) {
        err_list_add(reader->errors, reader->file, cursor->line, ERR_SYNTAX,
                     name == NULL ? "write [TYPE NAME]" : "write [TYPE] alone",
                     "section [%s] %s", header,
                     name == NULL ? "needs a name" : "takes no name");
        return;
    }
    cursor->record = reader->ops->open_section(
        reader, cursor->section, name == NULL ? "" : name, cursor->line);
    cursor->skips_section = cursor->record == NULL;
}

static char *
key_field(const text_cursor *cursor, const conf_key *key)
{
    return (char *)cursor->record + key->offset;
}

static bool
store_number(const conf_key *key, const char *value, void *field,
             err_error *error)
{
    uint64_t number = 0;
    bool is_valid = true;

    if (key->zero_keyword != NULL && strcmp(value, key->zero_keyword) == 0) {
        number = 0;
    }
    else if (key->type == CONF_TIME) {
        is_valid = (key->takes_fraction ? val_parse_decimal_duration
                                        : val_parse_duration)(
            value, key->min, key->max, &number, error);
    }
    else if (key->type == CONF_RATIO) {
        is_valid = val_parse_thousandths(value, key->max, &number, error);
    }
    else if (key->type == CONF_SIZE) {
        is_valid = val_parse_size(value, key->min, key->max, &number, error);
    }
    else {
        is_valid =
            (key->takes_fraction ? val_parse_decimal_uint : val_parse_uint)(
                value, key->min, key->max, &number, error);
    }
    if (is_valid && (key->type == CONF_COUNT32 || key->type == CONF_RATIO)) {
        *(uint32_t *)field = (uint32_t)number;
    }
    else if (is_valid) {
        *(uint64_t *)field = number;
    }
    return is_valid;
}

static bool
store_text(const conf_key *key, const char *value, char *field,
           err_error *error)
{
    size_t size = key->size;

    if (key->type == CONF_NAME) {
        size = size != 0 ? size : LV_NAME_SIZE;
        if (!val_check_sized_name(value, size, error)) {
            return false;
        }
    }
    if (key->type == CONF_ADDRESS) {
        size = LV_ADDRESS_SIZE;
        if (!val_check_address(value, error)) {
            return false;
        }
    }
    if (!lv_copy_name(field, size, value)) {
        return err_set(error, ERR_BAD_VALUE, "write a shorter text",
                       "the text has %zu characters, the maximum is %zu",
                       strlen(value), size - 1);
    }
    return true;
}

static bool
store_value(const text_cursor *cursor, const conf_key *key, const char *value,
            err_error *error)
{
    char *field = key_field(cursor, key);

    switch (key->type) {
    case CONF_BOOL:
        return val_parse_bool(value, (bool *)field, error);
    case CONF_CHOICE:
        return val_parse_choice(value, key->choices, (uint32_t *)field, error);
    case CONF_HEX:
        return val_parse_hex(value, (uint8_t *)field, key->size, error);
    case CONF_TEXT:
    case CONF_NAME:
    case CONF_ADDRESS:
        return store_text(key, value, field, error);
    case CONF_COUNT32:
    case CONF_COUNT64:
    case CONF_TIME:
    case CONF_SIZE:
    case CONF_RATIO:
        return store_number(key, value, field, error);
    }
    return false;
}

static void
report_unknown_key(const text_cursor *cursor, const conf_section *section,
                   const char *name)
{
    char remedy[ERR_REMEDY_SIZE] = "write one of:";

    for (uint32_t i = 0; i < section->key_count; i++) {
        size_t used = strlen(remedy);

        snprintf(remedy + used, sizeof remedy - used, "%s %s",
                 i > 0 ? "," : "", section->keys[i].name);
    }
    err_list_add(cursor->reader->errors, cursor->reader->file, cursor->line,
                 ERR_UNKNOWN_NAME, remedy, "[%s] has no key \"%.80s\"",
                 section->type, name);
}

static void
store_key(text_cursor *cursor, const char *name, const char *value)
{
    conf_reader *reader = cursor->reader;
    const conf_section *section = &reader->sections[cursor->section];
    err_error error;
    uint32_t i = 0;

    if (section->keys == NULL) {
        reader->ops->read_key(reader, cursor->section, name, value,
                              cursor->line);
        return;
    }
    while (i < section->key_count &&
           strcmp(section->keys[i].name, name) != 0) {
        i++;
    }
    if (i == section->key_count) {
        report_unknown_key(cursor, section, name);
        return;
    }
    if ((cursor->seen >> i & 1) != 0) {
        err_list_add(reader->errors, reader->file, cursor->line, ERR_CONFLICT,
                     "keep one of the lines", "\"%s\" is given twice", name);
        return;
    }
    cursor->seen |= UINT64_C(1) << i;
    if (!store_value(cursor, &section->keys[i], value, &error)) {
        err_list_add(reader->errors, reader->file, cursor->line, error.kind,
                     error.remedy, "%s: %s", name, error.message);
    }
}

/* Called by inih for each key and its value. `section` is unused: inih never
 * sees the headers. */
static int
on_key(void *user, const char *section, const char *name, const char *value)
{
    text_cursor *cursor = user;

    (void)section;
    cursor->expects_key = false;
    if (cursor->section == SECTION_NONE && cursor->section_line == 0) {
        report_error(cursor->reader, cursor->line, ERR_SYNTAX,
                     "put the line under a [section]",
                     "a key before the first section");
        return 1;
    }
    if (!cursor->skips_section) {
        store_key(cursor, name, value);
    }
    return 1;
}

static void
parse_header(text_cursor *cursor, const char *line, size_t size)
{
    const char *end = memchr(line, ']', size);
    char header[MAX_LINE_SIZE];
    size_t length;

    if (end == NULL || end == line + 1) {
        report_error(cursor->reader, cursor->line, ERR_SYNTAX,
                     "write [TYPE] or [TYPE NAME]",
                     "a section header that is empty or without its end ']'");
        return;
    }
    length = (size_t)(end - line) - 1;
    memcpy(header, line + 1, length);
    header[length] = '\0';
    open_section(cursor, header);
}

static bool
is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/* Filters a line before inih parses it; returns false if inih must not see it.
 * Section headers are handled here, because inih truncates them to 49
 * characters. */
static bool
check_line(text_cursor *cursor, const char *line, size_t size, size_t capacity)
{
    size_t start = 0;

    if (memchr(line, '\0', size) != NULL) {
        report_error(cursor->reader, cursor->line, ERR_SYNTAX,
                     "write plain text", "the line contains a zero byte");
        return false;
    }
    if (size + 2 > capacity || size + 2 > MAX_LINE_SIZE) {
        err_list_add(cursor->reader->errors, cursor->reader->file,
                     cursor->line, ERR_SYNTAX, "write a shorter line",
                     "the line has %zu characters, the maximum is %zu", size,
                     capacity - 2);
        return false;
    }
    while (start < size && is_space(line[start])) {
        start++;
    }
    if (start == size || line[start] == ';' || line[start] == '#') {
        return false;
    }
    if (line[start] == '[') {
        parse_header(cursor, line + start, size - start);
        return false;
    }
    cursor->expects_key = true;
    return true;
}

static void
check_previous_line(const text_cursor *cursor)
{
    if (cursor->expects_key) {
        report_error(cursor->reader, cursor->line, ERR_SYNTAX,
                     "write KEY = VALUE, or ; before a comment",
                     "a line without '='");
    }
}

/* Passes one line to inih, in the manner of fgets. A line that inih must not
 * see is passed as an empty one. */
static char *
next_line(char *to, int capacity, void *stream)
{
    text_cursor *cursor = stream;
    const char *line = cursor->next;
    const char *newline;
    size_t size;

    check_previous_line(cursor);
    cursor->expects_key = false;
    if (line == cursor->end) {
        return NULL;
    }
    newline = memchr(line, '\n', (size_t)(cursor->end - line));
    size = (size_t)((newline == NULL ? cursor->end : newline) - line);
    cursor->next = newline == NULL ? cursor->end : newline + 1;
    cursor->line++;
    if (!check_line(cursor, line, size, (size_t)capacity)) {
        size = 0;
    }
    memcpy(to, line, size);
    to[size] = '\n';
    to[size + 1] = '\0';
    return to;
}

void
conf_read(conf_reader *reader, const char *file, const char *text, size_t size)
{
    text_cursor cursor = {
        .reader = reader,
        .next = text,
        .end = text + size,
        .section = SECTION_NONE,
    };
    bool allow_multiline = ini_allow_multiline;

    reader->file = file;
    if (size == 0) {
        report_error(reader, 0, ERR_SYNTAX, "write the required sections",
                     "the text is empty");
        return;
    }
    ini_allow_multiline = false;
    ini_parse_stream(next_line, &cursor, on_key, &cursor);
    ini_allow_multiline = allow_multiline;
    close_section(&cursor);
}
