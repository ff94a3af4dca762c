#include "common-process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "common-usage.h"

#define STEP_MS 5
#define LINE_SIZE 256
#define EXIT_NO_EXEC 127
#define US_PER_MS 1000

static void
format_argument(proc_command *command, const char *format, va_list arguments)
{
    vsnprintf(command->text[command->count++], PROC_PATH_SIZE, format,
              arguments);
}

void
proc_command_init(proc_command *command, const char *program)
{
    command->count = 0;
    proc_command_add(command, "%s", program);
}

void
proc_command_add(proc_command *command, const char *format, ...)
{
    va_list arguments;

    if (command->count == PROC_ARGUMENTS) {
        fputs("too many arguments of a program\n", stderr);
        abort();
    }
    va_start(arguments, format);
    format_argument(command, format, arguments);
    va_end(arguments);
}

static void
run_child(const proc_command *command, const char *log, int output,
          pid_t parent)
{
    char *arguments[PROC_ARGUMENTS + 1];
    int file;

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(EXIT_NO_EXEC);
    }
    file = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (file >= 0) {
        dup2(file, STDERR_FILENO);
    }
    dup2(output, STDOUT_FILENO);
    for (int other = STDERR_FILENO + 1; other < 1024; other++) {
        close(other);
    }
    for (uint32_t i = 0; i < command->count; i++) {
        arguments[i] = (char *)command->text[i];
    }
    arguments[command->count] = NULL;
    execv(arguments[0], arguments);
    fprintf(stderr, "can not run %s: %s\n", arguments[0], strerror(errno));
    _exit(EXIT_NO_EXEC);
}

bool
proc_start(proc_process *process, const proc_command *command, const char *log)
{
    int ends[2];
    pid_t parent = getpid();

    memset(process, 0, sizeof *process);
    process->output = -1;
    if (pipe(ends) != 0) {
        return false;
    }
    process->pid = fork();
    if (process->pid == 0) {
        run_child(command, log, ends[1], parent);
    }
    close(ends[1]);
    process->output = ends[0];
    if (process->pid < 0) {
        process->pid = 0;
        close(ends[0]);
        process->output = -1;
        return false;
    }
    return true;
}

bool
proc_wait_ready(proc_process *process, uint64_t timeout_ms)
{
    uint64_t end = usage_now_us() + timeout_ms * US_PER_MS;
    char line[LINE_SIZE] = "";
    size_t size = 0;

    while (strchr(line, '\n') == NULL && size < sizeof line - 1) {
        struct pollfd wait = {.fd = process->output, .events = POLLIN};
        ssize_t count;

        if (usage_now_us() > end) {
            return false;
        }
        if (poll(&wait, 1, STEP_MS) <= 0) {
            continue;
        }
        count = read(process->output, line + size, sizeof line - 1 - size);
        if (count <= 0) {
            return false;
        }
        size += (size_t)count;
        line[size] = '\0';
    }
    return sscanf(line, "ready %63s admin %63s", process->address,
                  process->admin) == 2;
}

void
proc_signal(const proc_process *process, int signal)
{
    if (process->pid > 0) {
        kill(process->pid, signal);
    }
}

static void
set_ended(proc_process *process, int status)
{
    process->status = status;
    process->pid = 0;
    if (process->output >= 0) {
        close(process->output);
        process->output = -1;
    }
}

bool
proc_wait_end(proc_process *process, uint64_t timeout_ms)
{
    uint64_t end = usage_now_us() + timeout_ms * US_PER_MS;
    int status = 0;

    while (process->pid > 0) {
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            set_ended(process, status);
            return true;
        }
        if (usage_now_us() > end) {
            return false;
        }
        proc_sleep_ms(STEP_MS);
    }
    return true;
}

void
proc_kill(proc_process *process)
{
    int status = 0;

    if (process->pid > 0) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, &status, 0);
        set_ended(process, status);
    }
}

uint64_t
proc_cpu_ms(pid_t pid)
{
    char path[64];
    char text[1024] = "";
    unsigned long long user = 0;
    unsigned long long system = 0;
    FILE *file;
    const char *rest;

    snprintf(path, sizeof path, "/proc/%d/stat", (int)pid);
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fgets(text, sizeof text, file) == NULL) {
        text[0] = '\0';
    }
    fclose(file);
    rest = strrchr(text, ')');
    if (rest == NULL ||
        sscanf(rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu",
               &user, &system) != 2) {
        return 0;
    }
    return (user + system) * 1000 / (unsigned long long)sysconf(_SC_CLK_TCK);
}

uint64_t
proc_memory_kb(pid_t pid)
{
    char path[64];
    unsigned long long pages = 0;
    FILE *file;

    snprintf(path, sizeof path, "/proc/%d/statm", (int)pid);
    file = fopen(path, "r");
    if (file == NULL) {
        return 0;
    }
    if (fscanf(file, "%*u %llu", &pages) != 1) {
        pages = 0;
    }
    fclose(file);
    return pages * (unsigned long long)sysconf(_SC_PAGESIZE) / 1024;
}

void
proc_sleep_ms(uint64_t length)
{
    struct timespec pause = {.tv_sec = (time_t)(length / 1000),
                             .tv_nsec = (long)(length % 1000) * 1000000};

    while (nanosleep(&pause, &pause) != 0 && errno == EINTR) {
    }
}

uint16_t
proc_free_port(const char *ip)
{
    struct sockaddr_in name = {.sin_family = AF_INET};
    socklen_t size = sizeof name;
    int one = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, ip, &name.sin_addr);
    if (one < 0 || bind(one, (struct sockaddr *)&name, sizeof name) != 0 ||
        getsockname(one, (struct sockaddr *)&name, &size) != 0) {
        perror("no free port");
        abort();
    }
    close(one);
    return ntohs(name.sin_port);
}
