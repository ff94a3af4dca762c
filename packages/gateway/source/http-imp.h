#ifndef LAVENDER_GATEWAY_HTTP_IMP_H
#define LAVENDER_GATEWAY_HTTP_IMP_H

#include "lavender-gateway/http.h"

/* Sets is_hop_by_hop of all headers. Returns false when out of memory. */
bool http_mark_hop_by_hop(http_head *head);

#endif
