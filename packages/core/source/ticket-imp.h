#ifndef TICKET_IMP_H
#define TICKET_IMP_H

#include "lavender/ticket.h"

/* What a ticket's text says. */
typedef struct tkt_claims {
    lv_id minter;
    uint64_t incarnation;
    lv_id account;
    uint64_t serial;
    lv_time lifetime;
} tkt_claims;

/* Write and sign the text; false when the signature can not be made. */
bool tkt_write_text(const uint8_t *key, const tkt_claims *claims, char *text);

/* Read a text; false when it is malformed or its signature is wrong. */
bool tkt_read_text(const uint8_t *key, const char *text, tkt_claims *claims);

#endif
