#include "mesh.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAUSE_LIMIT LV_SECOND

/* A node without lists watches the platform, and tries again so often. */
#define RETRY_TIME LV_SECOND

typedef enum event_kind {
    EVENT_MESSAGE,
    EVENT_TICK,
    EVENT_PLATFORM
} event_kind;

struct mesh_event {
    lv_time at;
    uint64_t number; /* orders events of the same time */
    event_kind kind;
    uint32_t from;
    uint32_t to;
    uint64_t incarnation; /* of the process that reads the platform */
    char *bytes;
    size_t size;
    doc_kind doc;
    uint32_t part;
    uint32_t lag; /* versions behind */
};

void
mesh_default_settings(mesh_settings *settings, uint32_t nodes, uint64_t seed)
{
    memset(settings, 0, sizeof *settings);
    settings->nodes = nodes;
    settings->zones = 3;
    settings->watchers = 2;
    settings->accounts_per_part = 10;
    settings->seed = seed;
    settings->delay = 500;
    settings->jitter = LV_MILLISECOND;
    swim_default_settings(&settings->swim);
    settings->documents.fetch_timeout = 500 * LV_MILLISECOND;
    settings->documents.start_wait = 2 * LV_SECOND;
}

static bool
is_before(const mesh_event *a, const mesh_event *b)
{
    return a->at < b->at || (a->at == b->at && a->number < b->number);
}

static void
swap(mesh_event *a, mesh_event *b)
{
    mesh_event kept = *a;

    *a = *b;
    *b = kept;
}

static void
push(mesh_mesh *mesh, mesh_event event)
{
    uint32_t place = mesh->event_count++;

    if (mesh->event_count > mesh->event_capacity) {
        mesh->event_capacity = 2 * mesh->event_count + 1024;
        mesh->events =
            realloc(mesh->events, mesh->event_capacity * sizeof *mesh->events);
        if (mesh->events == NULL) {
            abort();
        }
    }
    event.number = mesh->event_number++;
    mesh->events[place] = event;
    while (place > 0 &&
           is_before(&mesh->events[place], &mesh->events[(place - 1) / 2])) {
        swap(&mesh->events[place], &mesh->events[(place - 1) / 2]);
        place = (place - 1) / 2;
    }
}

static mesh_event
pop(mesh_mesh *mesh)
{
    mesh_event first = mesh->events[0];
    uint32_t place = 0;

    mesh->events[0] = mesh->events[--mesh->event_count];
    mesh->events[mesh->event_count].bytes = NULL;
    for (;;) {
        uint32_t child = 2 * place + 1;

        if (child + 1 < mesh->event_count &&
            is_before(&mesh->events[child + 1], &mesh->events[child])) {
            child++;
        }
        if (child >= mesh->event_count ||
            !is_before(&mesh->events[child], &mesh->events[place])) {
            return first;
        }
        swap(&mesh->events[child], &mesh->events[place]);
        place = child;
    }
}

static bool
happens(mesh_mesh *mesh, uint32_t thousandths)
{
    return thousandths > 0 && text_random(&mesh->random) % 1000 < thousandths;
}

static lv_time
draw_delay(mesh_mesh *mesh)
{
    lv_time jitter = mesh->settings.jitter;

    return mesh->settings.delay +
           (jitter > 0 ? text_random(&mesh->random) % jitter : 0);
}

static mesh_node *
find_node(mesh_mesh *mesh, lv_id id)
{
    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        if (mesh->nodes[i].id == id) {
            return &mesh->nodes[i];
        }
    }
    return NULL;
}

static void
queue_message(mesh_mesh *mesh, const mesh_node *from, const mesh_node *to,
              const char *bytes, size_t size)
{
    mesh_event event = {
        .at = mesh->now + draw_delay(mesh),
        .kind = EVENT_MESSAGE,
        .from = from->index,
        .to = to->index,
        .size = size,
    };

    event.bytes = malloc(size);
    if (event.bytes == NULL) {
        abort();
    }
    memcpy(event.bytes, bytes, size);
    push(mesh, event);
}

