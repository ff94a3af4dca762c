#include <string.h>
#include <strings.h>

#include "endpoints-imp.h"

#define LENGTH_DIGITS 18
#define STATUS_AT strlen("HTTP/1.1 ")

static bool
is_length(const char *value, size_t size)
{
    size_t i;

    for (i = 0; i < size; i++) {
        if (value[i] < '0' || value[i] > '9') {
            return false;
        }
    }
    return size > 0 && size <= LENGTH_DIGITS;
}

static bool
is_named(const char *line, size_t size, const char *name)
{
    return size == strlen(name) && strncasecmp(line, name, size) == 0;
}

static bool
line_is_good(const char *line, size_t size)
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
    if (is_named(line, name_size, "content-length")) {
        return is_length(value, value_size);
    }
    if (is_named(line, name_size, "transfer-encoding")) {
        return value_size == strlen("chunked") &&
               memcmp(value, "chunked", value_size) == 0;
    }
    return true;
}

/* "HTTP/1.1 1..": another head follows, which would go unseen. Nothing that
 * is sent asks for one. */
static bool
is_interim(const char *bytes, size_t size)
{
    return size > STATUS_AT && bytes[STATUS_AT] == '1';
}

bool
head_is_good(const char *bytes, size_t size)
{
    const char *line = bytes, *end;
    size_t length;

    if (is_interim(bytes, size)) {
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
        if (!line_is_good(line, length)) {
            return false;
        }
        line = end + 1;
    }
    return true;
}
