/*
 * Errors with a kind, a message that states the cause and a remedy that states
 * what to do about it.
 */
#ifndef LAVENDER_ERROR_H
#define LAVENDER_ERROR_H

#include <stdbool.h>
#include <stddef.h>

typedef enum err_kind {
    ERR_NONE = 0,
    ERR_SYNTAX,       /* a text does not match its grammar */
    ERR_UNKNOWN_NAME, /* no section, key, account, pool ... has this name */
    ERR_BAD_VALUE,    /* a value has the wrong type or is out of range */
    ERR_CONFLICT,     /* two values contradict each other */
    ERR_STALE,        /* older than the version in force */
    ERR_LIMIT,        /* a size or count exceeds its maximum */
    ERR_UNAVAILABLE,  /* a peer, endpoint or service does not respond */
    ERR_MEMORY,       /* a memory allocation failed */
    ERR_SYSTEM        /* a system call or a library failed */
} err_kind;

#define ERR_MESSAGE_SIZE 256
#define ERR_REMEDY_SIZE 192

typedef struct err_error {
    err_kind kind;
    char message[ERR_MESSAGE_SIZE];
    char remedy[ERR_REMEDY_SIZE];
} err_error;

/* Sets the kind, the remedy and the formatted message of an error, truncating
 * texts that do not fit; does nothing when error is NULL. Always returns
 * false, so that callers can write `return err_set(...)`. */
bool err_set(err_error *error, err_kind kind, const char *remedy,
             const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Resets an error to ERR_NONE with empty texts. */
void err_clear(err_error *error);

/* Returns the stable name of a kind, such as "bad-value", or "unknown" when
 * the kind is out of range. */
const char *err_kind_name(err_kind kind);

/* Maximum number of errors that an err_list stores. */
#define ERR_LIST_SIZE 32

typedef struct err_item {
    char file[128];
    int line; /* 1-based; 0 when the error concerns no single line */
    err_error error;
} err_item;

/* The errors of one validation, collected so that all are reported at once. */
typedef struct err_list {
    size_t count; /* of errors added; may exceed ERR_LIST_SIZE */
    err_item items[ERR_LIST_SIZE];
} err_list;

void err_list_init(err_list *list);

/* Adds an error with its file and line, formatted as by err_set. When the list
 * is full, the error is only counted. */
void err_list_add(err_list *list, const char *file, int line, err_kind kind,
                  const char *remedy, const char *format, ...)
    __attribute__((format(printf, 6, 7)));

/* Formats an item as "file:line: kind: message; remedy", without the line when
 * it is 0, into a text of size bytes; truncates it when it does not fit. */
void err_item_format(const err_item *item, char *text, size_t size);

#endif
