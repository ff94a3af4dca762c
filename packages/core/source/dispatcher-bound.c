#include "lavender/dispatcher.h"

/* Each of the two counters is a whole number and may be off by one unit. */
#define MAX_ROUNDING_ERROR 2

uint64_t
disp_fairness_bound(const disp_bound_input *input)
{
    uint64_t weight = input->min_weight > 0 ? input->min_weight : 1;
    uint64_t unreported =
        input->max_slot_rate * input->recall_delay / LV_SECOND;
    uint64_t excess_per_slot = input->max_request_cost + unreported;
    uint64_t max_lead = input->quantum > input->urgent_credit
                            ? input->quantum
                            : input->urgent_credit;

    return max_lead + input->slots * excess_per_slot / weight +
           MAX_ROUNDING_ERROR;
}
