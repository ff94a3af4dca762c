/*
 * Reading a catalogue's files for the subcommands.
 */
#ifndef LAVENDER_CTL_LOAD_H
#define LAVENDER_CTL_LOAD_H

#include "lavender/catalogue.h"

/* The most files of one catalogue: the head and its account parts. */
#define CTL_MAX_FILES 1024

/* Read and validate a catalogue; paths[0] is the head. The errors found are
 * added to the list. */
bool ctl_load_catalogue(cat_catalogue *catalogue, const char *const *paths,
                        size_t count, err_list *errors);

/* Read and validate a catalogue as routers with `[platform] source = file`
 * do: FOLDER/head.ini and as many FOLDER/accounts-N.ini as the head says. A
 * path that is no folder is taken for the head, its parts stand beside it. */
bool ctl_load_folder(cat_catalogue *catalogue, const char *path,
                     err_list *errors);

/* Print every error of a list to the standard error stream. */
void ctl_print_errors(const err_list *errors);

#endif
