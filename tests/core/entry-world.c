#include "entry-world.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY(digit)                                                            \
    "key_digest = "                                                           \
    "000000000000000000000000000000000000000000000000000000000000000" digit   \
    "\n"
#define ACCOUNT(name, weight, digit)                                          \
    "[account " name "]\nweight = " weight "\n" KEY(digit)
#define ENTRY(name, priority, limits)                                         \
    "[entry " name "]\npriority = " priority "\n" limits
#define ROUTE(path, pool, idempotent)                                         \
    "[route " path "]\npool = " pool "\nidempotent = " idempotent "\n"
#define MINUTE "deadline = 1m\n"

/* clang-format off */
static const char catalogue_text[] =
    "[catalogue]\nrevision = 1\n"
    "[pool eng]\nkind = engine\nslots = 2\ninput_weight = 1\n"
    "output_weight = 2\nquantum = 1000\nurgent_credit = 500\nhold = 5ms\n"
    "default_cost = 100\n"
    "[pool svc]\nkind = service\nslots = 2\nquantum = 1000\nhold = 5ms\n"
    "default_cost = 10\n"
    ROUTE("/chat", "eng", "yes")
    ROUTE("/once", "eng", "no")
    ROUTE("/look", "svc", "yes")
    ROUTE("/book", "svc", "no")
    ROUTE("/model", "by-model", "yes")
    "[model m1]\npool = eng\ncopies = all\nsize = 1GiB\n"
    ACCOUNT("a", "1", "1")
    ENTRY("a/drafts", "deferrable", MINUTE)
    ENTRY("a/gate", "urgent", MINUTE)
    ENTRY("a/few", "deferrable", "waiting = 2\n" MINUTE)
    ENTRY("a/small", "deferrable", "body = 10B\n" MINUTE)
    ENTRY("a/hasty", "deferrable", "deadline = 1s\n")
    ACCOUNT("b", "2", "2")
    ENTRY("b/work", "deferrable", MINUTE)
    ACCOUNT("rated", "1", "3")
    ENTRY("rated/work", "deferrable",
          "requests_per_second = 10\nburst = 4\n" MINUTE)
    ACCOUNT("limited", "1", "4")
    ENTRY("limited/work", "deferrable", "in_flight = 1\n" MINUTE);
/* clang-format on */

static const char lists_text[] = "[list]\n"
                                 "revision = 1\n"
                                 "[zone z1]\n"
                                 "region = perth\n"
                                 "[instance r1]\n"
                                 "zone = z1\n"
                                 "peer = 127.0.0.1:7101\n"
                                 "http = 127.0.0.1:7201\n"
                                 "[instance r2]\n"
                                 "zone = z1\n"
                                 "peer = 127.0.0.1:7102\n"
                                 "http = 127.0.0.1:7202\n"
                                 "[endpoint e1]\n"
                                 "pool = eng\n"
                                 "zone = z1\n"
                                 "address = 127.0.0.1:7301\n"
                                 "[endpoint e2]\n"
                                 "pool = eng\n"
                                 "zone = z1\n"
                                 "address = 127.0.0.1:7302\n"
                                 "[endpoint s1]\n"
                                 "pool = svc\n"
                                 "zone = z1\n"
                                 "address = 127.0.0.1:7303\n"
                                 "[endpoint s2]\n"
                                 "pool = svc\n"
                                 "zone = z1\n"
                                 "address = 127.0.0.1:7304\n";

lv_id
ew_id(const char *name)
{
    return lv_hash_name(name);
}

void
ew_check(bool holds, const char *what)
{
    cr_assert(holds, "%s", what);
}

static void
fail(const char *what, const char *detail)
{
    fprintf(stderr, "entry-world: %s: %s\n", what, detail);
    abort();
}

static void
copy_array(const void *from, uint32_t count, size_t size, void *to,
           uint32_t room)
{
    if (count > room) {
        fail("a report has more items than the test keeps", "");
    }
    if (count > 0) {
        memcpy(to, from, count * size);
    }
}