/* Like a link: only to those whose address a list or the peer itself told. */
static bool
has_address(const mesh_node *node, const mesh_node *target)
{
    const lists_snapshot *lists = node->mesh->settings.has_no_documents
                                      ? &node->mesh->shared_lists
                                      : doc_lists(&node->documents);

    return (lists != NULL &&
            lists_find_instance(lists, target->id) != LV_HANDLE_NONE) ||
           node->learned[target->index];
}

static void
on_send(lv_host *host, lv_id to, const msg_message *message)
{
    mesh_node *node = (mesh_node *)host;
    mesh_mesh *mesh = node->mesh;
    const mesh_node *target = find_node(mesh, to);
    msg_message stamped = *message;
    char *bytes;
    size_t size;

    stamped.version = MSG_VERSION;
    stamped.sender = node->id;
    stamped.incarnation = node->incarnation;
    if (!swim_is_live(&node->swim, to, &stamped.target_incarnation)) {
        stamped.target_incarnation = 0;
    }
    doc_read_states(&node->documents, stamped.docs);
    if (!msg_encode(&stamped, &bytes, &size, NULL)) {
        abort();
    }
    node->sent++;
    node->sent_bytes += size;
    if (target != NULL && has_address(node, target) &&
        !happens(mesh, mesh->settings.drop)) {
        queue_message(mesh, node, target, bytes, size);
        if (happens(mesh, mesh->settings.duplicate)) {
            queue_message(mesh, node, target, bytes, size);
        }
    }
    free(bytes);
}

static void
on_log(lv_host *host, const lv_decision *decision)
{
    (void)host;
    (void)decision;
}

static void
on_document_changed(lv_host *host, doc_kind doc)
{
    mesh_node *node = (mesh_node *)host;
    msg_doc_state states[DOC_COUNT];
    const lists_snapshot *lists = doc_lists(&node->documents);

    doc_read_states(&node->documents, states);
    if (states[doc].revision < node->in_force[doc].revision ||
        (states[doc].revision == node->in_force[doc].revision &&
         states[doc].digest <= node->in_force[doc].digest)) {
        node->went_back++;
    }
    node->in_force[doc] = states[doc];
    if (doc != DOC_LISTS) {
        return;
    }
    swim_set_lists(&node->swim, node->mesh->now, lists);
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        if (lists->endpoints[i].is_leaving) {
            swim_add_leaving(&node->swim, node->mesh->now,
                             lists->endpoints[i].id, lists->revision);
        }
    }
}

static void
read_platform_after(mesh_node *node, lv_time wait, doc_kind doc, uint32_t part)
{
    mesh_mesh *mesh = node->mesh;
    mesh_event event = {
        .at = mesh->now + wait + draw_delay(mesh) + draw_delay(mesh),
        .kind = EVENT_PLATFORM,
        .to = node->index,
        .incarnation = node->incarnation,
        .doc = doc,
        .part = part,
        .lag = mesh->platform_lag,
    };

    push(mesh, event);
}

static void
read_platform(mesh_node *node, doc_kind doc, uint32_t part)
{
    read_platform_after(node, 0, doc, part);
}

static void
on_read_platform(lv_host *host, doc_kind doc, uint32_t part)
{
    read_platform((mesh_node *)host, doc, part);
}

static const lv_host_ops host_ops = {
    .send = on_send,
    .log_decision = on_log,
    .document_changed = on_document_changed,
    .read_platform = on_read_platform,
};

/* Puts the node's next tick into the queue. */
static void
schedule(mesh_node *node)
{
    lv_time next = swim_next_tick(&node->swim);
    lv_time document = doc_next_tick(&node->documents);
    mesh_event event = {.kind = EVENT_TICK, .to = node->index};

    next = document < next ? document : next;
    next = next < node->mesh->now ? node->mesh->now : next;
    if (next != LV_TIME_NEVER && next < node->tick_at) {
        node->tick_at = next;
        event.at = next;
        push(node->mesh, event);
    }
}

