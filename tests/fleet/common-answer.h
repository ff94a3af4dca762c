/*
 * The answers of the stand-in engines. An answer follows from the request
 * alone, so that a caller can compare each byte of what it got, and a resumed
 * stream continues with the same bytes.
 */
#ifndef COMMON_ANSWER_H
#define COMMON_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ANSWER_IDENTITY_SIZE 96

typedef struct answer_answer {
    char *text;
    size_t size;
    size_t *ends; /* ends[i]: size of the text up to token i */
    uint32_t tokens;
} answer_answer;

void answer_init(answer_answer *answer, const char *identity, uint32_t prompt,
                 uint32_t tokens, bool is_stream);
void answer_finish(answer_answer *answer);

/* The answer of a plain service. Returns its length. */
size_t answer_format_plain(char *text, size_t size, const char *identity,
                           uint32_t run);

/* Tokens of a prompt of that many bytes. */
uint32_t answer_prompt_tokens(size_t bytes);

#endif
