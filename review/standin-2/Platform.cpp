#include "review/standin-2/Platform.h"

#include "include/quetzal/http/Status.h"

#include <QtNetwork/QTcpServer>
#include <algorithm>
#include <stdexcept>

namespace review {

using quetzal::adapter::BodyWriter;
using quetzal::adapter::standin::MakeResponse;

std::uint16_t
FreePort(const std::string& aAddress)
{
  QTcpServer probe;
  if (!probe.listen(QHostAddress(QString::fromStdString(aAddress)), 0)) {
    throw std::runtime_error("no free port on " + aAddress);
  }
  return probe.serverPort();
}

Platform::Platform(const std::string& aNetwork, int aMinions, Record& aRecord)
  : storeAddress_{ aNetwork + "1", FreePort(aNetwork + "1") }
  , machinesAddress_{ aNetwork + "2", FreePort(aNetwork + "2") }
  , store_(storeAddress_)
  , fleet_{ aRecord, store_, {}, {}, {}, {}, {} }
  , machinesServer_({})
{
  for (int i = 0; i < 2 * aMinions; ++i) {
    const std::string address = aNetwork + std::to_string(100 + i);
    const WorkerPlace place{ "m" + std::to_string(i),
                             i % 2 == 0 ? "alpha" : "beta",
                             "z" + std::to_string(i % 3),
                             "r" + std::to_string(i / 4),
                             { address, FreePort(address) } };
    workers_.push_back(std::make_unique<Worker>(place, fleet_));
  }
  PutConfiguration();
  QObject::connect(
    &machinesServer_, &quetzal::http::Server::ConnectionArrived, [this](auto* aConnection) {
      QObject::connect(aConnection,
                       &quetzal::http::ServerConnection::RequestArrived,
                       aConnection,
                       [this, aConnection] { aConnection->Answer(ListMachines()); });
    });
  machinesServer_.Listen(machinesAddress_);
}

void
Platform::PutConfiguration()
{
  BodyWriter writer;
  writer.Map(3).Put("version", std::int64_t{ 1 }).Key("routes").List(2);
  for (const std::string service : { "alpha", "beta" }) {
    writer.Map(8).Put("name", "q-" + service).Put("host", std::string("jobs.example"));
    writer.Put("prefix", "/" + service + "/").Put("service", service);
    writer.Put("priority", std::int64_t{ 0 }).Put("max-attempts", std::int64_t{ 4 });
    writer.Put("stretch", std::int64_t{ 2 }).Put("objective-ms", std::int64_t{ 600 });
  }
  writer.Key("services").List(2);
  for (const std::string service : { "alpha", "beta" }) {
    writer.Map(2).Put("name", service).Key("rejects-overload").PutBool(true);
  }
  store_.Put("op/config", writer.Bytes());
}

quetzal::http::Response
Platform::ListMachines() const
{
  BodyWriter writer;
  writer.Map(1).Key("machines").List(workers_.size());
  for (const auto& worker : workers_) {
    const WorkerPlace& place = worker->Place();
    writer.Map(5).Put("machine", place.machine_).Put("pool", place.service_);
    writer.Put("state", std::string(worker->IsUp() ? "up" : "down")).Put("zone", place.zone_);
    writer.Put("id", worker->IsUp() ? worker->Id() : std::string());
  }
  return MakeResponse(quetzal::http::status::kOk, writer.Bytes());
}

double
Platform::UsedFractionOf(const std::string& aService) const
{
  double used = 0;
  double all = 0;
  for (const auto& worker : workers_) {
    if (worker->Place().service_ == aService && worker->IsUp()) {
      used += static_cast<double>(worker->UsedCpu());
      all += static_cast<double>(kWorkerCpu);
    }
  }
  return all > 0 ? used / all : 1;
}

bool
Platform::IsRunning(const std::string& aJob) const
{
  return std::any_of(workers_.begin(), workers_.end(), [&aJob](const auto& aWorker) {
    return aWorker->RunsJob(aJob);
  });
}

} // namespace review
