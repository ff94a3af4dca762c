/*
 * lavenderctl catalogue: runs the program and checks its output and exit
 * codes.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "texts.h"

#define OUTPUT_SIZE 8192
#define PATH_SIZE 256

static char directory[32]; /* holds the files of one test */

static void
make_directory(void)
{
    snprintf(directory, sizeof directory, "/tmp/lavender-ctl-XXXXXX");
    cr_assert_not_null(mkdtemp(directory));
}

static void
write_file(const char *name, const char *text)
{
    char path[PATH_SIZE];
    FILE *file;

    snprintf(path, sizeof path, "%s/%s", directory, name);
    file = fopen(path, "wb");
    cr_assert_not_null(file);
    fputs(text, file);
    fclose(file);
}

static void
remove_directory(void)
{
    static const char *const names[] = {"head.ini", "accounts-1.ini",
                                        "new.ini"};
    char path[PATH_SIZE];

    for (size_t i = 0; i < sizeof names / sizeof names[0]; i++) {
        snprintf(path, sizeof path, "%s/%s", directory, names[i]);
        remove(path);
    }
    remove(directory);
}

/* Runs `lavenderctl catalogue ARGUMENTS` in the directory and returns the exit
 * code. The standard output and error streams both go to output. */
static int
run_catalogue_command(const char *arguments, char output[OUTPUT_SIZE])
{
    char command[PATH_SIZE * 4];
    FILE *pipe;
    size_t size;

    snprintf(command, sizeof command, "cd %s && %s catalogue %s 2>&1",
             directory, CTL_PROGRAM, arguments);
    pipe = popen(command, "r");
    cr_assert_not_null(pipe);
    size = fread(output, 1, OUTPUT_SIZE - 1, pipe);
    output[size] = '\0';
    return WEXITSTATUS(pclose(pipe));
}

typedef struct command_case {
    char arguments[40];
    int exit_code;
    char expected_text[80];
} command_case;

ParameterizedTestParameters(ctl_catalogue, output_and_exit_code)
{
    static command_case cases[] = {
        {"", 2, "write check or diff"},
        {"chek .", 2, "unknown command 'chek'"},
        {"check", 2, "name a folder"},
        {"diff .", 2, "the old and the new"},
        {"--frobnicate", 2, "unrecognized option"},
        {"--help", 0, "Exit codes"},
        {"check .", 0, "good: revision 7"},
        {"check head.ini", 0, "2 accounts, 3 entries"},
        {"check --json .", 0, "\"good\": true"},
        {"check nowhere", 1, "name a file that can be read"},
        {"check head.ini head.ini", 1, "parts = 0, but 1"},
        {"check new.ini", 1, "new.ini:2: bad-value: revision: found \"x\""},
        {"check --json new.ini", 1, "\"line\": 2"},
        {"diff . new.ini", 1, "new.ini:2: bad-value"},
        {"diff . .", 1, "write revision = 8 or more"},
    };

    return cr_make_param_array(command_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(command_case *test, ctl_catalogue, output_and_exit_code)
{
    char output[OUTPUT_SIZE];
    int exit_code;

    make_directory();
    write_file("head.ini", text_catalogue);
    write_file("new.ini", "[catalogue]\nrevision = x\n");
    exit_code = run_catalogue_command(test->arguments, output);
    remove_directory();
    cr_assert_eq(exit_code, test->exit_code, "%s: %d: %s", test->arguments,
                 exit_code, output);
    cr_assert_not_null(strstr(output, test->expected_text), "%s: %s",
                       test->arguments, output);
}

static const char *const head_with_one_part =
    "[catalogue]\nrevision = %d\nparts = 1\n"
    "[digest]\n1 = %016" PRIx64 "\n"
    "[pool p]\nkind = service\nslots = 1\n"
    "quantum = 10\ndefault_cost = 1\n";

/* Writes a head and its only account part, with a matching digest. */
static void
write_catalogue(int revision, const text_buffer *accounts)
{
    char head[512];

    snprintf(head, sizeof head, head_with_one_part, revision,
             cat_digest_part(accounts->text, accounts->size));
    write_file("head.ini", head);
    write_file("accounts-1.ini", accounts->text);
}

/* A part whose digest differs from the one in the head is rejected; the remedy
 * states the part's digest. */
Test(ctl_catalogue, part_with_wrong_digest_is_rejected)
{
    text_buffer accounts = {0};
    char output[OUTPUT_SIZE];
    char remedy[64];

    make_directory();
    text_add_account(&accounts, 1);
    write_catalogue(1, &accounts);
    cr_assert_eq(run_catalogue_command("check .", output), 0, "%s", output);
    text_add_account(&accounts, 2);
    write_file("accounts-1.ini", accounts.text);
    cr_assert_eq(run_catalogue_command("check .", output), 1);
    snprintf(remedy, sizeof remedy, "write 1 = %016" PRIx64,
             cat_digest_part(accounts.text, accounts.size));
    cr_assert_not_null(strstr(output, remedy), "%s", output);
    remove_directory();
    text_finish(&accounts);
}

/* A changed field of a row of each kind, an added entry and a removed one. */
Test(ctl_catalogue, diff_lists_every_change)
{
    static const char *const replacements[][2] = {
        {"revision = 7", "revision = 8"},
        {"slots = 8", "slots = 16"},
        {"weight = 2", "weight = 5"},
        {"hold = 5ms", "hold = 6ms"},
        {"[entry a/drafts]", "[entry a/letters]"},
        {"idempotent = no", "idempotent = yes"},
        {"copies = 2", "copies = 3"},
        {"deadline = 5s\n\n[entry a/l", "deadline = 9s\n\n[entry a/l"},
    };
    static const char *const expected_lines[] = {
        "revision 7 -> 8, 8 changes\n",
        "pool     shared slots: 8 -> 16\n",
        "pool     shared hold: 5000us -> 6000us\n",
        "route    /plots/book idempotent: no -> yes\n",
        "model    m2 copies: 2 -> 3\n",
        "account  a weight: 2 -> 5\n",
        "entry    a/drafts removed\n",
        "entry    a/letters added\n",
        "entry    a/gate deadline: 5000000us -> 9000000us\n",
        "the weights sum to 3 -> 6",
    };
    char text[4096];
    char output[OUTPUT_SIZE];

    snprintf(text, sizeof text, "%s", text_catalogue);
    for (size_t i = 0; i < sizeof replacements / sizeof replacements[0]; i++) {
        char edited[4096];
        char *at = strstr(text, replacements[i][0]);

        cr_assert_not_null(at, "%s", replacements[i][0]);
        snprintf(edited, sizeof edited, "%.*s%s%s", (int)(at - text), text,
                 replacements[i][1], at + strlen(replacements[i][0]));
        memcpy(text, edited, sizeof text);
    }
    make_directory();
    write_file("head.ini", text_catalogue);
    write_file("new.ini", text);
    cr_assert_eq(run_catalogue_command("diff . new.ini", output), 0, "%s",
                 output);
    for (size_t i = 0; i < sizeof expected_lines / sizeof expected_lines[0];
         i++) {
        cr_assert_not_null(strstr(output, expected_lines[i]), "%s in %s",
                           expected_lines[i], output);
    }
    cr_assert_eq(run_catalogue_command("diff --json . new.ini", output), 0);
    cr_assert_not_null(strstr(output, "\"key\": \"slots\""));
    remove_directory();
}
