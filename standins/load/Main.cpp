/** quetzal-load: sends load to entry hosts and checks outcomes against the backend servers'
 * records. */

#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"
#include "standins/load/LoadRun.h"

#include <QtCore/QCoreApplication>
#include <QtCore/QEventLoop>
#include <QtCore/QFile>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <QtNetwork/QNetworkAccessManager>
#include <QtNetwork/QNetworkReply>
#include <algorithm>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using quetzal::settings::ParseEndpoint;
using standins::load::LoadRecord;

/** The combined reports of the backend servers. */
struct Runs
{
  std::map<std::string, int> byId_;
  int mostInFlight_ = 0;
  int mostConnections_ = 0;
};

QByteArray
FetchReport(QNetworkAccessManager& aNetwork, const std::string& aControl)
{
  const QUrl url(QString::fromStdString("http://" + aControl + "/control/report"));
  QNetworkReply* reply = aNetwork.get(QNetworkRequest(url));
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  reply->deleteLater();
  return reply->readAll();
}

void
AddReport(Runs& aRuns, const QByteArray& aBytes)
{
  const QJsonObject report = QJsonDocument::fromJson(aBytes).object();
  const QJsonObject byId = report["runs"].toObject();
  for (const QString& id : byId.keys()) {
    aRuns.byId_[id.toStdString()] += byId[id].toInt();
  }
  aRuns.mostInFlight_ = std::max(aRuns.mostInFlight_, report["most_in_flight"].toInt());
  aRuns.mostConnections_ = std::max(aRuns.mostConnections_, report["most_connections"].toInt());
}

/** Reads reports from running backend servers and from the files of those that have ended. */
Runs
ReadRuns(const std::vector<std::string>& aControls, const std::vector<std::string>& aFiles)
{
  Runs runs;
  QNetworkAccessManager network;
  for (const std::string& control : aControls) {
    AddReport(runs, FetchReport(network, control));
  }
  for (const std::string& name : aFiles) {
    QFile file(QString::fromStdString(name));
    if (file.open(QIODevice::ReadOnly)) {
      AddReport(runs, file.readAll());
    }
  }
  return runs;
}

double
Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(index), aValues.end());
  return aValues[index];
}

/** Returns whether the outcome allows this number of runs. */
bool
IsAllowed(const LoadRecord& aRecord, int aRuns, bool aIdempotent)
{
  if (aRecord.outcome_ == "answered") {
    return aIdempotent ? aRuns >= 1 : aRuns == 1;
  }
  if (aRecord.outcome_ == "not-run") {
    return aRuns == 0;
  }
  return aIdempotent || aRuns <= 1;
}

/** Prints the send times of the first and the last request that was not answered. */
void
PrintFailureSpan(const std::vector<LoadRecord>& aRecords)
{
  double first = -1;
  double last = -1;
  for (const LoadRecord& record : aRecords) {
    if (record.outcome_ == "answered") {
      continue;
    }
    first = first < 0 ? record.sentAt_ : std::min(first, record.sentAt_);
    last = std::max(last, record.sentAt_);
  }
  if (first >= 0) {
    std::cout << "  not answered: sent from " << first << " ms to " << last << " ms\n";
  }
}

int
Report(const std::vector<LoadRecord>& aRecords, const Runs& aRuns, bool aChecks, bool aIdempotent)
{
  std::map<std::string, int> outcomes;
  std::map<std::string, int> reasons;
  std::vector<double> answered;
  int wrong = 0;
  for (const LoadRecord& record : aRecords) {
    ++outcomes[record.outcome_];
    if (!record.reason_.empty()) {
      ++reasons[record.reason_];
    }
    if (record.outcome_ == "answered") {
      answered.push_back(record.milliseconds_);
    }
    const auto found = aRuns.byId_.find(record.id_);
    const int count = found == aRuns.byId_.end() ? 0 : found->second;
    if (aChecks && !IsAllowed(record, count, aIdempotent)) {
      ++wrong;
      std::cout << "WRONG " << record.id_ << " was told " << record.outcome_ << " and ran " << count
                << " times\n";
    }
  }
  std::cout << "requests " << aRecords.size();
  for (const auto& [outcome, count] : outcomes) {
    std::cout << "  " << (outcome.empty() ? "none" : outcome) << ' ' << count;
  }
  std::cout << "  p50 " << Percentile(answered, 0.5) << " ms  p99 " << Percentile(answered, 0.99)
            << " ms\n";
  for (const auto& [reason, count] : reasons) {
    std::cout << "  refused: " << reason << ' ' << count << '\n';
  }
  PrintFailureSpan(aRecords);
  if (aChecks) {
    std::cout << "  backend servers: most in flight " << aRuns.mostInFlight_
              << ", most connections " << aRuns.mostConnections_ << ", wrong " << wrong << '\n';
  }
  const bool cut = outcomes.contains("cut") || outcomes.contains("");
  return wrong > 0 || cut ? quetzal::process::kExitFailure : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  try {
    TCLAP::CmdLine line("Sends load to entry hosts.", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> targets("t", "target", "Entry host", true, "address", line);
    TCLAP::MultiArg<std::string> controls(
      "b", "backend", "Control address of a backend server", false, "address", line);
    TCLAP::MultiArg<std::string> files(
      "f", "file", "Report of a backend server that has ended", false, "file", line);
    TCLAP::ValueArg<std::string> service("s", "service", "Service", true, "", "name", line);
    TCLAP::ValueArg<std::string> path("", "path", "Path with query", false, "/", "path", line);
    TCLAP::ValueArg<std::string> method("m", "method", "Method", false, "GET", "method", line);
    TCLAP::ValueArg<std::string> prefix(
      "i", "ids", "Prefix of request ids", false, "load", "text", line);
    TCLAP::SwitchArg keyed("k", "keyed", "Send Idempotency-Key", line);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests a second", false, 100, "number", line);
    TCLAP::ValueArg<int> inFlight(
      "n", "in-flight", "Closed loop with so many requests in flight", false, 0, "number", line);
    TCLAP::SwitchArg direct("", "direct", "Targets are backend servers: send the bare path", line);
    TCLAP::ValueArg<int> time("d", "duration-ms", "Duration", false, 1000, "ms", line);
    TCLAP::ValueArg<int> deadline("l", "deadline-ms", "Deadline", false, 2000, "ms", line);
    line.parse(aCount, aArguments);
    standins::load::LoadOptions options;
    for (const std::string& target : targets.getValue()) {
      options.targets_.push_back(ParseEndpoint("address", target));
    }
    options.service_ = service.getValue();
    options.path_ = path.getValue();
    options.method_ = method.getValue();
    options.idPrefix_ = prefix.getValue();
    options.keyed_ = keyed.getValue();
    options.perSecond_ = rate.getValue();
    options.inFlight_ = inFlight.getValue();
    options.direct_ = direct.getValue();
    options.duration_ = std::chrono::milliseconds(time.getValue());
    options.deadline_ = std::chrono::milliseconds(deadline.getValue());
    standins::load::LoadRun run(options);
    QObject::connect(
      &run, &standins::load::LoadRun::Ended, qApp, &QCoreApplication::quit, Qt::QueuedConnection);
    run.Start();
    QCoreApplication::exec();
    const bool idempotent = options.method_ != "POST" && options.method_ != "PATCH";
    const Runs runs = ReadRuns(controls.getValue(), files.getValue());
    return Report(run.Records(), runs, !controls.getValue().empty(), idempotent);
  } catch (const quetzal::settings::SettingsError& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
