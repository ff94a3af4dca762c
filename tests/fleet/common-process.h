/*
 * Processes that a test starts: stand-ins and routers. They end when their
 * parent ends, whatever happens to it.
 */
#ifndef COMMON_PROCESS_H
#define COMMON_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "common-http.h"

#define PROC_PATH_SIZE 512
#define PROC_ARGUMENTS 128

typedef struct proc_process {
    pid_t pid; /* 0: not running */
    int output;
    int status; /* as waitpid gives it, once it ended */
    char address[HTTP_ADDRESS_SIZE];
    char admin[HTTP_ADDRESS_SIZE];
} proc_process;

/* Arguments of a program, ended by NULL. */
typedef struct proc_command {
    char text[PROC_ARGUMENTS][PROC_PATH_SIZE];
    uint32_t count;
} proc_command;

void proc_command_init(proc_command *command, const char *program);
void proc_command_add(proc_command *command, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Start; standard error goes to the end of the file log. */
bool proc_start(proc_process *process, const proc_command *command,
                const char *log);

/* Wait for the line "ready IP:PORT admin IP:PORT" of a stand-in. */
bool proc_wait_ready(proc_process *process, uint64_t timeout_ms);

void proc_signal(const proc_process *process, int signal);

/* Wait for its end; false when it still runs. */
bool proc_wait_end(proc_process *process, uint64_t timeout_ms);

/* Kill it, if it runs, and wait for its end. */
void proc_kill(proc_process *process);

/* Processor time used so far, in milliseconds, and resident memory. */
uint64_t proc_cpu_ms(pid_t pid);
uint64_t proc_memory_kb(pid_t pid);

void proc_sleep_ms(uint64_t length);

/* A port of this IP number that was free just now. */
uint16_t proc_free_port(const char *ip);

#endif
