#include <string.h>
#include <strings.h>

#include "guard-imp.h"

#define MAX_LENGTH_DIGITS 18 /* the value stays below 2^63 */
#define STATUS_OFFSET strlen("HTTP/1.1 ")

static bool
is_decimal_length(const char *value, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        if (value[i] < '0' || value[i] > '9') {
            return false;
        }
    }
    return size > 0 && size <= MAX_LENGTH_DIGITS;
}

static bool
header_name_equals(const char *line, size_t size, const char *name)
{
    return size == strlen(name) && strncasecmp(line, name, size) == 0;
}

static bool
is_supported_header_line(const char *line, size_t size)
{
    const char *colon = memchr(line, ':', size);
    const char *value;
    size_t name_size, value_size;

    if (line[0] == ' ' || line[0] == '\t') {
        return false;
    }
    if (colon == NULL) {
        return true;
    }
    name_size = (size_t)(colon - line);
    value = colon + 1;
    value_size = size - name_size - 1;
    while (value_size > 0 && (*value == ' ' || *value == '\t')) {
        value++;
        value_size--;
    }
    if (header_name_equals(line, name_size, "content-length")) {
        return is_decimal_length(value, value_size);
    }
    if (header_name_equals(line, name_size, "transfer-encoding")) {
        return value_size == strlen("chunked") &&
               memcmp(value, "chunked", value_size) == 0;
    }
    return true;
}

/* After an interim response (1xx) another head follows, which would not be
 * checked. No request that is sent expects one. */
static bool
is_interim_response(const char *bytes, size_t size)
{
    return size > STATUS_OFFSET && bytes[STATUS_OFFSET] == '1';
}

bool
guard_supports_head(const char *bytes, size_t size)
{
    const char *line = bytes, *end;
    size_t length;

    if (is_interim_response(bytes, size)) {
        return false;
    }
    while ((end = memchr(line, '\n', size - (size_t)(line - bytes))) != NULL) {
        length = (size_t)(end - line);
        if (length > 0 && line[length - 1] == '\r') {
            length--;
        }
        if (length == 0) {
            return true;
        }
        if (!is_supported_header_line(line, length)) {
            return false;
        }
        line = end + 1;
    }
    return true;
}
