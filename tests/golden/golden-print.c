#include <string.h>
#include <strings.h>

#include "golden.h"

/* What follows these words differs from run to run. */
static const char *const varying[] = {"\"ticket\": \"",
                                      "lavender-request: ", "retry-after: "};
static const char *const left_out[] = {"date:", "server:", "connection:"};

static size_t
varying_size(const char *text, size_t *tail)
{
    size_t i, size;

    for (i = 0; i < sizeof varying / sizeof varying[0]; i++) {
        size = strlen(varying[i]);
        if (strncasecmp(text, varying[i], size) == 0) {
            *tail = strcspn(text + size, "\"\r\n");
            return size;
        }
    }
    return 0;
}

static void
print_text(FILE *to, const char *text)
{
    size_t size, tail;

    while (*text != '\0') {
        size = varying_size(text, &tail);
        if (size > 0) {
            fprintf(to, "%.*s*", (int)size, text);
            text += size + tail;
        }
        else if (*text == '\r') {
            text++;
        }
        else {
            fputc(*text++, to);
        }
    }
}

static bool
is_left_out(const char *line)
{
    size_t i;

    for (i = 0; i < sizeof left_out / sizeof left_out[0]; i++) {
        if (strncasecmp(line, left_out[i], strlen(left_out[i])) == 0) {
            return true;
        }
    }
    return false;
}

void
golden_print(FILE *to, const rig_answer *answer)
{
    const char *line = answer->head;
    char text[RIG_TEXT_SIZE];

    if (answer->status == 0) {
        fprintf(to, "< no answer\n\n");
        return;
    }
    while (*line != '\0') {
        snprintf(text, sizeof text, "%.*s", (int)strcspn(line, "\r"), line);
        line += strlen(text);
        line += strspn(line, "\r\n");
        if (!is_left_out(text)) {
            fputs("< ", to);
            print_text(to, text);
            fputc('\n', to);
        }
    }
    print_text(to, answer->body);
    if (answer->size > 0 && answer->body[answer->size - 1] != '\n') {
        fputc('\n', to);
    }
    fprintf(to, "< %s\n\n", answer->is_whole ? "whole" : "cut");
}
