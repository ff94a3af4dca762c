/*
 * A pump of messages between memberships and document stores on virtual
 * time: delay, drop, duplicate, reorder, partition, pause, kill, restart; and
 * a platform whose reads may fail or be old.
 */
#ifndef TESTS_MESH_H
#define TESTS_MESH_H

#include "lavender/document.h"
#include "lavender/membership.h"
#include "texts.h"

#define MESH_VERSIONS_MAX 32
#define MESH_PARTS_MAX 64

typedef struct mesh_settings {
    uint32_t nodes;
    uint32_t zones;
    uint32_t watchers; /* nodes that hear of changes from the platform */
    uint64_t seed;
    lv_time delay;      /* least, one way */
    lv_time jitter;     /* added at random: messages overtake each other */
    uint32_t drop;      /* thousandths */
    uint32_t duplicate; /* thousandths */
    uint32_t accounts_per_part;
    bool has_no_documents; /* one parsed list is shared by all */
    swim_settings swim;
    doc_settings documents;
} mesh_settings;

typedef struct mesh_mesh mesh_mesh;

/* Faults that tests plant to see that the checks find them. */
typedef enum mesh_fault {
    MESH_FAULT_NONE,
    MESH_FAULT_FORGETS,   /* the store forgets what was in force */
    MESH_FAULT_NO_BODIES, /* parts from peers and platform are lost */
    MESH_FAULT_DEAF       /* nothing is heard */
} mesh_fault;

typedef struct mesh_node {
    lv_host host; /* first member: vtable */
    mesh_mesh *mesh;
    uint32_t index;
    lv_id id;
    bool is_up;
    uint64_t incarnation;
    uint32_t side;        /* nodes of different sides do not hear each other */
    lv_time paused_until; /* 0: runs */
    lv_time last_drive;
    lv_time tick_at; /* of the tick event in the queue */
    mesh_fault fault;
    bool *learned; /* nodes that have said where they listen */
    swim_membership swim;
    doc_store documents;
    msg_doc_state in_force[DOC_COUNT];
    uint32_t went_back; /* times that a document in force was replaced by an
                           older one */
    uint64_t sent;
    uint64_t sent_bytes;
} mesh_node;

/* One published version of a document. */
typedef struct mesh_version {
    uint64_t revision;
    text_buffer parts[MESH_PARTS_MAX];
    uint32_t part_count;
} mesh_version;

typedef struct mesh_event mesh_event;

struct mesh_mesh {
    mesh_settings settings;
    mesh_node *nodes;
    lv_time now;
    uint64_t random;
    uint64_t next_incarnation;
    mesh_event *events; /* heap */
    uint32_t event_count;
    uint32_t event_capacity;
    uint64_t event_number;
    bool platform_is_down;
    uint32_t platform_lag; /* versions that a read is behind */
    mesh_version versions[DOC_COUNT][MESH_VERSIONS_MAX];
    uint32_t version_count[DOC_COUNT];
    lists_snapshot shared_lists;
    msg_buffer buffer;
};

void mesh_default_settings(mesh_settings *settings, uint32_t nodes,
                           uint64_t seed);
void mesh_init(mesh_mesh *mesh, const mesh_settings *settings);
void mesh_finish(mesh_mesh *mesh);

/* Start a node with empty memory and a new incarnation; kill one at once. */
void mesh_start(mesh_mesh *mesh, uint32_t node);
void mesh_kill(mesh_mesh *mesh, uint32_t node);

/* The node neither runs nor sends; what it is sent waits. */
void mesh_pause(mesh_mesh *mesh, uint32_t node, lv_time length);

/* Forget the documents of a node, as MESH_FAULT_FORGETS does. */
void mesh_forget(mesh_mesh *mesh, uint32_t node);

/* Nodes from `first` on are on another side than those before; 0 heals. */
void mesh_partition(mesh_mesh *mesh, uint32_t first);

/* Publish a version; the watchers hear of it, if the platform is up. */
void mesh_publish_lists(mesh_mesh *mesh, uint64_t revision);
void mesh_publish_catalogue(mesh_mesh *mesh, uint64_t revision,
                            unsigned accounts);
void mesh_publish_text(mesh_mesh *mesh, doc_kind doc, uint64_t revision,
                       const char *text);

void mesh_run(mesh_mesh *mesh, lv_time length);

/* Does a node hold another one live? */
bool mesh_sees(const mesh_mesh *mesh, uint32_t node, uint32_t other);

/* Every running node of a side holds exactly the running nodes of its side
 * live. */
bool mesh_agrees(const mesh_mesh *mesh);

/* Nodes that run, are not paused and do not have a revision in force. */
uint32_t mesh_count_behind(const mesh_mesh *mesh, doc_kind doc,
                           uint64_t revision);

/* The highest revision in force on any running node. */
uint64_t mesh_highest(const mesh_mesh *mesh, doc_kind doc);

/* A node reads the head of a document from the platform. */
void mesh_read_platform(mesh_mesh *mesh, uint32_t node, doc_kind doc);

/* Sum of went_back over all nodes. */
uint32_t mesh_went_back(const mesh_mesh *mesh);

#endif
