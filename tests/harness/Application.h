#pragma once

#include "include/quetzal/process/Application.h"

namespace harness {

/** The Qt application whose event loop all tests of a program share. */
struct Application
{
  Application()
    : application_(count_, arguments_)
  {
  }

  int count_ = 1;
  char name_[6] = "tests";
  char* arguments_[2] = { name_, nullptr };
  quetzal::process::Application application_;
};

} // namespace harness
