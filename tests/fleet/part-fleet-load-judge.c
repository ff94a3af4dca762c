#include <stdio.h>
#include <string.h>

#include "part-fleet-load.h"

#define DONE_TEXT "\"outcome\": \"done\""
#define OUTCOME_EVENT "event: lavender-outcome\ndata: "

static const char *const verdict_names[] = {
    [LOAD_PENDING] = "pending",     [LOAD_WHOLE] = "whole",
    [LOAD_NOT_RUN] = "not-run",     [LOAD_INCOMPLETE] = "incomplete",
    [LOAD_UNKNOWN] = "unknown",     [LOAD_CUT] = "cut",
    [LOAD_NO_ANSWER] = "no-answer", [LOAD_WRONG] = "wrong",
};

const char *
load_verdict_name(load_verdict verdict)
{
    return verdict_names[verdict];
}

static load_verdict
set_reason(load_verdict verdict, char reason[48], const char *text)
{
    snprintf(reason, 48, "%s", text);
    return verdict;
}

/* The "kind" of a refusal, for the CSV. */
static void
read_kind(const load_answer *answer, char reason[48])
{
    json_t *json = answer->body != NULL
                       ? json_loadb(answer->body, answer->size, 0, NULL)
                       : NULL;
    json_t *error = json_object_get(json, "error");
    const char *kind = json_string_value(json_object_get(error, "kind"));

    snprintf(reason, 48, "%s", kind != NULL ? kind : "");
    json_decref(json);
}

static load_verdict
judge_outcome(const load_answer *answer, char reason[48])
{
    read_kind(answer, reason);
    if (strcmp(answer->outcome, "not-run") == 0) {
        return LOAD_NOT_RUN;
    }
    if (strcmp(answer->outcome, "incomplete") == 0) {
        return LOAD_INCOMPLETE;
    }
    if (strcmp(answer->outcome, "unknown") == 0) {
        return LOAD_UNKNOWN;
    }
    if (answer->status != 200) {
        return set_reason(LOAD_WRONG, reason, "refusal without outcome");
    }
    return set_reason(LOAD_WRONG, reason, "answer is not its own");
}

/* A stream that did not come to its end says so in its last event. */
static load_verdict
judge_event(const load_answer *answer, const char *expected, size_t size,
            char reason[48])
{
    const char *event =
        answer->body != NULL ? strstr(answer->body, OUTCOME_EVENT) : NULL;
    size_t common = event != NULL ? (size_t)(event - answer->body) : 0;
    json_t *json;
    const char *outcome;
    load_verdict verdict = LOAD_WRONG;

    if (event == NULL) {
        return set_reason(LOAD_WRONG, reason, "stream ends early, unsaid");
    }
    while (common > 0 && (common > size || answer->body[common - 1] == '\n')) {
        common--;
    }
    if (memcmp(answer->body, expected, common) != 0) {
        return set_reason(LOAD_WRONG, reason, "stream is not its own");
    }
    json = json_loads(event + strlen(OUTCOME_EVENT), JSON_DISABLE_EOF_CHECK,
                      NULL);
    outcome = json_string_value(json_object_get(json, "outcome"));
    set_reason(LOAD_WRONG, reason, outcome != NULL ? outcome : "no outcome");
    if (outcome != NULL && strcmp(outcome, "incomplete") == 0) {
        verdict = LOAD_INCOMPLETE;
    }
    else if (outcome != NULL && strcmp(outcome, "unknown") == 0) {
        verdict = LOAD_UNKNOWN;
    }
    else if (outcome != NULL && strcmp(outcome, "not-run") == 0) {
        verdict = LOAD_NOT_RUN;
    }
    json_decref(json);
    return verdict;
}

static load_verdict
judge_engine(const char *identity, uint32_t prompt, uint32_t tokens,
             bool is_stream, const load_answer *answer, char reason[48])
{
    answer_answer expected;
    load_verdict verdict;
    bool has_all;
    bool is_done;

    answer_init(&expected, identity, prompt, tokens, is_stream);
    has_all = answer->body != NULL && answer->size >= expected.size &&
              memcmp(answer->body, expected.text, expected.size) == 0;
    is_done = has_all && (answer->size == expected.size ||
                          (is_stream && strstr(answer->body + expected.size,
                                               DONE_TEXT) != NULL));
    if (is_done) {
        verdict = LOAD_WHOLE;
    }
    else if (is_stream) {
        verdict = judge_event(answer, expected.text, expected.size, reason);
    }
    else {
        verdict = judge_outcome(answer, reason);
    }
    answer_finish(&expected);
    return verdict;
}

static load_verdict
judge_plain(const char *identity, const load_answer *answer, char reason[48])
{
    char expected[512];
    json_t *json = answer->body != NULL
                       ? json_loadb(answer->body, answer->size, 0, NULL)
                       : NULL;
    uint32_t run = (uint32_t)json_integer_value(json_object_get(json, "run"));
    size_t size =
        answer_format_plain(expected, sizeof expected, identity, run);

    json_decref(json);
    if (answer->size == size && memcmp(answer->body, expected, size) == 0) {
        return LOAD_WHOLE;
    }
    return judge_outcome(answer, reason);
}

/* What came before a cut must still be the request's own. */
static bool
is_own_beginning(const load_flow *flow, const char *identity, uint32_t prompt,
                 uint32_t tokens, bool is_stream, const load_answer *answer)
{
    answer_answer expected;
    bool is_own;

    if (flow->kind == LOAD_SERVICE || answer->size == 0) {
        return true;
    }
    answer_init(&expected, identity, prompt, tokens, is_stream);
    is_own = answer->size <= expected.size &&
             memcmp(answer->body, expected.text, answer->size) == 0;
    answer_finish(&expected);
    return is_own;
}

load_verdict
load_judge(const load_flow *flow, const char *identity, uint32_t prompt,
           uint32_t tokens, bool is_stream, const load_answer *answer,
           char reason[48])
{
    load_verdict verdict;

    reason[0] = '\0';
    if (answer->status == 0) {
        return set_reason(LOAD_NO_ANSWER, reason, "connection");
    }
    if (answer->status != 200) {
        verdict = judge_outcome(answer, reason);
    }
    else if (flow->kind == LOAD_SERVICE) {
        verdict = judge_plain(identity, answer, reason);
    }
    else {
        verdict =
            judge_engine(identity, prompt, tokens, is_stream, answer, reason);
    }
    if (verdict == LOAD_WRONG && !answer->is_whole &&
        is_own_beginning(flow, identity, prompt, tokens, is_stream, answer)) {
        return set_reason(LOAD_CUT, reason, "connection");
    }
    return verdict;
}
