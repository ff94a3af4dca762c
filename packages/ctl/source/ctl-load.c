#include "ctl-load.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_SIZE 640

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
    cat_part parts[CTL_FILES_MAX] = {{0}};
    size_t opened = 0;
    bool is_ok = false;

    memset(catalogue, 0, sizeof *catalogue);
    if (count == 0 || count > CTL_FILES_MAX) {
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
