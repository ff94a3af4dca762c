#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator-imp.h"

static const char *
hex_of(lv_id id, char *text, size_t size)
{
    snprintf(text, size, "%016" PRIx64, id);
    return text;
}

const char *
oper_pool_name(const oper_view *view, lv_id pool, char *text, size_t size)
{
    const cat_catalogue *catalogue = doc_catalogue(node_documents(view->node));
    lv_handle handle =
        catalogue == NULL ? LV_HANDLE_NONE : cat_find_pool(catalogue, pool);

    return handle == LV_HANDLE_NONE ? hex_of(pool, text, size)
                                    : catalogue->pools[handle].name;
}

const char *
oper_account_name(const oper_view *view, lv_id account, char *text,
                  size_t size)
{
    const cat_catalogue *catalogue = doc_catalogue(node_documents(view->node));
    lv_handle handle = catalogue == NULL
                           ? LV_HANDLE_NONE
                           : cat_find_account(catalogue, account);

    return handle == LV_HANDLE_NONE ? hex_of(account, text, size)
                                    : catalogue->accounts[handle].name;
}

const char *
oper_instance_name(const oper_view *view, lv_id instance, char *text,
                   size_t size)
{
    const lists_snapshot *lists = doc_lists(node_documents(view->node));
    lv_handle handle =
        lists == NULL ? LV_HANDLE_NONE : lists_find_instance(lists, instance);

    return handle == LV_HANDLE_NONE ? hex_of(instance, text, size)
                                    : lists->instances[handle].name;
}

void
oper_add(met_writer *writer, const char *format, ...)
{
    char text[1024];
    va_list arguments;
    size_t size;

    va_start(arguments, format);
    size = (size_t)vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (size >= sizeof text) {
        writer->has_failed = true;
        return;
    }
    met_write_text(writer, text);
}
