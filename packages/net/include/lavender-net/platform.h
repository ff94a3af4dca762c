/*
 * The platform: where the catalogue and the lists are published. A small
 * vtable hides whether they come from the platform's configuration service
 * or, on one machine without it, from files.
 */
#ifndef LAVENDER_NET_PLATFORM_H
#define LAVENDER_NET_PLATFORM_H

#include <uv.h>

#include "lavender/message.h"

typedef struct plat_settings {
    char address[LV_ADDRESS_SIZE]; /* IP:PORT of the service */
    char directory[256];           /* or the folder of the files */
    lv_time max_watch_wait;        /* longest wait of one watch */
    lv_time request_timeout;       /* of a read; of a watch past its wait */
    lv_time initial_backoff;       /* first pause after a failure; doubles */
    lv_time max_backoff;
    uint64_t jitter_seed; /* of the jitter */
} plat_settings;

typedef struct plat_counts {
    uint64_t reads;
    uint64_t watches;
    uint64_t failures;
    uint64_t timeouts; /* connections found silent and replaced */
} plat_counts;

/* A part was read. text is NULL when the read failed. */
typedef void plat_on_part(void *context, doc_kind doc, uint32_t part,
                          const char *text, size_t size);

typedef struct plat_backend plat_backend;

typedef struct plat_ops {
    /* Read one part, once; answers through on_part. */
    void (*read)(plat_backend *platform, doc_kind doc, uint32_t part);

    /* Keep a waiting watch on the heads of both documents, or stop. The
     * first answer of a watch comes at once. */
    void (*set_watching)(plat_backend *platform, bool is_watching);

    /* Close everything; the loop must run once more afterwards. */
    void (*finish)(plat_backend *platform);
} plat_ops;

/* First member of each kind of platform. */
struct plat_backend {
    const plat_ops *ops;
    uv_loop_t *loop;
    plat_settings settings;
    plat_on_part *on_part;
    void *context;
    plat_counts counts;
};

/* The configuration service over HTTP (docs/DESIGN.md has the protocol). */
typedef struct plat_service plat_service;

/* Files FOLDER/head.ini, FOLDER/accounts-N.ini, FOLDER/lists.ini; changes
 * are seen by polling their time of change once a second. */
typedef struct plat_files plat_files;

/* Both return the memory's size, so that the caller can own it. */
size_t plat_service_size(void);
size_t plat_files_size(void);

bool plat_service_init(plat_service *service, uv_loop_t *loop,
                       const plat_settings *settings, plat_on_part *on_part,
                       void *context, err_error *error);
bool plat_files_init(plat_files *files, uv_loop_t *loop,
                     const plat_settings *settings, plat_on_part *on_part,
                     void *context, err_error *error);

#endif
