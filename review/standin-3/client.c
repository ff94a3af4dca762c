#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base.h"

static void
send_request(client_stream *stream, int fd, uint64_t deadline_ms)
{
    static volatile unsigned last;
    unsigned number = __sync_add_and_fetch(&last, 1);
    char resumption[128] = "";
    char *attempt = stream->attempts[stream->attempt_count++ % 4];

    snprintf(attempt, sizeof stream->attempts[0], "%016x", number);
    if (stream->count > 0) {
        snprintf(resumption, sizeof resumption,
                 "Last-Event-Id: %d\r\nResumes: %s\r\n", stream->count,
                 stream->attempts[0]);
    }
    base_send_text(fd,
                   "POST %s HTTP/1.1\r\nHost: fjord.example\r\n"
                   "Lavenderproxy-Attempt-Id: %s\r\n%s"
                   "Lavenderproxy-Model: m\r\n"
                   "Lavenderproxy-Token-Counts: 400,80\r\n"
                   "Lavenderproxy-Prompt-Prefix: %s,%x:100\r\n"
                   "Lavenderproxy-Deadline-Ms: %llu\r\n"
                   "Api-Key: asnmgkcuyj8pjbvk9m68\r\n"
                   "Content-Length: 0\r\n\r\n",
                   stream->path, attempt, resumption,
                   stream->parts != NULL ? stream->parts : "5c1e07a2:300",
                   0x10000 + number, (unsigned long long)deadline_ms);
}

static void
read_events(client_stream *stream, const char *text)
{
    while (text != NULL && (text = strstr(text, "id: ")) != NULL) {
        char version[8] = "";
        int id = 0;

        if (sscanf(text, "id: %d\ndata: %7s", &id, version) != 2 ||
            id != stream->count + 1) {
            stream->count = -1;
            return;
        }
        stream->count++;
        if (stream->first_version[0] == '\0') {
            snprintf(stream->first_version, sizeof stream->first_version, "%s",
                     version);
        }
        if (strcmp(stream->first_version, version) != 0) {
            stream->has_two_versions = true;
        }
        text += 4;
    }
}

void
client_call(client_stream *stream, uint16_t port, uint64_t deadline_ms)
{
    base_reader *reader = malloc(sizeof *reader);
    base_message answer = {.status = 0};
    int fd = base_connect(port);

    stream->status = 0;
    stream->is_whole = false;
    if (fd >= 0) {
        base_begin_reading(reader, fd);
        send_request(stream, fd, deadline_ms);
        if (base_read_head(reader, &answer)) {
            base_read_body(reader, &answer, false, NULL, NULL);
            stream->status = answer.status;
            stream->is_whole = answer.is_whole;
        }
        close(fd);
    }
    if (answer.status / 100 == 2) {
        read_events(stream, answer.body);
    }
    base_record("%s: status %d, %d of %d events, %s%s", stream->path,
                stream->status, stream->count, stream->expected,
                stream->is_whole ? "ends as complete" : "broken off",
                stream->has_two_versions ? ", TWO VERSIONS" : "");
    base_free_message(&answer);
    free(reader);
}
