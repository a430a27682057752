#include "include/quetzal/organisations/QuotaGrants.h"
#include "include/quetzal/organisations/QuotaUse.h"
#include "include/quetzal/organisations/Resources.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <random>

namespace {

using namespace quetzal;
using namespace std::chrono_literals;
using organisations::CellDemand;
using organisations::Demand;
using organisations::Grant;
using organisations::HeldGrants;
using organisations::MayStart;
using organisations::QuotaPlan;
using organisations::QuotaTable;
using organisations::QuotaUse;
using organisations::UseChange;
using workers::Capacity;

constexpr clock::Milliseconds kStep{ 10 };
constexpr clock::Milliseconds kReportInterval{ 120 };
constexpr clock::Milliseconds kReportTimeout{ 700 };
constexpr clock::Milliseconds kProgressTime{ 1'000 };
const std::string kOrganisation = "ada";

/** What may go wrong in a model. */
struct Faults
{
  double lost_ = 0; ///< Part of the messages, and of the answers, that are lost.
  clock::Milliseconds longestWay_{ 20 };
  int lateOrderPercent_ = 0;       ///< Start orders that are carried out 2 to 4 s later.
  double cellRestartsASecond_ = 0; ///< For each cell.
  double fleetRestartsASecond_ = 0;
  double quotaChangesASecond_ = 0;
};

/** One run of a task. It uses its capacity from when it is carried out until it ends. */
struct ModelRun
{
  Capacity need_;
  clock::Moment startsAt_{};
  clock::Moment endsAt_{};
  bool isOwn_ = false;   ///< Started by the present owner of its cell.
  bool isKnown_ = false; ///< Counted by the present owner of its cell.
};

/** A cell, and what its present owner knows. */
struct ModelCell
{
  std::string name_;
  std::int64_t fence_ = 1;
  bool isSynchronized_ = true;
  clock::Moment ownerSince_{}; ///< In the future while the cell has no owner.
  clock::Moment synchronizedAt_{};
  clock::Moment reportedAt_{};
  bool isReporting_ = false;
  HeldGrants grants_;
  QuotaUse use_;
  std::list<ModelRun> runs_;
  std::vector<Capacity> waiting_;
  clock::Moment lastStart_{};
  bool isIdle_ = false; ///< Has no arrivals at present.
};

/** A message on its way. */
struct ModelMessage
{
  clock::Moment arrivesAt_{};
  std::size_t cell_ = 0;
  std::int64_t fence_ = 0;
  bool isAnswer_ = false;
  CellDemand report_;
  std::int64_t sequence_ = 0;
  std::vector<Grant> grants_;
};

/** Cells with one organisation, and the owner of the fleet, in simulated time. */
class Model
{
public:
  Model(unsigned aSeed, const Faults& aFaults)
    : random_(aSeed)
    , faults_(aFaults)
  {
    const int cells = Pick(2, 6);
    for (int i = 0; i < cells; ++i) {
      ModelCell cell;
      cell.name_ = "cell" + std::to_string(i);
      cells_.push_back(cell);
      plan_.cells_.push_back(cell.name_);
    }
    quota_ = { Pick(8'000, 60'000), Chance(0.5) ? Pick(8'000, 60'000) : 0, 0 };
    allowed_ = quota_;
    plan_.quotas_ = { { kOrganisation, quota_ } };
  }

  void Run(clock::Milliseconds aTime)
  {
    const clock::Moment end = now_ + aTime;
    while (now_ < end) {
      now_ += kStep;
      Disturb();
      Deliver();
      for (std::size_t i = 0; i < cells_.size(); ++i) {
        Advance(i);
      }
      Check();
    }
  }

  int starts_ = 0;
  int restarts_ = 0;
  int thawedSteps_ = 0;
  std::int64_t worstExcess_ = 0; ///< Of what runs over the quota and one task, in any resource.
  clock::Milliseconds longestStall_{ 0 };

private:
  int Pick(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random_);
  }

  bool Chance(double aPart) { return std::bernoulli_distribution(aPart)(random_); }

  bool Happens(double aASecond)
  {
    return aASecond > 0 && Chance(aASecond * std::chrono::duration<double>(kStep).count());
  }

  /** Returns a need of at most a sixth of the least quota, so that half of any quota holds one. */
  Capacity RandomNeed() { return { Pick(100, 1'300), Pick(0, 1'300), 0 }; }

  void Disturb()
  {
    if (Happens(faults_.fleetRestartsASecond_)) {
      table_ = {};
      ++restarts_;
    }
    if (Happens(faults_.quotaChangesASecond_)) {
      quota_.cpu_ = Pick(8'000, 60'000);
      plan_.quotas_ = { { kOrganisation, quota_ } };
    }
    for (ModelCell& cell : cells_) {
      if (Happens(faults_.cellRestartsASecond_)) {
        RestartOwner(cell);
      }
      if (Happens(0.3)) {
        cell.isIdle_ = !cell.isIdle_;
      }
      if (!cell.isIdle_ && cell.waiting_.size() < 60 && Chance(0.3)) {
        cell.waiting_.push_back(RandomNeed());
      }
    }
  }

  void RestartOwner(ModelCell& aCell)
  {
    ++restarts_;
    ++aCell.fence_;
    aCell.isSynchronized_ = false;
    aCell.isReporting_ = false;
    aCell.ownerSince_ = now_ + clock::Milliseconds(Pick(100, 1'500));
    aCell.synchronizedAt_ = aCell.ownerSince_ + clock::Milliseconds(Pick(50, 1'500));
    aCell.grants_ = {};
    aCell.use_ = {};
    for (ModelRun& run : aCell.runs_) {
      run.isOwn_ = false;
      run.isKnown_ = false;
      // The successor's fence rejects orders that are still on their way.
      aCell.synchronizedAt_ = std::max(aCell.synchronizedAt_, run.startsAt_);
    }
  }

  void Send(ModelMessage aMessage)
  {
    if (!Chance(faults_.lost_)) {
      aMessage.arrivesAt_ =
        now_ + clock::Milliseconds(Pick(1, static_cast<int>(faults_.longestWay_.count())));
      messages_.push_back(std::move(aMessage));
    }
  }

  void Deliver()
  {
    for (auto message = messages_.begin(); message != messages_.end();) {
      if (message->arrivesAt_ > now_) {
        ++message;
        continue;
      }
      const ModelMessage arrived = *message;
      message = messages_.erase(message);
      if (arrived.isAnswer_) {
        TakeAnswer(arrived);
      } else {
        AnswerReport(arrived);
      }
    }
  }

  void AnswerReport(const ModelMessage& aMessage)
  {
    ModelMessage answer = aMessage;
    answer.isAnswer_ = true;
    answer.grants_ = GrantQuotas(table_, plan_, aMessage.report_, now_);
    Send(answer);
  }

  void TakeAnswer(const ModelMessage& aMessage)
  {
    ModelCell& cell = cells_[aMessage.cell_];
    if (cell.fence_ == aMessage.fence_) {
      cell.isReporting_ =
        !TakeGrants(cell.grants_, aMessage.sequence_, aMessage.grants_) && cell.isReporting_;
    }
  }

  void Advance(std::size_t aCell)
  {
    ModelCell& cell = cells_[aCell];
    for (auto run = cell.runs_.begin(); run != cell.runs_.end();) {
      if (run->endsAt_ > now_) {
        ++run;
        continue;
      }
      if (run->isKnown_) {
        CountRun(cell.use_, kOrganisation, run->need_, run->isOwn_, UseChange::kRemoved);
      }
      run = cell.runs_.erase(run);
    }
    if (now_ < cell.ownerSince_) {
      return;
    }
    Synchronize(cell);
    const auto interval = cell.isReporting_ ? kReportTimeout : kReportInterval;
    if (now_ - cell.reportedAt_ >= interval) {
      Report(aCell);
    }
    StartTasks(cell);
  }

  void Synchronize(ModelCell& aCell)
  {
    if (aCell.isSynchronized_ || now_ < aCell.synchronizedAt_) {
      return;
    }
    aCell.isSynchronized_ = true;
    for (ModelRun& run : aCell.runs_) {
      if (!run.isKnown_) {
        run.isKnown_ = true;
        CountRun(aCell.use_, kOrganisation, run.need_, false, UseChange::kAdded);
      }
    }
  }

  void Report(std::size_t aCell)
  {
    ModelCell& cell = cells_[aCell];
    cell.reportedAt_ = now_;
    cell.isReporting_ = true;
    Demand demand;
    demand.organisation_ = kOrganisation;
    demand.used_ = UseOf(cell.use_, kOrganisation, cell.isSynchronized_);
    demand.held_ = GrantFor(cell.grants_, kOrganisation, now_);
    demand.wanted_ = demand.used_;
    for (const Capacity& need : cell.waiting_) {
      organisations::AddTo(demand.wanted_, need);
    }
    if (!cell.waiting_.empty()) {
      demand.nextNeed_ = cell.waiting_.front();
      demand.waitingMs_ =
        std::chrono::duration_cast<clock::Milliseconds>(now_ - cell.lastStart_).count();
    }
    ModelMessage message;
    message.cell_ = aCell;
    message.fence_ = cell.fence_;
    message.sequence_ = organisations::BeginReport(cell.grants_, now_);
    message.report_ = {
      cell.name_, cell.fence_, message.sequence_, cell.isSynchronized_, { demand }
    };
    Send(message);
  }

  void StartTasks(ModelCell& aCell)
  {
    const Capacity grant = GrantFor(aCell.grants_, kOrganisation, now_);
    while (!aCell.waiting_.empty()) {
      const Capacity need = aCell.waiting_.front();
      const Capacity use = UseOf(aCell.use_, kOrganisation, aCell.isSynchronized_);
      if (!MayStart(grant, use, organisations::CountedNeed(need, quota_), quota_)) {
        return;
      }
      aCell.waiting_.erase(aCell.waiting_.begin());
      ModelRun run{ need, now_, {}, true, true };
      if (Pick(1, 100) <= faults_.lateOrderPercent_) {
        run.startsAt_ += clock::Milliseconds(Pick(2'000, 4'000));
      }
      run.endsAt_ = run.startsAt_ + clock::Milliseconds(Pick(100, 3'000));
      CountRun(aCell.use_, kOrganisation, need, true, UseChange::kAdded);
      aCell.runs_.push_back(run);
      aCell.lastStart_ = now_;
      ++starts_;
      startedAt_ = now_;
    }
  }

  Capacity Running() const
  {
    Capacity running;
    for (const ModelCell& cell : cells_) {
      for (const ModelRun& run : cell.runs_) {
        organisations::AddTo(running, run.need_, run.startsAt_ <= now_ ? 1 : 0);
      }
    }
    return running;
  }

  /** A lowered quota stops nothing that runs: what runs may exceed it, but must not grow. */
  void Check()
  {
    const Capacity running = Running();
    bool isUnderHalf = true;
    for (const organisations::Resource resource : organisations::kResources) {
      if (quota_.*resource <= 0) {
        continue;
      }
      allowed_.*resource =
        std::max(quota_.*resource, std::min(allowed_.*resource, reservedBefore_.*resource));
      worstExcess_ = std::max(worstExcess_, running.*resource - allowed_.*resource);
      isUnderHalf = isUnderHalf && 2 * running.*resource < quota_.*resource;
    }
    reservedBefore_ = Reserved();
    thawedSteps_ += table_.isFrozen_ ? 0 : 1;
    const bool isWaiting = std::any_of(cells_.begin(), cells_.end(), [this](const auto& aCell) {
      return !aCell.waiting_.empty() && now_ >= aCell.ownerSince_;
    });
    if (!isWaiting || !isUnderHalf || table_.isFrozen_) {
      stalledSince_ = now_;
    }
    longestStall_ = std::max(
      longestStall_,
      std::chrono::duration_cast<clock::Milliseconds>(now_ - std::max(stalledSince_, startedAt_)));
  }

  /** Returns what may run without a new grant: runs, orders on their way, and grants held. */
  Capacity Reserved() const
  {
    Capacity reserved;
    for (const ModelCell& cell : cells_) {
      Capacity runs;
      for (const ModelRun& run : cell.runs_) {
        organisations::AddTo(runs, run.need_);
      }
      Capacity grants = GrantFor(cell.grants_, kOrganisation, now_);
      for (const ModelMessage& message : messages_) {
        if (message.isAnswer_ && cells_[message.cell_].name_ == cell.name_) {
          for (const Grant& grant : message.grants_) {
            grants = organisations::Larger(grants, grant.limit_);
          }
        }
      }
      organisations::AddTo(reserved, organisations::Larger(runs, grants));
    }
    return reserved;
  }

  std::mt19937 random_;
  Faults faults_;
  clock::Moment now_{ 1h };
  QuotaTable table_;
  QuotaPlan plan_;
  Capacity quota_;
  Capacity allowed_;        ///< The quota, or what could run already when it was lowered.
  Capacity reservedBefore_; ///< One step ago.
  std::vector<ModelCell> cells_;
  std::list<ModelMessage> messages_;
  clock::Moment stalledSince_{ 1h };
  clock::Moment startedAt_{ 1h };
};

constexpr unsigned kSeeds = 60;

BOOST_AUTO_TEST_SUITE(QuotaModel)

// Grants of different ages, or a lost reservation, let cells start more together than the quota.
BOOST_AUTO_TEST_CASE(Quota_RandomFaults_IsNeverExceeded)
{
  Faults faults{ 0.15, 400ms, 5, 0.05, 0.02, 0.05 };
  int starts = 0;
  int restarts = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed, faults);
    model.Run(60s);
    BOOST_TEST(model.worstExcess_ <= 0, "seed " << seed << " excess " << model.worstExcess_);
    starts += model.starts_;
    restarts += model.restarts_;
  }
  BOOST_TEST(starts > static_cast<int>(kSeeds) * 100);
  BOOST_TEST(restarts > static_cast<int>(kSeeds));
}

// A fixed division, or a reservation that is never released, leaves an organisation's tasks waiting
// in one cell while others hold what is free.
BOOST_AUTO_TEST_CASE(Task_OrganisationUsesUnderHalfItsQuota_StartsWithinASecond)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed, Faults{});
    model.Run(60s);
    BOOST_TEST(model.longestStall_.count() <= kProgressTime.count(), "seed " << seed);
    BOOST_TEST(model.thawedSteps_ > 5'000, "seed " << seed);
  }
}

// The same where cells change their owners and the quota changes.
BOOST_AUTO_TEST_CASE(Task_CellsChangeOwners_StartsWithinASecond)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Model model(seed, Faults{ 0, 20ms, 0, 0, 0.02, 0.05 });
    model.Run(60s);
    BOOST_TEST(model.longestStall_.count() <= kProgressTime.count(), "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
