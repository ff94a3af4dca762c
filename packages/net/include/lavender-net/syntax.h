/*
 * Checks of HTTP/1.1 responses by RFC 9112 that neither http-parser nor h2o's
 * client makes. They watch the bytes that a parser reads; what they accept
 * may still be malformed.
 */
#ifndef LAVENDER_NET_SYNTAX_H
#define LAVENDER_NET_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What is wrong with a response. */
typedef enum syn_fault {
    SYN_NO_FAULT,
    SYN_BAD_STATUS_LINE,
    SYN_BAD_STATUS, /* three digits, but not from 100 to 599 (RFC 9110) */
    SYN_BAD_HEADER,
    SYN_BAD_FRAMING, /* Content-Length or Transfer-Encoding */
    SYN_BAD_CHUNK,
    SYN_HEAD_TOO_LARGE,
    SYN_OTHER_FAULT
} syn_fault;

/* Returns the name of a fault for the log. */
const char *syn_fault_name(syn_fault fault);

/* A status line in progress; all zero at its first byte. */
typedef struct syn_status_line {
    uint8_t part;
    uint8_t digits; /* of the status */
    uint16_t status;
} syn_status_line;

/* Checks the next byte of a head; bytes after the status line are accepted.
 * The protocol version and what follows a CR are left to the parser. */
syn_fault syn_check_status_line(syn_status_line *line, char byte);

/* A chunked body in progress; all zero at its first byte. */
typedef struct syn_chunks {
    uint8_t part;
    uint64_t left; /* bytes of the chunk's data */
} syn_chunks;

/* Checks the next bytes of a chunked body and returns how many of them belong
 * to it: all, unless the body ends before or has a fault. Line ends must be CR
 * LF, in trailers LF too. Sizes over 64 bits and what trailers say are left to
 * the parser. */
size_t syn_check_chunks(syn_chunks *chunks, const char *data, size_t size);

/* Returns whether the byte behind those that belong to the body is not valid.
 */
bool syn_chunks_have_fault(const syn_chunks *chunks);

#endif
