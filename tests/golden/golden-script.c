#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "golden.h"

#define ANSWER_TIMEOUT_MS 20000
#define END_TIMEOUT_MS 20000
#define STEP_MS 10

typedef bool play_command(golden_session *session, char *rest);

static char *
next_word(char **rest)
{
    char *word = *rest;

    word += strspn(word, " ");
    *rest = word + strcspn(word, " ");
    if (**rest != '\0') {
        *(*rest)++ = '\0';
    }
    return word;
}

static bool
add_line(char *text, const char *line)
{
    size_t used = strlen(text);

    snprintf(text + used, RIG_TEXT_SIZE - used, "%s\n", line);
    return true;
}

static bool
play_settings(golden_session *session, char *rest)
{
    return add_line(session->settings, rest);
}

static bool
play_entry(golden_session *session, char *rest)
{
    return add_line(session->entry, rest);
}

static bool
play_catalogue(golden_session *session, char *rest)
{
    return add_line(session->catalogue, rest);
}

static bool
play_tickets(golden_session *session, char *rest)
{
    return add_line(session->tickets, rest);
}

static bool
play_no_catalogue(golden_session *session, char *rest)
{
    (void)rest;
    session->shape.has_no_catalogue = true;
    return true;
}

static bool
play_token(golden_session *session, char *rest)
{
    session->shape.token_us = (uint32_t)strtoul(rest, NULL, 10);
    return true;
}

static bool
play_service(golden_session *session, char *rest)
{
    session->shape.service_time_us = (uint32_t)strtoul(rest, NULL, 10);
    return true;
}

static bool
play_two_routers(golden_session *session, char *rest)
{
    (void)rest;
    session->shape.has_two_routers = true;
    return true;
}

static bool
play_start(golden_session *session, char *rest)
{
    (void)rest;
    session->shape.settings = session->settings;
    session->shape.entry = session->entry;
    session->shape.tickets = session->tickets;
    session->shape.catalogue = session->catalogue;
    session->is_started = true;
    return rig_start(&session->rig, &session->shape);
}

static bool
play_router(golden_session *session, char *rest)
{
    session->router = (uint32_t)strtoul(rest, NULL, 10) - 1;
    fprintf(session->transcript, "-- router %u\n", session->router + 1);
    return session->router < session->rig.router_count;
}

static bool
play_header(golden_session *session, char *rest)
{
    char *mark = strstr(rest, "$ticket");
    size_t used = strlen(session->headers);

    fprintf(session->transcript, "> %s\n", rest);
    if (mark != NULL) {
        *mark = '\0';
    }
    snprintf(session->headers + used, RIG_TEXT_SIZE - used, "%s%s\r\n", rest,
             mark == NULL ? "" : session->ticket);
    return true;
}

static const char *
callers(const golden_session *session)
{
    return session->rig.routers[session->router].callers;
}

/* Send METHOD PATH ACCOUNT BODY on a new connection. */
static int
send_request(golden_session *session, char *rest)
{
    char *method = next_word(&rest), *path = next_word(&rest);
    char *account = next_word(&rest);
    char head[RIG_TEXT_SIZE * 2], key[96] = "";
    int socket = rig_connect(callers(session));
    int size;

    fprintf(session->transcript, "> %s %s as %s\n", method, path, account);
    if (*rest != '\0') {
        fprintf(session->transcript, "> %s\n", rest);
    }
    if (socket < 0) {
        return -1;
    }
    if (strcmp(account, "-") != 0) {
        snprintf(key, sizeof key, "Authorization: Bearer key-of-%s\r\n",
                 account);
    }
    size = snprintf(head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: router\r\n%s%s"
                    "Content-Length: %zu\r\n\r\n%s",
                    method, path, key, session->headers, strlen(rest), rest);
    session->headers[0] = '\0';
    if (!rig_write(socket, head, (size_t)size)) {
        close(socket);
        return -1;
    }
    return socket;
}

static bool
print_answer(golden_session *session, int socket)
{
    rig_answer answer;

    if (socket < 0) {
        fprintf(session->transcript, "< no connection\n\n");
        return true;
    }
    rig_read(socket, &answer, ANSWER_TIMEOUT_MS);
    golden_print(session->transcript, &answer);
    rig_answer_finish(&answer);
    close(socket);
    return true;
}

static bool
play_ask(golden_session *session, char *rest)
{
    return print_answer(session, send_request(session, rest));
}

static golden_open *
find_open(golden_session *session, const char *id)
{
    size_t i;

    for (i = 0; i < GOLDEN_OPEN_MAX; i++) {
        if (strcmp(session->open[i].id, id) == 0) {
            return &session->open[i];
        }
    }
    return NULL;
}

static bool
play_begin(golden_session *session, char *rest)
{
    char *id = next_word(&rest);
    golden_open *open = find_open(session, "");

    if (open == NULL) {
        return false;
    }
    fprintf(session->transcript, "-- begin %s\n", id);
    snprintf(open->id, sizeof open->id, "%s", id);
    open->socket = send_request(session, rest);
    fputc('\n', session->transcript);
    return true;
}

static bool
play_first(golden_session *session, char *rest)
{
    golden_open *open = find_open(session, rest);
    char byte;

    return open != NULL && recv(open->socket, &byte, 1, MSG_PEEK) == 1;
}

static bool
play_end(golden_session *session, char *rest)
{
    golden_open *open = find_open(session, rest);

    if (open == NULL) {
        return false;
    }
    fprintf(session->transcript, "-- end %s\n", rest);
    open->id[0] = '\0';
    return print_answer(session, open->socket);
}

static bool
play_leave(golden_session *session, char *rest)
{
    golden_open *open = find_open(session, rest);

    if (open == NULL) {
        return false;
    }
    fprintf(session->transcript, "-- caller %s leaves\n\n", rest);
    open->id[0] = '\0';
    close(open->socket);
    return true;
}

