#include "common-answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define EVENT_SIZE 256
#define TAIL_SIZE 512
#define TOKEN_SIZE 16
#define BYTES_PER_TOKEN 4

uint32_t
answer_prompt_tokens(size_t bytes)
{
    return (uint32_t)(bytes / BYTES_PER_TOKEN) + 1;
}

static void
format_token(char token[TOKEN_SIZE], const char *identity, uint32_t number)
{
    uint64_t hash = XXH64(identity, strlen(identity), number);

    snprintf(token, TOKEN_SIZE, "w%05x ", (unsigned)(hash & 0xfffff));
}

static void
append(answer_answer *answer, const char *text)
{
    size_t length = strlen(text);

    memcpy(answer->text + answer->size, text, length + 1);
    answer->size += length;
}

static void
append_head(answer_answer *answer, const char *identity)
{
    char text[EVENT_SIZE];

    snprintf(text, sizeof text,
             "{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":"
             "{\"role\":\"assistant\",\"content\":\"",
             identity);
    append(answer, text);
}

static void
append_tokens(answer_answer *answer, const char *identity, bool is_stream,
              XXH64_state_t *checksum)
{
    char token[TOKEN_SIZE];
    char event[EVENT_SIZE];

    for (uint32_t i = 0; i < answer->tokens; i++) {
        format_token(token, identity, i);
        XXH64_update(checksum, token, strlen(token));
        snprintf(event, sizeof event,
                 "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,"
                 "\"delta\":{\"content\":\"%s\"}}]}\n\n",
                 identity, token);
        append(answer, is_stream ? event : token);
        answer->ends[i] = answer->size;
    }
}

void
answer_init(answer_answer *answer, const char *identity, uint32_t prompt,
            uint32_t tokens, bool is_stream)
{
    XXH64_state_t *checksum = XXH64_createState();
    char tail[TAIL_SIZE];

    answer->size = 0;
    answer->tokens = tokens;
    answer->text = malloc((size_t)tokens * EVENT_SIZE + 2 * (size_t)TAIL_SIZE);
    answer->ends = calloc((size_t)tokens + 1, sizeof *answer->ends);
    if (answer->text == NULL || answer->ends == NULL || checksum == NULL) {
        abort();
    }
    XXH64_reset(checksum, 0);
    if (!is_stream) {
        append_head(answer, identity);
    }
    append_tokens(answer, identity, is_stream, checksum);
    snprintf(tail, sizeof tail,
             is_stream ? "data: {\"id\":\"%s\",\"choices\":[],\"usage\":"
                         "{\"prompt_tokens\":%u,\"completion_tokens\":%u},"
                         "\"checksum\":\"%016" PRIx64 "\"}\n\n"
                         "data: [DONE]\n\n"
                       : "%.0s\"}}],\"usage\":"
                         "{\"prompt_tokens\":%u,\"completion_tokens\":%u},"
                         "\"checksum\":\"%016" PRIx64 "\"}",
             identity, prompt, tokens, XXH64_digest(checksum));
    append(answer, tail);
    XXH64_freeState(checksum);
}

void
answer_finish(answer_answer *answer)
{
    free(answer->text);
    free(answer->ends);
    answer->text = NULL;
    answer->ends = NULL;
}

size_t
answer_format_plain(char *text, size_t size, const char *identity,
                    uint32_t run)
{
    return (size_t)snprintf(
        text, size,
        "{\"id\":\"%s\",\"run\":%u,\"checksum\":\"%016" PRIx64 "\"}", identity,
        run, (uint64_t)XXH64(identity, strlen(identity), run));
}
