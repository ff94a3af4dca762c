/* What fake endpoints have cached, and what they crash on. */
#include <stdio.h>
#include <string.h>

#include "stage-imp.h"

bool
stage_answer_cached(const stage_endpoint *endpoint, io_stream *stream,
                    const http_head *head)
{
    const char *entries = endpoint->cached;
    char text[16384];

    if (strcmp(head->target, "/v1/kv-list") != 0 ||
        endpoint->mode >= STAGE_ENDLESS_HEAD) {
        return false;
    }
    if (entries == NULL) {
        snprintf(text, sizeof text,
                 "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
    else {
        snprintf(text, sizeof text,
                 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n"
                 "{\"epoch\":1,\"next\":9,\"held\":[%s]}",
                 strlen(entries) +
                     strlen("{\"epoch\":1,\"next\":9,\"held\":[]}"),
                 entries);
    }
    io_write(stream, text, strlen(text));
    return true;
}

bool
stage_is_deadly(const stage_endpoint *endpoint, const http_head *head)
{
    const char *blocks = http_find_header(head, "Lavenderproxy-Prompt-Prefix");
    const char *text = endpoint->crashes_on;

    return text != NULL && (strstr(head->target, text) != NULL ||
                            (blocks != NULL && strstr(blocks, text) != NULL));
}
