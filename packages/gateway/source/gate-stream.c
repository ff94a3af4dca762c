#include <string.h>

#include "gate-imp.h"

/* The size of the whole events at the front of a text. */
static size_t
whole_events(const char *text, size_t size)
{
    size_t i;

    for (i = size; i >= 2; i--) {
        if (text[i - 1] == '\n' &&
            (text[i - 2] == '\n' ||
             (i >= 4 && memcmp(text + i - 4, "\r\n\r\n", 4) == 0))) {
            return i;
        }
    }
    return 0;
}

static void
keep_id(gate_request *request, const char *value, size_t size)
{
    while (size > 0 && *value == ' ') {
        value++;
        size--;
    }
    if (size > 0 && value[size - 1] == '\r') {
        size--;
    }
    if (size > 0 && size < sizeof request->last_event_id) {
        memcpy(request->last_event_id, value, size);
        request->last_event_id[size] = '\0';
    }
}

/* Remember the id of the last event that the caller gets. */
static void
find_last_id(gate_request *request, const char *text, size_t size)
{
    const char *end = text + size;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));

        if (line_end == NULL) {
            return;
        }
        if (line_end - text > 3 && memcmp(text, "id:", 3) == 0) {
            keep_id(request, text + 3, (size_t)(line_end - text) - 3);
        }
        text = line_end + 1;
    }
}

/* Only whole events go to the caller: another endpoint may have to go on
 * after the last one. */
bool
gate_pass_events(gate_request *request, const char *data, size_t size)
{
    buf_buffer *piece = &request->piece;
    size_t whole;

    buf_append(piece, data, size);
    if (piece->has_failed) {
        return false;
    }
    whole = whole_events(piece->data, piece->size);
    if (whole > 0) {
        find_last_id(request, piece->data, whole);
        front_send_body(request->connection, piece->data, whole);
        buf_drop_front(piece, whole);
    }
    return true;
}
