#pragma once

#include "include/quetzal/shares/GrantTable.h"
#include "include/quetzal/shares/ShareMessages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal::shares {

/** What the granting side must know of one backend server. */
struct GrantedServer
{
  int slots_ = 0;
  clock::Milliseconds maxRequestTime_{ 0 };
  std::string availabilityZone_;
};

/** The granting side of one entry host: one book for each backend server that it grants. */
class Granter
{
public:
  explicit Granter(clock::Milliseconds aTerm);

  /** Answers a request.
   * @param aServers every backend server of the document, by "service@host".
   * @param aGrants tells whether this entry host grants a backend server now.
   * @param aEntryHosts every configured entry host: once each has reported, nothing that a
   * predecessor granted can be unknown. */
  ShareAnswer Answer(const ShareRequest& aRequest,
                     const std::map<std::string, GrantedServer>& aServers,
                     const std::function<bool(const std::string&)>& aGrants,
                     const std::vector<std::string>& aEntryHosts,
                     clock::Moment aNow);

  /** Forgets the books of backend servers that this entry host does not grant any more. */
  void RemoveUngranted(const std::function<bool(const std::string&)>& aGrants);

  /** Returns the backend servers whose books are closed. */
  std::vector<std::string> FrozenServers(clock::Moment aNow) const;

  /** Returns how many backend servers' slots are granted here. */
  std::size_t Count() const { return servers_.size(); }

  /** Closes every book for a while: this process has stood still, others may have granted. */
  void FreezeAll(clock::Moment aNow);

private:
  struct ServerGrants
  {
    GrantTable table_;
    std::set<std::string> reportedHosts_; ///< Entry hosts heard since the book was opened.
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

/** Returns the entry host's name in a holder's name, which also names the process. */
std::string
EntryHostOf(const std::string& aHolder);

} // namespace quetzal::shares
