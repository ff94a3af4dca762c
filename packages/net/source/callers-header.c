#include <string.h>

#include "callers-imp.h"

h2o_iovec_t
request_find_header(const h2o_req_t *req, const char *name)
{
    const h2o_header_t *header;
    size_t i;

    for (i = 0; i < req->headers.size; i++) {
        header = &req->headers.entries[i];
        if (h2o_lcstris(header->name->base, header->name->len, name,
                        strlen(name))) {
            return header->value;
        }
    }
    return h2o_iovec_init(NULL, 0);
}

bool
header_is_listed(h2o_iovec_t name, const char *const *names)
{
    for (; *names != NULL; names++) {
        if (h2o_lcstris(name.base, name.len, *names, strlen(*names))) {
            return true;
        }
    }
    return false;
}
