#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http-imp.h"

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

static bool
is_standard_hop_by_hop(const char *name)
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
    return false;
}

static bool
is_connection(const http_header *header)
{
    return strcasecmp(header->name, "Connection") == 0;
}

/* Does a Connection header name other headers? */
static bool
names_headers(const char *value)
{
    const char *item;
    size_t size;

    while ((size = next_item(&value, &item)) > 0) {
        if (!item_equals(item, size, "close") &&
            !item_equals(item, size, "keep-alive")) {
            return true;
        }
    }
    return false;
}

static int
compare_names(const void *left, const void *right)
{
    const http_header *const *a = left;
    const http_header *const *b = right;

    return strcasecmp((*a)->name, (*b)->name);
}

static int
compare_item(const char *item, size_t size, const char *name)
{
    int order = strncasecmp(item, name, size);

    return order != 0 ? order : (name[size] == '\0' ? 0 : -1);
}

/* Marks the headers of one name. */
static void
mark_name(http_header **sorted, uint32_t count, const char *item, size_t size)
{
    uint32_t first = 0;
    uint32_t end = count;

    while (first < end) {
        uint32_t middle = first + (end - first) / 2;

        if (compare_item(item, size, sorted[middle]->name) > 0) {
            first = middle + 1;
        }
        else {
            end = middle;
        }
    }
    for (; first < count && !sorted[first]->is_hop_by_hop &&
           compare_item(item, size, sorted[first]->name) == 0;
         first++) {
        sorted[first]->is_hop_by_hop = true;
    }
}

/* Marks what the Connection headers name. They may name as many headers as
 * there are, so these are sorted first. */
static bool
mark_named(http_head *head)
{
    http_header **sorted = malloc(head->header_count * sizeof *sorted);
    uint32_t i;

    if (sorted == NULL) {
        return false;
    }
    for (i = 0; i < head->header_count; i++) {
        sorted[i] = &head->headers[i];
    }
    qsort(sorted, head->header_count, sizeof *sorted, compare_names);
    for (i = 0; i < head->header_count; i++) {
        const char *value = head->headers[i].value;
        const char *item;
        size_t size;

        while (is_connection(&head->headers[i]) &&
               (size = next_item(&value, &item)) > 0) {
            mark_name(sorted, head->header_count, item, size);
        }
    }
    free(sorted);
    return true;
}

bool
http_mark_hop_by_hop(http_head *head)
{
    bool are_headers_named = false;
    uint32_t i;

    for (i = 0; i < head->header_count; i++) {
        http_header *header = &head->headers[i];

        header->is_hop_by_hop = is_standard_hop_by_hop(header->name);
        if (is_connection(header) && names_headers(header->value)) {
            are_headers_named = true;
        }
    }
    return !are_headers_named || mark_named(head);
}

const char *
http_reason_phrase(uint32_t status)
{
    return http_status_str((enum http_status)status);
}
