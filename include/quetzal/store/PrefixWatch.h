#pragma once

#include "include/quetzal/clock/Time.h"
#include "include/quetzal/store/SharedStore.h"

#include <QtCore/QObject>
#include <map>

namespace quetzal::store {

/** Keeps a copy of all keys with a prefix: reads them, then follows their changes. It reads anew
 * where changes were missed. */
class PrefixWatch : public QObject
{
  Q_OBJECT

public:
  /** @param aMaxWait how long one call waits for changes; @param aBatchDelay how long changes are
   * gathered before the next call. */
  PrefixWatch(SharedStore& aStore,
              std::string aPrefix,
              clock::Milliseconds aMaxWait,
              clock::Milliseconds aBatchDelay,
              QObject* aParent);

  void Start();
  void Stop();

  /** Tells whether the keys have been read at least once since Start(). */
  bool IsLoaded() const { return loaded_; }

  /** The moment at which the copy was last known to be current. */
  clock::Moment LastSyncedAt() const { return lastSyncedAt_; }

  const std::map<std::string, KeyValue>& Items() const { return items_; }

Q_SIGNALS:
  /** Something changed, or was read for the first time. */
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
  int generation_ = 0; ///< Calls of earlier generations are ignored.
  bool loaded_ = false;
  bool running_ = false;
};

} // namespace quetzal::store
