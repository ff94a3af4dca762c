#include <criterion/criterion.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define KEY "key-of-alpha"
#define CHAT "/v1/chat/completions"
#define BODY                                                                  \
    "{\"model\":\"m\",\"user\":\"u/1\",\"stream\":true,\"messages\":"         \
    "[{\"role\":\"user\",\"content\":\"x\"}],\"reply_tokens\":40}"
#define DAYS ((long)24 * 3600)

/* HTTP/2 frame types and flags */
enum {
    DATA = 0,
    HEADERS = 1,
    RST_STREAM = 3,
    SETTINGS = 4,
    GOAWAY = 7
};
enum {
    END_STREAM = 1,
    ACK = 1,
    END_HEADERS = 4
};

static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
static rig_rig rig;
static char certificate_path[64], key_path[64];

static void
stop(void)
{
    cr_expect(rig_stop(&rig));
    unlink(certificate_path);
    unlink(key_path);
}

/* A connection with or without TLS. */
typedef struct wire {
    int socket;
    SSL *tls;
    SSL_CTX *context;
} wire;

static void
check(bool is_good, const char *name, const char *what)
{
    cr_expect(is_good, "%s: %s", name, what);
}

static void
wire_open(wire *self, const char *protocol)
{
    unsigned char list[16] = {0};
    size_t i;

    memset(self, 0, sizeof *self);
    self->socket = rig_connect(rig.routers[0].callers);
    if (protocol == NULL) {
        return;
    }
    self->context = SSL_CTX_new(TLS_client_method());
    self->tls = SSL_new(self->context);
    list[0] = (unsigned char)strlen(protocol);
    for (i = 0; protocol[i] != '\0'; i++) {
        list[i + 1] = (unsigned char)protocol[i];
    }
    SSL_set_alpn_protos(self->tls, list, (unsigned)strlen(protocol) + 1);
    SSL_set_fd(self->tls, self->socket);
    check(SSL_connect(self->tls) == 1, protocol, "no TLS");
}

static void
wire_close(wire *self)
{
    if (self->tls != NULL) {
        SSL_free(self->tls);
        SSL_CTX_free(self->context);
    }
    close(self->socket);
}

static void
wire_write(wire *self, const void *bytes, size_t size)
{
    bool is_written = self->tls != NULL
                          ? SSL_write(self->tls, bytes, (int)size) == (int)size
                          : rig_write(self->socket, bytes, size);

    check(is_written, "write", "failed");
}

static bool
wire_read(wire *self, void *bytes, size_t size)
{
    char *to = bytes;
    ssize_t length;

    while (size > 0) {
        length = self->tls != NULL ? SSL_read(self->tls, to, (int)size)
                                   : read(self->socket, to, size);
        if (length <= 0) {
            return false;
        }
        to += length;
        size -= (size_t)length;
    }
    return true;
}

static void
write_frame(wire *self, int type, int flags, uint32_t stream,
            const void *bytes, size_t size)
{
    unsigned char head[9] = {
        (unsigned char)(size >> 16),   (unsigned char)(size >> 8),
        (unsigned char)size,           (unsigned char)type,
        (unsigned char)flags,          (unsigned char)(stream >> 24),
        (unsigned char)(stream >> 16), (unsigned char)(stream >> 8),
        (unsigned char)stream};

    wire_write(self, head, sizeof head);
    if (size > 0) {
        wire_write(self, bytes, size);
    }
}

/* Headers as literals without indexing and without Huffman codes. */
static size_t
add_header(unsigned char *block, size_t used, const char *name,
           const char *value)
{
    block[used++] = 0;
    block[used++] = (unsigned char)strlen(name);
    memcpy(block + used, name, strlen(name));
    used += strlen(name);
    block[used++] = (unsigned char)strlen(value);
    memcpy(block + used, value, strlen(value));
    return used + strlen(value);
}

static void
write_request(wire *self, uint32_t stream)
{
    unsigned char block[512];
    size_t used = 0;

    used = add_header(block, used, ":method", "POST");
    used = add_header(block, used, ":scheme", "http");
    used = add_header(block, used, ":path", CHAT);
    used = add_header(block, used, ":authority", "router");
    used = add_header(block, used, "authorization", "Bearer " KEY);
    write_frame(self, HEADERS, END_HEADERS, stream, block, used);
    write_frame(self, DATA, END_STREAM, stream, BODY, strlen(BODY));
}

typedef struct h2_answer {
    char body[65536];
    size_t size;
    int heads;
    bool has_ended;
    bool is_reset;
} h2_answer;

