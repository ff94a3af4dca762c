/*
 * lavenderctl's other subcommands: runs the program and checks its output and
 * exit codes. The tests need no running router.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define OUTPUT_SIZE 8192
#define COMMAND_SIZE 1024

typedef struct command_case {
    char arguments[96];
    int exit_code;
    char expected_text[80];
} command_case;

/* Runs `lavenderctl ARGUMENTS` and returns the exit code. The standard output
 * and error streams both go to output. */
static int
run_command(const char *arguments, char output[OUTPUT_SIZE])
{
    char command[COMMAND_SIZE];
    FILE *pipe;
    size_t size;

    snprintf(command, sizeof command, "%s %s 2>&1", CTL_PROGRAM, arguments);
    pipe = popen(command, "r");
    cr_assert_not_null(pipe);
    size = fread(output, 1, OUTPUT_SIZE - 1, pipe);
    output[size] = '\0';
    return WEXITSTATUS(pclose(pipe));
}

ParameterizedTestParameters(ctl_commands, output_and_exit_code)
{
    static command_case cases[] = {
        {"", 2, "Usage: lavenderctl COMMAND"},
        {"--help", 0, "Exit codes"},
        {"--version", 0, "lavenderctl 0"},
        {"frobnicate", 2, "unknown command 'frobnicate'"},
        {"status", 2, "name at least one router"},
        {"status --help", 0, "lavenderctl status"},
        {"status --timeout 5 127.0.0.1:9", 2, "--timeout"},
        {"status -t 1s 127.0.0.1:9", 1, "no answer from 127.0.0.1:9"},
        {"status -t 1s --json 127.0.0.1:9", 1, "{}"},
        {"drain", 2, "name at least one router"},
        {"drain -t 1s 127.0.0.1:9", 1, "no answer from 127.0.0.1:9"},
        {"fairness 127.0.0.1:9", 2, "name the catalogue's files"},
        {"fairness -c nowhere.ini 127.0.0.1:9", 1, "nowhere.ini"},
        {"check", 2, "name a settings file"},
        {"check a b", 2, "one settings file"},
        {"check nowhere.ini", 1, "nowhere.ini"},
        {"check " SETTINGS_EXAMPLE, 0, "good"},
        {"keys extra", 2, "Too many arguments"},
        {"keys", 0, "public_key = "},
        {"keys --json", 0, "\"account_digest\": "},
    };

    return cr_make_param_array(command_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(command_case *test, ctl_commands, output_and_exit_code)
{
    char output[OUTPUT_SIZE];

    cr_expect_eq(run_command(test->arguments, output), test->exit_code,
                 "%s: %s", test->arguments, output);
    cr_expect_not_null(strstr(output, test->expected_text), "%s: %s",
                       test->arguments, output);
}
