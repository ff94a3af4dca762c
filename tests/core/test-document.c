/*
 * Documents over a pump of messages: in force everywhere in time, never
 * back, refused whole, fetched by parts, with a platform that is down or
 * old.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdlib.h>
#include <string.h>

#include "mesh.h"

#define IN_FORCE_WITHIN (3 * LV_SECOND)

typedef struct spread_case {
    uint32_t nodes;
    uint32_t drop; /* thousandths */
    lv_time jitter;
    uint32_t watchers;
} spread_case;

static void
set_up(mesh_mesh *mesh, const spread_case *c, uint64_t seed)
{
    mesh_settings settings;

    mesh_default_settings(&settings, c->nodes, seed);
    settings.drop = c->drop;
    settings.jitter = c->jitter;
    settings.watchers = c->watchers;
    mesh_init(mesh, &settings);
    mesh_publish_catalogue(mesh, 1, 30);
    mesh_run(mesh, 6 * LV_SECOND);
}

#define EIGHT                                                                 \
    {                                                                         \
        8, 0, LV_MILLISECOND, 2                                               \
    }

ParameterizedTestParameters(document, spread)
{
    static spread_case cases[] = {
        {1, 0, LV_MILLISECOND, 1},   {2, 0, LV_MILLISECOND, 1},
        {8, 0, LV_MILLISECOND, 2},   {8, 100, 20 * LV_MILLISECOND, 1},
        {50, 0, LV_MILLISECOND, 2},  {50, 50, 20 * LV_MILLISECOND, 2},
        {200, 0, LV_MILLISECOND, 4}, {200, 20, 5 * LV_MILLISECOND, 4},
    };

    return cr_make_param_array(spread_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* Each change is in force on every router within 3 s, and so are lists. */
ParameterizedTest(spread_case *c, document, spread)
{
    mesh_mesh mesh;

    set_up(&mesh, c, 31);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 1), 0);
    for (uint64_t revision = 2; revision <= 5; revision++) {
        mesh_publish_catalogue(&mesh, revision, 30);
        mesh_publish_lists(&mesh, revision);
        mesh_run(&mesh, IN_FORCE_WITHIN);
        cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, revision), 0,
                     "%u nodes, revision %lu", c->nodes, revision);
        cr_assert_eq(mesh_count_behind(&mesh, DOC_LISTS, revision), 0);
    }
    cr_assert_eq(mesh_went_back(&mesh), 0);
    mesh_finish(&mesh);
}

/* A starting router never has a revision in force that is older than what
 * its peers have, whatever the platform says. */
typedef struct start_case {
    uint32_t lag;
    bool is_down;
    uint32_t drop;
} start_case;

ParameterizedTestParameters(document, starts)
{
    static start_case cases[] = {
        {0, false, 0},   {1, false, 0}, {2, false, 0},
        {2, false, 100}, {0, true, 0},  {0, true, 100},
    };

    return cr_make_param_array(start_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(start_case *c, document, starts)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;

    set_up(&mesh, &eight, 32);
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_publish_catalogue(&mesh, 3, 32);
    mesh_run(&mesh, IN_FORCE_WITHIN);
    mesh.platform_lag = c->lag;
    mesh.platform_is_down = c->is_down;
    mesh.settings.drop = c->drop;
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

/* A router whose peers are all silent trusts the platform after the wait;
 * one that has no peers trusts it at once. */
Test(document, the_wait_of_a_start_is_bounded)
{
    static const spread_case eight = EIGHT;
    static const spread_case one = {1, 0, LV_MILLISECOND, 1};
    mesh_mesh mesh;

    set_up(&mesh, &eight, 33);
    for (uint32_t i = 1; i < 8; i++) {
        mesh_kill(&mesh, i);
    }
    mesh_start(&mesh, 0);
    mesh_run(&mesh, 1900 * LV_MILLISECOND);
    cr_assert_not(doc_is_ready(&mesh.nodes[0].documents));
    mesh_run(&mesh, 200 * LV_MILLISECOND);
    cr_assert(doc_is_ready(&mesh.nodes[0].documents));
    mesh_finish(&mesh);
    set_up(&mesh, &one, 33);
    mesh_start(&mesh, 0);
    mesh_run(&mesh, 100 * LV_MILLISECOND);
    cr_assert(doc_is_ready(&mesh.nodes[0].documents));
    mesh_finish(&mesh);
}

/* Texts that must be refused, each published as revision 2. */
ParameterizedTestParameters(document, refusals)
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

ParameterizedTest(char (*text)[128], document, refusals)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;
    uint64_t refused = 0;
    uint64_t fetches = 0;

    set_up(&mesh, &eight, 34);
    mesh_publish_text(&mesh, DOC_CATALOGUE, 2, *text);
    mesh_run(&mesh, IN_FORCE_WITHIN);
    for (uint32_t i = 0; i < 8; i++) {
        refused += mesh.nodes[i].documents.counts.refused;
        fetches += mesh.nodes[i].documents.counts.fetches;
    }
    cr_assert_geq(refused, 1);
    cr_assert_not_null(
        doc_last_refusal(&mesh.nodes[0].documents, DOC_CATALOGUE, NULL));
    mesh_read_platform(&mesh, 0, DOC_CATALOGUE);
    mesh_run(&mesh, 20 * LV_SECOND);
    for (uint32_t i = 0; i < 8; i++) {
        refused -= mesh.nodes[i].documents.counts.refused;
        fetches -= mesh.nodes[i].documents.counts.fetches;
    }
    cr_assert_eq(refused, 0, "refused once only");
    cr_assert_eq(fetches, 0, "not fetched again");
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 1), 0);
    mesh_publish_catalogue(&mesh, 3, 30);
    mesh_run(&mesh, IN_FORCE_WITHIN);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 3), 0);
    mesh_finish(&mesh);
}

