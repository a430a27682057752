#include "tests/harness/JobsDeployment.h"

#include "include/quetzal/http/Status.h"
#include "platform/Body.h"

#include <QtCore/QDir>
#include <QtCore/QFile>
#include <sstream>
#include <unistd.h>

namespace harness {
namespace {

using quetzal::adapter::Body;
using quetzal::adapter::BodyWriter;

constexpr int kNetworks = 254;
constexpr int kPlatformHost = 1;
constexpr int kFirstEntry = 10;
constexpr std::uint16_t kCallersPort = 8'000;
constexpr std::uint16_t kReadinessPort = 8'001;
constexpr std::uint16_t kMetricsPort = 8'002;
constexpr std::uint16_t kControlPort = 8'623;

std::string
MakeNetwork()
{
  const auto process = static_cast<int>(::getpid());
  return "127." + std::to_string(1 + process / kNetworks % kNetworks) + "." +
         std::to_string(1 + process % kNetworks) + ".";
}

std::string
JobBody(int aTasks, bool aLasting)
{
  BodyWriter writer;
  writer.Map(2).Put("spec", std::string(aLasting ? "lasting" : "short"));
  writer.Key("steps").List(1).Map(aLasting ? 6 : 4);
  writer.Put("count", std::int64_t{ aTasks }).Put("cpu", std::int64_t{ 1'000 });
  writer.Put("mem-mb", std::int64_t{ 100 }).Put("estimate-ms", std::int64_t{ 100 });
  if (aLasting) {
    writer.Key("long-running").PutBool(true).Put("may-miss", std::int64_t{ 1 });
  }
  return writer.Bytes();
}

/** Returns the target of a request about a job. Jobs with even ids belong to queue "alpha", those
 * with odd ids to "beta". */
std::string
TargetOf(const std::string& aId)
{
  const bool isEven = aId.empty() || (aId.back() - '0') % 2 == 0;
  return (isEven ? "/alpha/" : "/beta/") + aId;
}

Request
MakeJobRequest(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
{
  Request request;
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.fields_ = { { "Host", "jobs.example" }, { "X-Quetzalwheel-Deadline", "3000" } };
  request.body_ = aBody;
  return request;
}

} // namespace

JobsDeployment::JobsDeployment(int aEntryHosts,
                               int aWorkers,
                               int aTaskMs,
                               std::string aEntrySettings)
  : network_(MakeNetwork())
  , entryHosts_(aEntryHosts)
  , entrySettings_(std::move(aEntrySettings))
{
  mesh_ =
    std::make_unique<Process>("standin-mesh",
                              std::vector<std::string>{ "-a",
                                                        network_ + std::to_string(kPlatformHost),
                                                        "-w",
                                                        std::to_string(aWorkers),
                                                        "-t",
                                                        std::to_string(aTaskMs) });
  for (int i = 0; i < entryHosts_; ++i) {
    StartEntry(i);
  }
}

JobsDeployment::~JobsDeployment() = default;

std::string
JobsDeployment::EntryAddress(int aIndex) const
{
  return network_ + std::to_string(kFirstEntry + aIndex);
}

std::string
JobsDeployment::SettingsText(int aIndex) const
{
  const std::string address = EntryAddress(aIndex);
  const std::string platform = network_ + std::to_string(kPlatformHost);
  std::ostringstream text;
  text << "name: entry-" << aIndex << "\naddress: " << address << "\navailability_zone: z"
       << aIndex % 3 << "\nfirst_port: 7000\ncallers: \"" << address << ':' << kCallersPort
       << "\"\nready: \"" << address << ':' << kReadinessPort
       << "\"\nmetrics_port: " << kMetricsPort << "\nstore: {address: \"" << platform
       << ":8621\"}\nmachines: {address: \"" << platform
       << ":8622\", orders_per_second: 64, reads_per_second: 64}\n"
       << "stop_time_s: 6\nlongest_lease_ms: 6000\nfleet_order_gap_ms: 3000\nretention_s: 120\n"
       << "move_s: 1.5\nmaintenance_s: 2\nprocessor_share: 0.5\n"
       << entrySettings_;
  return text.str();
}

void
JobsDeployment::StartEntry(int aIndex)
{
  const QString file =
    QDir::temp().filePath(QString("jobd-%1-%2.yaml").arg(::getpid()).arg(aIndex));
  QFile out(file);
  out.open(QIODevice::WriteOnly | QIODevice::Truncate);
  out.write(QByteArray::fromStdString(SettingsText(aIndex)));
  out.close();
  entries_[aIndex] =
    std::make_unique<Process>("quetzal-jobd", std::vector<std::string>{ "-s", file.toStdString() });
}

std::unique_ptr<Call>
JobsDeployment::Begin(int aEntry,
                      const std::string& aMethod,
                      const std::string& aId,
                      const std::string& aBody)
{
  return BeginAt(aEntry, aMethod, TargetOf(aId), aBody);
}

std::unique_ptr<Call>
JobsDeployment::BeginAt(int aEntry,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody)
{
  Request request = MakeJobRequest(aMethod, aTarget, aBody);
  if (!key_.empty()) {
    request.fields_.push_back({ "Authorization", "Bearer " + key_ });
  }
  return std::make_unique<Call>(Callers(aEntry), request);
}

Endpoint
JobsDeployment::Callers(int aIndex) const
{
  return { EntryAddress(aIndex), kCallersPort };
}

Endpoint
JobsDeployment::Readiness(int aIndex) const
{
  return { EntryAddress(aIndex), kReadinessPort };
}

Endpoint
JobsDeployment::Metrics(int aIndex) const
{
  return { EntryAddress(aIndex), kMetricsPort };
}

std::string
JobsDeployment::SubmitBytes(const std::string& aId)
{
  return Serialize(MakeJobRequest("POST", TargetOf(aId), JobBody(1, false)));
}

std::string
JobsDeployment::CancelBytes(const std::string& aId)
{
  return Serialize(MakeJobRequest("DELETE", TargetOf(aId), {}));
}

std::optional<Response>
JobsDeployment::Ask(int aEntry,
                    const std::string& aMethod,
                    const std::string& aId,
                    const std::string& aBody)
{
  return Begin(aEntry, aMethod, aId, aBody)->Wait();
}

bool
JobsDeployment::WaitUntilServing(int aIndex)
{
  return WaitUntil([this, aIndex] {
    Pause(std::chrono::milliseconds(50));
    return CountsPendingOf(aIndex, "/alpha/") && CountsPendingOf(aIndex, "/beta/") &&
           StateOf(aIndex, IdOf(1)) == "status 410" && StateOf(aIndex, IdOf(2)) == "status 410";
  });
}

bool
JobsDeployment::CountsPendingOf(int aEntry, const std::string& aQueue)
{
  const auto answer = BeginAt(aEntry, "GET", aQueue, "")->Wait();
  return answer && answer->status_ == quetzal::http::status::kOk;
}

unsigned
JobsDeployment::Submit(int aEntry, const std::string& aId, int aTasks, bool aLasting)
{
  return SubmitBody(aEntry, aId, JobBody(aTasks, aLasting));
}

unsigned
JobsDeployment::SubmitBody(int aEntry, const std::string& aId, const std::string& aBody)
{
  const auto answer = Ask(aEntry, "POST", aId, aBody);
  return answer ? answer->status_ : 0;
}

std::unique_ptr<Call>
JobsDeployment::BeginSubmit(int aEntry, const std::string& aId, int aTasks)
{
  return Begin(aEntry, "POST", aId, JobBody(aTasks, false));
}

bool
JobsDeployment::SubmitUntilAccepted(const std::string& aId, int aTasks, bool aLasting)
{
  int entry = 0;
  return WaitUntil([&] {
    const unsigned status = Submit(entry++ % entryHosts_, aId, aTasks, aLasting);
    if (status != quetzal::http::status::kOk) {
      Pause(std::chrono::milliseconds(100));
    }
    return status == quetzal::http::status::kOk;
  });
}

std::string
JobsDeployment::StateOf(int aEntry, const std::string& aId)
{
  const auto answer = Ask(aEntry, "GET", aId, "");
  if (!answer || answer->status_ != quetzal::http::status::kOk) {
    return "status " + std::to_string(answer ? answer->status_ : 0);
  }
  const auto body = Body::Decode(answer->body_);
  return body ? body->Root()["state"].Text() : "unreadable";
}

unsigned
JobsDeployment::Cancel(int aEntry, const std::string& aId)
{
  const auto answer = Ask(aEntry, "DELETE", aId, "");
  return answer ? answer->status_ : 0;
}

JobsDeployment::Cancelled
JobsDeployment::CancelUntilDecided(int aEntry,
                                   std::vector<std::string> aIds,
                                   std::chrono::milliseconds aTimeout)
{
  constexpr std::chrono::milliseconds kInterval(5);
  Cancelled result;
  const auto isDecided = [&](const std::string& aId) {
    const unsigned status = Cancel(aEntry, aId);
    if (status == quetzal::http::status::kGone) {
      result.gone_.push_back(aId);
    }
    return status == quetzal::http::status::kOk || status == quetzal::http::status::kGone;
  };
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aIds.empty() && std::chrono::steady_clock::now() < end) {
    std::erase_if(aIds, isDecided);
    Pause(kInterval);
  }
  result.undecided_ = std::move(aIds);
  return result;
}

bool
JobsDeployment::WaitForState(int aEntry, const std::string& aId, const std::string& aState)
{
  return WaitUntil([&] {
    const bool reached = StateOf(aEntry, aId) == aState;
    if (!reached) {
      Pause(std::chrono::milliseconds(50));
    }
    return reached;
  });
}

void
JobsDeployment::PutKey(const std::string& aOrganisation, const std::string& aKey)
{
  Control("/key?organisation=" + aOrganisation + "&key=" + aKey);
}

void
JobsDeployment::Control(const std::string& aTarget)
{
  Request request;
  request.method_ = "POST";
  request.target_ = aTarget;
  request.fields_ = { { "Host", "control" } };
  Send({ network_ + std::to_string(kPlatformHost), kControlPort }, request);
}

std::vector<std::string>
JobsDeployment::Record(const std::string& aWord)
{
  Request request;
  request.method_ = "GET";
  request.target_ = "/record";
  request.fields_ = { { "Host", "control" } };
  const auto answer = Send({ network_ + std::to_string(kPlatformHost), kControlPort }, request);
  std::vector<std::string> lines;
  std::istringstream text(answer ? answer->body_ : "");
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with(aWord)) {
      lines.push_back(line);
    }
  }
  return lines;
}

std::int64_t
JobsDeployment::CountOf(const std::string& aWord)
{
  const std::vector<std::string> lines = Record(aWord + " ");
  return lines.empty() ? 0 : std::stoll(lines.front().substr(aWord.size() + 1));
}

int
JobsDeployment::StartsOf(const std::string& aId)
{
  int starts = 0;
  for (const std::string& line : Record("task " + aId)) {
    std::istringstream words(line);
    std::string word;
    int count = 0;
    words >> word >> word >> count;
    starts += count;
  }
  return starts;
}

std::string
JobsDeployment::IdOf(int aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

} // namespace harness
