/*
 * An incremental reader for HTTP/1.1 requests and responses, built on the
 * http-parser library. It collects a whole head before it reports it, rejects
 * heads that allow request smuggling and responses that RFC 9112 calls
 * invalid, and reports how the body is delimited.
 */
#ifndef LAVENDER_GATEWAY_HTTP_H
#define LAVENDER_GATEWAY_HTTP_H

#include <http_parser.h>

#include "lavender-net/syntax.h"
#include "lavender/buffer.h"
#include "lavender/error.h"

typedef struct http_header {
    const char *name;
    const char *value;

    /* It concerns one connection only, and is not forwarded. Content-Length
     * and Expect count as such: the gateway handles them itself. */
    bool is_hop_by_hop;
} http_header;

/* How the end of a body is determined. */
typedef enum http_framing {
    HTTP_NO_BODY,
    HTTP_CONTENT_LENGTH, /* by Content-Length */
    HTTP_CHUNKED,
    HTTP_UNTIL_CLOSE /* by the end of the connection */
} http_framing;

/* The head of a message: its start line and headers. Its strings are valid
 * until http_reader_restart. */
typedef struct http_head {
    const char *method; /* requests only */
    const char *target; /* requests only, as sent */
    uint32_t status;    /* responses only; from 100 to 599 */
    bool is_keep_alive;
    bool is_http_1_0;
    http_framing framing;
    uint64_t body_size; /* in bytes, with HTTP_CONTENT_LENGTH; otherwise 0 */
    uint32_t header_count; /* any number that fits into the head's size */
    http_header *headers;
} http_head;

typedef struct http_reader http_reader;

/* A callback that returns false stops the reader; until it is restarted, it
 * reads no more. */
typedef struct http_reader_ops {
    bool (*on_head)(http_reader *reader, const http_head *head);
    bool (*on_body)(http_reader *reader, const char *data, size_t size);
    bool (*on_end)(http_reader *reader);
} http_reader_ops;

typedef enum http_result {
    HTTP_INCOMPLETE,     /* all bytes are consumed; the message continues */
    HTTP_COMPLETE,       /* the message is complete; bytes may remain */
    HTTP_MALFORMED,      /* the message is malformed or ambiguous */
    HTTP_HEAD_TOO_LARGE, /* the head has too many bytes */
    HTTP_STOPPED,        /* on_head or on_body returned false */
    HTTP_NO_MEMORY       /* the head could not be stored */
} http_result;

/* A member of the object that `owner` points to. */
struct http_reader {
    const http_reader_ops *ops;
    void *owner;
    http_parser parser;
    http_head head;
    buf_buffer head_text; /* target, names and values, NUL-terminated */
    buf_buffer headers;   /* of the head, once it is complete */
    size_t max_head_size; /* in bytes */
    size_t head_size;     /* bytes read so far */
    bool is_request;
    bool is_in_value; /* the last header text read was of a value */
    bool is_head_complete;
    bool is_complete;
    bool is_malformed;
    syn_fault fault; /* why; SYN_NO_FAULT: the parser found it */
    syn_status_line status_line;
    syn_chunks chunks;
    bool is_head_too_large;
    bool is_stopped;
    bool has_no_memory;
    bool skips_body;    /* set for the response to a HEAD request */
    bool has_started;   /* a byte of the current message was read */
    bool is_empty_line; /* its CR was read */
    char previous_byte; /* of the head */
};

/* Initializes a reader for requests or responses whose heads may have up to
 * `max_head_size` bytes. */
void http_reader_init(http_reader *reader, const http_reader_ops *ops,
                      void *owner, bool is_request, size_t max_head_size);
void http_reader_finish(http_reader *reader);

/* Lets http-parser, whose limit holds for the whole process, accept heads of
 * `size` bytes. It is at least that of the library; max_head_size of a reader
 * is enforced beside it. */
void http_allow_head_size(uint32_t size);

/* Prepares the reader for the next message. */
void http_reader_restart(http_reader *reader);

/* Reads bytes; `consumed` receives how many of them belong to the message. */
http_result http_reader_feed(http_reader *reader, const char *data,
                             size_t size, size_t *consumed);

/* Reports an orderly end of the connection to the reader. Returns
 * HTTP_COMPLETE when the message is complete with it and HTTP_MALFORMED when
 * it is not. */
http_result http_reader_feed_eof(http_reader *reader);

/* Returns what is wrong with the message, for the log; "none" unless the last
 * result was HTTP_MALFORMED or HTTP_HEAD_TOO_LARGE. */
const char *http_reader_fault(const http_reader *reader);

/* Returns the value of the first header with a name, compared without regard
 * to case, or NULL. */
const char *http_find_header(const http_head *head, const char *name);

/* Returns how many headers have a name, compared without regard to case. */
uint32_t http_count_headers(const http_head *head, const char *name);

/* Returns whether a comma-separated list contains a token, compared without
 * regard to case. */
bool http_has_token(const char *value, const char *token);

/* Counts the transfer codings of a message whose name is, or is not, chunked.
 * Empty elements and identity, which RFC 2616 had, are none. */
typedef struct http_codings {
    uint32_t chunked;
    uint32_t others;
} http_codings;

http_codings http_count_codings(const http_head *head);

/* Returns the standard reason phrase of a status code. */
const char *http_reason_phrase(uint32_t status);

#endif
