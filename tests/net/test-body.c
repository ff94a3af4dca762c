#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>
#include <xxhash.h>

#include "../../packages/net/source/callers-imp.h"

typedef struct body_case {
    char text[256];
    int is_read;
    char model[16];
    int is_stream;
    int output_hint_units;
    int input_units;
    char prefix[80]; /* "": none */
} body_case;

ParameterizedTestParameters(body, reads)
{
    static body_case cases[] = {
        {"{\"model\": \"m\", \"prompt\": \"12345678\", \"max_tokens\": 7}", 1,
         "m", 0, 7, 3, "12345678"},
        {"{\"model\": \"m\", \"stream\": true, \"messages\": "
         "[{\"role\": \"user\", \"content\": \"abcd\"}, "
         "{\"role\": \"user\", \"content\": \"efgh\"}]}",
         1, "m", 1, 0, 3, "abcd"},
        {"{\"messages\": [{\"content\": [{\"type\": \"text\", "
         "\"text\": \"abcd\"}]}], \"max_completion_tokens\": 3, "
         "\"max_tokens\": 9}",
         1, "", 0, 3, 2, "abcd"},
        {"{}", 1, "", 0, 0, 1, ""},
        {"{\"model\": \"m\", \"max_tokens\": -4}", 1, "m", 0, 0, 1, ""},
        {"{\"model\": 4, \"prompt\": 5, \"messages\": 6}", 1, "", 0, 0, 1, ""},
        {"", 0, "", 0, 0, 0, ""},
        {"[]", 0, "", 0, 0, 0, ""},
        {"{\"model\": \"m\"", 0, "", 0, 0, 0, ""},
        {"{\"model\": \"m\", \"model\": \"n\"}", 0, "", 0, 0, 0, ""},
        {"{\"model\": \"mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm"
         "mmmmmmmmmmmmmmmm\"}",
         0, "", 0, 0, 0, ""},
    };

    return cr_make_param_array(body_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(body_case *parameter, body, reads)
{
    call_body_fields body;
    bool is_read = body_parse(parameter->text, strlen(parameter->text), &body);
    uint64_t hash =
        *parameter->prefix == '\0'
            ? 0
            : XXH64(parameter->prefix, strlen(parameter->prefix), 0);

    cr_assert_eq(is_read, parameter->is_read, "%s", parameter->text);
    if (!is_read) {
        return;
    }
    cr_expect_str_eq(body.model, parameter->model);
    cr_expect_eq(body.is_stream, parameter->is_stream);
    cr_expect_eq(body.output_hint_units,
                 (uint64_t)parameter->output_hint_units);
    cr_expect_eq(body.input_units, (uint64_t)parameter->input_units);
    cr_expect_eq(body.prefix_hash, hash);
}

static const char events[] =
    "data: {\"choices\": [1]}\n\ndata: {\"choices\": [2]}\r\n\r\n"
    ": a comment\n\n"
    "data: {\"usage\": {\"prompt_tokens\": 5, \"completion_tokens\": 2}}\n\n"
    "data: [DONE]\n\n";

/* The result does not depend on how the stream is split into pieces. */
Test(body, streams_in_pieces)
{
    size_t step, at, length, size = strlen(events);

    for (step = 1; step <= size; step++) {
        call_sse_parser parser = {0};

        for (at = 0; at < size; at += length) {
            length = size - at < step ? size - at : step;
            sse_feed(&parser, events + at, length);
        }
        cr_expect_eq(parser.events, 3, "step %zu", step);
        cr_expect_eq(parser.input_units, 5);
        cr_expect_eq(parser.output_units, 2);
        cr_expect(parser.has_done_event);
        cr_expect(parser.is_last_line_blank);
    }
}

Test(body, streams_without_their_end_are_not_done)
{
    call_sse_parser parser = {0};

    sse_feed(&parser, events, strlen(events) - strlen("data: [DONE]\n\n"));
    cr_expect(!parser.has_done_event);
    sse_feed(&parser, "data: [DONE]", strlen("data: [DONE]"));
    cr_expect(!parser.has_done_event);
}

Test(body, long_lines_are_counted_but_not_kept)
{
    call_sse_parser parser = {0};
    static char line[CALL_SSE_LINE_MAX * 2];

    memset(line, 'x', sizeof line);
    snprintf(line, sizeof line, "data:");
    line[strlen(line)] = ' ';
    line[sizeof line - 1] = '\n';
    sse_feed(&parser, line, sizeof line);
    cr_expect_eq(parser.events, 1);
    sse_feed(&parser, "data: [DONE]\n\n", strlen("data: [DONE]\n\n"));
    cr_expect(parser.has_done_event);
}

typedef struct quote_case {
    char text[32];
    char quoted[48];
} quote_case;

ParameterizedTestParameters(body, quotes)
{
    static quote_case cases[] = {
        {"plain-word_1.2", "plain-word_1.2"},
        {"two words", "\"two words\""},
        {"", "\"\""},
        {"a=b", "\"a=b\""},
        {"say \"x\"", "\"say \\\"x\\\"\""},
        {"line\nline", "\"line\\x0aline\""},
        {"back\\slash", "\"back\\\\slash\""},
    };

    return cr_make_param_array(quote_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(quote_case *parameter, body, quotes)
{
    char text[64];

    cr_expect_str_eq(log_quote(parameter->text, text, sizeof text),
                     parameter->quoted);
}
