#include <stdio.h>

int
main(void)
{
    fprintf(stderr, "lavenderd: not built yet\n");
    return 2;
}
