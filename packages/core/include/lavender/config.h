/*
 * Table-driven reader of INI texts. Tables list the sections that a text may
 * have, the keys of each section, the type of each value and the field that
 * the value is stored in. The reader reports every error of a text in one run:
 * unknown, duplicate and missing keys, invalid values, unknown sections and
 * malformed lines.
 *
 * A section header is [TYPE] or [TYPE NAME]. Checks that involve several keys
 * or sections, such as references, belong into close_section.
 */
#ifndef LAVENDER_CONFIG_H
#define LAVENDER_CONFIG_H

#include "lavender/error.h"
#include "lavender/types.h"

/* The type of a value; the comment gives the type of its field. */
typedef enum conf_type {
    CONF_COUNT32, /* uint32_t */
    CONF_COUNT64, /* uint64_t */
    CONF_TIME,    /* lv_time */
    CONF_SIZE,    /* uint64_t */
    CONF_RATIO,   /* uint32_t, in thousandths, rounded down */
    CONF_BOOL,    /* bool */
    CONF_CHOICE,  /* an enum or uint32_t: index in choices */
    CONF_TEXT,    /* char[size] */
    CONF_NAME,    /* char[size]; size 0: LV_NAME_SIZE */
    CONF_ADDRESS, /* char[LV_ADDRESS_SIZE] */
    CONF_HEX      /* uint8_t[size] */
} conf_type;

typedef struct conf_key {
    const char *name;
    conf_type type;
    size_t offset; /* of the field in the section's record, bytes */
    bool is_required;
    bool takes_fraction; /* CONF_COUNT32, CONF_TIME: rounded down */
    uint64_t min;        /* inclusive; numbers, times and sizes */
    uint64_t max;        /* inclusive */
    size_t size;         /* CONF_TEXT, CONF_NAME, CONF_HEX: of the field, bytes
                          */
    const char *const *choices; /* CONF_CHOICE; NULL-terminated */
    const char *zero_keyword;   /* CONF_COUNT32: stored as 0; or NULL */
} conf_key;

/* A section has at most 64 keys. Where keys is NULL, every line of the section
 * is passed to read_key. */
typedef struct conf_section {
    const char *type; /* first word of the header, such as "pool" */
    bool has_name;    /* the header is [TYPE NAME] */
    const conf_key *keys;
    uint32_t key_count;
} conf_section;

typedef struct conf_reader conf_reader;

typedef struct conf_reader_ops {
    /* Called at a section header; name is "" for a section without a name.
     * Returns the record that the values are stored in, or NULL to skip the
     * section. */
    void *(*open_section)(conf_reader *reader, uint32_t section,
                          const char *name, int line);

    /* Called for each line of a section without a table of keys. */
    void (*read_key)(conf_reader *reader, uint32_t section, const char *key,
                     const char *value, int line);

    /* Called at the end of a section that was not skipped. Bit i of `seen` is
     * set if the text has a line for key i. */
    void (*close_section)(conf_reader *reader, uint32_t section, void *record,
                          int line, uint64_t seen);
} conf_reader_ops;

/* First member of each user's struct. */
struct conf_reader {
    const conf_reader_ops *ops;
    const conf_section *sections;
    uint32_t section_count;
    err_list *errors;
    const char *file; /* name of the text, for error messages */
};

/* Reads a whole text. Adds what is wrong to reader->errors. */
void conf_read(conf_reader *reader, const char *file, const char *text,
               size_t size);

/* Reads a zero-terminated text whose sections are all stored in one record.
 * Each section may be given once; sections with required keys must be given.
 * `example` is a file with all sections, named by the remedy for a missing
 * one. Returns false if the text has errors, which are added to errors. */
bool conf_read_record(void *record, const conf_section *sections,
                      uint32_t section_count, const char *example,
                      const char *file, const char *text, err_list *errors);

/* Reads a whole file of at most 1 MiB. Returns a zero-terminated text that the
 * caller frees, or NULL after adding an error. */
char *conf_load_file(const char *path, err_list *errors);

#endif
