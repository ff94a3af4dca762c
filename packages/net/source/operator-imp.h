#ifndef LAVENDER_NET_OPERATOR_IMP_H
#define LAVENDER_NET_OPERATOR_IMP_H

#include "lavender-net/operator.h"
#include "listen-imp.h"

#define OPER_INSTANCES_MAX 4096

/* Names of what is in force; the id as hex digits when it has none there. */
const char *oper_pool_name(const oper_view *view, lv_id pool, char *text,
                           size_t size);
const char *oper_account_name(const oper_view *view, lv_id account, char *text,
                              size_t size);
const char *oper_instance_name(const oper_view *view, lv_id instance,
                               char *text, size_t size);

/* Append a text to the writer as it is. */
void oper_add(met_writer *writer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
