/*
 * lavenderctl: the command-line tool for operators. Each subcommand has its
 * own source file.
 */
#ifndef LAVENDER_CTL_H
#define LAVENDER_CTL_H

#include <jansson.h>

#include "lavender/error.h"
#include "lavender/types.h"

/* Exit codes of all subcommands. */
#define CTL_EXIT_OK 0
#define CTL_EXIT_FAILURE 1 /* the command failed or its input is invalid */
#define CTL_EXIT_USAGE 2   /* invalid command line */

/* The maximum number of routers that one invocation contacts. */
#define CTL_MAX_ROUTERS 2048

/* Entry points of the subcommands. argv[0] is the program name for usage
 * messages. Each returns an exit code. */
int ctl_run_check(int argc, char **argv);
int ctl_run_catalogue(int argc, char **argv);
int ctl_run_status(int argc, char **argv);
int ctl_run_fairness(int argc, char **argv);
int ctl_run_keys(int argc, char **argv);
int ctl_run_drain(int argc, char **argv);
int ctl_run_explain(int argc, char **argv);

/* An HTTP response from a router's operator listener. */
typedef struct ctl_response {
    int status; /* HTTP status code */
    char *body; /* null-terminated; owned by the caller */
    size_t size;
} ctl_response;

/* Sends one HTTP request to a router's operator listener and waits for the
 * whole response. `timeout` limits the connect time, the time to the first
 * byte and each pause after it. On success the caller frees response->body;
 * on failure returns false and sets *error. */
bool ctl_send_request(const char *address, const char *method,
                      const char *path, lv_time timeout,
                      ctl_response *response, err_error *error);

/* Prints an error and its remedy to the standard error stream. */
void ctl_print_error(const char *subject, const err_error *error);

/* Prints indented JSON to the standard output stream and drops the caller's
 * reference to it. */
void ctl_print_json(json_t *json);

#endif
