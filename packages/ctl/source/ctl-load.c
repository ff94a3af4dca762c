#include "ctl-load.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define LINE_SIZE 640
#define FOLDER_SIZE 448
#define PATH_SIZE 512 /* a folder and the name of a part */

static char *
read_stream(FILE *stream, size_t *size)
{
    char *text = malloc(CAT_PART_SIZE + 1);

    if (text != NULL) {
        *size = fread(text, 1, CAT_PART_SIZE + 1, stream);
    }
    return text;
}

static bool
read_part(const char *path, cat_part *part, err_list *errors)
{
    FILE *stream = fopen(path, "rb");
    char *text;

    if (stream == NULL) {
        err_list_add(errors, path, 0, ERR_SYSTEM,
                     "name a file that can be read", "cannot open it: %s",
                     strerror(errno));
        return false;
    }
    text = read_stream(stream, &part->size);
    fclose(stream);
    if (text == NULL || part->size > CAT_PART_SIZE) {
        free(text);
        err_list_add(errors, path, 0, ERR_LIMIT,
                     "cut the accounts over more parts",
                     "it is longer than %zu bytes", CAT_PART_SIZE);
        return false;
    }
    part->name = path;
    part->text = text;
    return true;
}

bool
ctl_load_catalogue(cat_catalogue *catalogue, const char *const *paths,
                   size_t count, err_list *errors)
{
    cat_part parts[CTL_MAX_FILES] = {{0}};
    size_t opened = 0;
    bool is_ok = false;

    memset(catalogue, 0, sizeof *catalogue);
    if (count == 0 || count > CTL_MAX_FILES) {
        err_list_add(errors, "catalogue", 0, ERR_LIMIT,
                     "name the head first, then its account parts",
                     "it has %zu files", count);
        return false;
    }
    while (opened < count) {
        if (!read_part(paths[opened], &parts[opened], errors)) {
            goto done;
        }
        opened++;
    }
    is_ok = cat_init(catalogue, parts, count, errors);
done:
    while (opened > 0) {
        free((char *)parts[--opened].text);
    }
    return is_ok;
}

/* The parts that the head names; those that exist if it can not be read. */
static size_t
count_parts(const char *head, const char *folder)
{
    cat_part part = {0};
    uint64_t revision;
    size_t count = 0;
    err_list errors;
    bool is_read;

    err_list_init(&errors);
    if (!read_part(head, &part, &errors)) {
        return 0;
    }
    is_read = cat_read_head(&part, &revision, NULL, 0, &count, NULL);
    free((char *)part.text);
    while (!is_read && count + 1 < CTL_MAX_FILES) {
        char path[PATH_SIZE];

        snprintf(path, sizeof path, "%s/accounts-%zu.ini", folder, count + 1);
        if (access(path, F_OK) != 0) {
            break;
        }
        count++;
    }
    return count < CTL_MAX_FILES ? count : CTL_MAX_FILES - 1;
}

static void
split_path(const char *path, char folder[FOLDER_SIZE], char head[PATH_SIZE])
{
    const char *slash = strrchr(path, '/');
    struct stat state;

    if (stat(path, &state) == 0 && S_ISDIR(state.st_mode)) {
        snprintf(folder, FOLDER_SIZE, "%s", path);
        snprintf(head, PATH_SIZE, "%s/head.ini", path);
        return;
    }
    snprintf(head, PATH_SIZE, "%s", path);
    snprintf(folder, FOLDER_SIZE, "%.*s",
             slash == NULL ? 1 : (int)(slash - path),
             slash == NULL ? "." : path);
}

bool
ctl_load_folder(cat_catalogue *catalogue, const char *path, err_list *errors)
{
    char folder[FOLDER_SIZE];
    char head[PATH_SIZE];
    const char **paths = calloc(CTL_MAX_FILES, sizeof(char *));
    char(*names)[PATH_SIZE] = calloc(CTL_MAX_FILES, PATH_SIZE);
    size_t count = 1;
    bool is_ok = false;

    memset(catalogue, 0, sizeof *catalogue);
    if (paths == NULL || names == NULL) {
        err_list_add(errors, path, 0, ERR_MEMORY, "free some memory",
                     "memory for the names could not be had");
        goto done;
    }
    split_path(path, folder, head);
    count += count_parts(head, folder);
    paths[0] = head;
    for (size_t i = 1; i < count; i++) {
        snprintf(names[i], PATH_SIZE, "%s/accounts-%zu.ini", folder, i);
        paths[i] = names[i];
    }
    is_ok = ctl_load_catalogue(catalogue, paths, count, errors);
done:
    free(paths);
    free(names);
    return is_ok;
}

void
ctl_print_errors(const err_list *errors)
{
    for (size_t i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        char line[LINE_SIZE];

        err_item_format(&errors->items[i], line, sizeof line);
        fprintf(stderr, "%s\n", line);
    }
    fprintf(stderr, "%zu errors\n", errors->count);
}
