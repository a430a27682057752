/** bench-capacity: measures how memory and processing time grow with the fleet, for
 * docs/CAPACITY.md. */

#include "include/quetzal/claims/Claim.h"
#include "include/quetzal/document/Document.h"
#include "include/quetzal/fleet/Effect.h"
#include "include/quetzal/membership/Rendezvous.h"
#include "include/quetzal/shares/Granter.h"
#include "include/quetzal/wire/Message.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <sstream>

namespace {

using namespace quetzal;

constexpr int kPerRack = 4;
constexpr int kZones = 9;

/** Returns a document with kPerRack hosts in each rack, assigned to the pools in turn. */
std::string
MakeYaml(int aHosts, int aPools)
{
  std::ostringstream yaml;
  yaml << "environment: capacity\nhosts:\n";
  for (int i = 0; i < aHosts; ++i) {
    const int rack = i / kPerRack;
    yaml << "  - {name: h" << i << ", address: 10." << i / 65536 << '.' << i / 256 % 256 << '.'
         << i % 256 << ", availability_zone: z" << rack % kZones << ", rack: r" << rack << "}\n";
  }
  yaml << "pools:\n";
  for (int p = 0; p < aPools; ++p) {
    yaml << "  - name: p" << p << "\n    hosts: [";
    for (int i = p; i < aHosts; i += aPools) {
      yaml << (i > p ? ", h" : "h") << i;
    }
    yaml << "]\n";
  }
  yaml << "services:\n";
  for (int p = 0; p < aPools; ++p) {
    yaml << "  - {name: s" << p << ", pool: p" << p
         << ", port: 8000, min_healthy: " << aHosts / aPools * 7 / 10 << "}\n";
  }
  return yaml.str();
}

template<typename Work>
double
MillisecondsOf(const Work& aWork)
{
  const auto begin = std::chrono::steady_clock::now();
  aWork();
  const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - begin;
  return time.count();
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
MeasureDocuments()
{
  std::cout << "hosts pools  yaml_kB  parse_ms  state_kB  wave_ms  batches  effect_moves\n";
  for (const int hosts : { 500, 1'000, 2'000, 4'000 }) {
    for (const int pools : { 10, 52 }) {
      const std::string yaml = MakeYaml(hosts, pools);
      document::DocumentPtr document;
      const std::size_t before = HeapBytes();
      const double parse =
        MillisecondsOf([&] { document = document::MakeDocument(yaml, "capacity"); });
      const std::size_t state = HeapBytes() - before;
      fleet::Effect effect;
      const double wave = MillisecondsOf([&] { effect = fleet::EffectOf(nullptr, *document); });
      std::cout << std::setw(5) << hosts << std::setw(6) << pools << std::setw(9)
                << yaml.size() / 1024 << std::setw(10) << std::fixed << std::setprecision(1)
                << parse << std::setw(10) << state / 1024 << std::setw(9) << wave << std::setw(9)
                << effect.waveBatches_ << std::setw(14) << effect.moves_.size() << '\n';
    }
  }
}

void
MeasureShares()
{
  std::cout << "\nlines  request_B  answer_B  answer_us  book_B\n";
  for (const int lines : { 10, 50, 100, 400 }) {
    std::map<std::string, shares::GrantedServer> servers;
    shares::ShareRequest request{ "entry-000#0123456789abcdef", 1, {} };
    for (int i = 0; i < lines; ++i) {
      const std::string server = "service-00@host-" + std::to_string(1'000 + i);
      servers[server] = { 8, std::chrono::milliseconds(2'000), "z0" };
      request.entries_.push_back({ server, 3, 2, 4 });
    }
    const std::size_t before = HeapBytes();
    shares::Granter granter(std::chrono::milliseconds(1'000));
    const auto always = [](const std::string&) { return true; };
    shares::ShareAnswer answer;
    constexpr int kRounds = 200;
    const double time = MillisecondsOf([&] {
      for (int i = 0; i < kRounds; ++i) {
        answer = granter.Answer(request, servers, always, { "entry-000" }, {});
      }
    });
    std::cout << std::setw(5) << lines << std::setw(11) << wire::Pack(request).size()
              << std::setw(10) << wire::Pack(answer).size() << std::setw(11)
              << time * 1'000 / kRounds << std::setw(8)
              << (HeapBytes() - before) / static_cast<std::size_t>(lines) << '\n';
  }
}

void
MeasureClaims()
{
  const claims::ClaimRecord record{
    claims::ClaimState::kClaimed, "entry-000#0123456789abcdef/1000000", 7, 0, {}, {}
  };
  const std::string key = claims::ClaimKey("production", "service-00", std::string(36, 'k'));
  std::cout << "\nclaim: key " << key.size() << " B, value " << claims::Encode(record).size()
            << " B\n";
  for (const int entryHosts : { 8, 27, 90 }) {
    std::cout << entryHosts << " entry hosts: one write each "
              << claims::WriteInterval(entryHosts).count() << " ms\n";
  }
}

void
MeasureRendezvous()
{
  std::vector<std::string> members;
  members.reserve(10);
  for (int i = 0; i < 10; ++i) {
    members.push_back("entry-" + std::to_string(i));
  }
  constexpr int kKeys = 10'000;
  const double time = MillisecondsOf([&] {
    for (int i = 0; i < kKeys; ++i) {
      membership::OwnerOf("service@host-" + std::to_string(i), members);
    }
  });
  std::cout << "\nowner of a backend server among 10 entry hosts: " << time * 1'000 / kKeys
            << " us\n";
}

} // namespace

int
main()
{
  MeasureDocuments();
  MeasureShares();
  MeasureClaims();
  MeasureRendezvous();
  return 0;
}
