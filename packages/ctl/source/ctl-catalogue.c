#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "ctl-diff.h"
#include "ctl-load.h"
#include "ctl.h"

typedef struct call {
    bool is_json;
    const char *verb;
    const char *paths[CTL_MAX_FILES];
    size_t path_count;
} call;

static void
check_call(const call *self, struct argp_state *state)
{
    if (self->verb == NULL) {
        argp_error(state, "write check or diff");
        return;
    }
    if (strcmp(self->verb, "check") == 0) {
        if (self->path_count == 0) {
            argp_error(state, "check: name a folder, or the head and its "
                              "account parts");
        }
        return;
    }
    if (strcmp(self->verb, "diff") != 0) {
        argp_error(state, "unknown command '%s'; write check or diff",
                   self->verb);
    }
    if (self->path_count != 2) {
        argp_error(state, "diff: name the old and the new catalogue");
    }
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    call *self = state->input;

    switch (key) {
    case 'j':
        self->is_json = true;
        return 0;
    case ARGP_KEY_ARG:
        if (self->verb == NULL) {
            self->verb = argument;
        }
        else if (self->path_count < CTL_MAX_FILES) {
            self->paths[self->path_count++] = argument;
        }
        else {
            argp_error(state, "at most %d files", CTL_MAX_FILES);
        }
        return 0;
    case ARGP_KEY_END:
        check_call(self, state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

static const struct argp parser = {
    options,
    parse_option,
    "check FOLDER|HEAD [PART...]\ndiff OLD NEW",
    "Check a catalogue, or show what a change of it does.\v"
    "check gives the verdict of the routers: every error with its file, line, "
    "what was found and what to write. FOLDER has head.ini and "
    "accounts-N.ini.\n\n"
    "diff compares two valid catalogues, each a folder or a head with its "
    "parts beside it. It is an error when the new one would not be taken: "
    "its revision must be higher.\n\n"
    "Exit codes: 0 good, 1 a bad catalogue, 2 called wrongly.",
    NULL,
    NULL,
    NULL,
};

static json_t *
errors_to_json(const err_list *errors)
{
    json_t *array = json_array();

    for (size_t i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        const err_item *item = &errors->items[i];

        json_array_append_new(array,
                              json_pack("{s:s, s:i, s:s, s:s, s:s}", "file",
                                        item->file, "line", item->line, "kind",
                                        err_kind_name(item->error.kind),
                                        "message", item->error.message,
                                        "remedy", item->error.remedy));
    }
    return array;
}

static void
print_bad(const call *self, const err_list *errors)
{
    if (self->is_json) {
        ctl_print_json(json_pack("{s:b, s:I, s:o}", "good", 0, "error_count",
                                 (json_int_t)errors->count, "errors",
                                 errors_to_json(errors)));
        return;
    }
    ctl_print_errors(errors);
}

static bool
is_folder(const char *path)
{
    struct stat state;

    return stat(path, &state) == 0 && S_ISDIR(state.st_mode);
}

static void
print_good(const call *self, const cat_catalogue *catalogue)
{
    char digest[2 * sizeof catalogue->digest + 1];

    snprintf(digest, sizeof digest, "%016" PRIx64, catalogue->digest);
    if (self->is_json) {
        ctl_print_json(json_pack(
            "{s:b, s:I, s:s, s:i, s:i, s:i, s:i, s:i}", "good", 1, "revision",
            (json_int_t)catalogue->revision, "digest", digest, "pools",
            (int)catalogue->pool_count, "routes", (int)catalogue->route_count,
            "models", (int)catalogue->model_count, "accounts",
            (int)catalogue->account_count, "entries",
            (int)catalogue->entry_count));
        return;
    }
    printf("good: revision %" PRIu64 ", digest %s, %" PRIu32 " pools, %" PRIu32
           " routes, %" PRIu32 " models, %" PRIu32 " accounts, %" PRIu32
           " entries\n",
           catalogue->revision, digest, catalogue->pool_count,
           catalogue->route_count, catalogue->model_count,
           catalogue->account_count, catalogue->entry_count);
}

static int
run_check(const call *self)
{
    cat_catalogue catalogue;
    err_list errors;
    bool is_good;

    err_list_init(&errors);
    if (self->path_count == 1 && is_folder(self->paths[0])) {
        is_good = ctl_load_folder(&catalogue, self->paths[0], &errors);
    }
    else {
        is_good = ctl_load_catalogue(&catalogue, self->paths, self->path_count,
                                     &errors);
    }
    if (!is_good) {
        print_bad(self, &errors);
        return CTL_EXIT_FAILURE;
    }
    print_good(self, &catalogue);
    cat_finish(&catalogue);
    return CTL_EXIT_OK;
}

static uint64_t
sum_weights(const cat_catalogue *catalogue)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        sum += catalogue->accounts[i].weight;
    }
    return sum;
}

static void
print_changes(const json_t *changes)
{
    size_t index;
    json_t *change;

    json_array_foreach(changes, index, change)
    {
        const char *key = json_string_value(json_object_get(change, "key"));

        printf("%-8s %s ", json_string_value(json_object_get(change, "kind")),
               json_string_value(json_object_get(change, "name")));
        if (key == NULL) {
            printf("%s\n",
                   json_string_value(json_object_get(change, "change")));
            continue;
        }
        printf("%s: %s -> %s\n", key,
               json_string_value(json_object_get(change, "old")),
               json_string_value(json_object_get(change, "new")));
    }
}

/* A weight of one is worth this part of what all accounts get. */
static void
print_shares(const cat_catalogue *from, const cat_catalogue *to)
{
    uint64_t old_sum = sum_weights(from);
    uint64_t new_sum = sum_weights(to);

    if (old_sum != new_sum && old_sum > 0 && new_sum > 0) {
        printf("shares: the weights sum to %" PRIu64 " -> %" PRIu64
               ", so an account of unchanged weight gets %.4g times its "
               "former share when all are backlogged\n",
               old_sum, new_sum, (double)old_sum / (double)new_sum);
    }
}

/* Prints the changes and frees them. */
static int
print_diff(const call *self, const cat_catalogue *from,
           const cat_catalogue *to, json_t *changes)
{
    bool is_newer = to->revision > from->revision;

    if (self->is_json) {
        ctl_print_json(
            json_pack("{s:b, s:I, s:I, s:I, s:I, s:o}", "good", (int)is_newer,
                      "old_revision", (json_int_t)from->revision,
                      "new_revision", (json_int_t)to->revision, "old_weights",
                      (json_int_t)sum_weights(from), "new_weights",
                      (json_int_t)sum_weights(to), "changes", changes));
    }
    else {
        printf("revision %" PRIu64 " -> %" PRIu64 ", %zu changes\n",
               from->revision, to->revision, json_array_size(changes));
        print_changes(changes);
        print_shares(from, to);
        json_decref(changes);
    }
    if (!is_newer) {
        fprintf(stderr,
                "the new revision is not higher: routers would not take it; "
                "write revision = %" PRIu64 " or more\n",
                from->revision + 1);
        return CTL_EXIT_FAILURE;
    }
    return CTL_EXIT_OK;
}

static int
run_diff(const call *self)
{
    cat_catalogue from = {0};
    cat_catalogue to = {0};
    err_list errors;
    json_t *changes;
    int code = CTL_EXIT_FAILURE;

    err_list_init(&errors);
    if (!ctl_load_folder(&from, self->paths[0], &errors) ||
        !ctl_load_folder(&to, self->paths[1], &errors)) {
        print_bad(self, &errors);
        goto done;
    }
    changes = ctl_diff(&from, &to);
    if (changes == NULL) {
        fprintf(stderr, "catalogue diff: memory ended; free some memory\n");
        goto done;
    }
    code = print_diff(self, &from, &to, changes);
done:
    cat_finish(&from);
    cat_finish(&to);
    return code;
}

int
ctl_run_catalogue(int argc, char **argv)
{
    static call self;

    argp_err_exit_status = CTL_EXIT_USAGE;
    if (argp_parse(&parser, argc, argv, 0, NULL, &self) != 0) {
        return CTL_EXIT_USAGE;
    }
    return strcmp(self.verb, "check") == 0 ? run_check(&self)
                                           : run_diff(&self);
}
