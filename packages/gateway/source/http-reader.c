#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "lavender-gateway/http.h"

static http_reader *
reader_of(http_parser *parser)
{
    return parser->data;
}

static int
reject(http_reader *reader)
{
    reader->is_bad = true;
    return -1;
}

static void
add_terminated(http_reader *reader, const char *data, size_t size)
{
    if (reader->text.size > 0) {
        reader->text.size--;
    }
    buf_append(&reader->text, data, size);
    buf_append(&reader->text, "", 1);
}

static uint32_t
new_text(http_reader *reader)
{
    uint32_t at = (uint32_t)reader->text.size;

    buf_append(&reader->text, "", 1);
    return at;
}

static int
take_url(http_parser *parser, const char *data, size_t size)
{
    add_terminated(reader_of(parser), data, size);
    return 0;
}

static int
take_name(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_of(parser);
    http_head *head = &reader->head;

    if (reader->is_head_done) {
        return 0; /* trailers are dropped */
    }
    if (head->header_count == 0 || reader->is_in_value) {
        if (head->header_count == HTTP_HEADERS_MAX) {
            reader->is_too_large = true;
            return 1;
        }
        reader->places[head->header_count].name = new_text(reader);
        reader->places[head->header_count].value = 0;
        head->header_count++;
        reader->is_in_value = false;
    }
    add_terminated(reader, data, size);
    return 0;
}

static int
take_value(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_of(parser);

    if (reader->is_head_done) {
        return 0;
    }
    if (!reader->is_in_value) {
        reader->places[reader->head.header_count - 1].value = new_text(reader);
        reader->is_in_value = true;
    }
    add_terminated(reader, data, size);
    return 0;
}

static void
place_texts(http_reader *reader)
{
    http_head *head = &reader->head;
    const char *text = reader->text.data;
    uint32_t i;

    head->target = text + reader->target_at;
    for (i = 0; i < head->header_count; i++) {
        head->headers[i].name = text + reader->places[i].name;
        head->headers[i].value =
            reader->places[i].value > 0 ? text + reader->places[i].value : "";
    }
}

static http_framing
framing_of(const http_reader *reader)
{
    const http_parser *parser = &reader->parser;

    if ((parser->flags & F_CHUNKED) != 0) {
        return HTTP_CHUNKED;
    }
    if ((parser->flags & F_CONTENTLENGTH) != 0) {
        return HTTP_CONTENT_LENGTH;
    }
    if (reader->is_request || parser->status_code / 100 == 1 ||
        parser->status_code == 204 || parser->status_code == 304) {
        return HTTP_NO_BODY;
    }
    return HTTP_UNTIL_CLOSE;
}

static uint32_t
count_header(const http_head *head, const char *name)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        count += strcasecmp(head->headers[i].name, name) == 0;
    }
    return count;
}

/* The parser lets through names with blanks and values with control bytes. */
static bool
is_plain_header(const http_header *header)
{
    static const char others[] = "!#$%&'*+-.^_`|~";
    const char *c;

    for (c = header->name; *c != '\0'; c++) {
        if (!isalnum((unsigned char)*c) && strchr(others, *c) == NULL) {
            return false;
        }
    }
    for (c = header->value; *c != '\0'; c++) {
        if (((unsigned char)*c < ' ' && *c != '\t') || *c == 0x7f) {
            return false;
        }
    }
    return *header->name != '\0';
}

/* Heads that two readers could take for different messages. */
static bool
is_ambiguous(const http_reader *reader)
{
    const http_head *head = &reader->head;
    uint32_t hosts = count_header(head, "Host");
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        if (!is_plain_header(&head->headers[i])) {
            return true;
        }
    }
    if (!reader->is_request) {
        return false;
    }
    if (reader->parser.method == HTTP_CONNECT || head->target[0] != '/') {
        return true;
    }
    return hosts != 1 || *http_find_header(head, "Host") == '\0' ||
           count_header(head, "Transfer-Encoding") > 1;
}

