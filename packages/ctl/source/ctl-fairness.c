#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl-load.h"
#include "ctl-routers.h"
#include "lavender/ledger.h"
#include "lavender/value.h"

#define DEFAULT_SPAN (20 * LV_SECOND)
#define MAX_SPAN (3600 * LV_SECOND)
#define MERGED_LINES 1000000
#define PERCENT 100.0

typedef struct fairness {
    ctl_routers routers;
    const char *files[CTL_FILES_MAX]; /* of the catalogue */
    size_t file_count;
    lv_time span;
    cat_catalogue catalogue;
    ledger_store ledger;
    lv_time window;  /* length of one */
    uint64_t newest; /* latest window that every router has closed */
    size_t answered;
} fairness;

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    fairness *self = state->input;
    err_error error;

    switch (key) {
    case ARGP_KEY_INIT:
        state->child_inputs[0] = &self->routers;
        return 0;
    case 'c':
        if (self->file_count == CTL_FILES_MAX) {
            argp_error(state, "at most %d files", CTL_FILES_MAX);
        }
        self->files[self->file_count++] = argument;
        return 0;
    case 's':
        if (!val_parse_duration(argument, LV_SECOND, MAX_SPAN, &self->span,
                                &error)) {
            argp_error(state, "--span: %s; %s", error.message, error.remedy);
        }
        return 0;
    case ARGP_KEY_END:
        if (self->file_count == 0) {
            argp_error(state, "name the catalogue's files with --catalogue, "
                              "the head first");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"catalogue", 'c', "FILE", 0,
     "A file of the catalogue, the head first; give it once for each file", 0},
    {"span", 's', "TIME", 0, "Judge the last TIME (20s)", 0},
    {0},
};

static const struct argp_child children[] = {
    {&ctl_routers_argp, 0, NULL, 0},
    {0},
};

static const struct argp parser = {
    options,
    parse_option,
    "ADDRESS...",
    "Show, for each pool, what each account received and was owed and the "
    "gap between backlogged accounts, from the ledgers of all routers and "
    "the catalogue alone. ADDRESS is the IP:PORT of a router's operator "
    "listener; name all routers.",
    children,
    NULL,
    NULL,
};

static uint64_t
read_count(json_t *object, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(object, key));
}

static lv_id
read_id(json_t *object, const char *key)
{
    const char *name = json_string_value(json_object_get(object, key));

    return name == NULL ? LV_ID_NONE : lv_hash_name(name);
}

static void
merge_line(fairness *self, json_t *from)
{
    ledger_line line = {
        .pool = read_id(from, "pool"),
        .account = read_id(from, "account"),
        .window = read_count(from, "window"),
        .service = json_integer_value(json_object_get(from, "service")),
        .backlogged_time = read_count(from, "backlogged_us"),
        .total_wait = read_count(from, "waited_us"),
        .started = (uint32_t)read_count(from, "started"),
        .finished = (uint32_t)read_count(from, "finished"),
        .refused = (uint32_t)read_count(from, "refused"),
    };

    ledger_merge(&self->ledger, &line);
}

/* The first line says which window is current; it is not closed yet. */
static bool
merge_head(fairness *self, json_t *head)
{
    uint64_t current = read_count(head, "current");

    if (!json_is_integer(json_object_get(head, "window_us")) || current == 0) {
        return false;
    }
    self->window = read_count(head, "window_us");
    if (self->answered == 0 || current - 1 < self->newest) {
        self->newest = current - 1;
    }
    self->answered++;
    return true;
}

static bool
merge_text(fairness *self, char *text)
{
    char *rest = text;
    bool is_first = true;

    for (;;) {
        char *line = strsep(&rest, "\n");
        json_t *json;

        if (line == NULL) {
            return !is_first;
        }
        if (line[0] == '\0') {
            continue;
        }
        json = json_loads(line, 0, NULL);
        if (json == NULL || (is_first && !merge_head(self, json))) {
            json_decref(json);
            return false;
        }
        if (!is_first) {
            merge_line(self, json);
        }
        is_first = false;
        json_decref(json);
    }
}

static bool
merge_router(fairness *self, const char *address)
{
    ctl_answer answer;
    err_error error;
    bool is_ok;

    if (!ctl_ask(address, "GET", "/v1/ledger", self->routers.timeout, &answer,
                 &error)) {
        ctl_print_error(address, &error);
        return false;
    }
    is_ok = merge_text(self, answer.text);
    free(answer.text);
    if (!is_ok) {
        err_set(&error, ERR_SYNTAX, "check that it is an operator listener",
                "the ledger is malformed");
        ctl_print_error(address, &error);
    }
    return is_ok;
}

