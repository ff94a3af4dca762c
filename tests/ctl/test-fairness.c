/*
 * lavenderctl fairness with ledgers that are not what an operator listener
 * sends: a thread responds once with a given body.
 */
#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define OUTPUT_SIZE 8192

typedef struct fake_router {
    int listener;
    uint16_t port;
    const char *body;
    size_t announced_size; /* Content-Length */
} fake_router;

static void *
respond_once(void *context)
{
    fake_router *router = context;
    int connection = accept(router->listener, NULL, NULL);
    char buffer[4096];
    int size;

    if (connection >= 0 && read(connection, buffer, sizeof buffer) > 0) {
        size = snprintf(buffer, sizeof buffer,
                        "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        router->announced_size, router->body);
        cr_expect_eq(write(connection, buffer, (size_t)size), size);
    }
    close(connection);
    return NULL;
}

static void
start_router(fake_router *router)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof address;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    router->listener = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(
        bind(router->listener, (struct sockaddr *)&address, sizeof address),
        0);
    cr_assert_eq(listen(router->listener, 1), 0);
    getsockname(router->listener, (struct sockaddr *)&address, &size);
    router->port = ntohs(address.sin_port);
}

static int
run_fairness(fake_router *router, char output[OUTPUT_SIZE])
{
    char command[512];
    pthread_t thread;
    FILE *pipe;
    size_t size;
    int status;

    start_router(router);
    cr_assert_eq(pthread_create(&thread, NULL, respond_once, router), 0);
    snprintf(command, sizeof command,
             "%s fairness -t 2s -c " CATALOGUE_EXAMPLE
             "/head.ini -c " CATALOGUE_EXAMPLE
             "/accounts-1.ini 127.0.0.1:%u 2>&1",
             CTL_PROGRAM, (unsigned)router->port);
    pipe = popen(command, "r");
    cr_assert_not_null(pipe);
    size = fread(output, 1, OUTPUT_SIZE - 1, pipe);
    output[size] = '\0';
    status = pclose(pipe);
    pthread_join(thread, NULL);
    close(router->listener);
    cr_assert(WIFEXITED(status), "ended by a signal: %s", output);
    return WEXITSTATUS(status);
}

#define HEADER                                                                \
    "{\"instance\": \"a\", \"window_us\": 1000000, \"current\": 9}\n"

Test(ctl_fairness, malformed_ledgers_are_no_response)
{
    static const struct {
        const char *body;
        size_t lost_bytes; /* announced but not sent */
        int exit_code;
        const char *text;
    } cases[] = {
        {HEADER, 0, 0, "gap"},
        {"{\"window_us\": 0, \"current\": 9}\n", 0, 1, "only 0 of 1"},
        {"{\"window_us\": -5, \"current\": 9}\n", 0, 1, "only 0 of 1"},
        {"{\"window_us\": 1000000, \"current\": 0}\n", 0, 1, "only 0 of 1"},
        {HEADER "{\"pool\": \"a\", \"acc", 0, 1, "only 0 of 1"},
        {HEADER "{\"pool\": \"a\"}\n", 50, 1, "only 0 of 1"},
        {"", 0, 1, "only 0 of 1"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        fake_router router = {.body = cases[i].body,
                              .announced_size =
                                  strlen(cases[i].body) + cases[i].lost_bytes};
        char output[OUTPUT_SIZE];

        cr_expect_eq(run_fairness(&router, output), cases[i].exit_code,
                     "case %zu: %s", i, output);
        cr_expect_not_null(strstr(output, cases[i].text), "case %zu: %s", i,
                           output);
    }
}
