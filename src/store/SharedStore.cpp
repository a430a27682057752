#include "include/quetzal/store/SharedStore.h"

#include <array>
#include <memory>

namespace quetzal::store {
namespace {

struct PagedRead
{
  SharedStore* store_;
  std::string prefix_;
  std::function<void(const ReadResult&)> done_;
  ReadResult result_;
};

void
ReadNextPage(const std::shared_ptr<PagedRead>& aRead)
{
  const std::string after =
    aRead->result_.items_.empty() ? std::string() : aRead->result_.items_.back().key_;
  aRead->store_->List(aRead->prefix_, after, [aRead](const ReadResult& aPage) {
    ReadResult& result = aRead->result_;
    result.status_ = aPage.status_;
    if (aPage.status_ != Status::kSucceeded) {
      aRead->done_(result);
      return;
    }
    // Pages are read at different revisions, so a watch must start from that of the first page.
    if (result.revision_ == 0) {
      result.revision_ = aPage.revision_;
    }
    result.items_.insert(result.items_.end(), aPage.items_.begin(), aPage.items_.end());
    if (aPage.hasMore_ && !aPage.items_.empty()) {
      ReadNextPage(aRead);
      return;
    }
    aRead->done_(result);
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
  const auto read = std::make_shared<PagedRead>();
  read->store_ = &aStore;
  read->prefix_ = aPrefix;
  read->done_ = std::move(aDone);
  ReadNextPage(read);
}

} // namespace quetzal::store
