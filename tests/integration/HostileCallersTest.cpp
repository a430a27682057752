#include "tests/harness/HostileCallers.h"
#include "tests/harness/Deployment.h"
#include "tests/harness/JobsDeployment.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace harness;

/** The host's limits in the tests' settings, and so the bounds on what the process uses. */
constexpr std::int64_t kMaxResidentBytes = 64LL * 1024 * 1024;
constexpr std::size_t kMaxDescriptors = 200;
constexpr const char* kMemorySettings = "memory_mb: 64\nmax_descriptors: 2000\n";
constexpr const char* kDescriptorSettings = "memory_mb: 64\nmax_descriptors: 200\n";

constexpr int kTrailerCallers = 4;
constexpr int kTrailerKilobytes = 24 * 1024;
constexpr int kBodyCallers = 300;
constexpr std::size_t kBodyBytes = 262'144;
constexpr int kSmallChunkCallers = 500;
constexpr int kSmallChunks = 24'000;
constexpr int kIdleCallers = 300;

std::string
Head(const std::string& aTarget, const std::string& aFraming)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: jobs.example\r\n" + aFraming + "\r\n\r\n";
}

HostileStream
EndlessTrailers(const std::string& aTarget)
{
  const std::string kilobyte = "X-Trailer: " + std::string(1'011, 't') + "\r\n";
  return { Head(aTarget, "Transfer-Encoding: chunked") + "0\r\n", kilobyte, kTrailerKilobytes, {} };
}

/** Returns a body of a legal size, without its last @p aMissing bytes. */
HostileStream
LargeBody(const std::string& aTarget, std::size_t aMissing)
{
  const std::string head = Head(aTarget, "Content-Length: " + std::to_string(kBodyBytes));
  return { head, {}, 0, std::string(kBodyBytes - aMissing, 'b') };
}

/** Checks what a process holds while hostile callers send. */
struct Usage
{
  explicit Usage(const Process& aProcess)
    : process_(aProcess)
  {
  }

  void Sample()
  {
    mostResidentBytes_ = std::max(mostResidentBytes_, process_.ResidentBytes());
    mostDescriptors_ = std::max(mostDescriptors_, process_.OpenDescriptors());
  }

  void Check(std::size_t aMaxDescriptors) const
  {
    BOOST_TEST_MESSAGE("resident " << mostResidentBytes_ / 1024 / 1024 << " MB, descriptors "
                                   << mostDescriptors_);
    BOOST_TEST(process_.IsRunning());
    BOOST_TEST(mostResidentBytes_ < kMaxResidentBytes);
    BOOST_TEST(mostDescriptors_ <= aMaxDescriptors);
  }

  const Process& process_;
  std::int64_t mostResidentBytes_ = 0;
  std::size_t mostDescriptors_ = 0;
};

/** Hostile callers must not make quetzal-jobd exceed its host's memory or descriptors, or leave
 * ordinary callers without an answer. */
struct HostileCallersOfJobsFixture
{
  void CheckHolds(int aCallers,
                  const HostileStream& aStream,
                  const char* aSettings = kMemorySettings,
                  std::size_t aMaxDescriptors = 2'000)
  {
    JobsDeployment deployment(1, 1, 20, aSettings);
    BOOST_REQUIRE(deployment.WaitUntilServing(0));
    Usage usage(deployment.Entry(0));
    HostileCallers callers(deployment.Callers(0), aCallers, aStream);
    callers.SendAll([&usage] { usage.Sample(); });
    BOOST_TEST(deployment.SubmitUntilAccepted(JobsDeployment::IdOf(2), 1));
    usage.Sample();
    usage.Check(aMaxDescriptors);
  }

  const std::string target_ = "/alpha/" + JobsDeployment::IdOf(4);
};

BOOST_FIXTURE_TEST_SUITE(HostileCallersOfJobs, HostileCallersOfJobsFixture)

/** The parser keeps an unfinished trailer, which no limit on the header covers. */
BOOST_AUTO_TEST_CASE(Callers_SendEndlessTrailers_MemoryStaysBounded)
{
  CheckHolds(kTrailerCallers, EndlessTrailers(target_));
}

BOOST_AUTO_TEST_CASE(Callers_SendLargeBodiesAtOnce_MemoryStaysBounded)
{
  CheckHolds(kBodyCallers, LargeBody(target_, 0));
}

/** Each body is legal, and only all of them together exceed the memory. */
BOOST_AUTO_TEST_CASE(Callers_StopOneByteShort_MemoryStaysBounded)
{
  CheckHolds(kBodyCallers, LargeBody(target_, 1));
}

BOOST_AUTO_TEST_CASE(Callers_StopInLargeChunks_MemoryStaysBounded)
{
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'c') + "\r\n";
  CheckHolds(kBodyCallers, { Head(target_, "Transfer-Encoding: chunked"), chunk, 4, {} });
}

/** Buffers may be many times larger than the content of small chunks. */
BOOST_AUTO_TEST_CASE(Callers_StopInChunksOfOneByte_MemoryStaysBounded)
{
  CheckHolds(kSmallChunkCallers,
             { Head(target_, "Transfer-Encoding: chunked"), "1\r\nc\r\n", kSmallChunks, {} });
}

/** A process without free descriptors can neither accept a caller nor reach other hosts. */
BOOST_AUTO_TEST_CASE(Callers_StayIdle_DescriptorsStayBounded)
{
  CheckHolds(kIdleCallers, {}, kDescriptorSettings, kMaxDescriptors);
}

BOOST_AUTO_TEST_SUITE_END()

/** As for quetzal-jobd: hostile callers of quetzal-entryd. */
struct HostileCallersOfServicesFixture
{
  static DeploymentOptions Options()
  {
    DeploymentOptions options;
    options.entrySettings_ = kMemorySettings;
    return options;
  }

  HostileCallersOfServicesFixture()
    : deployment_(Options())
  {
    deployment_.Serve();
  }

  void CheckHolds(int aCallers, const HostileStream& aStream)
  {
    Usage usage(deployment_.EntryHost(0));
    HostileCallers callers(deployment_.Callers(0), aCallers, aStream);
    callers.SendAll([&usage] { usage.Sample(); });
    BOOST_TEST(OutcomeOf(deployment_.Get(0, "/", "other")) == "answered");
    usage.Sample();
    usage.Check(2'000);
  }

  Deployment deployment_;
};

BOOST_FIXTURE_TEST_SUITE(HostileCallersOfServices, HostileCallersOfServicesFixture)

BOOST_AUTO_TEST_CASE(Callers_SendEndlessTrailers_MemoryStaysBounded)
{
  CheckHolds(kTrailerCallers, EndlessTrailers("/v1/services/quotes/"));
}

BOOST_AUTO_TEST_CASE(Callers_StopOneByteShort_MemoryStaysBounded)
{
  CheckHolds(kBodyCallers, LargeBody("/v1/services/quotes/", 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
