/*
 * Documents in an emulated mesh of routers: time until a document is in force
 * everywhere, order of revisions, refusal, fetching by parts, and a platform
 * that is down or stale.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdlib.h>
#include <string.h>

#include "mesh.h"

#define PROPAGATION_TIME (3 * LV_SECOND)

typedef struct mesh_case {
    uint32_t nodes;
    uint32_t drop; /* thousandths */
    lv_time jitter;
    uint32_t watchers;
} mesh_case;

static void
init_mesh(mesh_mesh *mesh, const mesh_case *test_case, uint64_t seed)
{
    mesh_settings settings;

    mesh_default_settings(&settings, test_case->nodes, seed);
    settings.drop = test_case->drop;
    settings.jitter = test_case->jitter;
    settings.watchers = test_case->watchers;
    mesh_init(mesh, &settings);
    mesh_publish_catalogue(mesh, 1, 30);
    mesh_run(mesh, 6 * LV_SECOND);
}

#define EIGHT_NODES                                                           \
    {                                                                         \
        8, 0, LV_MILLISECOND, 2                                               \
    }

ParameterizedTestParameters(document, changes_reach_all_nodes)
{
    static mesh_case cases[] = {
        {1, 0, LV_MILLISECOND, 1},   {2, 0, LV_MILLISECOND, 1},
        {8, 0, LV_MILLISECOND, 2},   {8, 100, 20 * LV_MILLISECOND, 1},
        {50, 0, LV_MILLISECOND, 2},  {50, 50, 20 * LV_MILLISECOND, 2},
        {200, 0, LV_MILLISECOND, 4}, {200, 20, 5 * LV_MILLISECOND, 4},
    };

    return cr_make_param_array(mesh_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* Each change of catalogue and lists is in force on all routers within 3 s. */
ParameterizedTest(mesh_case *test_case, document, changes_reach_all_nodes)
{
    mesh_mesh mesh;

    init_mesh(&mesh, test_case, 31);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 1), 0);
    for (uint64_t revision = 2; revision <= 5; revision++) {
        mesh_publish_catalogue(&mesh, revision, 30);
        mesh_publish_lists(&mesh, revision);
        mesh_run(&mesh, PROPAGATION_TIME);
        cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, revision), 0,
                     "%u nodes, revision %lu", test_case->nodes, revision);
        cr_assert_eq(mesh_count_behind(&mesh, DOC_LISTS, revision), 0);
    }
    cr_assert_eq(mesh_went_back(&mesh), 0);
    mesh_finish(&mesh);
}

/* A starting router never puts a revision in force that is older than that of
 * its peers, even when the platform returns an older one. */
typedef struct start_case {
    uint32_t lag;
    bool is_down;
    uint32_t drop;
} start_case;

ParameterizedTestParameters(document,
                            starting_node_never_uses_a_stale_revision)
{
    static start_case cases[] = {
        {0, false, 0},   {1, false, 0}, {2, false, 0},
        {2, false, 100}, {0, true, 0},  {0, true, 100},
    };

    return cr_make_param_array(start_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(start_case *test_case, document,
                  starting_node_never_uses_a_stale_revision)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;

    init_mesh(&mesh, &eight_nodes, 32);
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_publish_catalogue(&mesh, 3, 32);
    mesh_run(&mesh, PROPAGATION_TIME);
    mesh.platform_lag = test_case->lag;
    mesh.platform_is_down = test_case->is_down;
    mesh.settings.drop = test_case->drop;
    mesh_start(&mesh, 5);
    for (int step = 0; step < 400; step++) {
        uint64_t revision;

        mesh_run(&mesh, 10 * LV_MILLISECOND);
        revision = mesh.nodes[5].in_force[DOC_CATALOGUE].revision;
        cr_assert(revision == 0 || revision == 3, "%lu", revision);
        cr_assert_eq(doc_is_ready(&mesh.nodes[5].documents), revision == 3);
    }
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 3), 0);
    cr_assert(mesh_agrees(&mesh));
    mesh_finish(&mesh);
}

