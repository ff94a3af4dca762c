#include <stdio.h>
#include <string.h>

#include "callers-imp.h"

/* h2o rejects some malformed requests itself, before a handler is called. This
 * output stream replaces the body of such an error response by the JSON form
 * that response_send_refusal uses. */
typedef struct error_ostream {
    h2o_ostream_t super;
    bool is_sent;
    int size;
    char text[512];
} error_ostream;

static out_reason
reason_of(int status)
{
    switch (status) {
    case 413:
        return OUT_REASON_BODY_TOO_LARGE;
    case 404:
        return OUT_REASON_UNKNOWN_ROUTE;
    case 503:
        return OUT_REASON_MEMORY;
    default:
        return OUT_REASON_BAD_REQUEST;
    }
}

static void
send_error(h2o_ostream_t *ostream, h2o_req_t *req, h2o_iovec_t *buffers,
           size_t count, h2o_send_state_t state)
{
    error_ostream *self = (error_ostream *)ostream;
    h2o_iovec_t text = h2o_iovec_init(self->text, (size_t)self->size);

    (void)buffers;
    (void)count;
    if (self->is_sent) {
        h2o_ostream_send_next(ostream, req, NULL, 0, state);
        return;
    }
    self->is_sent = true;
    h2o_ostream_send_next(ostream, req, &text, 1, state);
}

static void
on_setup_ostream(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
    out_reason reason = reason_of(req->res.status);
    error_ostream *ostream;

    (void)self;
    if (req->res.status < 400 ||
        h2o_find_header_by_str(&req->res.headers,
                               H2O_STRLIT("lavender-outcome"), -1) != -1) {
        h2o_setup_next_ostream(req, slot);
        return;
    }
    ostream = (error_ostream *)h2o_add_ostream(req, sizeof *ostream, slot);
    ostream->super.do_send = send_error;
    ostream->is_sent = false;
    ostream->size =
        snprintf(ostream->text, sizeof ostream->text,
                 "{\"error\": {\"kind\": \"%s\", \"message\": \"%s\", "
                 "\"remedy\": \"%s\", \"outcome\": \"not-run\"}}\n",
                 out_reason_name(reason), out_reason_message(reason),
                 out_reason_remedy(reason));
    h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                   H2O_STRLIT("application/json"), 1);
    h2o_set_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("lavender-outcome"), 0,
                          H2O_STRLIT("not-run"), 1);
    req->res.content_length = (size_t)ostream->size;
    h2o_setup_next_ostream(req, &ostream->super.next);
}

void
error_filter_add(h2o_hostconf_t *host)
{
    h2o_filter_t *filter =
        h2o_create_filter(&host->fallback_path, sizeof *filter);

    filter->on_setup_ostream = on_setup_ostream;
}
