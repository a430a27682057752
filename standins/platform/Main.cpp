/** standin-platform: stand-in for the platform's key-value service and host list, for tests and the
 * demo. */

#include "include/quetzal/log/Log.h"
#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"
#include "standins/platform/PlatformServer.h"

#include <QtCore/QCoreApplication>
#include <iostream>
#include <tclap/CmdLine.h>

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Stands in for the platform.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "IP address", true, "", "address", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "TCP port", false, 2379, "port", line);
    line.parse(aCount, aArguments);
    standins::platform::PlatformServer server;
    const quetzal::process::StopSignals signals;
    QObject::connect(
      &signals, &quetzal::process::StopSignals::StopRequested, qApp, &QCoreApplication::quit);
    server.Listen({ address.getValue(), port.getValue() });
    quetzal::process::AnnounceReady();
    return QCoreApplication::exec();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
