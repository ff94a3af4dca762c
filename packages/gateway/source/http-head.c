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

uint32_t
http_count_headers(const http_head *head, const char *name)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        count += strcasecmp(head->headers[i].name, name) == 0;
    }
    return count;
}

bool
http_has_token(const char *value, const char *token)
{
    size_t token_size = strlen(token);

    while (*value != '\0') {
        size_t item_size;

        value += strspn(value, " \t,");
        item_size = strcspn(value, ",");
        while (item_size > 0 &&
               (value[item_size - 1] == ' ' || value[item_size - 1] == '\t')) {
            item_size--;
        }
        if (item_size == token_size &&
            strncasecmp(value, token, token_size) == 0) {
            return true;
        }
        value += strcspn(value, ",");
    }
    return false;
}

bool
http_is_hop_by_hop(const http_head *head, const char *name)
{
    static const char *const hop_by_hop[] = {
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

    for (i = 0; i < sizeof hop_by_hop / sizeof hop_by_hop[0]; i++) {
        if (strcasecmp(name, hop_by_hop[i]) == 0) {
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
