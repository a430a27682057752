#include "include/quetzal/store/PrefixWatch.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>

namespace quetzal::store {
namespace {

constexpr clock::Milliseconds kRetryDelay{ 150 };

} // namespace

PrefixWatch::PrefixWatch(SharedStore& aStore,
                         std::string aPrefix,
                         clock::Milliseconds aMaxWait,
                         clock::Milliseconds aBatchDelay,
                         QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , prefix_(std::move(aPrefix))
  , maxWait_(aMaxWait)
  , batchDelay_(aBatchDelay)
{
}

void
PrefixWatch::Start()
{
  if (running_) {
    return;
  }
  running_ = true;
  loaded_ = false;
  ++generation_;
  Read();
}

void
PrefixWatch::Stop()
{
  running_ = false;
  loaded_ = false;
  ++generation_;
}

void
PrefixWatch::Schedule(clock::Milliseconds aDelay, void (PrefixWatch::*aStep)())
{
  QTimer::singleShot(aDelay, this, [this, aStep, generation = generation_] {
    if (generation == generation_) {
      (this->*aStep)();
    }
  });
}

void
PrefixWatch::Read()
{
  const QPointer<PrefixWatch> self(this);
  ListAll(store_, prefix_, [self, generation = generation_](const ReadResult& aResult) {
    if (self && generation == self->generation_) {
      self->OnRead(aResult);
    }
  });
}

void
PrefixWatch::OnRead(const ReadResult& aResult)
{
  failing_ = aResult.status_ != Status::kSucceeded;
  if (failing_) {
    Schedule(kRetryDelay, &PrefixWatch::Read);
    return;
  }
  std::map<std::string, KeyValue> items;
  for (const KeyValue& item : aResult.items_) {
    items[item.key_] = item;
  }
  const bool differs = items != items_ || !loaded_;
  items_ = std::move(items);
  revision_ = aResult.revision_;
  loaded_ = true;
  lastSyncedAt_ = std::chrono::steady_clock::now();
  if (differs) {
    Q_EMIT Changed();
  }
  if (running_) {
    WatchChanges();
  }
}

void
PrefixWatch::WatchChanges()
{
  const QPointer<PrefixWatch> self(this);
  store_.Watch(
    prefix_, revision_, maxWait_, [self, generation = generation_](const ChangesResult& aResult) {
      if (self && generation == self->generation_) {
        self->OnChanges(aResult);
      }
    });
}

void
PrefixWatch::OnChanges(const ChangesResult& aResult)
{
  if (aResult.status_ == Status::kCompacted) {
    log::Info("watch",
              "Change history was compacted, reading all keys again: prefix=",
              prefix_,
              " revision=",
              revision_);
    Read();
    return;
  }
  failing_ = aResult.status_ != Status::kSucceeded;
  if (failing_) {
    // A full read finds the changes that the failed watch may have missed.
    Schedule(kRetryDelay, &PrefixWatch::Read);
    return;
  }
  for (const KeyChange& change : aResult.changes_) {
    Apply(change);
  }
  revision_ = std::max(revision_, aResult.revision_);
  lastSyncedAt_ = std::chrono::steady_clock::now();
  const bool changed = !aResult.changes_.empty();
  if (changed) {
    Q_EMIT Changed();
  }
  if (!running_) {
    return;
  }
  if (changed && batchDelay_ > clock::Milliseconds(0)) {
    Schedule(batchDelay_, &PrefixWatch::WatchChanges);
  } else {
    WatchChanges();
  }
}

void
PrefixWatch::Apply(const KeyChange& aChange)
{
  const auto known = items_.find(aChange.item_.key_);
  if (known != items_.end() && known->second.modRevision_ > aChange.item_.modRevision_) {
    return;
  }
  if (aChange.deleted_) {
    items_.erase(aChange.item_.key_);
  } else {
    items_[aChange.item_.key_] = aChange.item_;
  }
}

} // namespace quetzal::store
