#pragma once

#include <QtCore/QCoreApplication>

namespace quetzal::process {

/** The Qt application of every binary, with its event loop (event/UvDispatcher). Connections go
 * straight to their address: Qt would otherwise look up the system's proxies, on a thread of its
 * own, for each new connection. */
class Application : public QCoreApplication
{
public:
  Application(int& aCount, char** aArguments);
};

} // namespace quetzal::process