static void
record_send(lv_host *host, lv_id to, const msg_message *message)
{
    ew_world *world = (ew_world *)host;
    ew_report *report = &world->report;

    world->report_count++;
    if (message->is_full) {
        world->full_sent[message->pool != ew_id("eng")][message->shard % 2] =
            message->sent;
        world->was_claim[message->pool != ew_id("eng")] = message->is_claim;
    }
    for (uint32_t i = 0; message->is_full && i < message->demand_count; i++) {
        world->rated_told += message->demands[i].account == ew_id("rated");
    }
    report->to = to;
    report->message = *message;
    copy_array(message->demands, message->demand_count, sizeof(msg_demand),
               report->demands, 16);
    copy_array(message->held, message->held_count, sizeof(msg_lease),
               report->held, 64);
    copy_array(message->released, message->released_count, sizeof(uint64_t),
               report->released, 64);
    copy_array(message->services, message->service_count, sizeof(msg_service),
               report->services, 16);
}

static void
record_attempt(lv_host *host, const lv_attempt *attempt)
{
    ew_world *world = (ew_world *)host;

    world->attempts[world->attempt_count++ % EW_EVENTS_MAX] = *attempt;
}

static void
record_cancel(lv_host *host, lv_handle request, uint32_t number)
{
    (void)request;
    (void)number;
    ((ew_world *)host)->cancel_count++;
}

static void
record_finish(lv_host *host, lv_handle request, const out_outcome *outcome)
{
    ew_world *world = (ew_world *)host;

    world->finishes[world->finish_count++ % EW_EVENTS_MAX] =
        (ew_finish){request, *outcome};
}

static void
record_decision(lv_host *host, const lv_decision *decision)
{
    if (decision->reason == NULL || decision->reason[0] == '\0') {
        fail("a decision without a reason", "");
    }
    ((ew_world *)host)->decisions[decision->kind]++;
}

static const lv_host_ops recording_ops = {
    .send = record_send,
    .start_attempt = record_attempt,
    .cancel_attempt = record_cancel,
    .finish_request = record_finish,
    .log_decision = record_decision,
};

void
ew_set_catalogue(ew_world *world, const char *text)
{
    cat_part part = {"catalogue", text, strlen(text)};
    cat_catalogue old = world->catalogue;
    err_list errors;
    char line[512];

    if (!cat_init(&world->catalogue, &part, 1, &errors)) {
        err_item_format(&errors.items[0], line, sizeof line);
        fail("bad catalogue", line);
    }
    entry_set_views(&world->entry, world->now, &world->catalogue,
                    world->lists.revision > 0 ? &world->lists : NULL);
    cat_finish(&old);
}

void
ew_restore_catalogue(ew_world *world)
{
    ew_set_catalogue(world, catalogue_text);
}

void
ew_set_lists(ew_world *world, const char *text)
{
    lists_snapshot old = world->lists;
    err_list errors;
    char line[512];

    if (!lists_init(&world->lists, "lists", text, strlen(text), &errors)) {
        err_item_format(&errors.items[0], line, sizeof line);
        fail("bad lists", line);
    }
    entry_set_views(&world->entry, world->now,
                    world->catalogue.revision > 0 ? &world->catalogue : NULL,
                    &world->lists);
    lists_finish(&old);
}

void
ew_init(ew_world *world, const entry_settings *settings)
{
    entry_settings usual;
    err_error error;

    memset(world, 0, sizeof *world);
    world->host.ops = &recording_ops;
    world->now = 10 * LV_SECOND;
    entry_default_settings(&usual);
    usual.full_interval = usual.report_interval;
    usual.silence_timeout = 500 * LV_MILLISECOND;
    if (!ledger_init(&world->ledger, 1000, &error) ||
        !entry_init(&world->entry, &world->host,
                    settings != NULL ? settings : &usual, &world->ledger,
                    ew_id("r1"), 1, world->now, &error)) {
        fail("no entry", error.message);
    }
    ew_set_catalogue(world, catalogue_text);
    ew_set_lists(world, lists_text);
    entry_set_dispatcher(&world->entry, world->now, ew_id("eng"), 0,
                         ew_id("r2"));
    entry_set_dispatcher(&world->entry, world->now, ew_id("svc"), 0,
                         ew_id("r2"));
}

