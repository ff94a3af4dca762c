/*
 * Typed errors. The message says what was found; the remedy says what to do.
 */
#ifndef LAVENDER_ERROR_H
#define LAVENDER_ERROR_H

#include <stdbool.h>
#include <stddef.h>

typedef enum err_kind {
    ERR_NONE = 0,
    ERR_SYNTAX,       /* a text does not follow its format */
    ERR_UNKNOWN_NAME, /* a section, key, account, pool ... is not known */
    ERR_BAD_VALUE,    /* a value is not of its kind or out of range */
    ERR_CONFLICT,     /* two values can not hold together */
    ERR_STALE,        /* older than what is in force */
    ERR_LIMIT,        /* a bound of size or count is reached */
    ERR_FOREIGN,      /* not from a known sender or not for this receiver */
    ERR_UNAVAILABLE,  /* a peer, endpoint or service does not answer */
    ERR_MEMORY,       /* memory could not be had */
    ERR_SYSTEM        /* a system call or a library failed */
} err_kind;

#define ERR_MESSAGE_SIZE 256
#define ERR_REMEDY_SIZE 192

typedef struct err_error {
    err_kind kind;
    char message[ERR_MESSAGE_SIZE];
    char remedy[ERR_REMEDY_SIZE];
} err_error;

/* Fill in an error; error may be NULL. Always returns false, so that callers
 * can write `return err_set(...)`. */
bool err_set(err_error *error, err_kind kind, const char *remedy,
             const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Set an error to "no error". */
void err_clear(err_error *error);

/* A stable short word for a kind, such as "bad-value". */
const char *err_kind_name(err_kind kind);

/* A collection of errors of one check, so that all are reported at once. */
#define ERR_LIST_SIZE 32

typedef struct err_item {
    char file[128];
    int line; /* 0 when the error belongs to no line */
    err_error error;
} err_item;

typedef struct err_list {
    size_t count; /* all errors found, also those that were not kept */
    err_item items[ERR_LIST_SIZE];
} err_list;

void err_list_init(err_list *list);

/* Add one error with its place. */
void err_list_add(err_list *list, const char *file, int line, err_kind kind,
                  const char *remedy, const char *format, ...)
    __attribute__((format(printf, 6, 7)));

/* Write "file:line: kind: message; remedy" for an item into text. */
void err_item_format(const err_item *item, char *text, size_t size);

#endif
