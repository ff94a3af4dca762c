#ifndef LAVENDER_NET_SETTINGS_IMP_H
#define LAVENDER_NET_SETTINGS_IMP_H

#include "lavender-net/settings.h"
#include "lavender/config.h"

/* The sections and their keys, in the order of etc/lavenderd.ini. */
extern const conf_section set_sections[];
extern const uint32_t set_section_count;

/* Add an error for each combination of values that is not allowed. The values
 * of single keys are checked when they are read. */
void set_validate(const set_settings *settings, const char *file,
                  err_list *errors);

#endif
