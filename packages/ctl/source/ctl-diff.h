/*
 * What a change of the catalogue does.
 */
#ifndef LAVENDER_CTL_DIFF_H
#define LAVENDER_CTL_DIFF_H

#include <jansson.h>

#include "lavender/catalogue.h"

/* An array of changes, each {"kind", "name", "change"} with "added",
 * "removed" or "changed", and for the last "key", "old" and "new". NULL when
 * memory ended. */
json_t *ctl_diff(const cat_catalogue *from, const cat_catalogue *to);

#endif