/* A router whose peers do not answer trusts the platform after start_wait; a
 * router without peers trusts it at once. */
Test(document, start_wait_is_limited)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    static const mesh_case one = {1, 0, LV_MILLISECOND, 1};
    mesh_mesh mesh;

    init_mesh(&mesh, &eight_nodes, 33);
    for (uint32_t i = 1; i < 8; i++) {
        mesh_kill(&mesh, i);
    }
    mesh_start(&mesh, 0);
    mesh_run(&mesh, 1900 * LV_MILLISECOND);
    cr_assert_not(doc_is_ready(&mesh.nodes[0].documents));
    mesh_run(&mesh, 200 * LV_MILLISECOND);
    cr_assert(doc_is_ready(&mesh.nodes[0].documents));
    mesh_finish(&mesh);
    init_mesh(&mesh, &one, 33);
    mesh_start(&mesh, 0);
    mesh_run(&mesh, 100 * LV_MILLISECOND);
    cr_assert(doc_is_ready(&mesh.nodes[0].documents));
    mesh_finish(&mesh);
}

/* Invalid catalogues, each published as revision 2. */
ParameterizedTestParameters(document, invalid_catalogue_is_refused_once)
{
    static char cases[][128] = {
        "[catalogue]\nrevision = 2\n",
        "[catalogue]\nrevision = 2\n[pool p]\nkind = engine\n",
        "nonsense",
        "[catalogue]\nrevision = 2\nparts = 1\n",
        "",
    };

    return cr_make_param_array(char[128], cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(char (*text)[128], document,
                  invalid_catalogue_is_refused_once)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;
    uint64_t refused = 0;
    uint64_t fetches = 0;

    init_mesh(&mesh, &eight_nodes, 34);
    mesh_publish_text(&mesh, DOC_CATALOGUE, 2, *text);
    mesh_run(&mesh, PROPAGATION_TIME);
    for (uint32_t i = 0; i < 8; i++) {
        refused += mesh.nodes[i].documents.counts.refused;
        fetches += mesh.nodes[i].documents.counts.peer_fetches;
    }
    cr_assert_geq(refused, 1);
    cr_assert_not_null(
        doc_last_refusal(&mesh.nodes[0].documents, DOC_CATALOGUE, NULL));
    mesh_read_platform(&mesh, 0, DOC_CATALOGUE);
    mesh_run(&mesh, 20 * LV_SECOND);
    for (uint32_t i = 0; i < 8; i++) {
        refused -= mesh.nodes[i].documents.counts.refused;
        fetches -= mesh.nodes[i].documents.counts.peer_fetches;
    }
    cr_assert_eq(refused, 0, "refused only once");
    cr_assert_eq(fetches, 0, "not fetched again");
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 1), 0);
    mesh_publish_catalogue(&mesh, 3, 30);
    mesh_run(&mesh, PROPAGATION_TIME);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 3), 0);
    mesh_finish(&mesh);
}

/* Two texts with the same revision: the one with the greater digest comes into
 * force everywhere. */
Test(document, greater_digest_wins_within_a_revision)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;
    uint64_t digests[2];

    init_mesh(&mesh, &eight_nodes, 35);
    mesh.settings.watchers = 0;
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_read_platform(&mesh, 0, DOC_CATALOGUE);
    mesh_run(&mesh, 100 * LV_MILLISECOND);
    digests[0] = mesh.nodes[0].in_force[DOC_CATALOGUE].digest;
    mesh_partition(&mesh, 4);
    mesh_publish_catalogue(&mesh, 2, 32);
    mesh_read_platform(&mesh, 7, DOC_CATALOGUE);
    mesh_run(&mesh, PROPAGATION_TIME);
    digests[1] =
        cat_digest_part(mesh.versions[DOC_CATALOGUE][2].parts[0].text,
                        mesh.versions[DOC_CATALOGUE][2].parts[0].size);
    cr_assert_neq(digests[0], digests[1]);
    mesh_partition(&mesh, 0);
    mesh_run(&mesh, 2 * PROPAGATION_TIME);
    for (uint32_t i = 0; i < 8; i++) {
        cr_assert_eq(mesh.nodes[i].in_force[DOC_CATALOGUE].digest,
                     digests[0] > digests[1] ? digests[0] : digests[1]);
    }
    cr_assert_eq(mesh_went_back(&mesh), 0);
    mesh_finish(&mesh);
}

