#include <stdio.h>

#include "lavender/lavender.h"

int net_placeholder(void);
int
net_placeholder(void)
{
    return 0;
}
