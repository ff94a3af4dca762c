#include <stdio.h>

#include "platform-imp.h"

void
plat_init(plat_backend *platform, const plat_ops *ops, uv_loop_t *loop,
          const plat_settings *settings, plat_on_part *on_part, void *context)
{
    platform->ops = ops;
    platform->loop = loop;
    platform->settings = *settings;
    platform->on_part = on_part;
    platform->context = context;
    platform->counts = (plat_counts){0};
}

void
plat_format_key(char key[PLAT_KEY_SIZE], doc_kind doc, uint32_t part)
{
    if (doc == DOC_LISTS) {
        snprintf(key, PLAT_KEY_SIZE, "lists");
    }
    else if (part == 0) {
        snprintf(key, PLAT_KEY_SIZE, "catalogue/head");
    }
    else {
        snprintf(key, PLAT_KEY_SIZE, "catalogue/accounts/%u", part);
    }
}

void
plat_format_file(char name[PLAT_KEY_SIZE], doc_kind doc, uint32_t part)
{
    if (doc == DOC_LISTS) {
        snprintf(name, PLAT_KEY_SIZE, "lists.ini");
    }
    else if (part == 0) {
        snprintf(name, PLAT_KEY_SIZE, "head.ini");
    }
    else {
        snprintf(name, PLAT_KEY_SIZE, "accounts-%u.ini", part);
    }
}
