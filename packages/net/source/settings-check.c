#include <string.h>
#include <sys/resource.h>

#include "settings-imp.h"

/* Descriptors that the process needs beside its callers' connections: the
 * listeners, the log, the peer links and the connections to endpoints. */
#define OTHER_DESCRIPTORS 64

static void
check_listeners(const set_settings *settings, const char *file,
                err_list *errors)
{
    const char *callers = settings->callers.address;
    const char *oper = settings->operator_listener.address;
    const char *peer = settings->link.bind_address;

    if (*callers != '\0' && strcmp(callers, oper) == 0) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "give each listener its own port",
                     "[listen] callers and operator are both %s", callers);
    }
    if (*peer != '\0' &&
        (strcmp(callers, peer) == 0 || strcmp(oper, peer) == 0)) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "give each listener its own port",
                     "[listen] peer %s is another listener's address", peer);
    }
    if ((settings->callers.tls_certificate[0] == '\0') !=
        (settings->callers.tls_key[0] == '\0')) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set both tls_certificate and tls_key, or none",
                     "[listen] has only one of tls_certificate and tls_key");
    }
}

static void
check_platform(const set_settings *settings, const char *file,
               err_list *errors)
{
    const plat_settings *platform = &settings->platform;

    if (settings->source == SET_SOURCE_SERVICE &&
        platform->address[0] == '\0') {
        err_list_add(errors, file, 0, ERR_CONFLICT, "write address = IP:PORT",
                     "[platform] source = service has no address");
    }
    if (settings->source == SET_SOURCE_FILE &&
        platform->directory[0] == '\0') {
        err_list_add(errors, file, 0, ERR_CONFLICT, "write folder = PATH",
                     "[platform] source = file has no folder");
    }
    if (platform->initial_backoff > platform->max_backoff) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a backoff_max that is at least backoff",
                     "[platform] backoff is longer than backoff_max");
    }
}

static void
check_keys(const link_settings *link, const char *file, err_list *errors)
{
    size_t public_size = strlen(link->public_key);
    size_t secret_size = strlen(link->secret_key);

    if ((public_size == 0) != (secret_size == 0)) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set both public_key and secret_key, or none",
                     "[peers] has only one of public_key and secret_key");
    }
    else if (public_size != 0 && (public_size != LINK_KEY_SIZE - 1 ||
                                  secret_size != LINK_KEY_SIZE - 1)) {
        err_list_add(errors, file, 0, ERR_BAD_VALUE,
                     "make a pair with 'lavenderctl keys'",
                     "[peers] public_key and secret_key are not both %d "
                     "characters long",
                     LINK_KEY_SIZE - 1);
    }
}

static void
check_times(const set_settings *settings, const char *file, err_list *errors)
{
    const disp_settings *leases = &settings->node.dispatcher;
    const swim_settings *membership = &settings->node.membership;
    const entry_settings *entry = &settings->node.entry;

    if (leases->lease_ttl < 2 * entry->full_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a ttl of at least two full intervals",
                     "[leases] ttl is shorter than two of full_interval");
    }
    if (entry->full_interval < leases->report_interval ||
        entry->idle_interval < entry->full_interval ||
        entry->silence_timeout <= entry->full_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a full_interval of at least report_interval, and "
                     "an idle_interval and a silence over full_interval",
                     "[leases] full_interval, idle_interval or silence is "
                     "too short");
    }
    if (entry->backoff_max < entry->backoff) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a rest_max that is at least rest",
                     "[endpoints] rest is longer than rest_max");
    }
    if (membership->probe_timeout >= membership->probe_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a probe_timeout below probe_interval",
                     "[membership] probe_timeout is not shorter than "
                     "probe_interval");
    }
}

static void
check_sizes(const set_settings *settings, const char *file, err_list *errors)
{
    const call_settings *callers = &settings->callers;
    const tkt_settings *tickets = &settings->node.tickets;
    struct rlimit files;

    if (callers->max_request_body > callers->max_memory_used) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write a body that fits into memory",
                     "[limits] body is larger than memory");
    }
    if (tickets->max_answer_size > tickets->max_total_answer_size) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "write an answer that fits into answers",
                     "[tickets] answer is larger than answers");
    }
    if (getrlimit(RLIMIT_NOFILE, &files) == 0 &&
        files.rlim_cur != RLIM_INFINITY &&
        (rlim_t)callers->max_open_connections + OTHER_DESCRIPTORS >
            files.rlim_cur) {
        err_list_add(errors, file, 0, ERR_LIMIT,
                     "allow the process more open files, or write fewer "
                     "connections",
                     "[limits] connections = %u does not fit into the %llu "
                     "files that this process may open",
                     callers->max_open_connections,
                     (unsigned long long)files.rlim_cur);
    }
}

void
set_check(const set_settings *settings, const char *file, err_list *errors)
{
    check_listeners(settings, file, errors);
    check_platform(settings, file, errors);
    check_keys(&settings->link, file, errors);
    check_times(settings, file, errors);
    check_sizes(settings, file, errors);
}
