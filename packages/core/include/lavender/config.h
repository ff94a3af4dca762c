/*
 * INI texts described by tables: which sections there may be, which keys
 * each has, of what kind a value is, and where it is stored. The reader
 * finds every error of a text at once: unknown, repeated and missing keys,
 * bad values, unknown sections, lines that are no INI.
 *
 * A section is written [WORD] or [WORD NAME]. What only the owner of the
 * text can judge (references, impossible pairs) it does in close_section.
 */
#ifndef LAVENDER_CONFIG_H
#define LAVENDER_CONFIG_H

#include "lavender/error.h"
#include "lavender/types.h"

/* The kind of a value, and the type of the field it is stored in. */
typedef enum conf_type {
    CONF_COUNT32, /* uint32_t */
    CONF_COUNT64, /* uint64_t */
    CONF_TIME,    /* lv_time */
    CONF_SIZE,    /* uint64_t */
    CONF_BOOL,    /* bool */
    CONF_CHOICE,  /* an enum; the index in choices */
    CONF_TEXT,    /* char[size] */
    CONF_NAME,    /* char[LV_NAME_SIZE] */
    CONF_ADDRESS, /* char[LV_ADDRESS_SIZE] */
    CONF_HEX      /* uint8_t[size] */
} conf_type;

typedef struct conf_key {
    const char *name;
    conf_type type;
    size_t offset; /* of the field in the section's record */
    bool is_required;
    uint64_t min; /* numbers, times and sizes */
    uint64_t max;
    size_t size;                /* CONF_TEXT, CONF_HEX */
    const char *const *choices; /* CONF_CHOICE; ends with NULL */
    const char *zero_word;      /* CONF_COUNT32: a word that stands for 0 */
} conf_key;

/* At most 64 keys. A section without a table of keys gets its lines through
 * read_key. */
typedef struct conf_section {
    const char *type;
    bool has_name;
    const conf_key *keys;
    uint32_t key_count;
} conf_section;

typedef struct conf_reader conf_reader;

typedef struct conf_reader_ops {
    /* A section begins; name is "" when it has none. Returns the record
     * that its keys are stored in, or NULL to skip it (after an error). */
    void *(*open_section)(conf_reader *reader, uint32_t section,
                          const char *name, int line);

    /* A line of a section without a table of keys. */
    void (*read_key)(conf_reader *reader, uint32_t section, const char *key,
                     const char *value, int line);

    /* The section has ended. Bit i of `seen` is set when key i was given.
     * Not called for a section that was skipped. */
    void (*close_section)(conf_reader *reader, uint32_t section, void *record,
                          int line, uint64_t seen);
} conf_reader_ops;

/* First member of each owner of a text. */
struct conf_reader {
    const conf_reader_ops *ops;
    const conf_section *sections;
    uint32_t section_count;
    err_list *errors;
    const char *file; /* of the text that is read, for messages */
};

/* Read a whole text; errors go to reader->errors. */
void conf_read(conf_reader *reader, const char *file, const char *text,
               size_t size);

/* Read a text whose sections, each written at most once, all belong to one
 * record. Sections with required keys must be there; `example` names a file
 * that shows them. Returns false when the text had errors. */
bool conf_read_record(void *record, const conf_section *sections,
                      uint32_t section_count, const char *example,
                      const char *file, const char *text, err_list *errors);

/* A whole file of at most 1 MiB as a text that the caller frees; NULL after
 * an error. */
char *conf_load_file(const char *path, err_list *errors);

#endif
