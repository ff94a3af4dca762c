#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "part-fleet-platform.h"

#define PATH_SIZE 512
#define VALUE_MAX 1000000

static void
name_of_file(const char *file, char name[KEY_SIZE])
{
    unsigned number;

    if (sscanf(file, "accounts-%u.ini", &number) == 1) {
        snprintf(name, KEY_SIZE, "catalogue/accounts/%u", number);
    }
    else if (strcmp(file, "head.ini") == 0) {
        snprintf(name, KEY_SIZE, "catalogue/head");
    }
    else if (strcmp(file, "lists.ini") == 0) {
        snprintf(name, KEY_SIZE, "lists");
    }
    else {
        name[0] = '\0';
    }
}

static void
load_file(config_service *platform, const char *file)
{
    char path[PATH_SIZE];
    char name[KEY_SIZE];
    char *text = malloc(VALUE_MAX);
    struct stat status;
    FILE *stream;
    key_key *key;

    name_of_file(file, name);
    snprintf(path, sizeof path, "%s/%s", platform->folder, file);
    key = name[0] != '\0' ? platform_find_key(platform, name, true) : NULL;
    stream = key != NULL ? fopen(path, "rb") : NULL;
    if (stream == NULL || text == NULL ||
        fstat(fileno(stream), &status) != 0) {
        goto done;
    }
    if (memcmp(&status.st_mtim, &key->changed, sizeof key->changed) != 0) {
        key->changed = status.st_mtim;
        platform_set_key(platform, key, text,
                         fread(text, 1, VALUE_MAX, stream));
    }
done:
    if (stream != NULL) {
        fclose(stream);
    }
    free(text);
}

void
platform_load_folder(config_service *platform)
{
    DIR *folder = opendir(platform->folder);
    struct dirent *item;

    if (folder == NULL) {
        return;
    }
    while ((item = readdir(folder)) != NULL) {
        load_file(platform, item->d_name);
    }
    closedir(folder);
}
