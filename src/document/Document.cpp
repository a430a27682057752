#include "include/quetzal/document/Document.h"

#include "include/quetzal/document/DocumentQueries.h"
#include "include/quetzal/settings/Node.h"

#include <QtNetwork/QHostAddress>
#include <map>
#include <set>

namespace quetzal::document {
namespace {

using settings::Node;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kMinDeadline = 1ms;
constexpr std::chrono::milliseconds kMaxDeadline = 10min;
constexpr std::chrono::milliseconds kDefaultDeadline = 2s;
constexpr int kDefaultSlots = 8;
constexpr int kMaxSlots = 1024;
constexpr int kDefaultConnections = 64;
constexpr int kMaxConnections = 65536;
constexpr int kDefaultQueueLength = 512;
constexpr int kMaxQueueLength = 100'000;
constexpr std::int64_t kDefaultAnswerBytes = 1024 * 1024;
constexpr std::int64_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr int kDefaultRetryPercent = 10;
constexpr int kMinErrorStatus = 400;
constexpr int kMaxErrorStatus = 599;

/** Builds one document. Keeps the names declared so far, to check references and uniqueness. */
class DocumentBuilder
{
public:
  explicit DocumentBuilder(const Node& aRoot)
    : root_(aRoot)
  {
  }

  DocumentPtr Build()
  {
    root_.AllowKeys({ "environment", "weighs", "hosts", "pools", "services" });
    document_.environment_ = root_.Name("environment");
    document_.goal_ = ReadGoal();
    for (const Node& item : root_.Items("hosts")) {
      AddHost(item);
    }
    for (const Node& item : root_.Items("pools")) {
      AddPool(item);
    }
    for (const Node& item : root_.Items("services")) {
      AddService(item);
    }
    return std::make_shared<const Document>(std::move(document_));
  }

private:
  OptimizationGoal ReadGoal() const
  {
    const auto node = root_.Optional("weighs");
    if (!node || node->Text() == "buffer-cost") {
      return OptimizationGoal::kBufferCost;
    }
    if (node->Text() == "roll-out-time") {
      return OptimizationGoal::kRollOutTime;
    }
    throw node->Error("buffer-cost or roll-out-time");
  }

  static void CheckUnique(std::set<std::string>& aSeen, const Node& aNode, const std::string& aName)
  {
    if (!aSeen.insert(aName).second) {
      throw aNode.Error("a unique name; " + aName + " is declared twice");
    }
  }

  void AddHost(const Node& aNode)
  {
    aNode.AllowKeys({ "name", "address", "availability_zone", "rack" });
    Host host;
    host.name_ = aNode.Name("name");
    CheckUnique(hostNames_, aNode.Required("name"), host.name_);
    host.address_ = aNode.Name("address");
    if (QHostAddress(QString::fromStdString(host.address_)).isNull()) {
      throw aNode.Required("address").Error("an IP address");
    }
    host.availabilityZone_ = aNode.Name("availability_zone");
    host.rack_ = aNode.Name("rack");
    document_.hosts_.push_back(std::move(host));
  }

  void AddPool(const Node& aNode)
  {
    aNode.AllowKeys({ "name", "hosts", "spare" });
    Pool pool;
    pool.name_ = aNode.Name("name");
    CheckUnique(poolNames_, aNode.Required("name"), pool.name_);
    const auto spare = aNode.Optional("spare");
    pool.spare_ = spare && spare->Boolean();
    for (const Node& item : aNode.Items("hosts")) {
      pool.hosts_.push_back(ReadPoolHost(item, pool.name_));
    }
    document_.pools_.push_back(std::move(pool));
  }

  std::string ReadPoolHost(const Node& aItem, const std::string& aPool)
  {
    std::string host = aItem.Name();
    if (!hostNames_.contains(host)) {
      throw aItem.Error("the name of a host of this document");
    }
    const auto [assigned, isNew] = poolOfHost_.emplace(host, aPool);
    if (!isNew) {
      throw aItem.Error("each host in one pool; " + host + " is in pool " + assigned->second);
    }
    return host;
  }

