/*
 * What the kinds of platform share.
 */
#ifndef PLATFORM_IMP_H
#define PLATFORM_IMP_H

#include "lavender-net/platform.h"

#define PLAT_KEY_SIZE 64

/* Fill in the first member of a kind of platform. */
void plat_init(plat_backend *platform, const plat_ops *ops, uv_loop_t *loop,
               const plat_settings *settings, plat_on_part *on_part,
               void *context);

/* The service's key of a part, such as "catalogue/accounts/1". */
void plat_format_key(char key[PLAT_KEY_SIZE], doc_kind doc, uint32_t part);

/* The file's name of a part, such as "accounts-1.ini". */
void plat_format_file(char name[PLAT_KEY_SIZE], doc_kind doc, uint32_t part);

#endif
