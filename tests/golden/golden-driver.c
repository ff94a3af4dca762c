#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "golden.h"

#define LINE_SIZE 8192

static bool
play_all(golden_session *session, FILE *script, const char *name)
{
    char line[LINE_SIZE], copy[LINE_SIZE];
    int number = 0;

    while (fgets(line, sizeof line, script) != NULL) {
        number++;
        memcpy(copy, line, sizeof copy);
        if (!golden_play(session, line)) {
            fprintf(stderr, "%s:%d: failed: %s", name, number, copy);
            return false;
        }
    }
    return true;
}

/* The transcript beside a script: NAME.transcript for NAME.script. */
static void
name_transcript(const char *script, char *path, size_t size)
{
    const char *dot = strrchr(script, '.');
    size_t length = dot == NULL ? strlen(script) : (size_t)(dot - script);

    snprintf(path, size, "%.*s.transcript", (int)length, script);
}

static char *
read_all(const char *path)
{
    FILE *file = fopen(path, "r");
    char *text = calloc(1, RIG_ANSWER_SIZE + 1);

    if (file != NULL && text != NULL) {
        text[fread(text, 1, RIG_ANSWER_SIZE, file)] = '\0';
    }
    if (file != NULL) {
        fclose(file);
    }
    return text;
}

/* Say where two texts part. */
static void
print_difference(const char *wanted, const char *got)
{
    int line = 1;
    const char *begin_wanted = wanted, *begin_got = got;

    while (*wanted != '\0' && *wanted == *got) {
        if (*wanted == '\n') {
            line++;
            begin_wanted = wanted + 1;
            begin_got = got + 1;
        }
        wanted++;
        got++;
    }
    fprintf(stderr, "line %d differs\n  wanted: %.*s\n  got:    %.*s\n", line,
            (int)strcspn(begin_wanted, "\n"), begin_wanted,
            (int)strcspn(begin_got, "\n"), begin_got);
}

static int
compare(const char *path, const char *transcript)
{
    char *wanted = read_all(path);
    int code = 0;

    if (wanted == NULL || strcmp(wanted, transcript) != 0) {
        print_difference(wanted == NULL ? "" : wanted, transcript);
        fprintf(stderr, "the whole transcript:\n%s", transcript);
        code = 1;
    }
    free(wanted);
    return code;
}

static int
update(const char *path, const char *transcript)
{
    FILE *file = fopen(path, "w");

    if (file == NULL || fputs(transcript, file) < 0) {
        perror(path);
        return 2;
    }
    return fclose(file) == 0 ? 0 : 2;
}

int
main(int argc, char **argv)
{
    static golden_session session;
    bool is_update = argc == 3 && strcmp(argv[1], "--update") == 0;
    const char *name = argv[argc - 1];
    char path[1024], *text = NULL;
    size_t size;
    FILE *script;
    int code = 2;

    if (argc < 2 || argc > 3 || (argc == 3 && !is_update)) {
        fprintf(stderr, "usage: golden-driver [--update] NAME.script\n");
        return 2;
    }
    script = fopen(name, "r");
    if (script == NULL) {
        perror(name);
        return 2;
    }
    session.transcript = open_memstream(&text, &size);
    if (play_all(&session, script, name)) {
        fflush(session.transcript);
        name_transcript(name, path, sizeof path);
        code = is_update ? update(path, text) : compare(path, text);
    }
    if (session.is_started && !rig_stop(&session.rig)) {
        code = 2;
    }
    fclose(script);
    fclose(session.transcript);
    free(text);
    return code;
}
