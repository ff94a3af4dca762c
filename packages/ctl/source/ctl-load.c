#include "ctl-load.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define ERROR_LINE_SIZE 640
#define DIRECTORY_SIZE 448
#define PATH_SIZE 512 /* a directory and the file name of a part */

/* Reads up to one byte more than CAT_PART_SIZE, so that the caller detects a
 * part that is too long. The caller frees the text. Returns NULL when out
 * of memory. */
static char *
read_stream(FILE *stream, size_t *size)
{
    char *text = malloc(CAT_PART_SIZE + 1);

    if (text != NULL) {
        *size = fread(text, 1, CAT_PART_SIZE + 1, stream);
    }
    return text;
}

/* On success the caller frees part->text. */
static bool
read_part(const char *path, cat_part *part, err_list *errors)
{
    FILE *stream = fopen(path, "rb");
    char *text;

    if (stream == NULL) {
        err_list_add(errors, path, 0, ERR_SYSTEM,
                     "name a file that can be read",
                     "cannot open the file: %s", strerror(errno));
        return false;
    }
    text = read_stream(stream, &part->size);
    fclose(stream);
    if (text == NULL || part->size > CAT_PART_SIZE) {
        free(text);
        err_list_add(errors, path, 0, ERR_LIMIT,
                     "split the accounts into more parts",
                     "the file is longer than %zu bytes", CAT_PART_SIZE);
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
    size_t read_count = 0;
    bool is_valid = false;

    memset(catalogue, 0, sizeof *catalogue);
    if (count == 0 || count > CTL_MAX_FILES) {
        err_list_add(errors, "catalogue", 0, ERR_LIMIT,
                     "name the head first, then its account parts",
                     "the catalogue has %zu files", count);
        return false;
    }
    while (read_count < count) {
        if (!read_part(paths[read_count], &parts[read_count], errors)) {
            goto done;
        }
        read_count++;
    }
    is_valid = cat_init(catalogue, parts, count, errors);
done:
    while (read_count > 0) {
        free((char *)parts[--read_count].text);
    }
    return is_valid;
}

/* Returns the number of account parts that the head states or, if the head
 * cannot be parsed, the number of consecutive parts that exist, up to
 * CTL_MAX_FILES. */
static size_t
count_parts(const char *head, const char *directory)
{
    cat_part part = {0};
    uint64_t revision;
    size_t count = 0;
    err_list ignored_errors; /* loading reports them again */
    bool is_parsed;

    err_list_init(&ignored_errors);
    if (!read_part(head, &part, &ignored_errors)) {
        return 0;
    }
    is_parsed = cat_read_head(&part, &revision, NULL, 0, &count, NULL);
    free((char *)part.text);
    while (!is_parsed && count < CTL_MAX_FILES) {
        char path[PATH_SIZE];

        snprintf(path, sizeof path, "%s/accounts-%zu.ini", directory,
                 count + 1);
        if (access(path, F_OK) != 0) {
            break;
        }
        count++;
    }
    return count;
}

/* Sets the directory of a catalogue and the path of its head from a path that
 * is either of them. */
static void
split_path(const char *path, char directory[DIRECTORY_SIZE],
           char head[PATH_SIZE])
{
    const char *slash = strrchr(path, '/');
    struct stat status;

    if (stat(path, &status) == 0 && S_ISDIR(status.st_mode)) {
        snprintf(directory, DIRECTORY_SIZE, "%s", path);
        snprintf(head, PATH_SIZE, "%s/head.ini", path);
        return;
    }
    snprintf(head, PATH_SIZE, "%s", path);
    snprintf(directory, DIRECTORY_SIZE, "%.*s",
             slash == NULL ? 1 : (int)(slash - path),
             slash == NULL ? "." : path);
}

bool
ctl_load_directory(cat_catalogue *catalogue, const char *path,
                   err_list *errors)
{
    char directory[DIRECTORY_SIZE];
    char head[PATH_SIZE];
    const char **paths = calloc(CTL_MAX_FILES, sizeof(char *));
    char(*part_paths)[PATH_SIZE] = calloc(CTL_MAX_FILES, PATH_SIZE);
    size_t count = 1;
    bool is_valid = false;

    memset(catalogue, 0, sizeof *catalogue);
    if (paths == NULL || part_paths == NULL) {
        err_list_add(errors, path, 0, ERR_MEMORY, "free some memory",
                     "cannot allocate the paths of the parts");
        goto done;
    }
    split_path(path, directory, head);
    count += count_parts(head, directory);
    if (count > CTL_MAX_FILES) {
        err_list_add(errors, head, 0, ERR_LIMIT,
                     "put more accounts into each part",
                     "the catalogue has %zu parts of accounts, the maximum is "
                     "%d",
                     count - 1, CTL_MAX_FILES - 1);
        goto done;
    }
    paths[0] = head;
    for (size_t i = 1; i < count; i++) {
        snprintf(part_paths[i], PATH_SIZE, "%s/accounts-%zu.ini", directory,
                 i);
        paths[i] = part_paths[i];
    }
    is_valid = ctl_load_catalogue(catalogue, paths, count, errors);
done:
    free(paths);
    free(part_paths);
    return is_valid;
}

void
ctl_print_errors(const err_list *errors)
{
    for (size_t i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        char line[ERROR_LINE_SIZE];

        err_item_format(&errors->items[i], line, sizeof line);
        fprintf(stderr, "%s\n", line);
    }
    fprintf(stderr, "%zu errors\n", errors->count);
}