/* After a change of one part of four, only the head and that part are
 * fetched. */
Test(document, only_changed_parts_are_fetched)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;
    uint64_t before;

    init_mesh(&mesh, &eight_nodes, 36);
    before = mesh.nodes[6].documents.counts.peer_fetches;
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_run(&mesh, PROPAGATION_TIME);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    cr_assert_eq(mesh.nodes[6].documents.counts.peer_fetches, before + 2);
    cr_assert_gt(doc_memory(&mesh.nodes[6].documents), 0);
    mesh_finish(&mesh);
}

/* A change that reaches one side of a partition comes into force on the other
 * side after the partition, although the platform is down. */
Test(document, change_spreads_after_a_partition)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;

    init_mesh(&mesh, &eight_nodes, 37);
    mesh_partition(&mesh, 4);
    mesh_publish_catalogue(&mesh, 2, 31); /* watchers are nodes 0 and 1 */
    mesh_run(&mesh, 10 * LV_SECOND);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 4);
    mesh.platform_is_down = true;
    mesh_partition(&mesh, 0);
    mesh_run(&mesh, 2 * PROPAGATION_TIME);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    mesh_finish(&mesh);
}

/* All other routers stop while one fetches a change from them: it fetches the
 * missing parts from the platform. */
Test(document, platform_replaces_a_lost_source)
{
    static const mesh_case eight_nodes = EIGHT_NODES;
    mesh_mesh mesh;

    init_mesh(&mesh, &eight_nodes, 38);
    mesh.settings.watchers = 1;
    mesh_publish_catalogue(&mesh, 2, 31);
    for (int step = 0; step < 3000; step++) {
        mesh_run(&mesh, LV_MILLISECOND);
        if (mesh.nodes[3].documents.documents[DOC_CATALOGUE].fetch.is_active) {
            break;
        }
    }
    cr_assert(
        mesh.nodes[3].documents.documents[DOC_CATALOGUE].fetch.is_active);
    for (uint32_t i = 0; i < 8; i++) {
        if (i != 3) {
            mesh_kill(&mesh, i);
        }
    }
    mesh_run(&mesh, PROPAGATION_TIME);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    mesh_finish(&mesh);
}

/* A host that counts the calls of a single store. */
typedef struct counting_host {
    lv_host host;
    uint32_t sent;
    uint32_t read;
    lv_id last_receiver;
    uint32_t last_part;
    uint32_t changed;
} counting_host;

static void
count_send(lv_host *host, lv_id to, const msg_message *message)
{
    counting_host *counting = (counting_host *)host;

    counting->sent++;
    counting->last_receiver = to;
    counting->last_part = message->doc_part;
}

static void
count_read(lv_host *host, doc_kind doc, uint32_t part)
{
    (void)doc;
    (void)part;
    ((counting_host *)host)->read++;
}

static void
count_changed(lv_host *host, doc_kind doc)
{
    (void)doc;
    ((counting_host *)host)->changed++;
}

static void
ignore_decision(lv_host *host, const lv_decision *decision)
{
    (void)host;
    (void)decision;
}

static const lv_host_ops counting_ops = {
    .send = count_send,
    .read_platform = count_read,
    .document_changed = count_changed,
    .log_decision = ignore_decision,
};

static msg_message
make_statement(lv_id sender, uint64_t revision, uint64_t digest)
{
    msg_message message = {.kind = MSG_PING, .sender = sender};

    message.docs[DOC_CATALOGUE].revision = revision;
    message.docs[DOC_CATALOGUE].digest = digest;
    return message;
}

