#pragma once

#include <QtCore/QCoreApplication>

namespace harness {

/** The event loop of a test program, for all of its tests. */
struct Application
{
  Application()
    : application_(count_, arguments_)
  {
  }

  int count_ = 1;
  char name_[6] = "tests";
  char* arguments_[2] = { name_, nullptr };
  QCoreApplication application_;
};

} // namespace harness
