#include "review/standin-2/Cases.h"
#include "review/standin-2/Deployment.h"

#include "include/quetzal/http/Status.h"

namespace review {
namespace {

constexpr int kMinions = 9;
/** Of these callers, a quarter leaves: the largest share on the small deployment's sheet. */
constexpr int kJobs = 80;
constexpr int kLeavingOneOf = 4;
constexpr std::size_t kSteps = 12;
constexpr std::int64_t kStepMs = 1'000;
/** The callers leave one after another, within half of their objective of 600 ms. */
constexpr int kPatienceMs = 300;
/** As the refusal's Retry-After says. */
constexpr Milliseconds kRetryAfter{ 1'000 };
/** cancel_ms and contact-ms of the small deployment. */
constexpr Milliseconds kCancelTime{ 3'000 };
constexpr Milliseconds kContactTime{ 3'000 };
constexpr Milliseconds kRestartDelay{ 1'000 };
constexpr Milliseconds kWatchTime{ 20'000 };

/** Returns a job of several steps, one after another. */
std::string
ChainBody()
{
  quetzal::adapter::BodyWriter writer;
  writer.Map(2).Put("spec", std::string("post the ledger")).Key("steps").List(kSteps);
  for (std::size_t i = 0; i < kSteps; ++i) {
    writer.Map(i == 0 ? 4 : 5).Put("count", std::int64_t{ 1 }).Put("cpu", std::int64_t{ 500 });
    writer.Put("mem-mb", std::int64_t{ 50 }).Put("estimate-ms", kStepMs);
    if (i > 0) {
      writer.Key("after").List(1).Put(static_cast<std::int64_t>(i - 1));
    }
  }
  return writer.Bytes();
}

std::string
IdOf(int aNumber)
{
  return "00000000000001" + std::to_string(10 + aNumber);
}

/** A caller that hands in a job, leaves before the answer, and cancels the job until that is
 * acknowledged. */
class LeavingCaller
{
public:
  LeavingCaller(Deployment& aDeployment, int aNumber, std::size_t aHost, std::size_t aOtherHost)
    : deployment_(aDeployment)
    , id_(IdOf(aNumber))
    , otherHost_(aOtherHost)
  {
    deployment_.Send(
      aHost,
      "POST",
      "/alpha/" + id_,
      ChainBody(),
      [this, aHost](const Answer& aAnswer) {
        deployment_.GetRecord().Write("POST ", id_, " at front-", aHost, " -> ", aAnswer.status_);
        Cancel();
      },
      Milliseconds(kPatienceMs * (1 + aNumber) / kJobs));
  }

  const std::string& Id() const { return id_; }
  /** Returns when its cancelling was acknowledged. */
  std::optional<Clock::time_point> CancelledAt() const { return cancelledAt_; }

private:
  void Cancel()
  {
    deployment_.Send(otherHost_, "DELETE", "/alpha/" + id_, "", [this](const Answer& aAnswer) {
      const bool isCancelled = aAnswer.status_ == quetzal::http::status::kOk ||
                               aAnswer.status_ == quetzal::http::status::kGone;
      deployment_.GetRecord().Write(
        "DELETE ", id_, " at front-", otherHost_, " -> ", aAnswer.status_);
      if (isCancelled) {
        cancelledAt_ = Clock::now();
      } else {
        QTimer::singleShot(kRetryAfter, [this] { Cancel(); });
      }
    });
  }

  Deployment& deployment_;
  std::string id_;
  std::size_t otherHost_;
  std::optional<Clock::time_point> cancelledAt_;
};

/** Hands in a job for a caller that waits for its answer. */
void
SubmitPatiently(Deployment& aDeployment, int aNumber, std::size_t aHost)
{
  const std::string id = IdOf(aNumber);
  aDeployment.Send(
    aHost, "POST", "/alpha/" + id, ChainBody(), [&aDeployment, id, aHost](const Answer& aAnswer) {
      aDeployment.GetRecord().Write("POST ", id, " at front-", aHost, " -> ", aAnswer.status_);
    });
}

/** Counts the starts of cancelled jobs later than cancel_ms after the acknowledgement, and so late
 * that the machine whose process was killed is in touch again. */
int
CountUnasked(Deployment& aDeployment,
             const std::vector<std::unique_ptr<LeavingCaller>>& aCallers,
             Clock::time_point aInTouchFrom)
{
  int unasked = 0;
  for (const Start& start : aDeployment.GetPlatform().GetFleet().starts_) {
    for (const auto& caller : aCallers) {
      if (!start.task_.starts_with(caller->Id()) || !caller->CancelledAt()) {
        continue;
      }
      const auto since =
        std::chrono::duration_cast<Milliseconds>(start.at_ - *caller->CancelledAt());
      if (since > kCancelTime && start.at_ > aInTouchFrom) {
        ++unasked;
        aDeployment.GetRecord().Write("start of ",
                                      start.task_,
                                      " on ",
                                      start.worker_,
                                      ' ',
                                      since.count(),
                                      " ms after the job's cancelling was acknowledged");
      }
    }
  }
  return unasked;
}

} // namespace

Outcome
PlayCancelledJobs(const std::string& aRecordFile)
{
  constexpr Milliseconds kSettleTime{ 3'000 };
  constexpr Milliseconds kInFlight{ 7 };
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  Deployment::Run(kSettleTime);
  auto& hosts = deployment.Hosts();
  std::size_t owner = 0;
  while (owner < hosts.size() && !hosts[owner]->HasBegunCell("alpha")) {
    ++owner;
  }
  if (owner == hosts.size()) {
    return Outcome::kNotRun;
  }
  const std::size_t first = (owner + 1) % hosts.size();
  const std::size_t second = (owner + 2) % hosts.size();
  std::vector<std::unique_ptr<LeavingCaller>> callers;
  for (int i = 0; i < kJobs; ++i) {
    if (i % kLeavingOneOf != 0) {
      SubmitPatiently(deployment, i, i % 2 == 0 ? first : second);
      continue;
    }
    callers.push_back(std::make_unique<LeavingCaller>(
      deployment, i, i % 8 == 0 ? first : second, i % 8 == 0 ? second : first));
  }
  Clock::time_point inTouchFrom = Clock::now();
  if (!IsCalm()) {
    Deployment::Run(kInFlight);
    hosts[owner]->Kill();
    QTimer::singleShot(kRestartDelay, [&host = *hosts[owner]] { host.Start(); });
    inTouchFrom = Clock::now() + kRestartDelay + kContactTime;
  }
  Deployment::Run(kWatchTime);
  const int unasked = CountUnasked(deployment, callers, inTouchFrom);
  deployment.GetRecord().Write(unasked, " starts of cancelled jobs, later than cancel_ms");
  return unasked > 0 ? Outcome::kBroken : Outcome::kHeld;
}

} // namespace review
