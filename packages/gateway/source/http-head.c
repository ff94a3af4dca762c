#include <string.h>
#include <strings.h>

#include "lavender-gateway/http.h"

const char *
http_find_header(const http_head *head, const char *name)
{
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        if (strcasecmp(head->headers[i].name, name) == 0) {
            return head->headers[i].value;
        }
    }
    return NULL;
}

bool
http_has_token(const char *value, const char *word)
{
    size_t size = strlen(word);

    while (*value != '\0') {
        size_t length;

        value += strspn(value, " \t,");
        length = strcspn(value, ",");
        while (length > 0 &&
               (value[length - 1] == ' ' || value[length - 1] == '\t')) {
            length--;
        }
        if (length == size && strncasecmp(value, word, size) == 0) {
            return true;
        }
        value += strcspn(value, ",");
    }
    return false;
}

bool
http_is_hop_by_hop(const http_head *head, const char *name)
{
    static const char *const names[] = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Proxy-Authorization",
        "Proxy-Authenticate",
        "Content-Length",
        "Expect",
    };
    uint32_t i;

    for (i = 0; i < sizeof names / sizeof names[0]; i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    for (i = 0; i < head->header_count; i++) {
        if (strcasecmp(head->headers[i].name, "Connection") == 0 &&
            http_has_token(head->headers[i].value, name)) {
            return true;
        }
    }
    return false;
}

const char *
http_reason_phrase(uint32_t status)
{
    return http_status_str((enum http_status)status);
}
