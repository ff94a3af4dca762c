#include "lavender-net/syntax.h"

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define DEL 0x7f

enum {
    PART_EMPTY_LINES, /* before the status line */
    PART_VERSION,
    PART_STATUS,
    PART_PHRASE,
    PART_END
};

const char *
syn_fault_name(syn_fault fault)
{
    static const char *const names[] = {
        [SYN_NO_FAULT] = "none",
        [SYN_BAD_STATUS_LINE] = "bad-status-line",
        [SYN_BAD_STATUS] = "bad-status",
        [SYN_BAD_HEADER] = "bad-header",
        [SYN_BAD_FRAMING] = "bad-framing",
        [SYN_BAD_CHUNK] = "bad-chunk",
        [SYN_HEAD_TOO_LARGE] = "head-too-large",
        [SYN_OTHER_FAULT] = "other",
    };

    return names[fault];
}

static bool
is_line_end(char byte)
{
    return byte == '\r' || byte == '\n';
}

/* Checks a byte of the status or, after its digits, the end of it. */
static syn_fault
check_status(syn_status_line *line, char byte)
{
    if (line->digits == 0 && byte == ' ') {
        return SYN_NO_FAULT;
    }
    if (line->digits < STATUS_DIGITS) {
        if (byte < '0' || byte > '9') {
            return SYN_BAD_STATUS_LINE;
        }
        line->digits++;
        line->status = (uint16_t)(line->status * 10 + (byte - '0'));
        return SYN_NO_FAULT;
    }
    if (byte != ' ' && !is_line_end(byte)) {
        return SYN_BAD_STATUS_LINE;
    }
    line->part = byte == '\n' ? PART_END : PART_PHRASE;
    return line->status < STATUS_MIN || line->status > STATUS_MAX
               ? SYN_BAD_STATUS
               : SYN_NO_FAULT;
}

static bool
is_phrase_byte(char byte)
{
    return byte == '\t' || byte == '\r' ||
           ((unsigned char)byte >= ' ' && byte != DEL);
}

syn_fault
syn_check_status_line(syn_status_line *line, char byte)
{
    switch (line->part) {
    case PART_EMPTY_LINES:
        line->part = is_line_end(byte) ? PART_EMPTY_LINES : PART_VERSION;
        break;
    case PART_VERSION:
        if (is_line_end(byte)) {
            return SYN_BAD_STATUS_LINE;
        }
        line->part = byte == ' ' ? PART_STATUS : PART_VERSION;
        break;
    case PART_STATUS:
        return check_status(line, byte);
    case PART_PHRASE:
        if (byte == '\n') {
            line->part = PART_END;
        }
        else if (!is_phrase_byte(byte)) {
            return SYN_BAD_STATUS_LINE;
        }
        break;
    default:
        break;
    }
    return SYN_NO_FAULT;
}
