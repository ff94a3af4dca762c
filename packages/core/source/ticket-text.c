#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

#include "ticket-imp.h"

#define PREFIX "lt1"
#define PREFIX_SIZE 3
#define FIELD_COUNT 5
#define FIELD_DIGITS 16
#define MAC_SIZE 32
#define CLAIMS_LENGTH (PREFIX_SIZE + FIELD_COUNT * (FIELD_DIGITS + 1))
#define TEXT_LENGTH (CLAIMS_LENGTH + 1 + MAC_SIZE * 2)

_Static_assert(TEXT_LENGTH < TKT_TEXT_SIZE, "a ticket's text must fit");

/* Writes the signature of the claims as hexadecimal digits, without a
 * terminating zero. */
static bool
compute_signature(const uint8_t *key, const char *text, char *signature)
{
    static const char digits[] = "0123456789abcdef";
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned int size = 0;

    if (HMAC(EVP_sha256(), key, TKT_KEY_SIZE, (const unsigned char *)text,
             CLAIMS_LENGTH, mac, &size) == NULL ||
        size != MAC_SIZE) {
        return false;
    }
    for (unsigned i = 0; i < MAC_SIZE; i++) {
        signature[(size_t)i * 2] = digits[mac[i] >> 4];
        signature[(size_t)i * 2 + 1] = digits[mac[i] & 15];
    }
    return true;
}

bool
tkt_encode(const uint8_t *key, const tkt_claims *claims, char *text)
{
    snprintf(text, TKT_TEXT_SIZE,
             PREFIX ".%016" PRIx64 ".%016" PRIx64 ".%016" PRIx64 ".%016" PRIx64
                    ".%016" PRIx64 ".",
             claims->minter, claims->incarnation, claims->account,
             claims->serial, claims->lifetime);
    text[TEXT_LENGTH] = '\0';
    return compute_signature(key, text, text + CLAIMS_LENGTH + 1);
}

/* Reads a field of 16 lower-case hexadecimal digits and the dot before it. */
static bool
read_field(const char *text, unsigned index, uint64_t *value)
{
    const char *field =
        text + PREFIX_SIZE + (size_t)index * (FIELD_DIGITS + 1);

    if (*field != '.') {
        return false;
    }
    *value = 0;
    for (unsigned i = 1; i <= FIELD_DIGITS; i++) {
        char digit = field[i];

        if (digit >= '0' && digit <= '9') {
            *value = *value << 4 | (uint64_t)(digit - '0');
        }
        else if (digit >= 'a' && digit <= 'f') {
            *value = *value << 4 | (uint64_t)(digit - 'a' + 10);
        }
        else {
            return false;
        }
    }
    return true;
}

bool
tkt_decode(const uint8_t *key, const char *text, tkt_claims *claims)
{
    char signature[MAC_SIZE * 2];
    uint64_t fields[FIELD_COUNT];

    if (strnlen(text, TKT_TEXT_SIZE) != TEXT_LENGTH ||
        memcmp(text, PREFIX, PREFIX_SIZE) != 0 || text[CLAIMS_LENGTH] != '.' ||
        !compute_signature(key, text, signature) ||
        CRYPTO_memcmp(signature, text + CLAIMS_LENGTH + 1, sizeof signature) !=
            0) {
        return false;
    }
    for (unsigned i = 0; i < FIELD_COUNT; i++) {
        if (!read_field(text, i, &fields[i])) {
            return false;
        }
    }
    *claims =
        (tkt_claims){fields[0], fields[1], fields[2], fields[3], fields[4]};
    return true;
}
