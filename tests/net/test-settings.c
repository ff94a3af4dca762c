#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender-net/settings.h"

#define EXAMPLE "../etc/lavenderd.ini"
#define TEXT_SIZE 8192

static const char good[] =
    "[instance]\nname = r1\nzone = z1\n"
    "[listen]\ncallers = 127.0.0.1:1\noperator = 127.0.0.1:2\n"
    "peer = 127.0.0.1:3\n"
    "[platform]\nsource = file\nfolder = /tmp\n"
    "[tickets]\nkey = 000102030405060708090a0b0c0d0e0f"
    "101112131415161718191a1b1c1d1e1f\n";

static void
check(bool is_good, const char *name, const char *what)
{
    cr_expect(is_good, "%s: %s", name, what);
}

static void
expect_item(const err_list *errors, const char *words)
{
    char text[1024];
    size_t i;

    for (i = 0; i < errors->count && i < ERR_LIST_SIZE; i++) {
        err_item_format(&errors->items[i], text, sizeof text);
        if (strstr(text, words) != NULL) {
            check(errors->items[i].error.remedy[0] != '\0', words,
                  "no remedy");
            return;
        }
    }
    check(false, words, "no error has it");
}

Test(settings, the_example_is_good)
{
    static set_settings settings;
    static err_list errors;

    err_list_init(&errors);
    cr_assert(set_read_file(&settings, EXAMPLE, &errors));
    cr_expect_str_eq(settings.instance, "router-1");
    cr_expect_eq(settings.node.self, lv_hash_name("router-1"));
    cr_expect_eq(settings.source, SET_SOURCE_FILE);
}

typedef struct example_keys {
    char *text;
    char section[64];
    const char *place; /* where the section begins in the text */
    int missing;
} example_keys;

static void
look_for(void *context, const char *section, const char *key)
{
    example_keys *self = context;
    char line[160];
    const char *next, *found;

    if (strcmp(self->section, section) != 0) {
        snprintf(self->section, sizeof self->section, "%s", section);
        snprintf(line, sizeof line, "\n[%s]\n", section);
        self->place = strstr(self->text, line);
        check(self->place != NULL, section, "no such section");
    }
    if (self->place == NULL) {
        return;
    }
    next = strstr(self->place + 2, "\n[");
    snprintf(line, sizeof line, "\n; %s =", key);
    found = strstr(self->place, line);
    if (found == NULL || (next != NULL && found > next)) {
        snprintf(line, sizeof line, "\n%s =", key);
        found = strstr(self->place, line);
    }
    if (found == NULL || (next != NULL && found > next)) {
        check(false, key, section);
        self->missing++;
    }
}

Test(settings, the_example_has_every_key)
{
    example_keys self = {.text = calloc(1, 65536)};
    FILE *file = fopen(EXAMPLE, "r");

    cr_assert_not_null(file);
    cr_assert_gt(fread(self.text, 1, 65535, file), 0);
    fclose(file);
    set_for_each_key(look_for, &self);
    cr_expect_eq(self.missing, 0);
    free(self.text);
}

/* What the example shows as defaults are the defaults. */
Test(settings, the_example_shows_the_defaults)
{
    static set_settings shown, built_in;
    static err_list errors;
    char *text = calloc(1, 65536), *line, *copy = calloc(1, 65536);
    FILE *file = fopen(EXAMPLE, "r");
    size_t used = 0, size;

    cr_assert_not_null(file);
    cr_assert_gt(fread(text, 1, 65535, file), 0);
    fclose(file);
    for (line = strtok(text, "\n"); line != NULL; line = strtok(NULL, "\n")) {
        size = strcspn(line, "=");
        if (line[0] == ';' && line[size] == '=' && line[size + 1] == ' ' &&
            line[size + 2] != '/' &&
            strchr(line + 2, ' ') == line + size - 1 &&
            strstr(line, "address") == NULL && strstr(line, "tls") == NULL) {
            line += 2;
        }
        used += (size_t)snprintf(copy + used, 65536 - used, "%s\n", line);
    }
    err_list_init(&errors);
    cr_expect(set_read_text(&shown, "shown", copy, &errors));
    cr_expect(set_read_file(&built_in, EXAMPLE, &errors));
    cr_expect_eq(errors.count, 0);
    cr_expect_arr_eq(&shown, &built_in, sizeof shown);
    free(text);
    free(copy);
}

typedef struct bad_case {
    char name[32];
    char added[200]; /* to the good text */
    char words[64];  /* of an error */
    int count;       /* errors in all */
} bad_case;

