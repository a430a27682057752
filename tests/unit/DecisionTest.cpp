#include "include/quetzal/retry/Decision.h"
#include "include/quetzal/claims/Claim.h"
#include "include/quetzal/connection/ConnectionPolicy.h"
#include "include/quetzal/membership/Rendezvous.h"
#include "include/quetzal/outcome/Outcome.h"
#include "include/quetzal/retry/Budget.h"
#include "include/quetzal/wire/Frame.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace std::chrono_literals;
namespace claims = quetzal::claims;
namespace connection = quetzal::connection;
namespace membership = quetzal::membership;
namespace outcome = quetzal::outcome;
namespace retry = quetzal::retry;
namespace wire = quetzal::wire;
using quetzal::routing::AttemptState;

BOOST_AUTO_TEST_SUITE(Decisions)

BOOST_AUTO_TEST_CASE(Retry_MayHaveRunAndNotIdempotent_GivesUp)
{
  BOOST_CHECK(retry::Decide({ AttemptState::kLost, false, 1, 1s, true }) == retry::Action::kGiveUp);
}

BOOST_AUTO_TEST_CASE(Retry_NotWritten_RetriesWithoutSpendingAToken)
{
  BOOST_CHECK(retry::Decide({ AttemptState::kNotWritten, false, 1, 1s, false }) ==
              retry::Action::kRetry);
}

BOOST_AUTO_TEST_CASE(Retry_IdempotentAndLost_RetriesOnlyWithinTheBudget)
{
  BOOST_CHECK(retry::Decide({ AttemptState::kLost, true, 1, 1s, true }) ==
              retry::Action::kRetryAndSpendToken);
  BOOST_CHECK(retry::Decide({ AttemptState::kLost, true, 1, 1s, false }) == retry::Action::kGiveUp);
}

BOOST_AUTO_TEST_CASE(Retry_DeadlinePassed_GivesUp)
{
  BOOST_CHECK(retry::Decide({ AttemptState::kNotWritten, true, 1, 0ms, true }) ==
              retry::Action::kGiveUp);
}

BOOST_AUTO_TEST_CASE(RetryBudget_TenPercent_PaysForOneRetryInTenRequests)
{
  retry::Budget budget{ 0 };
  for (int i = 0; i < 100; ++i) {
    budget = retry::Deposit(budget, 10);
  }
  int retries = 0;
  while (retry::CanSpend(budget)) {
    budget = retry::Spend(budget);
    ++retries;
  }
  BOOST_TEST(retries >= 9);
  BOOST_TEST(retries <= 10);
}

BOOST_AUTO_TEST_CASE(ConnectionCap_AllHoldersTogether_StayWithinTheLimit)
{
  for (int live = 1; live <= 64; ++live) {
    const int cap = connection::ConnectionCap(64, { live, 0, 0 });
    BOOST_TEST(cap * live <= 64);
    BOOST_TEST(cap >= 1);
  }
  BOOST_TEST(connection::ConnectionCap(64, { 8, 0, 1 }) == 7);
}

BOOST_AUTO_TEST_CASE(Probe_SilentConnection_IsNeededForNonIdempotentOnly)
{
  BOOST_TEST(connection::NeedsProbe(false, 2s));
  BOOST_TEST(!connection::NeedsProbe(true, 2s));
  BOOST_TEST(!connection::NeedsProbe(false, 10ms));
}

BOOST_AUTO_TEST_CASE(Rendezvous_MemberLeaves_OnlyItsKeysMove)
{
  const std::vector<std::string> before{ "a", "b", "c", "d" };
  const std::vector<std::string> after{ "a", "b", "d" };
  for (int i = 0; i < 200; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const auto owner = membership::OwnerOf(key, before);
    if (owner != "c") {
      BOOST_TEST(*membership::OwnerOf(key, after) == *owner);
    }
  }
}

