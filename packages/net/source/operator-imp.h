#ifndef LAVENDER_NET_OPERATOR_IMP_H
#define LAVENDER_NET_OPERATOR_IMP_H

#include "lavender-net/operator.h"
#include "listen-imp.h"

/* Maximum number of members that the status lists. */
#define OPER_MEMBERS_MAX 4096

/* Return the name of an id in the documents in force, or write the id to text
 * as hex digits when the documents do not list it. */
const char *oper_pool_name(const oper_view *view, lv_id pool, char *text,
                           size_t size);
const char *oper_account_name(const oper_view *view, lv_id account, char *text,
                              size_t size);
const char *oper_instance_name(const oper_view *view, lv_id instance,
                               char *text, size_t size);

/* Appends formatted text of less than 1024 bytes to the writer. Longer text
 * sets has_failed. */
void oper_printf(met_writer *writer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
