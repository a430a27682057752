#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/store/SharedStore.h"

#include <QtCore/QObject>
#include <map>

namespace quetzal::store {

/** Keeps a copy of all keys with a prefix: reads them once, then watches for changes. Reads all
 * keys again if changes may have been missed. */
class PrefixWatch : public QObject
{
  Q_OBJECT

public:
  /** @param aMaxWait how long one watch call waits for changes.
   *  @param aBatchDelay delay between a watch call that returned changes and the next one, so that
   *  several changes are returned together. */
  PrefixWatch(SharedStore& aStore,
              std::string aPrefix,
              clock::Milliseconds aMaxWait,
              clock::Milliseconds aBatchDelay,
              QObject* aParent);

  void Start();
  void Stop();

  /** Returns whether the keys have been read at least once since Start(). */
  bool IsLoaded() const { return loaded_; }

  /** Returns when the copy was last confirmed to match the store. */
  clock::Moment LastSyncedAt() const { return lastSyncedAt_; }

  /** Returns whether the last call to the store has failed. */
  bool IsFailing() const { return failing_; }

  const std::map<std::string, KeyValue>& Items() const { return items_; }

Q_SIGNALS:
  /** Emitted when the copy has changed, and after the first read. */
  void Changed();

private:
  void Read();
  void WatchChanges();
  void OnRead(const ReadResult& aResult);
  void OnChanges(const ChangesResult& aResult);
  void Apply(const KeyChange& aChange);
  void Schedule(clock::Milliseconds aDelay, void (PrefixWatch::*aStep)());

  SharedStore& store_;
  std::string prefix_;
  clock::Milliseconds maxWait_;
  clock::Milliseconds batchDelay_;
  std::map<std::string, KeyValue> items_;
  std::int64_t revision_ = 0;
  clock::Moment lastSyncedAt_{};
  int generation_ = 0; ///< Answers to calls of earlier generations are ignored.
  bool loaded_ = false;
  bool running_ = false;
  bool failing_ = false;
};

} // namespace quetzal::store
