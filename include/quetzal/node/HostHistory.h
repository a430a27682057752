#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/jobs/Records.h"

#include <map>
#include <string>

/** What a host has seen of the entry hosts over time. */
namespace quetzal::node {

/** Remembers what the hosts' records alone do not say: since when each host is up, when one last
 * announced its stop, and how wide the cells of hosts that have left were. */
class HostHistory
{
public:
  /** @param aHosts the records of all live hosts, by name. */
  void Update(const std::map<std::string, jobs::HostRecord>& aHosts, clock::Moment aNow);

  /** Returns when this incarnation of a host was first seen. @param aHost a live host. */
  clock::Moment UpSince(const std::string& aHost) const { return hosts_.at(aHost).upSince_; }

  /** Returns when a host was last seen to begin its stop. */
  clock::Moment LastStopAt() const { return lastStopAt_; }

  /** Returns the last published width of a cell; 0 if none was seen. */
  std::size_t WidthOf(const std::string& aCell) const;

private:
  struct SeenHost
  {
    jobs::HostRecord record_;
    clock::Moment upSince_{};
  };

  void UpdateHost(const std::string& aName, const jobs::HostRecord& aRecord, clock::Moment aNow);

  std::map<std::string, SeenHost> hosts_;
  std::map<std::string, std::size_t> widths_; ///< By cell.
  clock::Moment lastStopAt_{};
};

/** Returns whether the widths of a host's cells differ so much from the published ones that other
 * hosts would choose owners differently. */
bool
ShouldPublishWidths(const std::map<std::string, std::size_t>& aPublished,
                    const std::map<std::string, std::size_t>& aCurrent);

} // namespace quetzal::node
