#include <stdio.h>

int
main(void)
{
    fprintf(stderr, "lavenderctl: not built yet\n");
    return 2;
}
