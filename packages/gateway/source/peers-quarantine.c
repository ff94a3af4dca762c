#include "peers-imp.h"

/* Reports in one datagram; further ones follow in later datagrams. */
static const uint32_t reports_max[PEERS_QUARANTINES] = {
    [PEERS_BLOCKS] = 16, [PEERS_REQUESTS] = 12};

#define REPORTS_MAX 16 /* the largest of them */

#define REPORT_SIZE 8 /* numbers */

static void
pack_report(const qtn_report *report, msgpack_packer *packer)
{
    msgpack_pack_uint32(packer, report->kind);
    msgpack_pack_uint64(packer, report->key);
    msgpack_pack_uint64(packer, report->endpoint);
    msgpack_pack_uint64(packer, report->account);
    msgpack_pack_uint64(packer, report->kind == QTN_CLAIMED
                                    ? report->group
                                    : report->answer_age);
    msgpack_pack_uint32(packer,
                        report->trials * 2 + report->is_for_all_accounts);
    msgpack_pack_uint64(
        packer, report->kind == QTN_CLAIMED ? report->idle : report->exposure);
    msgpack_pack_uint64(packer, report->age);
}

void
peers_pack_reports(const peers_state *peers, lv_time now,
                   msgpack_packer *packer)
{
    uint32_t table, i;

    for (table = 0; table < PEERS_QUARANTINES; table++) {
        qtn_table *quarantine = peers->quarantines[table];
        qtn_report reports[REPORTS_MAX];
        uint32_t count = 0;

        if (quarantine != NULL) {
            count = qtn_collect_reports(quarantine, now, reports,
                                        reports_max[table]);
        }
        msgpack_pack_array(packer, (size_t)count * REPORT_SIZE);
        for (i = 0; i < count; i++) {
            pack_report(&reports[i], packer);
        }
    }
}

bool
peers_are_report_lists(const msgpack_object *lists)
{
    uint32_t table, i;

    for (table = 0; table < PEERS_QUARANTINES; table++) {
        const msgpack_object *list = &lists[table];

        if (!peers_is_number_list(list, REPORT_SIZE)) {
            return false;
        }
        for (i = 0; i < list->via.array.size; i += REPORT_SIZE) {
            if (list->via.array.ptr[i].via.u64 >= QTN_REPORT_KINDS) {
                return false;
            }
        }
    }
    return true;
}

static void
unpack_report(const msgpack_object *numbers, qtn_report *report)
{
    report->kind = (qtn_report_kind)numbers[0].via.u64;
    report->key = numbers[1].via.u64;
    report->endpoint = numbers[2].via.u64;
    report->account = numbers[3].via.u64;
    report->group = numbers[4].via.u64;
    report->answer_age = numbers[4].via.u64;
    report->trials = (uint32_t)(numbers[5].via.u64 / 2);
    report->is_for_all_accounts = numbers[5].via.u64 % 2 != 0;
    report->idle = numbers[6].via.u64;
    report->exposure = numbers[6].via.u64;
    report->age = numbers[7].via.u64;
}

void
peers_apply_reports(peers_state *peers, uint64_t incarnation,
                    const msgpack_object *lists, lv_time now)
{
    uint32_t table, i;

    for (table = 0; table < PEERS_QUARANTINES; table++) {
        const msgpack_object_array *list = &lists[table].via.array;

        for (i = 0; peers->quarantines[table] != NULL && i < list->size;
             i += REPORT_SIZE) {
            qtn_report report;

            unpack_report(list->ptr + i, &report);
            qtn_apply_report(peers->quarantines[table], &report, incarnation,
                             now);
        }
    }
}

bool
peers_has_reports(const peers_state *peers, lv_time now)
{
    uint32_t table;

    for (table = 0; table < PEERS_QUARANTINES; table++) {
        if (peers->quarantines[table] != NULL &&
            qtn_has_reports(peers->quarantines[table], now)) {
            return true;
        }
    }
    return false;
}
