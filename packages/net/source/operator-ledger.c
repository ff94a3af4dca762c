#include <inttypes.h>

#include "operator-imp.h"

typedef struct ledger_writer {
    const oper_view *view;
    met_writer *writer;
} ledger_writer;

static void
write_line(void *context, const ledger_line *line)
{
    ledger_writer *self = context;
    char pool[LV_NAME_SIZE], account[LV_NAME_SIZE];

    oper_add(
        self->writer,
        "{\"window\": %" PRIu64 ", \"pool\": \"%s\", "
        "\"account\": \"%s\", \"service\": %" PRId64
        ", \"backlogged_us\": %" PRIu64 ", \"waited_us\": %" PRIu64
        ", \"started\": %u, \"finished\": %u, \"refused\": %u}\n",
        line->window,
        oper_pool_name(self->view, line->pool, pool, sizeof pool),
        oper_account_name(self->view, line->account, account, sizeof account),
        line->service, line->backlogged_time, line->total_wait, line->started,
        line->finished, line->refused);
}

void
oper_write_ledger(const oper_view *view, met_writer *writer)
{
    ledger_writer self = {view, writer};
    const ledger_store *ledger = node_ledger(view->node);

    oper_add(writer,
             "{\"instance\": \"%s\", \"window_us\": %" PRIu64
             ", \"current\": %" PRIu64 ", \"dropped\": %" PRIu64 "}\n",
             view->instance, view->ledger_window, ledger->current_window,
             ledger->dropped);
    ledger_for_each_line(ledger, write_line, &self);
}
