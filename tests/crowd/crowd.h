/*
 * A crowd of clients that do not behave, against one process: each connects,
 * sends a head and then repeats a piece, and stays open. Nothing here depends
 * on speed: the crowd is done when every client has sent all its bytes, was
 * closed, or can send no more.
 */
#ifndef CROWD_H
#define CROWD_H

#include "common-process.h"
#include "lavender/buffer.h"

#define CROWD_BODY_BYTES ((size_t)4 * 1024 * 1024) /* the pages' limit */

typedef struct crowd_shape {
    uint32_t clients;
    uint32_t connections;  /* that each client opens in turn; 0: one */
    const char *head;      /* "%u" is the client's number */
    const char *piece;     /* repeated; a single byte is repeated in blocks */
    uint64_t piece_bytes;  /* sent of the pieces */
    const char *more_head; /* more bytes behind the head, which may be zero */
    size_t more_head_size;
    size_t piece_size; /* 0: the length of `piece` */
    bool reads;        /* reads the answers; otherwise they stay unread */
    size_t answer_min; /* bytes of answers to read before the pieces */
} crowd_shape;

/* Maxima over the life of the process or of the crowd. */
typedef struct crowd_usage {
    uint64_t memory_kb;   /* resident, as the kernel recorded it */
    uint64_t unread_kb;   /* received and not read by the process */
    uint32_t descriptors; /* open */
    uint64_t sent;        /* bytes that the crowd sent */
    uint32_t closed;      /* connections that the process closed */
} crowd_usage;

typedef struct crowd_crowd crowd_crowd;

/* Lets the test's own stand-ins work while the crowd does; may be NULL. */
typedef void crowd_step(void *context);

/* Sends all that the crowd has to send to IP:PORT and keeps the connections
 * open. `usage` is updated and covers earlier crowds. */
crowd_crowd *crowd_start(const proc_process *process, const char *address,
                         const crowd_shape *shape, crowd_step *step,
                         void *context, crowd_usage *usage);

/* Closes all connections. */
void crowd_stop(crowd_crowd *crowd);

/* Sends one request on a connection of its own and reads the answer until the
 * connection ends or `timeout_ms` is over. Returns the status; 0: none. */
int crowd_ask(const char *address, const char *request, crowd_step *step,
              void *context, uint64_t timeout_ms);

/* Asks again until the answer is 200. Returns whether it was, within a time
 * that only a process that hangs exceeds. */
bool crowd_ask_until_served(const char *address, const char *request,
                            crowd_step *step, void *context);

/* Writes two requests, as strings, with a body of CROWD_BODY_BYTES: in one
 * piece, and in chunks of a byte. `head` is the start of the head. */
void crowd_write_largest(buf_buffer *whole, buf_buffer *chunked,
                         const char *head);

/* Is the process still running? */
bool crowd_is_alive(proc_process *process);

/* Opens as many descriptors as the system allows this process. */
void crowd_raise_limits(void);

/* Makes the address sanitizer release freed memory at once in processes that
 * are started from now on, so that it is not measured. */
void crowd_set_sanitizer_options(void);

#endif
