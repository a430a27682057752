#include "include/quetzal/view/StoreWatcher.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/settings/Node.h"

namespace quetzal::view {
namespace {

constexpr std::chrono::milliseconds kReadInterval{ 2'000 };
constexpr std::chrono::milliseconds kWatchRetryDelay{ 1'000 };

} // namespace

StoreWatcher::StoreWatcher(platform::KeyValueStore& aStore,
                           const std::string& aEnvironment,
                           QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , key_(DocumentKey(aEnvironment))
{
  connect(&readTimer_, &QTimer::timeout, this, &StoreWatcher::Read);
}

void
StoreWatcher::Start()
{
  readTimer_.start(kReadInterval);
  Read();
  Watch();
}

void
StoreWatcher::Read()
{
  store_.Range(key_, false, [this](const platform::StoreResult& aResult) { OnResult(aResult); });
}

void
StoreWatcher::Watch()
{
  store_.Watch(key_, [this](const platform::StoreResult& aResult) {
    if (aResult.status_ == platform::StoreStatus::kSucceeded) {
      OnResult(aResult);
      return;
    }
    QTimer::singleShot(kWatchRetryDelay, this, &StoreWatcher::Watch);
  });
}

void
StoreWatcher::OnResult(const platform::StoreResult& aResult)
{
  for (const platform::KeyValue& item : aResult.read_) {
    if (item.key_ != key_ || !IsNewer(item.modRevision_, revision_)) {
      continue;
    }
    revision_ = item.modRevision_;
    try {
      const View view = MakeView(item.modRevision_, item.value_);
      log::Info(
        "view", "Document ", view.digest_.substr(0, 12), " is in force at revision ", revision_);
      Q_EMIT ViewArrived(view);
    } catch (const settings::SettingsError& error) {
      log::Warn("view", "Document in the store is invalid and was ignored: ", error.what());
    }
  }
}

} // namespace quetzal::view