/* Two texts under one revision: everybody ends with the greater digest. */
Test(document, two_texts_under_one_revision)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;
    uint64_t digests[2];

    set_up(&mesh, &eight, 35);
    mesh.settings.watchers = 0;
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_read_platform(&mesh, 0, DOC_CATALOGUE);
    mesh_run(&mesh, 100 * LV_MILLISECOND);
    digests[0] = mesh.nodes[0].in_force[DOC_CATALOGUE].digest;
    mesh_partition(&mesh, 4);
    mesh_publish_catalogue(&mesh, 2, 32);
    mesh_read_platform(&mesh, 7, DOC_CATALOGUE);
    mesh_run(&mesh, IN_FORCE_WITHIN);
    digests[1] =
        cat_digest_part(mesh.versions[DOC_CATALOGUE][2].parts[0].text,
                        mesh.versions[DOC_CATALOGUE][2].parts[0].size);
    cr_assert_neq(digests[0], digests[1]);
    mesh_partition(&mesh, 0);
    mesh_run(&mesh, 2 * IN_FORCE_WITHIN);
    for (uint32_t i = 0; i < 8; i++) {
        cr_assert_eq(mesh.nodes[i].in_force[DOC_CATALOGUE].digest,
                     digests[0] > digests[1] ? digests[0] : digests[1]);
    }
    cr_assert_eq(mesh_went_back(&mesh), 0);
    mesh_finish(&mesh);
}

/* A change of one part of four moves the head and that part only. */
Test(document, only_changed_parts_are_fetched)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;
    uint64_t before;

    set_up(&mesh, &eight, 36);
    before = mesh.nodes[6].documents.counts.fetches;
    mesh_publish_catalogue(&mesh, 2, 31);
    mesh_run(&mesh, IN_FORCE_WITHIN);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    cr_assert_eq(mesh.nodes[6].documents.counts.fetches, before + 2);
    cr_assert_gt(doc_memory(&mesh.nodes[6].documents), 0);
    mesh_finish(&mesh);
}

/* Both sides take changes while they are cut off; after that the later one
 * is in force everywhere. */
Test(document, a_change_during_a_partition)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;

    set_up(&mesh, &eight, 37);
    mesh_partition(&mesh, 4);
    mesh_publish_catalogue(&mesh, 2, 31); /* watchers are nodes 0 and 1 */
    mesh_run(&mesh, 10 * LV_SECOND);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 4);
    mesh.platform_is_down = true;
    mesh_partition(&mesh, 0);
    mesh_run(&mesh, 2 * IN_FORCE_WITHIN);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    mesh_finish(&mesh);
}

/* The only router that had a change goes before anybody fetched it: the
 * others get it from the platform. */
Test(document, the_source_of_a_change_goes)
{
    static const spread_case eight = EIGHT;
    mesh_mesh mesh;

    set_up(&mesh, &eight, 38);
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
    mesh_run(&mesh, IN_FORCE_WITHIN);
    cr_assert_eq(mesh_count_behind(&mesh, DOC_CATALOGUE, 2), 0);
    mesh_finish(&mesh);
}

