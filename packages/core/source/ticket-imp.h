/*
 * The text of a ticket.
 */
#ifndef TICKET_IMP_H
#define TICKET_IMP_H

#include "lavender/ticket.h"

/* The signed fields of a ticket, in the order of the text. */
typedef struct tkt_claims {
    lv_id minter;
    uint64_t incarnation;
    lv_id account;
    uint64_t serial;
    lv_time lifetime;
} tkt_claims;

/* Writes the claims and their signature to text, which has TKT_TEXT_SIZE
 * bytes. Returns false when the HMAC cannot be computed. */
bool tkt_encode(const uint8_t *key, const tkt_claims *claims, char *text);

/* Reads the claims of a text. Returns false when the text is malformed or its
 * signature is wrong. */
bool tkt_decode(const uint8_t *key, const char *text, tkt_claims *claims);

#endif