static bool
play_ticket(golden_session *session, char *rest)
{
    char key[96];
    rig_answer answer;
    const char *text;

    snprintf(key, sizeof key, "Authorization: Bearer key-of-%s\r\n", rest);
    fprintf(session->transcript, "> POST /v1/tickets as %s\n", rest);
    rig_ask(callers(session), "POST", "/v1/tickets", key, "", &answer);
    golden_print(session->transcript, &answer);
    text = answer.status != 201 ? NULL : strstr(answer.body, "\"ticket\": \"");
    if (text != NULL) {
        text += strlen("\"ticket\": \"");
        snprintf(session->ticket, sizeof session->ticket, "%.*s",
                 (int)strcspn(text, "\""), text);
    }
    rig_answer_finish(&answer);
    return true;
}

static proc_process *
find_endpoint(golden_session *session, const char *name)
{
    return strcmp(name, "engine") == 0    ? &session->rig.engine
           : strcmp(name, "service") == 0 ? &session->rig.service
                                          : NULL;
}

static bool
play_fault(golden_session *session, char *rest)
{
    proc_process *endpoint = find_endpoint(session, next_word(&rest));

    fprintf(session->transcript, "-- fault %s\n", rest + strspn(rest, " "));
    return endpoint != NULL && rig_tell(endpoint, rest);
}

static long long
count_of(golden_session *session, const char *name, const char *what)
{
    proc_process *endpoint = find_endpoint(session, name);

    return endpoint == NULL
               ? -1
               : rig_count(endpoint,
                           endpoint == &session->rig.engine ? "/admin/counts"
                                                            : "/admin/runs",
                           what);
}

static bool
play_count(golden_session *session, char *rest)
{
    char *name = next_word(&rest);

    fprintf(session->transcript, "-- %s %s: %lld\n\n", name, rest,
            count_of(session, name, rest));
    return true;
}

static bool
play_wait(golden_session *session, char *rest)
{
    char *name = next_word(&rest), *what = next_word(&rest);
    long long wanted = strtoll(rest, NULL, 10);
    int waited;

    for (waited = 0; waited < END_TIMEOUT_MS; waited += STEP_MS) {
        if (count_of(session, name, what) >= wanted) {
            return true;
        }
        proc_sleep_ms(STEP_MS);
    }
    return false;
}

static bool
play_kill(golden_session *session, char *rest)
{
    proc_process *endpoint = find_endpoint(session, rest);

    if (endpoint == NULL) {
        return false;
    }
    fprintf(session->transcript, "-- kill %s\n\n", rest);
    proc_kill(endpoint);
    return true;
}

static proc_process *
router_of(golden_session *session)
{
    return &session->rig.routers[session->router].process;
}

static bool
play_term(golden_session *session, char *rest)
{
    (void)rest;
    fprintf(session->transcript, "-- SIGTERM\n\n");
    proc_signal(router_of(session), SIGTERM);
    return true;
}

static bool
play_exit(golden_session *session, char *rest)
{
    proc_process *process = router_of(session);

    (void)rest;
    if (!proc_wait_end(process, END_TIMEOUT_MS)) {
        fprintf(session->transcript, "-- the router still runs\n\n");
        return true;
    }
    if (WIFEXITED(process->status)) {
        fprintf(session->transcript, "-- exit code %d\n\n",
                WEXITSTATUS(process->status));
    }
    else {
        fprintf(session->transcript, "-- ended by signal %d\n\n",
                WTERMSIG(process->status));
    }
    return true;
}

static bool
play_ready(golden_session *session, char *rest)
{
    const rig_router *router = &session->rig.routers[session->router];
    rig_answer answer;

    (void)rest;
    fprintf(session->transcript, "> GET /readyz\n");
    rig_ask(router->operator_address, "GET", "/readyz", "", "", &answer);
    golden_print(session->transcript, &answer);
    rig_answer_finish(&answer);
    return true;
}

static bool
play_restart(golden_session *session, char *rest)
{
    (void)rest;
    fprintf(session->transcript, "-- the router is killed and started\n\n");
    proc_kill(router_of(session));
    return rig_start_router(&session->rig, session->router);
}

static bool
play_pause(golden_session *session, char *rest)
{
    (void)session;
    proc_sleep_ms(strtoull(rest, NULL, 10));
    return true;
}

static const struct {
    const char *name;
    play_command *play;
} commands[] = {
    {"settings", play_settings},
    {"entry", play_entry},
    {"catalogue", play_catalogue},
    {"tickets", play_tickets},
    {"no-catalogue", play_no_catalogue},
    {"token-us", play_token},
    {"service-us", play_service},
    {"two-routers", play_two_routers},
    {"start", play_start},
    {"router", play_router},
    {"header", play_header},
    {"ask", play_ask},
    {"begin", play_begin},
    {"first", play_first},
    {"end", play_end},
    {"leave", play_leave},
    {"ticket", play_ticket},
    {"fault", play_fault},
    {"count", play_count},
    {"wait", play_wait},
    {"kill", play_kill},
    {"term", play_term},
    {"exit", play_exit},
    {"ready", play_ready},
    {"restart", play_restart},
    {"pause", play_pause},
};

bool
golden_play(golden_session *session, char *line)
{
    char *name;
    size_t i;

    line[strcspn(line, "\n")] = '\0';
    if (line[0] == '\0') {
        return true;
    }
    if (line[0] == '#') {
        fprintf(session->transcript, "%s\n", line);
        return true;
    }
    name = next_word(&line);
    for (i = 0; i < sizeof commands / sizeof commands[0]; i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return commands[i].play(session, line);
        }
    }
    return false;
}
