#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "ctl-diff.h"
#include "ctl-load.h"
#include "ctl.h"

/* The parsed command line. */
typedef struct catalogue_args {
    bool is_json;
    const char *action; /* "check" or "diff" */
    const char *paths[CTL_MAX_FILES];
    size_t path_count;
} catalogue_args;

static void
validate_args(const catalogue_args *args, struct argp_state *state)
{
    if (args->action == NULL) {
        argp_error(state, "write check or diff");
        return;
    }
    if (strcmp(args->action, "check") == 0) {
        if (args->path_count == 0) {
            argp_error(state, "check: name a folder, or the head and its "
                              "account parts");
        }
        return;
    }
    if (strcmp(args->action, "diff") != 0) {
        argp_error(state, "unknown command '%s'; write check or diff",
                   args->action);
    }
    if (args->path_count != 2) {
        argp_error(state, "diff: name the old and the new catalogue");
    }
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    catalogue_args *args = state->input;

    switch (key) {
    case 'j':
        args->is_json = true;
        return 0;
    case ARGP_KEY_ARG:
        if (args->action == NULL) {
            args->action = argument;
        }
        else if (args->path_count < CTL_MAX_FILES) {
            args->paths[args->path_count++] = argument;
        }
        else {
            argp_error(state, "more than %d files", CTL_MAX_FILES);
        }
        return 0;
    case ARGP_KEY_END:
        validate_args(args, state);
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
    "Check a catalogue, or list the differences between two.\v"
    "check validates a catalogue by the same rules as the routers and reports "
    "every error with its file, its line, what was found and what to write. "
    "FOLDER contains head.ini and accounts-N.ini.\n\n"
    "diff compares two valid catalogues, each given as a folder or as a head "
    "with its parts in the same folder. It fails if the revision of the new "
    "one is not higher, because routers would reject it.\n\n"
    "Exit codes: 0 success, 1 invalid catalogue, 2 invalid usage.",
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
print_errors(const catalogue_args *args, const err_list *errors)
{
    if (args->is_json) {
        ctl_print_json(json_pack("{s:b, s:I, s:o}", "good", 0, "error_count",
                                 (json_int_t)errors->count, "errors",
                                 errors_to_json(errors)));
        return;
    }
    ctl_print_errors(errors);
}

static bool
is_directory(const char *path)
{
    struct stat status;

    return stat(path, &status) == 0 && S_ISDIR(status.st_mode);
}

static void
print_summary(const catalogue_args *args, const cat_catalogue *catalogue)
{
    char digest[2 * sizeof catalogue->digest + 1];

    snprintf(digest, sizeof digest, "%016" PRIx64, catalogue->digest);
    if (args->is_json) {
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
run_check(const catalogue_args *args)
{
    cat_catalogue catalogue;
    err_list errors;
    bool is_valid;

    err_list_init(&errors);
    if (args->path_count == 1 && is_directory(args->paths[0])) {
        is_valid = ctl_load_directory(&catalogue, args->paths[0], &errors);
    }
    else {
        is_valid = ctl_load_catalogue(&catalogue, args->paths,
                                      args->path_count, &errors);
    }
    if (!is_valid) {
        print_errors(args, &errors);
        return CTL_EXIT_FAILURE;
    }
    print_summary(args, &catalogue);
    cat_finish(&catalogue);
    return CTL_EXIT_OK;
}

static uint64_t
sum_account_weights(const cat_catalogue *catalogue)
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

/* Explains a changed sum of the weights: an account gets its weight divided by
 * the sum, so the share of an account of unchanged weight changes too. */
static void
print_share_change(const cat_catalogue *old_catalogue,
                   const cat_catalogue *new_catalogue)
{
    uint64_t old_sum = sum_account_weights(old_catalogue);
    uint64_t new_sum = sum_account_weights(new_catalogue);

    if (old_sum != new_sum && old_sum > 0 && new_sum > 0) {
        printf("shares: the weights sum to %" PRIu64 " -> %" PRIu64
               ", so an account of unchanged weight gets %.4g times its "
               "previous share when all accounts are backlogged\n",
               old_sum, new_sum, (double)old_sum / (double)new_sum);
    }
}

/* Prints the changes, drops the reference to them and returns the exit
 * code. */
static int
print_diff(const catalogue_args *args, const cat_catalogue *old_catalogue,
           const cat_catalogue *new_catalogue, json_t *changes)
{
    bool is_newer = new_catalogue->revision > old_catalogue->revision;

    if (args->is_json) {
        ctl_print_json(json_pack(
            "{s:b, s:I, s:I, s:I, s:I, s:o}", "good", (int)is_newer,
            "old_revision", (json_int_t)old_catalogue->revision,
            "new_revision", (json_int_t)new_catalogue->revision, "old_weights",
            (json_int_t)sum_account_weights(old_catalogue), "new_weights",
            (json_int_t)sum_account_weights(new_catalogue), "changes",
            changes));
    }
    else {
        printf("revision %" PRIu64 " -> %" PRIu64 ", %zu changes\n",
               old_catalogue->revision, new_catalogue->revision,
               json_array_size(changes));
        print_changes(changes);
        print_share_change(old_catalogue, new_catalogue);
        json_decref(changes);
    }
    if (!is_newer) {
        fprintf(stderr,
                "the new revision is not higher, so routers would reject it; "
                "write revision = %" PRIu64 " or more\n",
                old_catalogue->revision + 1);
        return CTL_EXIT_FAILURE;
    }
    return CTL_EXIT_OK;
}

static int
run_diff(const catalogue_args *args)
{
    cat_catalogue old_catalogue = {0};
    cat_catalogue new_catalogue = {0};
    err_list errors;
    json_t *changes;
    int exit_code = CTL_EXIT_FAILURE;

    err_list_init(&errors);
    if (!ctl_load_directory(&old_catalogue, args->paths[0], &errors) ||
        !ctl_load_directory(&new_catalogue, args->paths[1], &errors)) {
        print_errors(args, &errors);
        goto done;
    }
    changes = ctl_diff_catalogues(&old_catalogue, &new_catalogue);
    if (changes == NULL) {
        fprintf(stderr, "catalogue diff: out of memory; add more memory\n");
        goto done;
    }
    exit_code = print_diff(args, &old_catalogue, &new_catalogue, changes);
done:
    cat_finish(&old_catalogue);
    cat_finish(&new_catalogue);
    return exit_code;
}

int
ctl_run_catalogue(int argc, char **argv)
{
    static catalogue_args args;

    argp_err_exit_status = CTL_EXIT_USAGE;
    if (argp_parse(&parser, argc, argv, 0, NULL, &args) != 0) {
        return CTL_EXIT_USAGE;
    }
    return strcmp(args.action, "check") == 0 ? run_check(&args)
                                             : run_diff(&args);
}
