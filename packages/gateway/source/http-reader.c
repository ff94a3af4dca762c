#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "http-imp.h"

/* Bytes that http-parser counts as part of a head and max_head_size does not:
 * empty lines. */
#define UNCOUNTED_HEAD_BYTES 1024

static http_reader *
reader_from_parser(http_parser *parser)
{
    return parser->data;
}

/* Returns the value that makes a parser callback fail. */
static int
mark_malformed(http_reader *reader, syn_fault fault)
{
    reader->is_malformed = true;
    reader->fault = fault;
    return -1;
}

/* Appends to the last string of head_text and terminates it again. */
static void
append_terminated(http_reader *reader, const char *data, size_t size)
{
    if (reader->head_text.size > 0) {
        reader->head_text.size--;
    }
    buf_append(&reader->head_text, data, size);
    buf_append(&reader->head_text, "", 1);
}

static void
begin_text(http_reader *reader)
{
    buf_append(&reader->head_text, "", 1);
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    append_terminated(reader_from_parser(parser), data, size);
    return 0;
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_from_parser(parser);
    http_head *head = &reader->head;

    if (reader->is_head_complete) {
        return 0; /* trailers are discarded */
    }
    if (head->header_count == 0 || reader->is_in_value) {
        begin_text(reader);
        head->header_count++;
        reader->is_in_value = false;
    }
    append_terminated(reader, data, size);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_from_parser(parser);

    if (reader->is_head_complete) {
        return 0;
    }
    if (!reader->is_in_value) {
        begin_text(reader);
        reader->is_in_value = true;
    }
    append_terminated(reader, data, size);
    return 0;
}

static const char *
next_text(const char *text)
{
    return text + strlen(text) + 1;
}

/* Points the head at its strings, which stand one behind the other; head_text
 * may have moved until the head was complete. Returns false when out of
 * memory. */
static bool
set_head_strings(http_reader *reader)
{
    http_head *head = &reader->head;
    const char *text;
    uint32_t i;

    if (head->header_count > 0 && !reader->is_in_value) {
        begin_text(reader); /* the last value is empty */
    }
    if (reader->head_text.has_failed) {
        return false;
    }
    head->target = reader->head_text.data;
    text = head->target;
    for (i = 0; i < head->header_count; i++) {
        http_header header = {.name = next_text(text)};

        header.value = text = next_text(header.name);
        buf_append(&reader->headers, (const char *)&header, sizeof header);
    }
    head->headers = (http_header *)(void *)reader->headers.data;
    return !reader->headers.has_failed && http_mark_hop_by_hop(head);
}

static http_framing
body_framing(const http_reader *reader)
{
    const http_parser *parser = &reader->parser;

    if (!reader->is_request &&
        (parser->status_code / 100 == 1 || parser->status_code == 204 ||
         parser->status_code == 304)) {
        return HTTP_NO_BODY; /* whatever the headers say */
    }
    if ((parser->flags & F_CHUNKED) != 0) {
        return HTTP_CHUNKED;
    }
    if ((parser->flags & F_CONTENTLENGTH) != 0) {
        return HTTP_CONTENT_LENGTH;
    }
    return reader->is_request ? HTTP_NO_BODY : HTTP_UNTIL_CLOSE;
}

