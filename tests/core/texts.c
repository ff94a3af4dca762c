#include "texts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DIGEST_A                                                              \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define DIGEST_B                                                              \
    "10112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

const char *const text_catalogue = "[catalogue]\n"
                                   "revision = 7\n"
                                   "\n"
                                   "[pool shared]\n"
                                   "kind = engine\n"
                                   "slots = 8\n"
                                   "input_weight = 1\n"
                                   "output_weight = 4\n"
                                   "quantum = 1000\n"
                                   "urgent_credit = 2000\n"
                                   "hold = 5ms\n"
                                   "fencing = checked\n"
                                   "default_cost = 100\n"
                                   "\n"
                                   "[pool plain]\n"
                                   "kind = service\n"
                                   "slots = 4\n"
                                   "quantum = 100\n"
                                   "default_cost = 10\n"
                                   "\n"
                                   "[route /v1/chat/completions]\n"
                                   "pool = by-model\n"
                                   "idempotent = yes\n"
                                   "\n"
                                   "[route /plots/]\n"
                                   "pool = plain\n"
                                   "match = prefix\n"
                                   "idempotent = yes\n"
                                   "\n"
                                   "[route /plots/book]\n"
                                   "pool = plain\n"
                                   "idempotent = no\n"
                                   "\n"
                                   "[model m1]\n"
                                   "pool = shared\n"
                                   "copies = all\n"
                                   "size = 4GiB\n"
                                   "\n"
                                   "[model m2]\n"
                                   "pool = shared\n"
                                   "copies = 2\n"
                                   "size = 40GiB\n"
                                   "\n"
                                   "[account a]\n"
                                   "weight = 2\n"
                                   "key_digest = " DIGEST_A "\n"
                                   "\n"
                                   "[account b]\n"
                                   "weight = 1\n"
                                   "key_digest = " DIGEST_B "\n"
                                   "\n"
                                   "[entry a/gate]\n"
                                   "priority = urgent\n"
                                   "requests_per_second = 10\n"
                                   "burst = 20\n"
                                   "in_flight = 8\n"
                                   "waiting = 100\n"
                                   "body = 64KiB\n"
                                   "deadline = 5s\n"
                                   "\n"
                                   "[entry a/drafts]\n"
                                   "priority = deferrable\n"
                                   "deadline = 2m\n"
                                   "\n"
                                   "[entry b/gate]\n"
                                   "priority = urgent\n"
                                   "requests_per_second = 10\n"
                                   "deadline = 5s\n";

const char *const text_lists = "[list]\n"
                               "revision = 3\n"
                               "[zone z1]\n"
                               "region = perth\n"
                               "[zone z2]\n"
                               "region = perth\n"
                               "[instance r1]\n"
                               "zone = z1\n"
                               "peer = 127.0.0.1:7101\n"
                               "http = 127.0.0.1:7201\n"
                               "[instance r2]\n"
                               "zone = z2\n"
                               "peer = 127.0.0.1:7102\n"
                               "http = 127.0.0.1:7202\n"
                               "state = leaving\n"
                               "[endpoint e1]\n"
                               "pool = shared\n"
                               "zone = z1\n"
                               "address = 127.0.0.1:7301\n"
                               "slots = 16\n"
                               "[endpoint e2]\n"
                               "pool = plain\n"
                               "zone = z2\n"
                               "address = 127.0.0.1:7302\n"
                               "state = leaving\n";

FILE *
text_file(text_buffer *buffer)
{
    if (buffer->file == NULL) {
        buffer->file = open_memstream(&buffer->text, &buffer->size);
    }
    if (buffer->file == NULL) {
        abort();
    }
    return buffer->file;
}

void
text_finish(text_buffer *buffer)
{
    if (buffer->file != NULL) {
        fclose(buffer->file);
    }
    free(buffer->text);
    memset(buffer, 0, sizeof *buffer);
}

void
text_add_account(text_buffer *buffer, unsigned n)
{
    TEXT_ADD(buffer,
             "[account account-%u]\nweight = %u\n"
             "key_digest = %064x\n"
             "[entry account-%u/gate]\npriority = urgent\n"
             "requests_per_second = 100\nin_flight = 10\ndeadline = 5s\n"
             "[entry account-%u/drafts]\npriority = deferrable\n"
             "deadline = 2m\n",
             n, n % 7 + 1, n + 1, n, n);
}

