/*
 * A session of callers with a real router: a script of one command a line,
 * and its transcript. What differs from run to run (numbers of requests,
 * tickets, waits) is replaced by a word.
 *
 * Before `start`, shape the fleet:
 *   settings LINE, entry LINE, catalogue LINE   further lines of the texts
 *   tickets LINE
 *   token-us N, service-us N, two-routers, no-catalogue
 * Then:
 *   header NAME: VALUE        of the next request; $ticket is the last one
 *   ticket ACCOUNT            mint a ticket
 *   ask METHOD PATH ACCOUNT BODY      ACCOUNT - sends no key
 *   begin ID METHOD PATH ACCOUNT BODY send, and read the answer at `end ID`
 *   first ID                  wait for the first byte of its answer
 *   leave ID                  close its connection
 *   router N                  the next requests go to this one (1 or 2)
 *   fault engine|service JSON, count engine|service NAME
 *   wait engine|service NAME N        until the count is at least N
 *   kill engine|service, term, exit, ready, restart
 *   pause MS
 */
#ifndef GOLDEN_H
#define GOLDEN_H

#include <stdio.h>

#include "rig.h"

#define GOLDEN_OPEN_MAX 16
#define GOLDEN_TICKET_SIZE 256

typedef struct golden_open {
    char id[32];
    int socket;
    char first; /* a byte read by `first` */
    bool has_first;
} golden_open;

typedef struct golden_session {
    rig_rig rig;
    rig_shape shape;
    char settings[RIG_TEXT_SIZE];
    char entry[RIG_TEXT_SIZE];
    char catalogue[RIG_TEXT_SIZE];
    char tickets[RIG_TEXT_SIZE];
    char headers[RIG_TEXT_SIZE];
    char ticket[GOLDEN_TICKET_SIZE];
    uint32_t router;
    bool is_started;
    golden_open open[GOLDEN_OPEN_MAX];
    FILE *transcript;
} golden_session;

/* Play one line; false when it is no command or failed. */
bool golden_play(golden_session *session, char *line);

/* Write an answer into the transcript. */
void golden_print(FILE *to, const rig_answer *answer);

#endif
