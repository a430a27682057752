#pragma once

#include "include/quetzal/shares/GrantTable.h"
#include "include/quetzal/shares/ShareMessages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal::shares {

/** A backend server whose slots may be granted. */
struct GrantedServer
{
  int slots_ = 0;
  clock::Milliseconds maxRequestTime_{ 0 };
  std::string availabilityZone_;
};

/** Grants shares on behalf of one entry host, and keeps a table for each backend server whose slots
 * this entry host grants. */
class Granter
{
public:
  explicit Granter(clock::Milliseconds aTerm);

  /** Answers a request.
   * @param aServers every backend server of the document, by "service@host".
   * @param aGrants returns whether this entry host grants a backend server's slots now.
   * @param aEntryHosts every configured entry host: once each of them has reported, all shares that
   * a predecessor granted are known. */
  ShareAnswer Answer(const ShareRequest& aRequest,
                     const std::map<std::string, GrantedServer>& aServers,
                     const std::function<bool(const std::string&)>& aGrants,
                     const std::vector<std::string>& aEntryHosts,
                     clock::Moment aNow);

  /** Removes the tables of backend servers whose slots this entry host no longer grants. */
  void RemoveUngranted(const std::function<bool(const std::string&)>& aGrants);

  /** Returns the backend servers whose tables are frozen. */
  std::vector<std::string> FrozenServers(clock::Moment aNow) const;

  /** Returns the number of backend servers whose slots are granted here. */
  std::size_t Count() const { return servers_.size(); }

  /** Freezes every table, after a stall of this process during which other entry hosts may have
   * granted the same slots. */
  void FreezeAll(clock::Moment aNow);

private:
  struct ServerGrants
  {
    GrantTable table_;
    std::set<std::string> reportedHosts_; ///< Reported since the table was created or last frozen.
    clock::Milliseconds maxRequestTime_{ 0 };
  };

  int GrantShare(const ShareRequestEntry& aEntry,
                 const std::string& aHolder,
                 const GrantedServer& aServer,
                 const std::vector<std::string>& aEntryHosts,
                 clock::Moment aNow);

  clock::Milliseconds term_;
  std::map<std::string, ServerGrants> servers_;
};

/** Returns the name of the entry host from a holder's name, which also identifies the process. */
std::string
EntryHostOf(const std::string& aHolder);

} // namespace quetzal::shares
