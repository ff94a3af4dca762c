#include "lavender-gateway/digest.h"

#include <openssl/sha.h>
#include <string.h>

#include "lavender/buffer.h"

/* Each part goes with its size, so that none can run over into the next. */
static void
append_part(buf_buffer *to, const char *bytes, size_t size)
{
    buf_append_format(to, "%zu:", size);
    buf_append(to, bytes, size);
}

static void
append_text(buf_buffer *to, const char *text)
{
    append_part(to, text, strlen(text));
}

/* Frees the message. */
static uint64_t
finish_digest(buf_buffer *message)
{
    unsigned char hash[SHA256_DIGEST_LENGTH];
    uint64_t digest = DIG_NONE;

    if (!message->has_failed) {
        SHA256((const unsigned char *)message->data, message->size, hash);
        memcpy(&digest, hash, sizeof digest);
    }
    buf_finish(message);
    return digest;
}

uint64_t
dig_compute(const dig_request *request)
{
    buf_buffer message;

    buf_init(&message);
    append_text(&message, request->method);
    append_text(&message, request->host);
    append_text(&message, request->target);
    append_text(&message, request->account != NULL ? request->account : "");
    append_part(&message, request->body, request->body_size);
    return finish_digest(&message);
}

uint64_t
dig_stream(const char *attempt_id, const char *account)
{
    buf_buffer message;

    buf_init(&message);
    append_text(&message, attempt_id);
    append_text(&message, account != NULL ? account : "");
    return finish_digest(&message);
}
