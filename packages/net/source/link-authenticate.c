#include <string.h>
#include <zmq.h>

#include "link-imp.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"

/* Frames of a ZAP request: version, request id, domain, address, identity,
 * mechanism, credentials. */
#define ZAP_FRAMES 7
#define ZAP_FRAME_REQUEST_ID 1
#define ZAP_FRAME_MECHANISM 5
#define ZAP_FRAME_CREDENTIALS 6
#define ZAP_FRAME_SIZE 256
#define CURVE_KEY_BYTES 32

typedef struct zap_request {
    char frames[ZAP_FRAMES][ZAP_FRAME_SIZE];
    size_t sizes[ZAP_FRAMES];
    int count;
} zap_request;

bool
link_fail(err_error *error, const char *remedy, const char *what)
{
    return err_set(error, ERR_SYSTEM, remedy, "%s: %s", what,
                   zmq_strerror(zmq_errno()));
}

int
link_descriptor_of(void *socket)
{
    int descriptor = -1;
    size_t size = sizeof descriptor;

    zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
    return descriptor;
}

static bool
receive_request(void *socket, zap_request *request)
{
    int more = 1;
    size_t more_size = sizeof more;

    request->count = 0;
    while (more) {
        char frame[ZAP_FRAME_SIZE];
        int size = zmq_recv(socket, frame, sizeof frame, ZMQ_DONTWAIT);

        if (size < 0) {
            return false;
        }
        if (request->count < ZAP_FRAMES && size <= ZAP_FRAME_SIZE) {
            memcpy(request->frames[request->count], frame, (size_t)size);
            request->sizes[request->count] = (size_t)size;
        }
        request->count++;
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &more_size);
    }
    return true;
}

static bool
is_fleet_key(const link_transport *link, const zap_request *request)
{
    static const char mechanism[] = "CURVE";
    uint8_t fleet[CURVE_KEY_BYTES];

    if (request->count != ZAP_FRAMES ||
        request->sizes[ZAP_FRAME_MECHANISM] != sizeof mechanism - 1 ||
        memcmp(request->frames[ZAP_FRAME_MECHANISM], mechanism,
               sizeof mechanism - 1) != 0 ||
        request->sizes[ZAP_FRAME_CREDENTIALS] != CURVE_KEY_BYTES) {
        return false;
    }
    if (zmq_z85_decode(fleet, link->settings.public_key) == NULL) {
        return false;
    }
    return memcmp(fleet, request->frames[ZAP_FRAME_CREDENTIALS],
                  CURVE_KEY_BYTES) == 0;
}

static void
send_text(void *socket, const char *text, int flags)
{
    zmq_send(socket, text, strlen(text), flags);
}

static void
answer(link_transport *link, const zap_request *request)
{
    void *socket = link->authenticator;
    bool is_ok = is_fleet_key(link, request);

    if (!is_ok) {
        link->counts.refused_keys++;
    }
    send_text(socket, ZAP_VERSION, ZMQ_SNDMORE);
    zmq_send(socket, request->frames[ZAP_FRAME_REQUEST_ID],
             request->sizes[ZAP_FRAME_REQUEST_ID], ZMQ_SNDMORE);
    send_text(socket, is_ok ? "200" : "400", ZMQ_SNDMORE);
    send_text(socket, is_ok ? "OK" : "not this fleet's key", ZMQ_SNDMORE);
    send_text(socket, "fleet", ZMQ_SNDMORE);
    send_text(socket, "", 0);
}

static void
answer_all(link_transport *link)
{
    zap_request request = {0};

    while (receive_request(link->authenticator, &request)) {
        answer(link, &request);
    }
}

static void
on_request(uv_poll_t *handle, int status, int events)
{
    (void)status;
    (void)events;
    answer_all(handle->data);
}

bool
link_open_authenticator(link_transport *link, err_error *error)
{
    if (!link->settings.use_curve) {
        return true;
    }
    link->authenticator = zmq_socket(link->zmq, ZMQ_REP);
    if (link->authenticator == NULL ||
        zmq_bind(link->authenticator, ZAP_ENDPOINT) != 0) {
        link_fail(error, "raise the limit of open files",
                  "cannot set up the check of peer keys");
        if (link->authenticator != NULL) {
            zmq_close(link->authenticator);
        }
        return false;
    }
    uv_poll_init(link->loop, &link->authenticator_poll,
                 link_descriptor_of(link->authenticator));
    link->authenticator_poll.data = link;
    uv_poll_start(&link->authenticator_poll, UV_READABLE, on_request);
    return true;
}

void
link_close_authenticator(link_transport *link)
{
    if (link->authenticator == NULL) {
        return;
    }
    uv_poll_stop(&link->authenticator_poll);
    uv_close((uv_handle_t *)&link->authenticator_poll, NULL);
    zmq_close(link->authenticator);
    link->authenticator = NULL;
}
