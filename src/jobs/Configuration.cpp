#include "include/quetzal/jobs/Configuration.h"

namespace quetzal::jobs {
namespace {

constexpr int kMaxAttemptsOfUnknownQueue = 3;

} // namespace

const Queue*
FindQueue(const Configuration& aConfiguration, const std::string& aHost, const std::string& aPath)
{
  const Queue* best = nullptr;
  for (const Queue& queue : aConfiguration.queues_) {
    if (queue.host_ != aHost || !aPath.starts_with(queue.prefix_)) {
      continue;
    }
    if (best == nullptr || queue.prefix_.size() > best->prefix_.size()) {
      best = &queue;
    }
  }
  return best;
}

const Queue*
FindQueueByName(const Configuration& aConfiguration, const std::string& aName)
{
  for (const Queue& queue : aConfiguration.queues_) {
    if (queue.name_ == aName) {
      return &queue;
    }
  }
  return nullptr;
}

QueueTerms
TermsWithoutRecord(const Configuration& aConfiguration, const std::string& aQueue)
{
  if (const Queue* queue = FindQueueByName(aConfiguration, aQueue)) {
    return queue->terms_;
  }
  QueueTerms terms;
  terms.maxAttempts_ = kMaxAttemptsOfUnknownQueue;
  return terms;
}

std::string
StandbyPoolOf(const Configuration& aConfiguration)
{
  for (const Service& service : aConfiguration.services_) {
    if (service.standby_) {
      return service.name_;
    }
  }
  return {};
}

} // namespace quetzal::jobs