static int
end_head(http_parser *parser)
{
    http_reader *reader = reader_of(parser);
    http_head *head = &reader->head;

    if (reader->text.has_failed) {
        return reject(reader);
    }
    place_texts(reader);
    reader->is_head_done = true;
    head->method = http_method_str(parser->method);
    head->status = parser->status_code;
    head->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    head->is_keep_alive = http_should_keep_alive(parser) != 0;
    head->framing = framing_of(reader);
    head->body_size =
        head->framing == HTTP_CONTENT_LENGTH ? parser->content_length : 0;
    if (parser->http_major != 1 || is_ambiguous(reader)) {
        return reject(reader);
    }
    parser->upgrade = 0;
    if (!reader->ops->on_head(reader, head)) {
        reader->is_stopped = true;
        return -1;
    }
    return reader->skips_body ? 1 : 0;
}

static int
take_body(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_of(parser);

    if (!reader->ops->on_body(reader, data, size)) {
        reader->is_stopped = true;
        return 1;
    }
    return 0;
}

static int
end_message(http_parser *parser)
{
    http_reader *reader = reader_of(parser);

    reader->is_done = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_url = take_url,
    .on_header_field = take_name,
    .on_header_value = take_value,
    .on_headers_complete = end_head,
    .on_body = take_body,
    .on_message_complete = end_message,
};

void
http_reader_init(http_reader *reader, const http_reader_ops *ops, void *owner,
                 bool is_request, size_t head_limit)
{
    memset(reader, 0, sizeof *reader);
    reader->ops = ops;
    reader->owner = owner;
    reader->is_request = is_request;
    reader->head_limit = head_limit;
    buf_init(&reader->text);
    http_reader_restart(reader);
}

void
http_reader_finish(http_reader *reader)
{
    buf_finish(&reader->text);
}

void
http_reader_restart(http_reader *reader)
{
    http_parser_init(&reader->parser,
                     reader->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
    buf_clear(&reader->text);
    reader->target_at = new_text(reader);
    reader->head.header_count = 0;
    reader->head_bytes = 0;
    reader->is_in_value = false;
    reader->is_head_done = false;
    reader->is_done = false;
    reader->is_bad = false;
    reader->is_too_large = false;
    reader->is_stopped = false;
    reader->skips_body = false;
    reader->has_started = false;
    reader->last = '\0';
}

/* Count the bytes of a head and look for lines that continue the one before:
 * the parser would join them. Returns how many bytes may be parsed. */
static size_t
scan_head(http_reader *reader, const char *data, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        bool is_line_start = reader->last == '\n';

        if (is_line_start && (data[i] == ' ' || data[i] == '\t')) {
            reader->is_bad = true;
            return i;
        }
        if (is_line_start && (data[i] == '\r' || data[i] == '\n')) {
            return size; /* the head ends here */
        }
        reader->last = data[i];
        if (++reader->head_bytes > reader->head_limit) {
            reader->is_too_large = true;
            return i;
        }
    }
    return size;
}

static http_result
result_of(const http_reader *reader)
{
    if (reader->is_done) {
        return HTTP_COMPLETE;
    }
    if (reader->is_too_large ||
        HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW) {
        return HTTP_HEAD_TOO_LARGE;
    }
    if (reader->is_stopped) {
        return HTTP_STOPPED;
    }
    if (reader->is_bad || HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK) {
        return HTTP_MALFORMED;
    }
    return HTTP_INCOMPLETE;
}

http_result
http_reader_feed(http_reader *reader, const char *data, size_t size,
                 size_t *used)
{
    *used = 0;
    if (size == 0) {
        return HTTP_INCOMPLETE;
    }
    reader->has_started = true;
    if (!reader->is_head_done) {
        size = scan_head(reader, data, size);
        if (reader->is_bad || reader->is_too_large) {
            return result_of(reader);
        }
    }
    *used = http_parser_execute(&reader->parser, &callbacks, data, size);
    if (reader->is_done && !reader->ops->on_end(reader)) {
        reader->is_stopped = true;
    }
    return result_of(reader);
}

http_result
http_reader_feed_eof(http_reader *reader)
{
    if (!reader->has_started) {
        return HTTP_MALFORMED;
    }
    http_parser_execute(&reader->parser, &callbacks, NULL, 0);
    if (reader->is_done && !reader->ops->on_end(reader)) {
        reader->is_stopped = true;
    }
    return reader->is_done ? HTTP_COMPLETE : HTTP_MALFORMED;
}
