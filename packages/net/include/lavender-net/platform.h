/*
 * Reads the published documents: the catalogue and the lists. A backend reads
 * them from the platform's configuration service or, on a single machine
 * without that service, from files.
 */
#ifndef LAVENDER_NET_PLATFORM_H
#define LAVENDER_NET_PLATFORM_H

#include <uv.h>

#include "lavender/message.h"

typedef struct plat_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT, for the service backend */
    char directory[256];           /* of the files, for the file backend */
    lv_time max_watch_wait;        /* longest time the service holds a watch */
    /* Timeout of a read. The timeout of a watch is max_watch_wait longer. */
    lv_time request_timeout;
    /* Delay after the first failure, which doubles with each further one up to
     * max_backoff. */
    lv_time initial_backoff;
    lv_time max_backoff;
    uint64_t jitter_seed; /* 0 counts as 1 */
} plat_settings;

typedef struct plat_counts {
    uint64_t reads;    /* of parts, without watches */
    uint64_t watches;  /* watch requests sent, or file changes seen */
    uint64_t failures; /* reads and watches that failed */
    uint64_t timeouts; /* failures because of a timeout */
} plat_counts;

/* Called when a part of a document was read. text is valid only during the
 * call, and NULL when the read failed. */
typedef void plat_on_part(void *context, doc_kind doc, uint32_t part,
                          const char *text, size_t size);

typedef struct plat_backend plat_backend;

typedef struct plat_ops {
    /* Read one part. The result is passed to on_part. */
    void (*read)(plat_backend *platform, doc_kind doc, uint32_t part);

    /* Start or stop watching the heads of both documents. Each change is
     * passed to on_part, and the current heads as soon as watching starts. */
    void (*set_watching)(plat_backend *platform, bool is_watching);

    /* Cancel all reads and watches and close the handles. The loop must run
     * once more before the backend's memory is freed. */
    void (*finish)(plat_backend *platform);
} plat_ops;

/* First member of each backend. */
struct plat_backend {
    const plat_ops *ops;
    uv_loop_t *loop;
    plat_settings settings;
    plat_on_part *on_part;
    void *context;
    plat_counts counts;
};

/* Backend that calls the configuration service over HTTP (docs/DESIGN.md
 * describes the protocol). */
typedef struct plat_service plat_service;

/* Backend that reads head.ini, accounts-N.ini and lists.ini in a directory. It
 * polls the modification times of head.ini and lists.ini once a second. */
typedef struct plat_files plat_files;

/* Return the size of a backend in bytes; the caller allocates its memory. */
size_t plat_service_size(void);
size_t plat_files_size(void);

/* Initialize a backend in memory that the caller owns. Return false and set
 * error when the address or the directory is invalid; finish must
 * not be called then. */
bool plat_service_init(plat_service *service, uv_loop_t *loop,
                       const plat_settings *settings, plat_on_part *on_part,
                       void *context, err_error *error);
bool plat_files_init(plat_files *files, uv_loop_t *loop,
                     const plat_settings *settings, plat_on_part *on_part,
                     void *context, err_error *error);

#endif
