#include "include/quetzal/store/SharedStore.h"

#include <array>
#include <memory>

namespace quetzal::store {
namespace {

struct Listing
{
  SharedStore* store_;
  std::string prefix_;
  std::function<void(const ReadResult&)> done_;
  ReadResult result_;
};

void
ReadNextPage(const std::shared_ptr<Listing>& aListing)
{
  const std::string after =
    aListing->result_.items_.empty() ? std::string() : aListing->result_.items_.back().key_;
  aListing->store_->List(aListing->prefix_, after, [aListing](const ReadResult& aPage) {
    ReadResult& result = aListing->result_;
    result.status_ = aPage.status_;
    if (aPage.status_ != Status::kSucceeded) {
      aListing->done_(result);
      return;
    }
    // Pages are no snapshot: a watch must begin where the first page was read.
    if (result.revision_ == 0) {
      result.revision_ = aPage.revision_;
    }
    result.items_.insert(result.items_.end(), aPage.items_.begin(), aPage.items_.end());
    if (aPage.hasMore_ && !aPage.items_.empty()) {
      ReadNextPage(aListing);
      return;
    }
    aListing->done_(result);
  });
}

} // namespace

const char*
ToString(Status aStatus)
{
  static constexpr std::array kNames{ "succeeded", "conflict",  "lease-ended",
                                      "refused",   "compacted", "no-answer" };
  return kNames.at(static_cast<std::size_t>(aStatus));
}

void
ListAll(SharedStore& aStore,
        const std::string& aPrefix,
        std::function<void(const ReadResult&)> aDone)
{
  const auto listing = std::make_shared<Listing>();
  listing->store_ = &aStore;
  listing->prefix_ = aPrefix;
  listing->done_ = std::move(aDone);
  ReadNextPage(listing);
}

} // namespace quetzal::store
