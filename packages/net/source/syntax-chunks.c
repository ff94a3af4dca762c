#include "lavender-net/syntax.h"

#define DEL 0x7f

enum {
    CHUNK_SIZE_START,
    CHUNK_SIZE,
    CHUNK_SIZE_BLANKS,
    CHUNK_EXTENSION,
    CHUNK_SIZE_LF,
    CHUNK_DATA,
    CHUNK_DATA_CR,
    CHUNK_DATA_LF,
    CHUNK_TRAILER_START, /* of a line */
    CHUNK_TRAILER,
    CHUNK_TRAILER_LF,
    CHUNK_END_LF,
    CHUNK_END,
    CHUNK_FAULT
};

/* Returns the value of a hexadecimal digit, or -1. */
static int
hex_value(char byte)
{
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    if (byte >= 'a' && byte <= 'f') {
        return byte - 'a' + 10;
    }
    return byte >= 'A' && byte <= 'F' ? byte - 'A' + 10 : -1;
}

static uint8_t
add_digit(syn_chunks *chunks, int digit)
{
    if (digit < 0) {
        return CHUNK_FAULT;
    }
    chunks->left = chunks->left << 4 | (uint64_t)digit;
    return CHUNK_SIZE;
}

/* Returns the part behind the digits of a size or the blanks behind them. */
static uint8_t
part_behind_size(char byte)
{
    switch (byte) {
    case ' ':
    case '\t':
        return CHUNK_SIZE_BLANKS;
    case ';':
        return CHUNK_EXTENSION;
    case '\r':
        return CHUNK_SIZE_LF;
    default:
        return CHUNK_FAULT;
    }
}

static uint8_t
part_of_extension(char byte)
{
    if (byte == '\r') {
        return CHUNK_SIZE_LF;
    }
    return byte == '\t' || ((unsigned char)byte >= ' ' && byte != DEL)
               ? CHUNK_EXTENSION
               : CHUNK_FAULT;
}

static uint8_t
part_of_trailer(char byte)
{
    if (byte == '\n') {
        return CHUNK_TRAILER_START;
    }
    return byte == '\r' ? CHUNK_TRAILER_LF : CHUNK_TRAILER;
}

/* Returns the part that follows a byte that is not data. */
static uint8_t
next_part(syn_chunks *chunks, char byte)
{
    int digit = hex_value(byte);

    switch (chunks->part) {
    case CHUNK_SIZE_START:
        return add_digit(chunks, digit);
    case CHUNK_SIZE:
        return digit >= 0 ? add_digit(chunks, digit) : part_behind_size(byte);
    case CHUNK_SIZE_BLANKS:
        return part_behind_size(byte);
    case CHUNK_EXTENSION:
        return part_of_extension(byte);
    case CHUNK_SIZE_LF:
        if (byte != '\n') {
            return CHUNK_FAULT;
        }
        return chunks->left > 0 ? CHUNK_DATA : CHUNK_TRAILER_START;
    case CHUNK_DATA_CR:
        return byte == '\r' ? CHUNK_DATA_LF : CHUNK_FAULT;
    case CHUNK_DATA_LF:
        return byte == '\n' ? CHUNK_SIZE_START : CHUNK_FAULT;
    case CHUNK_TRAILER_START:
        if (byte == '\r') {
            return CHUNK_END_LF;
        }
        return byte == '\n' ? CHUNK_END : CHUNK_TRAILER;
    case CHUNK_TRAILER:
        return part_of_trailer(byte);
    case CHUNK_TRAILER_LF:
        return byte == '\n' ? CHUNK_TRAILER_START : CHUNK_FAULT;
    case CHUNK_END_LF:
        return byte == '\n' ? CHUNK_END : CHUNK_FAULT;
    default:
        return CHUNK_FAULT;
    }
}

/* Skips data of a chunk; returns how many bytes. */
static size_t
skip_data(syn_chunks *chunks, size_t size)
{
    size_t skipped = chunks->left < size ? (size_t)chunks->left : size;

    chunks->left -= skipped;
    if (chunks->left == 0) {
        chunks->part = CHUNK_DATA_CR;
    }
    return skipped;
}

size_t
syn_check_chunks(syn_chunks *chunks, const char *data, size_t size)
{
    size_t used = 0;

    while (used < size && chunks->part != CHUNK_END) {
        if (chunks->part == CHUNK_DATA) {
            used += skip_data(chunks, size - used);
            continue;
        }
        chunks->part = next_part(chunks, data[used]);
        if (chunks->part == CHUNK_FAULT) {
            break;
        }
        used++;
    }
    return used;
}

bool
syn_chunks_have_fault(const syn_chunks *chunks)
{
    return chunks->part == CHUNK_FAULT;
}