static void
begin(mesh_node *node)
{
    lv_time now = node->mesh->now;

    if (now - node->last_drive > PAUSE_LIMIT) {
        swim_mark_stale(&node->swim, now);
    }
    node->last_drive = now;
}

static void
tick(mesh_node *node)
{
    lv_time now = node->mesh->now;

    node->tick_at = LV_TIME_NEVER;
    begin(node);
    swim_tick(&node->swim, now);
    doc_tick(&node->documents, now);
    schedule(node);
}

static void
deliver(mesh_mesh *mesh, const mesh_event *event)
{
    mesh_node *node = &mesh->nodes[event->to];
    msg_message message;
    uint64_t known = 0;

    if (mesh->nodes[event->from].side != node->side ||
        node->fault == MESH_FAULT_DEAF ||
        !msg_decode(event->bytes, event->size, &message, &mesh->buffer,
                    NULL)) {
        return;
    }
    begin(node);
    if (message.kind == MSG_PING && message.body_size > 0) {
        node->learned[event->from] = true;
    }
    if (message.kind <= MSG_PING_REQ) {
        bool is_old = swim_is_live(&node->swim, message.sender, &known) &&
                      message.incarnation < known;

        if (!is_old) {
            doc_apply_peer_states(&node->documents, mesh->now, &message);
        }
        swim_receive(&node->swim, mesh->now, &message);
    }
    else if (message.target_incarnation == 0 ||
             message.target_incarnation == node->incarnation) {
        doc_apply_peer_states(&node->documents, mesh->now, &message);
        if (message.kind == MSG_DOC_FETCH) {
            doc_receive_fetch(&node->documents, mesh->now, &message);
        }
        else if (message.kind == MSG_DOC_BODY &&
                 node->fault != MESH_FAULT_NO_BODIES) {
            doc_receive_body(&node->documents, mesh->now, &message);
        }
    }
    schedule(node);
}

static void
answer_platform(mesh_mesh *mesh, const mesh_event *event)
{
    mesh_node *node = &mesh->nodes[event->to];
    uint32_t count = mesh->version_count[event->doc];
    const mesh_version *version;

    if (event->incarnation != node->incarnation ||
        node->fault == MESH_FAULT_NO_BODIES) {
        return;
    }
    begin(node);
    if (mesh->platform_is_down || count == 0) {
        doc_count_platform_failure(&node->documents, mesh->now, event->doc);
        if (doc_lists(&node->documents) == NULL) {
            read_platform_after(node, RETRY_TIME, event->doc, 0);
        }
        schedule(node);
        return;
    }
    version = &mesh->versions[event->doc]
                             [event->lag < count ? count - 1 - event->lag : 0];
    if (event->part < version->part_count) {
        doc_receive_platform_part(&node->documents, mesh->now, event->doc,
                                  event->part,
                                  version->parts[event->part].text,
                                  version->parts[event->part].size);
    }
    schedule(node);
}

static void
handle(mesh_mesh *mesh, mesh_event *event)
{
    mesh_node *node = &mesh->nodes[event->to];

    if (!node->is_up) {
        return;
    }
    if (node->paused_until > mesh->now) {
        mesh_event later = *event;

        later.at = node->paused_until;
        push(mesh, later);
        event->bytes = NULL;
        return;
    }
    if (event->kind == EVENT_MESSAGE) {
        deliver(mesh, event);
    }
    else if (event->kind == EVENT_PLATFORM) {
        answer_platform(mesh, event);
    }
    else if (event->at == node->tick_at || node->tick_at <= mesh->now) {
        tick(node);
    }
}

void
mesh_run(mesh_mesh *mesh, lv_time length)
{
    lv_time end = mesh->now + length;

    while (mesh->event_count > 0 && mesh->events[0].at <= end) {
        mesh_event event = pop(mesh);

        mesh->now = event.at;
        handle(mesh, &event);
        free(event.bytes);
    }
    mesh->now = end;
}

