#ifndef STAGE_IMP_H
#define STAGE_IMP_H

#include "stage.h"

/* Start fake endpoint "e-<number>" on a free port of loopback. */
void stage_start_endpoint(stage_fixture *stage, stage_endpoint *endpoint,
                          uint32_t number);
void stage_stop_endpoint(stage_endpoint *endpoint);

#endif