BOOST_AUTO_TEST_CASE(Claim_FoundInStore_DecidesByClaimantStateAndFingerprint)
{
  using claims::ClaimDecision;
  claims::ClaimRecord record{ claims::ClaimState::kClaimed, "me/1", 7, 0, {}, {} };
  BOOST_CHECK(claims::DecideClaim(std::nullopt, "me/1", 7) == ClaimDecision::kAbsent);
  BOOST_CHECK(claims::DecideClaim(record, "me/1", 7) == ClaimDecision::kGranted);
  BOOST_CHECK(claims::DecideClaim(record, "other/1", 7) == ClaimDecision::kHeld);
  BOOST_CHECK(claims::DecideClaim(record, "other/1", 8) == ClaimDecision::kReused);
  record.state_ = claims::ClaimState::kAnswered;
  BOOST_CHECK(claims::DecideClaim(record, "other/1", 7) == ClaimDecision::kReplay);
}

BOOST_AUTO_TEST_CASE(Claim_EncodedAndDecoded_IsTheSame)
{
  const claims::ClaimRecord record{
    claims::ClaimState::kAnswered, "me/1", 7, 200, "text/plain", "ok"
  };
  BOOST_CHECK(claims::DecodeClaim(claims::Encode(record)) == record);
  BOOST_CHECK(!claims::DecodeClaim("no record"));
}

BOOST_AUTO_TEST_CASE(Claim_StateDoesNotExist_IsNotDecoded)
{
  claims::ClaimRecord record{ claims::ClaimState::kAnswered, "me/1", 7, 200, {}, "ok" };
  record.state_ = static_cast<claims::ClaimState>(77);
  BOOST_TEST(!claims::DecodeClaim(claims::Encode(record)).has_value());
}

BOOST_AUTO_TEST_CASE(Claim_StatusOfItsAnswerIsNoHttpStatus_IsNotDecoded)
{
  for (const std::uint32_t status : { 0U, 100U, 600U, 4'000'000'000U }) {
    const claims::ClaimRecord record{ claims::ClaimState::kAnswered, "me/1", 7, status, {}, "ok" };
    BOOST_TEST(!claims::DecodeClaim(claims::Encode(record)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(Claim_LargeAnswer_IsNotStored)
{
  quetzal::http::Response answer{ 200, {}, std::string(5'000, 'x') };
  BOOST_CHECK(!claims::RecordAnswer({}, answer));
}

BOOST_AUTO_TEST_CASE(ClaimWrites_AllEntryHostsTogether_StayWithinTheRateLimit)
{
  for (const int entryHosts : { 1, 8, 40 }) {
    const auto interval = claims::WriteInterval(entryHosts);
    if (interval.count() > 0) {
      BOOST_TEST(entryHosts * 1000 / interval.count() <= 340);
    }
  }
}

BOOST_AUTO_TEST_CASE(Reasons_All_HaveUniqueNames)
{
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < outcome::kReasonCount; ++i) {
    names.insert(outcome::ToString(static_cast<outcome::Reason>(i)));
  }
  BOOST_TEST(names.size() == outcome::kReasonCount);
}

BOOST_AUTO_TEST_CASE(Frame_ReceivedInPieces_IsTakenOnlyWhenComplete)
{
  QByteArray bytes = wire::MakeFrame("first") + wire::MakeFrame("second");
  QByteArray piece = bytes.left(7);
  BOOST_TEST(!wire::TakeFrame(piece));
  BOOST_TEST(*wire::TakeFrame(bytes) == "first");
  BOOST_TEST(*wire::TakeFrame(bytes) == "second");
  BOOST_TEST(!wire::TakeFrame(bytes));
}

BOOST_AUTO_TEST_CASE(Frame_TooLarge_IsAnError)
{
  QByteArray bytes("\xff\xff\xff\xff", 4);
  BOOST_CHECK_THROW(wire::TakeFrame(bytes), wire::WireError);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