void
mesh_start(mesh_mesh *mesh, uint32_t index)
{
    mesh_node *node = &mesh->nodes[index];
    err_error error;

    mesh_kill(mesh, index);
    node->is_up = true;
    node->incarnation = ++mesh->next_incarnation;
    node->paused_until = 0;
    node->last_drive = mesh->now;
    node->tick_at = LV_TIME_NEVER;
    memset(node->in_force, 0, sizeof node->in_force);
    memset(node->learned, 0, mesh->settings.nodes * sizeof *node->learned);
    if (!swim_init(&node->swim, &node->host, &mesh->settings.swim, node->id,
                   node->incarnation, mesh->settings.seed, mesh->now,
                   &error) ||
        !doc_init(&node->documents, &node->host, &mesh->settings.documents,
                  node->id, mesh->now, &error)) {
        abort();
    }
    if (mesh->settings.has_no_documents) {
        swim_set_lists(&node->swim, mesh->now, &mesh->shared_lists);
    }
    else {
        read_platform(node, DOC_LISTS, 0);
        read_platform(node, DOC_CATALOGUE, 0);
    }
    schedule(node);
}

void
mesh_kill(mesh_mesh *mesh, uint32_t index)
{
    mesh_node *node = &mesh->nodes[index];

    if (node->is_up) {
        node->is_up = false;
        swim_finish(&node->swim);
        doc_finish(&node->documents);
    }
}

void
mesh_pause(mesh_mesh *mesh, uint32_t node, lv_time length)
{
    mesh->nodes[node].paused_until = mesh->now + length;
}

void
mesh_partition(mesh_mesh *mesh, uint32_t first)
{
    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        mesh->nodes[i].side = first > 0 && i >= first;
    }
}

void
mesh_forget(mesh_mesh *mesh, uint32_t index)
{
    mesh_node *node = &mesh->nodes[index];

    doc_finish(&node->documents);
    if (!doc_init(&node->documents, &node->host, &mesh->settings.documents,
                  node->id, mesh->now - mesh->settings.documents.start_wait,
                  NULL)) {
        abort();
    }
    swim_finish(&node->swim);
    if (!swim_init(&node->swim, &node->host, &mesh->settings.swim, node->id,
                   node->incarnation, mesh->settings.seed, mesh->now, NULL)) {
        abort();
    }
    read_platform(node, DOC_LISTS, 0);
    read_platform(node, DOC_CATALOGUE, 0);
}

void
mesh_read_platform(mesh_mesh *mesh, uint32_t node, doc_kind doc)
{
    read_platform(&mesh->nodes[node], doc, 0);
}

static mesh_version *
add_version(mesh_mesh *mesh, doc_kind doc, uint64_t revision)
{
    mesh_version *version;

    if (mesh->version_count[doc] == MESH_VERSIONS_MAX) {
        abort();
    }
    version = &mesh->versions[doc][mesh->version_count[doc]++];
    version->revision = revision;
    return version;
}

static void
tell_watchers(mesh_mesh *mesh, doc_kind doc)
{
    if (mesh->platform_is_down) {
        return;
    }
    for (uint32_t i = 0; i < mesh->settings.watchers; i++) {
        if (mesh->nodes[i].is_up) {
            read_platform(&mesh->nodes[i], doc, 0);
        }
    }
}

void
mesh_publish_lists(mesh_mesh *mesh, uint64_t revision)
{
    mesh_version *version = add_version(mesh, DOC_LISTS, revision);

    text_make_lists(&version->parts[0], revision, mesh->settings.zones,
                    mesh->settings.nodes, 4);
    version->part_count = 1;
    tell_watchers(mesh, DOC_LISTS);
}

void
mesh_publish_catalogue(mesh_mesh *mesh, uint64_t revision, unsigned accounts)
{
    mesh_version *version = add_version(mesh, DOC_CATALOGUE, revision);

    version->part_count = (uint32_t)text_make_catalogue(
        version->parts, MESH_PARTS_MAX, revision, accounts,
        mesh->settings.accounts_per_part);
    tell_watchers(mesh, DOC_CATALOGUE);
}

