#pragma once

#include "include/quetzal/clock/Time.h"

/** Connections to backend servers: how many to open, which to probe, and the exchanges on them. */
namespace quetzal::connection {

/** Entry hosts that may hold connections to one backend server. */
struct ConnectionHolders
{
  int live_ = 1;
  int leaving_ = 0;
  int replacements_ = 0; ///< Entry hosts that may start before the leaving ones have exited.
};

/** Returns how many connections one entry host may hold, at least 1.
 * @param aConnections how many the backend server accepts from all entry hosts together. */
int
ConnectionCap(int aConnections, const ConnectionHolders& aHolders);

/** Returns whether a connection must be probed before a request is written to it. A request that
 * is not idempotent cannot be retried once it was written to a connection that has gone silent.
 * @param aSilence the time since the last byte arrived on the connection. */
bool
NeedsProbe(bool aIdempotent, clock::Milliseconds aSilence);

} // namespace quetzal::connection
