/*
 * Labelled counters: the number of series is limited, and no count is lost
 * when the limit is reached.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "lavender/tally.h"

#define MAX_SERIES 4

static tal_counter counter;

static void
start(void)
{
    tal_init(&counter, "lavender_test_total", "a test", MAX_SERIES);
}

static void
stop(void)
{
    tal_finish(&counter);
}

TestSuite(tally, .init = start, .fini = stop);

static bool
is_in_output(const char *line)
{
    met_writer writer;
    bool is_in_text;

    met_writer_init(&writer);
    tal_write(&counter, &writer);
    met_write_text(&writer, "");
    is_in_text = writer.text != NULL && strstr(writer.text, line) != NULL;
    met_writer_finish(&writer);
    return is_in_text;
}

Test(tally, equal_labels_share_a_series)
{
    tal_increment(&counter, "account=\"a\"");
    tal_increment(&counter, "account=\"b\"");
    tal_increment(&counter, "account=\"a\"");
    cr_expect(is_in_output("lavender_test_total{account=\"a\"} 2"));
    cr_expect(is_in_output("lavender_test_total{account=\"b\"} 1"));
    cr_expect_not(is_in_output("other"));
}

Test(tally, counts_beyond_the_limit_go_to_other)
{
    for (int i = 0; i < 36000; i++) {
        char labels[64];

        snprintf(labels, sizeof labels, "account=\"%d\"", i);
        tal_increment(&counter, labels);
    }
    tal_increment(&counter, "account=\"0\"");
    cr_expect_eq(counter.series_count, MAX_SERIES);
    cr_expect(is_in_output("lavender_test_total{account=\"0\"} 2"));
    cr_expect(is_in_output("lavender_test_total{other=\"1\"} 35996"));
}