void
mesh_publish_text(mesh_mesh *mesh, doc_kind doc, uint64_t revision,
                  const char *text)
{
    mesh_version *version = add_version(mesh, doc, revision);

    TEXT_ADD(&version->parts[0], "%s", text);
    version->part_count = 1;
    tell_watchers(mesh, doc);
}

void
mesh_init(mesh_mesh *mesh, const mesh_settings *settings)
{
    err_list errors;

    memset(mesh, 0, sizeof *mesh);
    mesh->settings = *settings;
    mesh->random = settings->seed;
    mesh->now = 1000 * LV_SECOND;
    mesh->nodes = calloc(settings->nodes, sizeof *mesh->nodes);
    msg_buffer_init(&mesh->buffer);
    if (mesh->nodes == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < settings->nodes; i++) {
        char name[LV_NAME_SIZE];

        snprintf(name, sizeof name, "i%u", i);
        mesh->nodes[i].host.ops = &host_ops;
        mesh->nodes[i].learned = calloc(settings->nodes, sizeof(bool));
        if (mesh->nodes[i].learned == NULL) {
            abort();
        }
        mesh->nodes[i].mesh = mesh;
        mesh->nodes[i].index = i;
        mesh->nodes[i].id = lv_hash_name(name);
    }
    mesh_publish_lists(mesh, 1);
    if (settings->has_no_documents) {
        const text_buffer *text = &mesh->versions[DOC_LISTS][0].parts[0];

        if (!lists_init(&mesh->shared_lists, "lists", text->text, text->size,
                        &errors)) {
            abort();
        }
    }
    for (uint32_t i = 0; i < settings->nodes; i++) {
        mesh_start(mesh, i);
    }
}

void
mesh_finish(mesh_mesh *mesh)
{
    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        mesh_kill(mesh, i);
        free(mesh->nodes[i].learned);
    }
    for (uint32_t i = 0; i < mesh->event_count; i++) {
        free(mesh->events[i].bytes);
    }
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        for (uint32_t v = 0; v < mesh->version_count[doc]; v++) {
            for (uint32_t p = 0; p < MESH_PARTS_MAX; p++) {
                text_finish(&mesh->versions[doc][v].parts[p]);
            }
        }
    }
    lists_finish(&mesh->shared_lists);
    msg_buffer_finish(&mesh->buffer);
    free(mesh->events);
    free(mesh->nodes);
}

bool
mesh_sees(const mesh_mesh *mesh, uint32_t node, uint32_t other)
{
    return swim_is_live(&mesh->nodes[node].swim, mesh->nodes[other].id, NULL);
}

bool
mesh_agrees(const mesh_mesh *mesh)
{
    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        for (uint32_t j = 0; mesh->nodes[i].is_up && j < mesh->settings.nodes;
             j++) {
            bool is_live = mesh->nodes[j].is_up &&
                           mesh->nodes[j].side == mesh->nodes[i].side;

            if (i != j && mesh_sees(mesh, i, j) != is_live) {
                return false;
            }
        }
    }
    return true;
}

uint32_t
mesh_count_behind(const mesh_mesh *mesh, doc_kind doc, uint64_t revision)
{
    uint32_t behind = 0;

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        const mesh_node *node = &mesh->nodes[i];

        behind += node->is_up && node->paused_until <= mesh->now &&
                  node->in_force[doc].revision != revision;
    }
    return behind;
}

uint64_t
mesh_highest(const mesh_mesh *mesh, doc_kind doc)
{
    uint64_t highest = 0;

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        const mesh_node *node = &mesh->nodes[i];

        if (node->is_up && node->in_force[doc].revision > highest) {
            highest = node->in_force[doc].revision;
        }
    }
    return highest;
}

uint32_t
mesh_went_back(const mesh_mesh *mesh)
{
    uint32_t went_back = 0;

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        went_back += mesh->nodes[i].went_back;
    }
    return went_back;
}
