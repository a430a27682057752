#pragma once

#include "include/quetzal/clock/Time.h"

#include <QtCore/QObject>
#include <QtCore/QTimer>

namespace quetzal::clock {

/** A deadline that is moved far more often than it expires. Restarting a Qt timer costs more the
 * more timers are active, so postponing the deadline leaves its timer running; when the timer
 * fires too early, it is started again for the time that is left. */
class Deadline : public QObject
{
  Q_OBJECT

public:
  explicit Deadline(QObject* aParent = nullptr);

  /** Sets the deadline to @p aSpan from now. Replaces any earlier deadline. */
  void Set(Milliseconds aSpan);

  /** Cancels the deadline; Passed() is not emitted. */
  void Clear() { set_ = false; }

Q_SIGNALS:
  void Passed();

private:
  void OnTimeout();
  void Arm(Moment aNow);

  QTimer timer_;
  Moment deadline_{};
  Moment armedFor_{};
  bool set_ = false;
};

} // namespace quetzal::clock
