#include "review/standin-3/Site.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/http/Status.h"

#include <QtCore/QFile>
#include <QtCore/QProcessEnvironment>
#include <algorithm>
#include <csignal>
#include <sys/prctl.h>
#include <unistd.h>

namespace review {
namespace {

using harness::Pause;
using harness::WaitUntil;
using quetzal::adapter::Body;
using quetzal::adapter::BodyWriter;
using quetzal::clock::Milliseconds;
using quetzal::http::Response;
using quetzal::settings::Endpoint;

constexpr int kNetworks = 250;
constexpr std::uint16_t kPlatformPort = 8'621;
constexpr std::uint16_t kCallersPort = 8'624;
constexpr std::uint16_t kMinionPort = 8'080;
constexpr int kStoreHost = 1;
constexpr int kCloudHost = 2;
constexpr int kFirstEntryHost = 10;
constexpr int kFirstMinion = 100;
constexpr int kMinionsOfARack = 4;
constexpr int kZones = 3;
constexpr int kRetries = 4;
constexpr Milliseconds kHeartbeat{ 1'500 };
/** Three check-in intervals. */
constexpr Milliseconds kEntryTime{ 4'500 };
constexpr Milliseconds kRestartDelay{ 500 };
constexpr Milliseconds kTimeBudget{ 3'000 };
constexpr Milliseconds kRetryDelay{ 200 };
constexpr Milliseconds kReadyTimeout{ 30'000 };
constexpr int kEndTimeoutMs = 5'000;

std::string
MakeNetwork()
{
  const auto process = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + process / kNetworks % kNetworks) + "." +
         std::to_string(1 + process % kNetworks) + ".";
}

void
PutStep(BodyWriter& aWriter, const StepOptions& aStep)
{
  const std::size_t extra = (aStep.lasts_ ? 1U : 0U) + (aStep.antiAffinity_ > 0 ? 1U : 0U) +
                            (aStep.mayMiss_ > 0 ? 1U : 0U) + (aStep.requires_.empty() ? 0U : 1U) +
                            (aStep.affinity_.empty() ? 0U : 1U);
  aWriter.Map(4 + extra).Put("count", std::int64_t{ aStep.count_ }).Put("cpu", aStep.cpu_);
  aWriter.Put("mem-mb", aStep.memoryMb_).Put("estimate-ms", aStep.estimateMs_);
  if (aStep.lasts_) {
    aWriter.Key("long-running").PutBool(true);
  }
  if (aStep.antiAffinity_ > 0) {
    aWriter.Put("anti-affinity", std::int64_t{ aStep.antiAffinity_ });
  }
  if (aStep.mayMiss_ > 0) {
    aWriter.Put("may-miss", std::int64_t{ aStep.mayMiss_ });
  }
  if (!aStep.affinity_.empty()) {
    aWriter.Put("affinity", aStep.affinity_);
  }
  if (!aStep.requires_.empty()) {
    aWriter.Put("requires", aStep.requires_);
  }
}

std::string
Encode(const JobOptions& aJob)
{
  BodyWriter writer;
  writer.Map(2).Put("spec", aJob.spec_).Key("steps").List(aJob.steps_.size());
  for (const StepOptions& step : aJob.steps_) {
    PutStep(writer, step);
  }
  return writer.Bytes();
}

} // namespace

std::string
IdOf(int aNumber)
{
  constexpr std::size_t kDigits = 16;
  const std::string digits = std::to_string(aNumber);
  return std::string(kDigits - digits.size(), '0') + digits;
}

Site::Site(const SiteOptions& aOptions, Record& aRecord)
  : options_(aOptions)
  , record_(aRecord)
  , network_(MakeNetwork())
  , cloud_({})
{
  store_ = std::make_unique<quetzal::adapter::standin::Store>(
    Endpoint{ network_ + std::to_string(kStoreHost), kPlatformPort });
  connect(&cloud_, &quetzal::http::Server::ConnectionArrived, this, [this](auto* aConnection) {
    connect(aConnection,
            &quetzal::http::ServerConnection::RequestArrived,
            this,
            [this, aConnection] { ListMachines(aConnection); });
  });
  cloud_.Listen({ network_ + std::to_string(kCloudHost), kPlatformPort });
  for (const ServiceOptions& service : options_.services_) {
    for (int i = 0; i < service.minions_; ++i) {
      const auto index = static_cast<int>(minions_.size());
      MinionOptions minion;
      minion.id_ = "i-" + std::to_string(kFirstMinion + index);
      minion.service_ = service.name_;
      minion.kind_ = index == 0 ? options_.kindOfFirst_ : minion.kind_;
      minion.zone_ = "z" + std::to_string(index % kZones);
      minion.rack_ = "r1-" + std::to_string(index / kMinionsOfARack);
      minion.endpoint_ = { network_ + std::to_string(kFirstMinion + index), kMinionPort };
      minions_.push_back(std::make_unique<Minion>(minion, record_));
    }
  }
  Beat();
  connect(&beatTimer_, &QTimer::timeout, this, &Site::Beat);
  beatTimer_.start(kHeartbeat);
  Configure(options_.queues_);
  hosts_.resize(static_cast<std::size_t>(options_.entryHosts_));
  for (int host = 0; host < options_.entryHosts_; ++host) {
    WriteSettings(host);
    StartHost(host);
  }
}

Site::~Site()
{
  ending_ = true;
  for (EntryHost& host : hosts_) {
    if (host.process_) {
      host.process_->disconnect(this);
      host.process_->kill();
      host.process_->waitForFinished(kEndTimeoutMs);
    }
  }
}

void
Site::WriteSettings(int aHost)
{
  EntryHost& host = hosts_.at(static_cast<std::size_t>(aHost));
  host.address_ = network_ + std::to_string(kFirstEntryHost + aHost);
  host.settingsFile_ = folder_.filePath(QString("local-%1.yaml").arg(aHost)).toStdString();
  std::ofstream text(host.settingsFile_);
  text << "name: \"front-" << aHost << "\"\naddress: \"" << host.address_
       << "\"\navailability_zone: \"z" << aHost % kZones << "\"\nfirst_port: 7060\ncallers: \""
       << host.address_ << ':' << kCallersPort << "\"\nready: \"" << host.address_
       << ":8622\"\nmetrics_port: 9464\nstore:\n  address: \"" << network_ << kStoreHost << ':'
       << kPlatformPort << "\"\nmachines:\n  address: \"" << network_ << kCloudHost << ':'
       << kPlatformPort << "\"\n  orders_per_second: 64.0\n  reads_per_second: 64.0\n"
       << "stop_time_s: 6\nlongest_lease_ms: 6000\nfleet_order_gap_ms: 3000\nretention_s: 120\n"
       << "move_s: 1.5\nmaintenance_s: 2\nfar_factor: 3\nprocessor_share: 0.25\nmemory_mb: "
       << "260\nmax_descriptors: 4100\n";
}

void
Site::StartHost(int aHost)
{
  EntryHost& host = hosts_.at(static_cast<std::size_t>(aHost));
  host.process_ = std::make_unique<QProcess>();
  QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
  environment.insert("QUETZALWHEEL_NODE_FILE", QString::fromStdString(host.settingsFile_));
  host.process_->setProcessEnvironment(environment);
  host.process_->setStandardOutputFile(folder_.filePath(QString("%1.log").arg(aHost)),
                                       QIODevice::Append);
  host.process_->setStandardErrorFile(QProcess::nullDevice());
  // No process outlives a case that is stopped.
  host.process_->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  connect(host.process_.get(), &QProcess::finished, this, [this, aHost] { OnHostEnded(aHost); });
  host.process_->start("target/bin/quetzal-jobd", QStringList());
  record_.Add("front-" + std::to_string(aHost) + " starts");
}

void
Site::OnHostEnded(int aHost)
{
  if (ending_) {
    return;
  }
  record_.Add("front-" + std::to_string(aHost) + " has ended");
  QTimer::singleShot(kRestartDelay, this, [this, aHost] {
    if (!ending_) {
      StartHost(aHost);
    }
  });
}

void
Site::Register(Minion& aMinion)
{
  store_->Put("servers/" + aMinion.Options().id_, aMinion.Registration());
}

void
Site::Beat()
{
  for (const auto& minion : minions_) {
    const std::string& id = minion->Options().id_;
    if (minion->IsUp() && !unregistered_.contains(id) && !lost_.contains(id)) {
      Register(*minion);
    }
  }
}

void
Site::StartAgain(std::size_t aIndex, const std::string& aKind, Milliseconds aDelay)
{
  Minion& minion = MinionAt(aIndex);
  minion.StartAgain(aKind);
  unregistered_.insert(minion.Options().id_);
  QTimer::singleShot(aDelay, Qt::PreciseTimer, this, [this, &minion] {
    unregistered_.erase(minion.Options().id_);
    Register(minion);
    record_.Add("the store shows the new entry of " + minion.Options().id_);
  });
}

void
Site::LoseMinion(std::size_t aIndex)
{
  Minion& minion = MinionAt(aIndex);
  const std::string id = minion.Options().id_;
  minion.SetMode(MinionMode::kLost);
  lost_.insert(id);
  record_.Add(id + " is lost, and no longer in the list of machines");
  QTimer::singleShot(kEntryTime, this, [this, id] {
    store_->Remove("servers/" + id);
    record_.Add("the store removes the entry of " + id);
  });
}

void
Site::KillOwnerOf(const std::string& aService)
{
  // Whom to kill is read from what the processes write; the verdict is not.
  const std::string sought = "event=cell-begun cell=" + aService + " ";
  int owner = -1;
  for (int host = 0; host < options_.entryHosts_; ++host) {
    std::ifstream log(folder_.filePath(QString("%1.log").arg(host)).toStdString());
    for (std::string line; std::getline(log, line);) {
      owner = line.find(sought) == std::string::npos ? owner : host;
    }
  }
  if (owner < 0) {
    throw std::runtime_error("no process owns the cell");
  }
  record_.Add("front-" + std::to_string(owner) + ", which owns the cell, is killed");
  hosts_.at(static_cast<std::size_t>(owner)).process_->kill();
}

void
Site::ListMachines(quetzal::http::ServerConnection* aConnection) const
{
  BodyWriter writer;
  writer.Map(1).Key("machines").List(minions_.size() - lost_.size());
  for (const auto& minion : minions_) {
    if (lost_.contains(minion->Options().id_)) {
      continue;
    }
    const MinionOptions& options = minion->Options();
    writer.Map(7).Put("machine", "m-" + options.id_).Put("pool", options.service_);
    writer.Put("state", std::string("up")).Put("zone", options.zone_).Put("id", options.id_);
    writer.Key("labels").List(2).Put(options.kind_).Put(options.rack_);
    writer.Key("capacity").Map(3).Put("cpu", options.cpu_);
    writer.Put("mem-mb", std::int64_t{ 65'536 }).Put("gpu", std::int64_t{ 0 });
  }
  Response response;
  response.body_ = writer.Bytes();
  aConnection->Answer(response);
}

void
Site::Configure(const std::vector<QueueOptions>& aQueues)
{
  BodyWriter writer;
  writer.Map(3).Put("version", ++version_).Key("routes").List(aQueues.size());
  std::string text = "configuration " + std::to_string(version_) + ":";
  for (const QueueOptions& queue : aQueues) {
    writer.Map(8).Put("name", queue.name_).Put("host", std::string("jobs.example"));
    writer.Put("prefix", "/" + queue.name_ + "/").Put("service", queue.service_);
    writer.Put("priority", std::int64_t{ 0 }).Put("max-attempts", std::int64_t{ 4 });
    writer.Put("stretch", std::int64_t{ 2 }).Put("objective-ms", std::int64_t{ 600 });
    text += " " + queue.name_ + " -> " + queue.service_;
  }
  writer.Key("services").List(options_.services_.size());
  for (const ServiceOptions& service : options_.services_) {
    writer.Map(2).Put("name", service.name_).Key("rejects-overload").PutBool(true);
  }
  store_->Put("op/config", writer.Bytes());
  record_.Add(text);
}

bool
Site::WaitUntilServing()
{
  return WaitUntil(
    [this] {
      for (int host = 0; host < options_.entryHosts_; ++host) {
        for (const QueueOptions& queue : options_.queues_) {
          if (!PendingOf(host, queue.name_)) {
            Pause(kRetryDelay);
            return false;
          }
        }
      }
      return true;
    },
    kReadyTimeout);
}

bool
Site::Runs(const std::string& aTask) const
{
  return std::any_of(minions_.begin(), minions_.end(), [&aTask](const auto& aMinion) {
    return aMinion->Runs(aTask);
  });
}

std::optional<Response>
Site::Call(int aHost,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aBody)
{
  quetzal::http::Request request;
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.fields_ = { { "Host", "jobs.example" },
                      { "Content-Type", "application/msgpack" },
                      { "X-Quetzalwheel-Deadline", std::to_string(kTimeBudget.count()) } };
  request.body_ = aBody;
  const std::string& address = hosts_.at(static_cast<std::size_t>(aHost)).address_;
  harness::Call call({ address, kCallersPort }, request);
  WaitUntil([&call] { return call.IsDone(); }, kTimeBudget);
  return call.IsDone() ? call.Wait() : std::nullopt;
}

unsigned
Site::Submit(int aHost, const std::string& aQueue, const std::string& aId, const JobOptions& aJob)
{
  const auto answer = Call(aHost, "POST", "/" + aQueue + "/" + aId, Encode(aJob));
  const unsigned status = answer ? answer->status_ : 0;
  record_.Add("POST " + aQueue + "/" + aId + " at front-" + std::to_string(aHost) + ": " +
              std::to_string(status));
  return status;
}

unsigned
Site::SubmitWithRetries(int aHost,
                        const std::string& aQueue,
                        const std::string& aId,
                        const JobOptions& aJob)
{
  unsigned status = 0;
  for (int attempt = 0; attempt <= kRetries; ++attempt) {
    status = Submit((aHost + attempt) % options_.entryHosts_, aQueue, aId, aJob);
    if (status == quetzal::http::status::kOk) {
      break;
    }
    Pause(kRetryDelay);
  }
  return status;
}

std::string
Site::StateOf(int aHost, const std::string& aQueue, const std::string& aId)
{
  const auto answer = Call(aHost, "GET", "/" + aQueue + "/" + aId, {});
  if (!answer || answer->status_ != quetzal::http::status::kOk) {
    return "status " + std::to_string(answer ? answer->status_ : 0);
  }
  const auto body = Body::Decode(answer->body_);
  return body ? body->Root()["state"].Text() : "unreadable";
}

std::optional<std::int64_t>
Site::PendingOf(int aHost, const std::string& aQueue)
{
  const auto answer = Call(aHost, "GET", "/" + aQueue + "/", {});
  if (!answer || answer->status_ != quetzal::http::status::kOk) {
    return std::nullopt;
  }
  const auto body = Body::Decode(answer->body_);
  return body ? body->Root()["pending"].AsInteger() : std::nullopt;
}

} // namespace review
