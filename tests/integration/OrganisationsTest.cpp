#include "include/quetzal/http/Status.h"
#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;
using namespace std::chrono_literals;
namespace status = quetzal::http::status;

/** Two entry hosts on a platform whose configuration has the organisations "ada" and "bo". */
struct OrganisationsFixture
{
  OrganisationsFixture()
    : jobs_(2, 4, 100)
  {
    BOOST_REQUIRE(jobs_.WaitUntilServing(0));
    BOOST_REQUIRE(jobs_.WaitUntilServing(1));
    jobs_.PutKey("ada", "ada-1");
    jobs_.PutKey("bo", "bo-1");
    BOOST_REQUIRE(WaitForStatus("bo-1", "status 410"));
  }

  /** Waits until both entry hosts answer a request for an unknown job in a certain way. */
  bool WaitForStatus(const std::string& aKey, const std::string& aState)
  {
    jobs_.UseKey(aKey);
    return WaitUntil([&] {
      Pause(50ms);
      return jobs_.StateOf(0, JobsDeployment::IdOf(90)) == aState &&
             jobs_.StateOf(1, JobsDeployment::IdOf(90)) == aState;
    });
  }

  JobsDeployment jobs_;
};

BOOST_FIXTURE_TEST_SUITE(OrganisationsOnThePlatform, OrganisationsFixture)

// ROUTE: jobs were accepted with keys that no configuration ever held.
BOOST_AUTO_TEST_CASE(Calls_KeyIsMissingOrUnknown_AreUnauthorizedAndRunNothing)
{
  const std::string id = JobsDeployment::IdOf(1);
  for (const std::string key : { "", "no-such-key" }) {
    jobs_.UseKey(key);
    BOOST_TEST(jobs_.Submit(0, id, 1) == status::kUnauthorized);
    BOOST_TEST(jobs_.StateOf(1, id) == "status 401");
    BOOST_TEST(jobs_.Cancel(0, id) == status::kUnauthorized);
  }
  BOOST_TEST(jobs_.StartsOf(id) == 0);
}

BOOST_AUTO_TEST_CASE(Job_AnotherOrganisationCallsElsewhere_IsForbidden)
{
  const std::string id = JobsDeployment::IdOf(2);
  jobs_.UseKey("ada-1");
  BOOST_TEST(jobs_.Submit(0, id, 1) == status::kOk);
  BOOST_TEST(jobs_.WaitForState(1, id, "completed"));
  jobs_.UseKey("bo-1");
  BOOST_TEST(jobs_.StateOf(0, id) == "status 403");
  BOOST_TEST(jobs_.StateOf(1, id) == "status 403");
  BOOST_TEST(jobs_.Cancel(1, id) == status::kForbidden);
  BOOST_TEST(jobs_.Submit(1, id, 1) == status::kForbidden);
}

// CONFIG: a revoked key was still served. The job stays its organisation's, whichever key it uses.
BOOST_AUTO_TEST_CASE(Key_IsReplaced_OnlyTheNewOneIsServed)
{
  const std::string id = JobsDeployment::IdOf(3);
  jobs_.UseKey("ada-1");
  BOOST_TEST(jobs_.Submit(0, id, 1) == status::kOk);
  jobs_.PutKey("ada", "ada-2");
  BOOST_TEST(WaitForStatus("ada-1", "status 401"));
  jobs_.UseKey("ada-2");
  BOOST_TEST(jobs_.WaitForState(1, id, "completed"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
