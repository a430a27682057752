#include "standins/load/LoadRun.h"

namespace standins::load {
namespace {

using quetzal::connection::BackendConnection;
using quetzal::http::FindField;
using quetzal::http::Response;

constexpr std::chrono::milliseconds kTick{ 1 };
/** How long to wait for an answer after the deadline sent with the request. */
constexpr std::chrono::milliseconds kGrace{ 5'000 };

std::string
FieldOr(const Response& aResponse, const char* aName)
{
  const std::string* value = FindField(aResponse.fields_, aName);
  return value != nullptr ? *value : std::string();
}

} // namespace

LoadRun::LoadRun(const LoadOptions& aOptions, QObject* aParent)
  : QObject(aParent)
  , options_(aOptions)
{
  for (const auto& endpoint : options_.targets_) {
    targets_.push_back({ endpoint, {} });
  }
  const double seconds = std::chrono::duration<double>(options_.duration_).count();
  planned_ = static_cast<std::size_t>(options_.perSecond_ * seconds);
  timer_.setTimerType(Qt::PreciseTimer);
  connect(&timer_, &QTimer::timeout, this, &LoadRun::Tick);
}

void
LoadRun::Start()
{
  started_ = std::chrono::steady_clock::now();
  if (IsClosedLoop()) {
    for (int i = 0; i < options_.inFlight_; ++i) {
      SendOne();
    }
    return;
  }
  timer_.start(kTick);
}

void
LoadRun::Tick()
{
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_;
  const auto due = static_cast<std::size_t>(elapsed.count() * options_.perSecond_) + 1;
  while (sent_ < std::min(due, planned_)) {
    SendOne();
  }
  if (sent_ == planned_) {
    timer_.stop();
  }
}

void
LoadRun::SendOne()
{
  Target& target = targets_[sent_ % targets_.size()];
  const std::string id = options_.idPrefix_ + "-" + std::to_string(sent_++);
  const std::string prefix = options_.direct_ ? "" : "/v1/services/" + options_.service_;
  quetzal::http::Request request{ options_.method_, prefix + options_.path_, {}, {} };
  request.fields_ = { { "Host", "quetzal" },
                      { "Quetzal-Request-Id", id },
                      { "Quetzal-Deadline-Ms", std::to_string(options_.deadline_.count()) } };
  if (options_.keyed_) {
    request.fields_.push_back({ "Idempotency-Key", id });
  }
  BackendConnection* connection = nullptr;
  while (!target.idle_.empty() && connection == nullptr) {
    connection = target.idle_.back();
    target.idle_.pop_back();
    if (!connection->IsIdle()) {
      connection->deleteLater();
      connection = nullptr;
    }
  }
  if (connection == nullptr) {
    connection = new BackendConnection(target.endpoint_, this);
  }
  connection->disconnect(this);
  const auto sentTime = std::chrono::steady_clock::now();
  const double sentAt = std::chrono::duration<double, std::milli>(sentTime - started_).count();
  const auto took = [sentTime] {
    const std::chrono::duration<double, std::milli> time =
      std::chrono::steady_clock::now() - sentTime;
    return time.count();
  };
  connect(connection,
          &BackendConnection::AnswerArrived,
          this,
          [this, connection, id, took, sentAt, &target](const Response& aResponse) {
            if (connection->IsIdle()) {
              target.idle_.push_back(connection);
            } else {
              connection->deleteLater();
            }
            Record({ id,
                     options_.direct_ ? "answered" : FieldOr(aResponse, "Quetzal-Outcome"),
                     FieldOr(aResponse, "Quetzal-Reason"),
                     aResponse.status_,
                     took(),
                     sentAt });
          });
  connect(
    connection, &BackendConnection::ExchangeFailed, this, [this, connection, id, took, sentAt] {
      const bool written = connection->HasWritten();
      connection->deleteLater();
      Record({ id, written ? "cut" : "no-connection", "", 0, took(), sentAt });
    });
  connection->Send(Serialize(request), options_.method_ == "HEAD", {}, options_.deadline_ + kGrace);
}

void
LoadRun::Record(LoadRecord aRecord)
{
  records_.push_back(std::move(aRecord));
  const bool timeLeft = std::chrono::steady_clock::now() - started_ < options_.duration_;
  if (IsClosedLoop() && timeLeft) {
    SendOne();
    return;
  }
  const std::size_t expected = IsClosedLoop() ? sent_ : planned_;
  if (records_.size() == expected) {
    Q_EMIT Ended();
  }
}

} // namespace standins::load
