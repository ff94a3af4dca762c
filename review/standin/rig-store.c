#define _GNU_SOURCE

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

typedef struct text_buffer {
    char *text;
    size_t size;
    FILE *file;
} text_buffer;

static void
write_base64(FILE *file, const char *text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    size_t i;

    for (i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

        if (i + 1 < size) {
            bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
        }
        if (i + 2 < size) {
            bits |= (unsigned char)text[i + 2];
        }
        fputc(digits[bits >> 18], file);
        fputc(digits[bits >> 12 & 63], file);
        fputc(i + 1 < size ? digits[bits >> 6 & 63] : '=', file);
        fputc(i + 2 < size ? digits[bits & 63] : '=', file);
    }
}

static void
write_item(FILE *file, const rig_item *item, bool *is_first)
{
    fprintf(file, "%s{\"key\":\"%s\",\"revision\":%llu", *is_first ? "" : ",",
            item->key, (unsigned long long)item->revision);
    *is_first = false;
    if (item->value == NULL) {
        fputs(",\"tombstone\":true}", file);
        return;
    }
    fputs(",\"value\":\"", file);
    write_base64(file, item->value);
    fprintf(file, "\",\"created_at\":%llu,\"lease\":0}",
            (unsigned long long)item->created_at);
}

static bool
has_prefix(const rig_item *item, const char *prefix)
{
    return strncmp(item->key, prefix, strlen(prefix)) == 0;
}

/* Writes the events after a revision and returns whether there are any. */
static bool
write_events(const rig_store *store, const char *prefix, uint64_t after,
             FILE *file)
{
    bool is_first = true;
    uint32_t i;

    fputs("{\"events\":[", file);
    for (i = 0; i < store->event_count; i++) {
        if (has_prefix(&store->events[i], prefix) &&
            store->events[i].revision > after) {
            write_item(file, &store->events[i], &is_first);
        }
    }
    fprintf(file, "],\"at\":%llu}", (unsigned long long)store->revision);
    return !is_first;
}

static void
write_list(const rig_store *store, const char *prefix, FILE *file)
{
    bool is_first = true;
    uint32_t i;

    fputs("{\"items\":[", file);
    for (i = 0; i < store->item_count; i++) {
        if (has_prefix(&store->items[i], prefix) &&
            store->items[i].value != NULL) {
            write_item(file, &store->items[i], &is_first);
        }
    }
    fprintf(file, "],\"has_more\":false,\"at\":%llu}",
            (unsigned long long)store->revision);
}

static void
begin_text(text_buffer *buffer)
{
    buffer->file = open_memstream(&buffer->text, &buffer->size);
}

static bool
send_text(const rig_store *store, int fd, int status, text_buffer *buffer)
{
    char era[64] = "";
    bool is_sent;

    fclose(buffer->file);
    if (store->era > 0) {
        snprintf(era, sizeof era, "Store-Era: %llu\r\n",
                 (unsigned long long)store->era);
    }
    is_sent = rig_send(fd,
                       "HTTP/1.1 %d Status\r\nContent-Type: "
                       "application/json\r\n%sContent-Length: %zu\r\n\r\n%s",
                       status, era, buffer->size, buffer->text);
    free(buffer->text);
    return is_sent;
}

static uint64_t
read_parameter(const char *target, const char *name)
{
    const char *found = strstr(target, name);

    return found != NULL ? strtoull(found + strlen(name), NULL, 10) : 0;
}

static void
deadline_after(long ms, struct timespec *to)
{
    clock_gettime(CLOCK_REALTIME, to);
    to->tv_sec += ms / 1000;
    to->tv_nsec += ms % 1000 * 1000000;
    if (to->tv_nsec >= 1000000000) {
        to->tv_nsec -= 1000000000;
        to->tv_sec++;
    }
}

/* Waits for an event with the mutex held. Returns false when the watch was
 * cut. */
static bool
watch(rig_store *store, const char *prefix, uint64_t after, long wait_ms,
      text_buffer *buffer, int *status)
{
    uint64_t cuts = store->cuts;
    struct timespec deadline;
    int waited = 0;

    deadline_after(wait_ms, &deadline);
    for (;;) {
        begin_text(buffer);
        *status = after < store->history_start || after > store->revision
                      ? 410
                      : 200;
        if (*status == 410 ||
            write_events(store, prefix, after, buffer->file) || waited != 0) {
            return true;
        }
        fclose(buffer->file);
        free(buffer->text);
        waited =
            pthread_cond_timedwait(&store->changed, &store->mutex, &deadline);
        if (cuts != store->cuts) {
            return false;
        }
    }
}

