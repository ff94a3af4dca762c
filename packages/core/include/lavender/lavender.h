/*
 * Includes the public headers of liblavender, the coordination library of
 * lavenderproxy.
 */
#ifndef LAVENDER_H
#define LAVENDER_H

#include "lavender/catalogue.h"
#include "lavender/dispatcher.h"
#include "lavender/document.h"
#include "lavender/entry.h"
#include "lavender/error.h"
#include "lavender/evacuation.h"
#include "lavender/fetch.h"
#include "lavender/hash.h"
#include "lavender/heap.h"
#include "lavender/host.h"
#include "lavender/ledger.h"
#include "lavender/limits.h"
#include "lavender/locality.h"
#include "lavender/map.h"
#include "lavender/membership.h"
#include "lavender/message.h"
#include "lavender/metrics.h"
#include "lavender/node.h"
#include "lavender/outcome.h"
#include "lavender/placement.h"
#include "lavender/root.h"
#include "lavender/ticket.h"
#include "lavender/types.h"
#include "lavender/versions.h"
#include "lavender/world.h"

#endif
