/** standin-backend: stand-in for one backend server, for tests and the demo. */

#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"
#include "standins/backend/BackendServer.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QTimer>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

/** How long the health check fails before the process ends. */
constexpr std::chrono::milliseconds kLeaveTime{ 3'000 };

} // namespace

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Stands in for a backend server.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> name("n", "name", "Name in reports", true, "", "name", line);
    TCLAP::ValueArg<std::string> address("a", "address", "IP address", true, "", "address", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "TCP port", false, 8000, "port", line);
    TCLAP::ValueArg<std::uint16_t> control(
      "c", "control", "TCP port of control calls", false, 9000, "port", line);
    TCLAP::ValueArg<std::string> record(
      "r", "record", "File for the report at the end", false, "", "file", line);
    line.parse(aCount, aArguments);
    using standins::backend::BackendServer;
    BackendServer server(name.getValue());
    const quetzal::process::StopSignals signals;
    QObject::connect(&signals, &quetzal::process::StopSignals::StopRequested, &server, [&server] {
      // The health check fails first, so that no new requests are sent to the ending process.
      server.SetLeaving();
      QTimer::singleShot(kLeaveTime, &server, &BackendServer::Stop);
    });
    QObject::connect(&server, &BackendServer::Stopped, qApp, &QCoreApplication::quit);
    server.Listen({ address.getValue(), port.getValue() },
                  { address.getValue(), control.getValue() });
    quetzal::process::AnnounceReady();
    const int code = QCoreApplication::exec();
    if (!record.getValue().empty()) {
      std::ofstream(record.getValue()) << server.Report();
    }
    return code;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
