#include <argp.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "lavender-net/link.h"

#define SECRET_SIZE 32
#define SECRET_TEXT_SIZE (2 * SECRET_SIZE + 1)

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    bool *is_json = state->input;

    (void)argument;
    if (key != 'j') {
        return ARGP_ERR_UNKNOWN;
    }
    *is_json = true;
    return 0;
}

static const struct argp_option options[] = {
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

static const struct argp parser = {
    options,
    parse_option,
    NULL,
    "Make new keys: a CURVE key pair for the peer links, a key that signs "
    "tickets, and a bearer key for one client account with the digest that "
    "the catalogue lists.",
    NULL,
    NULL,
    NULL,
};

static void
to_hex(const uint8_t *bytes, size_t size, char *text)
{
    for (size_t i = 0; i < size; i++) {
        snprintf(text + 2 * i, 3, "%02x", bytes[i]);
    }
}

static bool
make_secret(char text[SECRET_TEXT_SIZE])
{
    uint8_t bytes[SECRET_SIZE];

    if (RAND_bytes(bytes, sizeof bytes) != 1) {
        return false;
    }
    to_hex(bytes, sizeof bytes, text);
    return true;
}

static bool
digest_text(const char *text, char digest_text[SECRET_TEXT_SIZE])
{
    uint8_t digest[SECRET_SIZE];
    unsigned int size = sizeof digest;

    if (EVP_Digest(text, strlen(text), digest, &size, EVP_sha256(), NULL) !=
        1) {
        return false;
    }
    to_hex(digest, size, digest_text);
    return true;
}

int
ctl_keys(int argc, char **argv)
{
    char public_key[LINK_KEY_SIZE];
    char secret_key[LINK_KEY_SIZE];
    char ticket_key[SECRET_TEXT_SIZE];
    char account_key[SECRET_TEXT_SIZE];
    char account_digest[SECRET_TEXT_SIZE];
    bool is_json = false;
    err_error error;

    if (argp_parse(&parser, argc, argv, 0, NULL, &is_json) != 0) {
        return CTL_USAGE;
    }
    if (!link_generate_keys(public_key, secret_key, &error)) {
        ctl_print_error("keys", &error);
        return CTL_WRONG;
    }
    if (!make_secret(ticket_key) || !make_secret(account_key) ||
        !digest_text(account_key, account_digest)) {
        err_set(&error, ERR_SYSTEM, "try again later",
                "the system gives no random bytes");
        ctl_print_error("keys", &error);
        return CTL_WRONG;
    }
    if (is_json) {
        ctl_print_json(json_pack(
            "{s:s, s:s, s:s, s:s, s:s}", "public_key", public_key,
            "secret_key", secret_key, "ticket_key", ticket_key, "account_key",
            account_key, "account_digest", account_digest));
        return CTL_OK;
    }
    printf("; lavenderd.ini, the same on every instance\n"
           "[peers]\npublic_key = %s\nsecret_key = %s\n"
           "[tickets]\nkey = %s\n\n"
           "; for one client account: the caller's bearer key\n; %s\n"
           "; and its line in the catalogue\nkey_digest = %s\n",
           public_key, secret_key, ticket_key, account_key, account_digest);
    return CTL_OK;
}
