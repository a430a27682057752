#include "include/quetzal/node/HostHistory.h"

#include "include/quetzal/node/OwnerChoice.h"

#include <algorithm>
#include <utility>

namespace quetzal::node {
namespace {

/** A load that differs from the published one by less than this factor is not published. */
constexpr double kMinPublishedChange = 2;

} // namespace

void
HostHistory::Update(const std::map<std::string, jobs::HostRecord>& aHosts, clock::Moment aNow)
{
  std::erase_if(hosts_, [&](const auto& aEntry) { return !aHosts.contains(aEntry.first); });
  for (const auto& [name, record] : aHosts) {
    UpdateHost(name, record, aNow);
  }
}

void
HostHistory::UpdateHost(const std::string& aName,
                        const jobs::HostRecord& aRecord,
                        clock::Moment aNow)
{
  const auto [seen, isNew] = hosts_.try_emplace(aName, SeenHost{ aRecord, aNow });
  SeenHost& host = seen->second;
  const jobs::HostRecord before = std::exchange(host.record_, aRecord);
  if (before.incarnation_ != aRecord.incarnation_) {
    host.upSince_ = aNow;
  }
  if (aRecord.stopping_ && (isNew || !before.stopping_)) {
    lastStopAt_ = aNow;
  }
  // A former owner's record still names the cell; only what has changed is news.
  if (isNew || before.cellWidths_ != aRecord.cellWidths_) {
    for (const auto& [cell, width] : aRecord.cellWidths_) {
      widths_[cell] = width;
    }
  }
}

std::size_t
HostHistory::WidthOf(const std::string& aCell) const
{
  const auto width = widths_.find(aCell);
  return width == widths_.end() ? 0 : width->second;
}

bool
ShouldPublishWidths(const std::map<std::string, std::size_t>& aPublished,
                    const std::map<std::string, std::size_t>& aCurrent)
{
  return std::any_of(aCurrent.begin(), aCurrent.end(), [&](const auto& aEntry) {
    const auto published = aPublished.find(aEntry.first);
    const std::size_t before = published == aPublished.end() ? 0 : published->second;
    const auto [less, more] = std::minmax(LoadOfCell(aEntry.first, before).load_,
                                          LoadOfCell(aEntry.first, aEntry.second).load_);
    return more >= kMinPublishedChange * less;
  });
}

} // namespace quetzal::node
