#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "callers-imp.h"

/* Engines identify a cached prefix by the hash of this many bytes of it. */
#define PREFIX_BYTES 64
#define BYTES_PER_TOKEN 4 /* for the estimate of input_units */

/* Returns the bytes of text in a string or in a list of parts. */
static size_t
content_size(const json_t *content)
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

/* Returns the text at the start of the prompt: "prompt", or the content of the
 * first message. */
static const json_t *
find_prompt_start(const json_t *root)
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
measure_prompt(const json_t *root, call_body_fields *body)
{
    const json_t *start = find_prompt_start(root);
    size_t size = content_size(json_object_get(root, "prompt"));
    size_t start_size = json_string_length(start);
    size_t i;
    json_t *message;

    json_array_foreach(json_object_get(root, "messages"), i, message)
    {
        size += content_size(json_object_get(message, "content"));
    }
    body->input_units = size / BYTES_PER_TOKEN + 1;
    if (start_size > 0) {
        body->prefix_hash =
            XXH64(json_string_value(start),
                  start_size < PREFIX_BYTES ? start_size : PREFIX_BYTES, 0);
    }
}

/* Returns a positive integer of an object; 0 for any other value. */
static uint64_t
read_positive(const json_t *root, const char *name)
{
    json_int_t value = json_integer_value(json_object_get(root, name));

    return value > 0 ? (uint64_t)value : 0;
}

bool
body_parse(const char *text, size_t size, call_body_fields *body)
{
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    const char *model;
    bool is_valid = false;

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
    body->output_hint_units = read_positive(root, "max_completion_tokens");
    if (body->output_hint_units == 0) {
        body->output_hint_units = read_positive(root, "max_tokens");
    }
    measure_prompt(root, body);
    is_valid = true;
finish:
    json_decref(root);
    return is_valid;
}

bool
usage_parse(const char *text, size_t size, uint64_t *input_units,
            uint64_t *output_units)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const json_t *usage = json_object_get(root, "usage");
    bool has_usage = json_is_object(usage);

    if (has_usage) {
        *input_units = read_positive(usage, "prompt_tokens");
        *output_units = read_positive(usage, "completion_tokens");
    }
    json_decref(root);
    return has_usage;
}
