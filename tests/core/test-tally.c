/*
 * Counts by labels stay bounded, and nothing is lost to the bound.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "lavender/tally.h"

#define MOST 4

static tal_counter tally;

static void
start(void)
{
    tal_init(&tally, "lavender_test_total", "a test", MOST);
}

static void
stop(void)
{
    tal_finish(&tally);
}

TestSuite(tally, .init = start, .fini = stop);

static bool
is_written(const char *line)
{
    met_writer writer;
    bool is_found;

    met_writer_init(&writer);
    tal_write(&tally, &writer);
    met_write_text(&writer, "");
    is_found = writer.text != NULL && strstr(writer.text, line) != NULL;
    met_writer_finish(&writer);
    return is_found;
}

Test(tally, equal_labels_share_a_series)
{
    tal_increment(&tally, "account=\"a\"");
    tal_increment(&tally, "account=\"b\"");
    tal_increment(&tally, "account=\"a\"");
    cr_expect(is_written("lavender_test_total{account=\"a\"} 2"));
    cr_expect(is_written("lavender_test_total{account=\"b\"} 1"));
    cr_expect_not(is_written("other"));
}

Test(tally, what_finds_no_room_is_counted_as_other)
{
    for (int i = 0; i < 36000; i++) {
        char labels[64];

        snprintf(labels, sizeof labels, "account=\"%d\"", i);
        tal_increment(&tally, labels);
    }
    tal_increment(&tally, "account=\"0\"");
    cr_expect_eq(tally.series_count, MOST);
    cr_expect(is_written("lavender_test_total{account=\"0\"} 2"));
    cr_expect(is_written("lavender_test_total{other=\"1\"} 35996"));
}
