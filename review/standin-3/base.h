/*
 * Parts that the cases share: time, the record, loopback sockets, HTTP/1.1
 * messages on blocking sockets, and threads.
 */
#ifndef BASE_H
#define BASE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BASE_HEAD_SIZE 8192

/* Exit codes of a case. */
#define BASE_HELD 0
#define BASE_BROKEN 1
#define BASE_CANNOT_RUN 2

/* A message as it was read: the first line, the lines of the headers, and the
 * body without its framing. */
typedef struct base_message {
    char head[BASE_HEAD_SIZE];
    int status; /* of a response */
    char method[16];
    char target[1024];
    char *body; /* free it with base_free_message */
    size_t body_size;
    bool is_whole;    /* according to its framing */
    bool is_unframed; /* its body ended with the connection */
    bool closes;      /* "Connection: close" */
} base_message;

/* Bytes of a connection that were read and not used yet. */
typedef struct base_reader {
    int fd;
    char data[65536];
    size_t size;
    bool has_ended;
    bool was_reset;
} base_reader;

uint64_t base_now_ms(void);
uint64_t base_unix_ms(void);
void base_sleep_ms(uint64_t duration);

/* Opens the record. Lines carry the time since then. */
void base_open_record(const char *path);

/* Opens the record that the process which started this one opened. */
void base_join_record(void);
void base_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Ends the case with BASE_CANNOT_RUN. */
void base_give_up(const char *why);

/* Listens on a free port of 127.0.0.1, or on `port` unless it is 0. */
int base_listen(uint16_t port);
uint16_t base_port_of(int fd);

/* Returns a port that nothing listens on, for TCP and UDP. */
uint16_t base_free_port(void);

/* Returns -1 when the connection is refused. */
int base_connect(uint16_t port);
void base_reset(int fd);
bool base_send(int fd, const char *data, size_t size);
bool base_send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void base_start_thread(void *(*run)(void *), void *argument);

void base_begin_reading(base_reader *reader, int fd);

/* Reads the head of a request or a response. Returns false at the end of the
 * connection. */
bool base_read_head(base_reader *reader, base_message *message);

/* Reads the body of the message. `on_data` is called with each part as it
 * arrives; NULL is allowed. */
typedef void base_on_data(void *context, const char *data, size_t size);
void base_read_body(base_reader *reader, base_message *message,
                    bool is_request, base_on_data *on_data, void *context);

/* Copies the value of a header; returns false, and leaves "" there, when the
 * message has none. */
bool base_find_header(const base_message *message, const char *name,
                      char *value, size_t size);
void base_free_message(base_message *message);

#endif
