#include "lavender/dispatcher.h"

uint64_t
disp_fairness_bound(const disp_bound_input *input)
{
    uint64_t weight = input->weight > 0 ? input->weight : 1;
    uint64_t slots = input->slots > 0 ? input->slots : 1;
    uint64_t unseen = input->slot_rate * input->report_interval / LV_SECOND;
    uint64_t request = input->largest_request + unseen;

    return input->quantum + input->urgent_credit +
           2 * slots * request / weight;
}
