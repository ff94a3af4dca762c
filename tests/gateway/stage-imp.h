#ifndef STAGE_IMP_H
#define STAGE_IMP_H

#include "stage.h"

/* Start fake endpoint "e-<number>" on a free port of loopback. */
void stage_start_endpoint(stage_fixture *stage, stage_endpoint *endpoint,
                          uint32_t number);
void stage_stop_endpoint(stage_endpoint *endpoint);

/* stage-store.c: the fake store. */
void stage_start_store(stage_fixture *stage);

/* Respond to the watches whose wait is over: 410 to one that missed a change,
 * as the store keeps no history, and no events to all others. */
void stage_end_watches(stage_fixture *stage);

/* stage-cached.c */

/* Answers a request for the blocks that an endpoint has cached; false if it is
 * another one. */
bool stage_answer_cached(const stage_endpoint *endpoint, io_stream *stream,
                         const http_head *head);

/* Does the request hold the text that the endpoint crashes on? */
bool stage_is_deadly(const stage_endpoint *endpoint, const http_head *head);

#define SEAL_HEADER "Lavenderproxy-Runner-Seal: seal-1\r\n"

/* stage-endless.c: how an endless mode begins and what it repeats. */
typedef struct stage_endless {
    const char *id;     /* of the attempt; NULL: the request's */
    const char *status; /* NULL: the texts hold the heads */
    const char *headers;
    const char *first;
    const char *repeated;
} stage_endless;

const stage_endless *stage_find_endless(stage_mode mode);

/* Fill a block with repetitions and return the bytes used. */
size_t stage_repeat_endless(stage_mode mode, char *block, size_t size);

#endif
