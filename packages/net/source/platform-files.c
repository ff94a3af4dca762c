#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "platform-imp.h"

#define POLL_MS 1000
#define FILE_MAX ((size_t)4 * 1024 * 1024)
#define PATH_SIZE 336

/* Reads that were asked for are answered from the loop, never from within
 * the call. */
typedef struct files_read {
    doc_kind doc;
    uint32_t part;
    struct files_read *next;
} files_read;

struct plat_files {
    plat_backend platform;
    uv_timer_t poll;
    uv_timer_t answer;
    files_read *reads;
    struct timespec changed[DOC_COUNT];
};

static void
format_path(const plat_files *files, char path[PATH_SIZE], doc_kind doc,
            uint32_t part)
{
    char name[PLAT_KEY_SIZE];

    plat_format_file(name, doc, part);
    snprintf(path, PATH_SIZE, "%s/%s", files->platform.settings.directory,
             name);
}

static char *
read_file(const char *path, size_t *size)
{
    FILE *file = fopen(path, "rb");
    char *text = NULL;
    struct stat status;

    if (file == NULL) {
        return NULL;
    }
    if (fstat(fileno(file), &status) != 0 || status.st_size < 0 ||
        (size_t)status.st_size > FILE_MAX) {
        goto done;
    }
    text = malloc((size_t)status.st_size + 1);
    if (text != NULL) {
        *size = fread(text, 1, (size_t)status.st_size, file);
        text[*size] = '\0';
    }
done:
    fclose(file);
    return text;
}

static void
answer_part(plat_files *files, doc_kind doc, uint32_t part)
{
    char path[PATH_SIZE];
    size_t size = 0;
    char *text;

    format_path(files, path, doc, part);
    text = read_file(path, &size);
    if (text == NULL) {
        files->platform.counts.failures++;
    }
    files->platform.on_part(files->platform.context, doc, part, text, size);
    free(text);
}

static void
on_answer(uv_timer_t *timer)
{
    plat_files *files = timer->data;

    while (files->reads != NULL) {
        files_read *read = files->reads;

        files->reads = read->next;
        answer_part(files, read->doc, read->part);
        free(read);
    }
}

static void
on_poll(uv_timer_t *timer)
{
    plat_files *files = timer->data;

    for (int doc = 0; doc < DOC_COUNT; doc++) {
        char path[PATH_SIZE];
        struct stat status;
        struct timespec *last = &files->changed[doc];

        format_path(files, path, (doc_kind)doc, 0);
        if (stat(path, &status) != 0) {
            continue;
        }
        if (status.st_mtim.tv_sec != last->tv_sec ||
            status.st_mtim.tv_nsec != last->tv_nsec) {
            *last = status.st_mtim;
            files->platform.counts.watches++;
            answer_part(files, (doc_kind)doc, 0);
        }
    }
}

static void
files_read_part(plat_backend *platform, doc_kind doc, uint32_t part)
{
    plat_files *files = (plat_files *)platform;
    files_read **last = &files->reads;
    files_read *read = calloc(1, sizeof *read);

    if (read == NULL) {
        platform->on_part(platform->context, doc, part, NULL, 0);
        return;
    }
    read->doc = doc;
    read->part = part;
    while (*last != NULL) {
        last = &(*last)->next;
    }
    *last = read;
    platform->counts.reads++;
    uv_timer_start(&files->answer, on_answer, 0, 0);
}

static void
files_set_watching(plat_backend *platform, bool is_watching)
{
    plat_files *files = (plat_files *)platform;

    if (!is_watching) {
        uv_timer_stop(&files->poll);
    }
    else if (!uv_is_active((uv_handle_t *)&files->poll)) {
        memset(files->changed, 0, sizeof files->changed);
        uv_timer_start(&files->poll, on_poll, 0, POLL_MS);
    }
}

static void
files_finish(plat_backend *platform)
{
    plat_files *files = (plat_files *)platform;

    while (files->reads != NULL) {
        files_read *read = files->reads;

        files->reads = read->next;
        free(read);
    }
    uv_close((uv_handle_t *)&files->poll, NULL);
    uv_close((uv_handle_t *)&files->answer, NULL);
}

static const plat_ops files_ops = {
    .read = files_read_part,
    .set_watching = files_set_watching,
    .finish = files_finish,
};

size_t
plat_files_size(void)
{
    return sizeof(plat_files);
}

bool
plat_files_init(plat_files *files, uv_loop_t *loop,
                const plat_settings *settings, plat_on_part *on_part,
                void *context, err_error *error)
{
    struct stat status;

    memset(files, 0, sizeof *files);
    if (stat(settings->directory, &status) != 0 || !S_ISDIR(status.st_mode)) {
        return err_set(error, ERR_BAD_VALUE,
                       "name the folder that has head.ini and lists.ini",
                       "'%s' is not a folder", settings->directory);
    }
    plat_init(&files->platform, &files_ops, loop, settings, on_part, context);
    uv_timer_init(loop, &files->poll);
    uv_timer_init(loop, &files->answer);
    files->poll.data = files;
    files->answer.data = files;
    return true;
}
