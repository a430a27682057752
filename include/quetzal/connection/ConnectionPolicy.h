#pragma once

#include "include/quetzal/clock/Time.h"

/** The connections to backend servers: how many, and which of them can be trusted. */
namespace quetzal::connection {

/** Entry hosts that may hold connections to one backend server. */
struct ConnectionHolders
{
  int live_ = 1;
  int leaving_ = 0;
  int replacements_ = 0; ///< Entry hosts that may start before leaving ones have ended.
};

/** Returns how many connections one entry host may hold, at least 1.
 * @param aConnections what the backend server takes from all entry hosts together. */
int
ConnectionCap(int aConnections, const ConnectionHolders& aHolders);

/** Tells whether a connection must be proven before a request is written to it. A request that
 * is not idempotent cannot be sent again after it was written to a connection that went silent.
 * @param aSilence the time since the last byte arrived on the connection. */
bool
NeedsProbe(bool aIdempotent, clock::Milliseconds aSilence);

} // namespace quetzal::connection