void
text_make_lists(text_buffer *buffer, uint64_t revision, unsigned zones,
                unsigned instances, unsigned endpoints)
{
    if (zones == 0) {
        abort();
    }
    TEXT_ADD(buffer, "[list]\nrevision = %" PRIu64 "\n", revision);
    for (unsigned i = 0; i < zones; i++) {
        TEXT_ADD(buffer, "[zone z%u]\nregion = r%u\n", i, i / 3);
    }
    for (unsigned i = 0; i < instances; i++) {
        TEXT_ADD(buffer,
                 "[instance i%u]\nzone = z%u\npeer = 10.%u.%u.%u:7000\n"
                 "http = 10.%u.%u.%u:8000\n",
                 i, i % zones, i >> 16, i >> 8 & 255, i & 255, i >> 16,
                 i >> 8 & 255, i & 255);
    }
    for (unsigned i = 0; i < endpoints; i++) {
        TEXT_ADD(buffer,
                 "[endpoint e%u]\npool = shared\nzone = z%u\n"
                 "address = 11.%u.%u.%u:8000\n",
                 i, i % zones, i >> 16, i >> 8 & 255, i & 255);
    }
}

size_t
text_make_catalogue(text_buffer *parts, size_t capacity, uint64_t revision,
                    unsigned accounts, unsigned accounts_per_part)
{
    unsigned count = (accounts + accounts_per_part - 1) / accounts_per_part;

    if (count + 1 > capacity) {
        abort();
    }
    TEXT_ADD(&parts[0], "[catalogue]\nrevision = %" PRIu64 "\nparts = %u\n",
             revision, count);
    TEXT_ADD(&parts[0], "[digest]\n");
    for (unsigned p = 1; p <= count; p++) {
        for (unsigned i = (p - 1) * accounts_per_part;
             i < p * accounts_per_part && i < accounts; i++) {
            text_add_account(&parts[p], i);
        }
        TEXT_ADD(&parts[0], "%u = %016" PRIx64 "\n", p,
                 cat_digest_part(parts[p].text, parts[p].size));
    }
    TEXT_ADD(&parts[0],
             "[pool shared]\nkind = engine\nslots = 8\ninput_weight = 1\n"
             "output_weight = 4\nquantum = 1000\ndefault_cost = 100\n"
             "[model m1]\npool = shared\ncopies = 2\nsize = 4GiB\n"
             "[route /v1/completions]\npool = by-model\nidempotent = yes\n");
    return count + 1;
}

uint64_t
text_random(uint64_t *state)
{
    uint64_t z = *state += 0x9e3779b97f4a7c15u;

    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
    z = (z ^ z >> 27) * 0x94d049bb133111ebu;
    return z ^ z >> 31;
}

/* Moves a run of bytes from one place to another, over what stands there. */
static void
copy_run(char *text, size_t size, uint64_t *state)
{
    size_t length = 1 + text_random(state) % 40;
    size_t from;
    size_t to;

    if (length >= size) {
        return;
    }
    from = text_random(state) % (size - length);
    to = text_random(state) % (size - length);
    memmove(text + to, text + from, length);
}

char *
text_mutate(const char *text, size_t size, uint64_t *state, size_t *new_size)
{
    static const char interesting[] = "[]=;# \n\r\t\0:/0919azAZ\xff\x80.-_";
    char *copy = malloc(size + 1);
    uint64_t changes = 1 + text_random(state) % 6;

    if (copy == NULL) {
        abort();
    }
    memcpy(copy, text, size);
    for (uint64_t i = 0; i < changes && size > 0; i++) {
        switch (text_random(state) % 4) {
        case 0:
            copy[text_random(state) % size] =
                interesting[text_random(state) % (sizeof interesting - 1)];
            break;
        case 1:
            copy[text_random(state) % size] = (char)text_random(state);
            break;
        case 2:
            copy_run(copy, size, state);
            break;
        default:
            size -= text_random(state) % (size / 8 + 1);
            break;
        }
    }
    *new_size = size;
    return copy;
}