/* One store with a host that only counts. */
typedef struct counting_host {
    lv_host host;
    uint32_t sent;
    uint32_t read;
    lv_id last_to;
    uint32_t last_part;
    uint32_t changed;
} counting_host;

static void
count_send(lv_host *host, lv_id to, const msg_message *message)
{
    counting_host *counting = (counting_host *)host;

    counting->sent++;
    counting->last_to = to;
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
no_log(lv_host *host, const lv_decision *decision)
{
    (void)host;
    (void)decision;
}

static const lv_host_ops counting_ops = {
    .send = count_send,
    .read_platform = count_read,
    .document_changed = count_changed,
    .log_decision = no_log,
};

static msg_message
claim(lv_id sender, uint64_t revision, uint64_t digest)
{
    msg_message message = {.kind = MSG_PING, .sender = sender};

    message.docs[DOC_CATALOGUE].revision = revision;
    message.docs[DOC_CATALOGUE].digest = digest;
    return message;
}

static void
open_store(doc_store *store, counting_host *counting)
{
    doc_settings settings = {500 * LV_MILLISECOND, 2 * LV_SECOND};

    memset(counting, 0, sizeof *counting);
    counting->host.ops = &counting_ops;
    cr_assert(doc_init(store, &counting->host, &settings, 1, 0, NULL));
}

/* A claim that nobody can prove is put aside, so that it does not keep the
 * true documents out, and tried again later. */
Test(document, a_false_claim_is_put_aside)
{
    counting_host counting;
    doc_store store;
    msg_message message = claim(7, 1000, 1234);
    lv_time now = 0;

    open_store(&store, &counting);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.sent, 1);
    while (store.counts.given_up == 0 && now < 10 * LV_SECOND) {
        now += 500 * LV_MILLISECOND;
        doc_tick(&store, now);
    }
    cr_assert_eq(store.counts.given_up, 1);
    cr_assert_eq(counting.sent + counting.read, 8);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.sent + counting.read, 8);
    message =
        claim(8, 5, cat_digest_part(text_catalogue, strlen(text_catalogue)));
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.last_to, 8);
    message.kind = MSG_DOC_BODY;
    message.doc = DOC_CATALOGUE;
    message.doc_digest = message.docs[DOC_CATALOGUE].digest;
    message.body = text_catalogue;
    message.body_size = strlen(text_catalogue);
    doc_receive_body(&store, now, &message);
    cr_assert_not_null(doc_catalogue(&store));
    now += 2 * LV_SECOND;
    message = claim(7, 1000, 1234);
    doc_apply_peer_states(&store, now, &message);
    cr_assert_eq(counting.last_to, 7);
    doc_finish(&store);
}

/* Bodies that are not what was asked for. */
typedef struct body_case {
    char what[32];
    uint32_t doc;
    uint32_t part;
    size_t size;
    uint32_t bad;  /* counted as bad */
    uint32_t asks; /* further questions */
} body_case;

ParameterizedTestParameters(document, bodies)
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

ParameterizedTest(body_case *c, document, bodies)
{
    counting_host counting;
    doc_store store;
    msg_message message = claim(7, 9, 1234);
    char *body = calloc(1, CAT_PART_SIZE + 1);

    open_store(&store, &counting);
    doc_apply_peer_states(&store, 0, &message);
    cr_assert_eq(counting.sent, 1);
    message.kind = MSG_DOC_BODY;
    message.doc = (doc_kind)c->doc;
    message.doc_part = c->part;
    message.doc_digest = 1234;
    message.body = body;
    message.body_size = c->size;
    doc_receive_body(&store, 0, &message);
    cr_assert_eq(store.counts.bad_parts, c->bad, "%s", c->what);
    cr_assert_eq(counting.sent + counting.read, 1 + c->asks, "%s", c->what);
    cr_assert_eq(counting.changed, 0);
    message.kind = MSG_DOC_FETCH;
    doc_receive_fetch(&store, 0, &message);
    doc_finish(&store);
    free(body);
}

Test(document, a_timeout_of_zero_is_refused)
{
    doc_settings settings = {0, 0};
    doc_store store;
    err_error error;

    cr_assert_not(doc_init(&store, NULL, &settings, 1, 0, &error));
    cr_assert_neq(error.remedy[0], '\0');
}
