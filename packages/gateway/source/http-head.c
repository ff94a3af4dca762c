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

/* Takes the next item of a comma-separated list, without blanks around it.
 * Returns its size, 0 at the end of the list. */
static size_t
next_item(const char **list, const char **item)
{
    size_t size;

    *item = *list + strspn(*list, " \t,");
    size = strcspn(*item, ",");
    *list = *item + size;
    while (size > 0 &&
           ((*item)[size - 1] == ' ' || (*item)[size - 1] == '\t')) {
        size--;
    }
    return size;
}

static bool
item_equals(const char *item, size_t size, const char *token)
{
    return size == strlen(token) && strncasecmp(item, token, size) == 0;
}

bool
http_has_token(const char *value, const char *token)
{
    const char *item;
    size_t size;

    while ((size = next_item(&value, &item)) > 0) {
        if (item_equals(item, size, token)) {
            return true;
        }
    }
    return false;
}

static void
count_codings(const char *value, http_codings *codings)
{
    const char *item;
    size_t size;

    while ((size = next_item(&value, &item)) > 0) {
        bool is_chunked = item_equals(item, size, "chunked");

        codings->chunked += is_chunked;
        codings->others += !is_chunked && !item_equals(item, size, "identity");
    }
}

http_codings
http_count_codings(const http_head *head)
{
    http_codings codings = {0};
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        if (strcasecmp(head->headers[i].name, "Transfer-Encoding") == 0) {
            count_codings(head->headers[i].value, &codings);
        }
    }
    return codings;
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
