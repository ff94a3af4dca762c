#include "lavender/dispatcher.h"

/* Counters are whole numbers: each of the two may be one unit off. */
#define ROUNDING 2

uint64_t
disp_fairness_bound(const disp_bound_input *input)
{
    uint64_t weight = input->min_weight > 0 ? input->min_weight : 1;
    uint64_t unseen = input->max_slot_rate * input->recall_delay / LV_SECOND;
    uint64_t start = input->max_request_cost + unseen;
    uint64_t lead = input->quantum > input->urgent_credit
                        ? input->quantum
                        : input->urgent_credit;

    return lead + input->slots * start / weight + ROUNDING;
}
