#define _GNU_SOURCE /* memmem */

#include <string.h>

#include "callers-imp.h"

#define DATA_FIELD "data:"
#define DONE_MARK "[DONE]"

/* Parses the line in the buffer. Token counts are not read from a truncated
 * line. */
static void
parse_line(call_sse_parser *parser)
{
    const char *value = parser->line + strlen(DATA_FIELD);
    size_t size = parser->line_size;

    if (size > 0 && parser->line[size - 1] == '\r') {
        size--;
    }
    parser->is_last_line_blank = size == 0;
    if (size < strlen(DATA_FIELD) ||
        memcmp(parser->line, DATA_FIELD, strlen(DATA_FIELD)) != 0) {
        return;
    }
    size -= strlen(DATA_FIELD);
    while (size > 0 && *value == ' ') {
        value++;
        size--;
    }
    if (size == strlen(DONE_MARK) && memcmp(value, DONE_MARK, size) == 0) {
        parser->has_done_event = true;
        return;
    }
    parser->events++;
    if (parser->is_line_truncated ||
        memmem(value, size, "\"usage\"", strlen("\"usage\"")) == NULL) {
        return;
    }
    usage_parse(value, size, &parser->input_units, &parser->output_units);
}

void
sse_feed(call_sse_parser *parser, const char *bytes, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        if (bytes[i] == '\n') {
            parse_line(parser);
            parser->line_size = 0;
            parser->is_line_truncated = false;
        }
        else if (parser->line_size < sizeof parser->line) {
            parser->line[parser->line_size++] = bytes[i];
        }
        else {
            parser->is_line_truncated = true;
        }
    }
}
