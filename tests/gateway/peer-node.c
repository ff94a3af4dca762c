#include "peer-node.h"

#include <criterion/criterion.h>

#include <string.h>

void
peer_node_start(peer_node *self, int number)
{
    eng_settings settings;
    eng_spec spec = {.id = 7, .service = 1, .slots = 8, .name = "e"};

    memset(self, 0, sizeof *self);
    eng_default_settings(&settings);
    cr_assert(eng_init(&self->endpoints, &settings, NULL));
    shr_init(&self->shares, 4 * LV_SECOND);
    self->endpoint = eng_publish(&self->endpoints, &spec);
    eng_set_service(&self->endpoints, 1, true, 0);
    uv_ip4_addr("127.0.0.1", 9000 + number, &self->address);
    self->peers.settings.bind = self->address;
    self->peers.settings.silence_timeout = LV_SECOND;
    self->peers.settings.forget_timeout = 30 * LV_SECOND;
    self->peers.endpoints = &self->endpoints;
    self->peers.shares = &self->shares;
    self->peers.incarnation = (uint64_t)number + 100;
}

void
peer_node_stop(peer_node *self)
{
    peers_finish(&self->peers);
    shr_finish(&self->shares);
    eng_finish(&self->endpoints);
}
