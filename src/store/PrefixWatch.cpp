#include "include/quetzal/store/PrefixWatch.h"

#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QTimer>

namespace quetzal::store {
namespace {

/** Pause before a failed call is repeated. */
constexpr clock::Milliseconds kRetryPause{ 150 };

} // namespace

PrefixWatch::PrefixWatch(SharedStore& aStore,
                         std::string aPrefix,
                         clock::Milliseconds aWait,
                         clock::Milliseconds aPause,
                         QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , prefix_(std::move(aPrefix))
  , wait_(aWait)
  , pause_(aPause)
{
}

void
PrefixWatch::Start()
{
  if (running_) {
    return;
  }
  running_ = true;
  known_ = false;
  ++generation_;
  Read();
}

void
PrefixWatch::Stop()
{
  running_ = false;
  known_ = false;
  ++generation_;
}

void
PrefixWatch::Later(clock::Milliseconds aPause, void (PrefixWatch::*aStep)())
{
  QTimer::singleShot(aPause, this, [this, aStep, generation = generation_] {
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
  if (aResult.status_ != Status::kSucceeded) {
    Later(kRetryPause, &PrefixWatch::Read);
    return;
  }
  std::map<std::string, KeyValue> items;
  for (const KeyValue& item : aResult.items_) {
    items[item.key_] = item;
  }
  const bool differs = items != items_ || !known_;
  items_ = std::move(items);
  revision_ = aResult.revision_;
  known_ = true;
  lastCurrent_ = std::chrono::steady_clock::now();
  if (differs) {
    Q_EMIT Changed();
  }
  if (running_) {
    Follow();
  }
}

void
PrefixWatch::Follow()
{
  const QPointer<PrefixWatch> self(this);
  store_.Watch(
    prefix_, revision_, wait_, [self, generation = generation_](const ChangesResult& aResult) {
      if (self && generation == self->generation_) {
        self->OnChanges(aResult);
      }
    });
}

void
PrefixWatch::OnChanges(const ChangesResult& aResult)
{
  if (aResult.status_ == Status::kCompacted) {
    log::Info("watch", "History is gone, reading anew: prefix=", prefix_, " revision=", revision_);
    Read();
    return;
  }
  if (aResult.status_ != Status::kSucceeded) {
    // A read finds what a watch that fell silent has missed.
    Later(kRetryPause, &PrefixWatch::Read);
    return;
  }
  for (const KeyChange& change : aResult.changes_) {
    Apply(change);
  }
  revision_ = std::max(revision_, aResult.revision_);
  lastCurrent_ = std::chrono::steady_clock::now();
  const bool changed = !aResult.changes_.empty();
  if (changed) {
    Q_EMIT Changed();
  }
  if (!running_) {
    return;
  }
  if (changed && pause_ > clock::Milliseconds(0)) {
    Later(pause_, &PrefixWatch::Follow);
  } else {
    Follow();
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
