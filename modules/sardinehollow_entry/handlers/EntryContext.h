#pragma once

#include "sardinehollow_entry/claims/ClaimThreadPool.h"
#include "sardinehollow_entry/exchange/ExchangeRegistry.h"
#include "sardinehollow_entry/forwarding/ForwardPool.h"
#include "sardinehollow_entry/handlers/EntryServices.h"
#include "sardinehollow_network/loop/EventLoop.h"

namespace sardinehollow::entry {

/** The objects shared by the requests of one entry server. Loop thread only. */
struct EntryContext
{
    EntryServices &services;
    network::EventLoop &loop;
    ForwardPool &pool;
    ExchangeRegistry &exchanges;
    ClaimThreadPool &claimThreads;
};

} // namespace sardinehollow::entry
