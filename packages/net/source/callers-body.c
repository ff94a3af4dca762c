#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "callers-imp.h"

/* As much of a prompt's beginning tells prompts with a common prefix. */
#define PREFIX_BYTES 1024
#define BYTES_PER_TOKEN 4

typedef struct prompt_sum {
    char prefix[PREFIX_BYTES];
    size_t prefix_size;
    size_t size;
} prompt_sum;

static void
add_text(prompt_sum *sum, const json_t *text)
{
    size_t length = json_string_length(text);
    size_t room = sizeof sum->prefix - sum->prefix_size;

    if (!json_is_string(text)) {
        return;
    }
    sum->size += length;
    length = length < room ? length : room;
    memcpy(sum->prefix + sum->prefix_size, json_string_value(text), length);
    sum->prefix_size += length;
}

/* A content is a text, or a list of parts of which some have a text. */
static void
add_content(prompt_sum *sum, const json_t *content)
{
    size_t i;
    json_t *part;

    add_text(sum, content);
    json_array_foreach(content, i, part)
    {
        add_text(sum, part);
        add_text(sum, json_object_get(part, "text"));
    }
}

static void
sum_prompt(const json_t *root, call_body *body)
{
    const json_t *messages = json_object_get(root, "messages");
    prompt_sum sum = {.size = 0};
    size_t i;
    json_t *message;

    add_content(&sum, json_object_get(root, "prompt"));
    json_array_foreach(messages, i, message)
    {
        add_text(&sum, json_object_get(message, "role"));
        add_content(&sum, json_object_get(message, "content"));
    }
    body->input_units = sum.size / BYTES_PER_TOKEN + 1;
    if (sum.prefix_size > 0) {
        body->prefix_hash = XXH64(sum.prefix, sum.prefix_size, 0);
    }
}

static uint64_t
read_count(const json_t *root, const char *name)
{
    json_int_t value = json_integer_value(json_object_get(root, name));

    return value > 0 ? (uint64_t)value : 0;
}

bool
body_read(const char *text, size_t size, call_body *body)
{
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    const char *model;
    bool is_read = false;

    memset(body, 0, sizeof *body);
    if (!json_is_object(root)) {
        goto finish;
    }
    model = json_string_value(json_object_get(root, "model"));
    if (model != NULL &&
        !lv_copy_name(body->model, sizeof body->model, model)) {
        goto finish;
    }
    body->is_stream = json_is_true(json_object_get(root, "stream"));
    body->hint_units = read_count(root, "max_completion_tokens");
    if (body->hint_units == 0) {
        body->hint_units = read_count(root, "max_tokens");
    }
    sum_prompt(root, body);
    is_read = true;
finish:
    json_decref(root);
    return is_read;
}

bool
usage_read(const char *text, size_t size, uint64_t *input_units,
           uint64_t *output_units)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const json_t *usage = json_object_get(root, "usage");
    bool has_usage = json_is_object(usage);

    if (has_usage) {
        *input_units = read_count(usage, "prompt_tokens");
        *output_units = read_count(usage, "completion_tokens");
    }
    json_decref(root);
    return has_usage;
}