ParameterizedTestParameters(settings, bad)
{
    static bad_case cases[] = {
        {"unknown section", "[nonsense]\na = 1\n", "nonsense", 1},
        {"unknown key", "[limits]\nconections = 5\n", "conections", 1},
        {"no number", "[limits]\nconnections = many\n", "many", 1},
        {"zero", "[limits]\nconnections = 0\n", "0", 1},
        {"no unit", "[timeouts]\nrequest = 10\n", "10", 1},
        {"wrong unit", "[timeouts]\nrequest = 10MiB\n", "10MiB", 1},
        {"size without a unit", "[limits]\nbody = 1000000\n", "1000000", 1},
        {"twice", "[limits]\nbody = 1MiB\nbody = 2MiB\n", "body", 1},
        {"section twice", "[limits]\nbody = 1MiB\n[limits]\nbuffer = 8KiB\n",
         "twice", 1},
        {"unknown word", "[log]\nlevel = loud\n", "loud", 1},
        {"unknown policy", "[mode]\npolicy = random\n", "random", 1},
        {"half a key pair", "[peers]\npublic_key = abc\n", "public_key", 1},
        {"short keys", "[peers]\npublic_key = a\nsecret_key = b\n",
         "lavenderctl keys", 1},
        {"body over memory", "[limits]\nbody = 8MiB\nmemory = 4MiB\n",
         "larger than memory", 1},
        {"short lease", "[leases]\nttl = 100ms\nreport_interval = 90ms\n",
         "two of full_interval", 1},
        {"short silence", "[leases]\nsilence = 50ms\n", "silence", 1},
        {"long rest", "[endpoints]\nrest = 1m\n", "rest_max", 1},
        {"long probe", "[membership]\nprobe_timeout = 1s\n", "probe_interval",
         1},
        {"more rumours than fit", "[membership]\nrumours = 33\n", "32", 1},
        {"too many files", "[limits]\nconnections = 1000000\n", "files", 1},
        {"several at once",
         "[limits]\nbody = 5\nbufer = 1\n[log]\nlevel = loud\n", "bufer", 3},
        {"no INI", "[limits\n", "", 1},
    };

    return cr_make_param_array(bad_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(bad_case *parameter, settings, bad)
{
    static set_settings settings;
    static err_list errors;
    char text[TEXT_SIZE];
    size_t i;

    snprintf(text, sizeof text, "%s%s", good, parameter->added);
    err_list_init(&errors);
    cr_expect_eq(set_read_text(&settings, "test.ini", text, &errors),
                 parameter->count == 0, "%s", parameter->name);
    cr_expect_eq(errors.count, (size_t)parameter->count, "%s: %zu errors",
                 parameter->name, errors.count);
    for (i = 0; i < errors.count; i++) {
        cr_expect_str_eq(errors.items[i].file, "test.ini");
    }
    if (parameter->words[0] != '\0') {
        expect_item(&errors, parameter->words);
    }
}

Test(settings, what_is_missing_is_named)
{
    static set_settings settings;
    static err_list errors;

    err_list_init(&errors);
    cr_expect(!set_read_text(&settings, "test.ini", "", &errors));
    expect_item(&errors, "[instance] is missing");
    expect_item(&errors, "[listen] is missing");
    expect_item(&errors, "[platform] is missing");
    expect_item(&errors, "[tickets] is missing");
    err_list_init(&errors);
    cr_expect(!set_read_text(&settings, "test.ini", "[instance]\nname = r1\n",
                             &errors));
    expect_item(&errors, "zone");
    err_list_init(&errors);
    cr_expect(!set_read_file(&settings, "/nowhere/lavenderd.ini", &errors));
    expect_item(&errors, "can not be opened");
}

Test(settings, pairs_that_can_not_be)
{
    static set_settings settings;
    static err_list errors;

    err_list_init(&errors);
    cr_expect(!set_read_text(
        &settings, "test.ini",
        "[instance]\nname = r1\nzone = z1\n"
        "[listen]\ncallers = 127.0.0.1:1\noperator = 127.0.0.1:1\n"
        "peer = 127.0.0.1:1\ntls_key = /tmp/key\n"
        "[platform]\nsource = service\nbackoff = 20s\n"
        "[tickets]\nkey = 00\nanswer = 1GiB\n",
        &errors));
    expect_item(&errors, "callers and operator are both");
    expect_item(&errors, "another listener's address");
    expect_item(&errors, "only one of tls_certificate and tls_key");
    expect_item(&errors, "source = service has no address");
    expect_item(&errors, "backoff is longer");
    expect_item(&errors, "answer is larger than answers");
    expect_item(&errors, "key");
}

#define FUZZ_ROUNDS 4000

/* A small generator with a fixed seed. */
static uint32_t
draw(uint64_t *state, uint32_t below)
{
    *state = *state * UINT64_C(6364136223846793005) + 1442695040888963407;
    return (uint32_t)(*state >> 33) % below;
}

static void
spoil(char *text, size_t size, uint64_t *state)
{
    static const char bytes[] = "[]=;#\n \t.0123456789azAZ-%\\\"\x01\x7f\xff";
    uint32_t changes = 1 + draw(state, 8);
    size_t at, length;

    while (changes-- > 0) {
        at = draw(state, (uint32_t)size);
        switch (draw(state, 3)) {
        case 0:
            text[at] = bytes[draw(state, sizeof bytes - 1)];
            break;
        case 1: /* repeat a piece elsewhere */
            length = draw(state, 40);
            if (at + length < size) {
                memmove(text + draw(state, (uint32_t)(size - length)),
                        text + at, length);
            }
            break;
        default:
            text[at] = '\0';
            break;
        }
    }
}

/* Whatever the text, it is read without harm, and what is refused has an
 * error with a remedy. */
Test(settings, spoiled_texts)
{
    static set_settings settings;
    static err_list errors;
    char *example = calloc(1, 65536), *text = calloc(1, 65536);
    FILE *file = fopen(EXAMPLE, "r");
    uint64_t state = 20250101;
    int round, refused = 0;
    size_t size, i;

    cr_assert_not_null(file);
    size = fread(example, 1, 65535, file);
    fclose(file);
    for (round = 0; round < FUZZ_ROUNDS; round++) {
        memcpy(text, example, size + 1);
        spoil(text, size, &state);
        err_list_init(&errors);
        if (set_read_text(&settings, "spoiled", text, &errors)) {
            continue;
        }
        refused++;
        check(errors.count > 0, "round", "refused without an error");
        for (i = 0; i < errors.count && i < ERR_LIST_SIZE; i++) {
            check(errors.items[i].error.remedy[0] != '\0',
                  errors.items[i].error.message, "no remedy");
        }
    }
    cr_expect_gt(refused, FUZZ_ROUNDS / 20);
    free(example);
    free(text);
}
