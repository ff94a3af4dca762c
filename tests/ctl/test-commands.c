/*
 * lavenderctl's other commands: what they print and their exit codes, by
 * running them. None of them needs a router that answers.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define OUTPUT_SIZE 8192
#define COMMAND_SIZE 1024

typedef struct call_case {
    char arguments[96];
    int code;
    char words[80];
} call_case;

static int
run(const char *arguments, char output[OUTPUT_SIZE])
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

ParameterizedTestParameters(ctl_commands, calls)
{
    static call_case cases[] = {
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

    return cr_make_param_array(call_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(call_case *c, ctl_commands, calls)
{
    char output[OUTPUT_SIZE];

    cr_expect_eq(run(c->arguments, output), c->code, "%s: %s", c->arguments,
                 output);
    cr_expect_not_null(strstr(output, c->words), "%s: %s", c->arguments,
                       output);
}