  void AddService(const Node& aNode)
  {
    aNode.AllowKeys({ "name",
                      "pool",
                      "port",
                      "health_path",
                      "slots",
                      "connections",
                      "min_healthy",
                      "deadline_ms",
                      "longest_deadline_ms",
                      "queue_length",
                      "answer_bytes",
                      "retry_percent",
                      "not_run_statuses",
                      "routes" });
    Service service;
    service.name_ = aNode.Name("name");
    CheckUnique(serviceNames_, aNode.Required("name"), service.name_);
    service.pool_ = aNode.Name("pool");
    if (!poolNames_.contains(service.pool_)) {
      throw aNode.Required("pool").Error("the name of a pool of this document");
    }
    service.port_ = static_cast<std::uint16_t>(aNode.Required("port").Integer(1, 65535));
    service.healthPath_ = aNode.Text("health_path", "/health");
    ReadCapacity(aNode, service);
    ReadRequestBounds(aNode, service);
    for (const Node& item : aNode.Items("routes")) {
      service.routes_.push_back(ReadRoute(item, service));
    }
    document_.services_.push_back(std::move(service));
  }

  void ReadCapacity(const Node& aNode, Service& aService) const
  {
    const auto poolSize = static_cast<int>(FindPool(document_, aService.pool_)->hosts_.size());
    aService.slots_ = static_cast<int>(aNode.Integer("slots", 1, kMaxSlots, kDefaultSlots));
    aService.connections_ =
      static_cast<int>(aNode.Integer("connections", 1, kMaxConnections, kDefaultConnections));
    if (aService.connections_ < aService.slots_) {
      throw aNode.Required("connections").Error("at least as many connections as slots");
    }
    aService.minHealthy_ = static_cast<int>(aNode.Integer("min_healthy", 0, kMaxSlots, 0));
    if (aService.minHealthy_ > poolSize) {
      throw aNode.Required("min_healthy")
        .Error("no more than the " + std::to_string(poolSize) + " hosts of pool " + aService.pool_);
    }
  }

  static void ReadRequestBounds(const Node& aNode, Service& aService)
  {
    aService.deadline_ =
      aNode.Milliseconds("deadline_ms", kMinDeadline, kMaxDeadline, kDefaultDeadline);
    aService.longestDeadline_ = aNode.Milliseconds(
      "longest_deadline_ms", aService.deadline_, kMaxDeadline, aService.deadline_);
    aService.queueLength_ =
      static_cast<int>(aNode.Integer("queue_length", 0, kMaxQueueLength, kDefaultQueueLength));
    aService.answerBytes_ = aNode.Integer("answer_bytes", 0, kMaxAnswerBytes, kDefaultAnswerBytes);
    aService.retryPercent_ =
      static_cast<int>(aNode.Integer("retry_percent", 0, 100, kDefaultRetryPercent));
    for (const Node& item : aNode.Items("not_run_statuses")) {
      aService.notRunStatuses_.push_back(
        static_cast<int>(item.Integer(kMinErrorStatus, kMaxErrorStatus)));
    }
  }

  static Route ReadRoute(const Node& aNode, const Service& aService)
  {
    aNode.AllowKeys({ "prefix", "class", "idempotent", "deadline_ms" });
    Route route;
    route.prefix_ = aNode.Name("prefix");
    if (!route.prefix_.starts_with('/')) {
      throw aNode.Required("prefix").Error("a path that begins with /");
    }
    const std::string workClass = aNode.Text("class", "quick");
    if (workClass != "quick" && workClass != "long") {
      throw aNode.Required("class").Error("quick or long");
    }
    route.class_ = workClass == "quick" ? WorkClass::kQuick : WorkClass::kLong;
    const auto idempotent = aNode.Optional("idempotent");
    route.idempotent_ = idempotent && idempotent->Boolean();
    route.deadline_ = aNode.Milliseconds(
      "deadline_ms", kMinDeadline, aService.longestDeadline_, aService.deadline_);
    return route;
  }

  Node root_;
  Document document_;
  std::set<std::string> hostNames_;
  std::set<std::string> poolNames_;
  std::set<std::string> serviceNames_;
  std::map<std::string, std::string> poolOfHost_;
};

} // namespace

DocumentPtr
MakeDocument(const std::string& aYaml, const std::string& aFile)
{
  return DocumentBuilder(Node::MakeFromText(aYaml, aFile)).Build();
}

} // namespace quetzal::document
