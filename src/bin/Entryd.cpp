/** quetzal-entryd: serves callers on one entry host. */

#include "include/quetzal/entry/EntryProcess.h"
#include "include/quetzal/log/Log.h"
#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"

#include <QtCore/QCoreApplication>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

int
Serve(const quetzal::entry::EntrySettings& aSettings)
{
  quetzal::entry::EntryProcess process(aSettings);
  quetzal::process::StopSignals signals;
  using quetzal::entry::EntryProcess;
  using quetzal::process::StopSignals;
  QObject::connect(&signals, &StopSignals::StopRequested, &process, &EntryProcess::Stop);
  QObject::connect(
    &process, &EntryProcess::Stopped, qApp, &QCoreApplication::quit, Qt::QueuedConnection);
  process.Start();
  quetzal::process::AnnounceReady();
  return QCoreApplication::exec();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Serves callers on one entry host.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings(
      "s", "settings", "Settings (YAML)", true, "", "file", line);
    line.parse(aCount, aArguments);
    const auto checked = quetzal::entry::MakeEntrySettings(settings.getValue());
    quetzal::log::Start(checked.name_, quetzal::log::Level::kInfo);
    return Serve(checked);
  } catch (const quetzal::settings::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
