#include <string.h>
#include <strings.h>

#include "guard-imp.h"

#define MAX_LENGTH_DIGITS 18 /* the value stays below 2^63 */
#define STATUS_OFFSET strlen("HTTP/1.1 ")

/* How a head says that its body ends. */
typedef struct body_framing {
    bool is_chunked;
    bool has_length;
    uint64_t length;
} body_framing;

/* Sets the length. Returns false when h2o does not support the value, or when
 * another line gives another length, of which h2o uses the last. */
static bool
set_length(body_framing *framing, const char *value, size_t size)
{
    uint64_t length = 0;
    size_t i;

    if (size == 0 || size > MAX_LENGTH_DIGITS) {
        return false;
    }
    for (i = 0; i < size; i++) {
        if (value[i] < '0' || value[i] > '9') {
            return false;
        }
        length = length * 10 + (uint64_t)(value[i] - '0');
    }
    if (framing->is_chunked ||
        (framing->has_length && framing->length != length)) {
        return false;
    }
    framing->has_length = true;
    framing->length = length;
    return true;
}

/* h2o supports chunked alone, and does not see that it is there twice. */
static bool
set_coding(body_framing *framing, const char *value, size_t size)
{
    if (size != strlen("chunked") || memcmp(value, "chunked", size) != 0 ||
        framing->is_chunked || framing->has_length) {
        return false;
    }
    framing->is_chunked = true;
    return true;
}

static bool
header_name_equals(const char *line, size_t size, const char *name)
{
    return size == strlen(name) && strncasecmp(line, name, size) == 0;
}

static syn_fault
check_header_line(body_framing *framing, const char *line, size_t size)
{
    const char *colon = memchr(line, ':', size);
    const char *value;
    size_t name_size, value_size;
    bool is_valid = true;

    if (line[0] == ' ' || line[0] == '\t') {
        return SYN_BAD_HEADER;
    }
    if (colon == NULL) {
        return SYN_NO_FAULT;
    }
    name_size = (size_t)(colon - line);
    value = colon + 1;
    value_size = size - name_size - 1;
    while (value_size > 0 && (*value == ' ' || *value == '\t')) {
        value++;
        value_size--;
    }
    if (header_name_equals(line, name_size, "content-length")) {
        is_valid = set_length(framing, value, value_size);
    }
    else if (header_name_equals(line, name_size, "transfer-encoding")) {
        is_valid = set_coding(framing, value, value_size);
    }
    return is_valid ? SYN_NO_FAULT : SYN_BAD_FRAMING;
}

/* After an interim response (1xx) another head follows, which would not be
 * checked. No request that is sent expects one. */
static bool
is_interim_response(const char *bytes, size_t size)
{
    return size > STATUS_OFFSET && bytes[STATUS_OFFSET] == '1';
}

static syn_fault
check_status_line(const char *bytes, size_t size)
{
    syn_status_line line = {0};
    syn_fault fault = SYN_NO_FAULT;
    size_t i;

    for (i = 0; i < size && fault == SYN_NO_FAULT; i++) {
        fault = syn_check_status_line(&line, bytes[i]);
        if (bytes[i] == '\n') {
            break;
        }
    }
    return fault;
}

syn_fault
guard_check_head(const char *bytes, size_t size, guard_head *head)
{
    const char *line = bytes, *end;
    syn_fault fault = check_status_line(bytes, size);
    body_framing framing = {0};
    size_t length;

    *head = (guard_head){.size = 0};
    if (fault != SYN_NO_FAULT) {
        return fault;
    }
    if (is_interim_response(bytes, size)) {
        return SYN_OTHER_FAULT;
    }
    while ((end = memchr(line, '\n', size - (size_t)(line - bytes))) != NULL) {
        length = (size_t)(end - line);
        if (length > 0 && line[length - 1] == '\r') {
            length--;
        }
        if (length == 0) {
            head->size = (size_t)(end + 1 - bytes);
            head->is_chunked = framing.is_chunked;
            return SYN_NO_FAULT;
        }
        fault = check_header_line(&framing, line, length);
        if (fault != SYN_NO_FAULT) {
            return fault;
        }
        line = end + 1;
    }
    return SYN_NO_FAULT;
}
