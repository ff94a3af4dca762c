#include <string.h>

#include "gate-imp.h"

/* An event of a resumable stream that is larger is taken for one without end.
 */
#define MAX_EVENT_BYTES ((size_t)1024 * 1024)
#define MAX_SCARCE_EVENT_BYTES ((size_t)128 * 1024) /* memory is scarce */

/* Does the text end with an empty line, which ends an event? */
static bool
ends_with_empty_line(const char *text, size_t size)
{
    return size >= 2 && text[size - 1] == '\n' &&
           (text[size - 2] == '\n' ||
            (size >= 4 && memcmp(text + size - 4, "\r\n\r\n", 4) == 0));
}

/* Returns the size of the whole events at the front of a text, of which the
 * first `searched` bytes hold none. */
static size_t
whole_events_size(const char *text, size_t size, size_t searched)
{
    size_t i;

    for (i = size; i > searched; i--) {
        if (ends_with_empty_line(text, i)) {
            return i;
        }
    }
    return 0;
}

void
gate_note_stream_data(gate_attempt *attempt, const char *data, size_t size)
{
    size_t kept = 0;

    if (size < GATE_TAIL_SIZE) {
        kept = GATE_TAIL_SIZE - size;
        kept = kept < attempt->tail_size ? kept : attempt->tail_size;
        memmove(attempt->tail, attempt->tail + attempt->tail_size - kept,
                kept);
    }
    else {
        data += size - GATE_TAIL_SIZE;
        size = GATE_TAIL_SIZE;
    }
    memcpy(attempt->tail + kept, data, size);
    attempt->tail_size = (uint32_t)(kept + size);
}

bool
gate_ends_in_event(const gate_attempt *attempt)
{
    return attempt->is_unframed && attempt->request->is_stream &&
           attempt->status / 100 == 2 && attempt->tail_size > 0 &&
           !ends_with_empty_line(attempt->tail, attempt->tail_size);
}

/* An id that is too long to be kept is as none. */
static void
save_event_id(gate_request *request, const char *value, size_t size)
{
    while (size > 0 && *value == ' ') {
        value++;
        size--;
    }
    if (size >= sizeof request->last_event_id) {
        size = 0;
    }
    memcpy(request->last_event_id, value, size);
    request->last_event_id[size] = '\0';
}

/* Saves the id of the last event in whole events. One with data and without an
 * id leaves none: the stream cannot be resumed right after it. */
static void
save_last_event_id(gate_request *request, const char *text, size_t size)
{
    const char *end = text + size;
    bool has_id = false;
    bool has_data = false;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));
        size_t length;

        if (line_end == NULL) {
            return;
        }
        length = (size_t)(line_end - text);
        length -= length > 0 && text[length - 1] == '\r';
        if (length >= 3 && memcmp(text, "id:", 3) == 0) {
            save_event_id(request, text + 3, length - 3);
            has_id = true;
        }
        else if (length >= 4 && memcmp(text, "data", 4) == 0) {
            has_data = true;
        }
        else if (length == 0) {
            if (has_data && !has_id) {
                request->last_event_id[0] = '\0';
            }
            has_id = has_data = false;
        }
        text = line_end + 1;
    }
}

/* The caller gets whole events only, since another endpoint may have to resume
 * the stream after the last one. */
const char *
gate_forward_events(gate_attempt *attempt, const char *data, size_t size)
{
    gate_request *request = attempt->request;
    buf_buffer *partial = &attempt->partial_event;
    size_t searched = partial->size;
    size_t whole;

    buf_append(partial, data, size);
    if (partial->has_failed) {
        return "no-memory";
    }
    whole = whole_events_size(partial->data, partial->size, searched);
    if (whole > 0) {
        attempt->last_data_at = io_now();
        attempt->is_silence_recorded = false;
        gate_record_origin(attempt);
        gate_begin_answer(attempt);
        save_last_event_id(request, partial->data, whole);
        front_send_body(request->connection, partial->data, whole);
        buf_consume(partial, whole);
    }
    return partial->size > gate_choose_limit(request, MAX_EVENT_BYTES,
                                             MAX_SCARCE_EVENT_BYTES)
               ? "endless-event"
               : NULL;
}
