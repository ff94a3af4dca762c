#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "lavender-net/endpoints.h"

static bool
parse_port(const char *text, uint16_t *port)
{
    unsigned long value = 0;

    if (*text == '\0' || strlen(text) > 5) {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (*text < '0' || *text > '9') {
            return false;
        }
        value = value * 10 + (unsigned long)(*text - '0');
    }
    if (value == 0 || value > UINT16_MAX) {
        return false;
    }
    *port = (uint16_t)value;
    return true;
}

bool
addr_parse(const char *text, struct sockaddr_storage *address, socklen_t *size)
{
    struct sockaddr_in *ipv4 = (struct sockaddr_in *)address;
    struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)address;
    char host[LV_ADDRESS_SIZE];
    const char *colon = strrchr(text, ':');
    size_t length;
    uint16_t port;

    if (colon == NULL || !parse_port(colon + 1, &port)) {
        return false;
    }
    length = (size_t)(colon - text);
    if (length >= sizeof host) {
        return false;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    memset(address, 0, sizeof *address);
    if (length > 2 && host[0] == '[' && host[length - 1] == ']') {
        host[length - 1] = '\0';
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        *size = sizeof *ipv6;
        return inet_pton(AF_INET6, host + 1, &ipv6->sin6_addr) == 1;
    }
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(port);
    *size = sizeof *ipv4;
    return inet_pton(AF_INET, host, &ipv4->sin_addr) == 1;
}
