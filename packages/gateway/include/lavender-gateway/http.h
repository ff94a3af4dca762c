/*
 * HTTP/1.1 messages as they come, on either side. The parser is the
 * http-parser library's; this reader gathers heads whole, is strict where a
 * lenient reading would let one message hide in another, and tells how a body
 * ends.
 */
#ifndef LAVENDER_GATEWAY_HTTP_H
#define LAVENDER_GATEWAY_HTTP_H

#include <http_parser.h>

#include "lavender/buffer.h"
#include "lavender/error.h"

#define HTTP_HEADERS_MAX 128

typedef struct http_header {
    const char *name;
    const char *value;
} http_header;

/* How a body ends. */
typedef enum http_framing {
    HTTP_NO_BODY,
    HTTP_CONTENT_LENGTH,
    HTTP_CHUNKED,
    HTTP_UNTIL_CLOSE
} http_framing;

/* A head; texts live until the reader's next message. */
typedef struct http_head {
    const char *method; /* requests */
    const char *target; /* requests: as sent */
    uint32_t status;    /* answers */
    bool is_keep_alive;
    bool is_http_1_0;
    http_framing framing;
    uint64_t body_size; /* HTTP_CONTENT_LENGTH */
    uint32_t header_count;
    http_header headers[HTTP_HEADERS_MAX];
} http_head;

typedef struct http_reader http_reader;

typedef struct http_reader_ops {
    /* Each returns false to stop reading for good. */
    bool (*on_head)(http_reader *reader, const http_head *head);
    bool (*on_body)(http_reader *reader, const char *data, size_t size);
    bool (*on_end)(http_reader *reader);
} http_reader_ops;

typedef enum http_result {
    HTTP_INCOMPLETE,     /* all bytes are used; the message goes on */
    HTTP_COMPLETE,       /* the message is whole; bytes may be left over */
    HTTP_MALFORMED,      /* not a proper message */
    HTTP_HEAD_TOO_LARGE, /* the head exceeds its limit */
    HTTP_STOPPED         /* a callback said so */
} http_result;

/* Embed it as a member of the owner. */
struct http_reader {
    const http_reader_ops *ops;
    void *owner;
    http_parser parser;
    http_head head;
    buf_buffer text; /* of the head */
    size_t head_limit;
    size_t head_bytes;
    struct {
        uint32_t name; /* offsets in text */
        uint32_t value;
    } places[HTTP_HEADERS_MAX];
    uint32_t target_at;
    bool is_request;
    bool is_in_value;
    bool is_head_done;
    bool is_done;
    bool is_bad;
    bool is_too_large;
    bool is_stopped;
    bool skips_body;  /* the answer to a HEAD request */
    bool has_started; /* bytes of the present message were read */
    char last;        /* the byte before, while in a head */
};

void http_reader_init(http_reader *reader, const http_reader_ops *ops,
                      void *owner, bool is_request, size_t head_limit);
void http_reader_finish(http_reader *reader);

/* Begin with the next message. */
void http_reader_restart(http_reader *reader);

/* Read bytes; `used` says how many belong to the message. */
http_result http_reader_feed(http_reader *reader, const char *data,
                             size_t size, size_t *used);

/* The connection ended properly: HTTP_COMPLETE if that ends the message. */
http_result http_reader_feed_eof(http_reader *reader);

/* The first value of a header by its name in any case, or NULL. */
const char *http_find_header(const http_head *head, const char *name);

/* Does a header concern one connection only? */
bool http_is_hop_by_hop(const http_head *head, const char *name);

/* Does a comma-separated value hold a word, in any case? */
bool http_has_token(const char *value, const char *word);

/* The usual phrase of a status. */
const char *http_reason_phrase(uint32_t status);

#endif
