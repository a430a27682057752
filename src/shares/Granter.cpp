#include "include/quetzal/shares/Granter.h"

#include <algorithm>

namespace quetzal::shares {

std::string
EntryHostOf(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('#'));
}

Granter::Granter(clock::Milliseconds aTerm)
  : term_(aTerm)
{
}

ShareAnswer
Granter::Answer(const ShareRequest& aRequest,
                const std::map<std::string, GrantedServer>& aServers,
                const std::function<bool(const std::string&)>& aGrants,
                const std::vector<std::string>& aEntryHosts,
                clock::Moment aNow)
{
  ShareAnswer answer{ {}, aRequest.number_, {} };
  for (const ShareRequestEntry& entry : aRequest.entries_) {
    const auto server = aServers.find(entry.server_);
    const bool grants = server != aServers.end() && aGrants(entry.server_);
    const int granted =
      grants ? GrantShare(entry, aRequest.from_, server->second, aEntryHosts, aNow) : kNotGranting;
    answer.entries_.push_back({ entry.server_, granted });
  }
  return answer;
}

int
Granter::GrantShare(const ShareRequestEntry& aEntry,
                    const std::string& aHolder,
                    const GrantedServer& aServer,
                    const std::vector<std::string>& aEntryHosts,
                    clock::Moment aNow)
{
  const auto [position, isNew] = servers_.try_emplace(aEntry.server_);
  ServerGrants& grants = position->second;
  const ShareTerms terms{ term_, aServer.maxRequestTime_ };
  grants.maxRequestTime_ = aServer.maxRequestTime_;
  grants.table_.slots_ = aServer.slots_;
  if (isNew) {
    grants.table_.frozenUntil_ = aNow + terms.term_ + terms.maxRequestTime_;
  }
  grants.reportedHosts_.insert(EntryHostOf(aHolder));
  const bool allReported =
    std::all_of(aEntryHosts.begin(), aEntryHosts.end(), [&grants](const std::string& aName) {
      return grants.reportedHosts_.contains(aName);
    });
  if (allReported) {
    grants.table_.frozenUntil_ = std::min(grants.table_.frozenUntil_, aNow);
  }
  return Grant(
    grants.table_, aHolder, { aEntry.held_, aEntry.inUse_, aEntry.wanted_ }, terms, aNow);
}

void
Granter::RemoveUngranted(const std::function<bool(const std::string&)>& aGrants)
{
  std::erase_if(servers_, [&aGrants](const auto& aItem) { return !aGrants(aItem.first); });
}

std::vector<std::string>
Granter::FrozenServers(clock::Moment aNow) const
{
  std::vector<std::string> frozen;
  for (const auto& [server, grants] : servers_) {
    if (aNow < grants.table_.frozenUntil_) {
      frozen.push_back(server);
    }
  }
  return frozen;
}

void
Granter::FreezeAll(clock::Moment aNow)
{
  for (auto& [server, grants] : servers_) {
    grants.reportedHosts_.clear();
    grants.table_.frozenUntil_ = aNow + term_ + grants.maxRequestTime_;
  }
}

} // namespace quetzal::shares