/* Read frames until `count` streams have ended, from the first on. */
static void
read_answers(wire *self, h2_answer *answers, uint32_t first, int count)
{
    unsigned char head[9], payload[16384];
    int ended = 0;

    while (ended < count && wire_read(self, head, sizeof head)) {
        size_t size = (size_t)head[0] << 16 | (size_t)head[1] << 8 | head[2];
        uint32_t stream = (uint32_t)head[7] << 8 | head[8];
        h2_answer *answer;

        if (size > sizeof payload || !wire_read(self, payload, size)) {
            break;
        }
        if (head[3] == SETTINGS && (head[4] & ACK) == 0) {
            write_frame(self, SETTINGS, ACK, 0, NULL, 0);
        }
        check(head[3] != GOAWAY, "frame", "GOAWAY");
        if (stream < first || stream >= first + (uint32_t)count * 2) {
            continue;
        }
        answer = &answers[(stream - first) / 2];
        answer->heads += head[3] == HEADERS;
        answer->is_reset |= head[3] == RST_STREAM;
        if (head[3] == DATA && answer->size + size < sizeof answer->body) {
            memcpy(answer->body + answer->size, payload, size);
            answer->size += size;
        }
        if ((head[3] == DATA || head[3] == HEADERS) &&
            (head[4] & END_STREAM) != 0) {
            answer->has_ended = true;
        }
        ended += answer->has_ended && (head[4] & END_STREAM) != 0;
    }
}

/* Several streams at once on one connection, each with its whole answer. */
static void
expect_http2(const char *protocol)
{
    static h2_answer answers[3];
    wire self;
    int i;

    memset(answers, 0, sizeof answers);
    wire_open(&self, protocol);
    wire_write(&self, preface, strlen(preface));
    write_frame(&self, SETTINGS, 0, 0, NULL, 0);
    for (i = 0; i < 3; i++) {
        write_request(&self, (uint32_t)i * 2 + 1);
    }
    read_answers(&self, answers, 1, 3);
    for (i = 0; i < 3; i++) {
        check(answers[i].heads == 1, "one head", answers[i].body);
        check(answers[i].has_ended && !answers[i].is_reset, "end",
              answers[i].body);
        check(strstr(answers[i].body, "[DONE]") != NULL, "[DONE]",
              answers[i].body);
        check(strstr(answers[i].body, "\"outcome\": \"done\"") != NULL,
              "outcome", answers[i].body);
    }
    wire_close(&self);
}

static void
make_certificate(void)
{
    EVP_PKEY *key = EVP_RSA_gen(2048);
    X509 *certificate = X509_new();
    X509_NAME *name = X509_get_subject_name(certificate);
    FILE *file;

    snprintf(certificate_path, sizeof certificate_path,
             "/tmp/rig-certificate-%d.pem", (int)getpid());
    snprintf(key_path, sizeof key_path, "/tmp/rig-key-%d.pem", (int)getpid());
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), DAYS);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               (const unsigned char *)"router", -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    check(X509_sign(certificate, key, EVP_sha256()) != 0, "sign", "failed");
    file = fopen(certificate_path, "w");
    check(PEM_write_X509(file, certificate) == 1, "write", "failed");
    fclose(file);
    file = fopen(key_path, "w");
    check(PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL) == 1,
          "write", "failed");
    fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

Test(protocols, http2_in_the_clear)
{
    static const rig_shape shape = {0};

    cr_assert(rig_start(&rig, &shape));
    expect_http2(NULL);
    stop();
}

Test(protocols, tls_with_http2_and_http1)
{
    static const char request[] =
        "POST " CHAT " HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " KEY
        "\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n" BODY;
    char listen[256], text[1024], answer[8192];
    rig_shape shape = {.listen = listen};
    wire self;
    size_t used = 0;

    make_certificate();
    snprintf(listen, sizeof listen, "tls_certificate = %s\ntls_key = %s\n",
             certificate_path, key_path);
    cr_assert(rig_start(&rig, &shape));
    expect_http2("h2");
    wire_open(&self, "http/1.1");
    snprintf(text, sizeof text, request, strlen(BODY));
    wire_write(&self, text, strlen(text));
    while (used + 1 < sizeof answer && wire_read(&self, answer + used, 1)) {
        used++;
    }
    answer[used] = '\0';
    cr_expect_eq(strncmp(answer, "HTTP/1.1 200 ", 13), 0, "%s", answer);
    cr_expect_not_null(strstr(answer, "[DONE]"));
    cr_expect_not_null(strstr(answer, "\r\n0\r\n\r\n"));
    wire_close(&self);
    stop();
}

/* A stream that is reset is cancelled; the connection's others go on. */
Test(protocols, a_reset_stream_is_cancelled)
{
    static const rig_shape shape = {.token_us = 50000, .linger_ms = 200};
    static const unsigned char cancel[4] = {0, 0, 0, 8};
    static h2_answer answers[1];
    long long cancelled = 0;
    wire self;
    int i;

    cr_assert(rig_start(&rig, &shape));
    wire_open(&self, NULL);
    wire_write(&self, preface, strlen(preface));
    write_frame(&self, SETTINGS, 0, 0, NULL, 0);
    write_request(&self, 3);
    while (rig_count(&rig.engine, "/admin/counts", "running") < 1) {
        proc_sleep_ms(5);
    }
    write_frame(&self, RST_STREAM, 0, 3, cancel, sizeof cancel);
    for (i = 0; i < 200 && cancelled == 0; i++) {
        proc_sleep_ms(20);
        cancelled = rig_count(&rig.engine, "/admin/counts", "cancelled");
    }
    cr_expect_eq(cancelled, 1);
    memset(answers, 0, sizeof answers);
    write_request(&self, 5);
    read_answers(&self, answers, 5, 1);
    cr_expect(answers[0].has_ended);
    cr_expect_not_null(strstr(answers[0].body, "[DONE]"));
    wire_close(&self);
    stop();
}
