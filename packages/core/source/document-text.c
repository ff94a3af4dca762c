#include <stdlib.h>
#include <string.h>

#include "document-imp.h"

doc_text *
doc_text_new(const char *text, size_t size)
{
    doc_text *copy = malloc(sizeof *copy + size + 1);

    if (copy == NULL) {
        return NULL;
    }
    copy->references = 1;
    copy->digest = cat_digest_part(text, size);
    copy->size = size;
    memcpy(copy->text, text, size);
    copy->text[size] = '\0';
    return copy;
}

doc_text *
doc_text_ref(doc_text *text)
{
    text->references++;
    return text;
}

void
doc_text_unref(doc_text *text)
{
    if (text != NULL && --text->references == 0) {
        free(text);
    }
}

void
doc_texts_free(doc_text **parts, uint32_t count)
{
    for (uint32_t i = 0; parts != NULL && i < count; i++) {
        doc_text_unref(parts[i]);
    }
    free(parts);
}
