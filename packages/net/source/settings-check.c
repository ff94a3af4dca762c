#include <string.h>
#include <sys/resource.h>

#include "settings-imp.h"

/* File descriptors reserved for everything except callers' connections: the
 * listeners, the log, the peer links and the connections to endpoints. */
#define RESERVED_DESCRIPTORS 64

static void
check_listeners(const set_settings *settings, const char *file,
                err_list *errors)
{
    const char *caller_address = settings->callers.address;
    const char *operator_address = settings->operator_listener.address;
    const char *peer_address = settings->link.bind_address;

    if (*caller_address != '\0' &&
        strcmp(caller_address, operator_address) == 0) {
        err_list_add(
            errors, file, 0, ERR_CONFLICT, "give each listener its own port",
            "[listen] callers and operator are both %s", caller_address);
    }
    if (*peer_address != '\0' &&
        (strcmp(caller_address, peer_address) == 0 ||
         strcmp(operator_address, peer_address) == 0)) {
        err_list_add(
            errors, file, 0, ERR_CONFLICT, "give each listener its own port",
            "[listen] peer %s is another listener's address", peer_address);
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
        err_list_add(errors, file, 0, ERR_CONFLICT, "set address = IP:PORT",
                     "[platform] source = service has no address");
    }
    if (settings->source == SET_SOURCE_FILE &&
        platform->directory[0] == '\0') {
        err_list_add(errors, file, 0, ERR_CONFLICT, "set folder = PATH",
                     "[platform] source = file has no folder");
    }
    if (platform->initial_backoff > platform->max_backoff) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set backoff_max to at least backoff",
                     "[platform] backoff is longer than backoff_max");
    }
}

static void
check_key_pair(const link_settings *link, const char *file, err_list *errors)
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
                     "generate a key pair with 'lavenderctl keys'",
                     "[peers] public_key and secret_key are not both %d "
                     "characters long",
                     LINK_KEY_SIZE - 1);
    }
}

static void
check_intervals(const set_settings *settings, const char *file,
                err_list *errors)
{
    const disp_settings *dispatcher = &settings->node.dispatcher;
    const swim_settings *membership = &settings->node.membership;
    const entry_settings *entry = &settings->node.entry;

    if (dispatcher->lease_ttl < 2 * entry->full_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set ttl to at least twice full_interval",
                     "[leases] ttl is shorter than two of full_interval");
    }
    if (entry->full_interval < dispatcher->report_interval ||
        entry->idle_interval < entry->full_interval ||
        entry->silence_timeout <= entry->full_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set full_interval to at least report_interval, "
                     "idle_interval to at least full_interval and silence to "
                     "more than full_interval",
                     "[leases] full_interval, idle_interval or silence is "
                     "too short");
    }
    if (entry->backoff_max < entry->backoff) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set rest_max to at least rest",
                     "[endpoints] rest is longer than rest_max");
    }
    if (membership->probe_timeout >= membership->probe_interval) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set probe_timeout to less than probe_interval",
                     "[membership] probe_timeout is not shorter than "
                     "probe_interval");
    }
}

static void
check_sizes(const set_settings *settings, const char *file, err_list *errors)
{
    const call_settings *callers = &settings->callers;
    const tkt_settings *tickets = &settings->node.tickets;
    struct rlimit file_limit;

    if (callers->max_request_body > callers->max_memory_used) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set body to at most memory",
                     "[limits] body is larger than memory");
    }
    if (tickets->max_answer_size > tickets->max_total_answer_size) {
        err_list_add(errors, file, 0, ERR_CONFLICT,
                     "set answer to at most answers",
                     "[tickets] answer is larger than answers");
    }
    if (getrlimit(RLIMIT_NOFILE, &file_limit) == 0 &&
        file_limit.rlim_cur != RLIM_INFINITY &&
        (rlim_t)callers->max_open_connections + RESERVED_DESCRIPTORS >
            file_limit.rlim_cur) {
        err_list_add(errors, file, 0, ERR_LIMIT,
                     "raise the process's limit of open files, or lower "
                     "connections",
                     "[limits] connections = %u needs more than the %llu "
                     "files that this process may open",
                     callers->max_open_connections,
                     (unsigned long long)file_limit.rlim_cur);
    }
}

void
set_validate(const set_settings *settings, const char *file, err_list *errors)
{
    check_listeners(settings, file, errors);
    check_platform(settings, file, errors);
    check_key_pair(&settings->link, file, errors);
    check_intervals(settings, file, errors);
    check_sizes(settings, file, errors);
}
