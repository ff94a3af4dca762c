/*
 * Lists the differences between two catalogues.
 */
#ifndef LAVENDER_CTL_DIFF_H
#define LAVENDER_CTL_DIFF_H

#include <jansson.h>

#include "lavender/catalogue.h"

/* Returns a JSON array of the changes, each an object with the keys "kind",
 * "name" and "change". "change" is "added", "removed" or "changed"; an object
 * for "changed" also has the keys "key", "old" and "new". The caller owns the
 * array. Returns NULL when out of memory. */
json_t *ctl_diff_catalogues(const cat_catalogue *old_catalogue,
                            const cat_catalogue *new_catalogue);

#endif