static bool
handle(rig_server *server, int fd, rig_message *request)
{
    rig_store *store = server->owner;
    const char *prefix =
        strstr(request->head, "prefix=op/") != NULL ? "op/" : "servers/";
    text_buffer buffer;
    int status = 200;
    bool goes_on = true;

    if (store->is_down) {
        return false;
    }
    pthread_mutex_lock(&store->mutex);
    if (strncmp(request->head, "GET /v1/kv-watch?", 17) == 0) {
        goes_on = watch(store, prefix, read_parameter(request->head, "after="),
                        (long)read_parameter(request->head, "wait_ms="),
                        &buffer, &status);
    }
    else {
        begin_text(&buffer);
        write_list(store, prefix, buffer.file);
    }
    pthread_mutex_unlock(&store->mutex);
    return goes_on && send_text(store, fd, status, &buffer);
}

void
rig_store_start(rig_store *store)
{
    memset(store, 0, sizeof *store);
    pthread_mutex_init(&store->mutex, NULL);
    pthread_cond_init(&store->changed, NULL);
    store->revision = 100;
    store->history_start = 1;
    rig_serve(&store->server, handle, store);
}

static rig_item *
find_item(rig_store *store, const char *key)
{
    uint32_t i;

    for (i = 0; i < store->item_count; i++) {
        if (strcmp(store->items[i].key, key) == 0) {
            return &store->items[i];
        }
    }
    if (store->item_count == RIG_ITEMS_MAX) {
        rig_fail("too many items");
    }
    memset(&store->items[store->item_count], 0, sizeof store->items[0]);
    snprintf(store->items[store->item_count].key, RIG_TEXT_SIZE, "%s", key);
    return &store->items[store->item_count++];
}

static rig_item *
set_item(rig_store *store, const char *key, const char *value)
{
    rig_item *item = find_item(store, key);

    store->revision++;
    if (item->value == NULL) {
        item->created_at = store->revision;
    }
    free(item->value);
    item->value = value != NULL ? strdup(value) : NULL;
    item->revision = store->revision;
    return item;
}

static void
change(rig_store *store, const char *key, const char *value)
{
    rig_item *event;
    rig_item *item;

    pthread_mutex_lock(&store->mutex);
    item = set_item(store, key, value);
    if (store->event_count == RIG_EVENTS_MAX) {
        rig_fail("too many events");
    }
    event = &store->events[store->event_count++];
    *event = *item;
    event->value = value != NULL ? strdup(value) : NULL;
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->mutex);
}

void
rig_store_put(rig_store *store, const char *key, const char *value)
{
    change(store, key, value);
}

void
rig_store_remove(rig_store *store, const char *key)
{
    change(store, key, NULL);
}

void
rig_store_beat(rig_store *store, const char *key, const char *value)
{
    pthread_mutex_lock(&store->mutex);
    if (find_item(store, key)->value != NULL) {
        set_item(store, key, value);
    }
    pthread_mutex_unlock(&store->mutex);
}

void
rig_store_forget(rig_store *store)
{
    pthread_mutex_lock(&store->mutex);
    store->history_start = store->revision;
    store->event_count = 0;
    pthread_mutex_unlock(&store->mutex);
}

void
rig_store_cut(rig_store *store)
{
    rig_cut(&store->server);
    pthread_mutex_lock(&store->mutex);
    store->cuts++;
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->mutex);
}

void
rig_store_copy(rig_store *store, rig_copy *copy)
{
    uint32_t i;

    pthread_mutex_lock(&store->mutex);
    copy->revision = store->revision;
    copy->item_count = store->item_count;
    for (i = 0; i < store->item_count; i++) {
        copy->items[i] = store->items[i];
        if (copy->items[i].value != NULL) {
            copy->items[i].value = strdup(copy->items[i].value);
        }
    }
    pthread_mutex_unlock(&store->mutex);
}

void
rig_store_restore(rig_store *store, const rig_copy *copy)
{
    uint32_t i;

    pthread_mutex_lock(&store->mutex);
    store->revision = copy->revision;
    store->history_start = copy->revision;
    store->event_count = 0;
    store->item_count = copy->item_count;
    for (i = 0; i < copy->item_count; i++) {
        store->items[i] = copy->items[i];
        if (copy->items[i].value != NULL) {
            store->items[i].value = strdup(copy->items[i].value);
        }
    }
    store->era++;
    pthread_mutex_unlock(&store->mutex);
}
