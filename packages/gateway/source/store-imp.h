#ifndef LAVENDER_GATEWAY_STORE_IMP_H
#define LAVENDER_GATEWAY_STORE_IMP_H

#include "lavender-gateway/store.h"

/* Statuses of replies. */
#define STORE_OK 200
#define STORE_GONE 410 /* the history since the revision is gone */

/* store.c */

void store_abandon_connection(store_feed *feed);

/* store-source.c */

lv_time store_watch_wait(const store_feed *feed);

/* store-past.c: changes from before the feed's position */

/* Writes the target of a watch, which may be one for past changes. */
void store_write_watch(const store_feed *feed, lv_time wait, buf_buffer *to);

/* Handles the reply to a watch for past changes. Returns false if the status
 * says that the store failed. */
bool store_handle_past(store_feed *feed, uint32_t status,
                       const buf_buffer *body);

/* Gives up what is being read. */
void store_cancel_past(store_feed *feed);

#endif
