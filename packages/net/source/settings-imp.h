#ifndef LAVENDER_NET_SETTINGS_IMP_H
#define LAVENDER_NET_SETTINGS_IMP_H

#include "lavender-net/settings.h"
#include "lavender/config.h"

/* The table of sections, in the order of the example. */
extern const conf_section set_sections[];
extern const uint32_t set_section_count;

/* Report what no single key shows: impossible pairs. */
void set_check(const set_settings *settings, const char *file,
               err_list *errors);

#endif