static void
init_counting_store(doc_store *store, counting_host *counting)
{
    doc_settings settings = {500 * LV_MILLISECOND, 2 * LV_SECOND};

    memset(counting, 0, sizeof *counting);
    counting->host.ops = &counting_ops;
    cr_assert(doc_init(store, &counting->host, &settings, 1, 0, NULL));
}

/* A document that a peer states but no source provides must not block the
 * documents that are available. It is abandoned and fetched again later. */
Test(document, unavailable_document_is_abandoned_and_tried_again)
{
    counting_host counting;
    doc_store store;
    msg_message message = make_statement(7, 1000, 1234);
    lv_time now = 0;

    init_counting_store(&store, &counting);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.sent, 1);
    while (store.counts.abandoned_fetches == 0 && now < 10 * LV_SECOND) {
        now += 500 * LV_MILLISECOND;
        doc_tick(&store, now);
    }
    cr_assert_eq(store.counts.abandoned_fetches, 1);
    cr_assert_eq(counting.sent + counting.read, 8);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.sent + counting.read, 8);
    message = make_statement(
        8, 5, cat_digest_part(text_catalogue, strlen(text_catalogue)));
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.last_receiver, 8);
    message.kind = MSG_DOC_BODY;
    message.doc = DOC_CATALOGUE;
    message.doc_digest = message.docs[DOC_CATALOGUE].digest;
    message.body = text_catalogue;
    message.body_size = strlen(text_catalogue);
    doc_receive_body(&store, now, &message);
    cr_assert_not_null(doc_catalogue(&store));
    now += 2 * LV_SECOND;
    message = make_statement(7, 1000, 1234);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.last_receiver, 7);
    doc_finish(&store);
}

/* Bodies that do not match the request for part 0 of the catalogue. */
typedef struct body_case {
    char name[32];
    uint32_t doc;
    uint32_t part;
    size_t size;
    uint32_t expected_mismatches;
    uint32_t expected_requests; /* after the body */
} body_case;

ParameterizedTestParameters(document, unexpected_body_is_rejected)
{
    static body_case cases[] = {
        {"another text", DOC_CATALOGUE, 0, 20, 1, 0},
        {"another document", DOC_LISTS, 0, 20, 0, 0},
        {"no document", 77, 0, 20, 0, 0},
        {"a part before the head", DOC_CATALOGUE, 3, 20, 1, 0},
        {"a part that is not there", DOC_CATALOGUE, 4000000000, 20, 1, 0},
        {"too long", DOC_CATALOGUE, 0, CAT_PART_SIZE + 1, 1, 0},
        {"has it not", DOC_CATALOGUE, 0, 0, 0, 1},
        {"has another part not", DOC_CATALOGUE, 9, 0, 0, 0},
    };

    return cr_make_param_array(body_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(body_case *test_case, document, unexpected_body_is_rejected)
{
    counting_host counting;
    doc_store store;
    msg_message message = make_statement(7, 9, 1234);
    char *body = calloc(1, CAT_PART_SIZE + 1);

    init_counting_store(&store, &counting);
    doc_apply_peer_states(&store, 0, &message);
    cr_assert_eq(counting.sent, 1);
    message.kind = MSG_DOC_BODY;
    message.doc = (doc_kind)test_case->doc;
    message.doc_part = test_case->part;
    message.doc_digest = 1234;
    message.body = body;
    message.body_size = test_case->size;
    doc_receive_body(&store, 0, &message);
    cr_assert_eq(store.counts.mismatched_parts, test_case->expected_mismatches,
                 "%s", test_case->name);
    cr_assert_eq(counting.sent + counting.read,
                 1 + test_case->expected_requests, "%s", test_case->name);
    cr_assert_eq(counting.changed, 0);
    message.kind = MSG_DOC_FETCH;
    doc_receive_fetch(&store, 0, &message);
    doc_finish(&store);
    free(body);
}

Test(document, zero_fetch_timeout_is_rejected)
{
    doc_settings settings = {0, 0};
    doc_store store;
    err_error error;

    cr_assert_not(doc_init(&store, NULL, &settings, 1, 0, &error));
    cr_assert_neq(error.remedy[0], '\0');
}
