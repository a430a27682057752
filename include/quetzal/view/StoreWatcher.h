#pragma once

#include "include/quetzal/platform/KeyValueStore.h"
#include "include/quetzal/view/View.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::view {

/** Follows the document in the platform's store. A watch reports changes at once. The document is
 * also read at a fixed interval, to find changes that the watch did not report because its
 * connection was silent. */
class StoreWatcher : public QObject
{
  Q_OBJECT

public:
  StoreWatcher(platform::KeyValueStore& aStore, const std::string& aEnvironment, QObject* aParent);

  void Start();

Q_SIGNALS:
  /** Emitted when a valid document is in force and its revision is newer than every revision
   * received before. */
  void ViewArrived(const quetzal::view::View& aView);

private:
  void Read();
  void Watch();
  void OnResult(const platform::StoreResult& aResult);

  platform::KeyValueStore& store_;
  std::string key_;
  QTimer readTimer_;
  std::int64_t revision_ = 0;
};

} // namespace quetzal::view