void
ew_finish_world(ew_world *world)
{
    entry_finish(&world->entry);
    ledger_finish(&world->ledger);
    cat_finish(&world->catalogue);
    lists_finish(&world->lists);
}

lv_handle
ew_submit(ew_world *world, const char *account, const char *class_name,
          const char *path, out_outcome *refusal)
{
    entry_request request = {
        .account = ew_id(account),
        .class_name = class_name,
        .route = cat_find_route(&world->catalogue, path, strlen(path)),
        .model = LV_HANDLE_NONE,
        .number = ++world->next_request,
        .input_units = 10,
    };
    out_outcome unused;
    lv_handle handle;

    if (!entry_submit(&world->entry, world->now, &request, &handle,
                      refusal != NULL ? refusal : &unused)) {
        return LV_HANDLE_NONE;
    }
    return handle;
}

msg_message
ew_message(ew_world *world, const char *pool)
{
    return (msg_message){
        .kind = MSG_GRANT,
        .version = MSG_VERSION,
        .sender = ew_id("r2"),
        .incarnation = 1,
        .sequence = ++world->sequence,
        .tenure = 1,
        .pool = ew_id(pool),
        .echo = world->now,
        .ttl = EW_TTL,
    };
}

/* The echo is the time of the entry's last full report to the shard. */
static lv_time
last_full(const ew_world *world, lv_id pool, uint32_t shard)
{
    return world->full_sent[pool != ew_id("eng")][shard % 2];
}

bool
ew_take(ew_world *world, const msg_message *message)
{
    msg_message copy = *message;
    lv_time last = last_full(world, message->pool, message->shard);

    if (copy.echo > last) {
        copy.echo = last;
    }
    return entry_receive_grant(&world->entry, world->now, &copy);
}

uint64_t
ew_grant(ew_world *world, const char *pool, const char *endpoint,
         const char *account)
{
    return ew_grant_shard(world, pool, 0, endpoint, account);
}

uint64_t
ew_grant_shard(ew_world *world, const char *pool, uint32_t shard,
               const char *endpoint, const char *account)
{
    msg_message message = ew_message(world, pool);
    msg_grant grant = {++world->next_lease, ew_id(endpoint),
                       account == NULL ? LV_ID_NONE : ew_id(account)};

    message.shard = shard;
    message.grants = &grant;
    message.grant_count = 1;
    ew_take(world, &message);
    return grant.lease;
}

void
ew_run(ew_world *world, lv_time length)
{
    lv_time end = world->now + length;

    for (;;) {
        lv_time next = entry_next_tick(&world->entry);

        if (next > end) {
            break;
        }
        world->now = next > world->now ? next : world->now + 1;
        if (world->now > end) {
            break;
        }
        entry_tick(&world->entry, world->now);
    }
    world->now = end;
}

const lv_attempt *
ew_last_attempt(const ew_world *world)
{
    return &world->attempts[(world->attempt_count - 1) % EW_EVENTS_MAX];
}

bool
ew_send_last(ew_world *world)
{
    const lv_attempt *attempt = ew_last_attempt(world);

    return entry_may_send(&world->entry, world->now, attempt->request,
                          attempt->number);
}

void
ew_end_last(ew_world *world, entry_result end)
{
    const lv_attempt *attempt = ew_last_attempt(world);

    entry_end_attempt(&world->entry, world->now, attempt->request,
                      attempt->number, end, 0, 0);
}

const ew_finish *
ew_last_finish(const ew_world *world)
{
    return &world->finishes[(world->finish_count - 1) % EW_EVENTS_MAX];
}

entry_counts
ew_counts(const ew_world *world)
{
    entry_counts counts;

    entry_read_counts(&world->entry, &counts);
    return counts;
}
