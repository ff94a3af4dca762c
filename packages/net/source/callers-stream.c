#define _GNU_SOURCE /* memmem */

#include <string.h>

#include "callers-imp.h"

#define DATA "data:"
#define END_MARK "[DONE]"

static void
end_line(call_stream *stream)
{
    const char *value = stream->line + strlen(DATA);
    size_t size = stream->line_size;

    if (size > 0 && stream->line[size - 1] == '\r') {
        size--;
    }
    stream->is_blank = size == 0;
    if (size < strlen(DATA) || memcmp(stream->line, DATA, strlen(DATA)) != 0) {
        return;
    }
    size -= strlen(DATA);
    while (size > 0 && *value == ' ') {
        value++;
        size--;
    }
    if (size == strlen(END_MARK) && memcmp(value, END_MARK, size) == 0) {
        stream->is_done = true;
        return;
    }
    stream->events++;
    if (stream->is_long ||
        memmem(value, size, "\"usage\"", strlen("\"usage\"")) == NULL) {
        return;
    }
    usage_read(value, size, &stream->input_units, &stream->output_units);
}

void
stream_add(call_stream *stream, const char *bytes, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        if (bytes[i] == '\n') {
            end_line(stream);
            stream->line_size = 0;
            stream->is_long = false;
        }
        else if (stream->line_size < sizeof stream->line) {
            stream->line[stream->line_size++] = bytes[i];
        }
        else {
            stream->is_long = true;
        }
    }
}