static uint32_t
weight_of(void *context, lv_id account)
{
    const fairness *self = context;
    lv_handle handle = cat_find_account(&self->catalogue, account);

    return handle == LV_HANDLE_NONE ? 0
                                    : self->catalogue.accounts[handle].weight;
}

static const char *
account_name(const fairness *self, lv_id account)
{
    lv_handle handle = cat_find_account(&self->catalogue, account);

    return handle == LV_HANDLE_NONE ? "?"
                                    : self->catalogue.accounts[handle].name;
}

static json_t *
print_shares(const fairness *self, const ledger_share *shares, uint32_t count)
{
    json_t *all = json_array();

    if (!self->routers.is_json) {
        printf("  %-24s %6s %12s %12s %s\n", "ACCOUNT", "WEIGHT", "RECEIVED",
               "OWED", "BACKLOGGED");
    }
    for (uint32_t i = 0; i < count; i++) {
        const ledger_share *share = &shares[i];
        const char *name = account_name(self, share->account);

        if (!self->routers.is_json) {
            printf("  %-24s %6u %12lld %12lld %s\n", name, share->weight,
                   (long long)share->received, (long long)share->owed,
                   share->is_backlogged ? "yes" : "no");
        }
        json_array_append_new(
            all, json_pack("{s:s, s:i, s:I, s:I, s:b}", "account", name,
                           "weight", (int)share->weight, "received",
                           (json_int_t)share->received, "owed",
                           (json_int_t)share->owed, "backlogged",
                           share->is_backlogged));
    }
    return all;
}

static json_t *
judge_pool(fairness *self, const cat_pool *pool, ledger_share *shares)
{
    uint64_t windows = self->span / self->window;
    uint64_t from = self->newest >= windows ? self->newest - windows + 1 : 0;
    ledger_gap gap;
    uint32_t count = ledger_compute_gap(
        &self->ledger, pool->id, from, self->newest, self->window, weight_of,
        self, shares, self->catalogue.account_count, &gap);
    double percent =
        gap.mean > 0 ? PERCENT * gap.max_difference / gap.mean : 0;
    json_t *rows;

    if (!self->routers.is_json) {
        printf("pool %s: %u backlogged accounts, gap %.0f, mean %.0f, gap "
               "%.2f %% of the mean\n",
               pool->name, gap.backlogged_count, gap.max_difference, gap.mean,
               percent);
    }
    rows = print_shares(self, shares, count);
    return json_pack("{s:i, s:f, s:f, s:f, s:o}", "backlogged",
                     (int)gap.backlogged_count, "gap", gap.max_difference,
                     "mean", gap.mean, "gap_percent", percent, "accounts",
                     rows);
}

static int
judge_all(fairness *self)
{
    ledger_share *shares =
        calloc(self->catalogue.account_count + 1, sizeof *shares);
    json_t *all = json_object();

    if (shares == NULL) {
        json_decref(all);
        return CTL_WRONG;
    }
    for (uint32_t i = 0; i < self->catalogue.pool_count; i++) {
        const cat_pool *pool = &self->catalogue.pools[i];

        json_object_set_new(all, pool->name, judge_pool(self, pool, shares));
    }
    free(shares);
    if (self->routers.is_json) {
        ctl_print_json(all);
    }
    else {
        json_decref(all);
    }
    return CTL_OK;
}

int
ctl_fairness(int argc, char **argv)
{
    static fairness self;
    int result = CTL_WRONG;
    err_list errors;
    err_error error;

    self.span = DEFAULT_SPAN;
    ctl_routers_init(&self.routers);
    if (argp_parse(&parser, argc, argv, 0, NULL, &self) != 0) {
        return CTL_USAGE;
    }
    err_list_init(&errors);
    if (!ctl_load_catalogue(&self.catalogue, self.files, self.file_count,
                            &errors)) {
        ctl_print_errors(&errors);
        return CTL_WRONG;
    }
    if (!ledger_init(&self.ledger, MERGED_LINES, &error)) {
        ctl_print_error("fairness", &error);
        goto no_ledger;
    }
    for (size_t i = 0; i < self.routers.count; i++) {
        merge_router(&self, self.routers.addresses[i]);
    }
    if (self.answered > 0) {
        result = judge_all(&self);
    }
    if (self.answered < self.routers.count) {
        fprintf(stderr,
                "lavenderctl: only %zu of %zu routers answered; the figures "
                "leave out what the others served\n",
                self.answered, self.routers.count);
        result = CTL_WRONG;
    }
    ledger_finish(&self.ledger);
no_ledger:
    cat_finish(&self.catalogue);
    return result;
}