/* http-parser accepts names with spaces and values with control characters. */
static bool
is_valid_header(const http_header *header)
{
    static const char token_punctuation[] = "!#$%&'*+-.^_`|~";
    const char *c;

    for (c = header->name; *c != '\0'; c++) {
        if (!isalnum((unsigned char)*c) &&
            strchr(token_punctuation, *c) == NULL) {
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

/* Could another HTTP implementation read the head as a different message? */
static bool
is_ambiguous(const http_reader *reader)
{
    const http_head *head = &reader->head;
    uint32_t host_count = http_count_headers(head, "Host");
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        if (!is_valid_header(&head->headers[i])) {
            return true;
        }
    }
    if (!reader->is_request) {
        return false;
    }
    if (reader->parser.method == HTTP_CONNECT || head->target[0] != '/') {
        return true;
    }
    return host_count != 1 || *http_find_header(head, "Host") == '\0' ||
           http_count_headers(head, "Transfer-Encoding") > 1;
}

static bool
may_have_body(const http_reader *reader)
{
    return !reader->skips_body && reader->head.framing != HTTP_NO_BODY;
}

/* http-parser decodes a body only if chunked is its last coding, and leaves it
 * encoded with the others. No request allows others: TE is not forwarded. */
static bool
is_coding_supported(const http_reader *reader)
{
    http_codings codings = http_count_codings(&reader->head);
    bool is_chunked = reader->head.framing == HTTP_CHUNKED;

    return codings.others == 0 && codings.chunked == is_chunked;
}

static int
on_headers_complete(http_parser *parser)
{
    http_reader *reader = reader_from_parser(parser);
    http_head *head = &reader->head;

    if (!set_head_strings(reader)) {
        reader->has_no_memory = true;
        return -1;
    }
    reader->is_head_complete = true;
    head->method = http_method_str(parser->method);
    head->status = parser->status_code;
    head->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    head->is_keep_alive = http_should_keep_alive(parser) != 0;
    head->framing = body_framing(reader);
    head->body_size =
        head->framing == HTTP_CONTENT_LENGTH ? parser->content_length : 0;
    if (parser->http_major != 1) {
        return mark_malformed(reader, SYN_BAD_STATUS_LINE);
    }
    if (is_ambiguous(reader)) {
        return mark_malformed(reader, SYN_BAD_HEADER);
    }
    if (!reader->is_request && may_have_body(reader) &&
        !is_coding_supported(reader)) {
        return mark_malformed(reader, SYN_BAD_FRAMING);
    }
    parser->upgrade = 0;
    if (!reader->ops->on_head(reader, head)) {
        reader->is_stopped = true;
        return -1;
    }
    return reader->is_request || may_have_body(reader) ? 0 : 1;
}

static int
on_body_data(http_parser *parser, const char *data, size_t size)
{
    http_reader *reader = reader_from_parser(parser);

    if (!reader->ops->on_body(reader, data, size)) {
        reader->is_stopped = true;
        return 1;
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    http_reader *reader = reader_from_parser(parser);

    reader->is_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_callbacks = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body_data,
    .on_message_complete = on_message_complete,
};

void
http_reader_init(http_reader *reader, const http_reader_ops *ops, void *owner,
                 bool is_request, size_t max_head_size)
{
    memset(reader, 0, sizeof *reader);
    reader->ops = ops;
    reader->owner = owner;
    reader->is_request = is_request;
    reader->max_head_size = max_head_size;
    buf_init(&reader->head_text);
    buf_init(&reader->headers);
    http_reader_restart(reader);
}

void
http_allow_head_size(uint32_t size)
{
    uint32_t most = UINT32_MAX - UNCOUNTED_HEAD_BYTES;

    size = (size < most ? size : most) + UNCOUNTED_HEAD_BYTES;
    http_parser_set_max_header_size(
        size > HTTP_MAX_HEADER_SIZE ? size : HTTP_MAX_HEADER_SIZE);
}

void
http_reader_finish(http_reader *reader)
{
    buf_finish(&reader->head_text);
    buf_finish(&reader->headers);
}

void
http_reader_restart(http_reader *reader)
{
    http_parser_init(&reader->parser,
                     reader->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
    buf_finish(&reader->head_text);
    buf_finish(&reader->headers);
    reader->head.header_count = 0;
    reader->head_size = 0;
    reader->is_in_value = false;
    reader->is_head_complete = false;
    reader->is_complete = false;
    reader->is_malformed = false;
    reader->fault = SYN_NO_FAULT;
    memset(&reader->status_line, 0, sizeof reader->status_line);
    memset(&reader->chunks, 0, sizeof reader->chunks);
    reader->is_head_too_large = false;
    reader->is_stopped = false;
    reader->has_no_memory = false;
    reader->skips_body = false;
    reader->has_started = false;
    reader->is_empty_line = false;
    reader->previous_byte = '\0';
}

/* Finds folded header lines, which the parser would join, a CR without LF,
 * behind which it skips a byte, and status lines that are not valid. */
static syn_fault
check_head_byte(http_reader *reader, char byte)
{
    syn_fault fault = SYN_NO_FAULT;

    if (reader->previous_byte == '\n' && (byte == ' ' || byte == '\t')) {
        return SYN_BAD_HEADER;
    }
    if (!reader->is_request) {
        fault = syn_check_status_line(&reader->status_line, byte);
        if (reader->previous_byte == '\r' && byte != '\n') {
            fault = SYN_BAD_HEADER;
        }
    }
    return fault;
}

/* Checks the bytes of a head and enforces its size limit. Returns the number
 * of bytes to parse. */
static size_t
check_head_bytes(http_reader *reader, const char *data, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        bool is_line_start = reader->previous_byte == '\n';
        syn_fault fault = check_head_byte(reader, data[i]);

        if (fault != SYN_NO_FAULT) {
            mark_malformed(reader, fault);
            return i;
        }
        if (reader->is_empty_line || (is_line_start && data[i] == '\n')) {
            reader->is_empty_line = false;
            reader->previous_byte = '\n';
            return i + 1; /* the head ends here */
        }
        reader->is_empty_line = is_line_start && data[i] == '\r';
        reader->previous_byte = data[i];
        if (reader->is_empty_line) {
            continue;
        }
        if (++reader->head_size > reader->max_head_size) {
            reader->is_head_too_large = true;
            return i;
        }
    }
    return size;
}

/* Checks the bytes of a chunked response, where http-parser takes any two for
 * a line end. Returns the number of bytes to parse. */
static size_t
check_body_bytes(http_reader *reader, const char *data, size_t size)
{
    size_t valid = size;

    if (!reader->is_request && reader->head.framing == HTTP_CHUNKED) {
        valid = syn_check_chunks(&reader->chunks, data, size);
    }
    if (valid == 0) {
        mark_malformed(reader, SYN_BAD_CHUNK);
    }
    return valid;
}

static http_result
reader_result(const http_reader *reader)
{
    if (reader->is_complete) {
        return HTTP_COMPLETE;
    }
    if (reader->is_head_too_large ||
        HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW) {
        return HTTP_HEAD_TOO_LARGE;
    }
    if (reader->is_stopped) {
        return HTTP_STOPPED;
    }
    if (reader->has_no_memory) {
        return HTTP_NO_MEMORY;
    }
    if (reader->is_malformed || HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK) {
        return HTTP_MALFORMED;
    }
    return HTTP_INCOMPLETE;
}

static syn_fault
parser_fault(const http_reader *reader)
{
    if (reader->is_head_complete) {
        return SYN_BAD_CHUNK;
    }
    switch (HTTP_PARSER_ERRNO(&reader->parser)) {
    case HPE_INVALID_VERSION:
    case HPE_INVALID_STATUS:
    case HPE_INVALID_CONSTANT:
        return SYN_BAD_STATUS_LINE;
    case HPE_INVALID_HEADER_TOKEN:
    case HPE_LF_EXPECTED:
        return SYN_BAD_HEADER;
    case HPE_INVALID_CONTENT_LENGTH:
    case HPE_UNEXPECTED_CONTENT_LENGTH:
        return SYN_BAD_FRAMING;
    default:
        return SYN_OTHER_FAULT;
    }
}

const char *
http_reader_fault(const http_reader *reader)
{
    switch (reader_result(reader)) {
    case HTTP_MALFORMED:
        return syn_fault_name(reader->fault != SYN_NO_FAULT
                                  ? reader->fault
                                  : parser_fault(reader));
    case HTTP_HEAD_TOO_LARGE:
        return syn_fault_name(SYN_HEAD_TOO_LARGE);
    default:
        return syn_fault_name(SYN_NO_FAULT);
    }
}

http_result
http_reader_feed(http_reader *reader, const char *data, size_t size,
                 size_t *consumed)
{
    *consumed = 0;
    if (size == 0) {
        return HTTP_INCOMPLETE;
    }
    if (!reader->has_started) {
        reader->has_started = true;
        begin_text(reader); /* the target */
    }
    while (*consumed < size && reader_result(reader) == HTTP_INCOMPLETE) {
        size_t length = size - *consumed;

        length = reader->is_head_complete
                     ? check_body_bytes(reader, data + *consumed, length)
                     : check_head_bytes(reader, data + *consumed, length);
        if (reader->is_malformed || reader->is_head_too_large) {
            return reader_result(reader);
        }
        *consumed += http_parser_execute(&reader->parser, &parser_callbacks,
                                         data + *consumed, length);
    }
    if (reader->is_complete && !reader->ops->on_end(reader)) {
        reader->is_stopped = true;
    }
    return reader_result(reader);
}

http_result
http_reader_feed_eof(http_reader *reader)
{
    if (!reader->has_started) {
        return HTTP_MALFORMED;
    }
    http_parser_execute(&reader->parser, &parser_callbacks, NULL, 0);
    if (reader->is_complete && !reader->ops->on_end(reader)) {
        reader->is_stopped = true;
    }
    return reader->is_complete ? HTTP_COMPLETE : HTTP_MALFORMED;
}
