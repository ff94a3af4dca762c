#include "lavender/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const kind_names[] = {
    [ERR_NONE] = "none",
    [ERR_SYNTAX] = "syntax",
    [ERR_UNKNOWN_NAME] = "unknown-name",
    [ERR_BAD_VALUE] = "bad-value",
    [ERR_CONFLICT] = "conflict",
    [ERR_STALE] = "stale",
    [ERR_LIMIT] = "limit",
    [ERR_UNAVAILABLE] = "unavailable",
    [ERR_MEMORY] = "memory",
    [ERR_SYSTEM] = "system",
};

static void
set_texts(err_error *error, err_kind kind, const char *remedy,
          const char *format, va_list arguments)
{
    error->kind = kind;
    vsnprintf(error->message, sizeof error->message, format, arguments);
    snprintf(error->remedy, sizeof error->remedy, "%s", remedy);
}

bool
err_set(err_error *error, err_kind kind, const char *remedy,
        const char *format, ...)
{
    va_list arguments;

    if (error == NULL) {
        return false;
    }
    va_start(arguments, format);
    set_texts(error, kind, remedy, format, arguments);
    va_end(arguments);
    return false;
}

void
err_clear(err_error *error)
{
    memset(error, 0, sizeof *error);
}

const char *
err_kind_name(err_kind kind)
{
    if ((size_t)kind >= sizeof kind_names / sizeof kind_names[0]) {
        return "unknown";
    }
    return kind_names[kind];
}

void
err_list_init(err_list *list)
{
    list->count = 0;
}

void
err_list_add(err_list *list, const char *file, int line, err_kind kind,
             const char *remedy, const char *format, ...)
{
    va_list arguments;
    err_item *item;

    if (list->count++ >= ERR_LIST_SIZE) {
        return;
    }
    item = &list->items[list->count - 1];
    snprintf(item->file, sizeof item->file, "%s", file);
    item->line = line;
    va_start(arguments, format);
    set_texts(&item->error, kind, remedy, format, arguments);
    va_end(arguments);
}

void
err_item_format(const err_item *item, char *text, size_t size)
{
    char location[160];

    if (item->line > 0) {
        snprintf(location, sizeof location, "%s:%d", item->file, item->line);
    }
    else {
        snprintf(location, sizeof location, "%s", item->file);
    }
    snprintf(text, size, "%s: %s: %s; %s", location,
             err_kind_name(item->error.kind), item->error.message,
             item->error.remedy);
}
