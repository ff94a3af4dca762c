/*
 * Loads a catalogue from its files, for the subcommands.
 */
#ifndef LAVENDER_CTL_LOAD_H
#define LAVENDER_CTL_LOAD_H

#include "lavender/catalogue.h"

/* The maximum number of files of one catalogue: the head and its account
 * parts. */
#define CTL_MAX_FILES 1024

/* Reads and validates the catalogue in the given files; paths[0] is the head.
 * On success the caller releases it with cat_finish(). On failure returns
 * false and adds the errors to the list; the catalogue is empty. */
bool ctl_load_catalogue(cat_catalogue *catalogue, const char *const *paths,
                        size_t count, err_list *errors);

/* Like ctl_load_catalogue, but finds the files itself, as routers with
 * `[platform] source = file` do: DIRECTORY/head.ini and the number of
 * DIRECTORY/accounts-N.ini that the head states. A path that is not a
 * directory is the head; its parts are in the same directory. */
bool ctl_load_directory(cat_catalogue *catalogue, const char *path,
                        err_list *errors);

/* Prints the errors that the list stores, and the number of all errors, to the
 * standard error stream. */
void ctl_print_errors(const err_list *errors);

#endif
