#include "dispatcher-imp.h"

static disp_link *
link_of(disp_rows rows, uint32_t row)
{
    return (disp_link *)((char *)rows.rows + row * rows.size + rows.link);
}

void
disp_list_init(disp_list *list)
{
    list->first = LV_HANDLE_NONE;
    list->last = LV_HANDLE_NONE;
}

void
disp_list_add(disp_list *list, disp_rows rows, uint32_t row)
{
    disp_link *link = link_of(rows, row);

    link->previous = list->last;
    link->next = LV_HANDLE_NONE;
    if (list->last == LV_HANDLE_NONE) {
        list->first = row;
    }
    else {
        link_of(rows, list->last)->next = row;
    }
    list->last = row;
}

void
disp_list_remove(disp_list *list, disp_rows rows, uint32_t row)
{
    disp_link *link = link_of(rows, row);

    if (link->previous == LV_HANDLE_NONE) {
        list->first = link->next;
    }
    else {
        link_of(rows, link->previous)->next = link->next;
    }
    if (link->next == LV_HANDLE_NONE) {
        list->last = link->previous;
    }
    else {
        link_of(rows, link->next)->previous = link->previous;
    }
}
