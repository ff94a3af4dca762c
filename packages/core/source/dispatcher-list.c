#include "dispatcher-imp.h"

static disp_link *
get_link(disp_rows rows, uint32_t row)
{
    return (disp_link *)((char *)rows.rows + row * rows.row_size +
                         rows.link_offset);
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
    disp_link *link = get_link(rows, row);

    link->previous = list->last;
    link->next = LV_HANDLE_NONE;
    if (list->last == LV_HANDLE_NONE) {
        list->first = row;
    }
    else {
        get_link(rows, list->last)->next = row;
    }
    list->last = row;
}

void
disp_list_remove(disp_list *list, disp_rows rows, uint32_t row)
{
    disp_link *link = get_link(rows, row);

    if (link->previous == LV_HANDLE_NONE) {
        list->first = link->next;
    }
    else {
        get_link(rows, link->previous)->next = link->next;
    }
    if (link->next == LV_HANDLE_NONE) {
        list->last = link->previous;
    }
    else {
        get_link(rows, link->next)->previous = link->previous;
    }
}
