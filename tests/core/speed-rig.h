/*
 * A fleet of 80 instances that each see one request in eighty of an emulated
 * engine, whose speed changes.
 */
#ifndef SPEED_RIG_H
#define SPEED_RIG_H

#include "emulator.h"

#define SPEED_CHANGE_AT (8 * LV_SECOND)
#define SPEED_LENGTH (24 * LV_SECOND)
#define SPEED_MAX_ERROR 0.2

typedef struct speed_case {
    const char *name;
    const emu_shape *shape;
    emu_fleet fleet;
    double factor;
    lv_time lasts; /* 0: to the end */
} speed_case;

extern const emu_shape speed_twelve_slots;
extern const emu_shape speed_sixteen_slots;

/* Plays a case with several seeds. Expects that the error is below
 * SPEED_MAX_ERROR within 2 s of each change, and on average after that. */
void speed_expect_settled(const speed_case *one);

#endif
