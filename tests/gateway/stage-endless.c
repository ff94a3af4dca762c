#include <string.h>

#include "stage-imp.h"

#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define CHUNK "10\r\n0123456789abcdef\r\n"
#define STRAY                                                                 \
    "HTTP/1.1 200 OK\r\nLavenderproxy-Attempt-Id: x\r\n"                      \
    "Content-Length: 4\r\n\r\nevil"

/* In the order of the modes. */
static const stage_endless endless_texts[] = {
    {NULL, NULL, "", "HTTP/1.1 200 OK\r\n", "X-Filler: filler\r\n"},
    {NULL, NULL, "", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"somebody", "200 OK", SEAL_HEADER CHUNKED, "", CHUNK},
    {NULL, NULL, "", "", STRAY},
    {NULL, "200 OK", SEAL_HEADER CHUNKED, "b\r\nid: 0\ndata:\r\n", CHUNK},
    {NULL, "200 OK", SEAL_HEADER CHUNKED, "", CHUNK},
    {NULL, "500 Error", SEAL_HEADER CHUNKED, "", CHUNK},
    {NULL, "200 OK", SEAL_HEADER CHUNKED, "4;", "x=0123456789abcdef;"},
    {NULL, "200 OK", SEAL_HEADER CHUNKED, "4\r\nbody\r\n0\r\n",
     "X-Filler: filler\r\n"},
};

const stage_endless *
stage_find_endless(stage_mode mode)
{
    return &endless_texts[mode - STAGE_ENDLESS_HEAD];
}

size_t
stage_repeat_endless(stage_mode mode, char *block, size_t size)
{
    const char *text = stage_find_endless(mode)->repeated;
    size_t length = strlen(text);
    size_t used;

    for (used = 0; used + length <= size; used += length) {
        memcpy(block + used, text, length);
    }
    return used;
}
