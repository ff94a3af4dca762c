#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "callers-imp.h"

/* Engines name a cached prefix by the hash of so much of its beginning. */
#define PREFIX_BYTES 64
#define BYTES_PER_TOKEN 4

static size_t
text_size(const json_t *content)
{
    size_t size = json_string_length(content);
    size_t i;
    json_t *part;

    json_array_foreach(content, i, part)
    {
        size += json_string_length(json_object_get(part, "text"));
    }
    return size;
}

/* The prompt, or the first message. */
static const json_t *
find_beginning(const json_t *root)
{
    const json_t *prompt = json_object_get(root, "prompt");
    const json_t *content = json_object_get(
        json_array_get(json_object_get(root, "messages"), 0), "content");

    if (prompt == NULL && json_is_array(content)) {
        return json_object_get(json_array_get(content, 0), "text");
    }
    return prompt == NULL ? content : prompt;
}

static void
sum_prompt(const json_t *root, call_body *body)
{
    const json_t *beginning = find_beginning(root);
    size_t size = text_size(json_object_get(root, "prompt"));
    size_t prefix = json_string_length(beginning);
    size_t i;
    json_t *message;

    json_array_foreach(json_object_get(root, "messages"), i, message)
    {
        size += text_size(json_object_get(message, "content"));
    }
    body->input_units = size / BYTES_PER_TOKEN + 1;
    if (prefix > 0) {
        body->prefix_hash =
            XXH64(json_string_value(beginning),
                  prefix < PREFIX_BYTES ? prefix : PREFIX_BYTES, 0);
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
