/** standin-proxy: a fault-injecting TCP proxy in front of one address. */

#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"
#include "standins/proxy/FaultProxy.h"

#include <QtCore/QCoreApplication>
#include <iostream>
#include <tclap/CmdLine.h>

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Injects faults between two ends.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "IP address", true, "", "address", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "TCP port", true, 0, "port", line);
    TCLAP::ValueArg<std::uint16_t> control(
      "c", "control", "TCP port of control calls", false, 9000, "port", line);
    TCLAP::ValueArg<std::string> target(
      "t", "target", "Target's address", true, "", "address", line);
    TCLAP::ValueArg<std::uint16_t> targetPort(
      "q", "target-port", "Target's port", true, 0, "port", line);
    line.parse(aCount, aArguments);
    standins::proxy::FaultProxy proxy({ target.getValue(), targetPort.getValue() });
    const quetzal::process::StopSignals signals;
    QObject::connect(
      &signals, &quetzal::process::StopSignals::StopRequested, qApp, &QCoreApplication::quit);
    proxy.Listen({ address.getValue(), port.getValue() },
                 { address.getValue(), control.getValue() });
    quetzal::process::AnnounceReady();
    return QCoreApplication::exec();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
