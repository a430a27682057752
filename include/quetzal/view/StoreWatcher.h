#pragma once

#include "include/quetzal/platform/KeyValueStore.h"
#include "include/quetzal/view/View.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::view {

/** Follows the document in the platform's store. A watch reports changes at once; reads at a fixed
 * interval find the changes that a silent watch has missed. */
class StoreWatcher : public QObject
{
  Q_OBJECT

public:
  StoreWatcher(platform::KeyValueStore& aStore, const std::string& aEnvironment, QObject* aParent);

  void Start();

Q_SIGNALS:
  /** Emitted when a valid document of a newer revision than any before it is in force. */
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
